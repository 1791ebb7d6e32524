//! A fleet's decision code in one thread and in its own time, for the benches: routers, a log,
//! calls between routers, and engines that batch, cache and lag.
#![allow(dead_code, missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use lanedeck::router::control::{Action, Call, End, Input, Settings, Spec, State, Token};
use lanedeck::router::host::Peer;
use lanedeck::router::intent::{Change, Class, Customer, Key, Kind, Object, Plan, Target, Terms};
use lanedeck::router::log::{Batch, Entry, Incarnation, Record, Stream};
use lanedeck::router::message::{Reply, Request};
use lanedeck::router::request::{Ticket, Verdict};
use lanedeck::units::{Millis, Offset, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Delay of a call between routers, and of a dispatch.
const HOP: u64 = 1;
/// Delay of an append until it is read everywhere.
const LOG_LAG: u64 = 20;

/// Speed of an engine, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub slots: usize,
    pub first: f64,
    pub block: f64,
    /// Between two tokens when one request runs.
    pub between: f64,
    /// Share by which a full batch slows a token.
    pub crowd: f64,
    pub cache: usize,
}

/// A request as it was recorded.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub node: usize,
    pub customer: usize,
    pub class: usize,
    pub blocks: Vec<u64>,
    pub prompt: u64,
    pub tokens: u64,
}

/// What became of one.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub first: Option<u64>,
    pub total: Option<u64>,
    pub verdict: Option<Verdict>,
    pub hit: usize,
}

#[derive(Default)]
pub struct Engine {
    running: usize,
    waiting: VecDeque<(usize, Ticket, usize)>,
    cache: HashSet<u64>,
    order: VecDeque<u64>,
    events: Vec<(u64, bool)>,
    pub served: u64,
    pub slow: f64,
    pub failing: bool,
}

pub enum Event {
    Tick(usize),
    Arrive(usize),
    Input(usize, Input),
    Append(usize, Stream, Batch),
    Ask(usize, Call, SocketAddr, Request),
    At(usize, Ticket, usize, usize),
    Done(usize),
    Report,
}

pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<State>,
    pub engines: Vec<Engine>,
    pub arrivals: Vec<Arrival>,
    pub outcomes: Vec<Outcome>,
    pub appends: u64,
    pub append_bytes: u64,
    pub calls: u64,
    pub call_bytes: u64,
    /// Nodes that reach neither the log nor the others.
    pub cut: HashSet<usize>,
    pub tick: u64,
    /// Time spent in decisions, over all nodes.
    pub busy: std::time::Duration,
    pub classes: usize,
    shape: Shape,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    log: BTreeMap<Stream, Vec<Batch>>,
    tokens: HashMap<Token, (usize, Call)>,
    tickets: HashMap<(usize, Ticket), usize>,
    rng: StdRng,
}

fn address(place: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, (place / 250) as u8, (place % 250) as u8 + 1], port))
}

fn put(key: Key, object: Object) -> Change {
    Change::Put {
        key,
        object,
        expect: Offset(0),
    }
}

/// What a fleet is made of.
pub struct Make {
    pub nodes: usize,
    pub engines: usize,
    pub customers: usize,
    pub classes: usize,
    pub prepaid: Vec<u64>,
    pub shape: Shape,
    pub tick: u64,
}

impl Fleet {
    pub fn new(
        make: &Make,
        arrivals: Vec<Arrival>,
        settings: impl Fn(Settings) -> Settings,
    ) -> Self {
        let mut fleet = Self {
            now: 1,
            nodes: Vec::new(),
            engines: (0..make.engines)
                .map(|_| Engine {
                    slow: 1.0,
                    ..Engine::default()
                })
                .collect(),
            outcomes: vec![Outcome::default(); arrivals.len()],
            arrivals,
            appends: 0,
            append_bytes: 0,
            calls: 0,
            call_bytes: 0,
            cut: HashSet::new(),
            tick: make.tick,
            busy: std::time::Duration::ZERO,
            classes: make.classes,
            shape: make.shape,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            log: Stream::all().map(|stream| (stream, Vec::new())).collect(),
            tokens: HashMap::new(),
            tickets: HashMap::new(),
            rng: StdRng::seed_from_u64(7),
        };
        fleet.configure(make);
        for node in 0..make.nodes {
            fleet.add_node(node, &settings);
        }
        for index in 0..fleet.arrivals.len() {
            let at = fleet.arrivals[index].at;
            fleet.after(at, Event::Arrive(index));
        }
        fleet.after(1_000, Event::Report);
        fleet
    }

