//! Forwards a stream of events from a target to a caller.
//!
//! Complete events are forwarded as they arrive. An interrupted stream is resumed at another target after its last
//! event, if the rules of [`retry`](super::decision::retry) allow another attempt. The caller gets only the head of
//! the first target's response.
//!
//! A task of its own reads each stream, one step ahead of the caller at most. So the deadline also holds for a caller
//! that reads nothing, whose connection asks for no more of the body.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::Attempt;
use super::body::{self, Body, Truncated};
use super::deadline::Deadline;
use super::decision::retry::Failure;
use super::dialect::Reply;
use super::exchange::{
    Exchange, FailedAttempt, Refused, TargetResponse, answered_outcome, caller_response, failed,
};
use super::headers;
use super::held;
use super::proxy;
use super::relay::{Link, Relay};
use super::sse::Events;
use crate::net;
use crate::units::Tokens;

/// A stream in progress. If it is dropped before its end, its caller has disconnected.
pub(super) struct Stream {
    exchange: Exchange,
    upstream: Option<Upstream>,
    events: Events,
    /// The first events, which were awaited before the head was forwarded.
    first_events: Option<Bytes>,
}

/// The target's side of a stream.
struct Upstream {
    attempt: Attempt,
    link: Link,
    incoming: Incoming,
    reply: Reply,
    attempted_at: Instant,
    /// Whether the body is framed by a length or by chunks, so that the end of the connection does not mark its end.
    is_framed: bool,
    /// When the first events arrived, and their number; `None` if the stream is resumed here.
    first_events: Option<(Instant, u64)>,
    held: Arc<held::Account>,
    /// For an event that is longer than most, while it arrives.
    reservation: Option<net::Reservation>,
}

/// Items that are read before the caller takes them.
const STEPS_AHEAD: usize = 1;

/// What the caller's body gets next; `None` at the end of the stream.
type Item = Option<Result<Bytes, Truncated>>;

/// The caller's body. It is broken off if its sender ends without telling that the stream has ended.
fn downstream(receiver: mpsc::Receiver<Item>) -> Body {
    let items = stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Some(Ok(bytes))) => Some((Ok(bytes), Some(receiver))),
            Some(Some(Err(Truncated))) | None => Some((Err(Truncated), None)),
            Some(None) => None,
        }
    });
    body::stream(items)
}

/// The next item of a target's stream.
enum Step {
    /// Complete events.
    Events(Bytes),
    /// The end of the stream, with the bytes after the last complete event.
    End(Bytes),
    /// The stream was interrupted.
    Interrupted(Failure),
}

impl Stream {
    /// Waits for the first event. If the attempt fails before it, the caller of this function may try another target.
    ///
    /// # Errors
    /// The exchange, and the attempt that failed.
    pub(super) async fn start(
        exchange: Exchange,
        mut response: TargetResponse,
    ) -> Result<Response<Body>, (Box<Exchange>, FailedAttempt)> {
        let is_unframed = proxy::take_unframed(&mut response.parts.headers);
        let parts = response.parts.clone();
        let held = Arc::clone(&exchange.relay.held);
        let mut upstream = Upstream::new(response, is_unframed, held);
        let mut events = Events::default();
        let first_events = match upstream.next(&mut events, &exchange.deadline).await {
            Step::Events(bytes) => bytes,
            Step::End(partial) => {
                let mut stream = Self {
                    exchange,
                    upstream: Some(upstream),
                    events,
                    first_events: None,
                };
                stream.finish();
                return Ok(caller_response(
                    parts,
                    body::stream(stream::iter([Ok(partial)])),
                ));
            }
            Step::Interrupted(failure) => {
                return Err((Box::new(exchange), failed(upstream.attempt, failure)));
            }
        };
        let elapsed = exchange.started.elapsed();
        exchange.relay.shared.metrics.first_byte.record(elapsed);
        tracing::info!(
            event = "stream_started",
            id = %exchange.request.id,
            instance = %upstream.attempt.placement().instance,
            version = upstream.attempt.placement().version,
            ms = elapsed.as_millis() as u64
        );
        upstream.attempt.report_first_event();
        upstream.note_first_events(events.count());
        upstream.attempt.note_delivery_started();
        let stream = Self {
            exchange,
            upstream: Some(upstream),
            events,
            first_events: Some(first_events),
        };
        let (sender, receiver) = mpsc::channel(STEPS_AHEAD);
        tokio::spawn(stream.pump(sender));
        Ok(caller_response(parts, downstream(receiver)))
    }

