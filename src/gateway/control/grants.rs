//! Renews this router's grants at regular intervals, and gives them back when it stops.
//!
//! Customers are spread over the partitions of the store, so that routers seldom write to the same partition at the
//! same time. Each partition in use has a task, which owns its [`Cursor`]. The size of a grant is decided in
//! [`grant`](crate::gateway::decision::grant).

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::context::{Control, Renewal};
use super::loans;
use super::rows::{self, Cursor, Purpose};
use crate::store::Backoff;

/// Interval of renewals while no request waits.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of renewals while the store does not answer.
const STORE_LOST_INTERVAL: Duration = Duration::from_millis(250);
/// The first renewals of a process are spread over this time, in milliseconds, since all routers may start at the same
/// time.
const START_SPREAD_MS: u64 = 1_000;
/// Longest time that the first renewal waits for the entries of the other routers: the store may answer nothing about
/// them. A fleet of 2,000 that starts at once reads 400 MB of entries, in 5 s; waiting requests borrow meanwhile.
const ACQUAINTED_WITHIN: Duration = Duration::from_millis(6_000);
/// Interval of the checks whether they were read.
const ACQUAINTED_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Spawns the renewal task of each partition that has customers and no task yet.
pub(super) fn spawn_renewals(control: &Rc<Control>) {
    let customers = control.state.borrow().payers();
    for customer in customers {
        let partition = control.partition_of(&customer);
        let mut renewals = control.renewals.borrow_mut();
        if let Entry::Vacant(vacant) = renewals.entry(partition) {
            let renewal = Rc::new(Renewal::default());
            vacant.insert(Rc::clone(&renewal));
            tokio::task::spawn_local(renew(Rc::clone(control), partition, renewal));
        }
    }
}

/// Renews this router's rows in a partition until grants are given back.
async fn renew(control: Rc<Control>, partition: u32, renewal: Rc<Renewal>) {
    let mut cursor = Cursor::new(partition);
    let mut backoff = Backoff::default();
    let delay = Duration::from_millis(rand::rng().random_range(0..START_SPREAD_MS));
    wait(delay, &renewal.wake).await;
    wait_for_acquaintance(&control).await;
    let mut is_store_lost = false;
    while !control.shared.stop.gives_back() {
        let begun_at = Instant::now();
        let written = rows::write(&control, &mut cursor, Purpose::Renew).await;
        renewal.last_begun.set(Some(begun_at));
        renewal.done.notify_waiters();
        // Requests that still wait borrow tokens, whether or not the store is available.
        control.retry_waiting();
        loans::spawn_for_waiting(&control, partition, begun_at);
        match written {
            Ok(()) => backoff.reset(),
            Err(error) => {
                tracing::warn!(event = "grants_not_renewed", partition, %error);
                renewal.is_paused.set(true);
                sleep(backoff.pause(&error, rand::random())).await;
                renewal.is_paused.set(false);
            }
        }
        let interval = if control.shared.store_answers() {
            RENEWAL_INTERVAL
        } else {
            STORE_LOST_INTERVAL
        };
        let end = wait(interval, &renewal.wake).await;
        let was_store_lost = std::mem::replace(&mut is_store_lost, !control.shared.store_answers());
        if end == WaitEnd::Woken || was_store_lost && !is_store_lost {
            cursor.expect_change();
        }
    }
}

/// Waits until this router knows the others. Before that it counts itself among the holders of every customer, and a
/// fleet that starts at once would write a row for each router and customer.
async fn wait_for_acquaintance(control: &Control) {
    let begun = Instant::now();
    while !control.state.borrow().members.is_acquainted() && begun.elapsed() < ACQUAINTED_WITHIN {
        sleep(ACQUAINTED_POLL_INTERVAL).await;
    }
}

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    Elapsed,
    Woken,
}

/// Waits for a duration, or until it is woken.
async fn wait(duration: Duration, wake: &Notify) -> WaitEnd {
    match timeout(duration, wake.notified()).await {
        Ok(()) => WaitEnd::Woken,
        Err(_) => WaitEnd::Elapsed,
    }
}

/// Gives back all unused tokens. Called once no request runs any more.
pub(super) async fn give_back(control: &Rc<Control>) {
    control.shared.stop.give_back();
    let unused = control.state.borrow_mut().take_unused(control.now());
    let transfers = loans::transfer_all(control, unused);
    let partitions: Vec<u32> = control.renewals.borrow().keys().copied().collect();
    let writes = partitions.into_iter().map(|partition| {
        let control = Rc::clone(control);
        async move {
            let mut cursor = Cursor::new(partition);
            match rows::write(&control, &mut cursor, Purpose::GiveBack).await {
                Ok(()) => tracing::info!(event = "grants_given_back", partition),
                Err(error) => tracing::warn!(event = "grants_not_given_back", partition, %error),
            }
        }
    });
    futures::future::join(transfers, futures::future::join_all(writes)).await;
}
