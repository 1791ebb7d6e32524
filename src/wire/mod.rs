//! What routers say to each other: h2 streams that carry one bincode frame each way.

mod client;
mod frame;
mod server;

pub use client::{Client, Missing};
pub use server::serve;
