//! Member entries of a fleet, and a helper that counts sends within a window.
#![allow(dead_code)]

use std::net::SocketAddr;

use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::units::Millis;

pub const NOW: Millis = Millis(1_000_000);
pub const HEARTBEAT: Millis = Millis(1_200);

/// The entry of a router that is ready, with addresses derived from its number.
pub fn router(number: u16) -> Router {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Router {
        name: format!("r{number}"),
        incarnation: 1,
        front: address(1_000 + number),
        link: address(2_000 + number),
        hall: "hall".into(),
        is_ready: true,
        heartbeat: 1,
    }
}

/// The members as router `me` sees them: it wrote its own entry long before [`NOW`], and read the entries of these
/// others from the store at `NOW`.
pub fn members(me: u16, known: impl Iterator<Item = u16>) -> Members {
    let mut members = Members::new(router(me), HEARTBEAT);
    members.record_write(Millis::ZERO);
    for other in known {
        members.update(NOW, router(other), Source::Store);
    }
    members.record_entries(members.count());
    members
}

/// The largest number of these times within any window of this length.
pub fn most_within(times: &[Millis], window: Millis) -> usize {
    let count_from = |begin: Millis| {
        let times = times.iter();
        times
            .filter(|at| **at >= begin && **at < begin + window)
            .count()
    };
    times
        .iter()
        .map(|begin| count_from(*begin))
        .max()
        .unwrap_or(0)
}
