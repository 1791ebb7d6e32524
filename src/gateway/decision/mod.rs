//! The rules that decide what becomes of a request.

pub mod retry;
