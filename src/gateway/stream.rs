//! A stream of events on its way from a target to a caller.
//!
//! Complete events are passed on as they come. A stream that breaks off is resumed at another target
//! after its last event, where the rules of [`retry`](super::decision::retry) allow an attempt; the
//! caller sees the first target's head throughout.

use bytes::Bytes;
use futures::stream;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::Attempt;
use super::body::{self, Body, Broken};
use super::deadline::Deadline;
use super::decision::refusal::Reason;
use super::decision::retry::Failure;
use super::dialect::Reply;
use super::exchange::{Answer, Exchange, Failed, answered, failed, respond};
use super::sse::Events;
use crate::net::Connection;
use crate::units::Tokens;

/// A stream under way. Dropped before its end, its caller has left.
pub(super) struct Stream {
    exchange: Exchange,
    upstream: Option<Upstream>,
    events: Events,
    /// The first events, which were waited for before the head was passed on.
    first: Option<Bytes>,
}

/// The target's side.
struct Upstream {
    attempt: Attempt,
    connection: Connection,
    incoming: Incoming,
    reply: Reply,
    attempted_at: Instant,
    /// Whether the body's end is marked otherwise than by the end of the connection.
    is_framed: bool,
}

/// What a target sends next.
enum Step {
    /// Complete events.
    Events(Bytes),
    /// The end, with what came after the last complete event.
    End(Bytes),
    /// It broke off.
    Broken(Failure),
}

impl Stream {
    /// Waits for the first event; until then another target may be tried.
    ///
    /// # Errors
    /// The exchange, and the attempt that failed.
    pub(super) async fn start(
        exchange: Exchange,
        answer: Answer,
    ) -> Result<Response<Body>, (Box<Exchange>, Failed)> {
        let parts = answer.parts.clone();
        let mut upstream = Upstream::new(answer);
        let mut events = Events::default();
        let first = match upstream.next(&mut events, &exchange.deadline).await {
            Step::Events(bytes) => bytes,
            Step::End(rest) => {
                let mut stream = Self {
                    exchange,
                    upstream: Some(upstream),
                    events,
                    first: None,
                };
                stream.finish();
                return Ok(respond(parts, body::stream(stream::iter([Ok(rest)]))));
            }
            Step::Broken(failure) => {
                return Err((Box::new(exchange), failed(upstream.attempt, failure)));
            }
        };
        let elapsed = exchange.started.elapsed();
        exchange.relay.shared.metrics.first_byte.record(elapsed);
        tracing::info!(
            event = "stream_started",
            id = %exchange.request.id,
            instance = %upstream.attempt.placement().instance,
            ms = elapsed.as_millis() as u64
        );
        upstream.attempt.deliver_some();
        let stream = Self {
            exchange,
            upstream: Some(upstream),
            events,
            first: Some(first),
        };
        let body = stream::unfold(stream, |mut stream| async move {
            let item = stream.next().await?;
            Some((item, stream))
        });
        Ok(respond(parts, body::stream(body)))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            let upstream = self.upstream.as_mut()?;
            match upstream
                .next(&mut self.events, &self.exchange.deadline)
                .await
            {
                Step::Events(bytes) => return Some(Ok(bytes)),
                Step::End(rest) => {
                    self.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Step::Broken(failure) => {
                    if !self.resume(failure).await {
                        return Some(Err(Broken));
                    }
                }
            }
        }
    }

    /// Resumes the stream at another target after its last event; whether that worked.
    async fn resume(&mut self, failure: Failure) -> bool {
        let Some(upstream) = self.upstream.take() else {
            return false;
        };
        let attempt = upstream.close();
        self.events.drop_rest();
        match self.reopen(failed(attempt, failure)).await {
            Ok(answer) => {
                self.exchange.relay.shared.metrics.resumed.add(1);
                let after = self.events.last_id();
                tracing::info!(event = "stream_resumed", id = %self.exchange.request.id, ?after);
                self.upstream = Some(Upstream::new(answer));
                true
            }
            Err(reason) => {
                self.exchange.relay.shared.metrics.broken.add(1);
                tracing::info!(
                    event = "stream_broken",
                    id = %self.exchange.request.id,
                    ?failure,
                    reason = reason.as_str(),
                    events = self.events.count(),
                    ms = self.exchange.started.elapsed().as_millis() as u64
                );
                false
            }
        }
    }

    /// Asks further targets for the rest of the stream until one answers.
    async fn reopen(&mut self, failed_attempt: Failed) -> Result<Answer, Reason> {
        let mut attempt = self.exchange.retry(failed_attempt).await?;
        if let Some(last) = self.events.last_id() {
            self.exchange.request.last_event = Some(last.to_owned());
        }
        loop {
            let failed_attempt = match self.exchange.attempt(attempt).await {
                Ok(answer) if answer.parts.status.is_success() => return Ok(answer),
                Ok(answer) => failed(answer.attempt, Failure::BrokenOff),
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
        let address = upstream.attempt.placement().address;
        let tokens = Tokens(self.events.count() * exchange.event_tokens);
        upstream.attempt.deliver_all(tokens);
        let outcome = answered(upstream.attempted_at);
        upstream.attempt.end(Some(outcome));
        if upstream.is_framed {
            let relay = &exchange.relay;
            relay.keep(address, upstream.connection, &upstream.reply);
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
    fn new(answer: Answer) -> Self {
        let headers = &answer.parts.headers;
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            attempt: answer.attempt,
            connection: answer.connection,
            incoming: answer.incoming,
            reply: answer.reply,
            attempted_at: answer.attempted_at,
            is_framed,
        }
    }

    /// Closes the connection, so that the target stops before another one goes on.
    fn close(self) -> Attempt {
        drop(self.incoming);
        drop(self.connection);
        self.attempt
    }

    async fn next(&mut self, events: &mut Events, deadline: &Deadline) -> Step {
        loop {
            let frame = self.attempt.until_ended(self.incoming.frame());
            let frame = match deadline.within(frame).await {
                Err(over) => return Step::Broken(Failure::expired_after_send(over)),
                Ok(None | Some(Some(Err(_)))) => return Step::Broken(Failure::BrokenOff),
                Ok(Some(None)) => return self.end(events),
                Ok(Some(Some(Ok(frame)))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let complete = events.push(&data);
            if events.is_overlong() {
                return Step::Broken(Failure::BrokenOff);
            }
            if !complete.is_empty() {
                return Step::Events(complete);
            }
        }
    }

    /// An end in the midst of an event is none, unless the target marked it as one.
    fn end(&self, events: &mut Events) -> Step {
        if events.has_rest() && !self.is_framed {
            return Step::Broken(Failure::BrokenOff);
        }
        Step::End(events.take_rest())
    }
}
