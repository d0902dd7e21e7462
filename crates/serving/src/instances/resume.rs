//! How a node resumes sending after a back end requested a back-off. All nodes receive the same
//! end of the back-off, and would resume at the same time.

use crate::Millis;
use serde::Deserialize;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Resumption of requests to back ends after a back-off.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResumePolicy {
    /// Whether one request goes first as a probe, and the others once its answer requests no
    /// further back-off.
    pub first_alone: bool,
    /// Share of the length of a back-off over which the nodes spread their resumption after
    /// its end.
    pub spread: f64,
}

impl Default for ResumePolicy {
    fn default() -> Self {
        Self {
            first_alone: true,
            spread: 1.0,
        }
    }
}

/// When one node resumes sending to one back end.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumePlan {
    /// Whether a probe request goes first.
    pub(super) first_alone: bool,
    /// Delay after the end of a back-off, as a share of its length.
    delay_share: f64,
}

impl ResumePlan {
    /// Delay in milliseconds after the end of a back-off that lasted `backoff` milliseconds.
    pub(super) fn delay(&self, backoff: Millis) -> Millis {
        (backoff as f64 * self.delay_share) as Millis
    }
}

impl ResumePolicy {
    pub(super) fn plan_for(&self, node: &str, backend: &str) -> ResumePlan {
        let mut hasher = DefaultHasher::new();
        (node, backend).hash(&mut hasher);
        ResumePlan {
            first_alone: self.first_alone,
            delay_share: hasher.finish() as f64 / u64::MAX as f64 * self.spread,
        }
    }
}
