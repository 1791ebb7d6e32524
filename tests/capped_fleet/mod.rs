//! Routers without a network, over a store of one customer's rows that can be restored from a copy: each renews its row
//! once a second, and borrows from the others without delay.
#![allow(dead_code, missing_docs)]

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::decision::capacity::Capacity;
use lanedeck::gateway::decision::grant::{Role, Sizing};
use lanedeck::gateway::decision::lenders::StoreContact;
use lanedeck::gateway::decision::origin::Constraint;
use lanedeck::gateway::decision::reread::{Reads, Scarcity};
use lanedeck::gateway::decision::retry::Bound;
use lanedeck::gateway::decision::rollout::Limit;
use lanedeck::gateway::dialect::{Listing, Prompt};
use lanedeck::gateway::escrow::{Demand, Loan, Row, StoreAnswer};
use lanedeck::gateway::fingerprint::Fingerprint;
use lanedeck::gateway::job::{Delivery, Ending, Job, Timing};
use lanedeck::gateway::members::{Router, Source};
use lanedeck::gateway::slots::Occupancy;
use lanedeck::gateway::state::{Settings, State};
use lanedeck::gateway::targets::Freshness;
use lanedeck::store::Era;
use lanedeck::units::{Millis, Tokens};

pub const CUSTOMER: &str = "anna";
/// The time at which the fleet starts.
pub const START: Millis = Millis(1_000_000);
pub const HOLDERS: usize = 8;
/// As in the settings template of the deployments.
pub const SIZING: Sizing = Sizing {
    horizon: Millis(16_000),
    exact: Millis(12_000),
    share: 0.8,
    spread: 0.3,
    holders: HOLDERS,
    copy_age: Millis(8_000),
};
/// Maximum number of routers asked for one need.
const ASKED_MAX: usize = 8;
const RENEWAL_INTERVAL: u64 = 1_000;

/// What routers know of each other when the fleet starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Each knows all others.
    Full,
    /// Each knows only itself, and so takes itself for a holder.
    None,
}

pub struct Node {
    pub state: State,
    read: usize,
    reads: Reads,
    /// Times of reads that no row was worth.
    pub extra_reads: Vec<Millis>,
    renewed_at: Millis,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    /// The rows in the order in which they were written.
    pub log: Vec<(String, Row)>,
    pub prepaid: Tokens,
    pub store: StoreContact,
    pub spent: Tokens,
}

pub fn router(number: usize) -> Router {
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    Router {
        name: format!("r{number}"),
        incarnation: 1,
        front: address(1_000 + number),
        link: address(2_000 + number),
        hall: "hall".into(),
        is_ready: true,
        heartbeat: 1,
    }
}

impl Fleet {
    pub fn new(count: usize, prepaid: Tokens, knowledge: Knowledge) -> Self {
        let nodes = (0..count).map(|number| node(number, prepaid)).collect();
        let mut fleet = Self {
            nodes,
            log: Vec::new(),
            prepaid,
            store: StoreContact::Answering,
            spent: Tokens::ZERO,
        };
        if knowledge == Knowledge::Full {
            fleet.introduce(START);
        }
        fleet
    }

    /// Makes all routers known to each other.
    pub fn introduce(&mut self, now: Millis) {
        let count = self.nodes.len();
        for node in &mut self.nodes {
            for other in 0..count {
                node.state.members.update(now, router(other), Source::Store);
            }
        }
    }

    /// The numbers of the regular holders, as all routers that know each other see them.
    pub fn holders(&self, now: Millis) -> Vec<usize> {
        let holders = self.nodes[0].state.holders(now, CUSTOMER);
        let holders = holders.into_iter();
        holders
            .map(|router| router.name[1..].parse().unwrap())
            .collect()
    }

    /// The newest row of each router.
    pub fn rows(&self) -> HashMap<&str, Row> {
        let rows = self.log.iter();
        rows.map(|(name, row)| (name.as_str(), *row)).collect()
    }

