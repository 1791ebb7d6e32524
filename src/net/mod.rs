//! HTTP/1.1 connections: to targets and to the platform's store, one request at a time on each, and from
//! callers, on a server that ends without cutting anything off.

mod accept;
mod connection;
mod half_open;
mod pool;
mod server;
mod socket;
mod upload;

pub use accept::accept;
pub use connection::{Connection, Request, Response, SendError, open};
pub use pool::Pool;
pub use server::{Accepted, Server};
pub use socket::{Reading, Socket};
