//! Communication with the other routers: heartbeats, calls and replies, and this router's work as a witness for
//! its wards, the holders that have named it.

use std::net::SocketAddr;

use super::action::ReplyToken;
use super::decision::witness::{Ward, must_wait_for};
use super::state::PendingCall;
use super::{Action, Call, IfNotRun, State};
use crate::router::budget::{Answer, Doubt, Replay, Resolved, TakeoverAnswer, Witness};
use crate::router::host::Peer;
use crate::router::key::{BudgetKey, Incarnation, SHARDS, Stream};
use crate::router::log::{Record, Writer};
use crate::router::message::{Notice, Reply, Request};
use crate::router::request::{EPOCH_KEEP, Id, Prefix};
use crate::units::{Millis, Tokens};

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Time between two rounds of dropping expired state.
const PRUNE_INTERVAL: Millis = Millis(10_000);
/// A ward that is silent for longer than this and not closed, since its ledgers name another witness, is
/// forgotten.
const FORGET_AFTER: Millis = Millis(3_600_000);
/// Like [`FORGET_AFTER`], for a ward that has named an earlier incarnation of this process as its witness.
const PAST_FORGET_AFTER: Millis = Millis(60_000);
/// Time between two rounds of inquiries to targets about requests in doubt.
const INQUIRY_INTERVAL: Millis = Millis(1_000);
/// Most inquiries in one round.
const INQUIRIES_PER_ROUND: usize = 64;
/// Concurrency for which a customer's set of entry hosts is widened by one more share.
const CONCURRENCY_PER_ENTRY_SHARE: u32 = 256;
/// Time between two state requests to peers, while this router is behind the log.
const STATE_REQUEST_INTERVAL: Millis = Millis(1_000);

/// A holder whose witness, according to a ledger, is this process.
#[derive(Clone, Copy, Debug)]
struct NamedWard {
    /// The incarnation of this process that the holder has named.
    witness: Incarnation,
    holder: Incarnation,
    /// When the holder was last heard from.
    heard: Millis,
}

impl State {
    pub(super) fn send_heartbeats(&mut self) {
        if self.now < self.last_heartbeat + HEARTBEAT_INTERVAL && self.last_heartbeat > Millis::ZERO
        {
            return;
        }
        self.last_heartbeat = self.now;
        self.queue_keepalives();
        let (epoch, applied) = (self.epoch(), self.config.applied());
        let leaving = self.stopping;
        let me = self.membership.me_mut();
        me.epoch = epoch;
        me.applied = applied;
        me.leaving = leaving;
        let mut receivers = self.membership.start_round(self.now, &mut self.rng);
        let me = self.incarnation();
        let wards = self.named_wards();
        let to_move = wards.filter(|ward| leaving || ward.witness != me);
        receivers.extend(to_move.filter_map(|ward| self.membership.address_of(ward.holder)));
        receivers.sort_unstable();
        receivers.dedup();
        for to in receivers {
            let peers = self.membership.gossip(self.now, &mut self.rng);
            self.call(to, PendingCall::Heartbeat, Request::Heartbeat { peers });
        }
        self.request_state();
    }

    /// Requests the state of streams from a peer while this router cannot bring them on from the log: all of them
    /// until it has read them once or while the log does not answer, else those that it is behind in.
    fn request_state(&mut self) {
        let takes_all = !self.is_ready() || !self.log_up;
        let mut wanted: Vec<Stream> = Stream::all().collect();
        wanted.retain(|stream| takes_all || self.is_behind(*stream));
        if wanted.is_empty() || self.now < self.last_peer_state + STATE_REQUEST_INTERVAL {
            return;
        }
        self.last_peer_state = self.now;
        let Some(address) = self.choose_state_peer() else {
            return;
        };
        for stream in wanted {
            self.call(
                address,
                PendingCall::State(stream),
                Request::State { stream },
            );
        }
    }

    /// The peer to request states from. While the log answers, each round asks another one, since the last one asked
    /// may be behind too.
    fn choose_state_peer(&mut self) -> Option<SocketAddr> {
        let healthy = self.membership.well(self.now);
        let peer = if self.log_up {
            self.state_rounds += 1;
            healthy.get(self.state_rounds % healthy.len().max(1))
        } else {
            healthy.iter().max_by_key(|peer| peer.applied)
        };
        peer.map(|peer| peer.address)
    }

