//! Files of one replica.

use crate::errors::StorageError;
use crate::file::{read_file, replace_file};
use crate::record::{contains_frame, read_frame, write_frame, Record, HEADER_BYTES};
use serde::{de::DeserializeOwned, Serialize};
use silversail_consensus::{Entry, HardState, ReplicaId, Snapshot, StoredState, WriteBatch};
use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// Result of opening the folder of a replica.
pub struct OpenedReplica {
    /// Store, which is ready for writes.
    pub store: ReplicaStore,
    /// Identity of the replica; created with `new_identity` if the folder was empty.
    pub identity: ReplicaId,
    /// Stored state; none until the replica has formed or joined a group.
    pub state: Option<StoredState>,
    /// Size of the torn tail that was truncated from the log, in bytes.
    pub torn_bytes: u64,
}

/// Open files of one replica.
pub struct ReplicaStore {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
}

impl ReplicaStore {
    /// Opens or creates the folder of a replica. The identity is synced before this
    /// returns, so that the replica cannot lose an identity that it has announced.
    pub fn open(
        folder: &Path,
        new_identity: impl FnOnce() -> ReplicaId,
    ) -> Result<OpenedReplica, StorageError> {
        std::fs::create_dir_all(folder).map_err(StorageError::io("create folder", folder))?;
        if let Some(parent) = folder.parent() {
            crate::file::sync_folder(parent)?;
        }
        let stored_identity: Option<ReplicaId> = read_frame_file(&folder.join(IDENTITY_FILE))?;
        let identity = match stored_identity {
            Some(identity) => identity,
            None => {
                let identity = new_identity();
                replace_file(folder, IDENTITY_FILE, &encode_frame(&identity))?;
                identity
            }
        };
        let snapshot: Option<Snapshot> = read_frame_file(&folder.join(SNAPSHOT_FILE))?;
        let (mut store, hard_state, entries, torn_bytes) = Self::open_log(folder)?;
        let state = match snapshot {
            Some(snapshot) => Some(Self::build_state(folder, snapshot, hard_state, entries)?),
            None => {
                // Without a snapshot the replica has never been a member of a group.
                store.rewrite_log(&HardState::default(), &[])?;
                None
            }
        };
        Ok(OpenedReplica {
            store,
            identity,
            state,
            torn_bytes,
        })
    }

