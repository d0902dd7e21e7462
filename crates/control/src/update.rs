//! Configuration on its way to the nodes. A node applies increasing revisions
//! only.

use serde::{Deserialize, Serialize};
use silversail_model::{Configuration, ConfigurationDocument, Revision};

/// What brings a node to a newer revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The changes that follow revision `base`, one revision each.
    Changes {
        /// Revision on which the first change builds.
        base: Revision,
        /// The changes in order.
        documents: Vec<ConfigurationDocument>,
    },
    /// Everything.
    Full {
        /// Its revision.
        revision: Revision,
        /// The configuration.
        configuration: Configuration,
    },
}

/// The configuration that a node has in force.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfiguration {
    revision: Option<Revision>,
    configuration: Configuration,
}

impl AppliedConfiguration {
    /// The revision in force; none before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Applies an update; false when it is no newer than what is in force or
    /// does not follow it.
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
        let Some(have) = self.revision.filter(|have| *have >= base) else {
            return false;
        };
        let known = (have - base) as usize;
        if known >= documents.len() {
            return false;
        }
        for document in &documents[known..] {
            self.configuration.apply(document);
        }
        self.revision = Some(base + documents.len() as Revision);
        true
    }
}