    /// Answers a request of a peer.
    pub(super) fn answer_peer(&mut self, token: ReplyToken, request: Request) {
        let reply = match request {
            Request::Heartbeat { peers } => {
                self.record_peers(&peers);
                let peers = self.membership.gossip(self.now, &mut self.rng);
                Reply::Heartbeat { peers }
            }
            Request::Replicate { to, holder, .. } if !self.is_witness_of(to, holder) => {
                Reply::Unavailable
            }
            Request::Takeover { to, .. } if !self.witnesses.contains_key(&to) => Reply::Unavailable,
            Request::Replicate {
                to,
                holder,
                seq,
                notices,
            } => Reply::Replicate(self.answer_notices(to, holder, seq, notices)),
            Request::Takeover {
                id,
                shard,
                by,
                repeatable,
                ..
            } => Reply::Takeover(self.take_over(id, shard, by, repeatable)),
            Request::State { stream } if self.caught_up.contains(&stream) => {
                Reply::State(self.snapshot(stream))
            }
            Request::State { .. } => Reply::Unavailable,
        };
        self.actions.push(Action::Answer { token, reply });
    }

    /// Answers which addresses a customer should use, with the id prefix for each.
    pub(super) fn answer_entry(&mut self, token: ReplyToken, customer: &str) {
        let concurrency = self
            .config()
            .customer(customer)
            .map_or(0, |c| c.concurrency);
        let share = 1 + (concurrency / CONCURRENCY_PER_ENTRY_SHARE) as usize;
        let me = self.prefix();
        let peers = self.membership.entry_hosts(self.now, customer, share);
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

    fn record_peers(&mut self, peers: &[Peer]) {
        for peer in peers {
            self.membership.observe(self.now, peer);
        }
    }

    /// Handles the reply to a call, or the failure of the call.
    pub(super) fn handle_reply(&mut self, call: Call, reply: Option<Reply>) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        match (purpose, reply) {
            (PendingCall::Heartbeat, Some(Reply::Heartbeat { peers })) => self.record_peers(&peers),
            (PendingCall::Heartbeat, _) => {}
            (PendingCall::Ward(key), reply) => self.handle_witness_reply(key, call, reply),
            (PendingCall::Takeover(ticket), Some(Reply::Takeover(taken))) => {
                self.handle_takeover_answer(ticket, taken)
            }
            (PendingCall::Takeover(ticket), _) => {
                self.handle_takeover_answer(ticket, TakeoverAnswer::Unknown)
            }
            (PendingCall::State(stream), Some(Reply::State(checkpoint))) => {
                self.restore(stream, &checkpoint);
            }
            (PendingCall::State(_), _) => {}
        }
    }

    /// Whether this process answers a holder as its witness under the incarnation `name`. Under an earlier
    /// incarnation it keeps the wards that it has and accepts no others.
    fn is_witness_of(&self, name: Incarnation, holder: Incarnation) -> bool {
        let witness = self.witnesses.get(&name);
        name == self.incarnation() || witness.is_some_and(|witness| witness.is_witness_of(holder))
    }

    /// Applies a ward's notices and answers them. A repeated call gets the same answers again, an outdated one
    /// none.
    fn answer_notices(
        &mut self,
        name: Incarnation,
        holder: Incarnation,
        seq: u64,
        notices: Vec<Notice>,
    ) -> Vec<Answer> {
        let now = self.now;
        let Some(witness) = self.witnesses.get_mut(&name) else {
            return Vec::new();
        };
        match witness.replay(holder, seq) {
            Replay::Repeated(answers) => answers,
            Replay::Stale => Vec::new(),
            Replay::New => {
                let notices = notices.into_iter();
                let answers: Vec<Answer> = notices
                    .map(|notice| apply_notice(witness, now, holder, notice))
                    .collect();
                witness.record_answers(holder, seq, &answers);
                answers
            }
        }
    }

    /// Decides a takeover as the witness of the lost incarnation. A witness may do so only once the ledger has
    /// applied its close or its ward's leave: nothing can be dispatched under that incarnation any more.
    pub(super) fn take_over(
        &mut self,
        id: Id,
        shard: u8,
        by: Incarnation,
        repeatable: bool,
    ) -> TakeoverAnswer {
        if shard >= SHARDS {
            return TakeoverAnswer::Unknown;
        }
        let member = self.ledger(shard).sequence().writer(id.incarnation);
        if member.departed_at.is_none() {
            return TakeoverAnswer::Alive;
        }
        let named = member.witness;
        let Some(witness) = named.and_then(|name| self.witnesses.get_mut(&name)) else {
            return TakeoverAnswer::Unknown;
        };
        witness.close(self.now, id.incarnation);
        let taken = witness.take_over(id, by, repeatable);
        self.write_closes();
        taken
    }

