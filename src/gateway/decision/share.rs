//! Which routers may send to a target that takes only so many requests from all of them, and how many each.
//!
//! No router knows what the others send there, and asking one another would cost each request a way to another
//! router. So the requests of a span are dealt out, whole, to as many routers as there are requests, in an order of
//! the routers that depends on their names and the target's only: all agree without a word, and different targets
//! have different routers. Routers whose views of the fleet differ, at a start or in a cut, may deal twice; who uses
//! this leaves room for it.
//!
//! An equal part for each router of a large fleet would be less than one request in a span, and since requests are
//! whole, many routers that each send one in several spans can still meet in the same one. One router alone for each
//! target would leave the target unused where that one has no requests for it.

/// How a span's requests are dealt out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Routers that may send.
    pub routers: usize,
    /// Requests that each of them may send in the span.
    pub each: usize,
    /// Routers, the first in the order, that may send one more.
    pub with_more: usize,
}

impl Draw {
    /// Deals a span's requests, one at least, to a fleet of so many routers.
    pub fn new(requests: usize, routers: usize) -> Self {
        let requests = requests.max(1);
        let drawn = requests.min(routers.max(1));
        Self {
            routers: drawn,
            each: requests / drawn,
            with_more: requests % drawn,
        }
    }

    /// Requests that the router in this place of the order may send in the span.
    pub fn part(&self, place: usize) -> usize {
        if place >= self.routers {
            return 0;
        }
        self.each + usize::from(place < self.with_more)
    }
}
