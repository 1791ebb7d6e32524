//! This router's rows in one partition of the store: reads what others wrote, and appends its own only
//! where nothing has come in between.
//!
//! An append whose answer is lost may have been done, or may be done yet. Its rows are remembered until
//! the partition has moved on; until then the lower of both grants holds. Once the store has come back from a copy,
//! what it has of this router may be older than what was acknowledged, so it says nothing of those appends.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::context::Control;
use crate::gateway::escrow::{Row, StoreAnswer};
use crate::gateway::state::State;
use crate::store::{CallError, Era, Page, Partition, Place, Record, Timeout, Topic, hedge};
use crate::units::Millis;

/// Conditional appends in a row that others may win.
const ATTEMPTS_MAX: u32 = 12;
/// Longest pause after others have won, in milliseconds; drawn, so that the same do not meet again.
const CONFLICT_PAUSE_MS: u64 = 12;
/// Separates customer and router in a key.
const SEPARATOR: char = '/';

/// The key of a router's row of a customer's budget.
pub(super) fn row_key(customer: &str, router: &str) -> String {
    format!("{customer}{SEPARATOR}{router}")
}

/// The rows of one partition, as far as they are known.
#[derive(Debug)]
pub(super) struct Rows {
    partition: Partition,
    /// The place up to which rows are known.
    next: Option<Place>,
    /// Rows whose append was not answered.
    unanswered: Vec<Unanswered>,
    timeout: Timeout,
}

/// A row whose append was not answered.
#[derive(Debug)]
struct Unanswered {
    customer: String,
    row: Row,
    /// Where the partition had to end for it.
    at: Place,
}

impl Unanswered {
    /// Whether it is in the store by now or never will be, where the partition was read up to `next`.
    fn is_settled(&self, next: Place) -> bool {
        next.offset > self.at.offset
    }
}

