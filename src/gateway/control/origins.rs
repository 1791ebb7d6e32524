//! Sends the records of streams to their keepers, and asks the keepers for the version of a stream that a caller takes
//! up. The records are in [`streams`](crate::gateway::streams), the rules in [`origin`].
//!
//! A request that takes up a stream waits here before it gets a target and tokens, for [`KEEPERS_TIMEOUT`] at most.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout};

use super::context::Control;
use super::target_list;
use super::waiting;
use crate::gateway::attempt::ReplySender;
use crate::gateway::decision::origin::{self, Answer, Constraint, Origin};
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::job::Job;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::streams::{Id, Record, Stream};
use crate::units::Millis;
use crate::wire::NoReply;

/// How long records wait for others to the same keepers. A stream whose router dies before they are sent cannot go on.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which keepers without a record are asked once more: a caller may be faster than the record of its stream.
const RECORD_DELAY: Duration = Duration::from_millis(50);
/// Interval at which records that wait are looked at again: a service of theirs may have got a second version.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which records of ended streams are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the keepers of a stream. One that takes longer is frozen or cut off.
const KEEPERS_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait where the service seems to have a single version, so that a record is not expected.
const SOLE_KEEPERS_TIMEOUT: Duration = Duration::from_millis(50);

/// The version that all streams of a service have, if it is certain.
fn sole_origin(control: &Control, service: &str) -> Option<Origin> {
    let known_since = control.targets_known_since.get();
    let known_since = known_since.filter(|_| target_list::is_current(control));
    let known_for = known_since.map(|since| control.now().saturating_sub(since));
    let state = control.state.borrow();
    origin::sole(known_for, state.targets.origins(service))
}

/// Sends records to the keepers of their streams until the process ends. Those of a service with a single version wait.
pub(super) async fn send_records(control: Rc<Control>) {
    let mut forgotten_at = Instant::now();
    loop {
        // Records may also be due without a new one, so the timeout is no error.
        let _ = timeout(IDLE_INTERVAL, control.streams_begun.notified()).await;
        sleep(BATCH_INTERVAL).await;
        let now = control.now();
        if forgotten_at.elapsed() >= FORGET_INTERVAL {
            forgotten_at = Instant::now();
            control.state.borrow_mut().streams.forget(now);
        }
        for (keeper, records) in batches(&control, now) {
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { send(&control, &keeper, records).await });
        }
    }
}

/// The records to be sent, by keeper.
fn batches(control: &Control, now: Millis) -> Vec<(Router, Vec<Record>)> {
    let services: BTreeSet<String> = control.state.borrow().streams.unsent_services();
    let several: BTreeSet<String> = services
        .into_iter()
        .filter(|service| sole_origin(control, service).is_none())
        .collect();
    let mut state = control.state.borrow_mut();
    let records = state
        .streams
        .take_unsent(now, |service| several.contains(service));
    let mut batches: HashMap<String, (Router, Vec<Record>)> = HashMap::new();
    for record in records {
        let keepers = state.members.keepers(now, record.stream).into_iter();
        for keeper in keepers.filter(|keeper| !state.members.is_unreachable(&keeper.name)) {
            let batch = batches
                .entry(keeper.name.clone())
                .or_insert_with(|| (keeper.clone(), Vec::new()));
            batch.1.push(record);
        }
    }
    batches.into_values().collect()
}

async fn send(control: &Control, keeper: &Router, records: Vec<Record>) {
    let count = records.len();
    let request = Request::Streams(records);
    let answer: Result<Reply, _> = control.peer_client.ask(keeper.link, &request).await;
    if let Err(missing) = answer {
        // Other keepers have the records too, and a stream without any is refused.
        tracing::info!(event = "streams_untold", name = %keeper.name, count, reason = %missing);
    }
}

/// Keeps the records of another router.
pub(super) fn merge(control: &Control, records: &[Record]) {
    let now = control.now();
    let dropped = control.state.borrow_mut().streams.merge(now, records);
    if dropped > 0 {
        tracing::warn!(event = "streams_dropped", count = dropped);
    }
}

/// What this router knows of the version that began a stream, for another router.
pub(super) fn answer(control: &Control, stream: Id) -> Answer {
    control.state.borrow().streams.answer(control.now(), stream)
}

