//! What a router keeps in memory for the holders that have named it their witness.
//!
//! It is a bounded outbox and no store: it is empty once the log has the settlements. It is also
//! the one judge when a request of a lost holder is taken over: an entry goes from open to settled
//! or to taken, once. After a close nothing is acknowledged for the holder any more, so what it
//! has not opened here it can never have dispatched.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reservation;
use super::ward::{Replica, State};
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::Closed;
use crate::router::request::{EPOCH_KEEP, Id};
use crate::units::{Millis, Tokens};

/// A closed ward is kept for this long, for retries of its requests.
const CLOSED_KEEP: Millis = Millis(3_600_000);

/// A witness's answer to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Noted.
    Acknowledged,
    /// The holder was closed. For a settlement, `billed` says whether it still counts.
    Closed {
        /// Whether the bill stands.
        billed: bool,
    },
    /// This router is not, or no longer, the witness.
    Unknown,
}

/// A witness's answer to a router that wants to run a lost holder's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeoverAnswer {
    /// It was never dispatched, and never will be: run it.
    Fresh,
    /// It was dispatched and not settled; it is released from the bill there: run and bill it.
    Open,
    /// It was billed this much already: run it again at no charge.
    Settled(Tokens),
    /// The asker was given it before.
    Yours,
    /// Another router has it.
    Other(Incarnation),
    /// The holder is not closed.
    Alive,
    /// Its id is too old to be judged.
    Expired,
    /// This router cannot judge.
    Unknown,
}

/// How a holder's call stands to those before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replay {
    /// The next one.
    New,
    /// The last one once more, with what it was answered.
    Repeated(Vec<Answer>),
    /// An older one, or one with a gap before it.
    Stale,
}

/// The bill of a closed holder's request, to be written after the close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The request.
    pub id: Id,
    /// The budget that pays.
    pub budget: BudgetKey,
    /// What it is billed.
    pub billed: Tokens,
}

/// A closed holder's request whose outcome nobody has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// The request.
    pub id: Id,
    /// The budget that pays.
    pub budget: BudgetKey,
    /// What may be billed, and where it went.
    pub reservation: Reservation,
}

#[derive(Clone, Debug)]
struct Held {
    replica: Replica,
    /// The holder's last call and what it was answered.
    last: (u64, Vec<Answer>),
    heard: Millis,
    closed: Option<Millis>,
    /// The accounts at the close, as the close records tell them.
    report: Vec<Closed>,
    /// Bills, decided since the close, that the log may not have yet.
    resolved: Vec<Resolved>,
}

/// The first call of a link; its number within the link is the lower half.
fn is_first(seq: u64) -> bool {
    seq & 0xffff_ffff == 1
}

/// All wards of a router.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    replicas: BTreeMap<Incarnation, Held>,
}

impl Witness {
    /// Becomes a holder's witness, with its accounts so far.
    pub fn adopt(&mut self, now: Millis, holder: Incarnation, replica: Replica) -> Answer {
        match self.replicas.get_mut(&holder) {
            Some(held) if held.closed.is_some() => Answer::Closed { billed: false },
            Some(held) => {
                held.replica = replica;
                held.heard = now;
                Answer::Acknowledged
            }
            None => {
                let held = Held {
                    replica,
                    last: (0, Vec::new()),
                    heard: now,
                    closed: None,
                    report: Vec::new(),
                    resolved: Vec::new(),
                };
                self.replicas.insert(holder, held);
                Answer::Acknowledged
            }
        }
    }

    /// The holder is about to dispatch a request.
    pub fn open(
        &mut self,
        now: Millis,
        id: Id,
        budget: BudgetKey,
        reservation: Reservation,
    ) -> Answer {
        let Some(held) = self.replicas.get_mut(&id.incarnation) else {
            return Answer::Unknown;
        };
        if held.closed.is_some() {
            return Answer::Closed { billed: false };
        }
        held.heard = now;
        held.replica.epoch = held.replica.epoch.max(id.epoch());
        let entry = held.replica.entries.entry(id.nonce);
        let (_, state) = entry.or_insert((budget, State::Open(reservation)));
        // Another dispatch of it may go elsewhere; what is settled stays settled.
        if let State::Open(known) = state {
            *known = reservation;
        }
        Answer::Acknowledged
    }

