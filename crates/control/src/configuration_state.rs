//! Replicated configuration with its change history.

use crate::change::{ChangeOutcome, ChangeRequest};
use crate::update::ConfigurationUpdate;
use serde::{Deserialize, Serialize};
use silversail_model::{ChangeId, Configuration, ConfigurationDocument, Revision};
use std::collections::{BTreeMap, VecDeque};

/// Number of change identifiers whose outcomes are stored to answer repeated requests.
pub const MAX_RECORDED_CHANGES: usize = 10_000;
/// Number of recent changes that are stored to update nodes without sending the full
/// configuration.
pub const MAX_RECENT_CHANGES: usize = 512;

/// An accepted change in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Identifier chosen by the operator.
    pub change_id: ChangeId,
    /// Operator who made the change.
    pub operator: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RecordedChange {
    fingerprint: u32,
    outcome: ChangeOutcome,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ReplicatedState {
    revision: Revision,
    configuration: Configuration,
    recorded: BTreeMap<ChangeId, RecordedChange>,
    recorded_order: VecDeque<ChangeId>,
    history: VecDeque<HistoryEntry>,
}

/// The configuration with its accepted changes.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    replicated: ReplicatedState,
    /// Changes since the last restart or snapshot; not part of the replicated state.
    recent: VecDeque<(Revision, ConfigurationDocument)>,
}

impl ConfigurationState {
    /// Revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.replicated.revision
    }

    /// Configuration at the current revision.
    pub fn configuration(&self) -> &Configuration {
        &self.replicated.configuration
    }

    /// The latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.replicated.history.iter()
    }

    /// Update for a node at revision `held_revision`: the later changes if they are all stored, otherwise
    /// the full configuration. Returns `None` if the node is current. `held_revision` is `None` for a
    /// node without a configuration.
    pub fn update_since(&self, held_revision: Option<Revision>) -> Option<ConfigurationUpdate> {
        let current = self.revision();
        let Some(held_revision) = held_revision.filter(|held_revision| *held_revision <= current)
        else {
            return Some(self.full_update());
        };
        if held_revision == current {
            return None;
        }
        let documents: Vec<ConfigurationDocument> = self
            .recent
            .iter()
            .filter(|(revision, _)| *revision > held_revision)
            .map(|(_, document)| document.clone())
            .collect();
        if documents.len() as Revision != current - held_revision {
            return Some(self.full_update());
        }
        Some(ConfigurationUpdate::Changes {
            base: held_revision,
            documents,
        })
    }

    fn full_update(&self) -> ConfigurationUpdate {
        ConfigurationUpdate::Full {
            revision: self.revision(),
            configuration: self.replicated.configuration.clone(),
        }
    }

    /// Applies a change, or returns the recorded outcome if its identifier is known.
    pub fn apply_change(&mut self, request: ChangeRequest) -> ChangeOutcome {
        let fingerprint = fingerprint(&request);
        if let Some(previous) = self.replicated.recorded.get(&request.change_id) {
            if previous.fingerprint != fingerprint {
                return ChangeOutcome::ChangeIdReused;
            }
            return previous.outcome.clone();
        }
        let change_id = request.change_id.clone();
        let outcome = self.accept_change(request);
        self.record_change(change_id, fingerprint, outcome.clone());
        outcome
    }

    fn accept_change(&mut self, request: ChangeRequest) -> ChangeOutcome {
        let current = self.revision();
        if request.base_revision != current {
            return ChangeOutcome::Conflict { current };
        }
        let next = self.replicated.configuration.with_change(&request.document);
        let configuration = match next {
            Ok(configuration) => configuration,
            Err(errors) => return ChangeOutcome::Invalid(errors),
        };
        let revision = current + 1;
        self.replicated.revision = revision;
        self.replicated.configuration = configuration;
        self.replicated.history.push_back(HistoryEntry {
            revision,
            change_id: request.change_id,
            operator: request.operator,
        });
        self.recent.push_back((revision, request.document));
        trim(&mut self.replicated.history, MAX_RECENT_CHANGES);
        trim(&mut self.recent, MAX_RECENT_CHANGES);
        ChangeOutcome::Accepted { revision }
    }

    fn record_change(&mut self, change_id: ChangeId, fingerprint: u32, outcome: ChangeOutcome) {
        let recorded = RecordedChange {
            fingerprint,
            outcome,
        };
        self.replicated.recorded.insert(change_id.clone(), recorded);
        self.replicated.recorded_order.push_back(change_id);
        if self.replicated.recorded_order.len() > MAX_RECORDED_CHANGES {
            if let Some(oldest) = self.replicated.recorded_order.pop_front() {
                self.replicated.recorded.remove(&oldest);
            }
        }
    }
}

fn trim<T>(queue: &mut VecDeque<T>, limit: usize) {
    while queue.len() > limit {
        queue.pop_front();
    }
}

fn fingerprint(request: &ChangeRequest) -> u32 {
    let encoded = postcard::to_stdvec(request).expect("encoding into memory does not fail");
    crc32fast::hash(&encoded)
}

impl ConfigurationState {
    /// Encodes the replicated state.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.replicated).expect("encoding into memory does not fail")
    }

    /// Replaces the state with a snapshot; returns false if it cannot be decoded.
    pub fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok(replicated) = postcard::from_bytes(snapshot) else {
            return false;
        };
        self.replicated = replicated;
        self.recent.clear();
        true
    }
}
