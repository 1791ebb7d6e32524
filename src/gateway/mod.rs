//! A gateway: the router process towards callers that speak a deployment's own dialect.
//!
//! [`state`] decides, on the control thread; `relay`, `exchange` and `stream` carry bytes, on the
//! traffic thread. What a
//! deployment calls things is the business of its [`Dialect`] and of its [`Store`](crate::store::Store).

mod attempt;
pub mod body;
pub mod control;
pub mod decision;
pub mod dialect;
pub mod escrow;
mod exchange;
mod failure;
mod listener;
pub mod members;
pub mod metrics;
mod process;
mod relay;
mod reply;
pub mod route;
pub mod shared;
mod sse;
pub mod state;
mod stream;
pub mod target;

pub use dialect::{Ask, BadHeader, Dialect, Listing, Load, Order, Part, Prompt, Told};
pub use process::{Options, run};
pub use reply::Reason;
pub use sse::Events;
