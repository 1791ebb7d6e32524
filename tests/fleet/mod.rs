//! Routers of a fleet, as others know them.

use std::net::SocketAddr;

use lanedeck::gateway::members::Router;

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
