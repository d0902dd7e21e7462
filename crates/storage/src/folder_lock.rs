//! Exclusive lock of a data folder.

use crate::errors::StorageError;
use std::fs::{File, OpenOptions, TryLockError};
use std::path::Path;

/// Lock of a data folder. It is released when it is dropped or the process ends.
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Creates the folder if it is missing and locks it. Returns
    /// [`StorageError::Locked`] if another process has the lock.
    pub fn acquire(folder: &Path) -> Result<Self, StorageError> {
        std::fs::create_dir_all(folder).map_err(StorageError::io("create folder", folder))?;
        let path = folder.join("lock");
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(StorageError::io("open", &path))?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => Err(StorageError::Locked { path }),
            Err(TryLockError::Error(error)) => Err(StorageError::io("lock", &path)(error)),
        }
    }
}
