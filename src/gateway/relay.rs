//! Passes requests on to targets and their answers back.
//!
//! A request goes through four steps: it is admitted (route, key, body), asks the control state
//! where to go, is tried there, and is answered. Only a try that has not reached a target, that the
//! target says it has not run, or that may be repeated is followed by another.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::body::{self, Body};
use super::dialect::{Ask, Dialect, Order, Told};
use super::fleet::{Arrival, Cost, Ending, Job, Refusal};
use super::reply::Reason;
use super::shared::{Active, Shared};
use super::stream::Flow;
use super::ticket::{Desk, Ticket};
use crate::net::{self, Line, Pool};
use crate::route::{Config, Kind, Route};
use crate::target::Outcome;
use crate::units::{Millis, Tokens};

/// Longest wait for a connection to a target.
const CONNECT_MAX: Duration = Duration::from_millis(400);
/// Data that a target has not acknowledged for this long fails its connection.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// How long a connection rests where the target does not say how long it keeps it.
const REST: Duration = Duration::from_millis(4_000);
/// Part of the time that a target keeps a resting connection for which it is used.
const REST_SHARE: f64 = 0.85;
/// Targets that are tried in vain, without a connection, before a request is given up.
const UNREACHED_MAX: u32 = 3;
/// A grant is waited for during this part of the goal.
const GRANT_WAIT_SHARE: u32 = 5;
/// Longest plain answer that is kept whole before it is passed on, in bytes.
const ANSWER_MAX: usize = 8 << 20;
/// What a target is told to take less than is left, for the way back.
const WAY_BACK: Duration = Duration::from_millis(4);

/// All that a request needs of the process.
pub struct Relay {
    /// What the control thread tells.
    pub shared: Arc<Shared>,
    /// Where the control state is asked.
    pub desk: Desk,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// Resting connections to targets.
    pub pool: Pool,
}

/// A request that was admitted.
pub(super) struct Exchange {
    pub(super) relay: Arc<Relay>,
    pub(super) config: Arc<Config>,
    pub(super) route: Route,
    pub(super) ask: Ask,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) stride: u64,
    customer: Option<String>,
    rank: u8,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    sent: u32,
    unreached: u32,
    _active: Active,
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

/// A try that brought no answer.
pub(super) struct Failure {
    pub(super) ticket: Ticket,
    pub(super) reason: Reason,
    pub(super) ending: Ending,
    pub(super) arrival: Arrival,
}

/// A whole plain answer.
struct Whole {
    parts: http::response::Parts,
    body: Bytes,
}

/// Notes a caller that leaves before it has the head of an answer: what serves it is then dropped.
struct Departure<'a> {
    relay: &'a Relay,
    id: &'a str,
    started: Instant,
    is_over: bool,
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.relay.shared.metrics.cancelled.add(1);
        let ms = self.started.elapsed().as_millis() as u64;
        tracing::info!(event = "cancelled", id = %self.id, events = 0, ms);
    }
}

impl Relay {
    /// Answers a caller.
    pub async fn serve(self: &Arc<Self>, request: hyper::Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        self.shared.metrics.requests.add(1);
        let ask = match self.dialect.ask(request.headers()) {
            Ok(ask) => ask,
            Err(error) => {
                tracing::info!(event = "refused", reason = "bad_header", %error);
                return Reason::BadHeader.answer(&*self.dialect, "");
            }
        };
        let id = ask.id.clone();
        let mut departure = Departure {
            relay: self,
            id: &id,
            started,
            is_over: false,
        };
        let result = match self.admit(request, ask, started).await {
            Ok(exchange) => exchange.run().await,
            Err(reason) => Err(reason),
        };
        departure.is_over = true;
        result.unwrap_or_else(|reason| self.refuse(&id, reason, started))
    }

    fn refuse(&self, id: &str, reason: Reason, started: Instant) -> Response<Body> {
        let elapsed = started.elapsed();
        let metrics = &self.shared.metrics;
        match reason {
            Reason::BrokenOff | Reason::TimedOut => metrics.uncertain.add(1),
            _ => metrics.refused.add(1),
        }
        metrics.refusal.note(elapsed);
        let config = self.shared.config.load();
        tracing::info!(
            event = "refused",
            %id,
            reason = reason.word(),
            status = reason.status().as_u16(),
            config = config.as_ref().map_or(0, |config| config.version),
            ms = elapsed.as_millis() as u64
        );
        reason.answer(&*self.dialect, id)
    }