    /// The holder has billed a request; `None` means that it was never dispatched.
    pub fn settle(&mut self, now: Millis, id: Id, billed: Option<Tokens>) -> Answer {
        let Some(held) = self.replicas.get_mut(&id.incarnation) else {
            return Answer::Unknown;
        };
        held.heard = now;
        let Some((budget, state)) = held.replica.entries.get_mut(&id.nonce) else {
            return Answer::Acknowledged;
        };
        let budget = *budget;
        match (*state, billed, held.closed) {
            (State::Open(_), Some(billed), None) => {
                *state = State::Settled(billed);
                *held.replica.totals.entry(budget).or_default() += billed;
                Answer::Acknowledged
            }
            (State::Open(_), None, None) => {
                held.replica.entries.remove(&id.nonce);
                Answer::Acknowledged
            }
            (State::Open(_), bill, Some(_)) => {
                let bill = bill.unwrap_or(Tokens::ZERO);
                *state = State::Settled(bill);
                let billed = bill;
                held.resolved.push(Resolved { id, budget, billed });
                Answer::Closed { billed: true }
            }
            (State::Settled(_), _, None) => Answer::Acknowledged,
            (State::Settled(_), _, Some(_)) => Answer::Closed { billed: true },
            (State::TakenOver(_), _, _) => Answer::Closed { billed: false },
        }
    }

    /// Whether the holder's call `seq` is new, was answered already, or cannot be taken.
    pub fn replay(&self, holder: Incarnation, seq: u64) -> Replay {
        match self.replicas.get(&holder) {
            None if is_first(seq) => Replay::New,
            None => Replay::Stale,
            Some(held) if seq == held.last.0 => Replay::Repeated(held.last.1.clone()),
            Some(held) if seq == held.last.0 + 1 => Replay::New,
            Some(held) if is_first(seq) && seq > held.last.0 => Replay::New,
            Some(_) => Replay::Stale,
        }
    }

    /// Remembers what the call `seq` was answered.
    pub fn record_answers(&mut self, holder: Incarnation, seq: u64, answers: &[Answer]) {
        if let Some(held) = self.replicas.get_mut(&holder) {
            held.last = (seq, answers.to_vec());
        }
    }

    /// A holder is still there.
    pub fn heard(&mut self, now: Millis, holder: Incarnation, epoch: u32) -> Answer {
        match self.replicas.get_mut(&holder) {
            None => Answer::Unknown,
            Some(held) if held.closed.is_some() => Answer::Closed { billed: false },
            Some(held) => {
                held.heard = now;
                held.replica.epoch = held.replica.epoch.max(epoch);
                held.replica.prune();
                Answer::Acknowledged
            }
        }
    }

