//! One request on its way through targets: each attempt, its judgement, and a plain answer.
//!
//! The exchange owns the request's body, its clock and its history of attempts. Whether there is
//! another attempt is decided in [`retry`]; what a caller is told without one, in
//! [`refusal`](super::decision::refusal).

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::Attempt;
use super::body::{self, Body};
use super::deadline::Deadline;
use super::decision::admission;
use super::decision::refusal::Reason;
use super::decision::retry::{self, Decision, Failure, History, Verdict};
use super::dialect::{self, BadForward, Forward};
use super::fingerprint::Fingerprint;
use super::headers;
use super::incarnation;
use super::job::Job;
use super::relay::Relay;
use super::route::{Config, Route};
use super::shared::ActiveRequest;
use crate::ejection::Outcome;
use crate::net::{self, Connection};
use crate::units::Millis;

/// Longest plain answer, in bytes: it is read completely before it is passed on.
const ANSWER_MAX: usize = 8 << 20;
/// What a target is given less than the time that is left, so that its answer is back in time. A few times the way
/// between two halls.
const RETURN_TIME: Duration = Duration::from_millis(4);

/// A request that was let in.
pub(super) struct Exchange {
    pub(super) relay: Arc<Relay>,
    pub(super) config: Arc<Config>,
    pub(super) route: Route,
    pub(super) request: dialect::Request,
    pub(super) started: Instant,
    pub(super) deadline: Deadline,
    /// Most tokens that one event of its stream stands for.
    pub(super) event_tokens: u64,
    pub(super) customer: Option<String>,
    pub(super) rank: u8,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) fingerprint: Fingerprint,
    /// Attempts that were sent to a target.
    pub(super) sent: u32,
    /// Attempts that reached no target.
    pub(super) unreached: u32,
    /// Whether any attempt so far may have run.
    pub(super) verdict: Verdict,
    pub(super) _active: ActiveRequest,
}

/// The head of a target's answer; the body is still to come.
pub(super) struct Answer {
    pub(super) attempt: Attempt,
    pub(super) connection: Connection,
    pub(super) parts: http::response::Parts,
    pub(super) incoming: Incoming,
    pub(super) reply: dialect::Reply,
    pub(super) attempted_at: Instant,
}

/// A plain answer that was read to its end.
pub(super) struct Complete {
    pub(super) attempt: Attempt,
    pub(super) answer: Buffered,
    /// The target's, unless it answered with a failure.
    pub(super) outcome: Outcome,
}

/// A plain answer that can be passed on.
pub(super) struct Buffered {
    parts: http::response::Parts,
    body: Bytes,
}

impl Buffered {
    /// Whether the target failed.
    pub(super) fn is_server_error(&self) -> bool {
        self.parts.status.is_server_error()
    }
}

/// An attempt that brought no answer to pass on.
pub(super) struct Failed {
    pub(super) attempt: Attempt,
    pub(super) failure: Failure,
}

impl Failed {
    /// Tells the control thread of a connection that broke off, while the attempt still has its target.
    fn tell_break(&self) {
        if self.failure == Failure::BrokenOff {
            self.attempt.broke_off();
        }
    }

    /// Ends the request with it.
    pub(super) fn end(self) {
        self.tell_break();
        self.attempt.end(self.failure.outcome());
    }
}

impl Exchange {
    /// Starts the first attempt.
    ///
    /// # Errors
    /// Why the request does not run.
    pub(super) async fn begin(&self) -> Result<Attempt, Reason> {
        let wait = admission::grant_wait(self.route.latency_objective);
        let begun = self.relay.controller.begin(self.job(), wait);
        match self.deadline.within(begun).await {
            Ok(begun) => begun.map_err(Reason::Refused),
            Err(over) => Err(Reason::expired_before_send(over)),
        }
    }

    fn job(&self) -> Job {
        let services = self.route.backends.iter().map(|backend| {
            let service = self.config.service(backend.service);
            (service.name.clone(), backend.weight)
        });
        let customer = self.customer.as_ref();
        let customer = customer.and_then(|name| self.config.customer(name));
        Job {
            id: self.request.id.clone(),
            services: services.collect(),
            prompt: self.request.prompt.clone(),
            fingerprint: self.fingerprint,
            payer: admission::payer(customer, self.request.prompt.is_some()),
        }
    }

