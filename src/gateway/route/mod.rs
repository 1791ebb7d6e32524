//! Routes: which service a request goes to, for which customer, and within which limits.
//!
//! A [`Config`] is immutable. Each version is a new value, and a request is processed under a single version.

mod config;

pub use config::{
    Backend, ColdStart, Config, Customer, CustomerKey, Engine, Kind, Limits, Route, RouteKey,
    Service, ServiceKey,
};
