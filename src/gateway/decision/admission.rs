//! Whether a request is let in: its route, its customer, its rank and its time, and where the tokens
//! come from that it waits for.

use std::time::Duration;

use super::grant::Role;
use super::refusal::{Reason, Refusal};
use crate::gateway::route::{Config, Customer, Route};
use crate::units::{Millis, Tokens};

/// Ranks of routes that are told apart within one rank of customers.
const ROUTE_RANKS: u8 = 3;
/// Last rank of a target's queue.
const RANK_MAX: u8 = 9;

/// A request waits for a grant for one part in this many of its route's latency objective, so that
/// what is granted in time can still meet it.
const GRANT_WAIT_DIVISOR: u32 = 5;

/// How long tokens are not asked for that nobody had. The shortest time after which a caller
/// comes back that was refused for lack of them.
pub const NOTHING_PAUSE: Millis = Millis(250);

/// What a request shows at the door.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The host that it names.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// The customer's secret key.
    pub key: Option<&'a str>,
    /// How long its caller waits.
    pub time_limit: Option<Millis>,
}

/// On what terms a request is let in.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Whose it is.
    pub customer: Option<&'a Customer>,
    /// Rank in a target's queue; 0 goes first.
    pub rank: u8,
    /// Longest time for its answer, from its arrival.
    pub time_limit: Millis,
    /// Tokens that one event of its stream may stand for.
    pub event_tokens: u64,
}

/// Decides whether a request is let in.
///
/// # Errors
/// Why it is not.
pub fn admit<'a>(config: &'a Config, request: &Request<'_>) -> Result<Terms<'a>, Reason> {
    let route = config.route(request.host, request.path);
    let route = route.ok_or(Reason::NoRoute)?;
    let customer = request.key.and_then(|key| config.customer_of(key));
    if customer.is_none() && config.has_customers() && !route.public {
        return Err(Reason::NoKey);
    }
    let engines = route
        .backends
        .iter()
        .filter_map(|backend| config.service(backend.service).engine);
    let time_limit = request
        .time_limit
        .map_or(route.timeout, |limit| limit.min(route.timeout));
    Ok(Terms {
        route,
        customer,
        rank: rank(customer.and_then(|customer| customer.rank), route.rank),
        time_limit,
        event_tokens: engines.map(|engine| engine.event_tokens).max().unwrap_or(1),
    })
}

/// A customer's rank goes before that of the route.
fn rank(customer: Option<u8>, route: u8) -> u8 {
    let Some(customer) = customer else {
        return route.min(RANK_MAX);
    };
    let first = customer.saturating_mul(ROUTE_RANKS);
    let within = route.min(ROUTE_RANKS - 1);
    first.saturating_add(within).min(RANK_MAX)
}

/// Who pays for a request, and all that it has prepaid. Only model requests of customers with a
/// prepaid budget are paid for.
pub fn payer(customer: Option<&Customer>, is_model: bool) -> Option<(String, Tokens)> {
    let customer = customer.filter(|_| is_model)?;
    Some((customer.name.clone(), customer.prepaid?))
}

/// How long a request waits for a grant that its router lacks.
pub fn grant_wait(latency_objective: Millis) -> Duration {
    Duration::from_millis(latency_objective.0) / GRANT_WAIT_DIVISOR
}

/// What is known where a router lacks tokens for a request.
#[derive(Clone, Copy, Debug)]
pub struct Lack {
    /// The router's part in keeping the customer's budget.
    pub role: Role,
    /// Why the request is refused if no tokens come.
    pub refusal: Refusal,
    /// How long ago all that were asked had none of the customer's, where nothing has changed since.
    pub nothing_for: Option<Millis>,
}

/// Where the tokens come from that a waiting request lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store grants them: one write, and no other router has to answer.
    Store,
    /// Other routers lend them, and the store is asked for what they do not.
    Peers,
    /// Nobody: all were asked a moment ago, and little is left of the budget.
    Nobody,
}

/// Decides where tokens are asked for first. A holder of the customer's grants asks the store; a
/// borrower asks the holders, and so does everybody while the store does not answer. Where much is left of
/// the budget, a grant may come at any time, so it is asked for even if nobody has just had any.
pub fn grant_source(lack: &Lack) -> Source {
    let is_told = lack.nothing_for.is_some_and(|ago| ago < NOTHING_PAUSE);
    match (lack.refusal, lack.role) {
        (Refusal::Scarce, _) if is_told => Source::Nobody,
        (Refusal::CutOff, _) | (_, Role::Borrower) => Source::Peers,
        (_, Role::Holder) => Source::Store,
    }
}
