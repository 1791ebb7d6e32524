//! Follows the operators' records: the configuration, the evacuations of halls and the orders of rollouts.
//!
//! Each router reads the store. In a large fleet a router that does not pass the lists on ([`feed`]) asks one that does
//! before each read, so that the store sends each change to few routers only. What a reader says is not relied on: a
//! change that it lacks is in this router's own read.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, sleep_until};

use super::context::Control;
use super::feed;
use super::follow::{ReadPage, Subscription};
use super::{apply, evacuations, rollouts};
use crate::gateway::decision::feed::{self as feed_decision, Role, SOURCES_MAX};
use crate::gateway::evacuation::View;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::operators::{Query, Update};
use crate::store::{Backoff, Topic};

/// How long the store delays its answer to a reader until there is a change (long poll). A change must be in force
/// within 11 s.
const READER_POLL: Duration = Duration::from_millis(1_000);
/// Longest time that a router waits at its start for the entries of the other routers.
const ENTRIES_WAIT_MAX: Duration = Duration::from_millis(3_000);
/// How long after its start a follower asks readers before it reads the records itself: the store sends the entries of
/// 1,000 routers to all of them in 2.4 s, and the readers get the records after that.
const FIRST_RECORDS_MAX: Duration = Duration::from_millis(6_000);
/// Interval at which a follower asks a reader.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a follower reads the store: as often as a reader that finds no changes.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Follows the records until the process ends.
pub(super) async fn follow(control: Rc<Control>) {
    let mut subscription = Subscription::new(Topic::Config);
    let mut backoff = Backoff::default();
    let mut source = None;
    let started_at = Instant::now();
    feed::wait_for_entries(&control, started_at + ENTRIES_WAIT_MAX).await;
    let mut read_due = Instant::now();
    loop {
        let role = feed::role(&control);
        if role != Role::Reader {
            source = ask_others(&control, role, &mut subscription, source).await;
            if subscription.next.is_none() && started_at.elapsed() < FIRST_RECORDS_MAX {
                sleep(ASK_INTERVAL).await;
                continue;
            }
        }
        if Instant::now() >= read_due {
            let poll = match role {
                Role::Reader => READER_POLL,
                Role::Relay | Role::Follower => Duration::ZERO,
            };
            match subscription.read_next(&control, poll).await {
                Ok(ReadPage { content, page }) => {
                    backoff.reset();
                    apply::operators(&control, &page, content);
                    control.operators_as_of.set(subscription.next);
                    if role != Role::Reader {
                        read_due = Instant::now() + READ_INTERVAL;
                    }
                }
                Err(error) if error.invalidates_place() => {}
                Err(error) => {
                    backoff = backoff.with_longest(feed::longest_pause(&control, role));
                    read_due = Instant::now() + backoff.pause(&error, rand::random());
                }
            }
        }
        match role {
            Role::Reader => sleep_until(read_due).await,
            Role::Relay | Role::Follower => {
                sleep(ASK_INTERVAL.min(read_due - Instant::now())).await
            }
        }
    }
}

/// Asks readers or relays of the hall for what they have applied, until one has read the records. Returns its name.
async fn ask_others(
    control: &Rc<Control>,
    role: Role,
    subscription: &mut Subscription,
    last: Option<String>,
) -> Option<String> {
    let scope = feed_decision::scope(role, 0);
    let sources = feed::sources(control, scope, last.as_deref());
    for source in sources.into_iter().take(SOURCES_MAX) {
        if let Some(update) = ask(control, &source).await {
            apply_update(control, subscription, *update);
            return Some(source.name);
        }
    }
    None
}

/// A reader's answer; `None` if it has not read the records, or does not answer.
async fn ask(control: &Control, source: &Router) -> Option<Box<Update>> {
    let config = control.shared.config.load();
    let request = Request::Operators(Query {
        config: config.as_ref().map_or(0, |config| config.version),
    });
    match control.peer_client.ask(source.link, &request).await {
        Ok(Reply::Operators(update)) => update,
        Ok(reply) => {
            tracing::warn!(event = "peer_answer_unfit", name = %source.name, ?reply);
            None
        }
        Err(missing) => {
            control.set_unreachable(source, missing);
            None
        }
    }
}

/// Answers another router; `None` until the records have been read.
pub(super) fn answer(control: &Control, query: &Query) -> Option<Box<Update>> {
    let as_of = control.operators_as_of.get()?;
    let rollouts = rollouts::views(control)?;
    let config = control.shared.config.load();
    let is_newer = config.as_ref().map_or(0, |config| config.version) > query.config;
    let config = is_newer.then(|| control.shared.config_bytes.load_full());
    Some(Box::new(Update {
        as_of,
        config: config.flatten().map(|bytes| bytes.to_vec()),
        halls: control.halls_in_store.borrow().halls.clone(),
        rollouts,
    }))
}

/// Applies what a reader has applied, unless it or this router has not noticed that the store was restored from a copy.
/// The configuration is applied last: without the other records a router must serve nobody.
fn apply_update(control: &Rc<Control>, subscription: &mut Subscription, update: Update) {
    if !subscription.continue_from(update.as_of) {
        return;
    }
    let mut view = View {
        as_of: update.as_of,
        halls: update.halls,
    };
    // This router's next read applies to the halls as of the place from which it reads on, whatever view is in force.
    if control.halls_in_store.borrow().is_older(&view) {
        control.halls_in_store.replace(view.clone());
    }
    let known = control.evacuations.borrow().clone();
    if known.is_none_or(|known| known.is_older(&view)) {
        let retained = control.halls_retained.borrow();
        view.halls
            .extend(retained.active_at(control.now()).cloned());
        drop(retained);
        evacuations::set(control, view, "feed");
    }
    rollouts::merge(control, &update.rollouts);
    if let Some(config) = update.config {
        apply::config(control, &Bytes::from(config), "feed");
    }
    control.operators_as_of.set(subscription.next);
}
