//! Asks other routers for the time of day of their hosts, from which [`Clock`](crate::gateway::clock::Clock) derives
//! the time that most of them agree on.

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

/// Interval of rounds while hosts agree. An offset hardly drifts in this time.
const INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval of rounds until hosts agree. It is short, since a process needs the time soon after its start to know what
/// its predecessor may have spent.
const INITIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Routers asked per round while hosts agree, independent of the size of the fleet. Including this host, the times of a
/// dozen hosts are known at any time.
const FAN_OUT: usize = 3;
/// Routers asked per round until hosts agree: two rounds give as many times as are needed.
const INITIAL_FAN_OUT: usize = 6;
/// Longest round trip of an answer that is used. An answer is taken to have been given halfway through it, so the error
/// is at most half the round trip, which is below the quarter of a second that hosts may differ by.
const ROUND_TRIP_MAX: Millis = Millis(400);

/// Compares this host's clocks with those of other hosts until the process ends.
pub(super) async fn compare(control: Rc<Control>) {
    loop {
        note_own(&control);
        let agreed = control.state.borrow().clock.agreed(control.now());
        let (fan_out, interval) = match agreed {
            Some(_) => (FAN_OUT, INTERVAL),
            None => (INITIAL_FAN_OUT, INITIAL_INTERVAL),
        };
        for router in control.sample_routers(fan_out) {
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { request_readings(&control, &router).await });
        }
        sleep(interval).await;
    }
}

/// Reads this host's clocks.
pub(super) fn read(control: &Control) -> Readings {
    let boot = control.boot_id.map(|boot| Reading {
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
    state.clock.set_fleet_size(routers);
    state.clock.record(&name, now, &own);
}

async fn request_readings(control: &Control, router: &Router) {
    let asked_at = control.now();
    // A missing answer is ignored: heartbeats tell whether a router answers.
    let Ok(Reply::Clocks(readings)) = control.peer_client.ask(router.link, &Request::Clocks).await
    else {
        return;
    };
    let round_trip = control.now().saturating_sub(asked_at);
    if round_trip <= ROUND_TRIP_MAX {
        let read_at = asked_at + Millis(round_trip.0 / 2);
        let mut state = control.state.borrow_mut();
        state.clock.record(&router.name, read_at, &readings);
    }
}
