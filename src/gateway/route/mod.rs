//! Routes: which service a request goes to, for whom, and within which limits.
//!
//! A [`Config`] is immutable; each version is a new one, and a request is judged by one of them.

mod config;

pub use config::{
    Backend, ColdStart, Config, Customer, CustomerKey, Engine, Kind, Limits, Route, RouteKey,
    Service, ServiceKey,
};
