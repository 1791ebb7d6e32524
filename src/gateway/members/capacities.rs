//! The capacities of the fleet's routers: what is known, what is asked for, and what follows from it. All of it is lost
//! at a restart, and learnt again from other routers.

use std::collections::{HashMap, HashSet};

use super::{Member, Members, Router, hash_name};
use crate::gateway::capacities::{ENTRIES_MAX, Entry, Query, Wanted};
use crate::gateway::decision::capacity::{Basis, Capacity, Median, Spread, Weight};
use crate::gateway::decision::capacity::{basis, spread, weight};
use crate::units::Millis;

/// Time for which a router that did not answer is not asked again: it may run a version that does not know the question.
const UNANSWERED_PAUSE: Millis = Millis(30_000);

/// The number of live routers, this one included, and how many of their capacities there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Routers whose capacity is known: the cores or the link rate.
    pub known: usize,
    /// Routers whose capacity has been learnt, which some do not know themselves.
    pub learnt: usize,
    /// Live routers.
    pub live: usize,
}

/// How the capacities of the fleet are used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// What callers' addresses and holders are chosen by.
    pub basis: Basis,
    /// Whether the routers differ enough for their capacities to matter.
    pub spread: Spread,
    /// This router's weight.
    pub weight: Weight,
    /// How many capacities there are.
    pub coverage: Coverage,
}

impl Member {
    /// The capacity that was learnt last; unknown if none was.
    pub(super) fn capacity(&self) -> Capacity {
        self.capacity
            .map_or_else(Capacity::default, |(_, capacity)| capacity)
    }

    fn lacks_capacity(&self) -> bool {
        self.capacity
            .is_none_or(|(incarnation, _)| incarnation != self.router.incarnation)
    }

    /// The capacity of the router's present incarnation, if it is known.
    fn entry(&self) -> Option<Entry> {
        let (incarnation, capacity) = self.capacity?;
        (!self.lacks_capacity()).then(|| Entry {
            router: hash_name(&self.router.name),
            incarnation,
            capacity,
        })
    }
}

impl Members {
    /// Hashes of the names of the live routers whose present capacity is not known, in ascending order.
    pub fn lacking_capacities(&self, now: Millis) -> Vec<u64> {
        let lacking = self
            .live_members(now)
            .filter(|member| member.lacks_capacity());
        let mut hashes: Vec<u64> = lacking
            .map(|member| hash_name(&member.router.name))
            .collect();
        hashes.sort_unstable();
        hashes
    }

    /// The question for these lacking capacities: for each where a message holds them, and otherwise for a run that begins
    /// at one of them, which `random` selects. The questions of one round are numbered by `part`, and their runs follow
    /// one another, so that answers overlap little.
    pub fn capacity_query(&self, lacking: &[u64], random: u64, part: usize) -> Query {
        let wanted = if lacking.len() <= ENTRIES_MAX {
            Wanted::Routers(lacking.to_vec())
        } else {
            let count = lacking.len() as u64;
            let first = random % count + (part * ENTRIES_MAX) as u64;
            Wanted::From(lacking[(first % count) as usize])
        };
        Query {
            own: self.own_entry(),
            wanted,
        }
    }

    /// This router's own capacity, as it tells the others.
    pub fn own_entry(&self) -> Entry {
        Entry {
            router: hash_name(&self.me.name),
            incarnation: self.me.incarnation,
            capacity: self.own_capacity,
        }
    }

    /// The neighbours to ask for capacities: the live ones that did not fail to answer lately.
    pub fn capacity_sources(&self, now: Millis) -> Vec<&Router> {
        let is_paused = |member: &Member| {
            let unanswered = member.capacities_unanswered;
            unanswered.is_some_and(|at| now.saturating_sub(at) < UNANSWERED_PAUSE)
        };
        let is_source = |router: &&Router| {
            let member = self.known.get(&router.name);
            member.is_some_and(|member| self.is_live(now, member) && !is_paused(member))
        };
        self.neighbours().into_iter().filter(is_source).collect()
    }

