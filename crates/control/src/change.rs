//! Changes of the configuration as operators propose them.

use serde::{Deserialize, Serialize};
use silversail_model::{ChangeId, ConfigurationDocument, Revision, ValidationErrors};

/// A change with its identity and the revision that it builds on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Chosen once by the operator, kept over resends.
    pub change_id: ChangeId,
    /// The revision that the operator saw; the change is accepted only on it.
    pub base_revision: Revision,
    /// Who makes the change, for the history.
    pub operator: String,
    /// What changes.
    pub document: ConfigurationDocument,
}

/// The answer to a change; a resend gets the first one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Accepted, as this revision.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
    },
    /// Another change was accepted on the base revision.
    Conflict {
        /// The current revision.
        current: Revision,
    },
    /// The resulting configuration does not validate; nothing changed.
    Invalid(ValidationErrors),
    /// The identifier belongs to another change.
    ChangeIdReused,
}
