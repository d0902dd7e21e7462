//! Which beginnings of prompts this node has seen lately: other nodes of its region see them
//! too, and the engines there hold them.

use crate::ports::PrefixPart;
use crate::regions::SharedPrefixCost;
use crate::Millis;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

/// A beginning that came again within this time is popular, in milliseconds: seen twice at one
/// of some ten nodes of a region, it comes there about once a second, and engines hold prompts
/// for tens of seconds.
const POPULAR_WITHIN: Millis = 10_000;
/// Most beginnings that are remembered: at 24 bytes each some 100 KB.
const MOST_REMEMBERED: usize = 4_096;

/// When this node last saw each beginning of a prompt.
#[derive(Default)]
pub struct PromptPopularity {
    seen_at: HashMap<u64, Millis>,
}

impl PromptPopularity {
    /// Takes in the prompt of a request and tells how long engines read the part of it that
    /// requests share, at `tokens_per_ms`.
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

    /// Whether a beginning came lately; it did now.
    fn is_popular(&mut self, beginning: u64, now: Millis) -> bool {
        if self.seen_at.len() >= MOST_REMEMBERED {
            self.forget_old(now);
        }
        let before = self.seen_at.insert(beginning, now);
        before.is_some_and(|at| now.saturating_sub(at) <= POPULAR_WITHIN)
    }

    /// Forgets what is not popular any more, or all if that is not enough.
    fn forget_old(&mut self, now: Millis) {
        self.seen_at
            .retain(|_, at| now.saturating_sub(*at) <= POPULAR_WITHIN);
        if self.seen_at.len() >= MOST_REMEMBERED {
            self.seen_at.clear();
        }
    }

    /// How many beginnings are remembered.
    pub fn tracked_prefixes(&self) -> usize {
        self.seen_at.len()
    }
}

/// The parts of a prompt that requests share: all but the last, which belongs to the request
/// itself.
pub fn shared_parts(prefix: &[PrefixPart]) -> &[PrefixPart] {
    match prefix {
        [] | [_] => prefix,
        [shared @ .., _] => shared,
    }
}
