//! One request on its way.

use crate::router::budget::{Price, Reservation};
use crate::router::intent::Kind;
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::message::Notice;
use crate::router::pool::{Choice, TargetKey};
use crate::router::request::{Ticket, Verdict};
use crate::units::{Millis, Tokens};

use super::Spec;

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// A witness judges whether it may be taken over.
    Judged,
    /// It waits for a target, or for a grant.
    Waiting,
    /// Its reservation is being witnessed.
    Opening,
    /// A target has it.
    Running,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: Spec,
    pub stage: Stage,
    pub rank: u8,
    pub patience: Millis,
    pub price_permille: u32,
    pub arrived: Millis,
    pub budget: BudgetKey,
    /// Its number in this router's own accounts; differs from the caller's in a takeover.
    pub nonce: u64,
    /// The most tokens that it can use, before the price.
    pub max_tokens: Tokens,
    /// What it was billed elsewhere already; it costs nothing more here.
    pub paid: Option<Tokens>,
    /// Whether it may have run before it came here, so that "not run" must not be said of it.
    pub doubted: bool,
    /// Tokens seen of an attempt that broke off.
    pub seen: Option<Tokens>,
    /// The incarnation whose accounts it is in.
    pub holder: Incarnation,
    /// Witnesses that have its reservation.
    pub opened: Vec<Incarnation>,
    pub opening_since: Millis,
    pub choice: Option<Choice>,
    pub tried: Vec<TargetKey>,
    pub attempt: u32,
    /// When it first lacked a grant.
    pub short_since: Option<Millis>,
}

impl Job {
    /// The most that it can cost.
    pub fn max_cost(&self) -> Tokens {
        if self.paid.is_some() {
            return Tokens::ZERO;
        }
        self.priced(self.max_tokens)
    }

    /// A cost at the job's price.
    fn priced(&self, used: Tokens) -> Tokens {
        used.priced(self.price_permille)
    }

    /// What it costs, given the tokens used; a service call costs its price, whatever it used.
    pub fn cost(&self, used: Tokens) -> Tokens {
        match self.spec.kind {
            _ if self.paid.is_some() => Tokens::ZERO,
            Kind::Engine => self.priced(used),
            Kind::Service => self.priced(self.max_tokens),
        }
    }

    /// What its witness has to know, once it has a target.
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

    /// What opens it at its witness.
    pub fn open_ask(&self) -> Option<Notice> {
        Some(Notice::Open {
            nonce: self.nonce,
            budget: self.budget,
            reservation: self.reservation()?,
        })
    }
}

/// A billed or cancelled request that its witnesses do not all have yet.
#[derive(Clone, Debug)]
pub(super) struct Settling {
    pub budget: BudgetKey,
    /// The bill; `None` where the request was never dispatched.
    pub billed: Option<Tokens>,
    pub acked: Vec<Incarnation>,
    pub since: Millis,
    /// The verdict that waits for the witnesses.
    pub verdict: Option<(Ticket, Verdict)>,
}
