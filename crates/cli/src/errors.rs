//! Errors of the command line and their exit codes.

use serde_json::Value;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file can't be read.
    #[error("{path}: {message}")]
    File {
        /// Its path.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// Input does not validate.
    #[error("{0}")]
    Invalid(String),
    /// The cluster refused, with its numbered code.
    #[error("{code} {reason}: {message}")]
    Refused {
        /// Numbered code.
        code: u64,
        /// The code's reason.
        reason: String,
        /// Details.
        message: String,
    },
    /// No server answered.
    #[error("no answer from {0}")]
    NoAnswer(String),
    /// Something on this machine failed.
    #[error("{0}")]
    Local(String),
}

/// Code of a conflict with another change.
const REVISION_CONFLICT: u64 = 4001;
/// Codes of input that does not validate.
const INVALID_CODES: [u64; 3] = [4002, 4004, 4005];
/// Code of a change that no leader answered.
const NO_LEADER: u64 = 4003;

impl CliError {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Refused { code, .. } if *code == REVISION_CONFLICT => 2,
            CliError::Refused { code, .. } if INVALID_CODES.contains(code) => 3,
            CliError::Refused { code, .. } if *code == NO_LEADER => 4,
            CliError::File { .. } | CliError::Invalid(_) => 3,
            CliError::NoAnswer(_) => 4,
            CliError::Refused { .. } | CliError::Local(_) => 1,
        }
    }

    /// A refusal as the servers send it.
    pub fn refused(body: &Value) -> Self {
        let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
        CliError::Refused {
            code: body["code"].as_u64().unwrap_or_default(),
            reason: text("reason"),
            message: text("message"),
        }
    }
}
