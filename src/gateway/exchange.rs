//! One admitted request: its attempts at targets, their outcomes, and a response that is not a stream.
//!
//! The exchange owns the request's body, its deadline and its history of attempts. [`retry`] decides whether there is
//! another attempt; [`refusal`](super::decision::refusal) decides what the caller is told if there is none.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::Attempt;
use super::body::{self, Body};
use super::deadline::Deadline;
use super::decision::admission;
use super::decision::origin::Constraint;
use super::decision::refusal::{Declined, Reason, Refusal};
use super::decision::retry::{self, Decision, Failure, History, Verdict};
use super::decision::surplus::{self, Trust};
use super::dialect::{self, BadForward, Forward, Prompt};
use super::escrow::Demand;
use super::fingerprint::Fingerprint;
use super::headers;
use super::held::{RESPONSE_MAX, Usage};
use super::incarnation;
use super::job::Job;
use super::proxy;
use super::relay::{Link, Origin, Relay};
use super::route::{Config, Kind, Route};
use super::shared::ActiveRequest;
use super::slots::Occupancy;
use super::streams::{self, Stream};
use crate::boot_clock;
use crate::ejection::Outcome;
use crate::net;
use crate::units::Millis;

/// Subtracted from the remaining time to get the time limit for a target, so that its response is back in time. A few
/// times the latency between two halls.
const RETURN_MARGIN: Duration = Duration::from_millis(4);

/// An admitted request.
pub(super) struct Exchange {
    pub(super) relay: Arc<Relay>,
    pub(super) config: Arc<Config>,
    pub(super) route: Route,
    pub(super) request: dialect::Request,
    pub(super) started: Instant,
    pub(super) deadline: Deadline,
    /// Maximum number of tokens that one event of the response stream represents.
    pub(super) event_tokens: u64,
    pub(super) customer: Option<String>,
    pub(super) rank: u8,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Counts the bytes held for the request.
    pub(super) usage: Usage,
    pub(super) fingerprint: Fingerprint,
    /// Attempts that were sent to a target.
    pub(super) sent: u32,
    /// Attempts that reached no target.
    pub(super) unreached: u32,
    /// Whether any attempt so far may have run.
    pub(super) verdict: Verdict,
    pub(super) _active: ActiveRequest,
}

/// Why a request gets no answer from a target, and what is known for its return.
pub(super) struct Refused {
    pub(super) reason: Reason,
    /// Time until the tokens that the request lacks can be there, or until the targets' queues have drained, if known.
    pub(super) forecast: Option<Millis>,
    /// The time that the caller has left, if known.
    pub(super) left: Option<Millis>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            forecast: None,
            left: None,
        }
    }
}

/// A target's response whose head was received; its body was not.
pub(super) struct TargetResponse {
    pub(super) attempt: Attempt,
    pub(super) link: Link,
    pub(super) parts: http::response::Parts,
    pub(super) incoming: Incoming,
    pub(super) reply: dialect::Reply,
    pub(super) attempted_at: Instant,
}

/// A response that is not a stream, read to its end.
pub(super) struct CollectedResponse {
    pub(super) attempt: Attempt,
    pub(super) response: BufferedResponse,
    /// How the target is judged, unless its status is a server error.
    pub(super) outcome: Outcome,
}

/// A response that is not a stream, ready to be forwarded.
pub(super) struct BufferedResponse {
    parts: http::response::Parts,
    body: Bytes,
}

impl BufferedResponse {
    /// Whether the status of the response is a server error (5xx).
    pub(super) fn is_server_error(&self) -> bool {
        self.parts.status.is_server_error()
    }
}

/// An attempt without a response that can be forwarded.
pub(super) struct FailedAttempt {
    pub(super) attempt: Attempt,
    pub(super) failure: Failure,
}

impl FailedAttempt {
    /// Reports an interrupted attempt to the control thread. Must be called before the attempt ends and loses its
    /// target. A crash closes the target's connections, so an attempt whose connection was open did not cause it.
    fn report_if_interrupted(&self) {
        if self.failure == Failure::BrokenOff {
            self.attempt.report_interrupted();
        }
    }

