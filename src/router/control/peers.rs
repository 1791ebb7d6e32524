//! This router among the others: heartbeats, and its duties as a witness.

use super::action::Token;
use super::decision::witness::{Ward, must_wait_for};
use super::state::Asked;
use super::{Action, Call, State};
use crate::router::budget::{Answer, Doubt, Replay, Resolved, Taken, Witness};
use crate::router::host::Peer;
use crate::router::key::{BudgetKey, Incarnation, SHARDS, Stream};
use crate::router::log::{Record, Writer};
use crate::router::message::{Notice, Reply, Request};
use crate::router::request::{EPOCH_KEEP, Id, Prefix};
use crate::units::{Millis, Tokens};

/// Time between two rounds of heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Time between two rounds of forgetting.
const PRUNE_EVERY: Millis = Millis(10_000);
/// A ward silent for this long, whose ledgers name another witness, is forgotten.
const FORGET_AFTER: Millis = Millis(3_600_000);
/// The same for a ward that has named an earlier incarnation of this process.
const PAST_FORGET_AFTER: Millis = Millis(60_000);
/// Time between two rounds of questions to targets about requests in doubt.
const INQUIRE_EVERY: Millis = Millis(1_000);
/// Questions in a round.
const INQUIRIES: usize = 64;
/// Concurrency of a customer that gets a wider set of entry hosts.
const LARGE: u32 = 256;
/// A router behind the log asks a peer for its state this often.
const STATE_EVERY: Millis = Millis(1_000);

