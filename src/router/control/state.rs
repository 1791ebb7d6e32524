//! The control state itself, and the dispatch of inputs to its parts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::decision::retry::Budget;
use super::job::{Job, Settling};
use super::link::Link;
use super::{Action, Call, Input, ReplyToken};
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

/// Start of the numbers that requests taken over get in this router's own accounts. Callers' numbers are below
/// 2^31, and the numbers generated for requests without an id lie between.
pub(super) const TAKEOVER_NUMBERS_START: u32 = 3 << 30;

/// Settings, fixed for the life of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's own entry, as announced to the others.
    pub me: Peer,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How large grants are requested.
    pub sizing: Sizing,
    /// Limits of each queue.
    pub bound: Bound,
    /// Shortest time between two appends of this router to a stream.
    pub append_gap: Millis,
    /// A ward (a holder that this router is the witness of) that is silent for longer than this is closed.
    pub close_after: Millis,
    /// Appends to a stream from one checkpoint until the next is due.
    pub checkpoint_every: u64,
}

impl Settings {
    /// Default settings for one router.
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

/// Key of a link: holder and witness. The holder may be an earlier incarnation of this process.
pub(super) type LinkKey = (Incarnation, Incarnation);

/// What an unanswered call to another router is for.
#[derive(Clone, Debug)]
pub(super) enum PendingCall {
    Heartbeat,
    Ward(LinkKey),
    Takeover(Ticket),
    State(Stream),
}

/// A confirmed plan that waits to be read back from the log.
#[derive(Clone, Debug)]
pub(super) struct PendingConfirm {
    pub token: ReplyToken,
    pub plan: Plan,
    pub since: Millis,
}

/// A checkpoint that this router will write unless another router does first.
#[derive(Clone, Debug)]
pub(super) struct PendingCheckpoint {
    pub checkpoint: Checkpoint,
    pub due_at: Millis,
}

/// The control state of one router.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    /// The only source of randomness, seeded from the settings.
    pub(super) rng: StdRng,
    /// The latest time passed with an input.
    pub(super) now: Millis,
    /// Actions requested by the input that is being handled.
    pub(super) actions: Vec<Action>,

    /// The configuration, folded from its stream.
    pub(super) config: Follower<Config>,
    /// The budgets, folded from the shards' streams, by shard.
    pub(super) ledgers: Vec<Follower<Ledger>>,
    /// This incarnation's records that are not read back yet, by stream.
    pub(super) writers: BTreeMap<Stream, Writer>,
    /// Streams that were read to their end at least once, or taken from a peer.
    pub(super) caught_up: BTreeSet<Stream>,
    /// The oldest offset that the log retained at the last read of each stream.
    pub(super) oldest_retained: BTreeMap<Stream, Offset>,
    /// Whether the log service answered the last read.
    pub(super) log_up: bool,
    /// When the log service last stopped answering.
    pub(super) log_down_since: Millis,
    /// Checkpoints that this router will write unless another router does first.
    pub(super) checkpoints: BTreeMap<Stream, PendingCheckpoint>,

    /// What this incarnation may spend, has reserved and has settled.
    pub(super) holder: Holder,
    /// Where this incarnation's first epoch began.
    pub(super) epochs_began: Millis,
    /// The last number given to a request that was taken over.
    pub(super) last_takeover_number: u32,
    /// Channels to the witnesses of this and earlier incarnations.
    pub(super) links: BTreeMap<LinkKey, Link>,
    /// Links made so far. It numbers them, so that a delayed call of an earlier link is recognised.
    pub(super) link_count: u32,
    /// Requests whose settlement is not acknowledged by all witnesses yet, by number.
    pub(super) settling: BTreeMap<u64, Settling>,
    /// Settlements of requests of earlier incarnations of this process, by id in the earlier accounts.
    pub(super) past_settling: BTreeMap<Id, Settling>,
    /// What this process keeps for its wards, by the incarnation of this process that they have named as their
    /// witness. Being closed as a holder does not affect what it keeps for them, so it stays their witness under
    /// the incarnation that the ledgers name.
    pub(super) witnesses: BTreeMap<Incarnation, Witness>,
    /// Log writers of earlier incarnations that are still witnesses.
    pub(super) past_writers: BTreeMap<(Incarnation, Stream), Writer>,
    /// The offset of each budget's last shortage that this router has acted on.
    pub(super) scarce_seen: HashMap<BudgetKey, Offset>,
    /// When this router last requested a grant from each budget.
    pub(super) grant_requested_at: HashMap<BudgetKey, Millis>,