    /// Ends the request with this attempt.
    pub(super) fn end(self) {
        self.report_if_interrupted();
        self.attempt.end(self.failure.outcome());
    }
}

impl Exchange {
    /// Starts the first attempt.
    ///
    /// # Errors
    /// Why the request cannot run.
    pub(super) async fn begin(&self) -> Result<Attempt, Refused> {
        let wait = admission::grant_wait(self.route.latency_objective);
        let begun = self.relay.controller.begin(self.job(), wait);
        match self.deadline.within(begun).await {
            Ok(begun) => begun.map_err(|declined| {
                self.relay.shared.placements.note_refused(declined.refusal);
                Refused {
                    reason: Reason::Refused(declined.refusal),
                    forecast: declined.forecast,
                    left: Some(Millis(millis(self.deadline.left()))),
                }
            }),
            Err(expiry) => Err(Reason::expired_before_send(expiry).into()),
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
            route: self.route.name.clone(),
            services: services.collect(),
            prompt: self.request.prompt.clone(),
            stream: self.stream(),
            origin: match self.takes_up_stream() {
                true => Constraint::Unknown,
                false => Constraint::Any,
            },
            fingerprint: self.fingerprint,
            payer: admission::payer(customer, self.request.prompt.is_some()),
            demand: Demand::New,
            rank: self.rank,
            deadline: self.deadline.at_boot(),
        }
    }

    fn takes_up_stream(&self) -> bool {
        self.route.kind.is_stream() && self.request.takes_up_stream()
    }

    /// The stream that the request takes up, or that it begins and its route allows callers to take up again.
    fn stream(&self) -> Option<Stream> {
        let is_resumable = self.route.kind == Kind::Stream { resumable: true };
        if !is_resumable && !self.takes_up_stream() {
            return None;
        }
        let customer = self.customer.as_deref();
        let content = streams::Id::of_content(self.fingerprint);
        let id = match (&self.request.resumes, &self.request.last_event) {
            (Some(first), _) => streams::Id::of_request(customer, first),
            (None, Some(_)) => content,
            (None, None) => streams::Id::of_request(customer, &self.request.id),
        };
        let time = self.request.time_limit.unwrap_or(self.route.timeout);
        Some(Stream {
            id,
            content,
            until: boot_clock::now() + time.min(streams::KEPT_MAX),
        })
    }

    /// Sends the request to the target of an attempt and waits for the head of its response.
    pub(super) async fn attempt(
        &mut self,
        mut attempt: Attempt,
    ) -> Result<TargetResponse, FailedAttempt> {
        let attempted_at = Instant::now();
        match self.deadline.within(attempt.acquire_slot()).await {
            Ok(Ok(())) => {}
            Ok(Err(after)) => {
                self.unreached += 1;
                return Err(failed(attempt, Failure::NoSlot { after }));
            }
            Err(expiry) => return Err(failed(attempt, Failure::expired_before_send(expiry))),
        }
        let address = attempt.placement().address;
        let connected = match self.deadline.within(self.relay.connect(address)).await {
            Ok(connected) => connected,
            Err(expiry) => return Err(failed(attempt, Failure::expired_before_send(expiry))),
        };
        let mut link = match connected {
            Ok(link) => link,
            Err(failure) => {
                self.unreached += 1;
                return Err(failed(attempt, failure));
            }
        };
        if let Some(expiry) = self.deadline.expiry() {
            return Err(failed(attempt, Failure::expired_before_send(expiry)));
        }
        if self.is_too_late() {
            return Err(failed(attempt, Failure::Stopping));
        }
        let request = match self.build_request(&attempt, link.origin) {
            Ok(request) => request,
            Err(error) => {
                tracing::error!(event = "forward_unwritable", id = %self.request.id, %error);
                self.unreached += 1;
                return Err(failed(attempt, Failure::Unwritable));
            }
        };
        self.sent += 1;
        attempt.note_sent();
        let estimate = attempt.placement().estimate;
        if let Some(estimate) = &estimate {
            self.relay.shared.placements.add(estimate);
        }
        tracing::info!(
            event = "attempt_sent",
            id = %self.request.id,
            route = %self.route.name,
            config = self.config.version,
            instance = %attempt.placement().instance,
            version = attempt.placement().version,
            resumes = self.request.resumes,
            after = self.request.last_event,
            fingerprint = %self.fingerprint,
            attempts = self.sent,
            connection = link.origin.as_str(),
            proxy = link.proxy().map(tracing::field::display),
            left_ms = self.deadline.left().as_millis() as u64,
            estimate_ms = estimate.map(|estimate| estimate.ms.round() as u64),
            best_ms = estimate.map(|estimate| estimate.best_ms.round() as u64),
            slowdown = estimate.map(|estimate| (estimate.slowdown * 100.0).round() as u64),
            slowdown_age_ms =
                estimate.and_then(|estimate| estimate.report_age.map(|age| age.0)),
            choice = estimate.map(|estimate| estimate.reason.as_str())
        );
        let (parts, incoming, reply) = match self.send(&mut attempt, &mut link, request).await {
            Ok(head) => head,
            Err(failure) => return Err(failed(attempt, failure)),
        };
        Ok(TargetResponse {
            attempt,
            link,
            parts,
            incoming,
            reply,
            attempted_at,
        })
    }

