//! Renews this router's grants in time, and gives them back when it stops.
//!
//! Customers are spread over the partitions of the store, so that routers seldom write to the same one at
//! the same time. Each partition in use has a task, which owns its [`Rows`]. How large a grant should be
//! is decided in [`grant`](crate::gateway::decision::grant).

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::context::{Control, Renewal};
use super::loans;
use super::rows::{self, Purpose, Rows};

/// Interval of renewals while no request waits.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of renewals while the store does not answer.
const LOST_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a renewal that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// The first renewals of a process are spread over this time, in milliseconds, since all routers may
/// start at once.
const START_SPREAD_MS: u64 = 1_000;

/// Starts the task of each partition that has customers and no task yet.
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

/// Renews a partition's rows for as long as the process runs.
async fn renew(control: Rc<Control>, partition: u32, renewal: Rc<Renewal>) {
    let mut known = Rows::new(partition);
    let delay = Duration::from_millis(rand::rng().random_range(0..START_SPREAD_MS));
    wait(delay, &renewal.now).await;
    while !control.shared.stop.gives_back() {
        let begun = Instant::now();
        let written = rows::write(&control, &mut known, Purpose::Renew).await;
        renewal.done.notify_waiters();
        // What still waits does not wait for the store to be back.
        control.retry_waiting();
        loans::spawn_for_waiting(&control, partition, begun);
        if let Err(error) = written {
            tracing::warn!(event = "grants_not_renewed", partition, %error);
            sleep(FAILED_PAUSE).await;
        }
        let interval = if control.shared.store_answers() {
            INTERVAL
        } else {
            LOST_INTERVAL
        };
        wait(interval, &renewal.now).await;
    }
}

/// Waits for a span, or until it is called off.
async fn wait(span: Duration, now: &Notify) {
    // Both ends of the wait mean the same.
    let _ = timeout(span, now.notified()).await;
}

/// Gives back what is not used; nothing runs any more.
pub(super) async fn give_back(control: &Rc<Control>) {
    control.shared.stop.give_back();
    let unused = control.state.borrow_mut().take_unused(control.now());
    let transfers = loans::transfer_all(control, unused);
    let partitions: Vec<u32> = control.renewals.borrow().keys().copied().collect();
    let writes = partitions.into_iter().map(|partition| {
        let control = Rc::clone(control);
        async move {
            let mut known = Rows::new(partition);
            match rows::write(&control, &mut known, Purpose::GiveBack).await {
                Ok(()) => tracing::info!(event = "grants_given_back", partition),
                Err(error) => tracing::warn!(event = "grants_not_given_back", partition, %error),
            }
        }
    });
    futures::future::join(transfers, futures::future::join_all(writes)).await;
}
