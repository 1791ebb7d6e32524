//! Renews this router's grants: reads the rows that others wrote to the store, and writes its own only
//! where nothing has come in between.
//!
//! Customers are spread over the partitions of the topic, so that routers seldom write to the same one
//! at the same time. Each partition in use has a task, which owns its offset in the partition and the
//! rows whose append was not answered. How large a grant should be is decided in
//! [`grant`](crate::gateway::decision::grant).

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::context::Control;
use super::loans;
use crate::gateway::escrow::Row;
use crate::store::{CallError, Page, Partition, Record, Timeout, Topic, hedge};
use crate::util;

/// Interval of renewals while no request waits. Not measured.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of renewals while the store does not answer. Not measured.
const LOST_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a renewal that failed. Not measured.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Conditional appends in a row that others may win. Not measured.
const ATTEMPTS_MAX: u32 = 12;
/// Longest pause after others have won, in milliseconds; drawn, so that the same do not meet again.
const CONFLICT_PAUSE_MS: u64 = 12;
/// The first renewals of a process are spread over this time, in milliseconds, since all routers may
/// start at once.
const START_SPREAD_MS: u64 = 1_000;
/// Separates customer and router in a key.
const SEPARATOR: char = '/';

/// The key of a router's row of a customer's budget.
pub(super) fn row_key(customer: &str, router: &str) -> String {
    format!("{customer}{SEPARATOR}{router}")
}

/// The renewal of one partition's rows.
#[derive(Debug)]
struct Renewal {
    partition: Partition,
    /// The offset up to which rows are known.
    next: Option<u64>,
    /// Rows whose append was not answered.
    unanswered: Vec<(String, Row)>,
    timeout: Timeout,
}

impl Renewal {
    fn new(number: u32) -> Self {
        Self {
            partition: Partition {
                topic: Topic::Prepaid,
                number,
            },
            next: None,
            unanswered: Vec::new(),
            timeout: Timeout::default(),
        }
    }
}

/// What is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Rows that are worth a call.
    Renew,
    /// All rows, without what is not used.
    GiveBack,
}

/// Starts the task of each partition that has customers and no task yet.
pub(super) fn spawn_renewals(control: &Rc<Control>) {
    let customers = control.state.borrow().payers();
    for customer in customers {
        let partition = control.partition_of(&customer);
        let mut renewals = control.renewals.borrow_mut();
        if let Entry::Vacant(vacant) = renewals.entry(partition) {
            let now = Rc::new(Notify::new());
            vacant.insert(Rc::clone(&now));
            tokio::task::spawn_local(renew(Rc::clone(control), partition, now));
        }
    }
}

/// Renews a partition's rows for as long as the process runs; `now` has it do so at once.
async fn renew(control: Rc<Control>, partition: u32, now: Rc<Notify>) {
    let mut renewal = Renewal::new(partition);
    let delay = Duration::from_millis(rand::rng().random_range(0..START_SPREAD_MS));
    wait(delay, &now).await;
    while !control.shared.gives_back() {
        let written = write(&control, &mut renewal, Purpose::Renew).await;
        // What still waits does not wait for the store to be back.
        control.retry_waiting();
        loans::spawn_for_waiting(&control);
        if let Err(error) = written {
            tracing::warn!(event = "grants_not_renewed", partition, %error);
            sleep(FAILED_PAUSE).await;
        }
        let interval = if control.shared.store_answers() {
            INTERVAL
        } else {
            LOST_INTERVAL
        };
        wait(interval, &now).await;
    }
}

/// Waits for a span, or until it is called off.
async fn wait(span: Duration, now: &Notify) {
    // Both ends of the wait mean the same.
    let _ = timeout(span, now.notified()).await;
}

/// Gives back what is not used; nothing runs any more.
pub(super) async fn give_back(control: &Rc<Control>) {
    control.shared.set_gives_back();
    let unused = control.state.borrow_mut().take_unused();
    let transfers = loans::transfer_all(control, unused);
    let partitions: Vec<u32> = control.renewals.borrow().keys().copied().collect();
    let rows = partitions.into_iter().map(|partition| {
        let control = Rc::clone(control);
        async move {
            let mut renewal = Renewal::new(partition);
            match write(&control, &mut renewal, Purpose::GiveBack).await {
                Ok(()) => tracing::info!(event = "grants_given_back", partition),
                Err(error) => tracing::warn!(event = "grants_not_given_back", partition, %error),
            }
        }
    });
    futures::future::join(transfers, futures::future::join_all(rows)).await;
}

/// Reads and writes until nobody else has written in between.
async fn write(
    control: &Control,
    renewal: &mut Renewal,
    purpose: Purpose,
) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..ATTEMPTS_MAX {
        let is_idle = !is_awaited(control, renewal) && renewal.unanswered.is_empty();
        if is_idle && rows(control, renewal, purpose).is_empty() {
            return Ok(());
        }
        result = write_once(control, renewal, purpose).await;
        let noted = result.as_ref().map(|_| ());
        control.shared.note_call(Topic::Prepaid, &noted);
        match &result {
            Err(CallError::Moved { .. } | CallError::Gone { .. }) => {
                let pause = rand::rng().random_range(0..CONFLICT_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
            }
            _ => return result,
        }
    }
    result
}

