//! Errors of the storage package.

use std::path::PathBuf;

/// Error of reading or writing stored state.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("{operation} {path}: {source}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Synced data is damaged: a record that valid records follow, or a file that was
    /// written as a whole.
    #[error("{path} is damaged at byte {offset}: {detail}")]
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// Description of the damage.
        detail: String,
    },
    /// Another process has locked the folder.
    #[error("{path} is in use by another process")]
    Locked {
        /// Path of the lock file.
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
