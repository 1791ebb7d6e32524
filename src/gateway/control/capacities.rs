//! Learns the capacities of the other routers: asks a few neighbours per round while some are not known, and less often
//! once that brings nothing new. Each router also writes its own to the store as it starts, since which routers read the
//! lists for the others depends on it.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};

use super::context::{Control, FAN_OUT, ROUND_INTERVAL};
use crate::gateway::capacities::{ENTRIES_MAX, Entry, Query};
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::store::Record;
use crate::util;

/// Longest interval between rounds that bring nothing new: the capacities that are lacking may be of routers of an
/// earlier version, which do not tell them.
const PAUSE_MAX: Duration = Duration::from_millis(10_000);

/// Prefix of a router's name in the key of its row. Router names contain no slash.
const KEY_PREFIX: &str = "capacity/";

/// This router's row; `None` if its capacity is unknown.
pub(super) fn own_row(control: &Control) -> Option<Record> {
    let members = &control.state.borrow().members;
    let own = members.own_entry();
    own.capacity.is_known().then(|| Record {
        key: format!("{KEY_PREFIX}{}", members.me.name),
        value: Some(util::encode(&own).into()),
    })
}

/// Whether a record is a router's row.
pub(super) fn is_row(record: &Record) -> bool {
    record.key.starts_with(KEY_PREFIX)
}

/// Applies the rows of known routers. A row of an earlier incarnation, whose host may have been another, is passed over.
pub(super) fn apply_rows(control: &Control, records: &[Record]) {
    let members = &mut control.state.borrow_mut().members;
    let told = records.iter().filter_map(|record| {
        let name = record.key.strip_prefix(KEY_PREFIX)?;
        let value = record.value.as_ref()?;
        let entry = util::decode(value);
        if entry.is_none() {
            tracing::warn!(event = "capacity_unreadable", %name, bytes = value.len());
        }
        entry
    });
    let entries: Vec<Entry> = told.collect();
    for part in entries.chunks(ENTRIES_MAX) {
        members.learn_capacities(part);
    }
}

/// Answers another router's question, and records the capacity that it reports.
pub(super) fn answer(control: &Control, query: &Query) -> Vec<Entry> {
    let mut state = control.state.borrow_mut();
    state.members.learn_capacities(&[query.own]);
    state.members.answer_capacities(&query.wanted)
}

/// Learns capacities until the process ends.
pub(super) async fn exchange(control: Rc<Control>) {
    let mut lacked = HashSet::new();
    let mut pause = ROUND_INTERVAL;
    let mut asked_at = Instant::now();
    loop {
        sleep(ROUND_INTERVAL).await;
        update_basis(&control);
        publish_usage(&control);
        let lacking = control
            .state
            .borrow()
            .members
            .lacking_capacities(control.now());
        if lacking.iter().any(|hash| !lacked.contains(hash)) {
            pause = ROUND_INTERVAL;
        }
        lacked = lacking.iter().copied().collect();
        if lacking.is_empty() || asked_at.elapsed() < pause {
            continue;
        }
        asked_at = Instant::now();
        let learnt = ask_neighbours(&control, &lacking).await;
        if learnt > 0 {
            tracing::info!(event = "capacities_learnt", learnt, lacked = lacking.len());
            pause = ROUND_INTERVAL;
        } else {
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }
}

/// Decides again whether capacities are used.
fn update_basis(control: &Control) {
    let now = control.now();
    let mut state = control.state.borrow_mut();
    let Some(basis) = state.members.update_basis(now) else {
        return;
    };
    let coverage = state.members.capacity_coverage(now);
    let weight_permille = state.members.own_weight().permille();
    drop(state);
    let (learnt, live) = (coverage.learnt, coverage.live);
    tracing::info!(
        event = "capacity_basis",
        ?basis,
        learnt,
        live,
        weight_permille
    );
    control.publish_caller_addresses();
}

/// Publishes how capacities are used, for the metrics.
fn publish_usage(control: &Control) {
    let usage = control.state.borrow().members.capacity_usage(control.now());
    if **control.shared.capacities.load() != usage {
        control.shared.capacities.store(Arc::new(usage));
    }
}

/// Asks a few neighbours; returns the number of new capacities.
async fn ask_neighbours(control: &Control, lacking: &[u64]) -> usize {
    let calls = questions(control, lacking)
        .into_iter()
        .map(|(router, query)| ask(control, router, query));
    join_all(calls).await.into_iter().sum()
}

/// The questions of a round, with the neighbours that they are for.
fn questions(control: &Control, lacking: &[u64]) -> Vec<(Router, Query)> {
    let state = control.state.borrow();
    let sources = state.members.capacity_sources(control.now());
    let random = rand::random();
    let sampled = sources.sample(&mut rand::rng(), FAN_OUT).enumerate();
    sampled
        .map(|(part, router)| {
            let query = state.members.capacity_query(lacking, random, part);
            ((*router).clone(), query)
        })
        .collect()
}

/// Asks a router; returns the number of new capacities.
async fn ask(control: &Control, router: Router, query: Query) -> usize {
    let request = Request::Capacities(query);
    let answer = control.peer_client.ask(router.link, &request).await;
    let mut state = control.state.borrow_mut();
    if let Ok(Reply::Capacities(entries)) = answer {
        return state.members.learn_capacities(&entries);
    }
    let now = control.now();
    let members = &mut state.members;
    members.note_capacities_unanswered(now, &router.name, router.incarnation);
    tracing::debug!(event = "capacities_unanswered", name = %router.name, ?answer);
    0
}
