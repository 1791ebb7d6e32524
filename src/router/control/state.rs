//! The state itself, and which part of it takes which input.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::decision::retry::Budget;
use super::job::{Job, Settling};
use super::link::Link;
use super::{Action, Call, Input, Token};
use crate::router::budget::{Grant, Holder, Ledger, Sizing, Witness};
use crate::router::config::Config;
use crate::router::host::{Membership, Peer};
use crate::router::intent::{Kind, Plan};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::log::{Checkpoint, Follower, Violation, Writer};
use crate::router::pool::Pool;
use crate::router::request::{
    Bound, EPOCH_LENGTH, Id, Prefix, Queue, Reason, Table, Ticket, Verdict,
};
use crate::units::{Millis, Offset};

/// Numbers in our accounts of requests that were taken over start here. Those of callers are below
/// 2^31, and those that the caller's side gives to requests without an id lie between.
pub(super) const OWN_NUMBERS: u32 = 3 << 30;

/// What is fixed for the life of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router as the others are told of it.
    pub me: Peer,
    /// Seed of all draws.
    pub seed: u64,
    /// Size of grants.
    pub sizing: Sizing,
    /// Limits of each queue.
    pub bound: Bound,
    /// Least time between two appends of this router to a stream.
    pub append_gap: Millis,
    /// A ward silent for this long is closed.
    pub close_after: Millis,
    /// Appends to a stream between two checkpoints.
    pub checkpoint_every: u64,
}

impl Settings {
    /// The defaults for one router.
    pub fn new(me: Peer, seed: u64) -> Self {
        Self {
            me,
            seed,
            sizing: Sizing::default(),
            bound: Bound::default(),
            append_gap: Millis(100),
            close_after: Millis(4_000),
            checkpoint_every: 5_000,
        }
    }
}

/// A link by holder and witness; the holder may be an earlier incarnation of this process.
pub(super) type LinkKey = (Incarnation, Incarnation);

/// What a call of ours was about.
#[derive(Clone, Debug)]
pub(super) enum Asked {
    Heartbeat,
    Ward(LinkKey),
    Take(Ticket),
    State(Stream),
}

/// A confirm that waits to be read back.
#[derive(Clone, Debug)]
pub(super) struct Confirming {
    pub token: Token,
    pub plan: Plan,
    pub since: Millis,
}

/// A checkpoint that this router will write unless another does first.
#[derive(Clone, Debug)]
pub(super) struct Due {
    pub checkpoint: Checkpoint,
    pub at: Millis,
}