    /// Wards that have been silent for `span` and are not closed.
    pub fn silent(&self, now: Millis, span: Millis) -> Vec<Incarnation> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, held)| held.closed.is_none() && now > held.heard + span)
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// Acknowledges nothing more for a holder from here on.
    pub fn close(&mut self, now: Millis, holder: Incarnation) {
        if let Some(held) = self.replicas.get_mut(&holder)
            && held.closed.is_none()
        {
            held.closed = Some(now);
            held.report = held.replica.report();
        }
    }

    /// Closed wards.
    pub fn closed(&self) -> Vec<Incarnation> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, held)| held.closed.is_some())
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// What the close record says of a holder's budgets in one shard: the accounts at the close,
    /// however late it is written. What is decided since follows in resolve records.
    pub fn report(&self, holder: Incarnation, shard: u8) -> Vec<Closed> {
        let report = self.replicas.get(&holder).map(|held| held.report.iter());
        let report = report.into_iter().flatten();
        report
            .filter(|closed| closed.budget.shard == shard)
            .cloned()
            .collect()
    }

    /// Judges whether `by` may run a request of a lost holder; `repeatable` requests that were
    /// dispatched may be taken over, others may not.
    pub fn take_over(&mut self, id: Id, by: Incarnation, repeatable: bool) -> TakeoverAnswer {
        let Some(held) = self.replicas.get_mut(&id.incarnation) else {
            return TakeoverAnswer::Unknown;
        };
        if held.closed.is_none() {
            return TakeoverAnswer::Alive;
        }
        let Some((budget, state)) = held.replica.entries.get_mut(&id.nonce) else {
            if id.epoch() + EPOCH_KEEP < held.replica.epoch {
                return TakeoverAnswer::Expired;
            }
            let nowhere = BudgetKey { shard: 0, index: 0 };
            held.replica
                .entries
                .insert(id.nonce, (nowhere, State::TakenOver(by)));
            return TakeoverAnswer::Fresh;
        };
        match *state {
            State::TakenOver(other) if other == by => TakeoverAnswer::Yours,
            State::TakenOver(other) => TakeoverAnswer::Other(other),
            State::Settled(billed) => TakeoverAnswer::Settled(billed),
            State::Open(_) if repeatable => {
                *state = State::TakenOver(by);
                held.resolved.push(Resolved {
                    id,
                    budget: *budget,
                    billed: Tokens::ZERO,
                });
                TakeoverAnswer::Open
            }
            State::Open(_) => TakeoverAnswer::Open,
        }
    }

    /// Bills decided since a close that the log may not have yet.
    pub fn unrecorded(&self) -> Vec<Resolved> {
        let replicas = self.replicas.values();
        replicas
            .flat_map(|held| held.resolved.iter().copied())
            .collect()
    }

    /// The log has a bill.
    pub fn mark_recorded(&mut self, id: Id) {
        if let Some(held) = self.replicas.get_mut(&id.incarnation) {
            held.resolved.retain(|resolved| resolved.id != id);
        }
    }

    /// Requests of closed holders that are still open: ask their targets.
    pub fn in_doubt(&self) -> Vec<Doubt> {
        let closed = self
            .replicas
            .iter()
            .filter(|(_, held)| held.closed.is_some());
        let entries = closed.flat_map(|(holder, held)| {
            let entries = held.replica.entries.iter();
            entries.map(|(nonce, (budget, state))| (*holder, *nonce, *budget, *state))
        });
        let open = entries.filter_map(|(incarnation, nonce, budget, state)| match state {
            State::Open(reservation) => Some(Doubt {
                id: Id { incarnation, nonce },
                budget,
                reservation,
            }),
            State::Settled(_) | State::TakenOver(_) => None,
        });
        open.collect()
    }

    /// The target of a closed holder's request says that it is done, and what it used.
    pub fn record_outcome(&mut self, id: Id, used: Tokens) {
        let held = self.replicas.get(&id.incarnation);
        let Some(held) = held.filter(|held| held.closed.is_some()) else {
            return;
        };
        if let Some((_, State::Open(reservation))) = held.replica.entries.get(&id.nonce) {
            let (heard, billed) = (held.heard, reservation.bill(used));
            self.settle(heard, id, Some(billed));
        }
    }

    /// Forgets a holder that has found another witness.
    pub fn forget(&mut self, holder: Incarnation) {
        self.replicas.remove(&holder);
    }

    /// Forgets wards closed long ago.
    pub fn prune(&mut self, now: Millis) {
        self.replicas
            .retain(|_, held| held.closed.is_none_or(|at| now < at + CLOSED_KEEP));
    }

    /// Whether a holder has named this router.
    pub fn is_witness_of(&self, holder: Incarnation) -> bool {
        self.replicas.contains_key(&holder)
    }

    /// Holders that have named this router, with when each was last heard.
    pub fn holders(&self) -> impl Iterator<Item = (Incarnation, Millis)> {
        let replicas = self.replicas.iter();
        replicas.map(|(holder, held)| (*holder, held.heard))
    }

    /// Holders that this router is the witness of.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }
}
