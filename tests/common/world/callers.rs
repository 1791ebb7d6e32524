//! The callers of a run, the verdicts they receive, and the checks at the end of the run.

use super::*;

impl World {
    pub(super) fn arrive(&mut self, caller: usize) {
        let node = self.rng.random_range(0..NODES);
        let caller = if caller == usize::MAX {
            let Some(state) = &self.nodes[node].state else {
                return;
            };
            let number = self.rng.random_range(0..1 << 30);
            let id = state.prefix().with_number(number);
            let repeatable = self.rng.random_bool(0.5);
            let customer = self.rng.random_range(0..3);
            let cost = self.rng.random_range(1..=COST_MAX);
            self.cost.insert(id, cost);
            self.callers.push(Caller {
                id,
                repeatable,
                customer,
                tries: 0,
                done: false,
            });
            self.callers.len() - 1
        } else {
            caller
        };
        let entry = &mut self.callers[caller];
        if entry.done || entry.tries > 8 {
            return;
        }
        entry.tries += 1;
        let (id, repeatable, customer) = (entry.id, entry.repeatable, entry.customer);
        // A retry mostly goes to the router that issued the id, and sometimes to another.
        let home = self.nodes.iter().position(|node| {
            node.state
                .as_ref()
                .is_some_and(|state| state.incarnation() == id.incarnation)
        });
        let node = home.filter(|_| self.rng.random_bool(0.8)).unwrap_or(node);
        let ticket = Ticket(self.next);
        let generation = self.nodes[node].generation;
        self.tickets.insert((node, generation, ticket), caller);
        let spec = spec(ticket, id, customer, repeatable);
        let latency = self.latency();
        self.after(
            latency,
            Event::ToNode(node, generation, Input::Arrive(spec)),
        );
        let wait = self.rng.random_range(1_000..6_000);
        self.after(wait, Event::Arrive(caller));
    }

    pub(super) fn finish(
        &mut self,
        node: usize,
        generation: u64,
        ticket: Ticket,
        verdict: Verdict,
    ) {
        *self.verdicts.entry(verdict.as_str()).or_default() += 1;
        let caller = self.tickets.get(&(node, generation, ticket)).copied();
        self.trace(|| {
            let id = caller.map(|caller| self.callers[caller].id.to_string());
            format!(
                "finish node={node} generation={generation} {} {verdict:?}",
                id.unwrap_or_default()
            )
        });
        let Some(caller) = self.tickets.get(&(node, generation, ticket)).copied() else {
            return;
        };
        let entry = &mut self.callers[caller];
        let id = entry.id;
        match verdict {
            Verdict::Ran { billed } => {
                entry.done = true;
                if billed.0 > 0 {
                    self.billed.entry(id).or_default().push(billed.0);
                }
                assert!(self.run_counts.contains_key(&id), "{id} reported as run");
            }
            Verdict::NotRun { reason, .. } => {
                let ran = self.run_counts.get(&id).copied().unwrap_or(0);
                assert_eq!(
                    ran, 0,
                    "{id} reported as not run ({reason}), at {}",
                    self.now
                );
            }
            Verdict::MayHaveRun { .. } => {}
        }
    }

    /// Checks the invariants at the end of a run.
    ///
    /// Returns the number of budgets billed exactly the tokens of the requests that ran, with none in doubt.
    pub fn check(&self) -> usize {
        for caller in &self.callers {
            let ran = self.run_counts.get(&caller.id).copied().unwrap_or(0);
            assert!(
                caller.repeatable || ran <= 1,
                "{} ran {ran} times",
                caller.id
            );
        }
        let live = self.nodes.iter().filter_map(|node| node.state.as_ref());
        let state = live
            .max_by_key(|state| state.is_ready())
            .expect("a live node");
        (0..3)
            .filter(|customer| self.check_budget(state, *customer))
            .count()
    }

    pub(super) fn check_budget(&self, state: &State, customer: usize) -> bool {
        let name = format!("c{customer}");
        let Stream::Shard(shard) = Stream::of_customer(&name) else {
            unreachable!()
        };
        let ledger = state.ledger(shard);
        let budget = ledger.budget(ledger.find(&name).unwrap()).unwrap();
        let own = |id: &&Id| {
            self.callers
                .iter()
                .any(|caller| caller.id == **id && caller.customer == customer)
        };
        let reported: u64 = self
            .billed
            .iter()
            .filter(|(id, _)| own(id))
            .map(|(_, b)| b[0])
            .sum();
        let ran: u64 = self
            .run_counts
            .keys()
            .filter(own)
            .map(|id| self.cost[id])
            .sum();
        // A dead holder's grant that no witness could close counts as spent.
        let live: Vec<Incarnation> = self
            .nodes
            .iter()
            .filter_map(|node| node.state.as_ref().map(State::incarnation))
            .collect();
        let dead = budget
            .grants
            .iter()
            .filter(|(holder, _)| !live.contains(holder));
        let lost: u64 = dead.map(|(_, grant)| grant.held().0).sum();
        let (billed, doubt) = (budget.billed().0, budget.in_doubt().0);
        assert!(billed + doubt <= PREPAID);
        assert!(billed <= ran, "{name}: billed {billed}, ran {ran}");
        assert!(
            reported <= billed + doubt + lost,
            "{name}: reported {reported}, billed {billed}, in doubt {doubt}, lost {lost}"
        );
        billed == ran && doubt == 0
    }
}

pub(super) fn spec(ticket: Ticket, id: Id, customer: usize, repeatable: bool) -> Spec {
    Spec {
        ticket,
        id,
        fingerprint: 1,
        customer: format!("c{customer}"),
        budget: format!("c{customer}"),
        class: "std".into(),
        kind: Kind::Engine,
        serves: "m".into(),
        max_tokens: Tokens(COST_MAX),
        repeatable,
    }
}
