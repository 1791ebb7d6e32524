//! How the attempts at each version ended, by route: what a rollout is judged by.
//!
//! Sums are kept instead of single attempts, so that a report has the same size however many requests there are, and
//! the sums of several routers can be added. Durations are kept as logarithms: those of requests of different lengths
//! differ by factors, and so do those of a slow version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Arm;

/// Maximum number of routes that are counted on their own; attempts on further ones are counted together.
const ROUTES_MAX: usize = 16;
/// Name under which attempts on further routes are counted.
const OTHER_ROUTES: &str = "*";
/// Shortest duration that is recorded, in milliseconds, since the logarithm of zero is not finite.
const DURATION_MIN_MS: f64 = 0.5;

/// The attempts at the targets of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Attempts that were answered, and those that callers gave up after a long wait.
    pub answered: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// Sum of the natural logarithms of the durations, in milliseconds for each unit of work.
    pub log_sum: f64,
    /// Sum of the squares of these logarithms.
    pub log_square_sum: f64,
    /// Targets at which attempts failed, as a set of 64 hash values.
    pub failing: u64,
}

impl Tally {
    /// Records an answer that took this long for each unit of work.
    pub fn record_answer(&mut self, duration_ms: f64) {
        let log = duration_ms.max(DURATION_MIN_MS).ln();
        self.answered += 1;
        self.log_sum += log;
        self.log_square_sum += log * log;
    }

    /// Records a failed attempt at the target with this hash.
    pub fn record_failure(&mut self, target: u64) {
        self.failed += 1;
        self.failing |= 1 << (target % u64::from(u64::BITS));
    }

    /// Number of attempts.
    pub fn attempts(&self) -> u32 {
        self.answered + self.failed
    }

    /// Share of the attempts that failed, 0 to 1.
    pub fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.attempts().max(1))
    }

    /// Mean logarithm of the durations, and the variance of the logarithms.
    pub fn log_moments(&self) -> (f64, f64) {
        let count = f64::from(self.answered.max(1));
        let mean = self.log_sum / count;
        let variance = (self.log_square_sum / count - mean * mean).max(0.0);
        (mean, variance)
    }

    /// Lower bound of the number of targets at which attempts failed.
    pub fn failing_targets(&self) -> u32 {
        self.failing.count_ones()
    }

    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
        self.failing |= other.failing;
    }

    /// The attempts recorded since `earlier`. The set of failing targets cannot be divided, so it stays whole.
    fn since(&self, earlier: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            log_sum: self.log_sum - earlier.log_sum,
            log_square_sum: self.log_square_sum - earlier.log_square_sum,
            failing: self.failing,
        }
    }
}

/// The attempts at both versions in the same span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Attempts at the versions in use so far.
    pub stable: Tally,
    /// Attempts at the new version.
    pub candidate: Tally,
}

impl Comparison {
    /// The attempts at one arm.
    pub fn arm_mut(&mut self, arm: Arm) -> &mut Tally {
        match arm {
            Arm::Stable => &mut self.stable,
            Arm::Candidate => &mut self.candidate,
        }
    }

    fn add(&mut self, other: &Self) {
        self.stable.add(&other.stable);
        self.candidate.add(&other.candidate);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            stable: self.stable.since(&earlier.stable),
            candidate: self.candidate.since(&earlier.candidate),
        }
    }
}

/// Comparisons by route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    routes: BTreeMap<String, Comparison>,
}

impl Evidence {
    /// The comparison of a route, to record an attempt.
    pub fn route_mut(&mut self, route: &str) -> &mut Comparison {
        let is_full = self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route);
        let name = if is_full { OTHER_ROUTES } else { route };
        self.routes.entry(name.to_owned()).or_default()
    }

    /// Adds another router's evidence.
    pub fn add(&mut self, other: &Self) {
        for (route, comparison) in &other.routes {
            self.route_mut(route).add(comparison);
        }
    }

    /// What was recorded since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let none = Comparison::default();
        let routes = self.routes.iter().map(|(route, comparison)| {
            let before = earlier.routes.get(route).unwrap_or(&none);
            (route.clone(), comparison.since(before))
        });
        Self {
            routes: routes.collect(),
        }
    }

    /// The comparisons, by route.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &Comparison)> {
        self.routes
            .iter()
            .map(|(route, comparison)| (route.as_str(), comparison))
    }

    /// The comparison over all routes.
    pub fn total(&self) -> Comparison {
        let mut total = Comparison::default();
        for comparison in self.routes.values() {
            total.add(comparison);
        }
        total
    }
}

/// What one router reports to the decider: all that it has recorded since it learned of the order. It is encoded by
/// position for other processes, so the order of its fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// The new version.
    pub version: String,
    /// The reporting router.
    pub router: String,
    /// The run of its process: a restart begins anew.
    pub incarnation: u64,
    /// The evidence.
    pub evidence: Evidence,
}