    /// Sends the request to the target of an attempt, and waits for the head of its answer.
    pub(super) async fn attempt(&mut self, attempt: Attempt) -> Result<Answer, Failed> {
        let attempted_at = Instant::now();
        let address = attempt.placement().address;
        let connected = match self.deadline.within(self.relay.connect(address)).await {
            Ok(connected) => connected,
            Err(over) => return Err(failed(attempt, Failure::expired_before_send(over))),
        };
        let Some(mut connection) = connected else {
            self.unreached += 1;
            return Err(failed(attempt, Failure::Unreachable));
        };
        if let Some(over) = self.deadline.over() {
            return Err(failed(attempt, Failure::expired_before_send(over)));
        }
        let request = match self.forward(&attempt) {
            Ok(request) => request,
            Err(error) => {
                tracing::error!(event = "forward_unwritable", id = %self.request.id, %error);
                self.unreached += 1;
                return Err(failed(attempt, Failure::Unwritable));
            }
        };
        self.sent += 1;
        tracing::info!(
            event = "attempt_sent",
            id = %self.request.id,
            route = %self.route.name,
            config = self.config.version,
            instance = %attempt.placement().instance,
            fingerprint = %self.fingerprint,
            attempts = self.sent,
            left_ms = self.deadline.left().as_millis() as u64
        );
        let (parts, incoming, reply) = match self.send(&attempt, &mut connection, request).await {
            Ok(head) => head,
            Err(failure) => return Err(failed(attempt, failure)),
        };
        Ok(Answer {
            attempt,
            connection,
            parts,
            incoming,
            reply,
            attempted_at,
        })
    }

    async fn send(
        &mut self,
        attempt: &Attempt,
        connection: &mut Connection,
        request: net::Request,
    ) -> Result<(http::response::Parts, Incoming, dialect::Reply), Failure> {
        let sent = attempt.until_ended(connection.send(request));
        let response = match self.deadline.within(sent).await {
            Ok(None) => return Err(Failure::BrokenOff),
            Ok(Some(sent)) => sent,
            Err(over) => return Err(Failure::expired_after_send(over)),
        };
        let response = match response {
            Ok(response) => response,
            Err(error) if error.was_not_sent => {
                self.sent -= 1;
                self.unreached += 1;
                return Err(Failure::IdleClosed);
            }
            Err(_) => return Err(Failure::BrokenOff),
        };
        let (parts, incoming) = response.into_parts();
        let status = parts.status;
        let reply = self
            .relay
            .dialect
            .read_reply(status.as_u16(), &parts.headers);
        let is_ours = reply.id.as_deref() == Some(self.request.id.as_str());
        // A surplus answer to another request may be of long before, and one of another instance says nothing of the
        // one that was meant. Some refusals do not name the request.
        let is_refusal = reply.not_run && reply.id.is_none();
        if !reply.wrong_instance && (is_ours || is_refusal) {
            attempt.heard(reply.notice);
        }
        if reply.not_run {
            if reply.load.is_some() {
                attempt.answered(reply.load);
            }
            return Err(if reply.wrong_instance {
                Failure::WrongInstance
            } else if matches!(reply.notice.rest, Ok(Some(_))) {
                Failure::AskedRest
            } else {
                Failure::Refused
            });
        }
        if !is_ours || (status.is_success() && !reply.is_signed) {
            tracing::warn!(event = "foreign_answer", id = %self.request.id, answers = ?reply.id);
            return Err(Failure::BrokenOff);
        }
        attempt.answered(reply.load);
        Ok((parts, incoming, reply))
    }

