//! This router as a holder: its choice of a witness, and what the witnesses must acknowledge before it goes on.

use std::net::SocketAddr;

use rand::RngExt;

use super::decision::witness::{self, Decision, WitnessState};
use super::job::Stage;
use super::link::Link;
use super::state::{LinkKey, PendingCall};
use super::{Action, State};
use crate::router::budget::{Answer, Holder, Replica, Witness};
use crate::router::key::{Incarnation, SHARDS, Stream};
use crate::router::log::{Record, Writer};
use crate::router::message::{Notice, Reply};
use crate::router::request::{Id, Ticket, Verdict};
use crate::units::{Millis, Tokens};

/// The link for an earlier incarnation's bills is dropped when its witness is silent for longer than this, and the
/// bills with the incarnation's last link.
const PAST_BILLS_WAIT: Millis = Millis(10_000);

impl State {
    /// Witnesses that must acknowledge a reservation or a bill in a shard: the one that the ledger names, the
    /// one that this router is changing to, and any that an unacknowledged record names, since that record may
    /// already be in the log.
    pub(super) fn required_witnesses(&self, shard: u8) -> Vec<Incarnation> {
        let mut required = self.named_witnesses(shard);
        required.extend(self.membership.me().witness);
        required.sort_unstable();
        required.dedup();
        required
    }

    /// Witnesses that a shard's ledger names, or that a record not yet read back names.
    fn named_witnesses(&self, shard: u8) -> Vec<Incarnation> {
        let me = self.incarnation();
        let recorded = self.ledger(shard).sequence().writer(me).witness;
        let writer = &self.writers[&Stream::Shard(shard)];
        let pending = writer.records().filter_map(|record| match record {
            Record::Witness { witness } => *witness,
            _ => None,
        });
        recorded.into_iter().chain(pending).collect()
    }

    /// Whether no other router can have taken over a request of this incarnation by now: it has not written
    /// that it leaves, and no witness can have closed it. The bound is half of the time that a witness waits
    /// before a close, counted from when the last answered call was sent, so from before the witness received it.
    pub(super) fn is_provably_open(&self) -> bool {
        let me = self.incarnation();
        let bound = Millis(self.settings.close_after.0 / 2);
        let mut links = self.links.iter().filter(|((holder, _), _)| *holder == me);
        !self.has_left && links.all(|(_, link)| self.now <= link.last_answered + bound)
    }

    /// Queues a notice for each witness of this incarnation.
    pub(super) fn notify_witnesses(&mut self, notice: &Notice) {
        let me = self.incarnation();
        for ((holder, _), link) in &mut self.links {
            if *holder == me {
                link.push(notice.clone());
            }
        }
    }

