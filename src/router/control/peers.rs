//! This router among the others: heartbeats, and its duties as a witness.

use super::action::Token;
use super::decision::witness::{Ward, is_awaited};
use super::state::Asked;
use super::{Action, Call, State};
use crate::router::budget::{Answer, Replay, Taken};
use crate::router::host::Peer;
use crate::router::key::{BudgetKey, Incarnation, SHARDS, Stream};
use crate::router::log::Record;
use crate::router::message::{Notice, Reply, Request};
use crate::router::request::{EPOCH_KEEP, Id, Prefix};
use crate::units::{Millis, Tokens};

/// Time between two rounds of heartbeats. Not measured.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Time between two rounds of forgetting. Not measured.
const PRUNE_EVERY: Millis = Millis(10_000);
/// A ward silent for this long, whose ledgers name another witness, is forgotten. Not measured.
const FORGET_AFTER: Millis = Millis(3_600_000);
/// Time between two rounds of questions to targets about requests in doubt. Not measured.
const INQUIRE_EVERY: Millis = Millis(1_000);
/// Questions in a round. Not measured.
const INQUIRIES: usize = 64;
/// Concurrency of a customer that gets a wider set of entry hosts. Not measured.
const LARGE: u32 = 256;
/// A router behind the log asks a peer for its state this often. Not measured.
const STATE_EVERY: Millis = Millis(1_000);

impl State {
    pub(super) fn send_heartbeats(&mut self) {
        if self.now < self.last_heartbeat + HEARTBEAT_INTERVAL && self.last_heartbeat > Millis::ZERO
        {
            return;
        }
        self.last_heartbeat = self.now;
        self.greet_witnesses();
        let (epoch, applied) = (self.epoch(), self.config.applied());
        let leaving = self.stopping;
        let me = self.membership.me_mut();
        me.epoch = epoch;
        me.applied = applied;
        me.leaving = leaving;
        let mut told = self.membership.round(self.now, &mut self.rng);
        if leaving {
            let wards = self.named_wards().map(|(holder, _)| holder);
            told.extend(wards.filter_map(|holder| self.membership.address_of(holder)));
            told.sort_unstable();
            told.dedup();
        }
        for to in told {
            let peers = self.membership.tell(self.now, &mut self.rng);
            self.call(to, Asked::Heartbeat, Request::Heartbeat { peers });
        }
        self.ask_for_state();
    }

    /// A router that cannot read the log takes its state from a peer that could.
    fn ask_for_state(&mut self) {
        let behind = !self.is_ready() || !self.log_up;
        if !behind || self.now < self.last_peer_state + STATE_EVERY {
            return;
        }
        self.last_peer_state = self.now;
        let well = self.membership.well(self.now);
        let Some(peer) = well.into_iter().max_by_key(|peer| peer.applied) else {
            return;
        };
        let address = peer.address;
        for stream in Stream::all() {
            self.call(address, Asked::State(stream), Request::State { stream });
        }
    }

    pub(super) fn asked(&mut self, token: Token, request: Request) {
        let me = self.incarnation();
        let reply = match request {
            Request::Heartbeat { peers } => {
                self.hear(&peers);
                let peers = self.membership.tell(self.now, &mut self.rng);
                Reply::Heartbeat { peers }
            }
            Request::Ward { to, .. } | Request::Take { to, .. } if to != me => Reply::Gone,
            Request::Ward {
                holder, seq, asks, ..
            } => Reply::Ward(self.answer_ward(holder, seq, asks)),
            Request::Take {
                id,
                shard,
                by,
                repeatable,
                ..
            } => Reply::Taken(self.take_over(id, shard, by, repeatable)),
            Request::State { stream } if self.caught_up.contains(&stream) => {
                Reply::State(self.snapshot(stream))
            }
            Request::State { .. } => Reply::Gone,
        };
        self.actions.push(Action::Answer { token, reply });
    }

