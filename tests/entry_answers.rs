//! Which entry hosts a customer gets: spread evenly, stable when a host is lost, and only hosts that are well.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lanedeck::router::host::{Membership, Peer};
use lanedeck::router::key::Incarnation;
use lanedeck::units::{Millis, Offset};

fn peer(place: u16) -> Peer {
    Peer {
        incarnation: Incarnation(u64::from(place) + 1),
        counter: 1,
        entry: ([127, 0, 0, 1], 7_000 + place).into(),
        address: ([127, 0, 0, 1], 8_000 + place).into(),
        hall: format!("h{}", place % 4),
        region: "r".into(),
        epoch: 1,
        leaving: false,
        witness: None,
        applied: Offset(0),
    }
}

fn membership(hosts: u16, without: Option<u16>) -> Membership {
    let mut membership = Membership::new(peer(0));
    for place in (1..hosts).filter(|place| Some(*place) != without) {
        membership.observe(Millis(1), &peer(place));
    }
    membership
}

fn entries(membership: &Membership, share: usize) -> BTreeMap<String, Vec<SocketAddr>> {
    let customers = (0..1_000).map(|number| format!("customer-{number}"));
    customers
        .map(|name| {
            let hosts = membership.entry_hosts(Millis(2), &name, share);
            let hosts = hosts.into_iter().map(|peer| peer.entry).collect();
            (name, hosts)
        })
        .collect()
}

#[test]
fn host_lost() {
    let lost = peer(5).entry;
    let before = entries(&membership(8, None), 1);
    let after = entries(&membership(8, Some(5)), 1);
    let mut moved = 0;
    for (name, hosts) in &before {
        let kept: Vec<_> = hosts.iter().filter(|host| **host != lost).collect();
        let still: Vec<_> = after[name].iter().take(kept.len()).collect();
        assert_eq!(kept, still, "{name} keeps its other hosts, in their order");
        moved += usize::from(kept.len() < hosts.len());
    }
    // Each customer has three of eight hosts, so the lost host served about three eighths of the customers.
    assert!(
        (300..450).contains(&moved),
        "{moved} of 1000 had the lost host"
    );
}

#[test]
fn even_shares() {
    let mut first: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for hosts in entries(&membership(8, None), 1).values() {
        assert_eq!(hosts.len(), 3);
        *first.entry(hosts[0]).or_default() += 1;
    }
    assert!(
        first.values().all(|count| (80..180).contains(count)),
        "{first:?}"
    );
    assert!(
        entries(&membership(8, None), 2)
            .values()
            .all(|hosts| hosts.len() == 6)
    );
}

#[test]
fn ill_and_leaving() {
    let mut membership = membership(4, None);
    let named = |membership: &Membership, now: u64, place: u16| {
        let hosts = membership.entry_hosts(Millis(now), "c", 4);
        hosts.iter().any(|host| host.entry == peer(place).entry)
    };
    assert!(named(&membership, 2, 1));
    membership.set_listed(&[(peer(1).address, true), (peer(2).address, false)]);
    assert!(!named(&membership, 2, 1), "the list marks it as leaving");
    assert!(named(&membership, 2, 3), "absent from a list that lags");
    // A listed host whose counter stops is left out until its counter increases again.
    assert!(!named(&membership, 10_000, 2));
    membership.observe(
        Millis(10_000),
        &Peer {
            counter: 2,
            ..peer(2)
        },
    );
    assert!(named(&membership, 10_001, 2));
    membership.observe(
        Millis(10_000),
        &Peer {
            counter: 3,
            leaving: true,
            ..peer(2)
        },
    );
    assert!(!named(&membership, 10_001, 2));
    // A message with an older counter does not replace a newer one.
    membership.observe(
        Millis(10_002),
        &Peer {
            counter: 2,
            ..peer(2)
        },
    );
    assert!(!named(&membership, 10_003, 2));
}

#[test]
fn witness_elsewhere() {
    let membership = membership(8, None);
    let witness = membership.choose_witness(Millis(2), |_| true).unwrap();
    assert_ne!(witness.hall, "h0", "a witness in another hall is preferred");
    let only = membership
        .choose_witness(Millis(2), |peer| peer.hall == "h0")
        .unwrap();
    assert_eq!(only.hall, "h0", "the own hall is used if no other matches");
}
