//! The protocol between routers: HTTP/2 requests and responses whose bodies are one bincode frame each.

mod client;
mod frame;
mod server;

pub use client::{Client, Connection, NoReply};
pub use server::serve;
