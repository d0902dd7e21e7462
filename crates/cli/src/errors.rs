//! Errors of the command line and their exit codes.

use serde_json::Value;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read or written.
    #[error("{path}: {message}")]
    File {
        /// Path of the file.
        path: String,
        /// Description of the error.
        message: String,
    },
    /// Input is invalid.
    #[error("{0}")]
    Invalid(String),
    /// The cluster rejected the request.
    #[error("{code} {reason}: {message}")]
    Rejected {
        /// Numbered result code.
        code: u64,
        /// Name of the result code.
        reason: String,
        /// Detailed message.
        message: String,
    },
    /// No server answered.
    #[error("no answer from {0}")]
    NoAnswer(String),
    /// An operation on this machine failed.
    #[error("{0}")]
    Local(String),
}

/// Result code of a conflict with another change.
const REVISION_CONFLICT: u64 = 4001;
/// Result codes of invalid input.
const INVALID_CODES: [u64; 3] = [4002, 4004, 4005];
/// Result code of a change without an available leader.
const NO_LEADER: u64 = 4003;

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Rejected { code, .. } if *code == REVISION_CONFLICT => 2,
            CliError::Rejected { code, .. } if INVALID_CODES.contains(code) => 3,
            CliError::Rejected { code, .. } if *code == NO_LEADER => 4,
            CliError::File { .. } | CliError::Invalid(_) => 3,
            CliError::NoAnswer(_) => 4,
            CliError::Rejected { .. } | CliError::Local(_) => 1,
        }
    }

    /// Converts the error body of a server.
    pub fn rejected(body: &Value) -> Self {
        let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
        CliError::Rejected {
            code: body["code"].as_u64().unwrap_or_default(),
            reason: text("reason"),
            message: text("message"),
        }
    }
}