    /// Ids of known requests, by which retries are recognised.
    pub(super) table: Table,
    /// Requests in progress.
    pub(super) jobs: BTreeMap<Ticket, Job>,
    /// Tickets of requests that this incarnation has reserved tokens for, by number.
    pub(super) by_nonce: BTreeMap<u64, Ticket>,
    /// Waiting requests, by the kind and name of the target that they need.
    pub(super) queues: BTreeMap<(Kind, String), Queue>,
    /// Number of requests in progress of each customer.
    pub(super) jobs_by_customer: HashMap<String, u32>,
    /// The retry budget.
    pub(super) retry_budget: Budget,

    /// The targets.
    pub(super) pool: Pool,
    /// The other routers.
    pub(super) membership: Membership,

    /// The number of the next call to another router.
    pub(super) next_call: Call,
    /// What each unanswered call is for.
    pub(super) calls: HashMap<Call, PendingCall>,
    /// Confirmed plans that are not read back from the log yet.
    pub(super) confirming: Vec<PendingConfirm>,
    /// Whether a planned stop is in progress.
    pub(super) stopping: bool,
    /// Since when the stop has had no request in progress.
    pub(super) stopping_since: Millis,
    /// Whether this incarnation has written its leave records.
    pub(super) has_left: bool,
    /// Whether [`Action::Exit`] was requested.
    pub(super) exited: bool,
    /// When the last round of heartbeats was sent; zero makes the next one due at once.
    pub(super) last_heartbeat: Millis,
    pub(super) last_maintenance: Millis,
    pub(super) last_prune: Millis,
    pub(super) last_peer_state: Millis,
    /// Rounds of state requests sent so far.
    pub(super) state_rounds: usize,
    pub(super) last_inquiry: Millis,
    /// Inquiries sent so far.
    pub(super) inquiries: usize,
    /// Number of invariant violations.
    pub(super) violations: u64,
    /// Budgets that are not served any more because one of their invariants was violated.
    pub(super) suspended: BTreeSet<String>,
}

