//! Prepaid budgets, shared by escrow.

mod account;

pub use account::*;
