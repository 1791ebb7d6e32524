//! External faults of gateways, targets and the store, which are injected and later undone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use super::{
    ENTRY_REMOVAL_DELAY, FOREIGN_PREFIX, RECOVERY_TIME, Run, SUCCESSOR_DELAY, start_again,
};
use crate::deployment::runner::{BACK_AFTER, CRASHING_PART, Mode, Room};
use crate::deployment::store::Fault;
use crate::deployment::{Ask, list_at, list_with_born, try_ask};
use crate::place::GatewaySlot;
use crate::plan::{REWRITE_MAX_MS, Rewrite, TARGETS};
use crate::routes::{Partition, Path};
use crate::said::{NOTICE_APPLIED_MAX, NoticePeriod, TargetNotice};

/// Time from when a lapsed target counts as gone until another instance takes its address. It goes well past the bound
/// for requests to the old instance, which fits in the run since entries lapse early in the load.
const LAPSED_REPLACEMENT_DELAY: Duration = Duration::from_secs(5);

/// Prefix of the ids of requests with a block under which targets crash.
pub const CRASHING_BLOCK_ID: &str = "block";
/// Time between two requests with a block under which targets crash.
const CRASHING_BLOCK_GAP: Duration = Duration::from_millis(300);

impl Run {
    /// Kills a gateway and restarts it.
    pub(super) fn kill(&mut self, number: usize, pause: Duration) {
        let slot = self.slots[number].clone();
        if slot.is_busy() {
            return;
        }
        *slot.is_busy.lock().unwrap() = true;
        let from = Instant::now();
        self.journal.record(format!("SIGKILL {}", slot.name));
        slot.gateway.lock().unwrap().kill();
        let (journal, observations) = (self.journal.clone(), Arc::clone(&self.observations));
        self.tasks.spawn(async move {
            sleep(pause).await;
            start_again(&slot, &journal, &observations).await;
            let span = (slot.front, from, Instant::now() + RECOVERY_TIME);
            observations.lock().unwrap().disturbed.push(span);
        });
    }

    /// Freezes a gateway for a while.
    pub(super) fn freeze(&mut self, number: usize, span: Duration) {
        let slot = self.slots[number].clone();
        if slot.is_busy() {
            return;
        }
        *slot.is_busy.lock().unwrap() = true;
        let from = Instant::now();
        self.journal.record(format!("SIGSTOP {}", slot.name));
        slot.signal("STOP");
        let (journal, observations) = (self.journal.clone(), Arc::clone(&self.observations));
        self.tasks.spawn(async move {
            sleep(span).await;
            slot.signal("CONT");
            journal.record(format!("SIGCONT {}", slot.name));
            let mut observations = observations.lock().unwrap();
            let to = Instant::now() + RECOVERY_TIME;
            observations.disturbed.push((slot.front, from, to));
            observations.unstable.push((from, to));
            *slot.is_busy.lock().unwrap() = false;
        });
    }

    /// Sets a fault of the store towards one gateway, or all of them, for a while.
    pub(super) fn set_store_fault(&mut self, only: Option<usize>, fault: Fault, span: u64) {
        let chosen = |slot: &(usize, &GatewaySlot)| only.is_none_or(|number| number == slot.0);
        let slots = self.slots.iter().enumerate().filter(chosen);
        let addresses: Vec<SocketAddr> = slots.map(|(_, slot)| slot.store).collect();
        let (store, normal) = (self.store.clone(), Fault::Slow(self.plan.store_delay_ms));
        let to = Instant::now() + Duration::from_millis(span) + RECOVERY_TIME;
        let unstable = (Instant::now(), to);
        self.observations.lock().unwrap().unstable.push(unstable);
        self.during(
            span,
            format!("store for {only:?}: {fault:?}"),
            move |is_on| {
                for address in &addresses {
                    store.set_fault(*address, if is_on { fault } else { normal });
                }
            },
        );
    }

    /// Lets the store stop answering all gateways, and restores it from an earlier copy.
    pub(super) fn restore_store(&mut self, age: u64, away: u64, again: u64) {
        let copy = self.store.snapshot();
        let begun = Instant::now();
        let (store, normal) = (self.store.clone(), Fault::Slow(self.plan.store_delay_ms));
        let addresses: Vec<SocketAddr> = self.slots.iter().map(|slot| slot.store).collect();
        let (journal, observations) = (self.journal.clone(), Arc::clone(&self.observations));
        let total = Duration::from_millis(age + away + again) + RECOVERY_TIME;
        let unstable = (begun, begun + total);
        observations.lock().unwrap().unstable.push(unstable);
        self.tasks.spawn(async move {
            let set = |fault| {
                for address in &addresses {
                    store.set_fault(*address, fault);
                }
            };
            sleep(Duration::from_millis(age)).await;
            journal.record(format!(
                "the store stops answering, {age} ms after the copy"
            ));
            set(Fault::Silent);
            sleep(Duration::from_millis(away)).await;
            let lost = store.restore(&copy);
            set(normal);
            journal.record("the store is restored from the copy");
            sleep(Duration::from_millis(again)).await;
            store.rewrite(&lost);
            journal.record("the lost writes are repeated");
        });
    }

