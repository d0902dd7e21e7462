//! The files of one replica.

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

/// What was found in a replica's folder.
pub struct OpenedReplica {
    /// The store, ready for writes.
    pub store: ReplicaStore,
    /// Identity of the replica; drawn by the caller's `new_identity` when the
    /// folder was empty.
    pub identity: ReplicaId,
    /// The stored state; none until the group has formed or been joined.
    pub state: Option<StoredState>,
    /// Bytes of a torn tail that were cut off the log.
    pub torn_bytes: u64,
}

/// The open files of one replica.
pub struct ReplicaStore {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
}

impl ReplicaStore {
    /// Opens or creates the folder of a replica. The identity is synced before
    /// this returns, so that it is never announced and then forgotten.
    pub fn open(
        folder: &Path,
        new_identity: impl FnOnce() -> ReplicaId,
    ) -> Result<OpenedReplica, StorageError> {
        std::fs::create_dir_all(folder).map_err(StorageError::io("create folder", folder))?;
        if let Some(parent) = folder.parent() {
            crate::file::sync_folder(parent)?;
        }
        let stored_identity: Option<ReplicaId> = read_framed(&folder.join(IDENTITY_FILE))?;
        let identity = match stored_identity {
            Some(identity) => identity,
            None => {
                let identity = new_identity();
                replace_file(folder, IDENTITY_FILE, &framed(&identity))?;
                identity
            }
        };
        let snapshot: Option<Snapshot> = read_framed(&folder.join(SNAPSHOT_FILE))?;
        let (mut store, hard_state, entries, torn_bytes) = Self::open_log(folder)?;
        let state = match snapshot {
            Some(snapshot) => Some(Self::assemble(folder, snapshot, hard_state, entries)?),
            None => {
                // Without a snapshot the group never formed here.
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

    fn assemble(
        folder: &Path,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<StoredState, StorageError> {
        let covered = snapshot.meta.index;
        let entries: Vec<Entry> = entries
            .into_iter()
            .filter(|entry| entry.index > covered)
            .collect();
        if let Some(first) = entries.first().filter(|first| first.index != covered + 1) {
            return Err(StorageError::Corrupt {
                path: folder.join(LOG_FILE),
                offset: 0,
                detail: format!("entry {} follows snapshot {covered}", first.index),
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
        let (records, valid) = read_records(&path, &bytes)?;
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(StorageError::io("open", &path))?;
        let torn_bytes = bytes.len() as u64 - valid;
        if torn_bytes > 0 {
            log.set_len(valid).map_err(StorageError::io("cut", &path))?;
            log.sync_all().map_err(StorageError::io("sync", &path))?;
        }
        log.seek(SeekFrom::Start(valid))
            .map_err(StorageError::io("seek", &path))?;
        crate::file::sync_folder(folder)?;
        let (hard_state, entries) = replay(records);
        let store = Self {
            folder: folder.to_owned(),
            log,
            log_bytes: valid,
        };
        Ok((store, hard_state, entries, torn_bytes))
    }

    /// Writes and syncs one batch or several in their order.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        for batch in batches {
            if let Some(snapshot) = &batch.snapshot {
                // The snapshot replaces the log, earlier batches included.
                buffer.clear();
                self.write_snapshot(snapshot)?;
                self.rewrite_log(&batch.hard_state.unwrap_or_default(), &batch.entries)?;
                continue;
            }
            if let Some(hard_state) = batch.hard_state {
                push_record(&mut buffer, &Record::HardState(hard_state));
            }
            for entry in &batch.entries {
                push_record(&mut buffer, &Record::Entry(entry.clone()));
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

    /// Stores a snapshot. Until the log is rewritten, entries that the snapshot
    /// covers are passed over at the next start.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        replace_file(&self.folder, SNAPSHOT_FILE, &framed(snapshot))
    }

    /// Replaces the log by `entries`, which follow the stored snapshot.
    pub fn rewrite_log(
        &mut self,
        hard_state: &HardState,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let mut buffer = Vec::new();
        push_record(&mut buffer, &Record::HardState(*hard_state));
        for entry in entries {
            push_record(&mut buffer, &Record::Entry(entry.clone()));
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

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoding into memory does not fail")
}

fn framed<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buffer = Vec::new();
    write_frame(&mut buffer, &encode(value));
    buffer
}

fn push_record(buffer: &mut Vec<u8>, record: &Record) {
    write_frame(buffer, &encode(record));
}

/// Reads a file of one frame; it was renamed into place whole, so any damage
/// is corruption.
fn read_framed<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let Some(bytes) = read_file(path)? else {
        return Ok(None);
    };
    let corrupt = |detail: String| StorageError::Corrupt {
        path: path.to_owned(),
        offset: 0,
        detail,
    };
    let content = read_frame(&bytes).map_err(|error| corrupt(format!("{error:?}")))?;
    let value = postcard::from_bytes(content).map_err(|error| corrupt(error.to_string()))?;
    Ok(Some(value))
}

/// Reads records up to the end or a torn tail; gives the length of what is valid.
fn read_records(path: &Path, bytes: &[u8]) -> Result<(Vec<Record>, u64), StorageError> {
    let corrupt = |offset: usize, detail: String| StorageError::Corrupt {
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
                    .map_err(|error| corrupt(offset, error.to_string()))?;
                records.push(record);
                offset += HEADER_BYTES + content.len();
            }
            Err(error) => {
                if contains_frame(&bytes[offset + 1..]) {
                    return Err(corrupt(
                        offset,
                        format!("{error:?} record before valid ones"),
                    ));
                }
                log::warn!(event = "torn_tail_cut", bytes = bytes.len() - offset; "torn tail cut off the log");
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
                let keep = entries.partition_point(|kept| kept.index < entry.index);
                entries.truncate(keep);
                entries.push(entry);
            }
        }
    }
    (hard_state, entries)
}
