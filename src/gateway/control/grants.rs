//! Keeps this router's rows of the prepaid budgets: reads what others wrote, and writes its own
//! only where nothing has come in between.
//!
//! Customers are spread over the partitions of the topic, so that routers seldom write to the same
//! one at the same time. Each partition in use has a task.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, borrow_for_waiting, link, retry_waiting, waiting};
use crate::gateway::escrow::Row;
use crate::store::{CallError, Page, Partition, Patience, Record, Topic, hedge};
use crate::util;

/// Between two looks while nobody waits.
const GAP: Duration = Duration::from_millis(1_000);
/// Between two looks while the store does not answer.
const LOST_GAP: Duration = Duration::from_millis(250);
/// Tries in a row where others write at the same time.
const TRIES_MAX: u32 = 12;
/// Longest pause after others have written first, in milliseconds.
const CLASH_PAUSE_MS: u64 = 12;
/// First looks of a process are spread over this time, in milliseconds.
const START_SPREAD_MS: u64 = 1_000;
/// Pause while the store does not answer.
const RETRY_GAP: Duration = Duration::from_millis(150);
/// Separates customer and router in a key.
const SEPARATOR: char = '/';

/// The key of a router's row of a customer's budget.
pub(super) fn row_key(customer: &str, router: &str) -> String {
    format!("{customer}{SEPARATOR}{router}")
}

/// The partition that has a customer's rows.
fn number_of(customer: &str, partitions: u32) -> u32 {
    let hash = xxh3_64(customer.as_bytes()) % u64::from(partitions.max(1));
    u32::try_from(hash).expect("a remainder of a number of 32 bits")
}

/// One partition, and where its rows stand.
#[derive(Debug)]
struct Shard {
    partition: Partition,
    /// The offset up to which rows are known.
    next: Option<u64>,
    /// Rows whose append was not answered.
    unknown: Vec<(String, Row)>,
    patience: Patience,
}

impl Shard {
    fn new(number: u32) -> Self {
        Self {
            partition: Partition {
                topic: Topic::Prepaid,
                number,
            },
            next: None,
            unknown: Vec::new(),
            patience: Patience::default(),
        }
    }
}

/// What to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Rows that are worth it.
    Renew,
    /// All rows, without what is not used.
    GiveBack,
}

/// Sees to it that each partition with customers has its task.
pub fn start_shards(control: &Rc<Control>) {
    let customers = control.fleet.borrow().payers();
    for customer in customers {
        let number = number_of(&customer, control.partitions);
        let mut shards = control.shards.borrow_mut();
        if let std::collections::hash_map::Entry::Vacant(vacant) = shards.entry(number) {
            let urgent = Rc::new(Notify::new());
            vacant.insert(Rc::clone(&urgent));
            tokio::task::spawn_local(keep(Rc::clone(control), number, urgent));
        }
    }
}

/// Has the rows of a customer looked at now.
pub fn hurry(control: &Control, customer: &str) {
    let number = number_of(customer, control.partitions);
    if let Some(urgent) = control.shards.borrow().get(&number) {
        urgent.notify_one();
    }
}

/// Keeps the rows of a partition for as long as the process runs.
async fn keep(control: Rc<Control>, number: u32, urgent: Rc<Notify>) {
    let mut shard = Shard::new(number);
    // Routers that start together do not all ask at once, unless a request waits.
    let delay = Duration::from_millis(rand::rng().random_range(0..START_SPREAD_MS));
    let _ = timeout(delay, urgent.notified()).await;
    loop {
        if control.shared.is_closed() {
            return;
        }
        let written = write(&control, &mut shard, Purpose::Renew).await;
        // What still waits does not wait for the store to be back.
        retry_waiting(&control);
        borrow_for_waiting(&control);
        if let Err(error) = written {
            tracing::warn!(event = "grants_not_renewed", partition = number, %error);
            sleep(RETRY_GAP).await;
        }
        let gap = if control.shared.store_answers() {
            GAP
        } else {
            LOST_GAP
        };
        let _ = timeout(gap, urgent.notified()).await;
    }
}

/// Gives back what is not used; nothing runs any more.
pub async fn give_back(control: &Rc<Control>) {
    control.shared.set_closed();
    let unused = control.fleet.borrow_mut().take_unused();
    let gifts = link::give_all(control, unused);
    let numbers: Vec<u32> = control.shards.borrow().keys().copied().collect();
    let tasks = numbers.into_iter().map(|number| {
        let control = Rc::clone(control);
        async move {
            let mut shard = Shard::new(number);
            match write(&control, &mut shard, Purpose::GiveBack).await {
                Ok(()) => tracing::info!(event = "grants_given_back", partition = number),
                Err(error) => {
                    tracing::warn!(event = "grants_not_given_back", partition = number, %error);
                }
            }
        }
    });
    futures::future::join(gifts, futures::future::join_all(tasks)).await;
}

