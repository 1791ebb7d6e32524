//! Steps for tests that inject faults one by one.

use lanedeck::router::budget::Budget;

use super::callers::spec;
use super::*;

impl World {
    /// Advances simulated time by `span` milliseconds.
    pub fn advance(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(Reverse((at, key))) = self.queue.peek().copied()
            && at <= until
        {
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.step(event);
        }
        self.now = until;
    }

    /// Sends a request from a caller that never retries.
    pub fn call(&mut self, node: usize, customer: usize) -> Id {
        let number = self.rng.random_range(0..1 << 30);
        let id = self.state(node).prefix().with_number(number);
        let cost = self.rng.random_range(1..=COST_MAX);
        self.cost.insert(id, cost);
        let ticket = Ticket(self.next);
        let generation = self.nodes[node].generation;
        let spec = spec(ticket, id, customer, true);
        self.after(1, Event::ToNode(node, generation, Input::Arrive(spec)));
        id
    }

    /// Advances simulated time until a target has received the request.
    pub fn advance_until_dispatched(&mut self, id: Id) {
        for _ in 0..1_000 {
            if self.run_counts.contains_key(&id) {
                return;
            }
            self.advance(5);
        }
        panic!("{id} is not dispatched");
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].state = None;
        self.nodes[node].generation += 1;
        self.nodes[node].frozen = false;
        self.nodes[node].deferred.clear();
    }

    pub fn freeze(&mut self, node: usize, span: u64) {
        self.nodes[node].frozen = true;
        self.after(span, Event::Thaw(node));
    }

    pub fn stop(&mut self, node: usize) {
        self.handle_input(node, Input::Stop);
    }

    pub fn state(&self, node: usize) -> &State {
        self.nodes[node].state.as_ref().expect("a live node")
    }

    /// A customer's budget in a node's ledger.
    pub fn budget(&self, node: usize, customer: usize) -> &Budget {
        let name = format!("c{customer}");
        let Stream::Shard(shard) = Stream::of_customer(&name) else {
            unreachable!()
        };
        let ledger = self.state(node).ledger(shard);
        ledger.budget(ledger.find(&name).unwrap()).unwrap()
    }

    /// The node that a customer's ledger names as a node's witness.
    pub fn witness_of(&self, node: usize, customer: usize) -> usize {
        let Stream::Shard(shard) = Stream::of_customer(&format!("c{customer}")) else {
            unreachable!()
        };
        let state = self.state(node);
        let member = state.ledger(shard).sequence().writer(state.incarnation());
        let witness = member.witness.expect("a witness in the ledger");
        let is_witness = |other: &usize| {
            let state = self.nodes[*other].state.as_ref();
            state.is_some_and(|state| state.incarnation() == witness)
        };
        (0..NODES).find(is_witness).expect("a witness that lives")
    }

    /// Lets the next dispatch of a request fail before it reaches its target.
    pub fn lose_dispatch(&mut self, id: Id) {
        self.unsent_once.insert(id);
    }

    /// Lets the targets answer no more inquiries about a request.
    pub fn forget(&mut self, id: Id) {
        self.forgotten.insert(id);
    }

    /// Whether a target has run a request.
    pub fn has_run(&self, id: Id) -> bool {
        self.run_counts.contains_key(&id)
    }

    /// Cost of a request in tokens.
    pub fn cost_of(&self, id: Id) -> Tokens {
        Tokens(self.cost[&id])
    }
}
