//! A holder's link to one of its witnesses. Notices are sent in order, one call at a time; a call is repeated
//! until it is answered.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::router::key::Incarnation;
use crate::router::message::{Notice, Request};
use crate::units::Millis;

use super::Call;

/// A call that is unanswered for this long is sent again.
const RESEND_AFTER: Millis = Millis(400);
/// Most notices in one call.
const NOTICES_MAX: usize = 128;

#[derive(Clone, Debug)]
struct InFlight {
    call: Call,
    notices: Vec<Notice>,
    since: Millis,
}

/// A link from a holder to a witness.
#[derive(Clone, Debug)]
pub(super) struct Link {
    holder: Incarnation,
    to: Incarnation,
    seq: u64,
    outbox: VecDeque<Notice>,
    in_flight: Option<InFlight>,
    /// When the last answered call was sent; when the link was made, if none was answered.
    pub last_answered: Millis,
    /// Whether the witness has acknowledged the holder's accounts.
    pub adopted: bool,
    /// Numbers and targets of the requests that are open in the accounts sent to the witness.
    pub open: Vec<(u64, SocketAddr)>,
    /// Numbers of the requests that are settled in the accounts sent to the witness, with an acknowledgement still
    /// outstanding.
    pub settled: Vec<u64>,
}

impl Link {
    /// A link on which nothing was sent yet.
    ///
    /// `count` numbers the links of this process, so that the witness recognises a delayed call of an earlier
    /// link.
    pub fn new(now: Millis, holder: Incarnation, to: Incarnation, count: u32) -> Self {
        Self {
            holder,
            to,
            seq: u64::from(count) << 32,
            outbox: VecDeque::new(),
            in_flight: None,
            last_answered: now,
            adopted: false,
            open: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// Queues a notice.
    pub fn push(&mut self, notice: Notice) {
        self.outbox.push_back(notice);
    }

    /// Whether nothing is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.outbox.is_empty() && self.in_flight.is_none()
    }

    /// The next call if one is due, which is then in flight under the number `call`.
    pub fn due(&mut self, now: Millis, call: Call) -> Option<Request> {
        match &mut self.in_flight {
            Some(in_flight) if now < in_flight.since + RESEND_AFTER => return None,
            Some(in_flight) => {
                in_flight.call = call;
                in_flight.since = now;
            }
            None if self.outbox.is_empty() => return None,
            None => {
                let count = self.outbox.len().min(NOTICES_MAX);
                let notices = self.outbox.drain(..count).collect();
                self.seq += 1;
                let since = now;
                self.in_flight = Some(InFlight {
                    call,
                    notices,
                    since,
                });
            }
        }
        let in_flight = self.in_flight.as_ref()?;
        Some(Request::Replicate {
            to: self.to,
            holder: self.holder,
            seq: self.seq,
            notices: in_flight.notices.clone(),
        })
    }

    /// Ends the call in flight and returns its notices; `None` if `call` is not in flight any more.
    pub fn complete(&mut self, call: Call) -> Option<Vec<Notice>> {
        if self.in_flight.as_ref()?.call != call {
            return None;
        }
        let in_flight = self.in_flight.take()?;
        self.last_answered = in_flight.since;
        Some(in_flight.notices)
    }

    /// Records that a call failed; it is due again after half of [`RESEND_AFTER`].
    pub fn failed(&mut self, now: Millis, call: Call) {
        if let Some(in_flight) = &mut self.in_flight
            && in_flight.call == call
        {
            // Half the wait: after a refused connection there is no answer to wait for.
            in_flight.since = now.saturating_sub(Millis(RESEND_AFTER.0 / 2));
        }
    }
}
