//! How a node comes back to a back end that asked for rest: all nodes were told alike, and would
//! come back together.

use crate::Millis;
use serde::Deserialize;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// How nodes come back to back ends after rests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResumePolicy {
    /// Whether one request goes first, and the others once its answer says no more of rest.
    pub first_alone: bool,
    /// Nodes come back spread over this share of the rest after its end.
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

/// How one node comes back to one back end.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumePlan {
    /// Whether one request goes first.
    pub(super) first_alone: bool,
    /// How long after the end of a rest, as a share of it.
    delay_share: f64,
}

impl ResumePlan {
    /// How long after the end of a rest of this length it comes back, both in milliseconds.
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
