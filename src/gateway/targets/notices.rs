//! What targets say of themselves, and which of them a request may not be sent to for it.
//!
//! A target's own word binds: unlike an ejection, which this router infers, it holds also where it leaves a service
//! without a target. What it says ends with its incarnation.

use super::registry::Targets;
use crate::gateway::decision::limit::{self, Usage};
use crate::gateway::key::TargetKey;
use crate::gateway::members::Members;
use crate::gateway::notice::{Notice, Report, Said, Word};
use crate::units::Millis;

/// Longest rest that is kept: a target that wants nothing for longer has to leave.
const REST_MAX: Millis = Millis(3_600_000);
/// Reports in a message to another router, at most: a kilobyte and a half.
const REPORTS_MAX: usize = 64;

impl Targets {
    /// Takes in what the answer to a request says that was sent at `sent`; the words that are news.
    pub fn hear(
        &mut self,
        now: Millis,
        key: TargetKey,
        sent: Millis,
        notice: &Notice,
    ) -> Vec<Word> {
        let target = self.get_mut(key);
        let mut news = Vec::new();
        if let Ok(rate) = notice.rate_limit
            && target.limit.hear(now, sent, rate)
        {
            news.extend(target.limit.word(now));
        }
        if let Ok(Some(rest)) = notice.rest {
            target.rests_until = target.rests_until.max(now + rest.min(REST_MAX));
        }
        if notice.is_leaving == Ok(true) && !std::mem::replace(&mut target.is_leaving, true) {
            news.push(Word::Leaving);
        }
        news
    }

    /// Takes in what another router tells; the target, where that is news.
    pub fn merge(&mut self, now: Millis, report: &Report) -> Option<TargetKey> {
        let key = *self.by_hash.get(&report.instance)?;
        let target = self.get_mut(key);
        let is_news = match report.word {
            Word::RateLimit { revision, limit } => target.limit.merge(now, revision, limit),
            Word::Leaving => !std::mem::replace(&mut target.is_leaving, true),
        };
        is_news.then_some(key)
    }

    /// What other routers are told of what targets said; where that is too much for one message, each `turn` another
    /// part.
    pub fn reports(&self, now: Millis, turn: usize) -> Vec<Report> {
        let living = self.known().filter(|target| !target.ended.is_cancelled());
        let reports = living.flat_map(|target| {
            let instance = target.hash();
            let leaving = target.is_leaving.then_some(Word::Leaving);
            let words = target.limit.word(now).into_iter().chain(leaving);
            words.map(move |word| Report { instance, word })
        });
        let mut reports: Vec<Report> = reports.collect();
        if reports.len() > REPORTS_MAX {
            let from = turn.wrapping_mul(REPORTS_MAX) % reports.len();
            reports.rotate_left(from);
            reports.truncate(REPORTS_MAX);
        }
        reports
    }

    /// What targets say that are listed, for operators.
    pub fn said(&self, now: Millis) -> Vec<Said> {
        let said = self.listed().filter_map(|target| {
            let said = Said {
                instance: target.listing.instance.clone(),
                rate_limit: target.limit.in_force().map(|(rate, _)| rate),
                is_leaving: target.is_leaving,
                rest_left: target.rests_until.saturating_sub(now),
            };
            let is_resting = said.rest_left > Millis::ZERO;
            (said.rate_limit.is_some() || said.is_leaving || is_resting).then_some(said)
        });
        said.collect()
    }

    /// The targets of a service that take requests, but none of this router's now by their own word.
    pub fn barred(&self, now: Millis, routers: &Members, service: &str) -> Barred {
        let mut barred = Barred::default();
        for key in self.open(service) {
            match self.next_send(routers, now, key) {
                Next::At(at) if at <= now => {}
                Next::At(at) => {
                    barred.targets.push(key);
                    barred.until = Some(barred.until.map_or(at, |until| until.min(at)));
                }
                Next::Unknown => barred.targets.push(key),
            }
        }
        barred
    }

    /// Notes that a request is sent to a target, which counts towards what it takes by its own word.
    pub fn note_send(&mut self, now: Millis, routers: &Members, key: TargetKey) {
        if let Some(usage) = self.limit_use(now, routers, key) {
            let sent = limit::sent(now, &usage);
            self.get_mut(key).limit.note_send(sent);
        }
    }

    fn next_send(&self, routers: &Members, now: Millis, key: TargetKey) -> Next {
        let rested = self.get(key).rests_until;
        match self.limit_use(now, routers, key) {
            Some(usage) => limit::next(&usage).map_or(Next::Unknown, |at| Next::At(at.max(rested))),
            None => Next::At(rested),
        }
    }

    /// What decides how much of a target's limit this router may use, where it has one.
    fn limit_use(&self, now: Millis, routers: &Members, key: TargetKey) -> Option<Usage> {
        let target = self.get(key);
        let (limit, since) = target.limit.in_force()?;
        Some(Usage {
            limit,
            since,
            last: target.limit.last(),
            routers: routers.count(),
            place: routers.place(now, &target.listing.instance),
        })
    }
}

/// Targets that take none of this router's requests now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Barred {
    /// The targets.
    pub targets: Vec<TargetKey>,
    /// When the first of them takes one again, where that is known.
    pub until: Option<Millis>,
}

/// When this router may send a request to a target by the target's own word; a time that is over is now.
enum Next {
    At(Millis),
    /// Others use what it takes.
    Unknown,
}