    /// Which addresses a customer should use, with what to make ids of there.
    pub(super) fn entry(&mut self, token: Token, customer: &str) {
        let most = self
            .config()
            .customer(customer)
            .map_or(0, |c| c.concurrency);
        let share = 1 + (most / LARGE) as usize;
        let me = self.prefix();
        let peers = self.membership.entries(self.now, customer, share);
        let entries = peers
            .into_iter()
            .map(|peer| {
                let (incarnation, epoch) = (peer.incarnation, peer.epoch);
                let prefix = if incarnation == me.incarnation {
                    me
                } else {
                    Prefix { incarnation, epoch }
                };
                (peer.entry, prefix)
            })
            .collect();
        self.actions.push(Action::Entries { token, entries });
    }

    fn hear(&mut self, peers: &[Peer]) {
        for peer in peers {
            self.membership.heard(self.now, peer);
        }
    }

    pub(super) fn replied(&mut self, call: Call, reply: Option<Reply>) {
        let Some(asked) = self.calls.remove(&call) else {
            return;
        };
        match (asked, reply) {
            (Asked::Heartbeat, Some(Reply::Heartbeat { peers })) => self.hear(&peers),
            (Asked::Heartbeat, _) => {}
            (Asked::Ward(key), reply) => self.witness_replied(key, call, reply),
            (Asked::Take(ticket), Some(Reply::Taken(taken))) => self.judged(ticket, taken),
            (Asked::Take(ticket), _) => self.judged(ticket, Taken::Unknown),
            (Asked::State(stream), Some(Reply::State(checkpoint))) => {
                self.restore(stream, &checkpoint);
            }
            (Asked::State(_), _) => {}
        }
    }

    fn answer_ward(&mut self, holder: Incarnation, seq: u64, asks: Vec<Notice>) -> Vec<Answer> {
        match self.witness.replay(holder, seq) {
            Replay::Again(answers) => answers,
            Replay::Stale => Vec::new(),
            Replay::New => {
                let answers: Vec<Answer> = asks
                    .into_iter()
                    .map(|ask| self.answer_ask(holder, ask))
                    .collect();
                self.witness.answered(holder, seq, &answers);
                answers
            }
        }
    }

    fn answer_ask(&mut self, holder: Incarnation, ask: Notice) -> Answer {
        let now = self.now;
        let id = |nonce| Id {
            incarnation: holder,
            nonce,
        };
        match ask {
            Notice::Adopt(ward) => self.witness.adopt(now, holder, ward),
            Notice::Open {
                nonce,
                budget,
                reservation,
            } => self.witness.open(now, id(nonce), budget, reservation),
            Notice::Settle { nonce, billed } => self.witness.settle(now, id(nonce), billed),
            Notice::Heard { epoch } => self.witness.heard(now, holder, epoch),
        }
    }

    /// Judges a takeover. Only a witness whose close, or whose ward's leave, the ledger has taken
    /// may do so: nothing can be dispatched under that incarnation any more.
    pub(super) fn take_over(
        &mut self,
        id: Id,
        shard: u8,
        by: Incarnation,
        repeatable: bool,
    ) -> Taken {
        if shard >= SHARDS {
            return Taken::Unknown;
        }
        let member = self.ledger(shard).sequence().member(id.incarnation);
        if member.gone.is_none() {
            return Taken::Alive;
        }
        if member.witness != Some(self.incarnation()) {
            return Taken::Unknown;
        }
        self.witness.close(self.now, id.incarnation);
        let taken = self.witness.take(id, by, repeatable);
        self.write_closes();
        taken
    }

    /// Closes wards that have gone silent. The clock only decides when this is tried: a close
    /// counts if the ledger still names this router as the witness.
    pub(super) fn watch_wards(&mut self) {
        for holder in self.witness.silent(self.now, self.settings.close_after) {
            let named = (0..SHARDS).any(|shard| self.is_witness_in(shard, holder));
            if named {
                self.witness.close(self.now, holder);
            }
        }
        for holder in self.witness.silent(self.now, FORGET_AFTER) {
            self.witness.forget(holder);
        }
        self.write_closes();
    }

    /// Asks the targets of closed wards' requests what became of them.
    pub(super) fn inquire(&mut self) {
        if self.now < self.last_inquiry + INQUIRE_EVERY {
            return;
        }
        self.last_inquiry = self.now;
        for doubt in self.witness.doubtful().into_iter().take(INQUIRIES) {
            self.actions.push(Action::Inquire {
                id: doubt.id,
                request: doubt.reservation.request,
                target: doubt.reservation.target,
            });
        }
    }

