//! The callers of a run, what they are told, and what must hold at its end.

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
            let cost = self.rng.random_range(1..=MOST);
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
        let one = &mut self.callers[caller];
        if one.done || one.tries > 8 {
            return;
        }
        one.tries += 1;
        let (id, repeatable, customer) = (one.id, one.repeatable, one.customer);
        // A retry mostly goes where the id came from, at times elsewhere.
        let home = self.nodes.iter().position(|node| {
            node.state
                .as_ref()
                .is_some_and(|state| state.incarnation() == id.incarnation)
        });
        let node = home.filter(|_| self.rng.random_bool(0.8)).unwrap_or(node);
        let ticket = Ticket(self.next);
        let life = self.nodes[node].life;
        self.tickets.insert((node, life, ticket), caller);
        let spec = spec(ticket, id, customer, repeatable);
        let lag = self.lag();
        self.after(lag, Event::ToNode(node, life, Input::Arrive(spec)));
        let wait = self.rng.random_range(1_000..6_000);
        self.after(wait, Event::Arrive(caller));
    }

    pub(super) fn finish(&mut self, node: usize, life: u64, ticket: Ticket, verdict: Verdict) {
        *self.verdicts.entry(verdict.as_str()).or_default() += 1;
        let caller = self.tickets.get(&(node, life, ticket)).copied();
        self.trace(|| {
            let id = caller.map(|caller| self.callers[caller].id.to_string());
            format!(
                "finish node={node} life={life} {} {verdict:?}",
                id.unwrap_or_default()
            )
        });
        let Some(caller) = self.tickets.get(&(node, life, ticket)).copied() else {
            return;
        };
        let one = &mut self.callers[caller];
        let id = one.id;
        match verdict {
            Verdict::Ran { billed } => {
                one.done = true;
                if billed.0 > 0 {
                    self.billed.entry(id).or_default().push(billed.0);
                }
                assert!(self.ran_at.contains_key(&id), "{id} said to have run");
            }
            Verdict::NotRun { reason, .. } => {
                let ran = self.ran_at.get(&id).copied().unwrap_or(0);
                assert_eq!(
                    ran, 0,
                    "{id} said not to have run ({reason}), at {}",
                    self.now
                );
            }
            Verdict::MayHaveRun { .. } => {}
        }
    }

    /// What must hold at the end.
    ///
    /// Returned is the number of budgets whose bills are, to the token, what ran whole.
    pub fn check(&self) -> usize {
        for caller in &self.callers {
            let ran = self.ran_at.get(&caller.id).copied().unwrap_or(0);
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
        (0..3).filter(|one| self.check_budget(state, *one)).count()
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
                .any(|one| one.id == **id && one.customer == customer)
        };
        let told: u64 = self
            .billed
            .iter()
            .filter(|(id, _)| own(id))
            .map(|(_, b)| b[0])
            .sum();
        let ran: u64 = self.ran_at.keys().filter(own).map(|id| self.cost[id]).sum();
        // What a dead holder had, and no witness could close, counts as spent.
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
            told <= billed + doubt + lost,
            "{name}: told {told}, billed {billed}, in doubt {doubt}, lost {lost}"
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
        max_tokens: Tokens(MOST),
        repeatable,
    }
}
