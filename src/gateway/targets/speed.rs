//! How fast each target works, learned from its answers.
//!
//! Targets of one service may differ in speed for as long as they run, and each may be slow for some hundred
//! milliseconds. A target reports the second in its slowdown; the first is learned here. Each measured time is divided
//! by the slowdown at that time, so that a slow moment does not count as a slow target. Nothing is learned of targets
//! that report no slowdown, and [`placement`](crate::gateway::decision::placement) then does not use speeds.

use std::time::Duration;

use crate::gateway::decision::placement::{Pace, Usual, Work};
use crate::units::{Millis, Percent};

/// Time constant with which a reported slowdown decays towards 1: the time for which targets are typically slow.
const SLOWDOWN_DECAY_MS: f64 = 600.0;
/// Age from which a reported slowdown is ignored.
const SLOWDOWN_VALID_FOR: Millis = Millis(2_000);
/// How long a service counts as one whose targets report a slowdown after the last such report.
const REPORTING_FOR: Millis = Millis(60_000);

/// Time constant with which measured times are forgotten. A router of a large fleet gets an answer of each target every
/// few seconds, and a target that looks slow by mistake has to be tried again within a minute.
const DECAY_TIME_MS: f64 = 20_000.0;
/// Part of the time to the first event that does not depend on the target's speed: the network and the decoding of the
/// request.
const FIXED_MS: f64 = 4.0;
/// A measured time per unit counts as at most this many times the service's mean, and at least as the same part of it,
/// so that one answer cannot keep a target from being used.
const OUTLIER_RATIO: f64 = 4.0;

/// Weight of the service's mean in a target's own, in tokens: that of a typical prompt.
const PRIOR_TOKENS: f64 = 2_500.0;
/// Weight of the service's mean in a target's own, in events: a short stream.
const PRIOR_EVENTS: f64 = 30.0;
/// Weight of the service's mean in a target's own, in answers.
const PRIOR_ANSWERS: f64 = 2.0;

/// Times of a service before its first answer. They only need the right order of magnitude: they are the same for all
/// targets and used for no more than a few requests.
const FIRST_USUAL: Usual = Usual {
    token_ms: 0.02,
    event_ms: 5.0,
    answer_ms: 30.0,
};

/// A target's report of its slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// How long work took at the target.
    pub slowdown: Percent,
    /// When the report was received.
    pub at: Millis,
}

impl Report {
    /// The factor by which work is expected to take longer than usual now.
    pub fn slowdown(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        if age >= SLOWDOWN_VALID_FOR {
            return 1.0;
        }
        let decay = (-(age.0 as f64) / SLOWDOWN_DECAY_MS).exp();
        1.0 + (self.slowdown.factor() - 1.0) * decay
    }
}

/// A measured part of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// The first event of a stream.
    FirstEvent {
        /// Time since the request was sent.
        elapsed: Duration,
        /// The work that was expected before the event.
        work: Work,
    },
    /// The events after the first.
    Events {
        /// Time from the first to the last event.
        elapsed: Duration,
        /// Number of events after the first.
        count: u64,
    },
    /// An answer that is not a stream.
    Answer {
        /// Time since the request was sent.
        elapsed: Duration,
        /// The work that was expected until the answer, in answers.
        answers: f64,
    },
}

/// A decaying mean of milliseconds per unit of work. It is the ratio of two decaying sums, so that larger samples weigh
/// more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    ms: f64,
    units: f64,
    /// Time up to which the sums are decayed.
    at: Millis,
}

impl Mean {
    fn at(self, now: Millis) -> Self {
        let elapsed = now.saturating_sub(self.at).0 as f64;
        let decay = (-elapsed / DECAY_TIME_MS).exp();
        Self {
            ms: self.ms * decay,
            units: self.units * decay,
            at: now,
        }
    }

    fn record(&mut self, now: Millis, ms: f64, units: f64) {
        *self = self.at(now);
        self.ms += ms;
        self.units += units;
    }

