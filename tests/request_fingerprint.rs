//! Which requests are recognised as the same.

use lanedeck::gateway::fingerprint::Hasher;

const KEY: &str = "a fleet's key";

#[test]
fn same_again() {
    let parts: [&[u8]; 4] = [b"POST", b"shop.example", b"/buy/x?y", b"body"];
    let first = Hasher::new(KEY).fingerprint(Some("anna"), &parts);
    let second = Hasher::new(KEY).fingerprint(Some("anna"), &parts);
    assert_eq!(
        first, second,
        "all routers of a fleet compute the same fingerprint"
    );
}

#[test]
fn others_differ() {
    let hasher = Hasher::new(KEY);
    let parts: [&[u8]; 3] = [b"POST", b"/buy/x", b"body"];
    let first = hasher.fingerprint(Some("anna"), &parts);
    let variants: [[&[u8]; 3]; 4] = [
        [b"GET", b"/buy/x", b"body"],
        [b"POST", b"/buy/y", b"body"],
        [b"POST", b"/buy/x", b"body "],
        [b"POST", b"/buy/xb", b"ody"],
    ];
    for variant in variants {
        assert_ne!(
            hasher.fingerprint(Some("anna"), &variant),
            first,
            "{variant:?}"
        );
    }
    let customer = hasher.fingerprint(Some("bo"), &parts);
    assert_ne!(
        customer.customer, first.customer,
        "customers have different fingerprints"
    );
    assert_ne!(hasher.fingerprint(None, &parts), first);
    let fleet = Hasher::new("another fleet's").fingerprint(Some("anna"), &parts);
    assert_ne!(
        fleet.request, first.request,
        "the fingerprint depends on the fleet key"
    );
}
