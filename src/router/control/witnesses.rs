//! This router as a holder: its witnesses, and what they must have before it may go on.

use rand::RngExt;

use super::decision::witness::{self, Decision, WitnessState};
use super::job::Stage;
use super::link::Link;
use super::state::{Asked, LinkKey};
use super::{Action, State};
use crate::router::budget::{Answer, Holder, Ward, Witness};
use crate::router::key::{Incarnation, SHARDS, Stream};
use crate::router::log::{Record, Writer};
use crate::router::message::{Notice, Reply};
use crate::router::request::{Id, Ticket, Verdict};
use crate::units::{Millis, Tokens};

/// An earlier incarnation's bills are given up when its witness is silent for this long.
const LATE_WAIT: Millis = Millis(10_000);

impl State {
    /// Witnesses that must acknowledge before a dispatch or a bill in a shard counts: the one that
    /// the ledger names, the one that is taking over, and any that a record under way names, since
    /// that record may already be in the log.
    pub(super) fn needed(&self, shard: u8) -> Vec<Incarnation> {
        let mut needed = self.named(shard);
        needed.extend(self.membership.me().witness);
        needed.sort_unstable();
        needed.dedup();
        needed
    }

    /// Witnesses that a shard's ledger names, or that a record under way names.
    fn named(&self, shard: u8) -> Vec<Incarnation> {
        let me = self.incarnation();
        let recorded = self.ledger(shard).sequence().member(me).witness;
        let writer = &self.writers[&Stream::Shard(shard)];
        let under_way = writer.records().filter_map(|record| match record {
            Record::Witness { witness } => *witness,
            _ => None,
        });
        recorded.into_iter().chain(under_way).collect()
    }

    /// Whether nobody else can have been given a request of this incarnation by now: it has not
    /// written that it leaves, and no witness can have closed it. The bound is half of what a
    /// witness waits, counted from before it last heard us.
    pub(super) fn is_sure(&self) -> bool {
        let me = self.incarnation();
        let bound = Millis(self.settings.close_after.0 / 2);
        let mut links = self.links.iter().filter(|((holder, _), _)| *holder == me);
        !self.left && links.all(|(_, link)| self.now <= link.heard + bound)
    }

    pub(super) fn tell_witnesses(&mut self, ask: &Notice) {
        let me = self.incarnation();
        for ((holder, _), link) in &mut self.links {
            if *holder == me {
                link.push(ask.clone());
            }
        }
    }

    /// Keeps a witness that answers and stays, and has the ledgers name it.
    pub(super) fn watch_witness(&mut self) {
        self.drop_links();
        let me = self.incarnation();
        match self.membership.me().witness {
            Some(witness) => {
                let link = self.links.get(&(me, witness));
                let heard = link.map_or(Millis::ZERO, |link| link.heard);
                let state = WitnessState {
                    unanswered: self.now.saturating_sub(heard),
                    is_leaving: self.membership.is_leaving(self.now, witness),
                    has_other: self.next_witness().is_some(),
                };
                if witness::decide(&state) == Decision::Change {
                    self.change_witness(Some(witness));
                }
            }
            None => self.change_witness(None),
        }
        self.name_witnesses();
    }

    /// Who would be asked next: one that has not been asked lately.
    fn next_witness(&self) -> Option<Incarnation> {
        let me = self.incarnation();
        let is_new =
            |peer: &&crate::router::host::Peer| !self.links.contains_key(&(me, peer.incarnation));
        let chosen = self.membership.witness(self.now, is_new);
        chosen.map(|peer| peer.incarnation)
    }

    fn change_witness(&mut self, old: Option<Incarnation>) {
        let me = self.incarnation();
        let chosen = self.next_witness();
        if chosen.is_none() && old.is_none() {
            return;
        }
        if let Some(witness) = chosen {
            self.link_count += 1;
            let mut link = Link::new(self.now, me, witness, self.link_count);
            link.push(Notice::Adopt(self.ward()));
            link.open = self.by_nonce.keys().copied().collect();
            link.settled = self.settling.keys().copied().collect();
            self.links.insert((me, witness), link);
        }
        self.membership.me_mut().witness = chosen;
    }

    fn ward(&self) -> Ward {
        let me = self.incarnation();
        let ours = self
            .by_nonce
            .values()
            .filter_map(|ticket| self.jobs.get(ticket));
        let open: Vec<_> = ours
            .filter(|job| job.holder == me)
            .filter_map(|job| Some((job.budget, job.nonce, job.reservation()?)))
            .collect();
        let (totals, settled) = (self.holder.totals(), self.holder.settled());
        Ward::new(&totals, &open, &settled, self.epoch())
    }