async fn write_once(
    control: &Control,
    renewal: &mut Renewal,
    purpose: Purpose,
) -> Result<(), CallError> {
    let next = read(control, renewal).await?;
    let rows = rows(control, renewal, purpose);
    if rows.is_empty() {
        return Ok(());
    }
    control.state.borrow_mut().rows_sent(&rows);
    let records = records(control, &rows);
    let begun = Instant::now();
    let limit = renewal.timeout.get();
    let appended = control
        .store
        .append(renewal.partition, &records, Some(next), limit)
        .await;
    renewal.timeout.note(&appended, begun.elapsed());
    match appended {
        Ok(end) => {
            renewal.next = Some(end);
            renewal.unanswered.clear();
            control.state.borrow_mut().rows_acknowledged(&rows);
            log(&rows, next);
            Ok(())
        }
        Err(error) if error.may_be_done() => {
            renewal.unanswered.extend(rows);
            Err(error)
        }
        Err(error) => {
            // What was sent before may still be on its way, so only these rows are known not to be.
            if renewal.unanswered.is_empty() {
                control.state.borrow_mut().rows_withdrawn(&rows);
            }
            Err(error)
        }
    }
}

/// Whether a request waits for a grant of this partition.
fn is_awaited(control: &Control, renewal: &Renewal) -> bool {
    let customers = control.waiting.borrow().needed();
    let mut customers = customers.into_keys();
    customers.any(|customer| control.partition_of(&customer) == renewal.partition.number)
}

/// The rows of a partition that are to be written.
fn rows(control: &Control, renewal: &Renewal, purpose: Purpose) -> Vec<(String, Row)> {
    let number = renewal.partition.number;
    let is_here = |customer: &str| control.partition_of(customer) == number;
    match purpose {
        Purpose::Renew => {
            let waiting = control.waiting.borrow().needed();
            let mut state = control.state.borrow_mut();
            state.rows(control.now(), &waiting, is_here)
        }
        Purpose::GiveBack => {
            let mut rows = control.state.borrow().last_rows();
            rows.retain(|(customer, _)| is_here(customer));
            rows
        }
    }
}

fn records(control: &Control, rows: &[(String, Row)]) -> Vec<Record> {
    let state = control.state.borrow();
    let name = &state.members.me.name;
    let record = |(customer, row): &(String, Row)| Record {
        key: row_key(customer, name),
        value: Some(util::encode(row).into()),
    };
    rows.iter().map(record).collect()
}

fn log(rows: &[(String, Row)], offset: u64) {
    for (customer, row) in rows {
        tracing::info!(
            event = "grant_written",
            %customer,
            granted = row.granted.0,
            spent = row.spent.0,
            spent_before = row.spent_before.0,
            demand = row.demand,
            offset
        );
    }
}

/// Reads up to the end of the partition, and returns that end.
async fn read(control: &Control, renewal: &mut Renewal) -> Result<u64, CallError> {
    loop {
        let (store, partition) = (&control.store, renewal.partition);
        let silent = || control.shared.note_silence(partition.topic);
        let page = hedge::hedged(hedge::HEDGE_AFTER, silent, || match renewal.next {
            None => store.newest(partition, hedge::ANSWER_MAX),
            Some(from) => store.read(partition, from, Duration::ZERO, hedge::ANSWER_MAX),
        })
        .await;
        if let Err(CallError::Gone { .. }) = page {
            renewal.next = None;
        }
        let page = page?;
        take(control, renewal, &page);
        renewal.next = Some(page.next);
        if page.next >= page.end {
            return Ok(page.next);
        }
    }
}

/// Takes rows in that were read. They settle whether unanswered appends were done.
fn take(control: &Control, renewal: &mut Renewal, page: &Page) {
    let mut state = control.state.borrow_mut();
    let me = state.members.me.name.clone();
    let incarnation = state.incarnation();
    let mut own = Vec::new();
    for record in &page.records {
        let Some((customer, router)) = record.key.split_once(SEPARATOR) else {
            tracing::warn!(event = "row_key_unreadable", key = %record.key);
            continue;
        };
        let row: Option<Row> = match &record.value {
            None => None,
            Some(value) => match util::decode(value) {
                Some(row) => Some(row),
                None => {
                    let bytes = value.len();
                    tracing::error!(event = "row_unreadable", %customer, %router, bytes);
                    state.set_unreadable_row(customer, router);
                    continue;
                }
            },
        };
        state.set_row(customer, router, row);
        if let Some(row) = row
            && router == me
            && row.incarnation == incarnation
        {
            own.push((customer.to_owned(), row));
        }
    }
    if !renewal.unanswered.is_empty() && !page.records.is_empty() {
        // The partition has moved on, so what was sent is either here or never will be.
        let unanswered = std::mem::take(&mut renewal.unanswered);
        state.rows_withdrawn(&unanswered);
        state.rows_acknowledged(&own);
    }
}
