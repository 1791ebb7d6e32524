//! Prepaid budgets, shared between routers by escrow.
//!
//! Each customer's budget is a set of rows in the store, one for each router. A row states what its router was granted.
//! The sum over all rows never exceeds what was prepaid, since a row is only written if nothing else has been written
//! since its writer last read. A router spends only what its row grants and what other routers lend it. What a router
//! held when it died counts as spent, except for the part that its [`Commitment`] proves unspent. A store that is
//! restored from a copy has earlier rows, so each row names a [`Cap`] that its router does not exceed meanwhile.
//! [`grant`](super::decision::grant) decides how large a grant should be; this module keeps the sums.

mod account;
mod cap;
pub mod guard;
mod holder;
mod key;
mod refused;
mod row;

pub use account::{Account, ReserveError};
pub use cap::{Cap, Caps, StoreAnswer};
pub use guard::{Commitment, ProcessStart, Ramp};
pub use holder::RowOwner;
pub use key::Key;
pub use refused::{Demand, Refused, TRIES_MAX};
pub use row::{Ledger, Loan, Row};