/// What the keepers of a stream say.
struct Inquiry {
    answer: Answer,
    asked: usize,
    answered: usize,
}

impl Inquiry {
    /// Whether all keepers have answered.
    fn is_complete(&self) -> bool {
        self.answered == self.asked
    }
}

/// Finds out the version of the stream that a request takes up, and passes the request to `begin`. Refuses it if the
/// version is not known.
pub(super) fn resolve(
    control: &Rc<Control>,
    job: Job,
    stream: Stream,
    reply: ReplySender,
    begin: impl FnOnce(&Rc<Control>, Job, ReplySender) + 'static,
) {
    // Another router may have begun an equal request at another version, so an own record by content is not enough.
    if let (Id::Request(_), Answer::Known(origin)) = (stream.id, answer(control, stream.id)) {
        tracing::info!(event = "stream_origin", id = %job.id, stream = %stream.id, %origin);
        let origin = Constraint::Only(origin);
        begin(control, Job { origin, ..job }, reply);
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let asked_at = Instant::now();
        let sole = job_sole_origin(&control, &job);
        let mut inquiry = ask_keepers(&control, stream, sole).await;
        if inquiry.answer == Answer::Missing && sole.is_none() && inquiry.is_complete() {
            sleep(RECORD_DELAY).await;
            inquiry = ask_keepers(&control, stream, sole).await;
        }
        let origin = inquiry.answer.origin(sole);
        tracing::info!(
            event = "stream_origin",
            id = %job.id,
            stream = %stream.id,
            origin = origin.map(tracing::field::display),
            answer = ?inquiry.answer,
            is_sole = sole.is_some(),
            asked = inquiry.asked,
            answered = inquiry.answered,
            ms = asked_at.elapsed().as_millis() as u64
        );
        let now = control.now();
        let mut state = control.state.borrow_mut();
        let Some(origin) = origin else {
            waiting::answer(&mut state, now, reply, Err(Refusal::VersionUnknown));
            return;
        };
        state.keep_origin(now, &job, origin);
        drop(state);
        let origin = Constraint::Only(origin);
        begin(&control, Job { origin, ..job }, reply);
    });
}

/// The version that all streams of a request's service have, if it is certain. Where a route has several services, the one
/// that began the stream is not known.
fn job_sole_origin(control: &Control, job: &Job) -> Option<Origin> {
    match &job.services[..] {
        [(service, _)] => sole_origin(control, service),
        _ => None,
    }
}

/// The other routers that keep a record of a stream.
fn keepers(control: &Control, stream: Id) -> Vec<Router> {
    let state = control.state.borrow();
    let keepers = state.members.keepers(control.now(), stream);
    keepers.into_iter().cloned().collect()
}

/// Asks the keepers of a stream at the same time. One record by its request is enough; those by its content, and this
/// router's own, must agree.
async fn ask_keepers(control: &Control, stream: Stream, sole: Option<Origin>) -> Inquiry {
    let keepers = keepers(control, stream.id);
    let request = Request::Origin(stream.id);
    let calls = keepers.iter().map(|keeper| {
        let request = &request;
        async move {
            let answer: Result<Reply, NoReply> =
                control.peer_client.ask(keeper.link, request).await;
            answer
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut inquiry = Inquiry {
        answer: answer(control, stream.id),
        asked: keepers.len(),
        answered: 0,
    };
    let ask = async {
        while let Some(reply) = calls.next().await {
            match reply {
                Ok(Reply::Origin(answer)) => {
                    inquiry.answered += 1;
                    inquiry.answer = inquiry.answer.and(answer);
                }
                Ok(reply) => tracing::warn!(event = "peer_answer_unfit", ?reply),
                // The number of those that answered is logged.
                Err(_) => {}
            }
            if let (Id::Request(_), Answer::Known(_)) = (stream.id, inquiry.answer) {
                return;
            }
        }
    };
    let limit = match sole {
        Some(_) => SOLE_KEEPERS_TIMEOUT,
        None => KEEPERS_TIMEOUT,
    };
    // A keeper that takes longer counts as one that has not answered.
    let _ = timeout(limit, ask).await;
    inquiry
}