/// Reads and writes until nobody else has written in between.
async fn write(control: &Control, shard: &mut Shard, purpose: Purpose) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..TRIES_MAX {
        let is_idle = !is_awaited(control, shard) && shard.unknown.is_empty();
        if is_idle && rows(control, shard, purpose).is_empty() {
            return Ok(());
        }
        result = write_once(control, shard, purpose).await;
        let noted = result.as_ref().map(|_| ());
        control.shared.note_call(Topic::Prepaid, &noted);
        match &result {
            Err(CallError::Moved { .. } | CallError::Gone { .. }) => {
                let pause = rand::rng().random_range(0..CLASH_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
            }
            _ => return result,
        }
    }
    result
}

async fn write_once(
    control: &Control,
    shard: &mut Shard,
    purpose: Purpose,
) -> Result<(), CallError> {
    let next = read(control, shard).await?;
    let rows = rows(control, shard, purpose);
    if rows.is_empty() {
        return Ok(());
    }
    control.fleet.borrow_mut().rows_sent(&rows);
    let records = records(control, &rows);
    let begun = Instant::now();
    let limit = shard.patience.limit();
    let appended = control
        .store
        .append(shard.partition, &records, Some(next), limit)
        .await;
    shard
        .patience
        .note(&appended, begun.elapsed(), Duration::ZERO);
    match appended {
        Ok(end) => {
            shard.next = Some(end);
            shard.unknown.clear();
            control.fleet.borrow_mut().rows_acknowledged(&rows);
            log(&rows, next);
            Ok(())
        }
        Err(error) if error.may_be_done() => {
            shard.unknown.extend(rows);
            Err(error)
        }
        Err(error) => {
            // What was sent before may still be on its way, so only these rows are known not to be.
            if shard.unknown.is_empty() {
                control.fleet.borrow_mut().rows_withdrawn(&rows);
            }
            Err(error)
        }
    }
}

/// Whether a request waits for a grant of this partition.
fn is_awaited(control: &Control, shard: &Shard) -> bool {
    let number = shard.partition.number;
    let mut customers = waiting(control).into_keys();
    customers.any(|customer| number_of(&customer, control.partitions) == number)
}

/// The rows of a partition that are to be written.
fn rows(control: &Control, shard: &Shard, purpose: Purpose) -> Vec<(String, Row)> {
    let number = shard.partition.number;
    let is_here = |customer: &str| number_of(customer, control.partitions) == number;
    match purpose {
        Purpose::Renew => {
            let waiting = waiting(control);
            let mut fleet = control.fleet.borrow_mut();
            fleet.rows(control.now(), &waiting, is_here)
        }
        Purpose::GiveBack => {
            let mut rows = control.fleet.borrow().last_rows();
            rows.retain(|(customer, _)| is_here(customer));
            rows
        }
    }
}

fn records(control: &Control, rows: &[(String, Row)]) -> Vec<Record> {
    let fleet = control.fleet.borrow();
    let name = &fleet.members.me.name;
    let record = |(customer, row): &(String, Row)| Record {
        key: row_key(customer, name),
        value: Some(util::encode(row).into()),
    };
    rows.iter().map(record).collect()
}

fn log(rows: &[(String, Row)], at: u64) {
    for (customer, row) in rows {
        tracing::info!(
            event = "granted",
            %customer,
            granted = row.granted.0,
            spent = row.spent.0,
            closed = row.closed.0,
            demand = row.demand,
            at
        );
    }
}

/// Reads up to the end of the partition, and returns that end.
async fn read(control: &Control, shard: &mut Shard) -> Result<u64, CallError> {
    loop {
        let (store, partition) = (&control.store, shard.partition);
        let silent = || control.shared.note_silence(partition.topic);
        let page = hedge::hedged(hedge::GAP, silent, || match shard.next {
            None => store.newest(partition, hedge::MOST),
            Some(from) => store.read(partition, from, Duration::ZERO, hedge::MOST),
        })
        .await;
        if let Err(CallError::Gone { .. }) = page {
            shard.next = None;
        }
        let page = page?;
        take(control, shard, &page);
        shard.next = Some(page.next);
        if page.next >= page.end {
            return Ok(page.next);
        }
    }
}

fn take(control: &Control, shard: &mut Shard, page: &Page) {
    let mut fleet = control.fleet.borrow_mut();
    let me = fleet.members.me.name.clone();
    let incarnation = fleet.incarnation();
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
                    fleet.set_unreadable_row(customer, router);
                    continue;
                }
            },
        };
        fleet.set_row(customer, router, row);
        if let Some(row) = row
            && router == me
            && row.incarnation == incarnation
        {
            own.push((customer.to_owned(), row));
        }
    }
    if !shard.unknown.is_empty() && !page.records.is_empty() {
        // The partition has moved on, so what was sent is either here or never will be.
        let unknown = std::mem::take(&mut shard.unknown);
        fleet.rows_withdrawn(&unknown);
        fleet.rows_acknowledged(&own);
    }
}