    /// The request as the target of an attempt gets it.
    fn forward(&self, attempt: &Attempt) -> Result<net::Request, BadForward> {
        let left = self.deadline.left().saturating_sub(RETURN_TIME);
        let forward = Forward {
            time_limit: Millis(millis(left).max(1)),
            instance: incarnation::id(&attempt.placement().instance),
            customer: self.customer.as_deref(),
            rank: self.request.prompt.as_ref().map(|_| self.rank),
            last_event: self.request.last_event.as_deref(),
        };
        let mut headers = self.headers.clone();
        self.relay.dialect.write_forward(&mut headers, &forward)?;
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn history(&self) -> History {
        History {
            kind: self.route.kind,
            attempts_max: self.route.attempts,
            sent: self.sent,
            unreached: self.unreached,
            is_expired: self.deadline.over().is_some(),
        }
    }

    /// Starts another attempt after one that failed.
    ///
    /// # Errors
    /// What the caller is told where there is none.
    pub(super) async fn retry(&mut self, failed: Failed) -> Result<Attempt, Reason> {
        let failure = failed.failure;
        if failure.verdict() == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        let reason = Reason::of(failure, self.verdict);
        self.next(failed, reason.as_str()).await.ok_or(reason)
    }

    /// Starts another attempt after a target's own failure, which can be passed on otherwise.
    pub(super) async fn retry_server_error(&mut self, attempt: Attempt) -> Option<Attempt> {
        let failure = Failure::ServerError;
        self.next(failed(attempt, failure), "server_error").await
    }

    /// Starts another attempt, if the rules, the targets and the retry budget allow one.
    async fn next(&mut self, failed: Failed, reason: &'static str) -> Option<Attempt> {
        let decision = retry::decide(failed.failure, &self.history());
        let limit = match decision {
            Decision::Retry => "none",
            Decision::GiveUp(limit) => limit.as_str(),
        };
        tracing::info!(
            event = "attempt_failed",
            id = %self.request.id,
            instance = %failed.attempt.placement().instance,
            fingerprint = %self.fingerprint,
            reason,
            limit,
            attempts = self.sent,
            unreached = self.unreached,
            ms = self.started.elapsed().as_millis() as u64
        );
        if let Decision::GiveUp(_) = decision {
            failed.end();
            return None;
        }
        failed.tell_break();
        let Failed { attempt, failure } = failed;
        match attempt.retry(failure.outcome(), failure.charge()).await {
            Ok(next) => {
                self.relay.shared.metrics.repeats.add(1);
                Some(next)
            }
            Err(refusal) => {
                let reason = Reason::Refused(refusal).as_str();
                tracing::info!(event = "retry_refused", id = %self.request.id, reason);
                None
            }
        }
    }

    /// Reads a plain answer to its end before any of it is passed on, so that one that breaks off is
    /// not passed on at all.
    pub(super) async fn collect(&mut self, answer: Answer) -> Result<Complete, Failed> {
        let Answer {
            mut attempt,
            connection,
            parts,
            incoming,
            reply,
            attempted_at,
        } = answer;
        let collected = attempt.until_ended(Limited::new(incoming, ANSWER_MAX).collect());
        let body = match self.deadline.within(collected).await {
            Ok(Some(Ok(body))) => body.to_bytes(),
            Ok(None | Some(Err(_))) => return Err(failed(attempt, Failure::BrokenOff)),
            Err(over) => return Err(failed(attempt, Failure::expired_after_send(over))),
        };
        self.relay
            .keep(attempt.placement().address, connection, &reply);
        attempt.deliver_some();
        Ok(Complete {
            attempt,
            answer: Buffered { parts, body },
            outcome: answered(attempted_at),
        })
    }

    /// Passes a plain answer on.
    pub(super) fn pass(&self, answer: Buffered) -> Response<Body> {
        let elapsed = self.started.elapsed();
        let metrics = &self.relay.shared.metrics;
        metrics.answered.add(1);
        metrics.plain.record(elapsed);
        tracing::info!(
            event = "answered",
            id = %self.request.id,
            status = answer.parts.status.as_u16(),
            bytes = answer.body.len(),
            attempts = self.sent,
            ms = elapsed.as_millis() as u64
        );
        respond(answer.parts, Body::full(answer.body))
    }
}

pub(super) fn failed(attempt: Attempt, failure: Failure) -> Failed {
    Failed { attempt, failure }
}

/// The outcome of an attempt whose answer has come to its end now.
pub(super) fn answered(attempted_at: Instant) -> Outcome {
    let took = Millis(millis(attempted_at.elapsed()));
    Outcome::Answered { took }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A target's answer as the caller gets it.
pub(super) fn respond(mut parts: http::response::Parts, body: body::Body) -> Response<Body> {
    headers::strip_response(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, body)
}
