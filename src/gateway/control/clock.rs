//! Asks other routers for their hosts' time of day, so that [`Clock`](crate::gateway::clock::Clock) knows what most
//! of them agree on.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::Control;
use crate::boot_clock::Reading;
use crate::gateway::clock::Readings;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::units::Millis;
use crate::wall_clock;

/// Interval of rounds while hosts agree. An offset hardly drifts in it.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval of rounds until they do: a process that starts soon wants to know what its predecessor may have spent.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);
/// Routers that are asked in a round while hosts agree, whatever the size of the fleet. With this host, a
/// dozen are known at any time.
const FAN_OUT: usize = 3;
/// The same until they do: two rounds tell of as many as are needed.
const FIRST_FAN_OUT: usize = 6;
/// Answers that take longer say too little of the time at which they were given. They were given at half of it, give or
/// take as much, which is below the quarter of a second that hosts may differ by.
const ANSWER_MAX: Millis = Millis(400);

/// Compares clocks until the process ends.
pub(super) async fn compare(control: Rc<Control>) {
    loop {
        note_own(&control);
        let agreed = control.state.borrow().clock.agreed(control.now());
        let (fan_out, interval) = match agreed {
            Some(_) => (FAN_OUT, INTERVAL),
            None => (FIRST_FAN_OUT, FIRST_INTERVAL),
        };
        for router in control.draw(fan_out) {
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { ask(&control, &router).await });
        }
        sleep(interval).await;
    }
}

/// What this host's clocks read.
pub(super) fn read(control: &Control) -> Readings {
    let boot = control.boot.map(|boot| Reading {
        boot,
        at: control.now(),
    });
    Readings {
        boot,
        wall: wall_clock::now(),
    }
}

/// Notes this host's own time of day.
fn note_own(control: &Control) {
    let (now, own) = (control.now(), read(control));
    let mut state = control.state.borrow_mut();
    let name = state.members.me.name.clone();
    let routers = state.members.count();
    state.clock.set_fleet(routers);
    state.clock.note(&name, now, &own);
}

async fn ask(control: &Control, router: &Router) {
    let asked = control.now();
    // Whether a router answers is learned from heartbeats.
    let Ok(Reply::Clocks(theirs)) = control.links.ask(router.link, &Request::Clocks).await else {
        return;
    };
    let took = control.now().saturating_sub(asked);
    if took <= ANSWER_MAX {
        let told = asked + Millis(took.0 / 2);
        let mut state = control.state.borrow_mut();
        state.clock.note(&router.name, told, &theirs);
    }
}
