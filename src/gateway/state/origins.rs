//! The versions at which streams began, as far as this router has sent the requests.

use super::{Running, State};
use crate::gateway::decision::origin::{Constraint, Origin};
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::job::Job;
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::rollout::Arm;
use crate::units::Millis;

impl State {
    /// Records that the current attempt of a request has delivered the first event of its stream.
    pub(super) fn note_origin(&mut self, now: Millis, key: JobKey) {
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        let (Some(target), Constraint::Any) = (running.target, running.job.origin) else {
            return;
        };
        let origin = self.targets.origin(target);
        running.job.origin = Constraint::of(origin);
        if let (Some(stream), Some(origin)) = (running.job.stream, origin)
            && !self.streams.begin(now, &running.service, stream, origin)
        {
            tracing::warn!(event = "streams_dropped", count = 1);
        }
    }

    /// Keeps the version of the stream that a request takes up, as another router has told it.
    pub fn keep_origin(&mut self, now: Millis, job: &Job, origin: Origin) {
        if let Some(stream) = job.stream {
            // Without room for it the keepers are asked again at the next try.
            self.streams.keep(now, stream.id, origin, stream.until);
        }
    }

    /// Looks again for the version of an attempt's target that was not known when the stream began.
    pub(super) fn learn_origin(&self, running: &mut Running, target: TargetKey) {
        if running.job.origin == Constraint::Unknown {
            running.job.origin = Constraint::of(self.targets.origin(target));
        }
    }

    /// The arm of a request whose stream has begun at a version.
    ///
    /// # Errors
    /// The version is the new one of a rollout, and may get no request from this router now.
    pub(super) fn arm_of_origin(
        &mut self,
        now: Millis,
        service: &str,
        origin: Origin,
    ) -> Result<Option<Arm>, Refusal> {
        let Some(rollout) = self.rollouts.get(service) else {
            return Ok(None);
        };
        if Origin::new(service, &rollout.order.version) != origin {
            return Ok(Some(Arm::Stable));
        }
        let place = self.members.place(now, service);
        let routers = self.members.count();
        let may_continue = self.rollouts.may_continue(now, service, routers, place);
        match may_continue {
            true => Ok(Some(Arm::Candidate)),
            false => Err(Refusal::VersionGone),
        }
    }

    /// The targets of a service that a request may not be sent to for its stream's version.
    ///
    /// # Errors
    /// No target may get the request.
    pub(super) fn of_other_origins(&self, running: &Running) -> Result<Vec<TargetKey>, Refusal> {
        let origin = running.job.origin;
        match origin {
            Constraint::Any => Ok(Vec::new()),
            Constraint::Unknown => Err(Refusal::VersionUnknown),
            Constraint::Only(_) => {
                let (same, other) = self.targets.split_by_origin(&running.service, origin);
                if same.is_empty() {
                    return Err(Refusal::VersionGone);
                }
                Ok(other)
            }
        }
    }
}