    /// Demand in all rows together, in tokens a second.
    pub fn counted_demand(&self) -> u64 {
        self.rows().values().map(|row| row.demand).sum()
    }

    /// Lets the routers renew their rows whose turn it is.
    pub fn renew(&mut self, now: Millis) {
        for index in 0..self.nodes.len() {
            if now.saturating_sub(self.nodes[index].renewed_at).0 >= RENEWAL_INTERVAL {
                self.nodes[index].renewed_at = now;
                if self.store == StoreContact::Answering {
                    self.renew_one(index, now, Tokens::ZERO);
                }
            }
        }
        self.check();
    }

    fn renew_one(&mut self, index: usize, now: Millis, waiting: Tokens) {
        let node = &mut self.nodes[index];
        let waiting = HashMap::from([(CUSTOMER.to_owned(), waiting)]);
        // Other topics of the store are read all the time.
        let answer = StoreAnswer {
            era: Era::default(),
            at: now,
        };
        node.state.record_store_answer(answer);
        let (rows, scarcity) = node.state.rows(now, Era::default(), &waiting, |_| true);
        if rows.is_empty() {
            if !node.reads.is_due(now, scarcity) {
                return;
            }
            node.extra_reads.push(now);
        }
        for (name, row) in &self.log[node.read..] {
            node.state.set_row(CUSTOMER, name, Some(*row));
        }
        node.read = self.log.len();
        let (rows, scarcity) = node.state.rows(now, Era::default(), &waiting, |_| true);
        node.reads.record(now, scarcity);
        let name = format!("r{index}");
        let is_first = !self.log.iter().any(|(router, _)| *router == name);
        for (_, row) in rows.iter().filter(|_| !is_first) {
            let lowest = row.cap.expect("caps apply").lowest;
            let most = lowest.max(row.spent) + waiting[CUSTOMER];
            assert!(row.granted <= most, "{name}: {row:?}");
        }
        node.state.rows_sent(&rows);
        node.state.rows_acknowledged(now, &rows);
        self.log
            .extend(rows.into_iter().map(|(_, row)| (name.clone(), row)));
    }

    /// Wakes a router's renewal.
    pub fn wake(&mut self, index: usize) {
        self.nodes[index].reads.reset();
    }

    /// Sends a request of this cost to a router, which borrows what it lacks and asks the store. Returns whether it was
    /// paid for.
    pub fn request(&mut self, index: usize, now: Millis, id: u64, cost: Tokens) -> bool {
        self.borrow_ahead(index, now);
        if self.pay(index, now, id, cost) {
            return true;
        }
        let state = &mut self.nodes[index].state;
        let lacking = state.lacking(now, CUSTOMER, cost);
        let wanted = lacking + state.demand(now, CUSTOMER);
        self.borrow(index, now, Loan { lacking, wanted });
        if self.pay(index, now, id, cost) {
            return true;
        }
        if self.store == StoreContact::Answering {
            self.renew_one(index, now, cost);
            if self.pay(index, now, id, cost) {
                return true;
            }
        }
        let job = self.job(id, cost);
        let state = &mut self.nodes[index].state;
        if let Err(refusal) = state.begin(now, job.clone()) {
            state.record_refused(now, &job, refusal);
        }
        false
    }

    fn pay(&mut self, index: usize, now: Millis, id: u64, cost: Tokens) -> bool {
        let job = self.job(id, cost);
        let state = &mut self.nodes[index].state;
        let Ok(placement) = state.begin(now, job) else {
            return false;
        };
        let ending = Ending {
            outcome: None,
            occupancy: Occupancy::Ended,
            delivery: Delivery::Uncounted,
            timing: Timing::Unknown,
        };
        state.end(now, placement.job, ending);
        self.spent += cost;
        true
    }

    fn job(&self, id: u64, cost: Tokens) -> Job {
        Job {
            id: id.to_string(),
            route: "talk".into(),
            services: vec![("engine".into(), 1.0)],
            prompt: Some(Prompt {
                tokens: cost,
                ..Prompt::default()
            }),
            stream: None,
            origin: Constraint::Any,
            fingerprint: Fingerprint {
                customer: 1,
                request: id,
            },
            payer: Some((CUSTOMER.into(), self.prepaid)),
            rank: 0,
            deadline: Millis(u64::MAX),
            demand: Demand::New,
        }
    }

