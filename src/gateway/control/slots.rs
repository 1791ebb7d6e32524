//! Requests that wait for a slot of a target, of this router and of others.
//!
//! A slot is granted by the router that owns it. Requests of other routers ask over a link, and their routers report the
//! end of the use; without a report, a lease ends when the request has to have ended.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::context::Control;
use super::notices;
use crate::gateway::attempt::SlotSender;
use crate::gateway::decision::slots::{Entry, WAIT_MAX};
use crate::gateway::key::{JobKey, TargetKey};
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::slots::{Answer, End, LeaseId, Occupancy, Patience, Query};
use crate::gateway::state::State;
use crate::gateway::state::slots::{Owner, Plan, Wanted};
use crate::units::Millis;

/// Interval at which leases and waiting requests are checked for their end.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay if it is not known when a slot can be free.
const UNKNOWN_RETRY: Millis = Millis(250);

/// Who asks for a slot.
#[derive(Debug)]
enum Asker {
    /// An attempt of this router.
    Attempt { job: JobKey, reply: SlotSender },
    /// Another router.
    Router {
        lease: LeaseId,
        reply: oneshot::Sender<Reply>,
    },
}

impl Asker {
    fn is_gone(&self) -> bool {
        match self {
            Self::Attempt { reply, .. } => reply.is_closed(),
            Self::Router { reply, .. } => reply.is_closed(),
        }
    }
}

/// A request for a slot of this router.
#[derive(Debug)]
struct Waiting {
    asker: Asker,
    rank: u8,
    /// When the request ends at the latest.
    deadline: Millis,
    /// Until when it waits.
    until: Millis,
}

/// The requests that wait for slots of this router, by target.
#[derive(Debug, Default)]
pub(super) struct Queue(HashMap<TargetKey, VecDeque<Waiting>>);

impl Queue {
    /// Adds a request behind those of its rank.
    fn push(&mut self, target: TargetKey, waiting: Waiting) {
        let line = self.0.entry(target).or_default();
        let at = line.partition_point(|other| other.rank <= waiting.rank);
        line.insert(at, waiting);
    }

    fn pop(&mut self, target: TargetKey) -> Option<Waiting> {
        let line = self.0.get_mut(&target)?;
        let next = line.pop_front();
        // The target may be forgotten once nothing waits for it, so it must not be looked up by its key later.
        if line.is_empty() {
            self.0.remove(&target);
        }
        next
    }

    fn len(&self, target: TargetKey) -> usize {
        self.0.get(&target).map_or(0, VecDeque::len)
    }

    /// Removes the requests whose asker has gone, and returns those whose time is over.
    fn take_expired(&mut self, now: Millis) -> Vec<(TargetKey, Waiting)> {
        let mut expired = Vec::new();
        for (target, line) in &mut self.0 {
            for waiting in std::mem::take(line) {
                if waiting.asker.is_gone() {
                    continue;
                }
                if waiting.until <= now {
                    expired.push((*target, waiting));
                } else {
                    line.push_back(waiting);
                }
            }
        }
        self.0.retain(|_, line| !line.is_empty());
        expired
    }

    fn targets(&self) -> Vec<TargetKey> {
        self.0.keys().copied().collect()
    }
}

/// Gets the slot that a request's current attempt needs, or finds that there is none in time. After a start it is not
/// known which attempts need one until other routers have told it.
pub(super) fn acquire(control: &Rc<Control>, job: JobKey, reply: SlotSender) {
    if control.state.borrow().knows_limits() {
        acquire_known(control, job, reply);
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        notices::limits_told(&control).await;
        let plan = control.state.borrow_mut().replan(control.now(), job);
        match plan {
            Some(Plan::Slot) => acquire_known(&control, job, reply),
            Some(Plan::Barred) => refuse_attempt(&control, job, reply, UNKNOWN_RETRY),
            // An attempt that has ended meanwhile has no receiver.
            Some(Plan::Send) | None => drop(reply.send(Ok(()))),
        }
    });
}

