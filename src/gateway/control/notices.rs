//! Keeps in step with the other routers about what targets say of themselves.
//!
//! A router that hears something new tells a few others at once, and so does each of those, so that the fleet knows
//! within some ways between routers. What is in force is told again now and then, for those that no telling has
//! reached; a router that has started asks. Each message is answered with what the other one knows.

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

/// Least time between two tellings: what changes meanwhile is told together.
const GAP: Duration = Duration::from_millis(100);
/// Interval at which what is in force is told again.
const AGAIN: Duration = Duration::from_millis(1_200);
/// Answers of others after which a router that has started knows what they know.
const ANSWERS_WANTED: u32 = 3;
/// Tellings after a start in which others are asked, however few there are.
const QUESTIONS_MAX: u32 = 50;

/// Takes in what a request's target says of itself in the head of its answer.
pub(super) fn heard(control: &Control, job: JobKey, notice: &Notice) {
    let now = control.now();
    let news = control.state.borrow_mut().heard(now, job, notice);
    control.shared.notices.record(notice, &news);
    if !news.is_empty() {
        control.notice_changed.notify_one();
    }
    if !news.is_empty() || matches!(notice.retry_after, Ok(Some(_))) {
        publish(control);
    }
}

/// Publishes what targets say, for operators.
fn publish(control: &Control) {
    let announced = control.state.borrow().targets.announced(control.now());
    if !(announced.is_empty() && control.shared.announced.load().is_empty()) {
        control.shared.announced.store(Arc::new(announced));
    }
}

/// Takes in what another router tells, and answers with what is known here.
pub(super) fn answer(control: &Control, told: &[Report]) -> Vec<Report> {
    merge(control, told, None);
    reports(control)
}

fn reports(control: &Control) -> Vec<Report> {
    let turn = control.notices_told.get();
    control.notices_told.set(turn.wrapping_add(1));
    control.state.borrow().targets.reports(control.now(), turn)
}

fn merge(control: &Control, reports: &[Report], router: Option<&str>) {
    let now = control.now();
    if control.state.borrow_mut().merge(now, reports, router) {
        control.notice_changed.notify_one();
        publish(control);
    }
}

/// Tells other routers until the process ends.
pub(super) async fn tell(control: Rc<Control>) {
    let answers = Rc::new(Cell::new(0));
    let mut questions = 0;
    loop {
        let asks = answers.get() < ANSWERS_WANTED && questions < QUESTIONS_MAX;
        let interval = if asks { GAP } else { AGAIN };
        // Both ends of the wait mean the same.
        let _ = timeout(interval, control.notice_changed.notified()).await;
        // What has ended by time, or with its incarnation, goes from the operators' view as well.
        publish(&control);
        let reports = reports(&control);
        questions += u32::from(asks);
        if asks || !reports.is_empty() {
            let request = Rc::new(Request::Notices(reports));
            for router in control.draw(FAN_OUT) {
                let (control, request) = (Rc::clone(&control), Rc::clone(&request));
                let answers = Rc::clone(&answers);
                tokio::task::spawn_local(async move {
                    let is_answered = exchange(&control, router, &request).await;
                    answers.set(answers.get() + u32::from(is_answered));
                });
            }
        }
        sleep(GAP).await;
    }
}

/// Tells one router and takes its answer in; whether there was one.
async fn exchange(control: &Control, router: Router, request: &Request) -> bool {
    // Whether a router answers is learned from heartbeats; others tell it too.
    match control.links.ask(router.link, request).await {
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