    /// Drops links that nothing needs any more.
    fn drop_links(&mut self) {
        let me = self.incarnation();
        let next = self.membership.me().witness;
        let mut used: Vec<LinkKey> = next.map(|next| (me, next)).into_iter().collect();
        for shard in 0..SHARDS {
            used.extend(self.named(shard).into_iter().map(|named| (me, named)));
        }
        let late: Vec<Incarnation> = self.late.keys().map(|id| id.incarnation).collect();
        let running = self.jobs.values().map(|job| job.holder);
        let late: Vec<Incarnation> = running.chain(late).filter(|one| *one != me).collect();
        let now = self.now;
        self.links.retain(|key, link| {
            let owed = late.contains(&key.0) && now <= link.heard + LATE_WAIT;
            used.contains(key) || owed
        });
        let links = &self.links;
        self.late
            .retain(|id, _| links.keys().any(|key| key.0 == id.incarnation));
    }

    /// Has every ledger that this router has written to name its witness.
    fn name_witnesses(&mut self) {
        let me = self.incarnation();
        for shard in 0..SHARDS {
            let member = self.ledger(shard).sequence().member(me);
            if member.seq > 0 && member.gone.is_none() {
                self.name_witness(shard);
            }
        }
    }

    /// Has a ledger name the witness, where it does not yet.
    pub(super) fn name_witness(&mut self, shard: u8) {
        let me = self.incarnation();
        let witness = self.membership.me().witness;
        let adopted = match witness {
            Some(witness) => self
                .links
                .get(&(me, witness))
                .is_some_and(|link| link.adopted),
            None => true,
        };
        let recorded = self.ledger(shard).sequence().member(me).witness;
        let stream = Stream::Shard(shard);
        let same =
            |record: &Record| matches!(record, Record::Witness { witness: one } if *one == witness);
        if !adopted || recorded == witness {
            return;
        }
        let writer = self.writer(stream);
        if !writer.holds(same) {
            writer.push(Record::Witness { witness });
        }
    }

