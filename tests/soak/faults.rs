//! Faults from outside: what is done to gateways, targets and the store, and undone later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::{FOREIGN, RETURN, Run, UNTIL_BACK, UNTIL_FORGOTTEN, start_again};
use crate::deployment::list_at;
use crate::deployment::store::Fault;
use crate::place::Place;
use crate::plan::TARGETS;

impl Run {
    /// Kills a gateway and starts it again.
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
            start_again(&place, &journal).await;
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

    /// The store misbehaves towards a gateway or all of them for a while.
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

    /// Begins something and ends it after so many milliseconds.
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

    /// A target vanishes. An instance of another service is at its address until its entry goes, and a
    /// new one of its own after that.
    pub(super) fn crash(&mut self, number: usize) {
        {
            let mut leaving = self.leaving.lock().unwrap();
            if leaving
                .iter()
                .any(|other| TARGETS[*other] == TARGETS[number])
            {
                return;
            }
            leaving.push(number);
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
