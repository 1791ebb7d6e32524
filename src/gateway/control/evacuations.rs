//! Learns which halls operators have evacuated: puts views in force, and asks other routers while the store does not
//! answer.

use std::rc::Rc;
use std::time::Duration;

use super::context::Control;
use crate::gateway::evacuation::View;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};

/// Age of the last read of the operators' records beyond which other routers are asked. The store answers each read
/// within a second, and a read without an answer is repeated after another 0.6 s.
const READ_MAX_AGE: Duration = Duration::from_millis(1_800);

/// Puts a view in force, and logs its changes.
pub(super) fn set(control: &Control, view: View, source: &str) {
    let before = control.evacuations.borrow_mut().replace(view.clone());
    let before = before.unwrap_or_default();
    if before.halls == view.halls {
        return;
    }
    let as_of = view.as_of;
    for hall in view.halls.difference(&before.halls) {
        tracing::info!(event = "hall_evacuated", %hall, %as_of, source);
    }
    for hall in before.halls.difference(&view.halls) {
        tracing::info!(event = "hall_taken_back", %hall, %as_of, source);
    }
    let now = control.now();
    let mut state = control.state.borrow_mut();
    state.targets.set_evacuated(now, &view.halls);
}

/// Whether the last read of the operators' records is too old to rely on.
pub(super) fn is_stale(control: &Control) -> bool {
    let read_at = control.operators_read_at.get();
    read_at.is_none_or(|at| at.elapsed() > READ_MAX_AGE)
}

/// Asks another router for its view, and puts it in force if it is later than this router's.
pub(super) async fn request_view(control: Rc<Control>, router: Router) {
    // A missing answer is ignored: heartbeats tell whether a router answers.
    let answer = control
        .peer_client
        .ask(router.link, &Request::Evacuations)
        .await;
    if let Ok(Reply::Evacuations(Some(view))) = answer
        && is_stale(&control)
    {
        let known = control.evacuations.borrow().clone();
        if known.is_none_or(|known| known.is_older(&view)) {
            set(&control, view, "link");
        }
    }
}
