//! Keeps this router's rows of the prepaid budgets: reads what others wrote, and writes its own
//! only where nothing has come in between.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::{Control, borrow_for_waiting, retry_waiting};
use crate::gateway::escrow::Row;
use crate::store::{CallError, Partition, Record, Topic, TopicPage};
use crate::units::Tokens;
use crate::util;

/// Between two looks while nobody waits.
const GAP: Duration = Duration::from_millis(1_000);
/// The same while the store does not answer.
const LOST_GAP: Duration = Duration::from_millis(250);
/// Tries in a row where others write at the same time.
const TRIES_MAX: u32 = 12;
/// Longest pause after others have written first, in milliseconds.
const CLASH_PAUSE_MS: u64 = 12;
/// Pause while the store does not answer.
const RETRY_GAP: Duration = Duration::from_millis(150);
/// Separates customer and router in a key.
const SEPARATOR: char = '/';

const PARTITION: Partition = Partition {
    topic: Topic::Prepaid,
    number: 0,
};

/// Where the rows stand.
#[derive(Debug, Default)]
struct Place {
    /// The offset up to which rows are known.
    next: Option<u64>,
    /// Rows whose append was not answered.
    unknown: Vec<(String, Row)>,
}

/// Keeps the rows for as long as the process runs.
pub async fn keep(control: Rc<Control>) {
    let mut place = Place::default();
    loop {
        let gap = if control.shared.store_answers() {
            GAP
        } else {
            LOST_GAP
        };
        let _ = timeout(gap, control.urgent.notified()).await;
        if control.shared.is_closed() {
            return;
        }
        if let Err(error) = write(&control, &mut place, Vec::clone).await {
            tracing::warn!(event = "grants_not_renewed", %error);
            sleep(RETRY_GAP).await;
        }
        retry_waiting(&control);
        borrow_for_waiting(&control);
    }
}

/// Gives back what is not used; nothing runs any more.
pub async fn give_back(control: &Control) {
    control.shared.set_closed();
    let mut place = Place::default();
    let last = |_: &Vec<(String, Row)>| control.fleet.borrow().last_rows();
    match write(control, &mut place, last).await {
        Ok(()) => tracing::info!(event = "grants_given_back"),
        Err(error) => tracing::warn!(event = "grants_not_given_back", %error),
    }
}

/// Reads, and writes the rows that `change` makes of those that are worth writing.
async fn write(
    control: &Control,
    place: &mut Place,
    change: impl Fn(&Vec<(String, Row)>) -> Vec<(String, Row)>,
) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..TRIES_MAX {
        result = write_once(control, place, &change).await;
        control
            .shared
            .note_call(Topic::Prepaid, &result.as_ref().map(|_| ()));
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
    place: &mut Place,
    change: impl Fn(&Vec<(String, Row)>) -> Vec<(String, Row)>,
) -> Result<(), CallError> {
    let next = read(control, place).await?;
    let waiting = waiting(control);
    let rows = control.fleet.borrow_mut().rows(control.now(), &waiting);
    let rows = change(&rows);
    if rows.is_empty() {
        return Ok(());
    }
    control.fleet.borrow_mut().rows_sent(&rows);
    let records = records(control, &rows);
    match control.store.append(PARTITION, &records, Some(next)).await {
        Ok(end) => {
            place.next = Some(end);
            place.unknown.clear();
            control.fleet.borrow_mut().rows_acknowledged(&rows);
            log(&rows, next);
            Ok(())
        }
        Err(error) if error.may_be_done() => {
            place.unknown.extend(rows);
            Err(error)
        }
        Err(error) => {
            // What was sent before may still be on its way, so only these rows are known not to be.
            if place.unknown.is_empty() {
                control.fleet.borrow_mut().rows_withdrawn(&rows);
            }
            Err(error)
        }
    }
}

/// What waits for a grant, by customer.
fn waiting(control: &Control) -> HashMap<String, Tokens> {
    let mut needed: HashMap<String, Tokens> = HashMap::new();
    for waiting in control.waiting.borrow().iter() {
        if let Some((customer, _)) = &waiting.job.payer {
            *needed.entry(customer.clone()).or_default() += waiting.job.cost();
        }
    }
    needed
}

fn records(control: &Control, rows: &[(String, Row)]) -> Vec<Record> {
    let fleet = control.fleet.borrow();
    let name = &fleet.members.me.name;
    let record = |(customer, row): &(String, Row)| Record {
        key: format!("{customer}{SEPARATOR}{name}"),
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
async fn read(control: &Control, place: &mut Place) -> Result<u64, CallError> {
    loop {
        let page = match place.next {
            None => control.store.newest(PARTITION).await?,
            Some(from) => match control.store.read(PARTITION, from, Duration::ZERO).await {
                Err(error @ CallError::Gone { .. }) => {
                    place.next = None;
                    return Err(error);
                }
                result => result?,
            },
        };
        take(control, place, &page);
        place.next = Some(page.next);
        if page.next >= page.end {
            return Ok(page.next);
        }
    }
}

fn take(control: &Control, place: &mut Place, page: &TopicPage) {
    let mut fleet = control.fleet.borrow_mut();
    let me = fleet.members.me.name.clone();
    let incarnation = fleet.incarnation();
    let mut own = Vec::new();
    for record in &page.records {
        let Some((customer, router)) = record.key.split_once(SEPARATOR) else {
            continue;
        };
        let row: Option<Row> = record.value.as_ref().and_then(|value| util::decode(value));
        fleet.set_row(customer, router, row);
        if let Some(row) = row
            && router == me
            && row.incarnation == incarnation
        {
            own.push((customer.to_owned(), row));
        }
    }
    if !place.unknown.is_empty() && !page.records.is_empty() {
        // The partition has moved on, so what was sent is either here or never will be.
        let unknown = std::mem::take(&mut place.unknown);
        fleet.rows_withdrawn(&unknown);
        fleet.rows_acknowledged(&own);
    }
}
