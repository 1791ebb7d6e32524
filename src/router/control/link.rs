//! A holder's channel to one witness: in order, one call at a time, repeated until answered.

use std::collections::VecDeque;

use crate::router::key::Incarnation;
use crate::router::message::{Notice, Request};
use crate::units::Millis;

use super::Call;

/// A call unanswered for this long is sent again.
const RESEND_AFTER: Millis = Millis(400);
/// Notices in one call.
const NOTICES_MAX: usize = 128;

#[derive(Clone, Debug)]
struct Flight {
    call: Call,
    asks: Vec<Notice>,
    since: Millis,
}

/// The channel.
#[derive(Clone, Debug)]
pub(super) struct Link {
    holder: Incarnation,
    to: Incarnation,
    seq: u64,
    outbox: VecDeque<Notice>,
    flight: Option<Flight>,
    /// When the last call that was answered had been sent.
    pub heard: Millis,
    /// Whether the witness has taken the accounts.
    pub adopted: bool,
    /// Requests that stood open in the accounts when they were made.
    pub open: Vec<u64>,
    /// Requests that stood settled in them, and were not yet acknowledged.
    pub settled: Vec<u64>,
}

impl Link {
    /// A channel with nothing sent.
    ///
    /// `count` numbers the links of this process, so that a late call of an earlier one is told
    /// apart.
    pub fn new(now: Millis, holder: Incarnation, to: Incarnation, count: u32) -> Self {
        Self {
            holder,
            to,
            seq: u64::from(count) << 32,
            outbox: VecDeque::new(),
            flight: None,
            heard: now,
            adopted: false,
            open: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// Queues an ask.
    pub fn push(&mut self, ask: Notice) {
        self.outbox.push_back(ask);
    }

    /// Whether nothing is queued or under way.
    pub fn is_idle(&self) -> bool {
        self.outbox.is_empty() && self.flight.is_none()
    }

    /// The next call, if one is due; `call` numbers it.
    pub fn due(&mut self, now: Millis, call: Call) -> Option<Request> {
        match &mut self.flight {
            Some(flight) if now < flight.since + RESEND_AFTER => return None,
            Some(flight) => {
                flight.call = call;
                flight.since = now;
            }
            None if self.outbox.is_empty() => return None,
            None => {
                let count = self.outbox.len().min(NOTICES_MAX);
                let asks = self.outbox.drain(..count).collect();
                self.seq += 1;
                let since = now;
                self.flight = Some(Flight { call, asks, since });
            }
        }
        let flight = self.flight.as_ref()?;
        Some(Request::Ward {
            to: self.to,
            holder: self.holder,
            seq: self.seq,
            asks: flight.asks.clone(),
        })
    }

    /// Whether this reply is to the call under way; its asks are then taken out.
    pub fn answered(&mut self, call: Call) -> Option<Vec<Notice>> {
        if self.flight.as_ref()?.call != call {
            return None;
        }
        let flight = self.flight.take()?;
        self.heard = flight.since;
        Some(flight.asks)
    }

    /// The call failed; it is due again after a while.
    pub fn failed(&mut self, now: Millis, call: Call) {
        if let Some(flight) = &mut self.flight
            && flight.call == call
        {
            // Half the wait: a refused connection need not be waited for in full.
            flight.since = now.saturating_sub(Millis(RESEND_AFTER.0 / 2));
        }
    }
}
