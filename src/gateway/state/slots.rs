//! Slots for attempts at targets that fail once they reject too many requests.

use rand::seq::IndexedRandom;

use super::{Running, State};
use crate::gateway::decision::slots::{Entry, PROBES};
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::members::Router;
use crate::gateway::slots::{End, LeaseId, Occupancy, Patience};
use crate::units::Millis;

/// Who owns the slot of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This router.
    Me,
    /// Another router.
    Other(Router),
}

/// The slot of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    owner: Owner,
    patience: Patience,
    held: Option<Held>,
}

/// A slot that was granted.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: Millis,
    /// The lease, if another router owns the slot.
    lease: Option<LeaseId>,
}

/// An attempt's request for a slot.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Id of the request, for logs.
    pub id: String,
    /// The target.
    pub target: TargetKey,
    /// Hash of the target's instance.
    pub instance: u64,
    /// Who owns the slot.
    pub owner: Owner,
    /// Whether the request waits.
    pub patience: Patience,
    /// Rank of the request.
    pub rank: u8,
    /// When the request ends at the latest.
    pub deadline: Millis,
}

/// What an attempt needs before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Nothing.
    Send,
    /// A slot.
    Slot,
    /// Another target, since its own takes no request of this router now.
    Barred,
}

/// Slots whose use has ended, for the control thread to act on.
#[derive(Debug, Default)]
pub struct Freed {
    /// Targets of which an owned slot is free.
    pub own: Vec<TargetKey>,
    /// Leases whose owners have to be told.
    pub leases: Vec<(Router, End)>,
}

impl Freed {
    /// Whether there is nothing to act on.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.leases.is_empty()
    }
}

impl State {
    /// Restricts the candidates of an attempt to those that it needs no slot for, or has one of this router's for. If
    /// there are none, all remain, and the attempt asks for a slot.
    pub(super) fn prefer_free_slots(
        &mut self,
        now: Millis,
        running: &Running,
        candidates: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        if !candidates.iter().any(|key| self.targets.needs_slot(*key)) {
            return candidates;
        }
        let left = running.job.deadline.saturating_sub(now);
        let (mut free, mut queued) = (Vec::new(), Vec::new());
        for key in &candidates {
            if !self.targets.needs_slot(*key) {
                free.push(*key);
                continue;
            }
            match self.targets.line(now, &self.members, *key).enter(left) {
                Entry::Enter => free.push(*key),
                Entry::Wait if running.slots_refused >= PROBES => queued.push(*key),
                Entry::Wait | Entry::Busy { .. } => {}
            }
        }
        [free, queued, candidates]
            .into_iter()
            .find(|keys| !keys.is_empty())
            .unwrap_or_default()
    }

    /// Determines whose slot an attempt at a target uses; `None` if it needs none.
    pub(super) fn plan_slot(
        &mut self,
        now: Millis,
        running: &Running,
        target: TargetKey,
    ) -> Option<Slot> {
        if !self.knows_limits {
            return Some(Slot {
                owner: Owner::Me,
                patience: Patience::Wait,
                held: None,
            });
        }
        if !self.targets.needs_slot(target) {
            return None;
        }
        let left = running.job.deadline.saturating_sub(now);
        let entry = self.targets.line(now, &self.members, target).enter(left);
        let has_probed = running.slots_refused >= PROBES;
        let is_own = entry == Entry::Enter || (entry == Entry::Wait && has_probed);
        let other = (!is_own).then(|| self.draw_owner(now, target)).flatten();
        let patience = match (&other, has_probed) {
            (Some(_), false) => Patience::Now,
            (None, _) | (_, true) => Patience::Wait,
        };
        Some(Slot {
            owner: other.map_or(Owner::Me, Owner::Other),
            patience,
            held: None,
        })
    }

    /// Records that other routers have told the limits that targets announce, or that none does in time.
    pub fn set_knows_limits(&mut self) {
        self.knows_limits = true;
    }