    /// Passes the events to the caller's body as it takes them, until the stream ends, the caller disconnects, or the
    /// deadline expires while the caller reads nothing.
    async fn pump(mut self, sender: mpsc::Sender<Item>) {
        loop {
            let permit = match self.exchange.deadline.within(sender.reserve()).await {
                Ok(Ok(permit)) => permit,
                Ok(Err(_)) => return,
                Err(expiry) => {
                    tracing::info!(
                        event = "caller_not_reading",
                        id = %self.exchange.request.id,
                        ?expiry,
                        events = self.events.count()
                    );
                    return;
                }
            };
            let item = tokio::select! {
                item = self.next() => item,
                () = sender.closed() => return,
            };
            let is_last = !matches!(item, Some(Ok(_)));
            permit.send(item);
            if is_last {
                return;
            }
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if let Some(first_events) = self.first_events.take() {
            return Some(Ok(first_events));
        }
        loop {
            let upstream = self.upstream.as_mut()?;
            match upstream
                .next(&mut self.events, &self.exchange.deadline)
                .await
            {
                Step::Events(bytes) => return Some(Ok(bytes)),
                Step::End(partial) => {
                    self.finish();
                    return (!partial.is_empty()).then_some(Ok(partial));
                }
                Step::Interrupted(failure) => {
                    if !self.resume(failure).await {
                        return Some(Err(Truncated));
                    }
                }
            }
        }
    }

    /// Resumes the stream at another target after its last event; returns whether it was resumed.
    async fn resume(&mut self, failure: Failure) -> bool {
        let Some(upstream) = self.upstream.take() else {
            return false;
        };
        let attempt = upstream.close();
        self.events.discard_partial();
        match self.reopen(failed(attempt, failure)).await {
            Ok(mut response) => {
                self.exchange.relay.shared.metrics.resumed.add(1);
                let after = self.events.last_id();
                let placement = response.attempt.placement();
                tracing::info!(
                    event = "stream_resumed",
                    id = %self.exchange.request.id,
                    instance = %placement.instance,
                    version = placement.version,
                    after
                );
                let is_unframed = proxy::take_unframed(&mut response.parts.headers);
                let held = Arc::clone(&self.exchange.relay.held);
                self.upstream = Some(Upstream::new(response, is_unframed, held));
                true
            }
            Err(refused) => {
                self.exchange.relay.shared.metrics.broken.add(1);
                tracing::info!(
                    event = "stream_broken",
                    id = %self.exchange.request.id,
                    ?failure,
                    reason = refused.reason.as_str(),
                    events = self.events.count(),
                    ms = self.exchange.started.elapsed().as_millis() as u64
                );
                false
            }
        }
    }

    /// Tries further targets for the rest of the stream until one responds with success.
    async fn reopen(&mut self, failed_attempt: FailedAttempt) -> Result<TargetResponse, Refused> {
        let mut attempt = self.exchange.retry(failed_attempt).await?;
        if let Some(last) = self.events.last_id() {
            self.exchange.request.last_event = Some(last.to_owned());
        }
        loop {
            let failed_attempt = match self.exchange.attempt(attempt).await {
                Ok(response) if response.parts.status.is_success() => return Ok(response),
                Ok(response) => failed(response.attempt, Failure::BrokenOff),
                Err(failed_attempt) => failed_attempt,
            };
            attempt = self.exchange.retry(failed_attempt).await?;
        }
    }

    fn finish(&mut self) {
        let Some(mut upstream) = self.upstream.take() else {
            return;
        };
        let exchange = &self.exchange;
        let metrics = &exchange.relay.shared.metrics;
        metrics.answered.add(1);
        metrics.events.add(self.events.count());
        tracing::info!(
            event = "answered",
            id = %exchange.request.id,
            events = self.events.count(),
            ms = exchange.started.elapsed().as_millis() as u64
        );
        let tokens = Tokens(self.events.count() * exchange.event_tokens);
        upstream.attempt.note_delivered(tokens);
        upstream.note_last_event(self.events.count());
        let outcome = answered_outcome(upstream.attempted_at);
        upstream.attempt.end(Some(outcome));
        if upstream.is_framed {
            let relay = &exchange.relay;
            relay.store(upstream.link, Relay::reusable_for(&upstream.reply));
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.upstream.is_some() {
            self.exchange.relay.shared.metrics.cancelled.add(1);
            tracing::info!(
                event = "cancelled",
                id = %self.exchange.request.id,
                events = self.events.count(),
                ms = self.exchange.started.elapsed().as_millis() as u64
            );
        }
    }
}

impl Upstream {
    /// `is_unframed` tells that the target has not framed a response that another router passes back.
    fn new(response: TargetResponse, is_unframed: bool, held: Arc<held::Account>) -> Self {
        let is_framed = !is_unframed && headers::is_framed(&response.parts);
        Self {
            attempt: response.attempt,
            link: response.link,
            incoming: response.incoming,
            reply: response.reply,
            attempted_at: response.attempted_at,
            is_framed,
            first_events: None,
            held,
            reservation: None,
        }
    }

    /// Records that the first events have arrived.
    fn note_first_events(&mut self, count: u64) {
        self.first_events = Some((Instant::now(), count));
    }

    /// Records that the stream has ended, with its number of events.
    fn note_last_event(&mut self, count: u64) {
        if let Some((at, before)) = self.first_events {
            self.attempt
                .note_events(at.elapsed(), count.saturating_sub(before));
        }
    }

    /// Closes the connection, so that this target stops before another one resumes the stream.
    fn close(self) -> Attempt {
        drop(self.incoming);
        drop(self.link);
        self.attempt
    }

    async fn next(&mut self, events: &mut Events, deadline: &Deadline) -> Step {
        loop {
            if let Err(failure) = self.make_room(events.partial_len(), deadline).await {
                return Step::Interrupted(failure);
            }
            let frame = self.attempt.until_ended(self.incoming.frame());
            let frame = match deadline.within(frame).await {
                Err(expiry) => return Step::Interrupted(Failure::expired_after_send(expiry)),
                Ok(Some(Some(Err(_)))) => return Step::Interrupted(Failure::BrokenOff),
                Ok(None) => return Step::Interrupted(Failure::Ended),
                Ok(Some(None)) => return self.end(events),
                Ok(Some(Some(Ok(frame)))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let complete = events.push(&data);
            if events.is_endless() {
                return Step::Interrupted(Failure::BrokenOff);
            }
            if !complete.is_empty() {
                return Step::Events(complete);
            }
        }
    }

    /// Waits for memory for an event that is longer than most, of which a part of this length has arrived.
    async fn make_room(&mut self, partial: usize, deadline: &Deadline) -> Result<(), Failure> {
        if partial <= net::UNRESERVED_MAX {
            self.reservation = None;
            return Ok(());
        }
        let reserved = self.reservation.as_ref().map(net::Reservation::size);
        if reserved.is_none_or(|size| size < partial) {
            let reserving = deadline.within(self.held.arriving().reserve(partial));
            let larger = reserving.await.map_err(Failure::expired_after_send)?;
            self.reservation = Some(larger);
        }
        Ok(())
    }

    /// Handles the end of the body. An end within an event counts as an interruption unless the body is framed.
    fn end(&self, events: &mut Events) -> Step {
        if events.has_partial() && !self.is_framed {
            return Step::Interrupted(Failure::BrokenOff);
        }
        Step::End(events.take_partial())
    }
}
