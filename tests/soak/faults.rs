//! External faults of gateways, targets and the store, which are injected and later undone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{FOREIGN, RETURN, Run, UNTIL_BACK, UNTIL_FORGOTTEN, start_again};
use crate::deployment::runner::{BACK_AFTER, Mode};
use crate::deployment::store::Fault;
use crate::deployment::{list_at, list_born};
use crate::place::Place;
use crate::plan::{BACK_MAX, Return, TARGETS};
use crate::said::{Said, Spoken};

/// Time from when a lapsed target counts as gone until another instance takes its address. It goes well past the bound
/// for requests to the old instance, which fits in the run since entries lapse early in the load.
const UNTIL_LAPSED_REPLACED: Duration = Duration::from_secs(5);

impl Run {
    /// Kills a gateway and restarts it.
    pub(super) fn kill(&mut self, number: usize, pause: Duration) {
        let place = self.places[number].clone();
        if place.is_taken() {
            return;
        }
        *place.is_taken.lock().unwrap() = true;
        let from = Instant::now();
        self.journal.note(format!("SIGKILL {}", place.name));
        place.gateway.lock().unwrap().kill();
        let (journal, seen) = (self.journal.clone(), Arc::clone(&self.seen));
        self.tasks.spawn(async move {
            sleep(pause).await;
            start_again(&place, &journal, &seen).await;
            let span = (place.front, from, Instant::now() + RETURN);
            seen.lock().unwrap().disturbed.push(span);
        });
    }

    /// Freezes a gateway for a while.
    pub(super) fn freeze(&mut self, number: usize, span: Duration) {
        let place = self.places[number].clone();
        if place.is_taken() {
            return;
        }
        *place.is_taken.lock().unwrap() = true;
        let from = Instant::now();
        self.journal.note(format!("SIGSTOP {}", place.name));
        place.signal("STOP");
        let (journal, seen) = (self.journal.clone(), Arc::clone(&self.seen));
        self.tasks.spawn(async move {
            sleep(span).await;
            place.signal("CONT");
            journal.note(format!("SIGCONT {}", place.name));
            let mut seen = seen.lock().unwrap();
            let to = Instant::now() + RETURN;
            seen.disturbed.push((place.front, from, to));
            seen.unstable.push((from, to));
            *place.is_taken.lock().unwrap() = false;
        });
    }

    /// Sets a fault of the store towards one gateway, or all of them, for a while.
    pub(super) fn harm_store(&mut self, some: Option<usize>, fault: Fault, span: u64) {
        let chosen = |place: &(usize, &Place)| some.is_none_or(|number| number == place.0);
        let places = self.places.iter().enumerate().filter(chosen);
        let addresses: Vec<SocketAddr> = places.map(|(_, place)| place.store).collect();
        let (store, usual) = (self.store.clone(), Fault::Slow(self.plan.store));
        let to = Instant::now() + Duration::from_millis(span) + RETURN;
        let unstable = (Instant::now(), to);
        self.seen.lock().unwrap().unstable.push(unstable);
        self.during(
            span,
            format!("store for {some:?}: {fault:?}"),
            move |is_on| {
                for address in &addresses {
                    store.set_fault(*address, if is_on { fault } else { usual });
                }
            },
        );
    }

    /// Lets the store stop answering all gateways, and restores it from an earlier copy.
    pub(super) fn restore_store(&mut self, age: u64, away: u64, again: u64) {
        let copy = self.store.copy();
        let begun = Instant::now();
        let (store, usual) = (self.store.clone(), Fault::Slow(self.plan.store));
        let addresses: Vec<SocketAddr> = self.places.iter().map(|place| place.store).collect();
        let (journal, seen) = (self.journal.clone(), Arc::clone(&self.seen));
        let whole = Duration::from_millis(age + away + again) + RETURN;
        let unstable = (begun, begun + whole);
        seen.lock().unwrap().unstable.push(unstable);
        self.tasks.spawn(async move {
            let set = |fault| {
                for address in &addresses {
                    store.set_fault(*address, fault);
                }
            };
            sleep(Duration::from_millis(age)).await;
            journal.note(format!("the store falls silent, {age} ms after a copy"));
            set(Fault::Silent);
            sleep(Duration::from_millis(away)).await;
            let lost = store.restore(&copy);
            set(usual);
            journal.note("the store is back from the copy");
            sleep(Duration::from_millis(again)).await;
            store.write_again(&lost);
            journal.note("others have written again");
        });
    }

    /// Turns something on, and off again after `span` milliseconds.
    pub(super) fn during(&mut self, span: u64, what: String, set: impl Fn(bool) + Send + 'static) {
        self.journal.note(what.clone());
        set(true);
        let journal = self.journal.clone();
        self.tasks.spawn(async move {
            sleep(Duration::from_millis(span)).await;
            set(false);
            journal.note(format!("over: {what}"));
        });
    }