impl State {
    /// The state of a router that has just started and has read nothing from the log.
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
                .map(|stream| (stream, Writer::new(incarnation)))
                .collect(),
            caught_up: BTreeSet::new(),
            oldest_retained: BTreeMap::new(),
            log_up: true,
            log_down_since: now,
            checkpoints: BTreeMap::new(),
            holder: Holder::new(incarnation, settings.sizing),
            epochs_began: now,
            last_takeover_number: TAKEOVER_NUMBERS_START,
            links: BTreeMap::new(),
            link_count: 0,
            settling: BTreeMap::new(),
            past_settling: BTreeMap::new(),
            witnesses: BTreeMap::from([(incarnation, Witness::default())]),
            past_writers: BTreeMap::new(),
            scarce_seen: HashMap::new(),
            grant_requested_at: HashMap::new(),
            table: Table::default(),
            jobs: BTreeMap::new(),
            by_nonce: BTreeMap::new(),
            queues: BTreeMap::new(),
            jobs_by_customer: HashMap::new(),
            retry_budget: Budget::default(),
            pool: Pool::default(),
            membership: Membership::new(me),
            next_call: 1,
            calls: HashMap::new(),
            confirming: Vec::new(),
            stopping: false,
            stopping_since: now,
            has_left: false,
            exited: false,
            last_heartbeat: Millis::ZERO,
            last_maintenance: Millis::ZERO,
            last_prune: now,
            last_peer_state: now,
            state_rounds: 0,
            last_inquiry: now,
            inquiries: 0,
            violations: 0,
            suspended: BTreeSet::new(),
            settings,
        }
    }

    /// Handles one input at time `now` and returns the actions that it requests. An earlier `now` than before
    /// counts as the latest one.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        match input {
            Input::Arrive(spec) => self.handle_arrival(spec),
            Input::Ended { ticket, end } => self.handle_end(ticket, end),
            Input::Read {
                stream,
                first,
                batches,
            } => self.apply_records(stream, first, &batches),
            Input::Cursors { token } => self.answer_cursors(token),
            Input::LogUp(up) => self.set_log_up(up),
            Input::Appended { stream, taken } => self.handle_append_result(stream, taken),
            Input::Hosts(hosts) => self.update_hosts(&hosts),
            Input::Report { address, running } => self.update_target_load(address, running),
            Input::PeerRequest { token, request } => self.answer_peer(token, request),
            Input::Replied { call, reply } => self.handle_reply(call, reply),
            Input::Intent { token, intent } => self.plan_intent(token, &intent),
            Input::Confirm { token, plan } => self.confirm_plan(token, plan),
            Input::Status { token } => self.answer_status(token),
            Input::Entry { token, customer } => self.answer_entry(token, &customer),
            Input::InquiryAnswered { id, used } => self.record_target_outcome(id, used),
            Input::Cancelled { id } => self.record_cancelled(id),
            Input::Tick => self.tick(),
            Input::Stop => self.begin_stop(),
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
        self.start_queued();
        self.finish_stop();
    }

    fn update_target_load(&mut self, address: std::net::SocketAddr, running: u32) {
        if let Some(key) = self.pool.find(address) {
            self.pool.report(self.now, key, running);
            self.start_queued();
        }
    }

    fn update_hosts(&mut self, hosts: &[(std::net::SocketAddr, bool)]) {
        self.membership.set_listed(hosts);
        for (address, leaving) in hosts {
            self.pool.set_leaving(*address, *leaving);
        }
    }

    /// The current incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.holder.incarnation()
    }

    /// The prefix from which callers make request ids.
    pub fn prefix(&self) -> Prefix {
        Prefix {
            incarnation: self.incarnation(),
            epoch: self.epoch(),
        }
    }

    /// The current epoch of request ids; the first is 1.
    pub(super) fn epoch(&self) -> u32 {
        let epochs = self.now.saturating_sub(self.epochs_began).0 / EPOCH_LENGTH.0;
        u32::try_from(epochs + 1).unwrap_or(u32::MAX)
    }

    /// A new number, in this incarnation's accounts, for a request that was taken over.
    pub(super) fn takeover_nonce(&mut self) -> u64 {
        self.last_takeover_number = self
            .last_takeover_number
            .checked_add(1)
            .unwrap_or(TAKEOVER_NUMBERS_START);
        self.prefix().with_number(self.last_takeover_number).nonce
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Config {
        self.config.state()
    }

    /// A shard's ledger, up to the last offset applied.
    pub fn ledger(&self, shard: u8) -> &Ledger {
        self.ledgers[usize::from(shard)].state()
    }

    /// The last offset of a stream that was applied.
    pub fn applied(&self, stream: Stream) -> Offset {
        match stream {
            Stream::Config => self.config.applied(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].applied(),
        }
    }

    /// Whether every stream was read to its end at least once, or taken from a peer.
    pub fn is_ready(&self) -> bool {
        self.caught_up.len() == Stream::all().count()
    }

    pub(super) fn grant(&self, key: BudgetKey) -> Grant {
        self.ledger(key.shard).grant(key.index, self.incarnation())
    }

    pub(super) fn writer(&mut self, stream: Stream) -> &mut Writer {
        self.writers
            .get_mut(&stream)
            .expect("every stream has a writer")
    }

    pub(super) fn call(
        &mut self,
        to: std::net::SocketAddr,
        purpose: PendingCall,
        request: crate::router::message::Request,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, purpose);
        self.actions.push(Action::Call { call, to, request });
    }

    pub(super) fn report_violation(&mut self, violation: Violation) {
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

    /// The verdict "not run" with a randomised retry delay, so that callers do not all retry at once.
    pub(super) fn not_run_verdict(&mut self, reason: Reason) -> Verdict {
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
