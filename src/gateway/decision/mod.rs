//! The rules that decide how a request is handled, one module each.
//!
//! Each rule is a pure function: it takes its inputs as a typed value and returns an outcome that includes the reason.
//! It holds no state and reads no clock. The constants of a rule stand beside it, with their unit. Callers act on the
//! outcome and do not decide again. Ejection, which both kinds of router share, is in [`crate::ejection`].

pub mod admission;
pub mod allotment;
pub mod backlog;
pub mod busy;
pub mod capacity;
pub mod cold;
pub mod completeness;
pub mod feed;
pub mod forecast;
pub mod grant;
pub mod lenders;
pub mod limit;
pub mod memory;
pub mod order;
pub mod origin;
pub mod overload;
pub mod placement;
pub mod promise;
pub mod quarantine;
pub mod reachability;
pub mod refusal;
pub mod reread;
pub mod retry;
pub mod returns;
pub mod rollout;
pub mod share;
pub mod slots;
pub mod stop;
pub mod surplus;
