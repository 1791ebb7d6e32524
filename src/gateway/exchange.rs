//! A request on its way: where it is tried, what follows a try without an answer, and the answer.
//!
//! Only a try that has not reached a target, that the target says it has not run, or that may be
//! repeated is followed by another.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::attempt::Ticket;
use super::body::{self, Body};
use super::dialect::{Ask, Order, Told};
use super::failure::{Failure, Verdict};
use super::relay::{Relay, remove_hop_headers};
use super::reply::Reason;
use super::shared::Active;
use super::state::{Arrival, Job, Refusal};
use super::stream::Flow;
use crate::ejection::Outcome;
use crate::gateway::route::{Config, Kind, Route};
use crate::net::{self, Line};
use crate::units::Millis;

/// Targets that are tried in vain, without a connection, before a request is given up.
const UNREACHED_MAX: u32 = 3;
/// A grant is waited for during this part of the goal.
const GRANT_WAIT_SHARE: u32 = 5;
/// Longest plain answer that is kept whole before it is passed on, in bytes.
const ANSWER_MAX: usize = 8 << 20;
/// What a target is told to take less than is left, for the way back.
const WAY_BACK: Duration = Duration::from_millis(4);

/// A request that was admitted.
pub(super) struct Exchange {
    pub(super) relay: Arc<Relay>,
    pub(super) config: Arc<Config>,
    pub(super) route: Route,
    pub(super) ask: Ask,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) stride: u64,
    pub(super) customer: Option<String>,
    pub(super) rank: u8,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) sent: u32,
    pub(super) unreached: u32,
    /// Whether a try may have run, so that no refusal promises the contrary.
    pub(super) may_have_run: bool,
    pub(super) _active: Active,
}

/// A target's answer whose body is still to come.
pub(super) struct Answer {
    pub(super) ticket: Ticket,
    pub(super) line: Line,
    pub(super) parts: http::response::Parts,
    pub(super) incoming: Incoming,
    pub(super) told: Told,
    pub(super) tried_at: Instant,
}

/// A whole plain answer.
struct Whole {
    parts: http::response::Parts,
    body: Bytes,
}

impl Exchange {
    fn job(&self) -> Job {
        let services = self.route.backends.iter();
        let services = services.map(|backend| {
            let service = self.config.service(backend.service);
            (service.name.clone(), backend.weight)
        });
        let prepaid = self.customer.as_ref().and_then(|name| {
            let customer = self.config.customer(name)?;
            Some((name.clone(), customer.prepaid?))
        });
        Job {
            id: self.ask.id.clone(),
            services: services.collect(),
            prompt: self.ask.prompt.clone(),
            payer: prepaid.filter(|_| self.ask.prompt.is_some()),
        }
    }

    /// Answers the caller, or gives the reason why not.
    pub(super) async fn run(mut self) -> Result<Response<Body>, Reason> {
        let goal = Duration::from_millis(self.route.goal.0);
        let ticket = self
            .relay
            .desk
            .begin(self.job(), goal / GRANT_WAIT_SHARE)
            .await;
        let mut ticket = ticket.map_err(Reason::Refused)?;
        loop {
            let answer = match self.attempt(ticket).await {
                Ok(answer) => answer,
                Err(failure) => {
                    ticket = self.next(failure).await?;
                    continue;
                }
            };
            if self.route.kind.is_stream() && answer.parts.status.is_success() {
                match Flow::start(self, answer).await {
                    Ok(response) => return Ok(response),
                    Err((exchange, failure)) => {
                        self = *exchange;
                        ticket = self.next(failure).await?;
                        continue;
                    }
                }
            }
            match self.collect(answer).await {
                Ok(response) => return Ok(response),
                Err(failure) => ticket = self.next(failure).await?,
            }
        }
    }

