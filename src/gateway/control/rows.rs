//! This router's rows in one partition of the store. It reads the rows that others wrote, and appends its own on the
//! condition that nothing was written in between.
//!
//! An append whose answer is lost may have been applied, or may still be. Its rows are remembered until the partition
//! has moved on; until then the lower of both grants is in force. Once the store has been restored from a copy, its
//! rows of this router may be older than those it acknowledged, so they are no evidence of whether such an append was
//! applied.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::context::Control;
use crate::gateway::decision::reread::{Reads, Scarcity};
use crate::gateway::escrow::{Key, Row, StoreAnswer};
use crate::gateway::state::State;
use crate::store::hedge::{self, Delays};
use crate::store::{CallError, Era, Page, Partition, Place, Record, Snapshot, Timeout, Topic};
use crate::units::Millis;

/// Maximum number of conditional appends tried in succession when other routers write first.
const ATTEMPTS_MAX: u32 = 12;
/// Longest pause after an append that failed because another router had written first, in milliseconds. The pause is
/// random, so that the same routers do not collide again.
const CONFLICT_PAUSE_MS: u64 = 12;

/// How far one partition was read, and the appends to it whose outcome is unknown.
#[derive(Debug)]
pub(super) struct Cursor {
    partition: Partition,
    /// The place up to which rows were read.
    next: Option<Place>,
    /// The parts of the newest rows that were read before a call failed.
    snapshot: Option<Snapshot>,
    /// Rows whose append was not answered.
    unanswered: Vec<Unanswered>,
    timeout: Timeout,
    reads: Reads,
}

/// A row whose append was not answered.
#[derive(Debug)]
struct Unanswered {
    customer: String,
    row: Row,
    /// Where the partition had to end for the append to be applied.
    expected_end: Place,
}

impl Unanswered {
    /// Whether the outcome of the append is final, where the partition was read up to `next`: it was applied, or never
    /// will be.
    fn is_settled(&self, next: Place) -> bool {
        next.offset > self.expected_end.offset
    }
}

impl Cursor {
    /// A cursor on a partition of which nothing was read yet.
    pub(super) fn new(number: u32) -> Self {
        Self {
            partition: Partition {
                topic: Topic::Prepaid,
                number,
            },
            next: None,
            snapshot: None,
            unanswered: Vec::new(),
            timeout: Timeout::default(),
            reads: Reads::default(),
        }
    }

    /// Reads soon again if free tokens limit grants: some may have become free, or are needed now.
    pub(super) fn expect_change(&mut self) {
        self.reads.reset();
    }
}

/// Which rows are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The rows whose change is worth a call to the store.
    Renew,
    /// All rows, with their unused tokens given back.
    GiveBack,
}

