//! Follows the progress of rollouts in the store, decides it if this router is the decider, and reports this router's
//! evidence to the decider.
//!
//! The decider is the first live router in an order by service. Two routers may both believe to be it: each record is
//! appended on condition that the topic ends where the router has read to, so only one of them is, and the other reads
//! that record first. A decider that dies or is cut off is replaced, and the next one continues from its last record.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::apply::PageContent;
use super::context::Control;
use super::follow::{ReadPage, Subscription};
use crate::gateway::decision::rollout::{self, Input, RECORD_INTERVAL, Verdict};
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::rollout::{
    Arm, Evidence, Order, Overview, Progress, Report, Stage, Tally, View, Written,
};
use crate::store::{Backoff, Place, Topic};
use crate::units::Millis;

/// How long the store delays its answer to a router that only follows, until there is a record.
const FOLLOW_POLL: Duration = Duration::from_millis(1_000);
/// Longest time for which the store delays its answer to the decider: the interval of its decisions.
const DECIDE_POLL: Duration = Duration::from_millis(150);
/// Interval of the checks whether the store was restored from a copy, while no rollout is open.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of the reports to the decider.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Length of the span in which a version that turns bad late is compared.
const RECENT_SPAN: Millis = Millis(3_000);

/// What other routers have reported, by service; by router and incarnation, so that the sums never decrease.
#[derive(Debug, Default)]
pub(super) struct Reports(HashMap<String, BTreeMap<(String, u64), Report>>);

impl Reports {
    /// Replaces a router's report.
    pub(super) fn set(&mut self, report: Report) {
        let reports = self.0.entry(report.service.clone()).or_default();
        reports.retain(|_, known| known.version == report.version);
        reports.insert((report.router.clone(), report.incarnation), report);
    }

    fn of(&self, service: &str) -> impl Iterator<Item = &Evidence> {
        let reports = self.0.get(service).into_iter().flat_map(BTreeMap::values);
        reports.map(|report| &report.evidence)
    }
}

/// Applies an operators' order.
pub(super) fn order(control: &Control, service: &str, order: Order) {
    let (version, duration_ms) = (order.version.clone(), order.duration.0);
    let now = control.now();
    if control
        .state
        .borrow_mut()
        .rollouts
        .order(now, service, order)
    {
        tracing::info!(event = "rollout_ordered", %service, %version, duration_ms);
        control.rollouts_changed.notify_one();
    }
}

/// The router that decides about a service's rollout; `None` if no live router accepts callers.
fn deciding_router(control: &Control, service: &str) -> Option<Router> {
    let state = control.state.borrow();
    state.members.decider(control.now(), service).cloned()
}

/// The services whose rollouts this router decides.
fn decided_here(control: &Control) -> Vec<String> {
    let services: Vec<String> = {
        let state = control.state.borrow();
        let rollouts = state.rollouts.iter();
        rollouts.map(|(service, _)| service.to_owned()).collect()
    };
    let is_me = |service: &String| {
        let me = &control.state.borrow().members.me.name;
        deciding_router(control, service).is_some_and(|router| &router.name == me)
    };
    services.into_iter().filter(is_me).collect()
}

/// What the store holds, and the decider's memory.
#[derive(Default)]
struct Decider {
    in_store: HashMap<String, Progress>,
    /// When the last read that was answered was sent.
    read_sent_at: Option<Millis>,
    /// All evidence at earlier times, by service.
    history: HashMap<String, VecDeque<(Millis, Evidence)>>,
}

/// Follows the progress of rollouts, and decides it where this router is the decider.
pub(super) async fn follow(control: Rc<Control>) {
    let mut subscription = Subscription::new(Topic::Status);
    let mut decider = Decider::default();
    let mut backoff = Backoff::default();
    loop {
        wait_for_work(&control, &subscription).await;
        let poll = poll(&control);
        let sent_at = control.now();
        match subscription.read_next(&control, poll).await {
            Ok(read) => {
                backoff.reset();
                decider.apply(&control, &read, sent_at);
            }
            Err(error) if error.invalidates_place() => continue,
            Err(error) => {
                sleep(backoff.pause(&error, rand::random())).await;
                continue;
            }
        }
        publish(&control);
        for service in decided_here(&control) {
            if let Some(place) = subscription.next {
                decider
                    .decide(&control, &service, place, &mut subscription)
                    .await;
            }
        }
    }
}

/// How long the store may delay its answer: at the decider until the next decision, which is no later than the next
/// planned stage.
fn poll(control: &Control) -> Duration {
    let decided = decided_here(control);
    if decided.is_empty() {
        return FOLLOW_POLL;
    }
    let now = control.now();
    let state = control.state.borrow();
    let limit = state.rollouts.limit();
    let until_next = decided.iter().filter_map(|service| {
        let rollout = state.rollouts.get(service)?;
        rollout::until_next_stage(limit, rollout.order.duration, rollout.age(now))
    });
    let until_next = until_next.map(|left| Duration::from_millis(left.0));
    until_next.fold(DECIDE_POLL, Duration::min)
}