    /// Goes on after a try without an answer, or gives the reason why not.
    pub(super) async fn next(&mut self, failure: Failure) -> Result<Ticket, Reason> {
        self.may_have_run |= failure.verdict == Verdict::MayHaveRun;
        let reason = match failure.reason {
            Reason::TargetRefused | Reason::Unreachable | Reason::Late if self.may_have_run => {
                Reason::BrokenOff
            }
            reason => reason,
        };
        tracing::info!(
            event = "try_failed",
            id = %self.ask.id,
            instance = %failure.ticket.go().instance,
            reason = reason.word(),
            tries = self.sent,
            ms = self.started.elapsed().as_millis() as u64
        );
        let may_repeat = match failure.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.route.kind.may_repeat(),
        };
        let is_left = self.sent < self.route.attempts && self.unreached < UNREACHED_MAX;
        let in_time = Instant::now() < self.deadline && reason != Reason::TimedOut;
        if !may_repeat || !is_left || !in_time {
            failure.end();
            return Err(reason);
        }
        let next = failure.ticket.again(failure.outcome, failure.arrival).await;
        next.map_err(|refusal| match refusal {
            Refusal::NoTarget | Refusal::NoRepeats => reason,
            _ if self.may_have_run => Reason::BrokenOff,
            other => Reason::Refused(other),
        })
        .inspect(|_| self.relay.shared.metrics.repeats.add(1))
    }

    /// Tries one target.
    pub(super) async fn attempt(&mut self, ticket: Ticket) -> Result<Answer, Failure> {
        let address = ticket.go().address;
        let tried_at = Instant::now();
        let Some(mut line) = self.relay.connect(address, self.deadline).await else {
            self.unreached += 1;
            return Err(Failure::unreached(ticket));
        };
        if Instant::now() >= self.deadline {
            return Err(Failure::late(ticket));
        }
        self.sent += 1;
        let request = self.request(&ticket);
        tracing::info!(
            event = "sent",
            id = %self.ask.id,
            route = %self.route.name,
            config = self.config.version,
            instance = %ticket.go().instance,
            tries = self.sent,
            left_ms = self.left().as_millis() as u64
        );
        self.send(ticket, &mut line, request)
            .await
            .map(|(ticket, response, told)| {
                let (parts, incoming) = response.into_parts();
                Answer {
                    ticket,
                    line,
                    parts,
                    incoming,
                    told,
                    tried_at,
                }
            })
    }

    async fn send(
        &mut self,
        ticket: Ticket,
        line: &mut Line,
        request: net::Request,
    ) -> Result<(Ticket, net::Response, Told), Failure> {
        let sent = timeout_at(self.deadline, line.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.was_not_sent => {
                // A resting connection had gone: nothing was written.
                self.sent -= 1;
                self.unreached += 1;
                return Err(Failure::gone_before_use(ticket));
            }
            Ok(Err(_)) => return Err(Failure::broken(ticket, Reason::BrokenOff)),
            Err(_) => return Err(Failure::broken(ticket, Reason::TimedOut)),
        };
        let told = self
            .relay
            .dialect
            .told(response.status().as_u16(), response.headers());
        if told.not_run {
            return Err(Failure::refused(ticket, &told));
        }
        let is_ours = told.id.as_deref() == Some(self.ask.id.as_str());
        if !is_ours || (response.status().is_success() && !told.is_signed) {
            tracing::warn!(event = "foreign_answer", id = %self.ask.id, told = ?told.id);
            return Err(Failure::broken(ticket, Reason::BrokenOff));
        }
        ticket.answered(told.load);
        Ok((ticket, response, told))
    }

    /// The request as the target gets it.
    pub(super) fn request(&self, ticket: &Ticket) -> net::Request {
        let left = self.left().saturating_sub(WAY_BACK);
        let mut headers = self.headers.clone();
        self.relay.dialect.order(
            &mut headers,
            &Order {
                deadline: Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1)),
                instance: &ticket.go().instance,
                customer: self.customer.as_deref(),
                rank: self.ask.prompt.as_ref().map(|_| self.rank),
                last_event: self.ask.last_event.as_deref(),
            },
        );
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = headers;
        request
    }

    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Resends a stream that may be resumed, after its last event.
    pub(super) async fn resume(
        &mut self,
        failure: Failure,
        last_event: Option<&str>,
    ) -> Result<Answer, Reason> {
        let mut ticket = self.next(failure).await?;
        if let Some(last) = last_event {
            self.ask.last_event = Some(last.to_owned());
        }
        loop {
            match self.attempt(ticket).await {
                Ok(answer) if answer.parts.status.is_success() => return Ok(answer),
                Ok(answer) => {
                    let failure = Failure::broken(answer.ticket, Reason::BrokenOff);
                    ticket = self.next(failure).await?;
                }
                Err(failure) => ticket = self.next(failure).await?,
            }
        }
    }

    /// Takes a plain answer whole before it is passed on, so that one that breaks off is not
    /// passed on at all.
    async fn collect(&mut self, answer: Answer) -> Result<Response<Body>, Failure> {
        let Answer {
            mut ticket,
            line,
            parts,
            incoming,
            told,
            tried_at,
        } = answer;
        let body = timeout_at(self.deadline, Limited::new(incoming, ANSWER_MAX).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(Failure::broken(ticket, Reason::BrokenOff)),
            Err(_) => return Err(Failure::broken(ticket, Reason::TimedOut)),
        };
        let address = ticket.go().address;
        self.relay.rest(address, line, &told);
        let is_failure = parts.status.is_server_error();
        let whole = Whole { parts, body };
        let outcome = Some(outcome(is_failure, tried_at));
        ticket.hand_out();
        if is_failure && self.may_try_again() {
            let again = ticket.again(outcome, Arrival::Yes).await;
            let Ok(ticket) = again else {
                return Ok(self.pass(whole));
            };
            self.relay.shared.metrics.repeats.add(1);
            return match Box::pin(self.second(ticket)).await {
                Some(response) => Ok(response),
                None => Ok(self.pass(whole)),
            };
        }
        ticket.end(outcome);
        Ok(self.pass(whole))
    }

    fn may_try_again(&self) -> bool {
        self.route.kind == Kind::Repeatable
            && self.sent < self.route.attempts
            && Instant::now() < self.deadline
    }

    /// Tries once more after a failure that could be passed on.
    async fn second(&mut self, ticket: Ticket) -> Option<Response<Body>> {
        match self.attempt(ticket).await {
            Ok(answer) => match self.collect(answer).await {
                Ok(response) => Some(response),
                Err(failure) => {
                    failure.end();
                    None
                }
            },
            Err(failure) => {
                failure.end();
                None
            }
        }
    }

    fn pass(&self, whole: Whole) -> Response<Body> {
        let elapsed = self.started.elapsed();
        let metrics = &self.relay.shared.metrics;
        metrics.answered.add(1);
        metrics.plain.note(elapsed);
        tracing::info!(
            event = "answered",
            id = %self.ask.id,
            status = whole.parts.status.as_u16(),
            bytes = whole.body.len(),
            tries = self.sent,
            ms = elapsed.as_millis() as u64
        );
        let mut parts = whole.parts;
        remove_hop_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let mut response = Response::from_parts(parts, Body::whole(whole.body));
        *response.version_mut() = http::Version::HTTP_11;
        response
    }
}

/// How a target is judged by an answer.
pub(super) fn outcome(is_failure: bool, tried_at: Instant) -> Outcome {
    if is_failure {
        return Outcome::Failed;
    }
    let whole = Millis(u64::try_from(tried_at.elapsed().as_millis()).unwrap_or(u64::MAX));
    Outcome::Answered { whole }
}

/// The answer for a stream that has begun.
pub(super) fn streamed(
    mut parts: http::response::Parts,
    flow: impl futures::Stream<Item = Result<Bytes, body::Broken>> + Send + 'static,
) -> Response<Body> {
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, body::stream(flow))
}
