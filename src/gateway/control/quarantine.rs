//! Detects which targets crashed while they served which requests, and shares that with all routers.
//!
//! When a connection breaks off, either the target crashed or only the connection failed; a port that refuses
//! connections shows that the target crashed. The findings are sent over the links to a few routers per round, so that
//! a fleet of hundreds knows within two seconds. For routers that start later they are also kept in the store beside
//! this router's own entry, which costs no extra call.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::context::{Control, FAN_OUT, ROUND_INTERVAL};
use super::probe;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::job::Job;
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::message::{Reply, Request};
use crate::gateway::quarantine::{Hold, QuarantinedRequest, Report, Row};
use crate::store::Record;
use crate::units::Millis;
use crate::{util, wall_clock};

/// Interval at which quarantined requests are reported again and old findings are dropped. A router that starts while
/// the store does not answer learns of them from one of the others within half of this interval.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Prefix of a router's name in the key of its row. Router names contain no slash.
const KEY_PREFIX: &str = "quarantine/";

/// Handles an interrupted attempt: probes the port of its target if that may have crashed.
pub(super) fn handle_interrupted(control: &Rc<Control>, job: JobKey) {
    let suspected = control
        .state
        .borrow_mut()
        .note_interrupted(control.now(), job);
    publish_changes(control);
    let Some(target) = suspected else {
        return;
    };
    probe::start(control, target);
}

/// Records that a target has crashed.
pub(super) fn note_crash(control: &Control, target: TargetKey) {
    control.state.borrow_mut().note_crash(control.now(), target);
    publish_changes(control);
}

/// Merges another router's reports.
pub(super) fn merge(control: &Control, reports: &[Report]) {
    let now = control.now();
    let mut state = control.state.borrow_mut();
    state.quarantine.merge_all(now, reports);
    drop(state);
    publish_changes(control);
}

/// Logs and publishes changes of the quarantined requests.
pub(super) fn publish_changes(control: &Control) {
    let now = control.now();
    let state = control.state.borrow();
    let holds = state.quarantine.holds();
    let before = control.published_holds.replace(holds.clone());
    if before == *holds {
        return;
    }
    for (fingerprint, hold) in holds {
        if !before.contains_key(fingerprint) {
            log_hold(now, fingerprint, hold);
        }
    }
    for fingerprint in before.keys() {
        if !holds.contains_key(fingerprint) {
            tracing::warn!(event = "request_released", %fingerprint);
        }
    }
    publish(control, now, holds);
    control.shared.entry_changed.notify_one();
}

fn publish(control: &Control, now: Millis, holds: &BTreeMap<Fingerprint, Hold>) {
    let instant = Instant::now();
    let held = holds.iter().map(|(fingerprint, hold)| QuarantinedRequest {
        fingerprint: *fingerprint,
        crashes: hold.crashes,
        until: instant + Duration::from_millis(hold.left(now).0),
    });
    control.shared.quarantine.store(Arc::new(held.collect()));
}

fn log_hold(now: Millis, fingerprint: &Fingerprint, hold: &Hold) {
    tracing::warn!(
        event = "request_quarantined",
        %fingerprint,
        crashes = hold.crashes,
        last_ms = now.saturating_sub(hold.last).0,
        left_ms = hold.left(now).0
    );
}

/// Sends changed findings to other routers until the process ends.
pub(super) async fn gossip(control: Rc<Control>) {
    let mut repeated_at = Instant::now();
    loop {
        sleep(ROUND_INTERVAL).await;
        let now = control.now();
        let mut state = control.state.borrow_mut();
        if repeated_at.elapsed() >= REPEAT_INTERVAL {
            repeated_at = Instant::now();
            state.quarantine.forget(now);
            state.quarantine.report_holds_again();
        }
        let reports = state.quarantine.next_reports(now);
        drop(state);
        publish_changes(&control);
        if reports.is_empty() {
            continue;
        }
        let request = Rc::new(Request::Suspects(reports));
        for router in control.sample_routers(FAN_OUT) {
            let (control, request) = (Rc::clone(&control), Rc::clone(&request));
            tokio::task::spawn_local(async move {
                // A failure needs no action: heartbeats tell whether a router answers, and other routers send it the
                // same reports.
                let answer: Result<Reply, _> =
                    control.peer_client.ask(router.link, &*request).await;
                if let Err(missing) = answer {
                    tracing::debug!(event = "suspects_untold", name = %router.name, reason = %missing);
                }
            });
        }
    }
}

/// The key of a router's row.
fn row_key(router: &str) -> String {
    format!("{KEY_PREFIX}{router}")
}

/// This router's row, if it differs from the one last written.
pub(super) fn own_row(control: &Control) -> Option<(Record, Vec<Fingerprint>)> {
    let state = control.state.borrow();
    let reports = state.quarantine.own_holds(control.now());
    let held: Vec<Fingerprint> = reports.iter().map(|report| report.fingerprint).collect();
    // A store that was restored from a copy may lack the row.
    let (era, written) = &*control.written_holds.borrow();
    if held == *written && (held.is_empty() || *era == control.store.era()) {
        return None;
    }
    let written = wall_clock::now()?.0;
    let row = Row { written, reports };
    let record = Record {
        key: row_key(&state.members.me.name),
        value: (!held.is_empty()).then(|| util::encode(&row).into()),
    };
    Some((record, held))
}

/// Applies a record if it is a router's row. Returns whether it is.
pub(super) fn apply_row(control: &Control, record: &Record) -> bool {
    let Some(name) = record.key.strip_prefix(KEY_PREFIX) else {
        return false;
    };
    let Some(value) = &record.value else {
        return true;
    };
    let Some(row) = util::decode::<Row>(value) else {
        tracing::warn!(event = "quarantine_unreadable", %name, bytes = value.len());
        return true;
    };
    // A host without a usable time of day treats the row as new: too long a quarantine is better than none.
    let age = wall_clock::now().map_or(Millis::ZERO, |now| now.saturating_sub(Millis(row.written)));
    let reports: Vec<Report> = row.reports.iter().map(|report| report.aged(age)).collect();
    merge(control, &reports);
    let is_own = control.state.borrow().members.me.name == name;
    if is_own {
        let mut state = control.state.borrow_mut();
        for report in &reports {
            state.quarantine.mark_own(report.fingerprint);
        }
    }
    true
}

/// Logs why a quarantined request is refused.
pub(super) fn log_refusal(control: &Control, job: &Job) {
    let now = control.now();
    let state = control.state.borrow();
    if let Some((fingerprint, hold)) = state.quarantined(now, job) {
        tracing::info!(
            event = "quarantine_refused",
            id = %job.id,
            %fingerprint,
            crashes = hold.crashes,
            last_ms = now.saturating_sub(hold.last).0,
            left_ms = hold.left(now).0
        );
    }
}
