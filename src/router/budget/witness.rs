//! In-memory replicas of the holders that have named this router their witness.
//!
//! A replica is a bounded buffer of what the log does not have yet, not a durable store: it is empty once the log has
//! the settlements. The witness alone decides whether a request of a lost holder may be taken over: an entry changes
//! from open to settled, cancelled or taken over, once. After a close nothing is acknowledged for the holder any more, so a
//! request that the holder has not opened here was never dispatched and never will be.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reservation;
use super::ward::{Replica, State};
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::Closed;
use crate::router::request::{EPOCH_KEEP, Id};
use crate::units::{Millis, Tokens};

/// The replica of a closed holder is kept for this long, for retries of its requests.
const CLOSED_RETENTION: Millis = Millis(3_600_000);

/// A witness's answer to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The notice is recorded.
    Acknowledged,
    /// The holder is closed.
    Closed {
        /// For a settlement: whether the bill counts. False for every other notice.
        billed: bool,
    },
    /// This router is not the holder's witness, or not any more.
    Unknown,
}

/// A witness's answer to a router that wants to take over a lost holder's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeoverAnswer {
    /// The request was never dispatched, and never will be: the asker may run it.
    Fresh,
    /// The request was dispatched and is not settled. If it is repeatable, the lost holder is billed nothing for it,
    /// and the asker may run and bill it.
    Open,
    /// The request was billed this much already: the asker may run it again, at no charge, if it is repeatable.
    Settled(Tokens),
    /// The asker has taken the request over before.
    Yours,
    /// This other router has taken the request over.
    Other(Incarnation),
    /// The holder is not closed.
    Alive,
    /// The request's id is too old to decide.
    Expired,
    /// This router has no replica of the holder and cannot decide.
    Unknown,
}

/// The position of a holder's call relative to the last one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replay {
    /// The next call in the sequence.
    New,
    /// The last call repeated; holds the answers that the last call got.
    Repeated(Vec<Answer>),
    /// An older call, or one that follows a gap in the sequence.
    Stale,
}

/// The bill of a closed holder's request, written to the log after the close record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The request.
    pub id: Id,
    /// The budget that pays.
    pub budget: BudgetKey,
    /// Bill of the request.
    pub billed: Tokens,
}

/// A closed holder's request with an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The request.
    pub id: Id,
    /// The budget that pays.
    pub budget: BudgetKey,
    /// Reservation of the request, with the target that can be asked.
    pub reservation: Reservation,
}

#[derive(Clone, Debug)]
struct HolderRecord {
    replica: Replica,
    /// Sequence number of the holder's last call, and the answers that it got.
    last_call: (u64, Vec<Answer>),
    last_heard: Millis,
    closed: Option<Millis>,
    /// The accounts at the close, as stated in the close records.
    report: Vec<Closed>,
    /// Bills decided since the close that may not be in the log yet.
    resolved: Vec<Resolved>,
}

/// Whether this is the first call of a link; the lower half of a sequence number counts the calls of one link.
fn is_first_of_link(seq: u64) -> bool {
    seq & 0xffff_ffff == 1
}

/// The replicas that a router keeps as a witness.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    replicas: BTreeMap<Incarnation, HolderRecord>,
}

impl Witness {
    /// Becomes the witness of a holder, with a replica of its accounts so far.
    pub fn adopt(&mut self, now: Millis, holder: Incarnation, replica: Replica) -> Answer {
        match self.replicas.get_mut(&holder) {
            Some(record) if record.closed.is_some() => Answer::Closed { billed: false },
            Some(record) => {
                record.replica = replica;
                record.last_heard = now;
                Answer::Acknowledged
            }
            None => {
                let record = HolderRecord {
                    replica,
                    last_call: (0, Vec::new()),
                    last_heard: now,
                    closed: None,
                    report: Vec::new(),
                    resolved: Vec::new(),
                };
                self.replicas.insert(holder, record);
                Answer::Acknowledged
            }
        }
    }

    /// Records that the holder is about to dispatch a request.
    pub fn open(
        &mut self,
        now: Millis,
        id: Id,
        budget: BudgetKey,
        reservation: Reservation,
    ) -> Answer {
        let Some(record) = self.replicas.get_mut(&id.incarnation) else {
            return Answer::Unknown;
        };
        if record.closed.is_some() {
            return Answer::Closed { billed: false };
        }
        record.last_heard = now;
        record.replica.epoch = record.replica.epoch.max(id.epoch());
        let entry = record.replica.entries.entry(id.nonce);
        let (_, state) = entry.or_insert((budget, State::Open(reservation)));
        // A repeated dispatch may go to another target; a settled request stays settled.
        if let State::Open(known) = state {
            *known = reservation;
        }
        Answer::Acknowledged
    }

