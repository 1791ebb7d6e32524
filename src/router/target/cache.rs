//! Which engines are thought to hold which prompt prefixes.
//!
//! A prompt is cut into blocks; the hash of a block covers all before it. The view is built from
//! this router's own dispatches and from the engines' cache events, which come late and with
//! gaps, so an entry is a guess that grows old.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetKey;
use crate::units::Millis;

/// Bytes of prompt in a block.
pub const BLOCK: usize = 256;
/// Blocks of one prompt that are looked at.
const BLOCKS_MAX: usize = 64;
/// Engines remembered for one block.
const HOLDERS: usize = 4;
/// Blocks remembered.
const VIEW_MAX: usize = 32_768;
/// An entry not renewed for this long is no longer believed.
const BELIEVED: Millis = Millis(300_000);

/// Hashes of a prompt's whole blocks, each covering its whole prefix.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    let chunks = prompt.chunks_exact(BLOCK).take(BLOCKS_MAX);
    chunks
        .map(|chunk| {
            hash = xxh3_64_with_seed(chunk, hash);
            hash
        })
        .collect()
}

#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    targets: [Option<(TargetKey, Millis)>; HOLDERS],
}

impl Holders {
    fn add(&mut self, target: TargetKey, now: Millis) {
        let known = self
            .targets
            .iter_mut()
            .find(|slot| slot.is_some_and(|(key, _)| key == target));
        if let Some(slot) = known {
            *slot = Some((target, now));
            return;
        }
        let oldest = self
            .targets
            .iter_mut()
            .min_by_key(|slot| slot.map_or(Millis::ZERO, |(_, at)| at + Millis(1)));
        if let Some(slot) = oldest {
            *slot = Some((target, now));
        }
    }

    fn remove(&mut self, target: TargetKey) {
        for slot in &mut self.targets {
            if slot.is_some_and(|(key, _)| key == target) {
                *slot = None;
            }
        }
    }

    fn has(&self, target: TargetKey, now: Millis) -> bool {
        let mut slots = self.targets.iter().flatten();
        slots.any(|(key, at)| *key == target && now <= *at + BELIEVED)
    }
}

/// The guess of what is cached where.
#[derive(Debug, Default)]
pub struct View {
    blocks: HashMap<u64, Holders>,
    order: VecDeque<u64>,
}

impl View {
    /// The target has, or will shortly have, these blocks.
    pub fn stored(&mut self, now: Millis, target: TargetKey, blocks: &[u64]) {
        for block in blocks {
            if !self.blocks.contains_key(block) {
                self.order.push_back(*block);
            }
            self.blocks.entry(*block).or_default().add(target, now);
        }
        while self.blocks.len() > VIEW_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.blocks.remove(&oldest);
        }
    }

    /// The target says that it has dropped these blocks.
    pub fn evicted(&mut self, target: TargetKey, blocks: &[u64]) {
        for block in blocks {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.remove(target);
            }
        }
    }

    /// Leading blocks of a prompt that the target is thought to have.
    pub fn depth(&self, now: Millis, target: TargetKey, blocks: &[u64]) -> usize {
        let held = |block: &&u64| {
            let holders = self.blocks.get(*block);
            holders.is_some_and(|holders| holders.has(target, now))
        };
        blocks.iter().take_while(held).count()
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
