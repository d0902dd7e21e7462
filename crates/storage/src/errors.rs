//! Errors of the storage package.

use std::path::PathBuf;

/// Why stored state can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// An operation on a file failed.
    #[error("{operation} {path}: {source}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// Which file.
        path: PathBuf,
        /// The system's answer.
        source: std::io::Error,
    },
    /// A record is damaged and valid records follow it, so it was synced once.
    #[error("{path} is damaged at byte {offset}: {detail}")]
    Corrupt {
        /// Which file.
        path: PathBuf,
        /// Where.
        offset: u64,
        /// What is wrong.
        detail: String,
    },
    /// Another process holds the folder.
    #[error("{path} is in use by another process")]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
}

impl StorageError {
    pub(crate) fn io(
        operation: &'static str,
        path: &std::path::Path,
    ) -> impl FnOnce(std::io::Error) -> StorageError {
        let path = path.to_owned();
        move |source| StorageError::Io {
            operation,
            path,
            source,
        }
    }
}