    async fn admit(
        self: &Arc<Self>,
        request: hyper::Request<Incoming>,
        ask: Ask,
        started: Instant,
    ) -> Result<Exchange, Reason> {
        let active = Active::new(&self.shared);
        let config = self.shared.config.load_full().ok_or(Reason::NoConfig)?;
        let (parts, incoming) = request.into_parts();
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = parts
            .uri
            .authority()
            .map(|authority| authority.as_str())
            .or(host);
        let route = config.route(host.unwrap_or_default(), parts.uri.path());
        let route = route.ok_or(Reason::NoRoute)?.clone();
        let customer = ask.key.as_deref().and_then(|key| config.customer_of(key));
        if customer.is_none() && config.has_customers() && !route.public {
            return Err(Reason::NoKey);
        }
        let rank = rank(customer.and_then(|customer| customer.rank), route.rank);
        let wait = ask
            .deadline
            .map_or(route.timeout, |wait| wait.min(route.timeout));
        let deadline = started + Duration::from_millis(wait.0);
        if self.shared.is_too_late(deadline) {
            return Err(Reason::Stopping);
        }
        let body = read_body(incoming, config.limits.body_bytes, deadline).await?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut headers = parts.headers;
        remove_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let stride = route.backends.iter().filter_map(|backend| {
            let engine = config.service(backend.service).engine?;
            Some(engine.stride)
        });
        Ok(Exchange {
            relay: Arc::clone(self),
            stride: stride.max().unwrap_or(1),
            customer: customer.map(|customer| customer.name.clone()),
            config: Arc::clone(&config),
            route,
            ask,
            started,
            deadline,
            rank,
            method: parts.method,
            path: path.to_owned(),
            headers,
            body,
            sent: 0,
            unreached: 0,
            _active: active,
        })
    }

    async fn connect(&self, address: std::net::SocketAddr, until: Instant) -> Option<Line> {
        if let Some(line) = self.pool.take(address) {
            return Some(line);
        }
        self.shared.metrics.connects.add(1);
        let left = until.saturating_duration_since(Instant::now());
        net::open(address, left.min(CONNECT_MAX), SILENCE_MAX)
            .await
            .ok()
    }

    /// Lets a connection rest whose answer was whole.
    pub(super) fn rest(&self, address: std::net::SocketAddr, line: Line, told: &Told) {
        let keep = told.keep.map_or(REST, |keep| {
            Duration::from_millis(keep.0).mul_f64(REST_SHARE)
        });
        self.pool.put(address, line, keep);
    }
}

/// A customer's rank goes before that of the route.
fn rank(customer: Option<u8>, route: u8) -> u8 {
    const RANKS_OF_ROUTES: u8 = 3;
    const LAST: u8 = 9;
    match customer {
        Some(customer) => {
            let first = customer.saturating_mul(RANKS_OF_ROUTES);
            first
                .saturating_add(route.min(RANKS_OF_ROUTES - 1))
                .min(LAST)
        }
        None => route.min(LAST),
    }
}

