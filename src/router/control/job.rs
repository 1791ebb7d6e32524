//! A request in progress.

use crate::router::budget::{Price, Reservation};
use crate::router::intent::Kind;
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::message::Notice;
use crate::router::pool::{Choice, TargetKey};
use crate::router::request::{Ticket, Verdict};
use crate::units::{Millis, Tokens};

use super::Spec;

/// The stage of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request waits for the witness of a lost incarnation to decide whether it may be taken over.
    TakingOver,
    /// The request is queued for a target or a grant.
    Waiting,
    /// The request's reservation waits for the witnesses' acknowledgements.
    Opening,
    /// The request was dispatched to a target.
    Running,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: Spec,
    pub stage: Stage,
    pub rank: u8,
    pub patience: Millis,
    pub price_permille: u32,
    pub arrived: Millis,
    pub budget: BudgetKey,
    /// Number of the request in the holder's accounts; after a takeover it differs from the one in the caller's id.
    pub nonce: u64,
    /// The most tokens that the request can use, before the class's price factor.
    pub max_tokens: Tokens,
    /// What the request was billed before it was taken over, if it was; it costs nothing more here.
    pub paid: Option<Tokens>,
    /// Whether the request may have run in an earlier attempt, here or elsewhere; its verdict is then never "not run".
    pub may_have_run: bool,
    /// The most tokens received from an attempt that broke off.
    pub tokens_seen: Option<Tokens>,
    /// The incarnation of this process whose accounts contain the request.
    pub holder: Incarnation,
    /// Witnesses that have acknowledged the reservation.
    pub witnessed_by: Vec<Incarnation>,
    pub opening_since: Millis,
    pub choice: Option<Choice>,
    pub tried: Vec<TargetKey>,
    pub attempt: u32,
    /// When the request first lacked tokens.
    pub short_since: Option<Millis>,
}

impl Job {
    /// The most tokens that the request can cost.
    pub fn max_cost(&self) -> Tokens {
        if self.paid.is_some() {
            return Tokens::ZERO;
        }
        self.priced(self.max_tokens)
    }

    /// Applies the price factor of the request's class.
    fn priced(&self, used: Tokens) -> Tokens {
        used.priced(self.price_permille)
    }

    /// Cost of the request, given the tokens used. A service call costs its fixed price, whatever it used.
    pub fn cost(&self, used: Tokens) -> Tokens {
        match self.spec.kind {
            _ if self.paid.is_some() => Tokens::ZERO,
            Kind::Engine => self.priced(used),
            Kind::Service => self.priced(self.max_tokens),
        }
    }

    /// The reservation as sent to the witnesses; `None` until a target is chosen.
    pub fn reservation(&self) -> Option<Reservation> {
        let price = match self.spec.kind {
            Kind::Engine => Price::Permille(self.price_permille),
            Kind::Service => Price::Whole,
        };
        Some(Reservation {
            reserved: self.max_cost(),
            request: self.spec.id,
            target: self.choice?.address,
            price,
        })
    }

    /// The notice that opens the request at the witnesses; `None` until a target is chosen.
    pub fn open_notice(&self) -> Option<Notice> {
        Some(Notice::Open {
            nonce: self.nonce,
            budget: self.budget,
            reservation: self.reservation()?,
        })
    }
}

/// The settlement of a billed or cancelled request that not all witnesses have acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct Settling {
    pub budget: BudgetKey,
    /// The bill; `None` if the request was cancelled without having run.
    pub billed: Option<Tokens>,
    pub acked_by: Vec<Incarnation>,
    pub since: Millis,
    /// The verdict that is held back until the witnesses have acknowledged.
    pub verdict: Option<(Ticket, Verdict)>,
}