    fn build_state(
        folder: &Path,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<StoredState, StorageError> {
        let snapshot_index = snapshot.meta.index;
        let entries: Vec<Entry> = entries
            .into_iter()
            .filter(|entry| entry.index > snapshot_index)
            .collect();
        if let Some(first) = entries
            .first()
            .filter(|first| first.index != snapshot_index + 1)
        {
            return Err(StorageError::Corrupt {
                path: folder.join(LOG_FILE),
                offset: 0,
                detail: format!(
                    "log starts at entry {} but the snapshot ends at entry {snapshot_index}",
                    first.index
                ),
            });
        }
        Ok(StoredState {
            hard_state,
            snapshot,
            entries,
        })
    }

    fn open_log(folder: &Path) -> Result<(Self, HardState, Vec<Entry>, u64), StorageError> {
        let path = folder.join(LOG_FILE);
        let bytes = read_file(&path)?.unwrap_or_default();
        let (records, valid_bytes) = read_records(&path, &bytes)?;
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(StorageError::io("open", &path))?;
        let torn_bytes = bytes.len() as u64 - valid_bytes;
        if torn_bytes > 0 {
            log.set_len(valid_bytes)
                .map_err(StorageError::io("cut", &path))?;
            log.sync_all().map_err(StorageError::io("sync", &path))?;
        }
        log.seek(SeekFrom::Start(valid_bytes))
            .map_err(StorageError::io("seek", &path))?;
        crate::file::sync_folder(folder)?;
        let (hard_state, entries) = replay(records);
        let store = Self {
            folder: folder.to_owned(),
            log,
            log_bytes: valid_bytes,
        };
        Ok((store, hard_state, entries, torn_bytes))
    }

    /// Writes and syncs batches in order, with a single sync where possible.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        for batch in batches {
            if let Some(snapshot) = &batch.snapshot {
                // The snapshot replaces the log, including earlier batches.
                buffer.clear();
                self.write_snapshot(snapshot)?;
                self.rewrite_log(&batch.hard_state.unwrap_or_default(), &batch.entries)?;
                continue;
            }
            if let Some(hard_state) = batch.hard_state {
                append_record(&mut buffer, &Record::HardState(hard_state));
            }
            for entry in &batch.entries {
                append_record(&mut buffer, &Record::Entry(entry.clone()));
            }
        }
        if buffer.is_empty() {
            return Ok(());
        }
        self.append(&buffer)
    }

    fn append(&mut self, buffer: &[u8]) -> Result<(), StorageError> {
        let path = self.folder.join(LOG_FILE);
        self.log
            .write_all(buffer)
            .map_err(StorageError::io("append", &path))?;
        self.log
            .sync_data()
            .map_err(StorageError::io("sync", &path))?;
        self.log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Stores a snapshot. Entries of the log that it covers are ignored when the folder
    /// is opened.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        replace_file(&self.folder, SNAPSHOT_FILE, &encode_frame(snapshot))
    }

    /// Replaces the log with `entries`, which follow the stored snapshot.
    pub fn rewrite_log(
        &mut self,
        hard_state: &HardState,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        append_record(&mut buffer, &Record::HardState(*hard_state));
        for entry in entries {
            append_record(&mut buffer, &Record::Entry(entry.clone()));
        }
        replace_file(&self.folder, LOG_FILE, &buffer)?;
        let path = self.folder.join(LOG_FILE);
        let mut log = OpenOptions::new()
            .write(true)
            .open(&path)
            .map_err(StorageError::io("open", &path))?;
        log.seek(SeekFrom::End(0))
            .map_err(StorageError::io("seek", &path))?;
        self.log = log;
        self.log_bytes = buffer.len() as u64;
        Ok(())
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
}

fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoding into memory does not fail")
}

fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buffer = Vec::new();
    write_frame(&mut buffer, &encode_value(value));
    buffer
}

fn append_record(buffer: &mut Vec<u8>, record: &Record) {
    write_frame(buffer, &encode_value(record));
}

/// Reads a file with a single frame. It was written atomically, so that any damage is
/// corruption.
fn read_frame_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let Some(bytes) = read_file(path)? else {
        return Ok(None);
    };
    let corruption = |detail: String| StorageError::Corrupt {
        path: path.to_owned(),
        offset: 0,
        detail,
    };
    let content = read_frame(&bytes).map_err(|error| corruption(format!("{error:?}")))?;
    let value = postcard::from_bytes(content).map_err(|error| corruption(error.to_string()))?;
    Ok(Some(value))
}

/// Reads records up to the end or a torn tail; returns them with the length of the
/// valid part, in bytes.
fn read_records(path: &Path, bytes: &[u8]) -> Result<(Vec<Record>, u64), StorageError> {
    let corruption = |offset: usize, detail: String| StorageError::Corrupt {
        path: path.to_owned(),
        offset: offset as u64,
        detail,
    };
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match read_frame(&bytes[offset..]) {
            Ok(content) => {
                let record = postcard::from_bytes(content)
                    .map_err(|error| corruption(offset, error.to_string()))?;
                records.push(record);
                offset += HEADER_BYTES + content.len();
            }
            Err(error) => {
                if contains_frame(&bytes[offset + 1..]) {
                    return Err(corruption(
                        offset,
                        format!("{error:?} record is followed by valid records"),
                    ));
                }
                log::warn!(event = "torn_tail_cut", bytes = bytes.len() - offset; "truncated the torn tail of the log");
                break;
            }
        }
    }
    Ok((records, offset as u64))
}

fn replay(records: Vec<Record>) -> (HardState, Vec<Entry>) {
    let mut hard_state = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        match record {
            Record::HardState(state) => hard_state = state,
            Record::Entry(entry) => {
                let kept_count = entries.partition_point(|existing| existing.index < entry.index);
                entries.truncate(kept_count);
                entries.push(entry);
            }
        }
    }
    (hard_state, entries)
}