    async fn send(
        &mut self,
        attempt: &mut Attempt,
        link: &mut Link,
        request: net::Request,
    ) -> Result<(http::response::Parts, Incoming, dialect::Reply), Failure> {
        let since_last = match link.origin {
            Origin::Pooled | Origin::Opened => link.connection.since_last_response(),
            // The other router judges by its connection to the target.
            Origin::Proxied => None,
        };
        let sent = attempt.until_ended(link.connection.send(request));
        let response = match self.deadline.within(sent).await {
            Ok(None) => return Err(Failure::Ended),
            Ok(Some(sent)) => sent,
            Err(expiry) => return Err(Failure::expired_after_send(expiry)),
        };
        let response = match response {
            Ok(response) => response,
            Err(error) if error.was_not_sent() => {
                self.sent -= 1;
                self.unreached += 1;
                attempt.note_occupancy(Occupancy::Ended);
                return Err(Failure::IdleClosed);
            }
            Err(error) => {
                tracing::info!(event = "connection_broken", id = %self.request.id, cause = ?error.kind());
                return Err(Failure::BrokenOff);
            }
        };
        let (parts, incoming) = response.into_parts();
        if link.origin == Origin::Proxied {
            self.relay.shared.path_counts.proxied.add(1);
            if let Some(error) = proxy::Error::read(&parts.headers) {
                let failure = self.proxy_failure(error);
                if failure.verdict() == Verdict::NotRun {
                    attempt.note_occupancy(Occupancy::Ended);
                }
                return Err(failure);
            }
        }
        let status = parts.status;
        let reply = self
            .relay
            .dialect
            .read_reply(status.as_u16(), &parts.headers);
        let is_ours = reply.id.as_deref() == Some(self.request.id.as_str());
        // A surplus response to another request may be old, and a response of another instance says nothing about the
        // instance that the request was sent to. Some refusals carry no request id.
        let is_refusal = reply.not_run && reply.id.is_none();
        if !reply.wrong_instance && (is_ours || is_refusal) {
            attempt.report_notice(reply.notice);
        }
        if is_ours && reply.not_run || is_refusal {
            if reply.load.is_some() {
                attempt.report_response_started(reply.load);
            }
            attempt.note_occupancy(match reply.wrong_instance {
                true => Occupancy::Ended,
                false => Occupancy::Rejected,
            });
            let trust = surplus::judge(self.route.kind, since_last);
            let is_doubtful = !is_ours && trust == Trust::Doubtful;
            return Err(if is_doubtful {
                tracing::info!(event = "refusal_doubted", id = %self.request.id);
                Failure::DoubtfulRefusal
            } else if reply.wrong_instance {
                Failure::WrongInstance
            } else if matches!(reply.notice.retry_after, Ok(Some(_))) {
                Failure::AskedRest
            } else {
                Failure::Refused
            });
        }
        if !is_ours || (status.is_success() && !reply.is_signed) {
            tracing::warn!(event = "foreign_answer", id = %self.request.id, answers = ?reply.id);
            return Err(Failure::BrokenOff);
        }
        attempt.report_response_started(reply.load);
        Ok((parts, incoming, reply))
    }

