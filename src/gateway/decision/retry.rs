//! The budget of repeats: what this router may send beyond the first of each request.
//!
//! The fleet's bound is a share of the requests of a sliding window and a fixed number more. Each
//! router keeps to the share of its own requests and to its part of the rest, so that all together
//! keep the bound in every window without asking each other.

use std::collections::VecDeque;

use crate::units::Millis;

/// Part of what is allowed that is used: arrivals may be counted in a window that begins a little
/// later here than at the targets.
const SAFETY: f64 = 0.7;

/// Bound on repeats over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Repeats in each window beside those, over all routers.
    pub extra: f64,
}

/// Requests and repeats of one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Budget {
    /// Counts a request.
    pub fn note_request(&mut self, now: Millis, bound: &Bound) {
        self.requests.push_back(now);
        self.expire(now, bound.window);
    }

    /// Takes a repeat out of the budget, if it has one, with so many routers in the fleet.
    pub fn take(&mut self, now: Millis, bound: &Bound, routers: usize) -> bool {
        self.expire(now, bound.window);
        let extra = bound.extra / routers.max(1) as f64;
        let allowed = bound.ratio * self.requests.len() as f64 + extra;
        if self.repeats.len() as f64 + 1.0 > allowed * SAFETY {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis, window: Millis) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time + window < now) {
                times.pop_front();
            }
        }
    }
}