    fn borrow_ahead(&mut self, index: usize, now: Millis) {
        let contact = self.store;
        let state = &mut self.nodes[index].state;
        let Some(loan) = state.loan_ahead(now, CUSTOMER, contact) else {
            return;
        };
        if self.borrow(index, now, loan) == Tokens::ZERO {
            let state = &mut self.nodes[index].state;
            state.record_nothing_ahead(now, CUSTOMER);
        }
    }

    /// Borrows for one need; returns the tokens lent.
    fn borrow(&mut self, index: usize, now: Millis, need: Loan) -> Tokens {
        let (mut asked, mut lent_in_all) = (HashSet::new(), Tokens::ZERO);
        let mut rest = need;
        while asked.len() < ASKED_MAX && rest.wanted > Tokens::ZERO {
            let contact = self.store;
            let state = &mut self.nodes[index].state;
            let next = state.next_lender(now, CUSTOMER, rest, &asked, contact);
            let Some((lender, loan)) = next else {
                break;
            };
            state.begin_loan_call(now, CUSTOMER, &lender.name);
            let number: usize = lender.name[1..].parse().unwrap();
            let lent = self.nodes[number].state.lend(now, CUSTOMER, loan);
            let state = &mut self.nodes[index].state;
            state.end_loan_call(CUSTOMER, &lender.name);
            state.record_loan(now, CUSTOMER, &lender.name, loan, lent);
            asked.insert(lender.name);
            lent_in_all += lent;
            rest = Loan {
                lacking: rest.lacking.saturating_sub(lent),
                wanted: rest.wanted.saturating_sub(lent),
            };
            if need.lacking > Tokens::ZERO && rest.lacking == Tokens::ZERO {
                break;
            }
        }
        lent_in_all
    }

    /// Checks that grants and spend are within what was prepaid.
    pub fn check(&self) {
        let granted: Tokens = self.rows().values().map(|row| row.granted).sum();
        assert!(granted <= self.prepaid, "granted {granted}");
        assert!(self.spent <= self.prepaid, "spent {}", self.spent);
    }

    /// The demand that arrives at a router, in tokens a second.
    pub fn demand(&mut self, index: usize, now: Millis) -> Tokens {
        self.nodes[index].state.demand(now, CUSTOMER)
    }

    pub fn role(&mut self, index: usize, now: Millis) -> Role {
        self.nodes[index].state.role(now, CUSTOMER)
    }

    /// How free tokens limit a router's grant by the rows that it last read.
    pub fn scarcity(&mut self, index: usize, now: Millis) -> Scarcity {
        let state = &mut self.nodes[index].state;
        state.rows(now, Era::default(), &HashMap::new(), |_| true).1
    }
}

fn node(number: usize, prepaid: Tokens) -> Node {
    let mut state = State::new(Settings {
        me: router(number),
        capacity: Capacity::default(),
        heartbeat: Millis(1_200),
        retries: Bound {
            ratio: 0.1,
            window: Millis(10_000),
            extra: 10.0,
        },
        sizing: SIZING,
        rollout: Limit {
            share: 0.01,
            extra: 10.0,
        },
        seed: number as u64,
        started: Some(Reading { boot: 1, at: START }),
    });
    state.set_prepaid(CUSTOMER, prepaid);
    let listing = Listing {
        instance: "i-1".into(),
        service: "engine".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        hall: "hall".into(),
        slots: 64,
        is_ready: true,
    };
    state.list(START, listing, Freshness::Newest);
    Node {
        state,
        read: 0,
        reads: Reads::default(),
        extra_reads: Vec::new(),
        // The first renewals are spread over a second.
        renewed_at: Millis(START.0 - RENEWAL_INTERVAL + number as u64 * 37 % RENEWAL_INTERVAL),
    }
}
