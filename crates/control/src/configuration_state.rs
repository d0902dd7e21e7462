//! The replicated configuration.

use crate::change::{ChangeOutcome, ChangeRequest};
use crate::update::ConfigurationUpdate;
use serde::{Deserialize, Serialize};
use silversail_model::{ChangeId, Configuration, ConfigurationDocument, Revision};
use std::collections::{BTreeMap, VecDeque};

/// How many change identifiers are remembered with their answers.
pub const REMEMBERED_CHANGES: usize = 10_000;
/// How many changes are kept to bring nodes up to date without the whole
/// configuration.
pub const RECENT_CHANGES: usize = 512;

/// One accepted change, for `history`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision that it created.
    pub revision: Revision,
    /// Its identifier.
    pub change_id: ChangeId,
    /// Who made it.
    pub operator: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RememberedChange {
    fingerprint: u32,
    outcome: ChangeOutcome,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Replicated {
    revision: Revision,
    configuration: Configuration,
    remembered: BTreeMap<ChangeId, RememberedChange>,
    remembered_order: VecDeque<ChangeId>,
    history: VecDeque<HistoryEntry>,
}

/// The configuration with its accepted changes.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    replicated: Replicated,
    /// Changes since the last restart or snapshot; derived, not replicated.
    recent: VecDeque<(Revision, ConfigurationDocument)>,
}

impl ConfigurationState {
    /// The current revision.
    pub fn revision(&self) -> Revision {
        self.replicated.revision
    }

    /// The current configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.replicated.configuration
    }

    /// The latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.replicated.history.iter()
    }

    /// What a node at revision `have` lacks: single changes where they are
    /// still known, else everything. None when it is current. `have` is none
    /// for a node that has no configuration yet.
    pub fn update_since(&self, have: Option<Revision>) -> Option<ConfigurationUpdate> {
        let current = self.revision();
        let Some(have) = have.filter(|have| *have <= current) else {
            return Some(self.full_update());
        };
        if have == current {
            return None;
        }
        let documents: Vec<ConfigurationDocument> = self
            .recent
            .iter()
            .filter(|(revision, _)| *revision > have)
            .map(|(_, document)| document.clone())
            .collect();
        if documents.len() as Revision != current - have {
            return Some(self.full_update());
        }
        Some(ConfigurationUpdate::Changes {
            base: have,
            documents,
        })
    }

    fn full_update(&self) -> ConfigurationUpdate {
        ConfigurationUpdate::Full {
            revision: self.revision(),
            configuration: self.replicated.configuration.clone(),
        }
    }

    /// Applies a change, or gives the first answer when it was seen before.
    pub fn apply_change(&mut self, request: ChangeRequest) -> ChangeOutcome {
        let fingerprint = fingerprint(&request);
        if let Some(known) = self.replicated.remembered.get(&request.change_id) {
            if known.fingerprint != fingerprint {
                return ChangeOutcome::ChangeIdReused;
            }
            return known.outcome.clone();
        }
        let change_id = request.change_id.clone();
        let outcome = self.decide(request);
        self.remember(change_id, fingerprint, outcome.clone());
        outcome
    }

    fn decide(&mut self, request: ChangeRequest) -> ChangeOutcome {
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
        trim(&mut self.replicated.history, RECENT_CHANGES);
        trim(&mut self.recent, RECENT_CHANGES);
        ChangeOutcome::Accepted { revision }
    }

    fn remember(&mut self, change_id: ChangeId, fingerprint: u32, outcome: ChangeOutcome) {
        let remembered = RememberedChange {
            fingerprint,
            outcome,
        };
        self.replicated
            .remembered
            .insert(change_id.clone(), remembered);
        self.replicated.remembered_order.push_back(change_id);
        if self.replicated.remembered_order.len() > REMEMBERED_CHANGES {
            if let Some(oldest) = self.replicated.remembered_order.pop_front() {
                self.replicated.remembered.remove(&oldest);
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
    /// The whole state, encoded.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.replicated).expect("encoding into memory does not fail")
    }

    /// Replaces the state by a snapshot; false when it can't be decoded.
    pub fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok(replicated) = postcard::from_bytes(snapshot) else {
            return false;
        };
        self.replicated = replicated;
        self.recent.clear();
        true
    }
}