    /// The mean with `units` of a prior mean added.
    fn with_prior(self, now: Millis, prior: f64, units: f64) -> f64 {
        let recent = self.at(now);
        (recent.ms + prior * units) / (recent.units + units)
    }

    /// The mean without decay; `None` before the first sample.
    fn value(self) -> Option<f64> {
        (self.units > 0.0).then(|| self.ms / self.units)
    }
}

/// The speed of one incarnation of a target, or the mean speed of a service, at the usual slowdown of 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    tokens: Mean,
    events: Mean,
    answers: Mean,
}

impl Speed {
    /// The target's pace, given its last report. Without recent samples it is the service's mean, so a new target is neither
    /// preferred nor avoided.
    pub fn pace(&self, now: Millis, usual: &Usual, report: Option<Report>) -> Pace {
        Pace {
            token_ms: self.tokens.with_prior(now, usual.token_ms, PRIOR_TOKENS),
            event_ms: self.events.with_prior(now, usual.event_ms, PRIOR_EVENTS),
            answer_ms: self.answers.with_prior(now, usual.answer_ms, PRIOR_ANSWERS),
            slowdown: report.map_or(1.0, |report| report.slowdown(now)),
            report_age: report.map(|report| now.saturating_sub(report.at)),
        }
    }
}

/// The speed of a service's targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    speed: Speed,
    /// When a target of the service last reported a slowdown.
    reported: Option<Millis>,
}

impl Service {
    /// Records that a target of the service reported a slowdown.
    pub fn note_report(&mut self, now: Millis) {
        self.reported = Some(now);
    }

    /// The mean speed of the service's targets; `None` unless they report a slowdown.
    pub fn usual(&self, now: Millis) -> Option<Usual> {
        let reported = self.reported?;
        (now.saturating_sub(reported) < REPORTING_FOR).then(|| self.mean())
    }

    fn mean(&self) -> Usual {
        let value = |mean: Mean, first: f64| mean.value().unwrap_or(first);
        Usual {
            token_ms: value(self.speed.tokens, FIRST_USUAL.token_ms),
            event_ms: value(self.speed.events, FIRST_USUAL.event_ms),
            answer_ms: value(self.speed.answers, FIRST_USUAL.answer_ms),
        }
    }

    /// Learns from a sample of a target of the service, measured at a slowdown.
    pub fn learn(&mut self, now: Millis, target: &mut Speed, slowdown: f64, sample: &Sample) {
        let usual = self.mean();
        let ms = |elapsed: &Duration| elapsed.as_secs_f64() * 1_000.0;
        let (of_service, of_target, ms, units) = match sample {
            // What was only assumed to be cached may have been prefilled; the time per token is then unknown.
            Sample::FirstEvent { work, .. } if work.assumed_cached > work.certain() => return,
            Sample::FirstEvent { elapsed, work } => (
                &mut self.speed.tokens,
                &mut target.tokens,
                (ms(elapsed) - FIXED_MS) / slowdown - usual.event_ms,
                work.certain(),
            ),
            Sample::Events { elapsed, count } => (
                &mut self.speed.events,
                &mut target.events,
                ms(elapsed) / slowdown,
                *count as f64,
            ),
            Sample::Answer { elapsed, answers } => (
                &mut self.speed.answers,
                &mut target.answers,
                (ms(elapsed) - FIXED_MS) / slowdown,
                *answers,
            ),
        };
        if units <= 0.0 {
            return;
        }
        let mean = of_service.value();
        let per_unit = mean.map_or(ms / units, |mean| {
            (ms / units).clamp(mean / OUTLIER_RATIO, mean * OUTLIER_RATIO)
        });
        // The first sample of a service has nothing to be compared with; one of no duration would make all work free.
        if per_unit <= 0.0 {
            return;
        }
        of_service.record(now, per_unit * units, units);
        of_target.record(now, per_unit * units, units);
    }
}