fn acquire_known(control: &Rc<Control>, job: JobKey, reply: SlotSender) {
    let wanted = control.state.borrow().wanted_slot(job);
    // An attempt that has ended meanwhile has no receiver.
    let Some(wanted) = wanted else {
        return;
    };
    match wanted.owner.clone() {
        Owner::Me => {
            let now = control.now();
            let waiting = Waiting {
                asker: Asker::Attempt { job, reply },
                rank: wanted.rank,
                deadline: wanted.deadline,
                until: wanted.deadline.min(now + WAIT_MAX),
            };
            enter(control, wanted.target, waiting, wanted.patience);
        }
        Owner::Other(router) => {
            let control = Rc::clone(control);
            tokio::task::spawn_local(async move {
                lease(&control, job, wanted, router, reply).await;
                settle(&control);
            });
        }
    }
}

/// Asks another router for the lease of a slot, and answers the attempt that needs it.
async fn lease(
    control: &Rc<Control>,
    job: JobKey,
    wanted: Wanted,
    router: Router,
    reply: SlotSender,
) {
    let asked_at = Instant::now();
    let query = Query {
        instance: wanted.instance,
        lease: LeaseId(rand::random()),
        left: wanted.deadline.saturating_sub(control.now()),
        rank: wanted.rank,
        patience: wanted.patience,
    };
    let answer = ask(control, &router, query).await;
    let after = match answer {
        Answer::Granted => None,
        Answer::Busy { after } => Some(after),
    };
    tracing::info!(
        event = "slot_asked",
        id = %wanted.id,
        owner = %router.name,
        granted = after.is_none(),
        after_ms = after.map(|after| after.0),
        ms = asked_at.elapsed().as_millis() as u64
    );
    if let Some(after) = after {
        refuse_attempt(control, job, reply, after);
        return;
    }
    let now = control.now();
    let lease = query.lease;
    let is_held = control
        .state
        .borrow_mut()
        .hold_slot(now, job, wanted.target, Some(lease));
    if is_held {
        control.shared.slots.leased.add(1);
        // An attempt that has ended meanwhile frees the slot.
        let _ = reply.send(Ok(()));
        return;
    }
    let end = End {
        instance: wanted.instance,
        lease,
        occupancy: Occupancy::Ended,
    };
    report_end(control, router, end).await;
}

async fn ask(control: &Control, router: &Router, query: Query) -> Answer {
    let request = Request::Slot(query);
    let unanswered = Answer::Busy {
        after: UNKNOWN_RETRY,
    };
    match control.peer_client.ask(router.link, &request).await {
        Ok(Reply::Slot(answer)) => answer,
        Ok(reply) => {
            tracing::warn!(event = "peer_answer_unfit", name = %router.name, ?reply);
            unanswered
        }
        Err(missing) => {
            tracing::debug!(event = "slot_unanswered", name = %router.name, reason = %missing);
            unanswered
        }
    }
}

fn refuse_attempt(control: &Control, job: JobKey, reply: SlotSender, after: Millis) {
    control.state.borrow_mut().note_slot_refused(job);
    control.shared.slots.refused.add(1);
    // An attempt that has ended meanwhile has no receiver.
    let _ = reply.send(Err(after));
}

/// Tells the owner of a slot that a lease has ended. If it does not hear it, the lease expires.
async fn report_end(control: &Control, router: Router, end: End) {
    let request = Request::SlotEnd(end);
    let told: Result<Reply, _> = control.peer_client.ask(router.link, &request).await;
    if let Err(missing) = told {
        tracing::debug!(event = "slot_end_untold", name = %router.name, reason = %missing);
    }
}

/// Answers another router's request for a slot, at once or when one is free.
pub(super) fn answer(control: &Rc<Control>, query: Query, reply: oneshot::Sender<Reply>) {
    let target = control.state.borrow().targets.by_hash(query.instance);
    let Some(target) = target else {
        let after = UNKNOWN_RETRY;
        // A router that has disconnected asks another.
        let _ = reply.send(Reply::Slot(Answer::Busy { after }));
        return;
    };
    let now = control.now();
    let waiting = Waiting {
        asker: Asker::Router {
            lease: query.lease,
            reply,
        },
        rank: query.rank,
        deadline: now + query.left,
        until: now + query.left.min(WAIT_MAX),
    };
    enter(control, target, waiting, query.patience);
}

/// Ends a lease of another router.
pub(super) fn end(control: &Rc<Control>, end: &End) {
    let ended = control
        .state
        .borrow_mut()
        .targets
        .end_lease(control.now(), end);
    if let Some(target) = ended {
        serve(control, target);
    }
}

