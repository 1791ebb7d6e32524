//! HTTP/1.1 connections to targets and to the platform's store, one request at a time on each.

mod line;
mod pool;

pub use line::{Line, Request, Response, SendError, open};
pub use pool::Pool;