/// A holder that a ledger has under this process.
#[derive(Clone, Copy, Debug)]
struct Named {
    /// The incarnation of this process that it has named.
    witness: Incarnation,
    holder: Incarnation,
    /// When it was last heard.
    heard: Millis,
}

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
        let me = self.incarnation();
        let wards = self.named_wards();
        let to_move = wards.filter(|ward| leaving || ward.witness != me);
        told.extend(to_move.filter_map(|ward| self.membership.address_of(ward.holder)));
        told.sort_unstable();
        told.dedup();
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
        let reply = match request {
            Request::Heartbeat { peers } => {
                self.hear(&peers);
                let peers = self.membership.tell(self.now, &mut self.rng);
                Reply::Heartbeat { peers }
            }
            Request::Ward { to, holder, .. } if !self.is_witness_of(to, holder) => Reply::Gone,
            Request::Take { to, .. } if !self.witnesses.contains_key(&to) => Reply::Gone,
            Request::Ward {
                to,
                holder,
                seq,
                asks,
            } => Reply::Ward(self.answer_ward(to, holder, seq, asks)),
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

    /// Whether this process answers a holder under a name. Under an earlier incarnation it keeps the
    /// wards that it has, and takes on no more.
    fn is_witness_of(&self, name: Incarnation, holder: Incarnation) -> bool {
        let witness = self.witnesses.get(&name);
        name == self.incarnation() || witness.is_some_and(|witness| witness.has(holder))
    }

    fn answer_ward(
        &mut self,
        name: Incarnation,
        holder: Incarnation,
        seq: u64,
        asks: Vec<Notice>,
    ) -> Vec<Answer> {
        let now = self.now;
        let Some(witness) = self.witnesses.get_mut(&name) else {
            return Vec::new();
        };
        match witness.replay(holder, seq) {
            Replay::Again(answers) => answers,
            Replay::Stale => Vec::new(),
            Replay::New => {
                let asks = asks.into_iter();
                let answers: Vec<Answer> = asks
                    .map(|ask| answer_ask(witness, now, holder, ask))
                    .collect();
                witness.answered(holder, seq, &answers);
                answers
            }
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
        let judge = member.witness;
        let Some(witness) = judge.and_then(|name| self.witnesses.get_mut(&name)) else {
            return Taken::Unknown;
        };
        witness.close(self.now, id.incarnation);
        let taken = witness.take(id, by, repeatable);
        self.write_closes();
        taken
    }

    /// Closes wards that have gone silent. The clock only decides when this is tried: a close
    /// counts if the ledger still names this router as the witness.
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
                witness.forget(holder);
            }
        }
        self.write_closes();
    }

    /// Wards that have been silent for `span` and are not closed, with the name that they know.
    fn silent_wards(&self, span: Millis) -> Vec<(Incarnation, Incarnation)> {
        let witnesses = self.witnesses.iter();
        let silent = witnesses.flat_map(|(name, witness)| {
            let silent = witness.silent(self.now, span).into_iter();
            silent.map(|holder| (*name, holder))
        });
        silent.collect()
    }

    /// Asks the targets of closed wards' requests what became of them.
    pub(super) fn inquire(&mut self) {
        if self.now < self.last_inquiry + INQUIRE_EVERY {
            return;
        }
        self.last_inquiry = self.now;
        let doubts = self.witnesses.values().flat_map(Witness::doubtful);
        for doubt in doubts.take(INQUIRIES) {
            self.actions.push(Action::Inquire {
                id: doubt.id,
                request: doubt.reservation.request,
                target: doubt.reservation.target,
            });
        }
    }

    /// A target has told that a request of a closed ward is done.
    pub(super) fn take_fate(&mut self, id: Id, used: Tokens) {
        for witness in self.witnesses.values_mut() {
            witness.told(id, used);
        }
        self.write_closes();
    }

    /// Holders that a ledger has under this process.
    fn named_wards(&self) -> impl Iterator<Item = Named> {
        let wards = self.witnesses.iter().flat_map(|(name, witness)| {
            let holders = witness.holders();
            holders.map(|(holder, heard)| Named {
                witness: *name,
                holder,
                heard,
            })
        });
        wards.filter(|one| {
            (0..SHARDS).any(|shard| self.is_witness_in(shard, one.witness, one.holder))
        })
    }

    /// Whether tokens stay held, or in doubt, if this router ends now.
    pub(super) fn is_awaited(&self) -> bool {
        let others = self.membership.well(self.now);
        let mut wards = self.named_wards().map(|named| Ward {
            silent_for: self.now.saturating_sub(named.heard),
            has_other: others.iter().any(|peer| peer.incarnation != named.holder),
        });
        let mut witnesses = self.witnesses.iter();
        let is_judge = |name| move |doubt: Doubt| self.is_judge_of(name, doubt.id, doubt.budget);
        wards.any(|ward| must_wait_for(&ward))
            || witnesses.any(|(name, one)| one.doubtful().into_iter().any(is_judge(*name)))
    }

    /// Whether a request is in doubt, and the word of this process under a name decides it.
    fn is_judge_of(&self, name: Incarnation, id: Id, budget: BudgetKey) -> bool {
        let ledger = self.ledger(budget.shard);
        let judge = ledger.sequence().member(id.incarnation).witness;
        let key = (id.incarnation, id.nonce);
        judge == Some(name)
            && ledger
                .budget(budget.index)
                .is_some_and(|budget| budget.doubt.contains_key(&key))
    }

    fn is_witness_in(&self, shard: u8, name: Incarnation, holder: Incarnation) -> bool {
        let member = self.ledger(shard).sequence().member(holder);
        member.gone.is_none() && member.witness == Some(name)
    }

    /// The outbox of this process as a witness under a name.
    fn witness_writer(&mut self, name: Incarnation, shard: u8) -> &mut Writer {
        let stream = Stream::Shard(shard);
        if name == self.incarnation() {
            return self.writer(stream);
        }
        let writer = self.past_writers.get_mut(&(name, stream));
        writer.expect("a writer each stream of a past incarnation")
    }

    /// Drops earlier incarnations that nobody needs as a witness any more.
    pub(super) fn drop_past(&mut self) {
        let me = self.incarnation();
        self.witnesses
            .retain(|name, witness| *name == me || witness.wards() > 0);
        let witnesses = &self.witnesses;
        self.past_writers
            .retain(|(name, _), _| witnesses.contains_key(name));
        self.membership
            .drop_past(|name| witnesses.contains_key(&name));
    }

    /// Writes closes, and the bills decided since, until the ledgers have them.
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
            for resolved in self.witnesses[&name].unwritten() {
                self.write_resolve(name, resolved);
            }
        }
    }

    fn write_close(&mut self, shard: u8, name: Incarnation, holder: Incarnation) {
        let same =
            |record: &Record| matches!(record, Record::Close { holder: one, .. } if *one == holder);
        let budgets = self.witnesses[&name].report(holder, shard);
        let writer = self.witness_writer(name, shard);
        if !writer.holds(same) {
            writer.push(Record::Close { holder, budgets });
        }
    }

    fn write_resolve(&mut self, name: Incarnation, resolved: Resolved) {
        let Resolved { id, budget, billed } = resolved;
        let ledger = self.ledger(budget.shard);
        if !ledger.sequence().is_gone(id.incarnation) {
            return;
        }
        let key = (id.incarnation, id.nonce);
        if !self.is_judge_of(name, id, budget) {
            if let Some(witness) = self.witnesses.get_mut(&name) {
                witness.written(id);
            }
            return;
        }
        let (holder, nonce) = key;
        let same = |record: &Record| matches!(record, Record::Resolve { holder: h, nonce: n, .. } if (*h, *n) == key);
        let writer = self.witness_writer(name, budget.shard);
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
        for witness in self.witnesses.values_mut() {
            witness.prune(self.now);
        }
        self.drop_past();
        let jobs = &self.jobs;
        let gone = self.table.prune(epoch, |ticket| jobs.contains_key(&ticket));
        if !gone.is_empty() {
            self.actions.push(Action::Forget(gone));
        }
    }
}

fn answer_ask(witness: &mut Witness, now: Millis, holder: Incarnation, ask: Notice) -> Answer {
    let id = |nonce| Id {
        incarnation: holder,
        nonce,
    };
    match ask {
        Notice::Adopt(ward) => witness.adopt(now, holder, ward),
        Notice::Open {
            nonce,
            budget,
            reservation,
        } => witness.open(now, id(nonce), budget, reservation),
        Notice::Settle { nonce, billed } => witness.settle(now, id(nonce), billed),
        Notice::Heard { epoch } => witness.heard(now, holder, epoch),
    }
}
