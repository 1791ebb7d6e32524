//! The distribution of callers over the fleet: which addresses routers give to callers.

use std::collections::HashMap;
mod fleet;

use std::net::SocketAddr;

use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const FLEET: u16 = 86;

/// A router on a host of its own.
fn router(number: u16) -> Router {
    let address = |port: u16| SocketAddr::from(([10, 1, (number / 200) as u8, number as u8], port));
    Router {
        front: address(8_000),
        link: address(8_001),
        ..fleet::router(number)
    }
}

/// The addresses that a router of a large fleet gives to callers.
fn caller_addresses(me: u16) -> Vec<SocketAddr> {
    let mut members = Members::new(router(me), Millis(1_000));
    members.me.is_ready = true;
    for number in (0..FLEET).filter(|number| *number != me) {
        members.update(NOW, router(number), Source::Link);
    }
    members.caller_addresses(NOW)
}

/// Each router is listed by about the same number of routers. If all routers sorted the addresses in the same order, 22
/// of 86 routers would be listed by none.
#[test]
fn all_are_listed() {
    let mut times: HashMap<SocketAddr, u32> = HashMap::new();
    for me in 0..FLEET {
        let addresses = caller_addresses(me);
        assert_eq!(addresses.len(), 64, "the maximum number of addresses");
        assert_eq!(addresses, caller_addresses(me), "the same each time");
        for address in addresses {
            *times.entry(address).or_default() += 1;
        }
    }
    assert_eq!(times.len(), usize::from(FLEET));
    let least = times.values().min().unwrap();
    assert!(*least >= 40, "listed by {least} of 86; 64 is the mean");
}