/// Publishes the rollouts for the metrics.
fn publish(control: &Control) {
    let state = control.state.borrow();
    let rollouts = state.rollouts.iter();
    let overviews = rollouts.map(|(service, rollout)| Overview::new(service, rollout));
    control.shared.rollouts.store(Arc::new(overviews.collect()));
}

/// Waits until a rollout is open, or the store was restored and may lack the end of one.
async fn wait_for_work(control: &Control, subscription: &Subscription) {
    loop {
        let rollouts_changed = control.rollouts_changed.notified();
        let is_restored = subscription
            .era
            .is_some_and(|era| era < control.store.era());
        if is_restored || control.state.borrow().rollouts.has_open() {
            return;
        }
        // A timeout and a wake-up have the same effect.
        let _ = timeout(ERA_CHECK_INTERVAL, rollouts_changed).await;
    }
}

impl Decider {
    /// Applies a page of records.
    fn apply(&mut self, control: &Control, read: &ReadPage, sent_at: Millis) {
        let before = self.read_sent_at.replace(sent_at);
        let written = match (read.content, before) {
            // The records were not there when the read before was answered.
            (PageContent::Changes, Some(before)) => Written::After(before),
            (PageContent::Changes, None) => Written::Unknown,
            (PageContent::Snapshot | PageContent::RestoredSnapshot, _) => {
                self.in_store.clear();
                Written::Unknown
            }
        };
        for record in &read.page.records {
            match control.dialect.read_progress(record) {
                Ok(Some((service, progress))) => {
                    note(control, &service, &progress, written);
                    self.in_store.insert(service, progress);
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::error!(event = "rollout_unreadable", key = %record.key, %error);
                }
            }
        }
        if read.page.next == read.page.end {
            self.settle_unknown(control);
        }
    }

    /// Sets the stage of rollouts that were ordered after their record was read, or that have none.
    fn settle_unknown(&self, control: &Control) {
        let unknown: Vec<(String, String)> = {
            let state = control.state.borrow();
            let unknown = state.rollouts.iter().filter(|(_, it)| it.stage.is_none());
            unknown
                .map(|(service, rollout)| (service.to_owned(), rollout.order.version.clone()))
                .collect()
        };
        for (service, version) in unknown {
            match self.in_store.get(&service) {
                Some(progress) if progress.version == version => {
                    note(control, &service, progress, Written::Unknown);
                }
                _ => {
                    let now = control.now();
                    control
                        .state
                        .borrow_mut()
                        .rollouts
                        .note_unrecorded(now, &service);
                }
            }
        }
    }

    /// Decides about a rollout, and records its stage if that changes or the record has to be repeated.
    async fn decide(
        &mut self,
        control: &Control,
        service: &str,
        place: Place,
        subscription: &mut Subscription,
    ) {
        let Some((stage, reason)) = self.next_stage(control, service) else {
            return;
        };
        let now = control.now();
        let (progress, candidate, stable) = {
            let state = control.state.borrow();
            let Some(rollout) = state.rollouts.get(service) else {
                return;
            };
            let total = self.evidence(control, service).total();
            (rollout.progress(now, stage), total.candidate, total.stable)
        };
        let record = control.dialect.write_progress(service, &progress);
        let begun_at = Instant::now();
        let limit = subscription.timeout.get();
        let partition = subscription.partition();
        let result = control
            .store
            .append(partition, &[record], Some(place), limit)
            .await;
        subscription.timeout.adapt(&result, begun_at.elapsed());
        control
            .shared
            .record_call(partition.topic, &result.as_ref().map(|_| ()));
        let outcome = match &result {
            Ok(_) => "recorded".to_owned(),
            Err(error) => error.to_string(),
        };
        tracing::info!(
            event = "rollout_decided",
            %service,
            version = %progress.version,
            stage = stage.as_str(),
            reason,
            age_ms = progress.age.0,
            attempts = candidate.attempts(),
            failed = candidate.failed,
            stable_attempts = stable.attempts(),
            stable_failed = stable.failed,
            outcome
        );
    }

    /// The stage to record, with the reason; `None` if nothing has to be recorded.
    fn next_stage(&mut self, control: &Control, service: &str) -> Option<(Stage, &'static str)> {
        let all = self.evidence(control, service);
        let recent = self.recent(control.now(), service, &all);
        let now = control.now();
        let state = control.state.borrow();
        let rollout = state.rollouts.get(service)?;
        let stage = rollout.stage?;
        let version = &rollout.order.version;
        let is_in_store = self
            .in_store
            .get(service)
            .is_some_and(|progress| progress.version == *version && progress.stage == stage);
        if stage.is_final() {
            return (!is_in_store).then_some((stage, "repeated"));
        }
        let input = Input {
            limit: state.rollouts.limit(),
            stage,
            age: rollout.age(now),
            stage_age: rollout.stage_age(now),
            duration: rollout.order.duration,
            candidates: state.targets.count_arm(service, Arm::Candidate, version),
            all: &all,
            recent: &recent,
        };
        match rollout::decide(&input) {
            Verdict::Enter(stage, reason) => {
                let route = reason.route();
                let reason = reason.as_str();
                tracing::info!(event = "rollout_judged", %service, %version, reason, route);
                Some((stage, reason))
            }
            Verdict::Hold => {
                let is_due = rollout
                    .record_age(now)
                    .is_none_or(|age| age >= RECORD_INTERVAL);
                (is_due || !is_in_store).then_some((stage, "repeated"))
            }
        }
    }

