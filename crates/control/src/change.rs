//! Configuration changes proposed by operators.

use serde::{Deserialize, Serialize};
use silversail_model::{ChangeId, ConfigurationDocument, Revision, ValidationErrors};

/// A configuration change with its identifier and base revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Chosen by the operator; the same for all retries of the change.
    pub change_id: ChangeId,
    /// Revision that the change is based on; it is accepted only if that is still current.
    pub base_revision: Revision,
    /// Name of the operator, for the history.
    pub operator: String,
    /// Objects to create, replace or delete.
    pub document: ConfigurationDocument,
}

/// Outcome of a change; retries get the outcome of the first attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is accepted.
    Accepted {
        /// Revision created by the change.
        revision: Revision,
    },
    /// The base revision is not the current one.
    Conflict {
        /// Current revision.
        current: Revision,
    },
    /// The resulting configuration is invalid; the change has no effect.
    Invalid(ValidationErrors),
    /// The identifier was used for a different change.
    ChangeIdReused,
}
