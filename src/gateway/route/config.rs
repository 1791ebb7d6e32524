//! One version of the configuration, with indexes for request lookup.

use std::collections::HashMap;

use crate::units::{Millis, Tokens};

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub usize);
    };
}

key!(
    /// Index of a route within one configuration.
    RouteKey
);
key!(
    /// Index of a service within one configuration.
    ServiceKey
);
key!(
    /// Index of a customer within one configuration.
    CustomerKey
);

/// Whether and how requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once.
    Once,
    /// A request is answered with a stream of events, and runs at most once unless the stream is resumable.
    Stream {
        /// Whether another target may continue the stream after the last event that was forwarded.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again from the start.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceKey,
    /// The weight of the service, relative to the other weights of the route.
    pub weight: f64,
}

/// Settings for requests to one host whose paths start with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that requests are addressed to.
    pub host: String,
    /// The prefix of the path.
    pub prefix: String,
    /// The services, at least one.
    pub backends: Vec<Backend>,
    /// Whether and how requests of the route may be repeated.
    pub kind: Kind,
    /// Longest time until a request is answered or given up.
    pub timeout: Millis,
    /// Objective for the time to the first byte of an answer.
    pub latency_objective: Millis,
    /// Maximum number of targets that one request may be sent to, at least 1.
    pub attempts: u32,
    /// Rank of the requests in a target's queue; 0 goes first.
    pub rank: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of tokens that one event of a stream represents.
    pub event_tokens: u64,
}

/// How the targets of a service behave after they start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a target stays cold.
    pub time: Millis,
    /// Requests a second that a cold target can handle from all routers together.
    pub per_second: f64,
}

/// Targets that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// Number of connections that one of its targets accepts from all routers together. Not enforced.
    pub connections: u32,
    /// Set if the targets are model engines.
    pub engine: Option<Engine>,
    /// Set if the targets are cold after they start.
    pub cold_start: Option<ColdStart>,
}

/// An account that requests are charged to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The name of the customer.
    pub name: String,
    /// The secret keys that authenticate the customer.
    pub keys: Vec<String>,
    /// The rank of the customer's requests, which takes precedence over that of a route.
    pub rank: Option<u8>,
    /// The prepaid budget of the customer; `None` is unlimited.
    pub prepaid: Option<Tokens>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a request head. Not enforced: `idle_time` limits it instead.
    pub header_time: Millis,
    /// Longest time that a connection may be idle.
    pub idle_time: Millis,
}

/// The limits for a configuration that sets none.
impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Millis(3_000),
            idle_time: Millis(15_000),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    customers: Vec<Customer>,
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, CustomerKey>,
}

impl Config {
    /// Creates a version and its indexes. Routes refer to services by their index in `services`.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(RouteKey(index));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|key| std::cmp::Reverse(routes[key.0].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, customer) in customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), CustomerKey(index));
            }
        }
        Self {
            version,
            limits,
            routes,
            services,
            customers,
            hosts,
            keys,
        }
    }

    /// The route of the host with the longest prefix of this path. A port after the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.hosts.get(host) {
            Some(keys) => keys,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .map(|key| &self.routes[key.0])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The customer that a secret key belongs to.
    pub fn customer_of(&self, secret: &str) -> Option<&Customer> {
        self.keys.get(secret).map(|key| &self.customers[key.0])
    }

    /// The customer with this name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name == name)
    }

    /// The service with this key.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0]
    }

    /// The cold start settings by service name, for the services that have them.
    pub fn cold_starts(&self) -> HashMap<String, ColdStart> {
        let services = self.services.iter();
        let cold = services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        cold.collect()
    }

    /// All customers.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether any customer is configured; if not, no request needs a key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }
}