    /// Whether other routers have told the limits that targets announce. Until then each attempt waits for a slot.
    pub fn knows_limits(&self) -> bool {
        self.knows_limits
    }

    /// Determines again what a request's current attempt needs, which was placed before the limits that targets announce
    /// were known; `None` if it has ended.
    pub fn replan(&mut self, now: Millis, key: JobKey) -> Option<Plan> {
        let mut running = self.running.remove(&key)?;
        let plan = running.target.map(|target| {
            if !self.targets.allows_send(now, &self.members, target) {
                return Plan::Barred;
            }
            self.targets.note_send(now, &self.members, target);
            let Some(slot) = self.plan_slot(now, &running, target) else {
                return Plan::Send;
            };
            running.slot = Some(slot);
            Plan::Slot
        });
        self.running.insert(key, running);
        plan
    }

    /// Another live router that owns slots of a target, drawn at random.
    fn draw_owner(&mut self, now: Millis, target: TargetKey) -> Option<Router> {
        let count = self.targets.owners(&self.members, target);
        let instance = &self.targets.get(target).listing.instance;
        let owners = self.members.live_first(now, instance, count);
        owners
            .choose(&mut self.random)
            .map(|router| (*router).clone())
    }

    /// The slot that a request's current attempt asks for; `None` if the attempt has ended.
    pub fn wanted_slot(&self, key: JobKey) -> Option<Wanted> {
        let running = self.running.get(&key)?;
        let (target, slot) = (running.target?, running.slot.as_ref()?);
        Some(Wanted {
            id: running.job.id.clone(),
            target,
            instance: self.targets.get(target).hash(),
            owner: slot.owner.clone(),
            patience: slot.patience,
            rank: running.job.rank,
            deadline: running.job.deadline,
        })
    }

    /// Records that a request's current attempt at `target` has got its slot. Returns `false` if the attempt has ended.
    pub fn hold_slot(
        &mut self,
        now: Millis,
        key: JobKey,
        target: TargetKey,
        lease: Option<LeaseId>,
    ) -> bool {
        let Some(running) = self.running.get_mut(&key) else {
            return false;
        };
        let slot = running.slot.as_mut().filter(|slot| slot.held.is_none());
        let (Some(slot), true) = (slot, running.target == Some(target)) else {
            return false;
        };
        slot.held = Some(Held { since: now, lease });
        running.sent = now;
        if lease.is_none() {
            self.targets.take_slot(target);
        }
        true
    }

    /// Records that a request's current attempt gets no slot where it asked.
    pub fn note_slot_refused(&mut self, key: JobKey) {
        if let Some(running) = self.running.get_mut(&key) {
            running.slots_refused += 1;
        }
    }

    /// Ends the use of an attempt's slot.
    pub(super) fn release_slot(
        &mut self,
        now: Millis,
        running: &mut Running,
        target: TargetKey,
        occupancy: Occupancy,
    ) {
        let Some(slot) = running.slot.take() else {
            return;
        };
        self.targets.end_placed(target);
        let Some(held) = slot.held else {
            return;
        };
        match (slot.owner, held.lease) {
            (Owner::Other(router), Some(lease)) => {
                let instance = self.targets.get(target).hash();
                let end = End {
                    instance,
                    lease,
                    occupancy,
                };
                self.freed.leases.push((router, end));
            }
            (Owner::Me, _) | (_, None) => {
                let until = running.job.deadline;
                self.targets
                    .free_slot(now, target, held.since, until, occupancy);
                self.freed.own.push(target);
            }
        }
    }

    /// Returns the slots whose use has ended since the last call.
    pub fn take_freed(&mut self) -> Freed {
        std::mem::take(&mut self.freed)
    }

    /// Whether the use of any slot has ended since [`take_freed`](Self::take_freed) was last called.
    pub fn has_freed(&self) -> bool {
        !self.freed.is_empty()
    }
}
