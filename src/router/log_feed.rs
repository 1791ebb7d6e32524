//! Follows the log's streams for the control state.
//!
//! Each read starts after the last offset that the control state has applied, not after the last one that was
//! delivered to it: it cannot apply records if the log has dropped those before them. They are read again once a
//! checkpoint or a peer's state has brought it on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::shared::Shared;
use crate::router::client::{Cursor, Error, Log, Page};
use crate::router::control::Input;
use crate::router::key::Stream;
use crate::units::{Millis, Offset};

/// Longest time that a read waits for new records.
const READ_WAIT_MAX: Millis = Millis(5_000);
/// Delay before a failed read is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before records that could not be applied are read again.
const BEHIND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Follows all streams until the process ends.
pub(super) async fn follow<L: Log>(shared: Arc<Shared>, log: L) {
    let mut feed = Feed {
        shared,
        log,
        behind: BTreeSet::new(),
    };
    feed.run().await;
}

struct Feed<L> {
    shared: Arc<Shared>,
    log: L,
    /// Streams of which the last records delivered could not be applied.
    behind: BTreeSet<Stream>,
}

impl<L: Log> Feed<L> {
    async fn run(&mut self) {
        let Some(cursors) = self.shared.cursors().await else {
            return;
        };
        let mut pages = self.read_to_end(cursors).await;
        for stream in Stream::all() {
            pages.entry(stream).or_insert(Page {
                stream,
                first: Offset(1),
                batches: Vec::new(),
            });
        }
        let mut delivered = self.deliver(pages);
        while let Some(cursors) = self.shared.cursors().await {
            self.update_behind(&cursors, &delivered);
            if !self.behind.is_empty() {
                tokio::time::sleep(BEHIND_RETRY_DELAY).await;
            }
            match self.log.read(&cursors, READ_WAIT_MAX).await {
                Ok(pages) => {
                    self.shared.tell(Input::LogUp(true));
                    delivered = self.deliver_from(cursors, pages).await;
                }
                Err(error) => self.wait_after(&error).await,
            }
        }
    }

    /// Delivers what was read from `cursors` on. If the log has dropped the next records of a stream, its remaining
    /// ones are read to the end first: the control state needs the newest checkpoint together with all records
    /// after it.
    async fn deliver_from(
        &self,
        cursors: Vec<Cursor>,
        pages: Vec<Page>,
    ) -> BTreeMap<Stream, Offset> {
        let is_retained = |page: &Page| {
            let cursor = cursors.iter().find(|cursor| cursor.stream == page.stream);
            cursor.is_none_or(|cursor| page.first <= cursor.from)
        };
        if pages.iter().all(is_retained) {
            return self.deliver(pages.into_iter().map(|page| (page.stream, page)));
        }
        let pages = self.read_to_end(cursors).await;
        self.deliver(pages)
    }

    /// Reads every stream from `cursors` on until there is nothing new.
    async fn read_to_end(&self, mut cursors: Vec<Cursor>) -> BTreeMap<Stream, Page> {
        let mut read = BTreeMap::new();
        loop {
            match self.log.read(&cursors, Millis::ZERO).await {
                Ok(pages) if pages.is_empty() => break,
                Ok(pages) => pages.into_iter().for_each(|page| join(&mut read, page)),
                Err(error) => self.wait_after(&error).await,
            }
            for cursor in &mut cursors {
                let next = read.get(&cursor.stream).and_then(end);
                cursor.from = next.unwrap_or(cursor.from);
            }
        }
        self.shared.tell(Input::LogUp(true));
        read
    }

    /// Delivers pages to the control state, and returns the offset after the last record delivered of each stream.
    fn deliver(&self, pages: impl IntoIterator<Item = (Stream, Page)>) -> BTreeMap<Stream, Offset> {
        let mut delivered = BTreeMap::new();
        for (stream, page) in pages {
            delivered.extend(end(&page).map(|end| (stream, end)));
            self.shared.tell(Input::Read {
                stream,
                first: page.first,
                batches: page.batches,
            });
        }
        delivered
    }

    /// Notes the streams of which the control state has not applied all that was delivered, and logs those that have
    /// changed.
    fn update_behind(&mut self, cursors: &[Cursor], delivered: &BTreeMap<Stream, Offset>) {
        for Cursor { stream, from } in cursors {
            let end = delivered.get(stream).filter(|end| from < *end);
            match end {
                Some(end) if self.behind.insert(*stream) => {
                    tracing::warn!(event = "log_stream_behind", %stream, next = %from, %end);
                }
                None if self.behind.remove(stream) => {
                    tracing::info!(event = "log_stream_regained", %stream, next = %from);
                }
                _ => {}
            }
        }
    }

    async fn wait_after(&self, error: &Error) {
        tracing::warn!(event = "log_read_failed", %error);
        self.shared.tell(Input::LogUp(false));
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

/// The offset after a page's last record; `None` if the page has no records.
fn end(page: &Page) -> Option<Offset> {
    let (last, _) = page.batches.last()?;
    Some(*last + Offset(1))
}

/// Joins a page to what was read of its stream before, or replaces that if the log has dropped records between the
/// two.
fn join(read: &mut BTreeMap<Stream, Page>, page: Page) {
    match read.get_mut(&page.stream) {
        Some(known) if end(known).is_some_and(|end| page.first <= end) => {
            known.batches.extend(page.batches);
        }
        _ => {
            read.insert(page.stream, page);
        }
    }
}
