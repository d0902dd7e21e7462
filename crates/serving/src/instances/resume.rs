//! How a node resumes sending after a back end asked for a rest. All nodes hear the same end of
//! the rest, and would resume at the same time.

use crate::Millis;
use serde::Deserialize;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Resumption of requests to back ends after rests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResumePolicy {
    /// Whether one request goes first as a probe, and the others once its answer asks for no
    /// further rest.
    pub first_alone: bool,
    /// Share of the length of a rest over which the nodes spread their resumption after its end.
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
    /// Delay after the end of a rest, as a share of its length.
    delay_share: f64,
}

impl ResumePlan {
    /// Delay in milliseconds after the end of a rest that lasted `rest` milliseconds.
    pub(super) fn delay(&self, rest: Millis) -> Millis {
        (rest as f64 * self.delay_share) as Millis
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