    /// A witness has answered a call, or the call failed.
    pub(super) fn witness_replied(
        &mut self,
        key: LinkKey,
        call: super::Call,
        reply: Option<Reply>,
    ) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let answers = match reply {
            Some(Reply::Ward(answers)) => answers,
            Some(_) => {
                link.failed(self.now, call);
                self.witness_lost(key);
                return;
            }
            None => {
                link.failed(self.now, call);
                return;
            }
        };
        let Some(asks) = link.answered(call) else {
            return;
        };
        if asks.len() != answers.len() {
            self.witness_lost(key);
            return;
        }
        for (ask, answer) in asks.into_iter().zip(answers) {
            self.witness_answered(key, &ask, answer);
        }
    }

    /// The witness has forgotten us, or is not there any more: it acknowledges nothing.
    fn witness_lost(&mut self, key: LinkKey) {
        if self.membership.me().witness == Some(key.1) && key.0 == self.incarnation() {
            self.change_witness(Some(key.1));
        }
    }

    fn witness_answered(&mut self, key: LinkKey, ask: &Notice, answer: Answer) {
        let (holder, witness) = key;
        let closed = matches!(answer, Answer::Closed { .. });
        if closed && holder == self.incarnation() {
            self.reborn();
        }
        if holder != self.incarnation() {
            if let Notice::Settle { nonce, .. } = ask {
                let (incarnation, nonce) = (holder, *nonce);
                self.late_answered(Id { incarnation, nonce }, answer);
            }
            return;
        }
        if answer == Answer::Unknown {
            self.witness_lost(key);
            return;
        }
        match ask {
            Notice::Adopt(_) => self.adopted(key),
            Notice::Open { nonce, .. } => self.witness_has_open(witness, *nonce),
            Notice::Settle { nonce, .. } => {
                if let Some(settling) = self.settling.get_mut(nonce) {
                    settling.acked.push(witness);
                }
                self.try_acknowledge(*nonce);
            }
            Notice::Heard { .. } => {}
        }
    }

    fn witness_has_open(&mut self, witness: Incarnation, nonce: u64) {
        if let Some(ticket) = self.by_nonce.get(&nonce).copied() {
            if let Some(job) = self.jobs.get_mut(&ticket) {
                job.opened.push(witness);
            }
            self.try_dispatch(ticket);
        }
    }

    /// A witness has the accounts, and with them all that was open or unacknowledged when they were
    /// sent. What came later is behind them on the same link, and is acknowledged by itself.
    fn adopted(&mut self, key: LinkKey) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.adopted = true;
        let open = std::mem::take(&mut link.open);
        let settled = std::mem::take(&mut link.settled);
        for nonce in open {
            self.witness_has_open(key.1, nonce);
        }
        for nonce in settled {
            if let Some(settling) = self.settling.get_mut(&nonce) {
                settling.acked.push(key.1);
                self.try_acknowledge(nonce);
            }
        }
    }

    /// A bill that all its witnesses have may go to the log, and its verdict to the caller.
    pub(super) fn try_acknowledge(&mut self, nonce: u64) {
        let Some(settling) = self.settling.get(&nonce) else {
            return;
        };
        let needed = self.needed(settling.budget.shard);
        if !needed.iter().all(|one| settling.acked.contains(one)) {
            return;
        }
        let Some(settling) = self.settling.remove(&nonce) else {
            return;
        };
        if let Some(billed) = settling.billed {
            self.holder.acknowledge(settling.budget, billed);
        }
        if let Some((ticket, verdict)) = settling.verdict {
            self.finish(ticket, verdict);
        }
    }

    /// Tries again what waits for witnesses that may no longer be needed.
    pub(super) fn recheck_witnesses(&mut self) {
        let nonces: Vec<u64> = self.settling.keys().copied().collect();
        for nonce in nonces {
            self.try_acknowledge(nonce);
        }
        let opening = self.jobs.values().filter(|job| job.stage == Stage::Opening);
        let tickets: Vec<Ticket> = opening.map(|job| job.spec.ticket).collect();
        for ticket in tickets {
            self.try_dispatch(ticket);
        }
    }

    /// The old witness's word on a bill of an earlier incarnation.
    fn late_answered(&mut self, id: Id, answer: Answer) {
        let Some(late) = self.late.remove(&id) else {
            return;
        };
        let Some((ticket, verdict)) = late.verdict else {
            return;
        };
        let verdict = match (verdict, answer) {
            // Whoever took it over bills it.
            (Verdict::Ran { .. }, Answer::Closed { billed: false }) => Verdict::Ran {
                billed: Tokens::ZERO,
            },
            (verdict, _) => verdict,
        };
        self.finish(ticket, verdict);
    }

    /// This incarnation was closed: another takes its place. What runs goes on and is billed
    /// through the old witness; what waits is judged anew, since others may have been given it.
    pub(super) fn reborn(&mut self) {
        let old = self.incarnation();
        let new = Incarnation(self.rng.random());
        let settling = std::mem::take(&mut self.settling);
        for (nonce, one) in settling {
            let id = Id {
                incarnation: old,
                nonce,
            };
            self.late.insert(id, one);
        }
        self.holder = Holder::new(new, self.settings.sizing);
        self.by_nonce.clear();
        self.scarce_seen.clear();
        self.asked_at.clear();
        self.epochs_began = self.now;
        for (stream, writer) in &mut self.writers {
            let mut past = std::mem::replace(writer, Writer::new(new));
            past.drop_unsent();
            self.past_writers.insert((old, *stream), past);
            let plans = self.confirming.iter().map(|one| &one.plan);
            for plan in plans.filter(|plan| plan.stream == *stream) {
                writer.push(Record::Change(plan.clone()));
            }
        }
        self.witnesses.insert(new, Witness::default());
        self.membership.renew(new);
        self.drop_past();
        // The wards are to know soon that they need another witness.
        self.last_heartbeat = Millis::ZERO;
        self.actions.push(Action::Reborn { incarnation: new });
        self.rejudge(old);
    }

    /// Sends what is due on every link.
    pub(super) fn flush_links(&mut self) {
        let keys: Vec<LinkKey> = self.links.keys().copied().collect();
        for key in keys {
            let Some(address) = self.membership.address_of(key.1) else {
                continue;
            };
            let call = self.next_call;
            let due = self
                .links
                .get_mut(&key)
                .and_then(|link| link.due(self.now, call));
            if let Some(request) = due {
                self.call(address, Asked::Ward(key), request);
            }
        }
    }

    /// Lets the witnesses know that this process is there.
    pub(super) fn greet_witnesses(&mut self) {
        let epoch = self.epoch();
        for link in self.links.values_mut() {
            if link.is_idle() {
                link.push(Notice::Heard { epoch });
            }
        }
    }
}
