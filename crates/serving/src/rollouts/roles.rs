//! Roles of the versions of a service in its rollouts.

use silversail_rollout::{Rollout, RolloutState};
use std::collections::{BTreeMap, BTreeSet};

/// Role of a version of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionRole {
    /// No rollout of the service is in progress, and none has retired the version.
    #[default]
    Ordinary,
    /// The rollout moves traffic away from the version.
    Baseline,
    /// The rollout moves traffic to the version.
    Candidate,
    /// Replaced or rolled back: gets no requests until a new rollout targets the version.
    Retired,
}

impl VersionRole {
    /// Label value in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Baseline => "baseline",
            Self::Candidate => "candidate",
            Self::Retired => "retired",
        }
    }
}

/// Which versions a request may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionChoice {
    /// All versions that are not retired.
    #[default]
    Any,
    /// All versions that are neither retired nor the candidate.
    Baseline,
    /// Only the candidate.
    Candidate,
}

impl VersionChoice {
    /// Whether a version with the given role may get the request.
    pub fn admits(self, role: VersionRole) -> bool {
        match self {
            _ if role == VersionRole::Retired => false,
            Self::Any => true,
            Self::Baseline => role != VersionRole::Candidate,
            Self::Candidate => role == VersionRole::Candidate,
        }
    }
}

/// Versions of one service with a role other than ordinary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceVersions {
    candidate: Option<String>,
    retired: BTreeSet<String>,
}

/// Roles of all versions, from the latest rollouts and the earlier ones that this process has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRoles {
    services: BTreeMap<String, ServiceVersions>,
}

impl VersionRoles {
    /// Role of a version of a service.
    pub fn of(&self, service: &str, version: &str) -> VersionRole {
        let Some(known) = self.services.get(service) else {
            return VersionRole::Ordinary;
        };
        if known.retired.contains(version) {
            return VersionRole::Retired;
        }
        match known.candidate.as_deref() {
            None => VersionRole::Ordinary,
            Some(candidate) if candidate == version => VersionRole::Candidate,
            Some(_) => VersionRole::Baseline,
        }
    }

    /// Updates the roles from the latest rollout of a service. Versions retired earlier stay so.
    pub(super) fn update(&mut self, rollout: &Rollout) {
        let service = rollout.order.service.clone();
        let target = &rollout.order.target_version;
        let known = self.services.entry(service).or_default();
        known.candidate = None;
        match &rollout.state {
            RolloutState::InProgress(_) => {
                known.retired.remove(target);
                known.candidate = Some(target.clone());
            }
            RolloutState::Completed {
                former_versions, ..
            } => {
                known.retired.extend(former_versions.iter().cloned());
                known.retired.remove(target);
            }
            RolloutState::RolledBack { .. } => {
                known.retired.insert(target.clone());
            }
        }
    }
}
