//! Exchanges the notices that targets send about themselves with the other routers, by gossip.
//!
//! A router that learns something new sends it to a few others at once, and each of those does the same, so that the
//! fleet knows after a few hops. Notices in force are repeated at intervals for routers that no message has reached,
//! and a router that has just started asks for them. Each message is answered with the notices that its receiver knows.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::context::{Control, FAN_OUT};
use crate::gateway::key::JobKey;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::notice::{Notice, Report};

/// Shortest time between two rounds: changes in between are sent together.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which notices in force are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Answers from other routers after which a router that has just started knows what they know.
const STARTUP_ANSWERS: u32 = 3;
/// Maximum number of rounds after a start in which other routers are asked, however few answer.
const STARTUP_ROUNDS_MAX: u32 = 50;

/// Applies the notice that a target sent in the head of its answer to a request.
pub(super) fn note_from_target(control: &Control, job: JobKey, notice: &Notice) {
    let now = control.now();
    let news = control.state.borrow_mut().apply_notice(now, job, notice);
    control.shared.notices.record(notice, &news);
    if !news.is_empty() {
        control.notice_changed.notify_one();
    }
    if !news.is_empty() || matches!(notice.retry_after, Ok(Some(_))) {
        publish(control);
    }
}

/// Publishes the targets' notices for operators.
fn publish(control: &Control) {
    let announced = control.state.borrow().targets.announced(control.now());
    if !(announced.is_empty() && control.shared.announced.load().is_empty()) {
        control.shared.announced.store(Arc::new(announced));
    }
}

/// Merges another router's reports, and answers with the reports known here.
pub(super) fn answer(control: &Control, received: &[Report]) -> Vec<Report> {
    merge(control, received, None);
    reports(control)
}

fn reports(control: &Control) -> Vec<Report> {
    let turn = control.notice_messages.get();
    control.notice_messages.set(turn.wrapping_add(1));
    control.state.borrow().targets.reports(control.now(), turn)
}

fn merge(control: &Control, reports: &[Report], router: Option<&str>) {
    let now = control.now();
    if control.state.borrow_mut().merge(now, reports, router) {
        control.notice_changed.notify_one();
        publish(control);
    }
}

/// Sends the targets' notices to other routers until the process ends.
pub(super) async fn gossip(control: Rc<Control>) {
    let answers = Rc::new(Cell::new(0));
    let mut startup_rounds = 0;
    loop {
        let is_starting = answers.get() < STARTUP_ANSWERS && startup_rounds < STARTUP_ROUNDS_MAX;
        let interval = if is_starting {
            MIN_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        // A timeout and a wake-up have the same effect.
        let _ = timeout(interval, control.notice_changed.notified()).await;
        // Removes notices from the operators' view that have expired, or whose target incarnation has ended.
        publish(&control);
        let reports = reports(&control);
        // Notices of targets that are not known yet would be lost.
        let asks = is_starting && control.state.borrow().targets.known_count() > 0;
        startup_rounds += u32::from(asks);
        if asks || !reports.is_empty() {
            let request = Rc::new(Request::Notices(reports));
            for router in control.sample_routers(FAN_OUT) {
                let (control, request) = (Rc::clone(&control), Rc::clone(&request));
                let answers = Rc::clone(&answers);
                tokio::task::spawn_local(async move {
                    let is_answered = exchange(&control, router, &request).await;
                    answers.set(answers.get() + u32::from(is_answered && asks));
                    if is_answered && asks {
                        note_limits_told(&control);
                    }
                });
            }
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Longest time for which the first requests after a start wait for the limits that targets announce: a few rounds.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

fn note_limits_told(control: &Control) {
    if !control.state.borrow().knows_limits() {
        control.state.borrow_mut().set_knows_limits();
        control.limits_told.notify_waiters();
    }
}

/// Waits until another router has told the limits that targets announce, if there are other routers and they answer.
pub(super) async fn limits_told(control: &Control) {
    let told = control.limits_told.notified();
    let is_alone = {
        let members = &control.state.borrow().members;
        members.is_acquainted() && members.known().next().is_none()
    };
    if control.state.borrow().knows_limits() {
        return;
    }
    if !is_alone && timeout(STARTUP_WAIT, told).await.is_err() {
        tracing::info!(
            event = "limits_unknown",
            waited_ms = STARTUP_WAIT.as_millis() as u64
        );
    }
    note_limits_told(control);
}

/// Sends reports to one router and merges those in its answer. Returns whether it answered.
async fn exchange(control: &Control, router: Router, request: &Request) -> bool {
    // A failure needs no action: heartbeats tell whether a router answers, and other routers send it the same reports.
    match control.peer_client.ask(router.link, request).await {
        Ok(Reply::Notices(reports)) => {
            merge(control, &reports, Some(&router.name));
            true
        }
        Ok(reply) => {
            tracing::warn!(event = "peer_answer_unfit", name = %router.name, ?reply);
            false
        }
        Err(missing) => {
            tracing::debug!(event = "notices_untold", name = %router.name, reason = %missing);
            false
        }
    }
}
