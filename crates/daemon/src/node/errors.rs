//! Why a process could not start, or stopped unplanned.

use silversail_model::ResultCode;
use silversail_storage::StorageError;

/// Why a process could not start, or stopped unplanned.
#[derive(Debug, thiserror::Error)]
#[error("{} {message}", .code.number())]
pub struct NodeError {
    /// Numbered code.
    pub code: ResultCode,
    /// What happened.
    pub message: String,
}

impl NodeError {
    /// An error with its code.
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