    fn configure(&mut self, make: &Make) {
        let mut changes = Vec::new();
        let names: Vec<String> = (0..make.classes)
            .map(|class| format!("class{class}"))
            .collect();
        for (rank, name) in (0..).zip(&names) {
            let class = Class {
                rank,
                price_permille: 1_000,
                patience: Millis(4_000),
            };
            changes.push(put(Key::Class(name.clone()), Object::Class(class)));
        }
        for one in 0..make.customers {
            let customer = Customer {
                key_hash: String::new(),
                concurrency: 100_000,
                classes: names.clone(),
            };
            changes.push(put(
                Key::Customer(format!("c{one}")),
                Object::Customer(customer),
            ));
        }
        for one in 0..make.engines {
            let target = Target {
                address: address(one, 9_000),
                kind: Kind::Engine,
                serves: "m".into(),
                hall: "h".into(),
                slots: make.shape.slots as u32,
                checks_fence: true,
                draining: false,
                call_price: Tokens(0),
            };
            changes.push(put(Key::Target(format!("t{one}")), Object::Target(target)));
        }
        self.preset(Stream::Config, changes);
        for one in 0..make.customers {
            let customer = format!("c{one}");
            let stream = Stream::of_customer(&customer);
            let prepaid = Tokens(make.prepaid[one % make.prepaid.len()]);
            let terms = Terms {
                customer: customer.clone(),
                prepaid,
            };
            self.preset(
                stream,
                vec![Change::Budget {
                    name: customer,
                    terms,
                    expect: Offset(0),
                }],
            );
        }
    }

    fn preset(&mut self, stream: Stream, changes: Vec<Change>) {
        let batches = self.log.get_mut(&stream).unwrap();
        let id = batches.len() as u64;
        let record = Record::Change(Plan {
            id,
            stream,
            changes,
        });
        let entries = vec![Entry { seq: 1, record }];
        batches.push(Batch {
            writer: Incarnation(1_000_000 + id),
            entries,
        });
    }

    fn add_node(&mut self, node: usize, settings: &impl Fn(Settings) -> Settings) {
        let me = Peer {
            incarnation: Incarnation(node as u64 + 1),
            counter: 0,
            entry: address(node, 7_000),
            address: address(node, 8_000),
            hall: format!("h{}", node % 4),
            // Two of them are a region of their own, which the money bench cuts off.
            region: if node < 2 { "r2" } else { "r1" }.into(),
            epoch: 1,
            leaving: false,
            witness: None,
            applied: Offset(0),
        };
        let settings = settings(Settings::new(me, node as u64));
        self.nodes.push(State::new(settings, Millis(1)));
        for stream in Stream::all() {
            let batches = self.read(stream, 1);
            self.tell(
                node,
                Input::Read {
                    stream,
                    first: Offset(1),
                    batches,
                },
            );
        }
        let count = self.nodes.len();
        let hosts = (0..count).map(|one| (address(one, 8_000), false)).collect();
        self.tell(node, Input::Hosts(hosts));
        self.after(1 + node as u64 % self.tick, Event::Tick(node));
    }

    fn read(&self, stream: Stream, from: u64) -> Vec<(Offset, Batch)> {
        let batches = &self.log[&stream];
        let new = batches.iter().enumerate().skip(from as usize - 1);
        new.map(|(index, batch)| (Offset(index as u64 + 1), batch.clone()))
            .collect()
    }

    pub fn after(&mut self, wait: u64, event: Event) {
        let key = self.next;
        self.next += 1;
        self.events.insert(key, event);
        self.queue.push(Reverse((self.now + wait, key)));
    }

