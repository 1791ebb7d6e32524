//! Keeps in step with the other routers about the halls that operators have emptied, where the store does not tell.

use std::rc::Rc;
use std::time::Duration;

use super::context::Control;
use crate::gateway::evacuation::View;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};

/// Age of the last read of the operators' records from which on other routers are asked: the store answers each read
/// within a second, and a silent one is asked again after 0.6 s more.
const READ_FRESH: Duration = Duration::from_millis(1_800);

/// Puts a view in force, and logs what is new in it.
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

/// Whether the operators' records have not been read for a while.
pub(super) fn is_stale(control: &Control) -> bool {
    let read = control.operators_read.get();
    read.is_none_or(|at| at.elapsed() > READ_FRESH)
}

/// Asks another router for its view, and takes it where it is later.
pub(super) async fn ask(control: Rc<Control>, router: Router) {
    // Whether a router answers is learned from heartbeats.
    let answer = control.links.ask(router.link, &Request::Evacuations).await;
    if let Ok(Reply::Evacuations(Some(view))) = answer
        && is_stale(&control)
    {
        let known = control.evacuations.borrow().clone();
        if known.is_none_or(|known| known.is_older(&view)) {
            set(&control, view, "link");
        }
    }
}