    /// The evidence of all routers.
    fn evidence(&self, control: &Control, service: &str) -> Evidence {
        let state = control.state.borrow();
        let own = state.rollouts.get(service);
        let mut all = own.map_or_else(Evidence::default, |rollout| rollout.evidence.clone());
        for evidence in control.rollout_reports.borrow().of(service) {
            all.add(evidence);
        }
        all
    }

    /// The evidence of the recent span.
    fn recent(&mut self, now: Millis, service: &str, all: &Evidence) -> Evidence {
        let history = self.history.entry(service.to_owned()).or_default();
        while history
            .get(1)
            .is_some_and(|(at, _)| now.saturating_sub(*at) >= RECENT_SPAN)
        {
            history.pop_front();
        }
        let recent = history
            .front()
            .map_or_else(|| all.clone(), |(_, earlier)| all.since(earlier));
        history.push_back((now, all.clone()));
        recent
    }
}

/// Applies a record to the control state, and logs a new stage.
fn note(control: &Control, service: &str, progress: &Progress, written: Written) {
    let now = control.now();
    let entered = control
        .state
        .borrow_mut()
        .rollouts
        .record(now, service, progress, written);
    if let Some(stage) = entered {
        let version = &progress.version;
        let (stage, age_ms) = (stage.as_str(), progress.age.0);
        tracing::info!(event = "rollout_stage", %service, %version, stage, age_ms, source = "store");
    }
}

/// Reports this router's evidence to the deciders, until the process ends.
pub(super) async fn report(control: Rc<Control>) {
    let mut reported: HashMap<String, (Millis, String, Report)> = HashMap::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        let routers = control.state.borrow().members.count();
        for (age, report) in own_reports(&control) {
            let Some(decider) = deciding_router(&control, &report.service) else {
                continue;
            };
            if decider.name == report.router {
                continue;
            }
            let now = control.now();
            let last = reported.get(&report.service);
            let last = last
                .filter(|(_, name, last)| *name == decider.name && last.version == report.version);
            let news = rollout::News {
                since_last: last.map_or(age, |(at, _, _)| now.saturating_sub(*at)),
                is_candidate: last.map_or(Tally::default(), |(_, _, last)| {
                    last.evidence.total().candidate
                }) != report.evidence.total().candidate,
                is_any: last.is_none_or(|(_, _, last)| *last != report),
            };
            if !rollout::is_report_due(&news, routers) {
                continue;
            }
            let request = Request::Evidence(Box::new(report.clone()));
            match control.peer_client.ask(decider.link, &request).await {
                Ok(Reply::Noted) => {
                    let service = report.service.clone();
                    reported.insert(service, (now, decider.name, report));
                }
                Ok(reply) => {
                    tracing::warn!(event = "peer_answer_unfit", name = %decider.name, ?reply);
                }
                Err(missing) => control.set_unreachable(&decider, missing),
            }
        }
    }
}

/// This router's evidence on the rollouts that have not ended, with the time since their orders.
fn own_reports(control: &Control) -> Vec<(Millis, Report)> {
    let now = control.now();
    let state = control.state.borrow();
    let me = &state.members.me;
    let open = state
        .rollouts
        .iter()
        .filter(|(_, rollout)| !rollout.has_ended());
    let reports = open.map(|(service, rollout)| {
        let report = Report {
            service: service.to_owned(),
            version: rollout.order.version.clone(),
            router: me.name.clone(),
            incarnation: me.incarnation,
            evidence: rollout.evidence.clone(),
        };
        (rollout.age(now), report)
    });
    reports.collect()
}

/// Asks another router for the rollouts, while the store does not answer this one.
pub(super) async fn request_views(control: Rc<Control>, router: Router) {
    // A missing answer is ignored: heartbeats tell whether a router answers.
    let answer = control
        .peer_client
        .ask(router.link, &Request::Rollouts)
        .await;
    let Ok(Reply::Rollouts(Some(views))) = answer else {
        return;
    };
    merge(&control, &views);
}

/// Merges what another router knows of rollouts.
pub(super) fn merge(control: &Control, views: &[View]) {
    let now = control.now();
    for view in views {
        if control.state.borrow_mut().rollouts.merge(now, view) {
            let (service, version) = (&view.service, &view.order.version);
            let stage = view.stage.map_or("unknown", Stage::as_str);
            let age_ms = view.age.0;
            tracing::info!(event = "rollout_stage", %service, %version, stage, age_ms, source = "link");
        }
    }
    control.knows_rollouts.set(true);
    control.rollouts_changed.notify_one();
}

/// What this router tells another one of rollouts; `None` until it knows them.
pub(super) fn views(control: &Control) -> Option<Vec<View>> {
    let now = control.now();
    control
        .knows_rollouts
        .get()
        .then(|| control.state.borrow().rollouts.views(now))
}
