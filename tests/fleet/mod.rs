//! Routers of a fleet, as others know them, and what they send together.
#![allow(dead_code)]

use std::net::SocketAddr;

use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::units::Millis;

pub const NOW: Millis = Millis(1_000_000);
pub const HEARTBEAT: Millis = Millis(1_200);

/// A router that takes callers, with addresses of its own.
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

/// A router that has known these others for a while.
pub fn members(me: u16, known: impl Iterator<Item = u16>) -> Members {
    let mut members = Members::new(router(me), HEARTBEAT);
    members.record_write(Millis::ZERO);
    for other in known {
        members.update(NOW, router(other), Source::Store);
    }
    members
}

/// Most of these times within any such span.
pub fn most_within(times: &[Millis], span: Millis) -> usize {
    let within = |begin: Millis| {
        let times = times.iter();
        times
            .filter(|at| **at >= begin && **at < begin + span)
            .count()
    };
    times.iter().map(|begin| within(*begin)).max().unwrap_or(0)
}