impl Rows {
    /// Rows of which nothing is known yet.
    pub(super) fn new(number: u32) -> Self {
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
pub(super) enum Purpose {
    /// Rows that are worth a call.
    Renew,
    /// All rows, without what is not used.
    GiveBack,
}

/// Reads and writes until nobody else has written in between.
///
/// # Errors
/// The store's; the rows may be in the store all the same where it gave no answer.
pub(super) async fn write(
    control: &Control,
    known: &mut Rows,
    purpose: Purpose,
) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..ATTEMPTS_MAX {
        let is_idle = !is_awaited(control, known) && known.unanswered.is_empty();
        if is_idle && rows(control, known, purpose, control.store.era()).is_empty() {
            return Ok(());
        }
        result = write_once(control, known, purpose).await;
        let noted = result.as_ref().map(|_| ());
        control.shared.note_call(Topic::Prepaid, &noted);
        match &result {
            // After a return from a copy other routers wait for these rows.
            Err(error) if error.is_outdated() => {
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
    known: &mut Rows,
    purpose: Purpose,
) -> Result<(), CallError> {
    let next = read(control, known).await?;
    let rows = rows(control, known, purpose, next.era);
    if rows.is_empty() {
        return Ok(());
    }
    control.state.borrow_mut().rows_sent(&rows);
    let records = records(control, &rows);
    let begun = Instant::now();
    let limit = known.timeout.get();
    let appended = control
        .store
        .append(known.partition, &records, Some(next), limit)
        .await;
    known.timeout.note(&appended, begun.elapsed());
    match appended {
        Ok(end) => {
            known.next = Some(end);
            let mut state = control.state.borrow_mut();
            take_settled(known, end);
            state.rows_acknowledged(control.now(), &rows);
            state.rows_sent(&unsettled(known));
            drop(state);
            log(&rows, next);
            Ok(())
        }
        Err(error) if error.may_be_done() => {
            let unanswered = rows.into_iter().map(|(customer, row)| Unanswered {
                customer,
                row,
                at: next,
            });
            known.unanswered.extend(unanswered);
            Err(error)
        }
        Err(error) => {
            // What was sent before may still be on its way, so only these rows are known not to be.
            if known.unanswered.is_empty() {
                let mut state = control.state.borrow_mut();
                state.rows_withdrawn(control.now(), &rows);
            }
            Err(error)
        }
    }
}

/// Whether a request waits for a grant of this partition.
fn is_awaited(control: &Control, known: &Rows) -> bool {
    let customers = control.needed();
    let mut customers = customers.into_keys();
    customers.any(|customer| control.partition_of(&customer) == known.partition.number)
}

/// The rows of a partition that are to be written in an era of the store.
fn rows(control: &Control, known: &Rows, purpose: Purpose, era: Era) -> Vec<(String, Row)> {
    let number = known.partition.number;
    let is_here = |customer: &str| control.partition_of(customer) == number;
    match purpose {
        // A renewal that was under way when grants were given back would take one again.
        Purpose::Renew if control.shared.stop.gives_back() => Vec::new(),
        Purpose::Renew => {
            let waiting = control.needed();
            let mut state = control.state.borrow_mut();
            state.rows(control.now(), era, &waiting, is_here)
        }
        Purpose::GiveBack => {
            let mut rows = control.state.borrow().final_rows(era);
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
        value: Some(row.encode().into()),
    };
    rows.iter().map(record).collect()
}

fn log(rows: &[(String, Row)], at: Place) {
    for (customer, row) in rows {
        tracing::info!(
            event = "grant_written",
            %customer,
            granted = row.granted.0,
            spent = row.spent.0,
            spent_before = row.spent_before.0,
            demand = row.demand,
            cap = row.cap.map(|cap| cap.limit.0),
            least_cap = row.cap.map(|cap| cap.lowest.0),
            offset = at.offset,
            era = at.era.0
        );
    }
}

/// Reads up to the end of the partition, and returns that end.
async fn read(control: &Control, known: &mut Rows) -> Result<Place, CallError> {
    loop {
        let (store, partition) = (&control.store, known.partition);
        let asked = control.now();
        let silent = || control.shared.note_silence(partition.topic);
        let page = hedge::hedged(hedge::HEDGE_AFTER, silent, || match known.next {
            None => store.newest(partition, hedge::ANSWER_MAX),
            Some(from) => store.read(partition, from, Duration::ZERO, hedge::ANSWER_MAX),
        })
        .await;
        if let Err(error) = &page
            && error.loses_place()
        {
            known.next = None;
        }
        let page = page?;
        let era = page.end.era;
        control
            .state
            .borrow_mut()
            .record_store_answer(StoreAnswer { era, at: asked });
        take(control, known, &page);
        known.next = Some(page.next);
        if page.next >= page.end {
            return Ok(page.next);
        }
    }
}

/// Takes rows in that were read. They settle whether unanswered appends were done.
fn take(control: &Control, known: &mut Rows, page: &Page) {
    let mut state = control.state.borrow_mut();
    let me = state.members.me.name.clone();
    let mut own = HashMap::new();
    for record in &page.records {
        let Some((customer, router)) = record.key.split_once(SEPARATOR) else {
            tracing::warn!(event = "row_key_unreadable", key = %record.key);
            continue;
        };
        let row: Option<Row> = match &record.value {
            None => None,
            Some(value) => match Row::decode(value) {
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
        {
            own.insert(customer.to_owned(), row);
        }
    }
    let settled = take_settled(known, page.next);
    if !settled.is_empty() {
        settle(&mut state, control.now(), settled, &own, page.next.era);
        state.rows_sent(&unsettled(known));
    }
}

/// Takes out the rows of which it is known by now whether they were done, where the partition was read up to `next`.
fn take_settled(known: &mut Rows, next: Place) -> Vec<Unanswered> {
    let (settled, left) = std::mem::take(&mut known.unanswered)
        .into_iter()
        .partition(|unanswered| unanswered.is_settled(next));
    known.unanswered = left;
    settled
}

/// Rows that may still be done: a store that came back from a copy may reach the place once more that they wait for.
fn unsettled(known: &Rows) -> Vec<(String, Row)> {
    let unanswered = known.unanswered.iter();
    unanswered
        .map(|unanswered| (unanswered.customer.clone(), unanswered.row))
        .collect()
}

/// Settles rows whose append was not answered, by this router's own rows that were read. What a store that came back
/// from a copy has of this router may be older than what it has acknowledged, so it acknowledges nothing.
fn settle(
    state: &mut State,
    now: Millis,
    settled: Vec<Unanswered>,
    own: &HashMap<String, Row>,
    era: Era,
) {
    let of_now = settled.iter().filter(|unanswered| unanswered.at.era == era);
    let done: Vec<(String, Row)> = of_now
        .filter(|unanswered| own.get(&unanswered.customer) == Some(&unanswered.row))
        .map(|unanswered| (unanswered.customer.clone(), unanswered.row))
        .collect();
    let settled = settled.into_iter();
    let settled: Vec<(String, Row)> = settled
        .map(|unanswered| (unanswered.customer, unanswered.row))
        .collect();
    state.rows_withdrawn(now, &settled);
    state.rows_acknowledged(now, &done);
}
