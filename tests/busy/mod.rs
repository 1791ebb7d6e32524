//! The control state of a router, and requests for it, without a network.
#![allow(dead_code, missing_docs)]

use lanedeck::gateway::decision::capacity::Capacity;
use lanedeck::gateway::decision::grant::Sizing;
use lanedeck::gateway::decision::origin::Constraint;
use lanedeck::gateway::decision::retry::Bound;
use lanedeck::gateway::decision::rollout;
use lanedeck::gateway::dialect::{Listing, Load, Prompt};
use lanedeck::gateway::escrow::Demand;
use lanedeck::gateway::fingerprint::Hasher;
use lanedeck::gateway::job::{Delivery, Ending, Job, Timing};
use lanedeck::gateway::members::Router;
use lanedeck::gateway::slots::Occupancy;
use lanedeck::gateway::state::{Settings, State};
use lanedeck::gateway::targets::Freshness;
use lanedeck::units::{Millis, Percent, Tokens};

use super::listed::{self, block};

pub const NOW: Millis = Millis(1_000_000);
pub const USUAL: Option<Percent> = Some(Percent(100));

/// The control state of the only router, with this many targets.
pub fn state(targets: u16) -> State {
    let place = ([127, 0, 0, 1], 1).into();
    let mut state = State::new(Settings {
        me: Router {
            name: "g0".into(),
            incarnation: 1,
            front: place,
            link: place,
            hall: "hall".into(),
            is_ready: true,
            heartbeat: 1,
        },
        capacity: Capacity::new(0.0, 0.0),
        heartbeat: Millis(1_200),
        retries: Bound {
            ratio: 0.2,
            window: Millis(10_000),
            extra: 20.0,
        },
        sizing: Sizing {
            horizon: Millis(8_000),
            exact: Millis(12_000),
            share: 0.8,
            spread: 0.05,
            holders: 8,
            copy_age: Millis::ZERO,
        },
        rollout: rollout::Limit {
            share: 0.1,
            extra: 50.0,
        },
        seed: 5,
        started: None,
    });
    for number in 0..targets {
        let listing = Listing {
            slots: 48,
            ..listed::listing(number)
        };
        state.list(NOW, listing, Freshness::Newest);
    }
    state
}

/// A model request without shared blocks.
pub fn job(id: &str, tokens: u64, deadline: Millis) -> Job {
    Job {
        id: id.into(),
        route: "talk".into(),
        services: vec![("s".into(), 1.0)],
        prompt: Some(Prompt {
            model: "m".into(),
            tokens: Tokens(tokens),
            max_tokens: Tokens(100),
            blocks: vec![block(u64::MAX, tokens)],
        }),
        stream: None,
        origin: Constraint::Any,
        fingerprint: Hasher::new("fleet").fingerprint(None, &[id.as_bytes()]),
        payer: None,
        rank: 1,
        deadline,
        demand: Demand::New,
    }
}

pub fn load(slowdown: Option<Percent>) -> Load {
    Load {
        running: 0,
        waiting: 0,
        slowdown,
    }
}

pub fn ending() -> Ending {
    Ending {
        outcome: None,
        occupancy: Occupancy::Ended,
        delivery: Delivery::Nothing,
        timing: Timing::Unknown,
    }
}
