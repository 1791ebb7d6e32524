//! Estimates which shared prompt blocks each target has in its cache: those that this router recently sent to it.
//! Only an estimate, since other routers send blocks too and the target's eviction policy is unknown.

use std::collections::HashMap;

use crate::gateway::dialect::{Block, Prompt};
use crate::gateway::key::TargetKey;
use crate::units::Millis;

/// How long after its last use a block is assumed to be cached by the target.
const CACHED_FOR: Millis = Millis(20_000);
/// Number of entries above which expired ones are removed.
const ENTRIES_MAX: usize = 20_000;

/// Last use of each prompt block at each target.
#[derive(Debug, Default)]
pub struct Cache {
    last_use: HashMap<(TargetKey, u64), Millis>,
}

impl Cache {
    /// Records that a target has processed a prompt.
    pub fn record_prompt(&mut self, now: Millis, key: TargetKey, prompt: &Prompt) {
        for block in prompt.shared_blocks() {
            self.last_use.insert((key, block.id), now);
        }
        if self.last_use.len() > ENTRIES_MAX {
            self.last_use
                .retain(|_, at| now.saturating_sub(*at) < CACHED_FOR);
        }
    }

    /// Removes all entries of a target.
    pub fn remove_target(&mut self, key: TargetKey) {
        self.last_use.retain(|(target, _), _| *target != key);
    }

    /// Tokens of shared blocks that a target would have to prefill. A cached block can only be reused if all blocks
    /// before it are cached as well.
    pub fn uncached_tokens(&self, now: Millis, key: TargetKey, shared: &[Block]) -> u64 {
        let is_cached = |block: &&Block| {
            let last_use = self.last_use.get(&(key, block.id));
            last_use.is_some_and(|at| now.saturating_sub(*at) < CACHED_FOR)
        };
        let cached = shared.iter().take_while(is_cached).count();
        shared[cached..].iter().map(|block| block.tokens.0).sum()
    }
}
