//! Entry hosts: which are available, and which a customer should use.

mod member;
mod placement;

pub use member::{Membership, Peer, Standing};
pub use placement::{rank, score};