/// The control state of one router.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    /// Source of all draws, seeded.
    pub(super) rng: StdRng,
    /// The latest time that an input came with.
    pub(super) now: Millis,
    /// What the input under way wants done.
    pub(super) actions: Vec<Action>,

    /// The configuration, folded from its stream.
    pub(super) config: Follower<Config>,
    /// The budgets, folded from the shards' streams, by shard.
    pub(super) ledgers: Vec<Follower<Ledger>>,
    /// Records of ours that are not read back yet.
    pub(super) writers: BTreeMap<Stream, Writer>,
    /// Streams that were read to their end at least once.
    pub(super) caught_up: BTreeSet<Stream>,
    /// Whether the log answered last.
    pub(super) log_up: bool,
    /// Since when it has not.
    pub(super) log_down_since: Millis,
    /// Checkpoints that this router writes unless another does first.
    pub(super) checkpoints: BTreeMap<Stream, Due>,

    /// What this incarnation may spend, has reserved and settled.
    pub(super) holder: Holder,
    /// Where this incarnation's first epoch began.
    pub(super) epochs_began: Millis,
    /// The next number for a request that has none of its own here.
    pub(super) next_number: u32,
    /// Channels to the witnesses of this and earlier incarnations.
    pub(super) links: BTreeMap<LinkKey, Link>,
    /// Links made so far, so that late calls of earlier ones are told apart.
    pub(super) link_count: u32,
    /// Requests whose bill is not acknowledged by all witnesses yet, by number.
    pub(super) settling: BTreeMap<u64, Settling>,
    /// Requests that earlier incarnations of this process left running, by id in their accounts.
    pub(super) late: BTreeMap<Id, Settling>,
    /// What this process keeps for other holders, by the incarnation of its own that they have named.
    /// That it was closed as a holder changes nothing in what it knows of its wards, so it stays their
    /// witness under the name that the ledgers have.
    pub(super) witnesses: BTreeMap<Incarnation, Witness>,
    /// Outboxes of earlier incarnations that are still witnesses.
    pub(super) past_writers: BTreeMap<(Incarnation, Stream), Writer>,
    /// Where each budget last ran short, as far as this router has acted on it.
    pub(super) scarce_seen: HashMap<BudgetKey, Offset>,
    /// When each budget was last asked for.
    pub(super) asked_at: HashMap<BudgetKey, Millis>,

    /// Ids of requests, so that one that comes again is known.
    pub(super) table: Table,
    /// Requests on their way.
    pub(super) jobs: BTreeMap<Ticket, Job>,
    /// The same by number.
    pub(super) by_nonce: BTreeMap<u64, Ticket>,
    /// Requests that wait, by what they need.
    pub(super) queues: BTreeMap<(Kind, String), Queue>,
    /// Requests in progress of each customer.
    pub(super) busy: HashMap<String, u32>,
    /// The retry budget.
    pub(super) retries: Budget,

    /// The targets.
    pub(super) pool: Pool,
    /// The other routers.
    pub(super) membership: Membership,

    /// The number of the next call to another router.
    pub(super) next_call: Call,
    /// What calls under way were about.
    pub(super) calls: HashMap<Call, Asked>,
    /// Confirms that are not read back yet.
    pub(super) confirming: Vec<Confirming>,
    /// Whether a planned stop has begun.
    pub(super) stopping: bool,
    /// Since when.
    pub(super) stopping_since: Millis,
    /// Whether this incarnation has written that it is gone.
    pub(super) left: bool,
    /// Whether the process was told to end.
    pub(super) exited: bool,
    /// When each of these was last done.
    pub(super) last_heartbeat: Millis,
    pub(super) last_maintenance: Millis,
    pub(super) last_prune: Millis,
    pub(super) last_peer_state: Millis,
    pub(super) last_inquiry: Millis,
    /// Invariants that did not hold.
    pub(super) violations: u64,
    /// Budgets that are not served any more, since an invariant of theirs did not hold.
    pub(super) suspended: BTreeSet<String>,
}