    /// Lets a target's entry lapse while the store is unavailable. The instance keeps running and writes the entry again
    /// after the store is back, or never: then it counts as gone, and another instance takes its address later.
    pub(super) fn lapse(&mut self, number: usize, back: Return, span: u64) {
        if !self.take_target(number) {
            return;
        }
        self.harm_store(None, Fault::Unavailable, span);
        let instance = self.targets[number].runner.instance();
        self.journal.note(format!("{instance} lapses: {back:?}"));
        self.store.put("keyed.servers", &instance, None);
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, leaving) = (self.journal.clone(), Arc::clone(&self.leaving));
        let seen = Arc::clone(&self.seen);
        self.tasks.spawn(async move {
            let target = &targets[number];
            sleep(Duration::from_millis(span)).await;
            let listed = if let Return::After(millis) = back {
                sleep(Duration::from_millis(millis)).await;
                instance
            } else {
                sleep(Duration::from_millis(BACK_MAX)).await;
                let departure = (instance.clone(), Instant::now());
                seen.lock().unwrap().departures.push(departure);
                sleep(UNTIL_LAPSED_REPLACED).await;
                let next = next_life(&instance);
                target.runner.replace(&next);
                next
            };
            let born = target.runner.born();
            list_born(
                &store,
                target.service,
                &listed,
                target.address,
                "ready",
                born,
            );
            journal.note(format!("{listed} has its entry"));
            leaving.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Reserves a target for a step, unless a target of the same service is reserved. Returns whether it did.
    pub(super) fn take_target(&self, number: usize) -> bool {
        let mut leaving = self.leaving.lock().unwrap();
        let is_same = |other: &usize| TARGETS[*other] == TARGETS[number];
        let is_free = !leaving.iter().any(is_same);
        if is_free {
            leaving.push(number);
        }
        is_free
    }

    /// Crashes a target's process with its connections; it restarts under the same id.
    pub(super) fn restart(&mut self, number: usize) {
        if !self.take_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal.note(format!("{instance} crashes"));
        self.targets[number].runner.crash();
        let (journal, leaving) = (self.journal.clone(), Arc::clone(&self.leaving));
        self.tasks.spawn(async move {
            sleep(2 * BACK_AFTER).await;
            journal.note(format!("{instance} is back"));
            leaving.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Lets a target send a notice in its responses for a while. A target that announced that it leaves ends then, and
    /// another instance takes its address.
    pub(super) fn say(&mut self, number: usize, said: Said, span: Duration) {
        if !self.take_target(number) {
            return;
        }
        let target = &self.targets[number];
        let instance = target.runner.instance();
        self.journal.note(format!("{instance} says {said:?}"));
        match said {
            Said::Leaving => target.runner.say(&[("server-leaving", "1")]),
            Said::Limit(in_ten_seconds) => {
                let limit = (f64::from(in_ten_seconds) / 10.0).to_string();
                target.runner.say(&[("server-limit", &limit)]);
            }
            Said::Rest(one_in, millis) => target.runner.set(Mode::Rest(one_in, millis)),
        }
        let from = Instant::now();
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, leaving) = (self.journal.clone(), Arc::clone(&self.leaving));
        let seen = Arc::clone(&self.seen);
        self.tasks.spawn(async move {
            sleep(span).await;
            let target = &targets[number];
            target.runner.say(&[]);
            target.runner.set(Mode::Well);
            seen.lock().unwrap().spoken.push(Spoken {
                instance: instance.clone(),
                said,
                from,
                until: Instant::now(),
            });
            if said == Said::Leaving {
                let next = next_life(&instance);
                target.runner.replace(&next);
                store.put("keyed.servers", &instance, None);
                list_at(&store, target.service, &next, target.address, "ready");
                journal.note(format!("{next} has its address"));
            }
            leaving.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Crashes a target. An instance of another service has its address until some time after its entry is removed, and
    /// then a new instance of its own service.
    pub(super) fn crash(&mut self, number: usize) {
        if !self.take_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal.note(format!("{instance} vanishes"));
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, leaving) = (self.journal.clone(), Arc::clone(&self.leaving));
        self.tasks.spawn(async move {
            let target = &targets[number];
            let (place, life) = instance.split_once('-').unwrap();
            target.runner.replace(&format!("{FOREIGN}{number}-{life}"));
            sleep(UNTIL_FORGOTTEN).await;
            store.put("keyed.servers", &instance, None);
            sleep(UNTIL_BACK).await;
            let next = format!("{place}-{}", life.parse::<u32>().unwrap() + 1);
            target.runner.replace(&next);
            list_at(&store, target.service, &next, target.address, "ready");
            journal.note(format!("{next} has its address"));
            leaving.lock().unwrap().retain(|other| *other != number);
        });
    }
}

/// The name of the instance that follows the given one.
fn next_life(instance: &str) -> String {
    let (place, life) = instance.split_once('-').unwrap();
    format!("{place}-{}", life.parse::<u32>().unwrap() + 1)
}
