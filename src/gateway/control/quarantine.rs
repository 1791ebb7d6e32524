//! Finds out which targets have crashed under which requests, and keeps all routers in step about it.
//!
//! A connection that breaks off may be the target's crash, or only the connection's; a port that nobody listens on
//! any more tells. What follows from it is told over the links, a few routers a round, so that a fleet of hundreds
//! knows within two seconds, and kept in the store beside this router's own entry, which costs no call of its own,
//! for routers that start later.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::context::{Control, FAN_OUT, ROUND};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::message::{Reply, Request};
use crate::gateway::quarantine::{Hold, QuarantinedRequest, Report, Row};
use crate::store::Record;
use crate::units::Millis;
use crate::{util, wall_clock};

/// Longest wait for a port to answer. One that is closed refuses within the way there and back; a host
/// that says nothing may be cut off.
const PROBE_MAX: Duration = Duration::from_millis(400);
/// Interval at which what is held back is told again, and what is old forgotten. A router that starts
/// while the store is silent learns it from one of the others within half of it.
const TELL_AGAIN: Duration = Duration::from_millis(1_500);
/// Before a router's name in the key of its row: no name has a slash.
const KEY_PREFIX: &str = "quarantine/";

/// Looks into an attempt that broke off.
pub(super) fn broken_off(control: &Rc<Control>, job: JobKey) {
    let suspected = control.state.borrow_mut().broke_off(control.now(), job);
    update(control);
    let Some(target) = suspected else {
        return;
    };
    if control.probed.borrow_mut().insert(target) {
        let control = Rc::clone(control);
        tokio::task::spawn_local(async move { probe(&control, target).await });
    }
}

/// Asks whether anybody listens at a target's port.
async fn probe(control: &Control, target: TargetKey) {
    let address = control.state.borrow().targets.get(target).listing.address;
    let connected = timeout(PROBE_MAX, TcpStream::connect(address)).await;
    control.probed.borrow_mut().remove(&target);
    // Any other end leaves open what has become of the target.
    if let Ok(Err(error)) = connected
        && error.kind() == std::io::ErrorKind::ConnectionRefused
    {
        control.state.borrow_mut().crashed(control.now(), target);
        update(control);
    }
}

/// Takes in what another router tells.
pub(super) fn merge(control: &Control, reports: &[Report]) {
    let now = control.now();
    let mut state = control.state.borrow_mut();
    for report in reports {
        state.quarantine.merge(now, report);
    }
    drop(state);
    update(control);
}

/// Logs and publishes what has changed of what is held back.
pub(super) fn update(control: &Control) {
    let now = control.now();
    let state = control.state.borrow();
    let holds = state.quarantine.holds();
    let before = control.holds.replace(holds.clone());
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

/// Tells other routers what has changed until the process ends.
pub(super) async fn tell(control: Rc<Control>) {
    let mut told_again = Instant::now();
    loop {
        sleep(ROUND).await;
        let now = control.now();
        let mut state = control.state.borrow_mut();
        if told_again.elapsed() >= TELL_AGAIN {
            told_again = Instant::now();
            state.quarantine.forget(now);
            state.quarantine.report_holds_again();
        }
        let reports = state.quarantine.next_reports(now);
        drop(state);
        update(&control);
        if reports.is_empty() {
            continue;
        }
        let request = Rc::new(Request::Suspects(reports));
        for router in control.draw(FAN_OUT) {
            let (control, request) = (Rc::clone(&control), Rc::clone(&request));
            tokio::task::spawn_local(async move {
                // Whether a router answers is learned from heartbeats; others tell it too.
                let told: Result<Reply, _> = control.links.ask(router.link, &*request).await;
                if let Err(missing) = told {
                    tracing::debug!(event = "suspects_untold", name = %router.name, reason = %missing);
                }
            });
        }
    }
}

/// The key of a router's row.
fn key(router: &str) -> String {
    format!("{KEY_PREFIX}{router}")
}

/// This router's row, if it is another than the one written last.
pub(super) fn own_row(control: &Control) -> Option<(Record, Vec<Fingerprint>)> {
    let state = control.state.borrow();
    let reports = state.quarantine.own_holds(control.now());
    let held: Vec<Fingerprint> = reports.iter().map(|report| report.fingerprint).collect();
    // A store that has come back from a copy may lack the row.
    let (era, written) = &*control.row_held.borrow();
    if held == *written && (held.is_empty() || *era == control.store.era()) {
        return None;
    }
    let written = wall_clock::now()?.0;
    let row = Row { written, reports };
    let record = Record {
        key: key(&state.members.me.name),
        value: (!held.is_empty()).then(|| util::encode(&row).into()),
    };
    Some((record, held))
}

/// Takes in a router's row, if the record is one.
pub(super) fn take_row(control: &Control, record: &Record) -> bool {
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
    // A host without a usable time of day takes the row for new: it holds back for too long rather than not at all.
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

/// Why a request is held back, for the log of its refusal.
pub(super) fn log_refusal(control: &Control, id: &str, fingerprint: Fingerprint) {
    let now = control.now();
    let state = control.state.borrow();
    if let Some(hold) = state.quarantine.hold(now, fingerprint) {
        tracing::info!(
            event = "quarantine_refused",
            %id,
            %fingerprint,
            crashes = hold.crashes,
            last_ms = now.saturating_sub(hold.last).0,
            left_ms = hold.left(now).0
        );
    }
}
