//! HTTP/1.1 connections: client connections to targets and to the platform's store, with one request at a time on each,
//! and a server for callers that shuts down gracefully.

mod accept;
mod bulkhead;
mod collect;
mod connection;
mod half_open;
mod pool;
mod server;
mod socket;
mod upload;

pub use accept::{accept, bind};
pub use bulkhead::{Bulkhead, Reservation, UNRESERVED_MAX};
pub use collect::{CollectError, collect, is_fragmented};
pub use connection::{Connection, Request, Response, SendError, is_final, open};
pub use pool::Pool;
pub use server::{Accepted, Server};
pub use socket::{ReadState, Socket};