    /// Cuts the paths of a gateway to all targets for a while.
    pub(super) fn partition(&mut self, number: usize, partition: Partition, span: u64) {
        {
            let mut partitioned = self.partitioned.lock().unwrap();
            if partitioned.contains(&number) {
                return;
            }
            partitioned.push(number);
        }
        let name = self.slots[number].name.clone();
        self.journal
            .record(format!("{name} loses all targets: {partition:?}"));
        let (journal, paths) = (self.journal.clone(), self.paths[number].clone());
        let partitioned = Arc::clone(&self.partitioned);
        self.tasks.spawn(async move {
            join_all(paths.iter().map(|path| path.cut(partition))).await;
            sleep(Duration::from_millis(span)).await;
            join_all(paths.iter().map(Path::heal)).await;
            journal.record(format!("{name} reaches the targets again"));
            partitioned.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Sends requests of which no two are alike, with a block under which targets crash, to the gateways in turn.
    pub(super) fn send_crashing_block(&mut self, count: usize) {
        self.journal.record("requests with a crashing block begin");
        let fronts: Vec<SocketAddr> = self.slots.iter().map(|slot| slot.front).collect();
        let journal = self.journal.clone();
        self.tasks.spawn(async move {
            for number in 0..count {
                let blocks = format!("a1:50,{CRASHING_PART}:29,f{number}:1");
                let request = Ask::talk(&format!("{CRASHING_BLOCK_ID}{number}"), "/talk/x", 80, 50);
                let request = request.with("x-prompt-prefix", &blocks);
                let request = request.post(&format!("body {number}"));
                let front = fronts[number % fronts.len()];
                let status = try_ask(front, &request).await.map(|answer| answer.status);
                journal.record(format!("{CRASHING_BLOCK_ID}{number}: {status:?}"));
                sleep(CRASHING_BLOCK_GAP).await;
            }
        });
    }

    /// Turns something on, and off again after `span` milliseconds.
    pub(super) fn during(&mut self, span: u64, what: String, set: impl Fn(bool) + Send + 'static) {
        self.journal.record(what.clone());
        set(true);
        let journal = self.journal.clone();
        self.tasks.spawn(async move {
            sleep(Duration::from_millis(span)).await;
            set(false);
            journal.record(format!("ended: {what}"));
        });
    }

    /// Lets a target's entry lapse while the store is unavailable. The instance keeps running and writes the entry
    /// again after the store is back, or never: then it counts as gone, and another instance takes its address later.
    pub(super) fn lapse(&mut self, number: usize, rewrite: Rewrite, span: u64) {
        if !self.reserve_target(number) {
            return;
        }
        self.set_store_fault(None, Fault::Unavailable, span);
        let instance = self.targets[number].runner.instance();
        self.journal
            .record(format!("{instance} lapses: {rewrite:?}"));
        self.store.put("keyed.servers", &instance, None);
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        let observations = Arc::clone(&self.observations);
        self.tasks.spawn(async move {
            let target = &targets[number];
            sleep(Duration::from_millis(span)).await;
            let listed = if let Rewrite::After(millis) = rewrite {
                sleep(Duration::from_millis(millis)).await;
                instance
            } else {
                sleep(Duration::from_millis(REWRITE_MAX_MS)).await;
                let departure = (instance.clone(), Instant::now());
                observations.lock().unwrap().departures.push(departure);
                sleep(LAPSED_REPLACEMENT_DELAY).await;
                let next = next_instance(&instance);
                target.runner.replace(&next);
                next
            };
            let born = target.runner.born();
            list_with_born(
                &store,
                target.service,
                &listed,
                target.address,
                "ready",
                born,
            );
            journal.record(format!("{listed} is listed"));
            reserved.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Reserves a target for a step, unless a target of the same service is reserved. Returns whether it did.
    pub(super) fn reserve_target(&self, number: usize) -> bool {
        let mut reserved = self.reserved_targets.lock().unwrap();
        let is_same = |other: &usize| TARGETS[*other] == TARGETS[number];
        let is_free = !reserved.iter().any(is_same);
        if is_free {
            reserved.push(number);
        }
        is_free
    }

    /// Crashes a target's process with its connections; it restarts under the same id.
    pub(super) fn restart(&mut self, number: usize) {
        if !self.reserve_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal.record(format!("{instance} crashes"));
        self.targets[number].runner.crash();
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        self.tasks.spawn(async move {
            sleep(2 * BACK_AFTER).await;
            journal.record(format!("{instance} is back"));
            reserved.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Lets a target send a notice in its responses for a while. A target that announced that it leaves ends then, and
    /// another instance takes its address.
    pub(super) fn send_notice(&mut self, number: usize, notice: TargetNotice, span: Duration) {
        if !self.reserve_target(number) {
            return;
        }
        let target = &self.targets[number];
        let instance = target.runner.instance();
        self.journal.record(format!("{instance} sends {notice:?}"));
        match notice {
            TargetNotice::Leaving => target.runner.set_answer_headers(&[("server-leaving", "1")]),
            TargetNotice::Limit(in_ten_seconds) => {
                let limit = (f64::from(in_ten_seconds) / 10.0).to_string();
                target
                    .runner
                    .set_answer_headers(&[("server-limit", &limit)]);
            }
            TargetNotice::Rest(one_in, millis) => target.runner.set(Mode::Rest(one_in, millis)),
        }
        let from = Instant::now();
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        let observations = Arc::clone(&self.observations);
        self.tasks.spawn(async move {
            sleep(span).await;
            let target = &targets[number];
            target.runner.set_answer_headers(&[]);
            target.runner.set(Mode::Normal);
            observations.lock().unwrap().notices.push(NoticePeriod {
                instance: instance.clone(),
                notice,
                from,
                until: Instant::now(),
            });
            if notice == TargetNotice::Leaving {
                let next = next_instance(&instance);
                target.runner.replace(&next);
                store.put("keyed.servers", &instance, None);
                list_at(&store, target.service, &next, target.address, "ready");
                journal.record(format!("{next} has taken its address"));
            }
            reserved.lock().unwrap().retain(|other| *other != number);
        });
    }

    /// Lets the targets of a service announce a rejection limit; once gateways had time to apply it, only as many requests
    /// wait there as `queue` says, and the targets fail if they reject more.
    pub(super) fn limit_rejections(
        &mut self,
        first: usize,
        limit: u32,
        queue: u32,
        span: Duration,
    ) {
        if !self.reserve_target(first) {
            return;
        }
        let numbers = [first, first + 1];
        self.journal.record(format!(
            "targets {numbers:?} announce {limit} rejections a second, and {queue} may wait"
        ));
        let targets = Arc::clone(&self.targets);
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        let observations = Arc::clone(&self.observations);
        self.tasks.spawn(async move {
            let runners = || numbers.iter().map(|number| &targets[*number].runner);
            let header = limit.to_string();
            runners().for_each(|runner| runner.set_answer_headers(&[("server-brittle", &header)]));
            sleep(NOTICE_APPLIED_MAX).await;
            let failures = || {
                runners()
                    .map(|runner| runner.crashes().len())
                    .sum::<usize>()
            };
            let before = failures();
            runners().for_each(|runner| runner.set_room(room(queue, Some(limit))));
            sleep(span.saturating_sub(NOTICE_APPLIED_MAX)).await;
            observations.lock().unwrap().failures_after_rejections += failures() - before;
            runners().for_each(|runner| {
                runner.set_room(usual_room());
                runner.set_answer_headers(&[]);
            });
            journal.record(format!("targets {numbers:?} announce nothing any more"));
            reserved.lock().unwrap().retain(|other| *other != first);
        });
    }

    /// Crashes a target. An instance of another service has its address until some time after its entry is removed, and
    /// then a new instance of its own service.
    pub(super) fn crash(&mut self, number: usize) {
        if !self.reserve_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal
            .record(format!("{instance} crashes and loses its address"));
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        self.tasks.spawn(async move {
            let target = &targets[number];
            let (prefix, generation) = instance.split_once('-').unwrap();
            target
                .runner
                .replace(&format!("{FOREIGN_PREFIX}{number}-{generation}"));
            sleep(ENTRY_REMOVAL_DELAY).await;
            store.put("keyed.servers", &instance, None);
            sleep(SUCCESSOR_DELAY).await;
            let next = format!("{prefix}-{}", generation.parse::<u32>().unwrap() + 1);
            target.runner.replace(&next);
            list_at(&store, target.service, &next, target.address, "ready");
            journal.record(format!("{next} has taken its address"));
            reserved.lock().unwrap().retain(|other| *other != number);
        });
    }
}

/// Requests that a target in a run with limited room runs at once.
const SLOTS: u32 = 2;
/// Requests that wait at such a target, unless its queue is short.
const QUEUE: u32 = 24;

/// The room of a target in a run with limited room.
pub(super) fn room(queue: u32, rejections: Option<u32>) -> Room {
    Room {
        slots: SLOTS,
        queue,
        rejections,
    }
}

/// The room of such a target with its usual queue.
pub(super) fn usual_room() -> Room {
    room(QUEUE, None)
}

/// The name of the instance that follows the given one.
fn next_instance(instance: &str) -> String {
    let (prefix, generation) = instance.split_once('-').unwrap();
    format!("{prefix}-{}", generation.parse::<u32>().unwrap() + 1)
}
