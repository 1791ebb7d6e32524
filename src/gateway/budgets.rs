//! Counts of prepaid tokens that move between routers, of the reads that look for more, and of what limits payments, and
//! their text format at the metrics endpoint. All customers are counted together, since there may be many of them.

use std::fmt::Write;

use super::decision::grant::Limit;
use super::metrics::Counter;
use crate::units::Tokens;
use crate::wire::NoReply;

/// The result of asking another router for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanResult {
    /// It lent all that was asked for.
    Full,
    /// It lent a part.
    Partial,
    /// It lent nothing.
    Empty,
    /// It declined, since it stops.
    Declined,
    /// It refused the connection.
    Refused,
    /// It did not answer in time.
    TimedOut,
    /// The connection or the answer failed.
    Failed,
}

impl LoanResult {
    /// All results, in the order of their discriminants.
    const ALL: [Self; 7] = [
        Self::Full,
        Self::Partial,
        Self::Empty,
        Self::Declined,
        Self::Refused,
        Self::TimedOut,
        Self::Failed,
    ];

    /// The result of a loan of `lent` tokens where `asked` were asked for.
    pub fn of(lent: Tokens, asked: Tokens) -> Self {
        if lent == Tokens::ZERO {
            Self::Empty
        } else if lent < asked {
            Self::Partial
        } else {
            Self::Full
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Partial => "partial",
            Self::Empty => "empty",
            Self::Declined => "declined",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }
}

impl From<NoReply> for LoanResult {
    fn from(missing: NoReply) -> Self {
        match missing {
            NoReply::Refused => Self::Refused,
            NoReply::TimedOut => Self::TimedOut,
            NoReply::Failed => Self::Failed,
        }
    }
}

/// The counts since the process started.
#[derive(Debug, Default)]
pub struct Counts {
    /// Tokens that other routers have lent to this one.
    pub borrowed: Counter,
    /// Tokens that this router has lent.
    pub lent: Counter,
    limited_reads: Counter,
    loans: [Counter; LoanResult::ALL.len()],
    limited_by_cap: Counter,
    limited_by_grant: Counter,
}

impl Counts {
    /// Counts a loan that was asked for.
    pub fn add_loan(&self, result: LoanResult) {
        self.loans[result as usize].add(1);
    }

    /// Counts a request that this router had no tokens for when it arrived, by what limited its payment.
    pub fn add_limited(&self, limit: Limit) {
        match limit {
            Limit::Cap => self.limited_by_cap.add(1),
            Limit::Grant => self.limited_by_grant.add(1),
        }
    }

    /// Counts a read of a partition that is made only because free tokens limited a grant.
    pub fn add_limited_read(&self) {
        self.limited_reads.add(1);
    }

    /// Formats the counts, one value per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let totals = [
            ("tokens_borrowed", &self.borrowed),
            ("tokens_lent", &self.lent),
            ("limited_grant_reads", &self.limited_reads),
        ];
        for (name, counter) in totals {
            let count = counter.get();
            // Writing to a `String` cannot fail, here and below.
            let _ = writeln!(text, "lanedeck_{name}_total {count}");
        }
        for result in LoanResult::ALL {
            let (label, count) = (result.as_str(), self.loans[result as usize].get());
            let _ = writeln!(text, "lanedeck_loans_total{{result=\"{label}\"}} {count}");
        }
        let limits = [
            (Limit::Cap, &self.limited_by_cap),
            (Limit::Grant, &self.limited_by_grant),
        ];
        for (limit, counter) in limits {
            let (label, count) = (limit.as_str(), counter.get());
            let _ = writeln!(
                text,
                "lanedeck_payments_limited_total{{limit=\"{label}\"}} {count}"
            );
        }
        text
    }
}
