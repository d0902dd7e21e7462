//! Configuration updates for nodes, which apply only increasing revisions.

use serde::{Deserialize, Serialize};
use silversail_model::{Configuration, ConfigurationDocument, Revision};

/// Update of a node to a newer configuration revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The changes that follow revision `base`, one revision each.
    Changes {
        /// Revision to which the first change applies.
        base: Revision,
        /// Changes in the order of their revisions.
        documents: Vec<ConfigurationDocument>,
    },
    /// The full configuration.
    Full {
        /// Revision of the configuration.
        revision: Revision,
        /// All objects of the configuration.
        configuration: Configuration,
    },
}

/// The configuration that is in force on a node.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfiguration {
    revision: Option<Revision>,
    configuration: Configuration,
}

impl AppliedConfiguration {
    /// Revision in force; `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Configuration in force; empty before the first update.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Applies an update. Returns false if it is not newer than the revision in force or its base
    /// is newer than that.
    pub fn apply(&mut self, update: ConfigurationUpdate) -> bool {
        match update {
            ConfigurationUpdate::Full {
                revision,
                configuration,
            } => {
                if self.revision.is_some_and(|have| have >= revision) {
                    return false;
                }
                self.revision = Some(revision);
                self.configuration = configuration;
                true
            }
            ConfigurationUpdate::Changes { base, documents } => self.apply_changes(base, documents),
        }
    }

    fn apply_changes(&mut self, base: Revision, documents: Vec<ConfigurationDocument>) -> bool {
        let Some(current_revision) = self
            .revision
            .filter(|current_revision| *current_revision >= base)
        else {
            return false;
        };
        let applied_count = (current_revision - base) as usize;
        if applied_count >= documents.len() {
            return false;
        }
        for document in &documents[applied_count..] {
            self.configuration.apply(document);
        }
        self.revision = Some(base + documents.len() as Revision);
        true
    }
}
