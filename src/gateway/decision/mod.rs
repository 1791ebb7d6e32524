//! The rules that decide what becomes of a request, one module each.
//!
//! Each rule is a pure function: it takes its inputs as a typed value and returns an outcome that
//! says why. It owns no state and reads no clock. The constants that it weighs with stand beside it,
//! with their unit. Callers act on the outcome and do not decide
//! again. Ejection, which both kinds of router share, is [`crate::ejection`].

pub mod admission;
pub mod cold;
pub mod grant;
pub mod limit;
pub mod overload;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod retry;
pub mod share;
pub mod stop;
