//! The slots of targets that fail once they reject too many requests: which of them this router owns, and what uses them.

use std::collections::HashMap;

use super::registry::Targets;
use super::target::Target;
use crate::gateway::decision::slots::{self, Line, WITHHELD_FOR};
use crate::gateway::key::TargetKey;
use crate::gateway::members::Members;
use crate::gateway::slots::{End, LeaseId, Occupancy};
use crate::units::Millis;

/// How long the number of owned slots is used before it is determined again: routers join or leave for good seldom.
const OWNED_VALID_FOR: Millis = Millis(200);
/// How long a request is assumed to use a slot before any has ended.
const WORK_DEFAULT_MS: f64 = 100.0;
/// Weight of the latest request in the average time that requests use a slot, 0 to 1.
const WORK_WEIGHT: f64 = 0.1;

/// A lease of another router.
#[derive(Clone, Copy, Debug)]
struct Lease {
    granted: Millis,
    until: Millis,
}

/// The slots of one target, as far as this router owns them.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    /// This router's attempts in progress that were placed with a slot, whoever owns it.
    placed: u32,
    /// This router's attempts that use an owned slot.
    own: u32,
    leases: HashMap<LeaseId, Lease>,
    /// Until when attempts count that the target may still work on.
    lingering: Vec<Millis>,
    /// Until when slots are unused after a rejection.
    withheld: Vec<Millis>,
    /// Requests that wait for an owned slot.
    waiting: u32,
    /// Number of owned slots, and when it was determined.
    owned: Option<(Millis, u32)>,
    work_ms: Option<f64>,
}

impl Slots {
    fn line(&self, in_flight: u32) -> Line {
        // Attempts from before the limit was known use any slots.
        let unplaced = in_flight.saturating_sub(self.placed);
        let used = self.leases.len() + self.lingering.len();
        Line {
            owned: self.owned.map_or(0, |(_, owned)| owned),
            withheld: count(self.withheld.len()),
            occupied: self.own + unplaced + count(used),
            waiting: self.waiting,
            work: Millis(self.work_ms.unwrap_or(WORK_DEFAULT_MS) as u64),
        }
    }

    /// Accounts for the end of a request in an owned slot.
    fn free(&mut self, now: Millis, since: Millis, until: Millis, occupancy: Occupancy) {
        match occupancy {
            Occupancy::Ended => {
                let took = now.saturating_sub(since).0 as f64;
                let average = self.work_ms.get_or_insert(took);
                *average += (took - *average) * WORK_WEIGHT;
            }
            Occupancy::Rejected => self.withheld.push(now + WITHHELD_FOR),
            Occupancy::Unknown => self.lingering.push(until),
        }
    }

    /// Drops what has expired; returns whether a slot has become free by it.
    fn expire(&mut self, now: Millis) -> bool {
        let before = (self.leases.len(), self.lingering.len(), self.withheld.len());
        self.leases.retain(|_, lease| now < lease.until);
        self.lingering.retain(|until| now < *until);
        self.withheld.retain(|until| now < *until);
        before != (self.leases.len(), self.lingering.len(), self.withheld.len())
    }

    fn is_used(&self) -> bool {
        let used = [self.leases.len(), self.lingering.len(), self.withheld.len()];
        self.waiting > 0 || used.into_iter().any(|count| count > 0)
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// The slots of a target that this router owns, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owned {
    /// Owned slots.
    pub owned: u32,
    /// Owned slots in use.
    pub occupied: u32,
    /// Owned slots that are unused after a rejection.
    pub withheld: u32,
}

impl Targets {
    /// Whether requests to a target need a slot: it has a rejection limit, or nothing is known of it and another target of
    /// its service has one.
    pub fn needs_slot(&self, key: TargetKey) -> bool {
        let target = self.get(key);
        if target.rejection_limit.in_force().is_some() {
            return true;
        }
        let is_unknown = !target.has_answered && !target.rejection_limit.was_announced();
        is_unknown && self.has_rejection_limit(&target.listing.service)
    }

    fn has_rejection_limit(&self, service: &str) -> bool {
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut targets = group.iter().map(|key| self.get(*key));
        targets.any(|target| target.rejection_limit.in_force().is_some())
    }

