//! Metrics of what targets announce of themselves, for operators.

use std::fmt::Write;

use super::{Announcement, Notice, Rate, Rejections};
use crate::gateway::metrics::Counter;
use crate::gateway::targets::Owned;
use crate::units::Millis;

/// What a target currently announces.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncedState {
    /// The instance of the target.
    pub instance: String,
    /// The rate limit of the target; `None` if it announces none.
    pub rate_limit: Option<Rate>,
    /// The rejection limit of the target; `None` if it announces none.
    pub rejection_limit: Option<Rejections>,
    /// The target's slots that this router owns, if the target has a rejection limit and they were asked for.
    pub slots: Option<Owned>,
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// Remaining time, as of publication, for which the target asked this router to send no requests.
    pub backoff_left: Millis,
}

/// Number of new announcements by targets, by kind.
#[derive(Debug, Default)]
pub struct Counts {
    rate_limit: Counter,
    rejection_limit: Counter,
    leaving: Counter,
    rest: Counter,
    unreadable: Counter,
}

impl Counts {
    /// Counts a response's notice, and those of its announcements that changed something.
    pub fn record(&self, notice: &Notice, changes: &[Announcement]) {
        for announcement in changes {
            match announcement {
                Announcement::RateLimit { .. } => self.rate_limit.add(1),
                Announcement::Leaving => self.leaving.add(1),
                Announcement::RejectionLimit { .. } => self.rejection_limit.add(1),
            }
        }
        if let Ok(Some(_)) = notice.retry_after {
            self.rest.add(1);
        }
        self.unreadable.add(notice.errors().count() as u64);
    }
}

/// Renders the metrics: the counts, and the current announcements of each target.
pub fn text(announced: &[AnnouncedState], counts: &Counts) -> String {
    let mut text = String::new();
    let kinds = [
        ("rate_limit", &counts.rate_limit),
        ("rejection_limit", &counts.rejection_limit),
        ("leaving", &counts.leaving),
        ("rest", &counts.rest),
        ("unreadable", &counts.unreadable),
    ];
    // Writing to a string cannot fail, here and below.
    for (kind, counter) in kinds {
        let count = counter.get();
        let _ = writeln!(
            text,
            "lanedeck_target_notices_total{{kind=\"{kind}\"}} {count}"
        );
    }
    for state in announced {
        write_announced(&mut text, state);
    }
    text
}

fn write_announced(text: &mut String, announced: &AnnouncedState) {
    let instance = &announced.instance;
    if let Some(limit) = announced.rate_limit {
        let limit = limit.per_second();
        let _ = writeln!(
            text,
            "lanedeck_target_rate_limit{{instance=\"{instance}\"}} {limit}"
        );
    }
    if let Some(limit) = announced.rejection_limit {
        let _ = writeln!(
            text,
            "lanedeck_target_rejection_limit{{instance=\"{instance}\"}} {}",
            limit.0
        );
    }
    if let Some(slots) = announced.slots {
        let states = [
            ("owned", slots.owned),
            ("occupied", slots.occupied),
            ("withheld", slots.withheld),
        ];
        for (state, count) in states {
            let _ = writeln!(
                text,
                "lanedeck_target_slots{{instance=\"{instance}\",state=\"{state}\"}} {count}"
            );
        }
    }
    if announced.is_leaving {
        let _ = writeln!(text, "lanedeck_target_leaving{{instance=\"{instance}\"}} 1");
    }
    if announced.backoff_left > Millis::ZERO {
        let seconds = announced.backoff_left.0 as f64 / 1_000.0;
        let _ = writeln!(
            text,
            "lanedeck_target_rest_seconds{{instance=\"{instance}\"}} {seconds}"
        );
    }
}