/// Reads the partition and writes this router's rows, repeatedly until no other router writes in between.
///
/// # Errors
/// The error of the store. If the store did not answer, the rows may have been written all the same.
pub(super) async fn write(
    control: &Control,
    cursor: &mut Cursor,
    purpose: Purpose,
) -> Result<(), CallError> {
    let mut result = Ok(());
    for _ in 0..ATTEMPTS_MAX {
        let is_idle = !is_awaited(control, cursor) && cursor.unanswered.is_empty();
        if is_idle {
            let (rows, scarcity) = rows_to_write(control, cursor, purpose, control.store.era());
            if rows.is_empty() {
                if !cursor.reads.is_due(control.now(), scarcity) {
                    return Ok(());
                }
                control.shared.budgets.add_limited_read();
            }
        }
        // A process that stops has no time to wait.
        if purpose == Purpose::Renew {
            control.grant_calls.wait().await;
        }
        result = write_once(control, cursor, purpose).await;
        let noted = result.as_ref().map(|_| ());
        control.shared.record_call(Topic::Prepaid, &noted);
        control.grant_calls.record(&noted);
        match &result {
            // When the store was restored from a copy, other routers wait for these rows.
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
    cursor: &mut Cursor,
    purpose: Purpose,
) -> Result<(), CallError> {
    let next = match read_to_end(control, cursor).await {
        Ok(next) => next,
        Err(error) => {
            cursor.reads.record(control.now(), Scarcity::Limiting);
            return Err(error);
        }
    };
    let (rows, scarcity) = rows_to_write(control, cursor, purpose, next.era);
    cursor.reads.record(control.now(), scarcity);
    if scarcity == Scarcity::Limiting {
        let partition = cursor.partition.number;
        let pause_ms = cursor.reads.pause().0;
        tracing::info!(event = "grants_limited", partition, pause_ms);
    }
    if rows.is_empty() {
        return Ok(());
    }
    control.state.borrow_mut().rows_sent(&rows);
    let records = records(control, &rows);
    let begun = Instant::now();
    let limit = cursor.timeout.get();
    let appended = control
        .store
        .append(cursor.partition, &records, Some(next), limit)
        .await;
    cursor.timeout.adapt(&appended, begun.elapsed());
    match appended {
        Ok(end) => {
            cursor.next = Some(end);
            let mut state = control.state.borrow_mut();
            take_settled(cursor, end);
            state.rows_acknowledged(control.now(), &rows);
            state.rows_sent(&unanswered_rows(cursor));
            log_written(&state, &rows, next);
            Ok(())
        }
        Err(error) if error.may_be_done() => {
            let unanswered = rows.into_iter().map(|(customer, row)| Unanswered {
                customer,
                row,
                expected_end: next,
            });
            cursor.unanswered.extend(unanswered);
            Err(error)
        }
        Err(error) => {
            // Rows sent before may still be in flight, so it is certain only for these rows that they are not.
            if cursor.unanswered.is_empty() {
                let mut state = control.state.borrow_mut();
                state.rows_withdrawn(control.now(), &rows);
            }
            Err(error)
        }
    }
}

/// Whether a request or another router waits for a grant from this partition.
fn is_awaited(control: &Control, cursor: &Cursor) -> bool {
    let customers = control.tokens_needed();
    let mut customers = customers.into_keys();
    customers.any(|customer| control.partition_of(&customer) == cursor.partition.number)
}

/// The rows of a partition to write in an era of the store, and how free tokens limit its grants.
fn rows_to_write(
    control: &Control,
    cursor: &Cursor,
    purpose: Purpose,
    era: Era,
) -> (Vec<(String, Row)>, Scarcity) {
    let number = cursor.partition.number;
    let is_here = |customer: &str| control.partition_of(customer) == number;
    match purpose {
        // A renewal already under way when grants were given back would take a grant again.
        Purpose::Renew if control.shared.stop.gives_back() => (Vec::new(), Scarcity::None),
        Purpose::Renew => {
            let waiting = control.tokens_needed();
            let mut state = control.state.borrow_mut();
            state.rows(control.now(), era, &waiting, is_here)
        }
        Purpose::GiveBack => {
            let mut rows = control.state.borrow().final_rows(era);
            rows.retain(|(customer, _)| is_here(customer));
            (rows, Scarcity::None)
        }
    }
}

fn records(control: &Control, rows: &[(String, Row)]) -> Vec<Record> {
    let state = control.state.borrow();
    let name = &state.members.me.name;
    let record = |(customer, row): &(String, Row)| Record {
        key: Key::new(customer, name).encode(),
        value: Some(row.encode().into()),
    };
    rows.iter().map(record).collect()
}

fn log_written(state: &State, rows: &[(String, Row)], place: Place) {
    for (customer, row) in rows {
        let held_by_others = state.held_by_others(place.era, customer).0;
        tracing::info!(
            event = "grant_written",
            %customer,
            granted = row.granted.0,
            spent = row.spent.0,
            spent_before = row.spent_before.0,
            demand = row.demand,
            held_by_others,
            cap = row.cap.map(|cap| cap.limit.0),
            least_cap = row.cap.map(|cap| cap.lowest.0),
            offset = place.offset,
            era = place.era.0
        );
    }
}

/// Reads to the end of the partition, and returns its end.
async fn read_to_end(control: &Control, cursor: &mut Cursor) -> Result<Place, CallError> {
    loop {
        let (store, partition) = (&control.store, cursor.partition);
        let asked_at = control.now();
        let silent = || control.shared.record_silence(partition.topic);
        let page = match cursor.next {
            None => {
                let mut snapshot = cursor
                    .snapshot
                    .take()
                    .unwrap_or_else(|| Snapshot::new(partition));
                let page = snapshot.read(store.as_ref(), silent).await;
                cursor.snapshot = page.is_err().then_some(snapshot);
                page
            }
            Some(from) => {
                let read = || store.read(partition, from, Duration::ZERO, hedge::ANSWER_MAX);
                hedge::hedged(Delays::new(hedge::HEDGE_AFTER), silent, read).await
            }
        };
        if let Err(error) = &page
            && error.invalidates_place()
        {
            cursor.next = None;
        }
        let page = page?;
        let era = page.end.era;
        control
            .state
            .borrow_mut()
            .record_store_answer(StoreAnswer { era, at: asked_at });
        apply_page(control, cursor, &page);
        cursor.next = Some(page.next);
        if page.next >= page.end {
            return Ok(page.next);
        }
    }
}

/// Applies the rows that were read, and finds out from them which unanswered appends were applied.
fn apply_page(control: &Control, cursor: &mut Cursor, page: &Page) {
    let mut state = control.state.borrow_mut();
    let me = state.members.me.name.clone();
    let mut own = HashMap::new();
    for record in &page.records {
        let Some(Key { customer, router }) = Key::decode(&record.key) else {
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
                    state.set_unreadable_row(&customer, &router);
                    continue;
                }
            },
        };
        state.set_row(&customer, &router, row);
        if let Some(row) = row
            && router == me
        {
            own.insert(customer.into_owned(), row);
        }
    }
    let settled = take_settled(cursor, page.next);
    if !settled.is_empty() {
        acknowledge_applied(&mut state, control.now(), settled, &own, page.next.era);
        state.rows_sent(&unanswered_rows(cursor));
    }
}