    /// Records the holder's bill of a request; `None` if the request was never dispatched.
    pub fn settle(&mut self, now: Millis, id: Id, billed: Option<Tokens>) -> Answer {
        let Some(record) = self.replicas.get_mut(&id.incarnation) else {
            return Answer::Unknown;
        };
        record.last_heard = now;
        let Some((budget, state)) = record.replica.entries.get_mut(&id.nonce) else {
            return Answer::Acknowledged;
        };
        let budget = *budget;
        match (*state, billed, record.closed) {
            (State::Open(_), Some(billed), None) => {
                *state = State::Settled(billed);
                *record.replica.totals.entry(budget).or_default() += billed;
                Answer::Acknowledged
            }
            (State::Open(_), None, None) => {
                record.replica.entries.remove(&id.nonce);
                Answer::Acknowledged
            }
            (State::Open(_), bill, Some(_)) => {
                let bill = bill.unwrap_or(Tokens::ZERO);
                *state = State::Settled(bill);
                let billed = bill;
                record.resolved.push(Resolved { id, budget, billed });
                Answer::Closed { billed: true }
            }
            (State::Settled(_), _, None) => Answer::Acknowledged,
            (State::Settled(_), _, Some(_)) => Answer::Closed { billed: true },
            (State::TakenOver(_) | State::Cancelled, _, _) => Answer::Closed { billed: false },
        }
    }

    /// Whether the holder's call `seq` is new, was answered already, or must be ignored.
    pub fn replay(&self, holder: Incarnation, seq: u64) -> Replay {
        match self.replicas.get(&holder) {
            None if is_first_of_link(seq) => Replay::New,
            None => Replay::Stale,
            Some(record) if seq == record.last_call.0 => {
                Replay::Repeated(record.last_call.1.clone())
            }
            Some(record) if seq == record.last_call.0 + 1 => Replay::New,
            Some(record) if is_first_of_link(seq) && seq > record.last_call.0 => Replay::New,
            Some(_) => Replay::Stale,
        }
    }

    /// Records the answers to the call `seq`, in case the call is repeated.
    pub fn record_answers(&mut self, holder: Incarnation, seq: u64, answers: &[Answer]) {
        if let Some(record) = self.replicas.get_mut(&holder) {
            record.last_call = (seq, answers.to_vec());
        }
    }

    /// Records that a holder is alive and in this epoch.
    pub fn heard(&mut self, now: Millis, holder: Incarnation, epoch: u32) -> Answer {
        match self.replicas.get_mut(&holder) {
            None => Answer::Unknown,
            Some(record) if record.closed.is_some() => Answer::Closed { billed: false },
            Some(record) => {
                record.last_heard = now;
                record.replica.epoch = record.replica.epoch.max(epoch);
                record.replica.prune();
                Answer::Acknowledged
            }
        }
    }