fn enter(control: &Rc<Control>, target: TargetKey, waiting: Waiting, patience: Patience) {
    let now = control.now();
    let left = waiting.deadline.saturating_sub(now);
    let mut state = control.state.borrow_mut();
    let State {
        targets, members, ..
    } = &mut *state;
    let entry = targets.line(now, members, target).enter(left);
    drop(state);
    match (entry, patience) {
        (Entry::Enter, _) => grant(control, target, waiting),
        (Entry::Wait, Patience::Wait) => {
            control.slot_queue.borrow_mut().push(target, waiting);
            publish_waiting(control, target);
            control.slots_used.notify_one();
        }
        (Entry::Wait, Patience::Now) => refuse(control, waiting, WAIT_MAX),
        (Entry::Busy { after }, _) => refuse(control, waiting, after),
    }
}

fn publish_waiting(control: &Control, target: TargetKey) {
    let waiting = control.slot_queue.borrow().len(target);
    control
        .state
        .borrow_mut()
        .targets
        .set_waiting(target, waiting);
}

fn grant(control: &Rc<Control>, target: TargetKey, waiting: Waiting) {
    let now = control.now();
    let mut state = control.state.borrow_mut();
    match waiting.asker {
        Asker::Attempt { job, reply } => {
            if state.hold_slot(now, job, target, None) {
                control.shared.slots.own.add(1);
                // An attempt that has ended meanwhile frees the slot.
                let _ = reply.send(Ok(()));
            }
        }
        Asker::Router { lease, reply } => {
            state
                .targets
                .lease_slot(now, target, lease, waiting.deadline);
            if reply.send(Reply::Slot(Answer::Granted)).is_ok() {
                control.shared.slots.lent.add(1);
                control.slots_used.notify_one();
                return;
            }
            let end = End {
                instance: state.targets.get(target).hash(),
                lease,
                occupancy: Occupancy::Ended,
            };
            state.targets.end_lease(now, &end);
        }
    }
}

fn refuse(control: &Control, waiting: Waiting, after: Millis) {
    match waiting.asker {
        Asker::Attempt { job, reply } => refuse_attempt(control, job, reply, after),
        Asker::Router { reply, .. } => {
            control.shared.slots.declined.add(1);
            // A router that has disconnected asks another.
            let _ = reply.send(Reply::Slot(Answer::Busy { after }));
        }
    }
}

/// Grants the free slots of a target to the requests that wait for them.
fn serve(control: &Rc<Control>, target: TargetKey) {
    loop {
        let now = control.now();
        let mut state = control.state.borrow_mut();
        let State {
            targets, members, ..
        } = &mut *state;
        let is_free = targets.line(now, members, target).has_free_slot();
        drop(state);
        let next = is_free.then(|| control.slot_queue.borrow_mut().pop(target));
        let Some(next) = next.flatten() else {
            publish_waiting(control, target);
            return;
        };
        if !next.asker.is_gone() {
            grant(control, target, next);
        }
    }
}

/// Acts on slots whose use has ended.
pub(super) fn settle(control: &Rc<Control>) {
    if !control.state.borrow().has_freed() {
        return;
    }
    let freed = control.state.borrow_mut().take_freed();
    for target in freed.own {
        serve(control, target);
    }
    for (router, end) in freed.leases {
        let control = Rc::clone(control);
        tokio::task::spawn_local(async move { report_end(&control, router, end).await });
    }
    control.slots_used.notify_one();
}

/// Ends leases and waits whose time is over, until the process ends.
pub(super) async fn expire(control: Rc<Control>) {
    loop {
        control.slots_used.notified().await;
        while control.state.borrow().targets.uses_slots() {
            sleep(EXPIRY_INTERVAL).await;
            let now = control.now();
            let expired = control.slot_queue.borrow_mut().take_expired(now);
            for (_, waiting) in expired {
                refuse(&control, waiting, WAIT_MAX);
            }
            let freed = control.state.borrow_mut().targets.expire_slots(now);
            let waited_for = control.slot_queue.borrow().targets();
            for target in freed.into_iter().chain(waited_for) {
                serve(&control, target);
            }
        }
    }
}
