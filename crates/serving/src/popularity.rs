//! Tracks which prompt prefixes this node has seen recently. Other nodes of the region probably see
//! popular ones too, so the region's engines have them cached.

use crate::ports::PrefixPart;
use crate::regions::SharedPrefixCost;
use crate::Millis;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

/// A prefix is popular if it recurs within this time, in milliseconds. Shorter than the time for
/// which engines cache prompts. A prefix that recurs within it at one of ten nodes comes to their
/// region about once per second.
const POPULAR_WITHIN: Millis = 10_000;
/// Maximum number of tracked prefixes.
const MAX_TRACKED_PREFIXES: usize = 4_096;

/// Time at which this node last saw each prompt prefix.
#[derive(Default)]
pub struct PromptPopularity {
    seen_at: HashMap<u64, Millis>,
}

impl PromptPopularity {
    /// Records the prompt of a request and returns the prefill cost of its shared prefix at a
    /// prefill speed of `tokens_per_ms`.
    pub fn record(
        &mut self,
        prefix: &[PrefixPart],
        tokens_per_ms: f64,
        now: Millis,
    ) -> SharedPrefixCost {
        let mut hasher = DefaultHasher::new();
        let mut shared = SharedPrefixCost::default();
        for part in shared_parts(prefix) {
            part.id.hash(&mut hasher);
            let read_ms = f64::from(part.tokens) / tokens_per_ms;
            shared.prefill_ms += read_ms;
            if !self.is_popular(hasher.finish(), now) {
                shared.rare_prefill_ms += read_ms;
            }
        }
        shared
    }

    /// Whether a prefix was seen recently; records that it was seen now.
    fn is_popular(&mut self, prefix_hash: u64, now: Millis) -> bool {
        if self.seen_at.len() >= MAX_TRACKED_PREFIXES {
            self.evict(now);
        }
        let last_seen = self.seen_at.insert(prefix_hash, now);
        last_seen.is_some_and(|at| now.saturating_sub(at) <= POPULAR_WITHIN)
    }

    /// Drops prefixes that are no longer popular, or all if the table is still full.
    fn evict(&mut self, now: Millis) {
        self.seen_at
            .retain(|_, at| now.saturating_sub(*at) <= POPULAR_WITHIN);
        if self.seen_at.len() >= MAX_TRACKED_PREFIXES {
            self.seen_at.clear();
        }
    }

    /// Number of tracked prefixes.
    pub fn tracked_prefixes(&self) -> usize {
        self.seen_at.len()
    }
}

/// The parts of a prompt that requests share: all but the last, which is specific to the request.
/// A prompt of a single part is returned whole.
pub fn shared_parts(prefix: &[PrefixPart]) -> &[PrefixPart] {
    match prefix {
        [] | [_] => prefix,
        [shared @ .., _] => shared,
    }
}