    /// Holders that are not closed and have been silent for longer than `span`.
    pub fn silent(&self, now: Millis, span: Millis) -> Vec<Incarnation> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, record)| record.closed.is_none() && now > record.last_heard + span)
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// Closes a holder: nothing is acknowledged for it any more.
    pub fn close(&mut self, now: Millis, holder: Incarnation) {
        if let Some(record) = self.replicas.get_mut(&holder)
            && record.closed.is_none()
        {
            record.closed = Some(now);
            record.report = record.replica.report();
        }
    }

    /// The holders that this witness has closed.
    pub fn closed(&self) -> Vec<Incarnation> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, record)| record.closed.is_some())
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// A holder's accounts in one shard for its close record: those at the time of the close, however late the record
    /// is written. Later decisions follow in resolve records.
    pub fn report(&self, holder: Incarnation, shard: u8) -> Vec<Closed> {
        let report = self
            .replicas
            .get(&holder)
            .map(|record| record.report.iter());
        let report = report.into_iter().flatten();
        report
            .filter(|closed| closed.budget.shard == shard)
            .cloned()
            .collect()
    }

    /// Decides whether `by` may take over a request of a lost holder. A request that was dispatched may only be taken
    /// over if it is `repeatable`.
    pub fn take_over(&mut self, id: Id, by: Incarnation, repeatable: bool) -> TakeoverAnswer {
        let Some(record) = self.replicas.get_mut(&id.incarnation) else {
            return TakeoverAnswer::Unknown;
        };
        if record.closed.is_none() {
            return TakeoverAnswer::Alive;
        }
        let Some((budget, state)) = record.replica.entries.get_mut(&id.nonce) else {
            if id.epoch() + EPOCH_KEEP < record.replica.epoch {
                return TakeoverAnswer::Expired;
            }
            let no_budget = BudgetKey { shard: 0, index: 0 };
            record
                .replica
                .entries
                .insert(id.nonce, (no_budget, State::TakenOver(by)));
            return TakeoverAnswer::Fresh;
        };
        match *state {
            State::TakenOver(other) if other == by => TakeoverAnswer::Yours,
            State::TakenOver(other) => TakeoverAnswer::Other(other),
            State::Settled(billed) => TakeoverAnswer::Settled(billed),
            State::Open(_) if repeatable => {
                *state = State::TakenOver(by);
                record.resolved.push(Resolved {
                    id,
                    budget: *budget,
                    billed: Tokens::ZERO,
                });
                TakeoverAnswer::Open
            }
            State::Open(_) => TakeoverAnswer::Open,
            State::Cancelled => {
                *state = State::TakenOver(by);
                // A repeatable request may have run in part at a target before the one that has cancelled it.
                if repeatable {
                    TakeoverAnswer::Open
                } else {
                    TakeoverAnswer::Fresh
                }
            }
        }
    }

    /// Bills of closed holders' requests that may not be in the log yet.
    pub fn unrecorded(&self) -> Vec<Resolved> {
        let replicas = self.replicas.values();
        replicas
            .flat_map(|record| record.resolved.iter().copied())
            .collect()
    }

    /// Records that the log has the bill of a request.
    pub fn mark_recorded(&mut self, id: Id) {
        if let Some(record) = self.replicas.get_mut(&id.incarnation) {
            record.resolved.retain(|resolved| resolved.id != id);
        }
    }

    /// Open requests of closed holders; their targets must be asked for the outcome.
    pub fn in_doubt(&self) -> Vec<Doubt> {
        let closed = self
            .replicas
            .iter()
            .filter(|(_, record)| record.closed.is_some());
        let entries = closed.flat_map(|(holder, record)| {
            let entries = record.replica.entries.iter();
            entries.map(|(nonce, (budget, state))| (*holder, *nonce, *budget, *state))
        });
        let open = entries.filter_map(|(incarnation, nonce, budget, state)| match state {
            State::Open(reservation) => Some(Doubt {
                id: Id { incarnation, nonce },
                budget,
                reservation,
            }),
            State::Settled(_) | State::TakenOver(_) | State::Cancelled => None,
        });
        open.collect()
    }

    /// Bills a closed holder's request whose target reports that it is done and has used this much.
    pub fn record_outcome(&mut self, id: Id, used: Tokens) {
        let record = self.replicas.get(&id.incarnation);
        let Some(record) = record.filter(|record| record.closed.is_some()) else {
            return;
        };
        if let Some((_, State::Open(reservation))) = record.replica.entries.get(&id.nonce) {
            let (last_heard, billed) = (record.last_heard, reservation.bill(used));
            self.settle(last_heard, id, Some(billed));
        }
    }

    /// Bills nothing for a closed holder's request that its target has cancelled.
    pub fn record_cancelled(&mut self, id: Id) {
        let record = self.replicas.get_mut(&id.incarnation);
        let Some(record) = record.filter(|record| record.closed.is_some()) else {
            return;
        };
        if let Some((budget, state @ State::Open(_))) = record.replica.entries.get_mut(&id.nonce) {
            *state = State::Cancelled;
            record.resolved.push(Resolved {
                id,
                budget: *budget,
                billed: Tokens::ZERO,
            });
        }
    }

    /// Drops the replica of a holder that has another witness now.
    pub fn remove(&mut self, holder: Incarnation) {
        self.replicas.remove(&holder);
    }

    /// Drops the replicas of holders that were closed long ago.
    pub fn prune(&mut self, now: Millis) {
        self.replicas
            .retain(|_, record| record.closed.is_none_or(|at| now < at + CLOSED_RETENTION));
    }

    /// Whether this router has a replica of the holder.
    pub fn is_witness_of(&self, holder: Incarnation) -> bool {
        self.replicas.contains_key(&holder)
    }

    /// Holders with a replica here, and the time at which each was last heard from.
    pub fn holders(&self) -> impl Iterator<Item = (Incarnation, Millis)> {
        let replicas = self.replicas.iter();
        replicas.map(|(holder, record)| (*holder, record.last_heard))
    }

    /// Number of replicas.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }
}
