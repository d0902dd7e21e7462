//! Atomic replacement of files, with folder syncs.

use crate::errors::StorageError;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

/// Syncs the entries of a folder.
pub fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    File::open(folder)
        .and_then(|handle| handle.sync_all())
        .map_err(StorageError::io("sync folder", folder))
}

/// Atomically replaces the file `name` in `folder` through a temporary file and a
/// rename. The new content is durable when this returns.
pub fn replace_file(folder: &Path, name: &str, content: &[u8]) -> Result<(), StorageError> {
    let temporary = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let mut file = File::create(&temporary).map_err(StorageError::io("create", &temporary))?;
    file.write_all(content)
        .map_err(StorageError::io("write", &temporary))?;
    file.sync_all()
        .map_err(StorageError::io("sync", &temporary))?;
    fs::rename(&temporary, &path).map_err(StorageError::io("rename", &path))?;
    sync_folder(folder)
}

/// Reads a whole file; none when it does not exist.
pub fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(content) => Ok(Some(content)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(StorageError::io("read", path)(error)),
    }
}
