//! HTTP/1.1 connections to targets and to the platform's store, one request at a time on each.

mod connection;
mod pool;

pub use connection::{Connection, Request, Response, SendError, open};
pub use pool::Pool;
