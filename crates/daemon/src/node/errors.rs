//! Errors that prevent a process from starting or stop it.

use silversail_model::ResultCode;
use silversail_storage::StorageError;

/// An error that prevents a process from starting or stops it.
#[derive(Debug, thiserror::Error)]
#[error("{} {message}", .code.number())]
pub struct NodeError {
    /// Numbered result code.
    pub code: ResultCode,
    /// Cause of the error.
    pub message: String,
}

impl NodeError {
    /// An error with a numbered code and the text of its cause.
    pub fn new(code: ResultCode, message: impl std::fmt::Display) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}

impl From<StorageError> for NodeError {
    fn from(error: StorageError) -> Self {
        let code = match &error {
            StorageError::Corrupt { .. } => ResultCode::StorageCorrupt,
            StorageError::Locked { .. } => ResultCode::DataFolderLocked,
            StorageError::Io { .. } => ResultCode::DataFolder,
        };
        Self::new(code, error)
    }
}