    /// The failure of an attempt that another router could not carry out.
    fn proxy_failure(&mut self, error: proxy::Error) -> Failure {
        let failure = match error {
            proxy::Error::Denied | proxy::Error::Unknown => Failure::NoPath,
            proxy::Error::Unreachable => Failure::Unreachable,
            proxy::Error::Terminated => return Failure::BrokenOff,
        };
        self.sent -= 1;
        self.unreached += 1;
        failure
    }

    /// Builds the request that is sent to the target of an attempt, or to another router for it.
    fn build_request(&self, attempt: &Attempt, origin: Origin) -> Result<net::Request, BadForward> {
        let left = self.deadline.left().saturating_sub(RETURN_MARGIN);
        let forward = Forward {
            time_limit: Millis(millis(left).max(1)),
            instance: incarnation::id(&attempt.placement().instance),
            customer: self.customer.as_deref(),
            rank: self.request.prompt.as_ref().map(|_| self.rank),
            last_event: self.request.last_event.as_deref(),
        };
        let mut headers = self.headers.clone();
        self.relay.dialect.write_forward(&mut headers, &forward)?;
        if origin == Origin::Proxied {
            let target = &attempt.placement().instance;
            proxy::address_request(&mut headers, &self.relay.fleet_key, target);
        }
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
            is_expired: self.deadline.expiry().is_some() || self.is_too_late(),
        }
    }

    /// Whether nothing was sent yet and a stop can no longer wait for an answer: the body has arrived slowly, or the
    /// request has waited for tokens or for a slot.
    fn is_too_late(&self) -> bool {
        let stop = &self.relay.shared.stop;
        self.sent == 0 && stop.is_too_late(self.deadline.at())
    }

    /// Starts another attempt after one that failed.
    ///
    /// # Errors
    /// The reason given to the caller if there is no other attempt.
    pub(super) async fn retry(&mut self, failed: FailedAttempt) -> Result<Attempt, Refused> {
        let failure = failed.failure;
        if failure.verdict() == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        let reason = Reason::of(failure, self.verdict);
        let estimate = failed.attempt.placement().estimate;
        let declined = match self.next_attempt(failed, reason.as_str()).await {
            Ok(next) => return Ok(next),
            Err(declined) => declined,
        };
        let reason = declined.map_or(reason, |declined| {
            Reason::of_declined(failure, self.verdict, declined.refusal)
        });
        let forecast = match reason {
            Reason::Refused(_) => declined.and_then(|declined| declined.forecast),
            _ => reason.queue_forecast(estimate.map(|estimate| estimate.shortest)),
        };
        let left = forecast.map(|_| Millis(millis(self.deadline.left())));
        Err(Refused {
            reason,
            forecast,
            left,
        })
    }

    /// Starts another attempt after a server error of the target; without one, that response is forwarded.
    pub(super) async fn retry_server_error(&mut self, attempt: Attempt) -> Option<Attempt> {
        let failure = Failure::ServerError;
        let next = self.next_attempt(failed(attempt, failure), "server_error");
        next.await.ok()
    }

    /// Starts another attempt if the retry rules, the targets and the retry budget allow one.
    ///
    /// # Errors
    /// Why the control state refuses the attempt, or `None` if the retry rules do not allow one.
    async fn next_attempt(
        &mut self,
        failed: FailedAttempt,
        reason: &'static str,
    ) -> Result<Attempt, Option<Declined>> {
        let decision = retry::decide(failed.failure, &self.history());
        let limit = match decision {
            Decision::Retry => "none",
            Decision::GiveUp(limit) => limit.as_str(),
        };
        let prompt = self.request.prompt.as_ref();
        let prompt = prompt.filter(|_| failed.failure == Failure::BrokenOff);
        tracing::info!(
            event = "attempt_failed",
            id = %self.request.id,
            instance = %failed.attempt.placement().instance,
            fingerprint = %self.fingerprint,
            blocks = prompt.map(Prompt::shared_ids),
            reason,
            limit,
            attempts = self.sent,
            unreached = self.unreached,
            ms = self.started.elapsed().as_millis() as u64
        );
        if let Decision::GiveUp(_) = decision {
            failed.end();
            return Err(None);
        }
        failed.report_if_interrupted();
        let FailedAttempt { attempt, failure } = failed;
        match attempt.retry(failure.outcome(), failure.charge()).await {
            Ok(next) => {
                self.relay.shared.metrics.repeats.add(1);
                Ok(next)
            }
            Err(declined) => {
                let refusal = declined.refusal;
                self.relay.shared.placements.note_retry_refused(refusal);
                let expected = match refusal {
                    Refusal::Busy { expected, .. } => Some(expected),
                    _ => None,
                };
                tracing::info!(
                    event = "retry_refused",
                    id = %self.request.id,
                    reason = Reason::Refused(refusal).as_str(),
                    estimate_ms = expected.map(|expected| expected.0),
                    left_ms = expected.map(|_| self.deadline.left().as_millis() as u64)
                );
                Err(Some(declined))
            }
        }
    }

    /// Reads a response that is not a stream to its end before any of it is forwarded, so that a truncated response is
    /// not forwarded at all.
    pub(super) async fn collect(
        &mut self,
        response: TargetResponse,
    ) -> Result<CollectedResponse, FailedAttempt> {
        let TargetResponse {
            mut attempt,
            link,
            mut parts,
            incoming,
            reply,
            attempted_at,
        } = response;
        let memory = self.relay.held.arriving();
        let collected = attempt.until_ended(net::collect(incoming, RESPONSE_MAX, memory));
        let body = match self.deadline.within(collected).await {
            Ok(Some(Ok(body))) => body,
            Ok(Some(Err(error))) => {
                tracing::info!(event = "answer_broken", id = %self.request.id, %error);
                return Err(failed(attempt, Failure::BrokenOff));
            }
            Ok(None) => return Err(failed(attempt, Failure::Ended)),
            Err(expiry) => return Err(failed(attempt, Failure::expired_after_send(expiry))),
        };
        proxy::take_unframed(&mut parts.headers);
        attempt.note_occupancy(Occupancy::Ended);
        self.relay.store(link, Relay::reusable_for(&reply));
        if parts.status.is_success() {
            attempt.note_answer_read();
        }
        attempt.note_delivery_started();
        self.usage.add(body.len());
        Ok(CollectedResponse {
            attempt,
            response: BufferedResponse { parts, body },
            outcome: answered_outcome(attempted_at),
        })
    }

    /// Forwards a response that is not a stream to the caller.
    pub(super) fn respond(self, response: BufferedResponse) -> Response<Body> {
        let elapsed = self.started.elapsed();
        let metrics = &self.relay.shared.metrics;
        metrics.answered.add(1);
        metrics.plain.record(elapsed);
        tracing::info!(
            event = "answered",
            id = %self.request.id,
            status = response.parts.status.as_u16(),
            bytes = response.body.len(),
            attempts = self.sent,
            ms = elapsed.as_millis() as u64
        );
        let body = Body::held(response.body, self.usage);
        caller_response(response.parts, body)
    }
}

pub(super) fn failed(attempt: Attempt, failure: Failure) -> FailedAttempt {
    FailedAttempt { attempt, failure }
}

/// The outcome of an attempt whose response has just been read to its end.
pub(super) fn answered_outcome(attempted_at: Instant) -> Outcome {
    let took = Millis(millis(attempted_at.elapsed()));
    Outcome::Answered { took }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Turns a target's response into the one that the caller gets.
pub(super) fn caller_response(
    mut parts: http::response::Parts,
    body: body::Body,
) -> Response<Body> {
    headers::strip_response(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, body)
}
