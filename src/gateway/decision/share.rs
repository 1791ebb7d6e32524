//! Which routers may send to a target that limits the total requests of all routers, and how many each.
//!
//! No router knows what the others send to the target, and asking them would add a round trip to another router to each
//! request. So the requests of a window are allocated, as whole requests, to at most as many routers as there are
//! requests. The order of the routers depends only on their names and the target's, so that all agree without
//! coordination and different targets get different routers. Routers whose views of the fleet differ, at startup or
//! during a network partition, may allocate the same requests twice; callers of this module leave room for that.
//!
//! Rejected alternatives: an equal share for each router of a large fleet is less than one request in a window, and
//! since requests are whole, many routers that each send one request every few windows can still send in the same
//! window. A single router for each target would leave the target idle whenever that router has no requests for it.

/// How the requests of a window are allocated to routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Number of routers that may send.
    pub routers: usize,
    /// Requests that each of these routers may send in the window.
    pub each: usize,
    /// Number of routers, from the start of the order, that may send one more.
    pub with_extra: usize,
}

impl Allocation {
    /// Allocates the requests of a window, at least one, to a fleet of `routers` routers.
    pub fn new(requests: usize, routers: usize) -> Self {
        let requests = requests.max(1);
        let selected = requests.min(routers.max(1));
        Self {
            routers: selected,
            each: requests / selected,
            with_extra: requests % selected,
        }
    }

    /// Requests that the router at this position of the order may send in the window.
    pub fn quota(&self, place: usize) -> usize {
        if place >= self.routers {
            return 0;
        }
        self.each + usize::from(place < self.with_extra)
    }
}