    /// Changes a witness that does not answer or is leaving, and has the ledgers name the current one.
    pub(super) fn watch_witness(&mut self) {
        self.drop_links();
        let me = self.incarnation();
        match self.membership.me().witness {
            Some(witness) => {
                let link = self.links.get(&(me, witness));
                let last_answered = link.map_or(Millis::ZERO, |link| link.last_answered);
                let state = WitnessState {
                    unanswered: self.now.saturating_sub(last_answered),
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

    /// The router to ask next to be the witness: one to which this incarnation has no link.
    fn next_witness(&self) -> Option<Incarnation> {
        let me = self.incarnation();
        let is_new =
            |peer: &&crate::router::host::Peer| !self.links.contains_key(&(me, peer.incarnation));
        let chosen = self.membership.choose_witness(self.now, is_new);
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
            link.push(Notice::Adopt(self.replica()));
            link.open = self.open_requests();
            link.settled = self.settling.keys().copied().collect();
            self.links.insert((me, witness), link);
        }
        self.membership.me_mut().witness = chosen;
    }

    /// The number and the target of each request that this incarnation has reserved tokens for.
    fn open_requests(&self) -> Vec<(u64, SocketAddr)> {
        let target = |ticket| Some(self.jobs.get(ticket)?.choice?.address);
        let open = self.by_nonce.iter();
        open.filter_map(|(nonce, ticket)| Some((*nonce, target(ticket)?)))
            .collect()
    }

    fn replica(&self) -> Replica {
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
        Replica::new(&totals, &open, &settled, self.epoch())
    }

    /// Drops links that are not needed any more, and with an earlier incarnation's last link its settlements.
    fn drop_links(&mut self) {
        let me = self.incarnation();
        let next = self.membership.me().witness;
        let mut used: Vec<LinkKey> = next.map(|next| (me, next)).into_iter().collect();
        for shard in 0..SHARDS {
            used.extend(
                self.named_witnesses(shard)
                    .into_iter()
                    .map(|named| (me, named)),
            );
        }
        let settling: Vec<Incarnation> =
            self.past_settling.keys().map(|id| id.incarnation).collect();
        let running = self.jobs.values().map(|job| job.holder);
        let past: Vec<Incarnation> = running
            .chain(settling)
            .filter(|holder| *holder != me)
            .collect();
        let now = self.now;
        self.links.retain(|key, link| {
            let is_past_needed =
                past.contains(&key.0) && now <= link.last_answered + PAST_BILLS_WAIT;
            used.contains(key) || is_past_needed
        });
        let links = &self.links;
        self.past_settling
            .retain(|id, _| links.keys().any(|key| key.0 == id.incarnation));
    }

    /// Has every ledger that this incarnation has written to name its witness.
    fn name_witnesses(&mut self) {
        let me = self.incarnation();
        for shard in 0..SHARDS {
            let member = self.ledger(shard).sequence().writer(me);
            if member.seq > 0 && member.departed_at.is_none() {
                self.name_witness(shard);
            }
        }
    }

    /// Has a ledger name the witness, if it does not yet and the witness has acknowledged the accounts.
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
        let recorded = self.ledger(shard).sequence().writer(me).witness;
        let stream = Stream::Shard(shard);
        let is_same = |record: &Record| matches!(record, Record::Witness { witness: named } if *named == witness);
        if !adopted || recorded == witness {
            return;
        }
        let writer = self.writer(stream);
        if !writer.holds(is_same) {
            writer.push(Record::Witness { witness });
        }
    }

    /// Handles a witness's reply to a call, or the failure of the call.
    pub(super) fn handle_witness_reply(
        &mut self,
        key: LinkKey,
        call: super::Call,
        reply: Option<Reply>,
    ) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let answers = match reply {
            Some(Reply::Replicate(answers)) => answers,
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
        let Some(notices) = link.complete(call) else {
            return;
        };
        if notices.len() != answers.len() {
            self.witness_lost(key);
            return;
        }
        for (notice, answer) in notices.into_iter().zip(answers) {
            self.handle_notice_answer(key, &notice, answer);
        }
    }

    /// Changes the witness if it no longer keeps this holder's accounts or is gone, and so acknowledges nothing.
    fn witness_lost(&mut self, key: LinkKey) {
        if self.membership.me().witness == Some(key.1) && key.0 == self.incarnation() {
            self.change_witness(Some(key.1));
        }
    }

    fn handle_notice_answer(&mut self, key: LinkKey, notice: &Notice, answer: Answer) {
        let (holder, witness) = key;
        let is_closed = matches!(answer, Answer::Closed { .. });
        if is_closed && holder == self.incarnation() {
            self.renew_incarnation();
        }
        if holder != self.incarnation() {
            if let Notice::Settle { nonce, .. } = notice {
                let (incarnation, nonce) = (holder, *nonce);
                self.handle_past_settle_answer(Id { incarnation, nonce }, answer);
            }
            return;
        }
        if answer == Answer::Unknown {
            self.witness_lost(key);
            return;
        }
        match notice {
            Notice::Adopt(_) => self.record_adoption(key),
            Notice::Open {
                nonce, reservation, ..
            } => self.record_witnessed(witness, *nonce, reservation.target),
            Notice::Settle { nonce, .. } => {
                if let Some(settling) = self.settling.get_mut(nonce) {
                    settling.acked_by.push(witness);
                }
                self.try_acknowledge(*nonce);
            }
            Notice::Heard { .. } => {}
        }
    }

    /// Records that a witness has acknowledged a reservation for this target.
    fn record_witnessed(&mut self, witness: Incarnation, nonce: u64, target: SocketAddr) {
        if let Some(ticket) = self.by_nonce.get(&nonce).copied() {
            // The acknowledgement of an earlier dispatch may come after another target was chosen.
            if let Some(job) = self.jobs.get_mut(&ticket)
                && job.choice.is_some_and(|choice| choice.address == target)
            {
                job.witnessed_by.push(witness);
            }
            self.try_dispatch(ticket);
        }
    }

    /// Records that a witness has acknowledged the accounts, and with them every request that was open or
    /// unacknowledged when they were sent. Later notices follow on the same link and are acknowledged one by one.
    fn record_adoption(&mut self, key: LinkKey) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        link.adopted = true;
        let open = std::mem::take(&mut link.open);
        let settled = std::mem::take(&mut link.settled);
        for (nonce, target) in open {
            self.record_witnessed(key.1, nonce, target);
        }
        for nonce in settled {
            if let Some(settling) = self.settling.get_mut(&nonce) {
                settling.acked_by.push(key.1);
                self.try_acknowledge(nonce);
            }
        }
    }

    /// If all required witnesses have a settlement, lets its bill go to the log and its verdict to the caller.
    pub(super) fn try_acknowledge(&mut self, nonce: u64) {
        let Some(settling) = self.settling.get(&nonce) else {
            return;
        };
        let required = self.required_witnesses(settling.budget.shard);
        if !required
            .iter()
            .all(|witness| settling.acked_by.contains(witness))
        {
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

    /// Tries the waiting settlements and dispatches again, after the set of required witnesses may have shrunk.
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

    /// Handles the witness's answer to a bill of an earlier incarnation.
    fn handle_past_settle_answer(&mut self, id: Id, answer: Answer) {
        let Some(settling) = self.past_settling.remove(&id) else {
            return;
        };
        let Some((ticket, verdict)) = settling.verdict else {
            return;
        };
        let verdict = match (verdict, answer) {
            // The router that took the request over bills it.
            (Verdict::Ran { .. }, Answer::Closed { billed: false }) => Verdict::Ran {
                billed: Tokens::ZERO,
            },
            (verdict, _) => verdict,
        };
        self.finish(ticket, verdict);
    }

    /// Replaces this incarnation, which was closed, by a new one. Dispatched requests go on and are billed through
    /// the old witness; for the others a takeover is requested, since other routers may have taken them over.
    pub(super) fn renew_incarnation(&mut self) {
        let old = self.incarnation();
        let new = Incarnation(self.rng.random());
        let settling = std::mem::take(&mut self.settling);
        for (nonce, pending) in settling {
            let id = Id {
                incarnation: old,
                nonce,
            };
            self.past_settling.insert(id, pending);
        }
        self.holder = Holder::new(new, self.settings.sizing);
        self.by_nonce.clear();
        self.scarce_seen.clear();
        self.grant_requested_at.clear();
        self.epochs_began = self.now;
        for (stream, writer) in &mut self.writers {
            let mut past = std::mem::replace(writer, Writer::new(new));
            past.drop_unsent();
            self.past_writers.insert((old, *stream), past);
            let plans = self.confirming.iter().map(|pending| &pending.plan);
            for plan in plans.filter(|plan| plan.stream == *stream) {
                writer.push(Record::Change(plan.clone()));
            }
        }
        self.witnesses.insert(new, Witness::default());
        self.membership.renew(new);
        self.drop_past();
        // A heartbeat at once tells the wards that they need another witness.
        self.last_heartbeat = Millis::ZERO;
        self.actions
            .push(Action::IncarnationRenewed { incarnation: new });
        self.retake_undispatched(old);
    }

    /// Sends the calls that are due on the links.
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
                self.call(address, PendingCall::Ward(key), request);
            }
        }
    }

    /// Queues a keepalive notice on every idle link.
    pub(super) fn queue_keepalives(&mut self) {
        let epoch = self.epoch();
        for link in self.links.values_mut() {
            if link.is_idle() {
                link.push(Notice::Heard { epoch });
            }
        }
    }
}
