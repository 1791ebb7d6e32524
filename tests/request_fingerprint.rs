//! Which requests are taken for the same one again.

use lanedeck::gateway::fingerprint::Hasher;

const KEY: &str = "a fleet's key";

#[test]
fn same_again() {
    let parts: [&[u8]; 4] = [b"POST", b"shop.example", b"/buy/x?y", b"body"];
    let first = Hasher::new(KEY).fingerprint(Some("anna"), &parts);
    let elsewhere = Hasher::new(KEY).fingerprint(Some("anna"), &parts);
    assert_eq!(first, elsewhere, "all routers of a fleet agree");
}

#[test]
fn others_differ() {
    let hasher = Hasher::new(KEY);
    let parts: [&[u8]; 3] = [b"POST", b"/buy/x", b"body"];
    let first = hasher.fingerprint(Some("anna"), &parts);
    let others: [[&[u8]; 3]; 4] = [
        [b"GET", b"/buy/x", b"body"],
        [b"POST", b"/buy/y", b"body"],
        [b"POST", b"/buy/x", b"body "],
        [b"POST", b"/buy/xb", b"ody"],
    ];
    for other in others {
        assert_ne!(hasher.fingerprint(Some("anna"), &other), first, "{other:?}");
    }
    let customer = hasher.fingerprint(Some("bo"), &parts);
    assert_ne!(
        customer.customer, first.customer,
        "a customer is kept apart"
    );
    assert_ne!(hasher.fingerprint(None, &parts), first);
    let fleet = Hasher::new("another fleet's").fingerprint(Some("anna"), &parts);
    assert_ne!(
        fleet.request, first.request,
        "it cannot be worked out without the key"
    );
}