    /// Closes wards that are silent for too long, and forgets those that no longer need this witness. The clock only
    /// decides when a close is tried: it counts if the ledger still names this router as the witness.
    pub(super) fn watch_wards(&mut self) {
        let now = self.now;
        for (name, holder) in self.silent_wards(self.settings.close_after) {
            let is_named = (0..SHARDS).any(|shard| self.is_witness_in(shard, name, holder));
            if is_named && let Some(witness) = self.witnesses.get_mut(&name) {
                witness.close(now, holder);
            }
        }
        let me = self.incarnation();
        for (name, witness) in &mut self.witnesses {
            let is_past = *name != me;
            let after = if is_past {
                PAST_FORGET_AFTER
            } else {
                FORGET_AFTER
            };
            for holder in witness.silent(now, after) {
                witness.remove(holder);
            }
        }
        self.write_closes();
    }

    /// Wards that are silent for longer than `span` and not closed, as pairs of the incarnation of this process
    /// that the ward has named and the ward.
    fn silent_wards(&self, span: Millis) -> Vec<(Incarnation, Incarnation)> {
        let witnesses = self.witnesses.iter();
        let silent = witnesses.flat_map(|(name, witness)| {
            let silent = witness.silent(self.now, span).into_iter();
            silent.map(|holder| (*name, holder))
        });
        silent.collect()
    }

    /// Asks targets for the outcome of requests that closed wards may have dispatched to them, in turn, so that those
    /// whose target never answers do not keep the others waiting.
    pub(super) fn inquire(&mut self) {
        if self.now < self.last_inquiry + INQUIRY_INTERVAL {
            return;
        }
        self.last_inquiry = self.now;
        let witnesses = self.witnesses.iter();
        let doubts = witnesses.flat_map(|(name, witness)| {
            let doubts = witness.in_doubt().into_iter();
            doubts.map(|doubt| (*name, doubt))
        });
        let mut doubts: Vec<(Incarnation, Doubt)> = doubts.collect();
        let first = self.inquiries % doubts.len().max(1);
        doubts.rotate_left(first);
        doubts.truncate(INQUIRIES_PER_ROUND);
        self.inquiries += doubts.len();
        for (name, doubt) in doubts {
            // A witness that the ledger does not name has closed nothing: the holder may be alive.
            let if_not_run = match self.decides_doubt(name, doubt.id, doubt.budget) {
                true => IfNotRun::Cancel,
                false => IfNotRun::Wait,
            };
            self.actions.push(Action::Inquire {
                id: doubt.id,
                request: doubt.reservation.request,
                target: doubt.reservation.target,
                if_not_run,
            });
        }
    }

    /// Records a target's report that a request of a closed ward is done.
    pub(super) fn record_target_outcome(&mut self, id: Id, used: Tokens) {
        for witness in self.witnesses.values_mut() {
            witness.record_outcome(id, used);
        }
        self.write_closes();
    }

    /// Records that a target has cancelled a request of a closed ward.
    pub(super) fn record_cancelled(&mut self, id: Id) {
        for witness in self.witnesses.values_mut() {
            witness.record_cancelled(id);
        }
        self.write_closes();
    }

    /// Wards whose witness, according to a ledger, is this process.
    fn named_wards(&self) -> impl Iterator<Item = NamedWard> {
        let wards = self.witnesses.iter().flat_map(|(name, witness)| {
            let holders = witness.holders();
            holders.map(|(holder, heard)| NamedWard {
                witness: *name,
                holder,
                heard,
            })
        });
        wards.filter(|ward| {
            (0..SHARDS).any(|shard| self.is_witness_in(shard, ward.witness, ward.holder))
        })
    }

    /// Whether tokens would stay held or in doubt if this router ended now.
    pub(super) fn is_needed_as_witness(&self) -> bool {
        let others = self.membership.well(self.now);
        let mut wards = self.named_wards().map(|named| Ward {
            silent_for: self.now.saturating_sub(named.heard),
            has_other: others.iter().any(|peer| peer.incarnation != named.holder),
        });
        let mut witnesses = self.witnesses.iter();
        let decides = |name| move |doubt: Doubt| self.decides_doubt(name, doubt.id, doubt.budget);
        wards.any(|ward| must_wait_for(&ward))
            || witnesses.any(|(name, witness)| witness.in_doubt().into_iter().any(decides(*name)))
    }