    /// The slots of a target that this router owns, and their use.
    pub fn line(&mut self, now: Millis, routers: &Members, key: TargetKey) -> Line {
        let target = self.get(key);
        let known = target.slots.owned;
        if known.is_none_or(|(at, _)| now.saturating_sub(at) >= OWNED_VALID_FOR) {
            // A router that does not know the others would take all slots for its own.
            let place = routers.place(now, &target.listing.instance);
            let place = place.filter(|_| routers.is_acquainted());
            let owned = slots::owned(target.listing.slots, routers.count(), place);
            self.get_mut(key).slots.owned = Some((now, owned));
        }
        let target = self.get(key);
        target.slots.line(target.in_flight)
    }

    /// Number of routers that own slots of a target.
    pub fn owners(&self, routers: &Members, key: TargetKey) -> usize {
        let slots = self.get(key).listing.slots as usize;
        slots.clamp(1, routers.count())
    }

    /// Counts an attempt that was placed with a slot.
    pub fn begin_placed(&mut self, key: TargetKey) {
        self.get_mut(key).slots.placed += 1;
    }

    /// Counts the end of an attempt that was placed with a slot.
    pub fn end_placed(&mut self, key: TargetKey) {
        let placed = &mut self.get_mut(key).slots.placed;
        assert!(*placed > 0, "an attempt ends only after it was placed");
        *placed -= 1;
    }

    /// Uses an owned slot for an attempt of this router.
    pub fn take_slot(&mut self, key: TargetKey) {
        self.get_mut(key).slots.own += 1;
    }

    /// Ends the use of an owned slot by an attempt that began at `since` and ends at `until` at the latest.
    pub fn free_slot(
        &mut self,
        now: Millis,
        key: TargetKey,
        since: Millis,
        until: Millis,
        occupancy: Occupancy,
    ) {
        let slots = &mut self.get_mut(key).slots;
        assert!(slots.own > 0, "a slot is freed only after it was taken");
        slots.own -= 1;
        slots.free(now, since, until, occupancy);
    }

    /// Leases an owned slot to another router.
    pub fn lease_slot(&mut self, now: Millis, key: TargetKey, id: LeaseId, until: Millis) {
        let granted = now;
        let lease = Lease { granted, until };
        self.get_mut(key).slots.leases.insert(id, lease);
    }

    /// Ends a lease. Returns its target, unless the lease has expired.
    pub fn end_lease(&mut self, now: Millis, end: &End) -> Option<TargetKey> {
        let key = self.by_hash.get(&end.instance).copied()?;
        let slots = &mut self.get_mut(key).slots;
        let lease = slots.leases.remove(&end.lease)?;
        slots.free(now, lease.granted, lease.until, end.occupancy);
        Some(key)
    }

    /// Sets the number of requests that wait for an owned slot of a target.
    pub fn set_waiting(&mut self, key: TargetKey, waiting: usize) {
        if let Some(target) = self.all_mut(key) {
            target.slots.waiting = count(waiting);
        }
    }

    /// Drops expired leases and the like; returns the targets of which a slot has become free.
    pub fn expire_slots(&mut self, now: Millis) -> Vec<TargetKey> {
        let mut freed = Vec::new();
        for (key, target) in self.all_with_keys_mut() {
            if target.slots.expire(now) {
                freed.push(key);
            }
        }
        freed
    }

    /// Whether anything of the slots expires later.
    pub fn uses_slots(&self) -> bool {
        self.known().any(|target| target.slots.is_used())
    }

    /// The target of this instance, by its hash, unless its incarnation has ended.
    pub fn by_hash(&self, instance: u64) -> Option<TargetKey> {
        let key = *self.by_hash.get(&instance)?;
        (!self.get(key).ended.is_cancelled()).then_some(key)
    }
}

impl Target {
    /// The owned slots, if requests to the target have used or asked for any.
    pub(super) fn owned_slots(&self) -> Option<Owned> {
        let line = self.slots.line(self.in_flight);
        let Line {
            owned,
            occupied,
            withheld,
            ..
        } = line;
        self.slots.owned.map(|_| Owned {
            owned,
            occupied,
            withheld,
        })
    }
}
