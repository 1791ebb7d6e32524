//! Targets as the list tells of them, and the blocks of prompts that they cache.
#![allow(dead_code)]

use lanedeck::gateway::dialect::{Block, Listing};
use lanedeck::units::Tokens;

/// A target that takes requests, with an address of its own.
pub fn listing(number: u16) -> Listing {
    Listing {
        instance: format!("i-{number}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        hall: "hall".into(),
        slots: 8,
        is_ready: true,
    }
}

/// A block of a prompt.
pub fn block(id: u64, tokens: u64) -> Block {
    Block {
        id,
        tokens: Tokens(tokens),
    }
}