impl State {
    /// A router that has just started and knows nothing.
    pub fn new(settings: Settings, now: Millis) -> Self {
        let me = settings.me.clone();
        let incarnation = me.incarnation;
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            now,
            actions: Vec::new(),
            config: Follower::default(),
            ledgers: (0..crate::router::key::SHARDS)
                .map(|_| Follower::default())
                .collect(),
            writers: Stream::all()
                .map(|s| (s, Writer::new(incarnation)))
                .collect(),
            caught_up: BTreeSet::new(),
            log_up: true,
            log_down_since: now,
            checkpoints: BTreeMap::new(),
            holder: Holder::new(incarnation, settings.sizing),
            epochs_began: now,
            next_number: OWN_NUMBERS,
            links: BTreeMap::new(),
            link_count: 0,
            settling: BTreeMap::new(),
            late: BTreeMap::new(),
            witnesses: BTreeMap::from([(incarnation, Witness::default())]),
            past_writers: BTreeMap::new(),
            scarce_seen: HashMap::new(),
            asked_at: HashMap::new(),
            table: Table::default(),
            jobs: BTreeMap::new(),
            by_nonce: BTreeMap::new(),
            queues: BTreeMap::new(),
            busy: HashMap::new(),
            retries: Budget::default(),
            pool: Pool::default(),
            membership: Membership::new(me),
            next_call: 1,
            calls: HashMap::new(),
            confirming: Vec::new(),
            stopping: false,
            stopping_since: now,
            left: false,
            exited: false,
            last_heartbeat: Millis::ZERO,
            last_maintenance: Millis::ZERO,
            last_prune: now,
            last_peer_state: now,
            last_inquiry: now,
            violations: 0,
            suspended: BTreeSet::new(),
            settings,
        }
    }

    /// Takes one input in at `now`, which never goes back.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        match input {
            Input::Arrive(spec) => self.arrive(spec),
            Input::Ended { ticket, end } => self.ended(ticket, end),
            Input::Read {
                stream,
                first,
                batches,
            } => self.take_records(stream, first, &batches),
            Input::LogUp(up) => self.set_log_up(up),
            Input::Appended { stream, taken } => self.appended(stream, taken),
            Input::Hosts(hosts) => self.take_hosts(&hosts),
            Input::Report { address, running } => self.report(address, running),
            Input::Asked { token, request } => self.asked(token, request),
            Input::Replied { call, reply } => self.replied(call, reply),
            Input::Intent { token, intent } => self.intent(token, &intent),
            Input::Confirm { token, plan } => self.confirm(token, plan),
            Input::Status { token } => self.status(token),
            Input::Entry { token, customer } => self.entry(token, &customer),
            Input::Fate { id, used } => self.take_fate(id, used),
            Input::Tick => self.tick(),
            Input::Stop => self.stop(),
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self) {
        self.expire_jobs();
        self.watch_witness();
        self.watch_wards();
        self.inquire();
        self.maintain_accounts();
        self.expire_confirms();
        self.write_checkpoints();
        self.send_heartbeats();
        self.prune();
        self.pump();
        self.finish_stop();
    }

    fn report(&mut self, address: std::net::SocketAddr, running: u32) {
        if let Some(key) = self.pool.find(address) {
            self.pool.report(self.now, key, running);
            self.pump();
        }
    }

    fn take_hosts(&mut self, hosts: &[(std::net::SocketAddr, bool)]) {
        self.membership.list(hosts);
        for (address, leaving) in hosts {
            self.pool.set_leaving(*address, *leaving);
        }
    }

    /// This process as of now.
    pub fn incarnation(&self) -> Incarnation {
        self.holder.me()
    }

    /// What callers make ids of.
    pub fn prefix(&self) -> Prefix {
        Prefix {
            incarnation: self.incarnation(),
            epoch: self.epoch(),
        }
    }

    /// The epoch of ids given out now; the first is 1.
    pub(super) fn epoch(&self) -> u32 {
        let epochs = self.now.saturating_sub(self.epochs_began).0 / EPOCH_LENGTH.0;
        u32::try_from(epochs + 1).unwrap_or(u32::MAX)
    }

    /// A number for a request that has none of its own in our accounts.
    pub(super) fn own_nonce(&mut self) -> u64 {
        self.next_number = self.next_number.checked_add(1).unwrap_or(OWN_NUMBERS);
        self.prefix().with_number(self.next_number).nonce
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Config {
        self.config.state()
    }

    /// A shard's ledger as far as it is applied.
    pub fn ledger(&self, shard: u8) -> &Ledger {
        self.ledgers[usize::from(shard)].state()
    }

    /// How far a stream is applied.
    pub fn applied(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Config => self.config.applied(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].applied(),
        }
    }

    /// Whether every stream has been read to its end once, or taken from a peer.
    pub fn is_ready(&self) -> bool {
        self.caught_up.len() == Stream::all().count()
    }

    pub(super) fn grant(&self, key: BudgetKey) -> Grant {
        self.ledger(key.shard).grant(key.index, self.incarnation())
    }

    pub(super) fn writer(&mut self, stream: Stream) -> &mut Writer {
        self.writers.get_mut(&stream).expect("a writer each stream")
    }

    pub(super) fn call(
        &mut self,
        to: std::net::SocketAddr,
        asked: Asked,
        request: crate::router::message::Request,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, asked);
        self.actions.push(Action::Call { call, to, request });
    }

    pub(super) fn violated(&mut self, violation: Violation) {
        self.violations += 1;
        if let Violation::Conservation { budget, .. } | Violation::Overdrawn { budget, .. } =
            &violation
        {
            self.suspended.insert(budget.clone());
        }
        self.actions.push(Action::Violated(violation));
    }

    pub(super) fn finish(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::Finish { ticket, verdict });
    }

    /// When to come back, spread so that callers do not return together.
    pub(super) fn not_run(&mut self, reason: Reason) -> Verdict {
        let base = match reason {
            Reason::BudgetExhausted => 30_000,
            Reason::Overloaded | Reason::TooLate | Reason::LogUnavailable => 2_000,
            _ => 500,
        };
        let retry_after = Millis(base + self.rng.random_range(0..=base));
        Verdict::NotRun {
            reason,
            retry_after,
        }
    }

    pub(super) fn publish(&mut self) {
        let config = Arc::new(self.config.state().clone());
        self.actions.push(Action::Publish { config });
    }
}
