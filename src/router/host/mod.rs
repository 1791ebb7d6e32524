//! Entry hosts: which of them are there, and which a customer should use.

mod member;
mod placement;

pub use member::{Membership, Peer, Standing};
pub use placement::{rank, score};
