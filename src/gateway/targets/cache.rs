//! Which shared prompt blocks each target has most likely cached: those that this router sent there
//! of late. A guess, since other routers send there too and targets evict as they like.

use std::collections::HashMap;

use crate::gateway::dialect::{Block, Prompt};
use crate::gateway::key::TargetKey;
use crate::units::Millis;

/// How long a target is taken to keep a block after its last use.
const KEPT: Millis = Millis(20_000);
/// Entries that are remembered before those that are too old are dropped.
const ENTRIES_MAX: usize = 20_000;

/// Blocks that were sent to targets.
#[derive(Debug, Default)]
pub struct Cache {
    last_use: HashMap<(TargetKey, u64), Millis>,
}

impl Cache {
    /// Notes that a target has processed a prompt.
    pub fn note(&mut self, now: Millis, key: TargetKey, prompt: &Prompt) {
        for block in prompt.shared_blocks() {
            self.last_use.insert((key, block.id), now);
        }
        if self.last_use.len() > ENTRIES_MAX {
            self.last_use.retain(|_, at| now.saturating_sub(*at) < KEPT);
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, key: TargetKey) {
        self.last_use.retain(|(target, _), _| *target != key);
    }

    /// Tokens of shared blocks that a target would have to prefill. A block is only of use where all
    /// before it are cached.
    pub fn uncached(&self, now: Millis, key: TargetKey, shared: &[Block]) -> u64 {
        let is_cached = |block: &&Block| {
            let last_use = self.last_use.get(&(key, block.id));
            last_use.is_some_and(|at| now.saturating_sub(*at) < KEPT)
        };
        let cached = shared.iter().take_while(is_cached).count();
        shared[cached..].iter().map(|block| block.tokens.0).sum()
    }
}
