//! One version of the configuration, with the indexes that a request is looked up by.

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
    /// A route of one configuration.
    RouteKey
);
key!(
    /// A service of one configuration.
    ServiceKey
);
key!(
    /// A customer of one configuration.
    CustomerKey
);

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events and runs at most once, unless it may be resumed.
    Stream {
        /// Whether another target may continue it after the last event that was passed on.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent again from its start.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A share of a route's requests for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceKey,
    /// Its share, against the other weights of the route.
    pub weight: f64,
}

/// Requests of one host whose path begins with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it belongs to.
    pub host: String,
    /// The start of the path.
    pub prefix: String,
    /// The services, at least one.
    pub backends: Vec<Backend>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is held.
    pub timeout: Millis,
    /// Time to the first byte of an answer that the route aims at.
    pub latency_objective: Millis,
    /// Targets that one request may be sent to, at least 1.
    pub attempts: u32,
    /// Rank of its requests; 0 goes first.
    pub rank: u8,
    /// Whether no key is needed.
    pub public: bool,
}

/// What a model engine of a service is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Most tokens that one event of a stream stands for.
    pub event_tokens: u64,
}

/// How a service's targets are after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long they stay cold.
    pub time: Millis,
    /// Requests a second that a cold one bears from all routers together.
    pub per_second: f64,
}

/// Targets that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its targets takes from all routers together. Not enforced.
    pub connections: u32,
    /// Set where its targets are model engines.
    pub engine: Option<Engine>,
    /// Set where its targets are cold after a start.
    pub cold_start: Option<ColdStart>,
}

/// Who pays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The secrets that prove it.
    pub keys: Vec<String>,
    /// Its rank, which goes before that of a route.
    pub rank: Option<u8>,
    /// All that it may spend; `None` is unlimited.
    pub prepaid: Option<Tokens>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head. Not enforced: heads are bounded by `idle_time`.
    pub header_time: Millis,
    /// Longest time that a connection is idle.
    pub idle_time: Millis,
}

/// The bounds where a configuration gives none.
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
    /// Rises with each change.
    pub version: u64,
    /// Bounds for callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    customers: Vec<Customer>,
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, CustomerKey>,
}

impl Config {
    /// A version with its indexes. Routes name services by their place in `services`.
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
        for of_host in hosts.values_mut() {
            of_host.sort_by_key(|key| std::cmp::Reverse(routes[key.0].prefix.len()));
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

    /// The route with the longest prefix that begins this path. A port after the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = match self.hosts.get(host) {
            Some(keys) => keys,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        of_host
            .iter()
            .map(|key| &self.routes[key.0])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whom a secret proves.
    pub fn customer_of(&self, secret: &str) -> Option<&Customer> {
        self.keys.get(secret).map(|key| &self.customers[key.0])
    }

    /// A customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name == name)
    }

    /// A service.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0]
    }

    /// How targets are after a start, of the services where that matters.
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

    /// Whether requests need a customer's key at all.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }
}