    /// A target has told that a request of a closed ward is done.
    pub(super) fn take_fate(&mut self, id: Id, used: Tokens) {
        self.witness.told(id, used);
        self.write_closes();
    }

    /// Holders that a ledger has under this router, with when each was last heard.
    fn named_wards(&self) -> impl Iterator<Item = (Incarnation, Millis)> {
        let is_named = |holder| (0..SHARDS).any(|shard| self.is_witness_in(shard, holder));
        let holders = self.witness.holders();
        holders.filter(move |(holder, _)| is_named(*holder))
    }

    /// Whether tokens stay held, or in doubt, if this router ends now.
    pub(super) fn is_awaited(&self) -> bool {
        let others = self.membership.well(self.now);
        let mut wards = self.named_wards().map(|(holder, heard)| Ward {
            unheard: self.now.saturating_sub(heard),
            has_other: others.iter().any(|peer| peer.incarnation != holder),
        });
        let mut doubts = self.witness.doubtful().into_iter();
        wards.any(|ward| is_awaited(&ward))
            || doubts.any(|doubt| self.is_judge_of(doubt.id, doubt.budget))
    }

    /// Whether a request is in doubt, and this router's word decides it.
    fn is_judge_of(&self, id: Id, budget: BudgetKey) -> bool {
        let ledger = self.ledger(budget.shard);
        let judge = ledger.sequence().member(id.incarnation).witness;
        let key = (id.incarnation, id.nonce);
        judge == Some(self.incarnation())
            && ledger
                .budget(budget.index)
                .is_some_and(|budget| budget.doubt.contains_key(&key))
    }

    fn is_witness_in(&self, shard: u8, holder: Incarnation) -> bool {
        let member = self.ledger(shard).sequence().member(holder);
        member.gone.is_none() && member.witness == Some(self.incarnation())
    }

    /// Writes closes, and the bills decided since, until the ledgers have them.
    fn write_closes(&mut self) {
        for holder in self.witness.closed() {
            for shard in 0..SHARDS {
                if self.is_witness_in(shard, holder) {
                    self.write_close(shard, holder);
                }
            }
        }
        for resolved in self.witness.unwritten() {
            self.write_resolve(resolved);
        }
    }

    fn write_close(&mut self, shard: u8, holder: Incarnation) {
        let same =
            |record: &Record| matches!(record, Record::Close { holder: one, .. } if *one == holder);
        let budgets = self.witness.report(holder, shard);
        let writer = self.writer(Stream::Shard(shard));
        if !writer.holds(same) {
            writer.push(Record::Close { holder, budgets });
        }
    }

    fn write_resolve(&mut self, resolved: crate::router::budget::Resolved) {
        let crate::router::budget::Resolved { id, budget, billed } = resolved;
        let ledger = self.ledger(budget.shard);
        if !ledger.sequence().is_gone(id.incarnation) {
            return;
        }
        let key = (id.incarnation, id.nonce);
        if !self.is_judge_of(id, budget) {
            self.witness.written(id);
            return;
        }
        let (holder, nonce) = key;
        let same = |record: &Record| matches!(record, Record::Resolve { holder: h, nonce: n, .. } if (*h, *n) == key);
        let writer = self.writer(budget.stream());
        if !writer.holds(same) {
            writer.push(Record::Resolve {
                holder,
                nonce,
                billed,
            });
        }
    }

    pub(super) fn prune(&mut self) {
        if self.now < self.last_prune + PRUNE_EVERY {
            return;
        }
        self.last_prune = self.now;
        let epoch = self.epoch();
        self.holder.prune(epoch.saturating_sub(EPOCH_KEEP));
        self.witness.prune(self.now);
        let jobs = &self.jobs;
        let gone = self.table.prune(epoch, |ticket| jobs.contains_key(&ticket));
        if !gone.is_empty() {
            self.actions.push(Action::Forget(gone));
        }
    }
}
