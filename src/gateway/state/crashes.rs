//! Requests that were in progress at targets that crashed: which are quarantined, and which are sent all the same to learn
//! whether they are answered now.

use super::State;
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::dialect::Prompt;
use crate::gateway::fingerprint::{Fingerprint, Kind};
use crate::gateway::job::Job;
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::quarantine::{BrokenAttempt, Hold};
use crate::units::Millis;

impl State {
    /// Checks that neither a request nor a block of its prompt is quarantined.
    pub(super) fn check_quarantine(&self, now: Millis, job: &Job) -> Result<(), Refusal> {
        if self.quarantined(now, job).is_none() {
            return Ok(());
        }
        let request: Vec<Fingerprint> = suspects(job).collect();
        let left = self.quarantine.refused_for(now, &request);
        left.map_or(Ok(()), |left| Err(Refusal::Quarantined { left }))
    }

    /// Whether a request is sent to a target although a block of its prompt is quarantined. A few routers take
    /// turns, so that few requests of a fleet are.
    pub(super) fn begin_trial(&mut self, now: Millis, job: &Job) -> bool {
        let Some((first, hold)) = self.quarantined(now, job) else {
            return false;
        };
        let Some(rank) = self.members.rank(now, &first.to_string()) else {
            return false;
        };
        let request: Vec<Fingerprint> = suspects(job).collect();
        let begins = self.quarantine.begin_trial(now, &request, rank);
        if begins {
            tracing::info!(
                event = "quarantine_trial",
                id = %job.id,
                fingerprint = %first,
                rank,
                last_ms = now.saturating_sub(hold.last).0
            );
        }
        begins
    }

    /// What of a request is quarantined: itself or a block of its prompt.
    pub fn quarantined(&self, now: Millis, job: &Job) -> Option<(Fingerprint, Hold)> {
        suspects(job).find_map(|fingerprint| {
            let hold = self.quarantine.hold(now, fingerprint)?;
            Some((fingerprint, hold))
        })
    }

    /// Records that the current attempt of a request was interrupted. Returns the target if it may have crashed and
    /// that is not known yet.
    pub fn note_interrupted(&mut self, now: Millis, key: JobKey) -> Option<TargetKey> {
        let running = self.running.get(&key)?;
        let target = running.target?;
        let listed = self.targets.get(target);
        if listed.has_announced_leaving() {
            return None;
        }
        let mut has_crashed = false;
        for fingerprint in suspects(&running.job) {
            let broken = BrokenAttempt {
                fingerprint,
                instance: listed.hash(),
                sent: running.sent,
            };
            has_crashed = self.quarantine.note_broken(now, broken);
            if has_crashed {
                log_crash(now, &broken, &listed.listing.instance);
            }
        }
        (!has_crashed).then_some(target)
    }

    /// Records that a target has crashed.
    pub fn note_crash(&mut self, now: Millis, target: TargetKey) {
        self.targets.note_crash(now, target);
        let listed = self.targets.get(target);
        let (hash, instance) = (listed.hash(), listed.listing.instance.clone());
        let interrupted = self.quarantine.note_crash(now, hash);
        let kinds = interrupted.iter().map(|broken| broken.fingerprint.kind());
        let requests = kinds.filter(|kind| *kind == Kind::Request).count();
        tracing::warn!(event = "target_crashed", %instance, beside = requests);
        for broken in &interrupted {
            log_crash(now, broken, &instance);
        }
    }

    /// Records that a request was answered, which clears it and the blocks of its prompt.
    pub(super) fn note_answered(&mut self, now: Millis, job: &Job) {
        for fingerprint in suspects(job) {
            self.quarantine.note_answered(now, fingerprint);
        }
    }
}

/// What of a request may be the cause of a crash: itself, and the blocks that its prompt shares with others.
fn suspects(job: &Job) -> impl Iterator<Item = Fingerprint> {
    let blocks = job.prompt.as_ref().map(Prompt::shared_blocks);
    let blocks = blocks.unwrap_or_default().iter();
    std::iter::once(job.fingerprint).chain(blocks.map(|block| Fingerprint::of_block(block.id)))
}

/// Logs that a request was in progress at a target that crashed: the evidence for a later quarantine of the request, or
/// of a block of its prompt.
fn log_crash(now: Millis, broken: &BrokenAttempt, instance: &str) {
    tracing::info!(
        event = "crash_noted",
        fingerprint = %broken.fingerprint,
        %instance,
        sent_ago_ms = now.saturating_sub(broken.sent).0
    );
}