    /// Records that a router did not answer a question for capacities. It does not count as unreachable: earlier versions
    /// do not know the question.
    pub fn note_capacities_unanswered(&mut self, now: Millis, name: &str, incarnation: u64) {
        if let Some(member) = self.known.get_mut(name)
            && member.router.incarnation == incarnation
        {
            member.capacities_unanswered = Some(now);
        }
    }

    /// The known capacities that a question asks for, at most [`ENTRIES_MAX`].
    pub fn answer_capacities(&self, wanted: &Wanted) -> Vec<Entry> {
        let others = self.known.values().filter_map(Member::entry);
        let known = others.chain([self.own_entry()]);
        match wanted {
            Wanted::Routers(hashes) => {
                let hashes: HashSet<u64> = hashes.iter().copied().take(ENTRIES_MAX).collect();
                known
                    .filter(|entry| hashes.contains(&entry.router))
                    .collect()
            }
            Wanted::From(first) => {
                let mut entries: Vec<Entry> = known.collect();
                entries.sort_unstable_by_key(|entry| entry.router.wrapping_sub(*first));
                entries.truncate(ENTRIES_MAX);
                entries
            }
        }
    }

    /// Records capacities that another router tells, at most [`ENTRIES_MAX`]. Those of unknown routers and of other
    /// incarnations than the known one are ignored: they are asked for once the store or a heartbeat shows them. Returns
    /// the number of new ones.
    pub fn learn_capacities(&mut self, entries: &[Entry]) -> usize {
        let told: HashMap<u64, &Entry> = entries
            .iter()
            .take(ENTRIES_MAX)
            .map(|entry| (entry.router, entry))
            .collect();
        let mut learnt = 0;
        for (name, member) in &mut self.known {
            if let Some(entry) = told.get(&hash_name(name))
                && member.lacks_capacity()
                && entry.incarnation == member.router.incarnation
            {
                member.capacity = Some((entry.incarnation, entry.capacity));
                learnt += 1;
            }
        }
        if learnt > 0 {
            self.update_weights();
        }
        learnt
    }

    /// Updates the weights of holders. They are relative to all known routers, live or not, so that a death moves only the
    /// grants of the dead.
    fn update_weights(&mut self) {
        let capacities = || {
            let others = self.known.values().map(Member::capacity);
            others.chain([self.own_capacity])
        };
        let median = Median::new(capacities().collect::<Vec<_>>().into_iter());
        let known = capacities().filter(Capacity::is_known);
        self.spread = spread(known.map(|capacity| weight(capacity, median)));
        self.median = median;
        self.own_weight = weight(self.own_capacity, median);
        for member in self.known.values_mut() {
            member.weight = weight(member.capacity(), median);
        }
    }

    /// How many of the live routers' capacities have been learnt, of the present or an earlier incarnation.
    pub fn capacity_coverage(&self, now: Millis) -> Coverage {
        let own = Coverage {
            known: usize::from(self.own_capacity.is_known()),
            learnt: 1,
            live: 1,
        };
        self.live_members(now).fold(own, |sum, member| Coverage {
            known: sum.known + usize::from(member.capacity().is_known()),
            learnt: sum.learnt + usize::from(member.capacity.is_some()),
            live: sum.live + 1,
        })
    }

    /// Decides whether capacities are used, once this router and the others have had time to read each other's entries.
    /// Returns the new basis if it has changed.
    pub fn update_basis(&mut self, now: Millis) -> Option<Basis> {
        if self.basis == Basis::Names && !self.is_settled(now) {
            return None;
        }
        let Coverage { learnt, live, .. } = self.capacity_coverage(now);
        let before = self.basis;
        self.basis = basis(before, learnt, live);
        (before != self.basis).then_some(self.basis)
    }

    /// How capacities are used.
    pub fn capacity_usage(&self, now: Millis) -> Usage {
        Usage {
            basis: self.basis,
            spread: self.spread,
            weight: self.own_weight,
            coverage: self.capacity_coverage(now),
        }
    }

    /// This router's weight among the holders of grants.
    pub fn own_weight(&self) -> Weight {
        self.own_weight
    }
}
