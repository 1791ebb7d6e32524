//! Sends the records of streams to their keepers, and asks the keepers for the version of a stream that a caller takes
//! up.

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
use crate::gateway::decision::origin::{self, Constraint, Origin};
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::job::Job;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::streams::{Id, Record};
use crate::units::Millis;

/// How long records wait for others to the same keepers.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which records that wait are looked at again: a service of theirs may have got a second version.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which records of ended streams are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the keepers of a stream. One that takes longer is frozen or cut off.
const KEEPERS_TIMEOUT: Duration = Duration::from_millis(400);

/// The version that all streams of a service have, if it is certain.
fn sole_origin(control: &Control, service: &str) -> Option<Origin> {
    let known_since = control.targets_known_since.get();
    let known_since = known_since.filter(|_| target_list::is_current(control));
    let known_for = known_since.map(|since| control.now().saturating_sub(since));
    let state = control.state.borrow();
    origin::sole(known_for, state.targets.origins(service))
}

/// Sends records to the keepers of their streams until the process ends.
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
        for keeper in state.members.keepers(now, record.stream) {
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

/// The version that began a stream, for another router.
pub(super) fn answer(control: &Control, stream: Id) -> Option<Origin> {
    control.state.borrow().streams.origin(control.now(), stream)
}

/// Where the version of a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This router's own record.
    Own,
    /// The service has had no other version.
    Sole,
    /// A keeper's record.
    Keeper,
    /// Nowhere.
    None,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Sole => "sole",
            Self::Keeper => "keeper",
            Self::None => "none",
        }
    }
}

/// Finds out the version of the stream that a request takes up, and passes the request to `begin`. Refuses it if the
/// version is not known.
pub(super) fn resolve(
    control: &Rc<Control>,
    mut job: Job,
    reply: ReplySender,
    begin: impl FnOnce(&Rc<Control>, Job, ReplySender) + 'static,
) {
    let known = local_origin(control, &job);
    if let Some((origin, source)) = known {
        log(&job, source, Some(origin), 0, 0, Duration::ZERO);
        job.origin = Constraint::Only(origin);
        begin(control, job, reply);
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let asked_at = Instant::now();
        let (origin, asked, answered) = ask_keepers(&control, &job).await;
        let source = origin.map_or(Source::None, |_| Source::Keeper);
        log(&job, source, origin, asked, answered, asked_at.elapsed());
        match origin {
            Some(origin) => {
                control
                    .state
                    .borrow_mut()
                    .keep_origin(control.now(), &job, origin);
                job.origin = Constraint::Only(origin);
                begin(&control, job, reply);
            }
            None => {
                let mut state = control.state.borrow_mut();
                waiting::answer(
                    &mut state,
                    control.now(),
                    reply,
                    Err(Refusal::VersionUnknown),
                );
            }
        }
    });
}

/// What this router knows by itself of the version of the stream that a request takes up.
fn local_origin(control: &Control, job: &Job) -> Option<(Origin, Source)> {
    let stream = job.stream?;
    let own = control
        .state
        .borrow()
        .streams
        .origin(control.now(), stream.id);
    if let Some(origin) = own {
        return Some((origin, Source::Own));
    }
    // Where a route has several services, the one that began the stream is not known.
    let [(service, _)] = &job.services[..] else {
        return None;
    };
    sole_origin(control, service).map(|origin| (origin, Source::Sole))
}

/// Asks the keepers of a request's stream at the same time, until one has its record. Also returns how many were asked
/// and how many answered.
async fn ask_keepers(control: &Rc<Control>, job: &Job) -> (Option<Origin>, usize, usize) {
    let Some(stream) = job.stream else {
        return (None, 0, 0);
    };
    let state = control.state.borrow();
    let keepers = state.members.keepers(control.now(), stream.id);
    let keepers: Vec<Router> = keepers.into_iter().cloned().collect();
    drop(state);
    let asked = keepers.len();
    let mut answered = 0;
    let request = Request::Origin(stream.id);
    let calls = keepers.iter().map(|keeper| {
        let request = &request;
        async move {
            let answer: Result<Reply, _> = control.peer_client.ask(keeper.link, request).await;
            answer
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let ask = async {
        while let Some(answer) = calls.next().await {
            match answer {
                Ok(Reply::Origin(Some(origin))) => {
                    answered += 1;
                    return Some(origin);
                }
                Ok(Reply::Origin(None)) => answered += 1,
                Ok(reply) => tracing::warn!(event = "peer_answer_unfit", ?reply),
                // The number of those that answered is logged.
                Err(_) => {}
            }
        }
        None
    };
    let origin = timeout(KEEPERS_TIMEOUT, ask).await.ok().flatten();
    (origin, asked, answered)
}

fn log(
    job: &Job,
    source: Source,
    origin: Option<Origin>,
    asked: usize,
    answered: usize,
    took: Duration,
) {
    tracing::info!(
        event = "stream_origin",
        id = %job.id,
        stream = job.stream.map(|stream| tracing::field::display(stream.id)),
        source = source.as_str(),
        origin = origin.map(tracing::field::display),
        asked,
        answered,
        ms = took.as_millis() as u64
    );
}
