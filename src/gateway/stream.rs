//! A stream of events on its way from a target to a caller.
//!
//! Whole events are passed on as they come. A stream that breaks off is taken up at another target
//! after its last event, where its route allows that; the answer keeps its first head.

use bytes::Bytes;
use futures::stream;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::attempt::Ticket;
use super::body::{Body, Broken};
use super::dialect::Told;
use super::exchange::{Answer, Exchange, outcome, streamed};
use super::failure::Failure;
use super::reply::Reason;
use super::sse::Events;
use crate::net::Line;
use crate::units::Tokens;

/// A stream under way.
pub(super) struct Flow {
    exchange: Exchange,
    source: Option<Source>,
    events: Events,
    first: Option<Bytes>,
}

/// Where it comes from.
struct Source {
    ticket: Ticket,
    line: Line,
    incoming: Incoming,
    told: Told,
    tried_at: Instant,
    /// Whether its end is marked otherwise than by the end of the connection.
    is_framed: bool,
}

/// What came next.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end, with what was left.
    End(Bytes),
    /// It broke off.
    Broken(Reason),
}

impl Flow {
    /// Waits for the first event; before that, another target may be tried.
    pub(super) async fn start(
        exchange: Exchange,
        answer: Answer,
    ) -> Result<Response<Body>, (Box<Exchange>, Failure)> {
        let parts = answer.parts.clone();
        let mut source = Source::new(answer);
        let mut events = Events::default();
        let next = source.next(&mut events, exchange.deadline).await;
        let first = match next {
            Next::Events(bytes) => bytes,
            Next::End(rest) => {
                let mut flow = Self {
                    exchange,
                    source: Some(source),
                    events,
                    first: None,
                };
                flow.finish();
                return Ok(streamed(parts, stream::iter([Ok(rest)])));
            }
            Next::Broken(reason) => {
                return Err((Box::new(exchange), Failure::broken(source.ticket, reason)));
            }
        };
        let elapsed = exchange.started.elapsed();
        exchange.relay.shared.metrics.first_byte.note(elapsed);
        tracing::info!(
            event = "streaming",
            id = %exchange.ask.id,
            instance = %source.ticket.go().instance,
            ms = elapsed.as_millis() as u64
        );
        source.ticket.hand_out();
        let flow = Self {
            exchange,
            source: Some(source),
            events,
            first: Some(first),
        };
        let body = stream::unfold(flow, |mut flow| async move {
            let item = flow.next().await?;
            Some((item, flow))
        });
        Ok(streamed(parts, body))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            let source = self.source.as_mut()?;
            match source.next(&mut self.events, self.exchange.deadline).await {
                Next::Events(bytes) => return Some(Ok(bytes)),
                Next::End(rest) => {
                    self.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Next::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(Broken));
                    }
                }
            }
        }
    }

    /// Takes the stream up at another target. Whether that worked is returned.
    async fn resume(&mut self, reason: Reason) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        // The connection is closed first, so that the former target stops.
        let Source {
            ticket,
            line,
            incoming,
            ..
        } = source;
        drop(incoming);
        drop(line);
        self.events.drop_rest();
        let failure = Failure::broken(ticket, reason);
        let last = self.events.last_id().map(str::to_owned);
        match self.exchange.resume(failure, last.as_deref()).await {
            Ok(answer) => {
                self.exchange.relay.shared.metrics.resumed.add(1);
                tracing::info!(event = "resumed", id = %self.exchange.ask.id, after = ?last);
                self.source = Some(Source::new(answer));
                true
            }
            Err(last_reason) => {
                self.exchange.relay.shared.metrics.broken.add(1);
                tracing::info!(
                    event = "broken_off",
                    id = %self.exchange.ask.id,
                    reason = reason.word(),
                    then = last_reason.word(),
                    events = self.events.count(),
                    ms = self.exchange.started.elapsed().as_millis() as u64
                );
                false
            }
        }
    }

    fn finish(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        let exchange = &self.exchange;
        let metrics = &exchange.relay.shared.metrics;
        metrics.answered.add(1);
        metrics.events.add(self.events.count());
        tracing::info!(
            event = "answered",
            id = %exchange.ask.id,
            events = self.events.count(),
            ms = exchange.started.elapsed().as_millis() as u64
        );
        let address = source.ticket.go().address;
        let out = Tokens(self.events.count() * exchange.stride);
        source.ticket.handed_out(out);
        source.ticket.end(Some(outcome(false, source.tried_at)));
        if source.is_framed {
            exchange.relay.rest(address, source.line, &source.told);
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if self.source.is_some() {
            self.exchange.relay.shared.metrics.cancelled.add(1);
            tracing::info!(
                event = "cancelled",
                id = %self.exchange.ask.id,
                events = self.events.count(),
                ms = self.exchange.started.elapsed().as_millis() as u64
            );
        }
    }
}

impl Source {
    fn new(answer: Answer) -> Self {
        let headers = &answer.parts.headers;
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            ticket: answer.ticket,
            line: answer.line,
            incoming: answer.incoming,
            told: answer.told,
            tried_at: answer.tried_at,
            is_framed,
        }
    }

    async fn next(&mut self, events: &mut Events, deadline: Instant) -> Next {
        loop {
            let frame = match timeout_at(deadline, self.incoming.frame()).await {
                Err(_) => return Next::Broken(Reason::TimedOut),
                Ok(Some(Err(_))) => return Next::Broken(Reason::BrokenOff),
                Ok(None) => return self.end(events),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let whole = events.push(&data);
            if events.is_overlong() {
                return Next::Broken(Reason::BrokenOff);
            }
            if !whole.is_empty() {
                return Next::Events(whole);
            }
        }
    }

    /// An end in the middle of an event is no end, unless the target marked it as one.
    fn end(&self, events: &mut Events) -> Next {
        if events.has_rest() && !self.is_framed {
            return Next::Broken(Reason::BrokenOff);
        }
        Next::End(events.take_rest())
    }
}