    /// Runs until this time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.step(event);
        }
        self.now = end;
    }

    /// Reconnects a node that was cut off.
    pub fn reconnect(&mut self, node: usize) {
        self.cut.remove(&node);
        self.tell(node, Input::LogUp(true));
        for stream in Stream::all() {
            let from = self.nodes[node].applied(stream).0 + 1;
            let batches = self.read(stream, from);
            self.tell(
                node,
                Input::Read {
                    stream,
                    first: Offset(1),
                    batches,
                },
            );
        }
    }

    pub fn cut_off(&mut self, node: usize) {
        self.cut.insert(node);
        self.tell(node, Input::LogUp(false));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                let tick = self.tick;
                self.after(tick, Event::Tick(node));
                self.tell(node, Input::Tick);
            }
            Event::Arrive(index) => self.arrive(index),
            Event::Input(node, input) => self.tell(node, input),
            Event::Append(node, stream, batch) => self.append(node, stream, batch),
            Event::Ask(from, call, to, request) => self.ask(from, call, to, request),
            Event::At(node, ticket, index, engine) => {
                self.engines[engine]
                    .waiting
                    .push_back((node, ticket, index));
                self.serve(engine);
            }
            Event::Done(engine) => {
                self.engines[engine].running -= 1;
                self.serve(engine);
            }
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let node = arrival.node;
        let ticket = Ticket(index as u64 + 1);
        self.tickets.insert((node, ticket), index);
        let customer = format!("c{}", arrival.customer);
        let spec = Spec {
            ticket,
            id: self.nodes[node].prefix().with_number(index as u32),
            fingerprint: index as u64,
            budget: customer.clone(),
            customer,
            class: format!("class{}", arrival.class),
            kind: Kind::Engine,
            serves: "m".into(),
            most: Tokens(arrival.prompt + arrival.tokens),
            blocks: arrival.blocks.clone().into(),
            repeatable: true,
        };
        self.tell(node, Input::Arrive(spec));
    }

    fn append(&mut self, node: usize, stream: Stream, batch: Batch) {
        self.appends += 1;
        self.append_bytes += batch.encode().len() as u64;
        let batches = self.log.get_mut(&stream).unwrap();
        batches.push(batch.clone());
        let offset = Offset(batches.len() as u64);
        let input = Input::Appended {
            stream,
            taken: true,
        };
        self.after(1, Event::Input(node, input));
        for reader in 0..self.nodes.len() {
            if !self.cut.contains(&reader) {
                let batches = vec![(offset, batch.clone())];
                let input = Input::Read {
                    stream,
                    first: Offset(1),
                    batches,
                };
                self.after(LOG_LAG, Event::Input(reader, input));
            }
        }
    }

    fn ask(&mut self, from: usize, call: Call, to: SocketAddr, request: Request) {
        let SocketAddr::V4(v4) = to else { return };
        let [_, _, high, low] = v4.ip().octets();
        let node = usize::from(high) * 250 + usize::from(low) - 1;
        if self.cut.contains(&from) != self.cut.contains(&node) {
            self.after(
                1_500,
                Event::Input(from, Input::Replied { call, reply: None }),
            );
            return;
        }
        let token = self.next;
        self.tokens.insert(token, (from, call));
        self.tell(node, Input::Asked { token, request });
    }

    pub fn tell(&mut self, node: usize, input: Input) {
        let start = std::time::Instant::now();
        let actions = self.nodes[node].handle(Millis(self.now), input);
        self.busy += start.elapsed();
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Dispatch { ticket, choice, .. } => {
                let SocketAddr::V4(v4) = choice.address else {
                    return;
                };
                let [_, _, high, low] = v4.ip().octets();
                let engine = usize::from(high) * 250 + usize::from(low) - 1;
                let index = self.tickets[&(node, ticket)];
                self.after(HOP, Event::At(node, ticket, index, engine));
            }
            Action::Finish { ticket, verdict } => {
                if let Some(index) = self.tickets.get(&(node, ticket)) {
                    self.outcomes[*index].verdict = Some(verdict);
                }
            }
            Action::Append { stream, batch } if !self.cut.contains(&node) => {
                self.after(2, Event::Append(node, stream, batch));
            }
            Action::Call { call, to, request } => {
                self.calls += 1;
                self.call_bytes += lanedeck::util::encode(&request).len() as u64;
                self.after(HOP, Event::Ask(node, call, to, request));
            }
            Action::Answer { token, reply } => self.answer(token, reply),
            Action::Violated(violation) => panic!("violated: {violation}"),
            _ => {}
        }
    }

    fn answer(&mut self, token: Token, reply: Reply) {
        let (from, call) = self.tokens.remove(&token).unwrap();
        self.call_bytes += lanedeck::util::encode(&reply).len() as u64;
        let reply = Some(reply);
        self.after(HOP, Event::Input(from, Input::Replied { call, reply }));
    }

    /// Starts what has a slot in an engine.
    fn serve(&mut self, engine: usize) {
        while self.engines[engine].running < self.shape.slots {
            let Some((node, ticket, index)) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            if self.engines[engine].failing {
                let end = End::Broken {
                    used: Tokens(0),
                    shown: false,
                };
                self.after(HOP, Event::Input(node, Input::Ended { ticket, end }));
                continue;
            }
            self.start(engine, node, ticket, index);
        }
    }

    fn start(&mut self, engine: usize, node: usize, ticket: Ticket, index: usize) {
        let (shape, arrival) = (self.shape, &self.arrivals[index]);
        let one = &mut self.engines[engine];
        one.running += 1;
        one.served += 1;
        let hit = one.fill(&arrival.blocks, shape.cache);
        let crowd = 1.0 + shape.crowd * one.running as f64 / shape.slots as f64;
        let uncached = (arrival.blocks.len() - hit) as f64;
        let first = ((shape.first + shape.block * uncached) * crowd * one.slow) as u64;
        let whole = first + (arrival.tokens as f64 * shape.between * crowd * one.slow) as u64;
        let outcome = &mut self.outcomes[index];
        outcome.hit = hit;
        outcome.first = Some(self.now + first - arrival.at);
        outcome.total = Some(self.now + whole - arrival.at);
        let end = End::Whole {
            used: Tokens(arrival.prompt / 4 + arrival.tokens),
            first: Millis(first),
            whole: Millis(whole),
        };
        self.after(whole, Event::Done(engine));
        self.after(
            whole + HOP,
            Event::Input(node, Input::Ended { ticket, end }),
        );
    }

    /// Engines report their load as it is, but once a second; of cache events, one in ten is lost.
    fn report(&mut self) {
        self.after(1_000, Event::Report);
        for engine in 0..self.engines.len() {
            let one = &mut self.engines[engine];
            let running = (one.running + one.waiting.len()) as u32;
            let events = std::mem::take(&mut one.events);
            let (mut stored, mut evicted) = (Vec::new(), Vec::new());
            for (block, is_stored) in events {
                if self.rng.random_bool(0.9) {
                    if is_stored {
                        stored.push(block)
                    } else {
                        evicted.push(block)
                    }
                }
            }
            for node in 0..self.nodes.len() {
                let input = Input::Report {
                    address: address(engine, 9_000),
                    running,
                    stored: stored.clone(),
                    evicted: evicted.clone(),
                };
                self.after(500, Event::Input(node, input));
            }
        }
    }
}

impl Engine {
    fn fill(&mut self, blocks: &[u64], most: usize) -> usize {
        let hit = blocks
            .iter()
            .take_while(|block| self.cache.contains(*block))
            .count();
        for block in &blocks[hit..] {
            if self.cache.insert(*block) {
                self.order.push_back(*block);
                self.events.push((*block, true));
            }
        }
        while self.cache.len() > most
            && let Some(oldest) = self.order.pop_front()
        {
            self.cache.remove(&oldest);
            self.events.push((oldest, false));
        }
        hit
    }
}

/// The value at a share of sorted values.
pub fn at(sorted: &[u64], share: f64) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    sorted[((sorted.len() - 1) as f64 * share).round() as usize]
}
