//! Prepaid budgets, shared by escrow.
//!
//! Each customer's budget is a set of rows in the store, one a router. A row says what the router was granted; the
//! sum over all rows never passes what was prepaid, since a row is only written if nothing else has been written
//! since its writer last read. A router spends only what its row grants and what others lend it. What a router had
//! when it died stays spent, but for what its [`Commitment`] proves that it was not. A store that comes back from a copy
//! has earlier rows, so each names a [`Cap`], which its router does not pass meanwhile. How large a grant should be is
//! [`grant`](super::decision::grant)'s decision; this module keeps the sums.

mod account;
mod cap;
pub mod guard;
mod holder;
mod row;

pub use account::{Account, Short};
pub use cap::{Cap, Caps, StoreAnswer};
pub use guard::{Commitment, Ramp, Start};
pub use holder::Holder;
pub use row::{Ledger, Loan, Row};
