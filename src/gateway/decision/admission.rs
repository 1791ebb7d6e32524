//! Whether a request is admitted, with its route, customer, rank and time limit, and where to ask for tokens that it
//! lacks.

use std::time::Duration;

use super::grant::{Limit, Role};
use super::refusal::{Reason, Refusal};
use crate::gateway::route::{Config, Customer, Route};
use crate::units::{Millis, Tokens};

/// Number of distinct route ranks within one customer rank.
const ROUTE_RANKS: u8 = 3;
/// Lowest priority in a target's queue.
const RANK_MAX: u8 = 9;

/// A request waits for a grant for at most one part in this many of its route's latency objective, so that it can still
/// meet the objective once the grant arrives.
const GRANT_WAIT_DIVISOR: u32 = 5;

/// How long tokens are not requested again after none of those asked had any. Equal to the shortest retry delay of
/// a caller that was refused because of it.
pub const UNAVAILABLE_PAUSE: Millis = Millis(250);

/// The properties of a request that decide its admission.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The host that the request is addressed to.
    pub host: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The customer's secret key.
    pub key: Option<&'a str>,
    /// How long the caller waits for an answer.
    pub time_limit: Option<Millis>,
}

/// The terms on which a request is admitted.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The route that matches the request.
    pub route: &'a Route,
    /// The customer that the key belongs to; `None` if the key is missing or unknown.
    pub customer: Option<&'a Customer>,
    /// Rank in a target's queue; 0 goes first.
    pub rank: u8,
    /// Longest time from the arrival of the request to its answer.
    pub time_limit: Millis,
    /// Maximum number of tokens that one event of the response stream may represent.
    pub event_tokens: u64,
}

/// Decides whether a request is admitted.
///
/// # Errors
/// The reason for refusing it.
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

/// Combines the ranks of a customer and a route; the customer's takes precedence.
fn rank(customer: Option<u8>, route: u8) -> u8 {
    let Some(customer) = customer else {
        return route.min(RANK_MAX);
    };
    let first = customer.saturating_mul(ROUTE_RANKS);
    let within = route.min(ROUTE_RANKS - 1);
    first.saturating_add(within).min(RANK_MAX)
}

/// The customer that is charged for a request, and its prepaid budget. Only model requests of customers with a prepaid
/// budget are charged.
pub fn payer(customer: Option<&Customer>, is_model: bool) -> Option<(String, Tokens)> {
    let customer = customer.filter(|_| is_model)?;
    Some((customer.name.clone(), customer.prepaid?))
}

/// How long a request waits for its router to be granted tokens.
pub fn grant_wait(latency_objective: Millis) -> Duration {
    Duration::from_millis(latency_objective.0) / GRANT_WAIT_DIVISOR
}

/// What is known when a router lacks tokens for a request.
#[derive(Clone, Copy, Debug)]
pub struct MissingTokens {
    /// The router's role for the customer's budget.
    pub role: Role,
    /// Reason for refusing the request if no tokens are granted or lent.
    pub refusal: Refusal,
    /// What limits the router's spend.
    pub limit: Limit,
    /// Time since all that were asked had none of the customer's tokens; `None` if there was no such answer or
    /// something has changed since.
    pub unavailable_for: Option<Millis>,
}

/// Where to ask for the tokens that a waiting request lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, which grants them by one write, without involving other routers.
    Store,
    /// Other routers, which lend them; the store is asked for the rest.
    Peers,
    /// Other routers, and the store at the same time: what it grants now can be spent later.
    PeersAndStore,
    /// None: all were asked a moment ago, and little is left of the budget.
    Nobody,
}

impl Source {
    /// The source while the store is not asked: after it has failed to grant tokens, it is asked again only after a pause,
    /// which may be longer than a request waits.
    pub fn without_store(self) -> Self {
        match self {
            Self::Store | Self::Peers | Self::PeersAndStore => Self::Peers,
            Self::Nobody => Self::Nobody,
        }
    }
}

/// Decides where to ask for tokens first. A holder of the customer's grants asks the store. A borrower asks the
/// holders, as does every router while the store does not answer, and a holder whose cap limits it, since a grant would
/// not raise what it may spend now; near the budget's end, where little is lent, such a holder asks the store only. While much is left of the budget, tokens may become
/// available at any time, so they are requested even if nobody had any a moment ago.
pub fn grant_source(missing: &MissingTokens) -> Source {
    let just_asked = missing
        .unavailable_for
        .is_some_and(|ago| ago < UNAVAILABLE_PAUSE);
    match (missing.refusal, missing.role, missing.limit) {
        (Refusal::Scarce, _, _) if just_asked => Source::Nobody,
        (Refusal::CutOff, _, _) | (_, Role::Borrower, _) => Source::Peers,
        (Refusal::Scarce, Role::Holder, _) | (_, Role::Holder, Limit::Grant) => Source::Store,
        (_, Role::Holder, Limit::Cap) => Source::PeersAndStore,
    }
}