async fn read_body(incoming: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Reason> {
    let collected = timeout_at(deadline, Limited::new(incoming, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Reason::TooLong),
        Ok(Err(_)) => Err(Reason::BadBody),
        Err(_) => Err(Reason::Late),
    }
}

/// Removes headers that concern one connection only.
pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
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

    async fn run(mut self) -> Result<Response<Body>, Reason> {
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
        let reason = failure.reason;
        tracing::info!(
            event = "try_failed",
            id = %self.ask.id,
            instance = %failure.ticket.go().instance,
            reason = reason.word(),
            tries = self.sent,
            ms = self.started.elapsed().as_millis() as u64
        );
        let may_repeat = match failure.ending.cost {
            Cost::Nothing => true,
            Cost::Out(_) | Cost::Most => self.route.kind.may_repeat(),
        };
        let is_left = self.sent < self.route.attempts && self.unreached < UNREACHED_MAX;
        let in_time = Instant::now() < self.deadline && reason != Reason::TimedOut;
        if !may_repeat || !is_left || !in_time {
            failure.ticket.end(failure.ending);
            return Err(reason);
        }
        let next = failure.ticket.again(failure.ending, failure.arrival).await;
        next.map_err(|refusal| match refusal {
            Refusal::NoTarget | Refusal::NoRepeats => reason,
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
            return Err(unreached(ticket));
        };
        if Instant::now() >= self.deadline {
            return Err(late(ticket));
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
                return Err(unreached_but_well(ticket));
            }
            Ok(Err(_)) => return Err(broken(ticket, Reason::BrokenOff)),
            Err(_) => return Err(broken(ticket, Reason::TimedOut)),
        };
        let told = self
            .relay
            .dialect
            .told(response.status().as_u16(), response.headers());
        if told.not_run {
            return Err(target_refused(ticket, &told));
        }
        let is_ours = told.id.as_deref() == Some(self.ask.id.as_str());
        if !is_ours || (response.status().is_success() && !told.is_signed) {
            tracing::warn!(event = "foreign_answer", id = %self.ask.id, told = ?told.id);
            return Err(broken(ticket, Reason::BrokenOff));
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
                    let failure = broken(answer.ticket, Reason::BrokenOff);
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
            ticket,
            line,
            parts,
            incoming,
            told,
            tried_at,
        } = answer;
        let body = timeout_at(self.deadline, Limited::new(incoming, ANSWER_MAX).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return Err(broken(ticket, Reason::BrokenOff)),
            Err(_) => return Err(broken(ticket, Reason::TimedOut)),
        };
        let address = ticket.go().address;
        self.relay.rest(address, line, &told);
        let is_failure = parts.status.is_server_error();
        let whole = Whole { parts, body };
        let ending = Ending {
            outcome: Some(outcome(is_failure, tried_at)),
            cost: if is_failure {
                Cost::Most
            } else {
                Cost::Out(Tokens::ZERO)
            },
        };
        if is_failure && self.may_try_again() {
            let again = ticket.again(ending, Arrival::Yes).await;
            let Ok(ticket) = again else {
                return Ok(self.pass(whole));
            };
            self.relay.shared.metrics.repeats.add(1);
            return match Box::pin(self.second(ticket)).await {
                Some(response) => Ok(response),
                None => Ok(self.pass(whole)),
            };
        }
        ticket.end(ending);
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
                    failure.ticket.end(failure.ending);
                    None
                }
            },
            Err(failure) => {
                failure.ticket.end(failure.ending);
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
    Outcome::Answered {
        first: whole,
        whole,
    }
}

fn unreached(ticket: Ticket) -> Failure {
    Failure {
        ticket,
        reason: Reason::Unreachable,
        ending: Ending {
            outcome: Some(Outcome::Failed),
            cost: Cost::Nothing,
        },
        arrival: Arrival::No,
    }
}

fn unreached_but_well(ticket: Ticket) -> Failure {
    Failure {
        ending: Ending {
            outcome: None,
            cost: Cost::Nothing,
        },
        ..unreached(ticket)
    }
}

fn late(ticket: Ticket) -> Failure {
    Failure {
        reason: Reason::Late,
        ..unreached_but_well(ticket)
    }
}

fn target_refused(ticket: Ticket, told: &Told) -> Failure {
    let outcome = (!told.wrong_instance).then_some(Outcome::Failed);
    if let Some(load) = told.load {
        ticket.answered(Some(load));
    }
    Failure {
        ticket,
        reason: Reason::TargetRefused,
        ending: Ending {
            outcome,
            cost: Cost::Nothing,
        },
        arrival: Arrival::Yes,
    }
}

/// A try that was sent, and of which nobody can tell whether it ran.
pub(super) fn broken(ticket: Ticket, reason: Reason) -> Failure {
    Failure {
        ticket,
        reason,
        ending: Ending {
            outcome: Some(Outcome::Failed),
            cost: Cost::Most,
        },
        arrival: Arrival::Yes,
    }
}

/// The answer for a stream that has begun.
pub(super) fn streamed(
    mut parts: http::response::Parts,
    flow: impl futures::Stream<Item = Result<Bytes, body::Broken>> + Send + 'static,
) -> Response<Body> {
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.version = http::Version::HTTP_11;
    debug_assert!(
        parts.status != StatusCode::NO_CONTENT,
        "a stream has a body"
    );
    Response::from_parts(parts, body::stream(flow))
}