/// Removes and returns the rows whose append has a final outcome, where the partition was read up to `next`.
fn take_settled(cursor: &mut Cursor, next: Place) -> Vec<Unanswered> {
    let (settled, left) = std::mem::take(&mut cursor.unanswered)
        .into_iter()
        .partition(|unanswered| unanswered.is_settled(next));
    cursor.unanswered = left;
    settled
}

/// Rows whose append may still be applied: a store that was restored from a copy may reach the place that they expect
/// once more.
fn unanswered_rows(cursor: &Cursor) -> Vec<(String, Row)> {
    let unanswered = cursor.unanswered.iter();
    unanswered
        .map(|unanswered| (unanswered.customer.clone(), unanswered.row))
        .collect()
}

/// Withdraws the rows of `settled`, and acknowledges those of them whose append was applied. An append was applied if
/// `own`, this router's rows as read from the store, has the same row. Appends of an earlier era are not acknowledged:
/// after a restore from a copy, the store's rows of this router may be older than those it acknowledged.
fn acknowledge_applied(
    state: &mut State,
    now: Millis,
    settled: Vec<Unanswered>,
    own: &HashMap<String, Row>,
    era: Era,
) {
    let of_era = settled
        .iter()
        .filter(|unanswered| unanswered.expected_end.era == era);
    let applied: Vec<(String, Row)> = of_era
        .filter(|unanswered| own.get(&unanswered.customer) == Some(&unanswered.row))
        .map(|unanswered| (unanswered.customer.clone(), unanswered.row))
        .collect();
    let settled = settled.into_iter();
    let settled: Vec<(String, Row)> = settled
        .map(|unanswered| (unanswered.customer, unanswered.row))
        .collect();
    state.rows_withdrawn(now, &settled);
    state.rows_acknowledged(now, &applied);
}
