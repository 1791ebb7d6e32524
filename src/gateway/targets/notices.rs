//! Applies what targets announce of themselves, and determines which of them may not get requests because of it.
//!
//! Announcements are binding: unlike an ejection, which this router infers, they apply even if no target of the service
//! remains. They end with the target's incarnation.

use super::registry::Targets;
use super::target::Target;
use crate::gateway::decision::limit::{self, Usage};
use crate::gateway::key::TargetKey;
use crate::gateway::members::Members;
use crate::gateway::notice::{AnnouncedState, Announcement, Notice, Report};
use crate::units::Millis;

/// Longest back-off that is applied: a target that wants no requests for longer has to announce that it leaves.
const BACKOFF_MAX: Millis = Millis(3_600_000);
/// Maximum number of reports in a message to another router, about 1.5 kB.
const REPORTS_MAX: usize = 64;

impl Targets {
    /// Applies the notice in the response to a request that was sent at `sent`. Returns the announcements that changed
    /// something.
    pub fn apply_notice(
        &mut self,
        now: Millis,
        key: TargetKey,
        sent: Millis,
        notice: &Notice,
    ) -> Vec<Announcement> {
        let target = self.get_mut(key);
        target.has_answered = true;
        let mut changes = Vec::new();
        if let Ok(rate) = notice.rate_limit
            && target.limit.observe(now, sent, rate)
        {
            changes.extend(target.limit.announcement(now));
        }
        if let Ok(limit) = notice.rejection_limit
            && target.rejection_limit.observe(now, sent, limit)
        {
            changes.extend(rejection_announcement(target, now));
        }
        if let Ok(Some(retry_after)) = notice.retry_after {
            target.backoff_until = target.backoff_until.max(now + retry_after.min(BACKOFF_MAX));
        }
        if notice.is_leaving == Ok(true) && !std::mem::replace(&mut target.is_leaving, true) {
            changes.push(Announcement::Leaving);
        }
        changes
    }

    /// Merges another router's report. Returns the target if the report changed something.
    pub fn merge(&mut self, now: Millis, report: &Report) -> Option<TargetKey> {
        let key = *self.by_hash.get(&report.instance)?;
        let target = self.get_mut(key);
        let is_change = match report.announcement {
            Announcement::RateLimit { revision, limit } => target.limit.merge(now, revision, limit),
            Announcement::Leaving => !std::mem::replace(&mut target.is_leaving, true),
            Announcement::RejectionLimit { revision, limit } => {
                target.rejection_limit.merge(now, revision, limit)
            }
        };
        is_change.then_some(key)
    }

    /// The current announcements and recently ended limits, for other routers. If they do not fit in one message, each
    /// `turn` selects another part.
    pub fn reports(&self, now: Millis, turn: usize) -> Vec<Report> {
        let current = self.known().filter(|target| !target.ended.is_cancelled());
        let reports = current.flat_map(|target| {
            let instance = target.hash();
            let leaving = target.is_leaving.then_some(Announcement::Leaving);
            let rate_limit = target.limit.announcement(now);
            let announcements = [rate_limit, leaving, rejection_announcement(target, now)];
            let announcements = announcements.into_iter().flatten();
            announcements.map(move |announcement| Report {
                instance,
                announcement,
            })
        });
        let mut reports: Vec<Report> = reports.collect();
        if reports.len() > REPORTS_MAX {
            let from = turn.wrapping_mul(REPORTS_MAX) % reports.len();
            reports.rotate_left(from);
            reports.truncate(REPORTS_MAX);
        }
        reports
    }

    /// What the listed targets currently announce, for operators.
    pub fn announced(&self, now: Millis) -> Vec<AnnouncedState> {
        let announced = self.listed().filter_map(|target| {
            let announced = AnnouncedState {
                instance: target.listing.instance.clone(),
                rate_limit: target.limit.in_force().map(|(rate, _)| rate),
                rejection_limit: target.rejection_limit.in_force().map(|(limit, _)| limit),
                slots: target
                    .owned_slots()
                    .filter(|_| target.rejection_limit.in_force().is_some()),
                is_leaving: target.is_leaving,
                backoff_left: target.backoff_until.saturating_sub(now),
            };
            let is_backing_off = announced.backoff_left > Millis::ZERO;
            let has_limit = announced.rate_limit.is_some() || announced.rejection_limit.is_some();
            (has_limit || announced.is_leaving || is_backing_off).then_some(announced)
        });
        announced.collect()
    }

    /// The targets of a service that accept requests, but because of their announcements none from this router now.
    pub fn barred(&self, now: Millis, routers: &Members, service: &str) -> Barred {
        let mut barred = Barred::default();
        for key in self.accepting(service) {
            match self.next_send(routers, now, key) {
                NextSend::At(at) if at <= now => {}
                NextSend::At(at) => {
                    barred.targets.push(key);
                    barred.until = Some(barred.until.map_or(at, |until| until.min(at)));
                }
                NextSend::Unknown => barred.targets.push(key),
            }
        }
        barred
    }

    /// Whether a target's announcements allow a request of this router now.
    pub fn allows_send(&self, now: Millis, routers: &Members, key: TargetKey) -> bool {
        let next = self.next_send(routers, now, key);
        self.get(key).accepts_requests() && matches!(next, NextSend::At(at) if at <= now)
    }

    /// Counts a request sent to a target towards the target's rate limit.
    pub fn note_send(&mut self, now: Millis, routers: &Members, key: TargetKey) {
        if let Some(usage) = self.limit_usage(now, routers, key) {
            let sent = limit::sent(now, &usage);
            self.get_mut(key).limit.record_send(sent);
        }
    }

    fn next_send(&self, routers: &Members, now: Millis, key: TargetKey) -> NextSend {
        let backoff_until = self.get(key).backoff_until;
        match self.limit_usage(now, routers, key) {
            Some(usage) => limit::next(&usage)
                .map_or(NextSend::Unknown, |at| NextSend::At(at.max(backoff_until))),
            None => NextSend::At(backoff_until),
        }
    }

    /// The state that determines this router's share of a target's rate limit, if the target has one.
    fn limit_usage(&self, now: Millis, routers: &Members, key: TargetKey) -> Option<Usage> {
        let target = self.get(key);
        let (limit, since) = target.limit.in_force()?;
        Some(Usage {
            limit,
            since,
            last: target.limit.last_send(),
            routers: routers.count(),
            place: routers.place(now, &target.listing.instance),
        })
    }
}

/// The rejection limit to report to other routers, if there is one or one has recently ended.
fn rejection_announcement(target: &Target, now: Millis) -> Option<Announcement> {
    let (revision, limit) = target.rejection_limit.report(now)?;
    Some(Announcement::RejectionLimit { revision, limit })
}

/// Targets that accept no requests from this router at the moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Barred {
    /// The targets.
    pub targets: Vec<TargetKey>,
    /// When the first of these targets accepts requests again, if known.
    pub until: Option<Millis>,
}

/// When this router may next send a request to a target according to its announcements; a past time means now.
enum NextSend {
    At(Millis),
    /// Other routers have all shares of the target's rate limit.
    Unknown,
}