    /// Whether a request is in doubt and this process, as the witness `name`, decides its outcome.
    fn decides_doubt(&self, name: Incarnation, id: Id, budget: BudgetKey) -> bool {
        let ledger = self.ledger(budget.shard);
        let witness = ledger.sequence().writer(id.incarnation).witness;
        let key = (id.incarnation, id.nonce);
        witness == Some(name)
            && ledger
                .budget(budget.index)
                .is_some_and(|budget| budget.doubt.contains_key(&key))
    }

    fn is_witness_in(&self, shard: u8, name: Incarnation, holder: Incarnation) -> bool {
        let member = self.ledger(shard).sequence().writer(holder);
        member.departed_at.is_none() && member.witness == Some(name)
    }

    /// The log writer of this process as the witness `name`.
    fn witness_writer(&mut self, name: Incarnation, shard: u8) -> &mut Writer {
        let stream = Stream::Shard(shard);
        if name == self.incarnation() {
            return self.writer(stream);
        }
        let writer = self.past_writers.get_mut(&(name, stream));
        writer.expect("every stream has a writer for each earlier incarnation that is a witness")
    }

    /// Drops earlier incarnations that have no wards any more.
    pub(super) fn drop_past(&mut self) {
        let me = self.incarnation();
        self.witnesses
            .retain(|name, witness| *name == me || witness.replica_count() > 0);
        let witnesses = &self.witnesses;
        self.past_writers
            .retain(|(name, _), _| witnesses.contains_key(name));
        self.membership
            .retain_past(|name| witnesses.contains_key(&name));
    }

    /// Writes closes, and the bills decided after them, until the ledgers have applied them.
    fn write_closes(&mut self) {
        let names: Vec<Incarnation> = self.witnesses.keys().copied().collect();
        for name in names {
            for holder in self.witnesses[&name].closed() {
                for shard in 0..SHARDS {
                    if self.is_witness_in(shard, name, holder) {
                        self.write_close(shard, name, holder);
                    }
                }
            }
            for resolved in self.witnesses[&name].unrecorded() {
                self.write_resolve(name, resolved);
            }
        }
    }

    fn write_close(&mut self, shard: u8, name: Incarnation, holder: Incarnation) {
        let is_same = |record: &Record| matches!(record, Record::Close { holder: closed, .. } if *closed == holder);
        let budgets = self.witnesses[&name].report(holder, shard);
        let writer = self.witness_writer(name, shard);
        if !writer.holds(is_same) {
            writer.push(Record::Close { holder, budgets });
        }
    }

    fn write_resolve(&mut self, name: Incarnation, resolved: Resolved) {
        let Resolved { id, budget, billed } = resolved;
        let ledger = self.ledger(budget.shard);
        if !ledger.sequence().has_departed(id.incarnation) {
            return;
        }
        let key = (id.incarnation, id.nonce);
        if !self.decides_doubt(name, id, budget) {
            if let Some(witness) = self.witnesses.get_mut(&name) {
                witness.mark_recorded(id);
            }
            return;
        }
        let (holder, nonce) = key;
        let is_same = |record: &Record| matches!(record, Record::Resolve { holder: h, nonce: n, .. } if (*h, *n) == key);
        let writer = self.witness_writer(name, budget.shard);
        if !writer.holds(is_same) {
            writer.push(Record::Resolve {
                holder,
                nonce,
                billed,
            });
        }
    }

    pub(super) fn prune(&mut self) {
        if self.now < self.last_prune + PRUNE_INTERVAL {
            return;
        }
        self.last_prune = self.now;
        let epoch = self.epoch();
        self.holder.prune(epoch.saturating_sub(EPOCH_KEEP));
        for witness in self.witnesses.values_mut() {
            witness.prune(self.now);
        }
        self.drop_past();
        let jobs = &self.jobs;
        let forgotten = self.table.prune(epoch, |ticket| jobs.contains_key(&ticket));
        if !forgotten.is_empty() {
            self.actions.push(Action::Forget(forgotten));
        }
    }
}

fn apply_notice(witness: &mut Witness, now: Millis, holder: Incarnation, notice: Notice) -> Answer {
    let id = |nonce| Id {
        incarnation: holder,
        nonce,
    };
    match notice {
        Notice::Adopt(replica) => witness.adopt(now, holder, replica),
        Notice::Open {
            nonce,
            budget,
            reservation,
        } => witness.open(now, id(nonce), budget, reservation),
        Notice::Settle { nonce, billed } => witness.settle(now, id(nonce), billed),
        Notice::Heard { epoch } => witness.heard(now, holder, epoch),
    }
}
