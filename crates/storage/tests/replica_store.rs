//! Guards against lost writes, undetected corruption and reordered entries in the log.

use rstest::rstest;
use silversail_consensus::{
    Entry, HardState, Membership, Payload, ReplicaId, Snapshot, SnapshotMeta, WriteBatch,
};
use silversail_storage::{ReplicaStore, StorageError};
use std::path::Path;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![index as u8; 40]),
    }
}

fn first_snapshot() -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            cluster_id: 7,
            index: 1,
            term: 1,
            membership: Membership::default(),
        },
        data: vec![1, 2, 3],
    }
}

fn batch(entries: Vec<Entry>) -> WriteBatch {
    WriteBatch {
        entries,
        ..WriteBatch::default()
    }
}

/// Fills a folder with a snapshot at index 1 and the entries 2 to 11.
fn fill_folder(folder: &Path) {
    let mut opened = ReplicaStore::open(folder, || ReplicaId(5)).expect("opened");
    let first_batch = WriteBatch {
        snapshot: Some(first_snapshot()),
        hard_state: Some(HardState {
            term: 1,
            voted_for: None,
        }),
        entries: Vec::new(),
    };
    let entries = (2..=11).map(|index| entry(index, 1)).collect();
    opened
        .store
        .write(&[first_batch, batch(entries)])
        .expect("written");
}

fn stored_entries(folder: &Path) -> Vec<(u64, u64)> {
    let opened = ReplicaStore::open(folder, || ReplicaId(6)).expect("opened");
    assert_eq!(opened.identity, ReplicaId(5), "the identity is kept");
    let state = opened.state.expect("a state");
    state
        .entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect()
}

#[test]
fn written_entries_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    assert_eq!(stored_entries(folder.path()).len(), 10);
}

#[test]
fn a_rewritten_entry_replaces_all_entries_after_its_index() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    let mut opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    opened
        .store
        .write(&[batch(vec![entry(4, 2), entry(5, 2)])])
        .expect("written");
    drop(opened);
    assert_eq!(
        stored_entries(folder.path()),
        [(2, 1), (3, 1), (4, 2), (5, 2)]
    );
}

#[test]
fn a_torn_tail_of_any_length_is_truncated() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    let log = folder.path().join("log");
    let complete_log = std::fs::read(&log).expect("read");
    let mut fewest_entries = 10;
    for length in (1..complete_log.len()).rev() {
        std::fs::write(&log, &complete_log[..length]).expect("written");
        let entry_count = stored_entries(folder.path()).len();
        assert!(
            entry_count <= fewest_entries,
            "more entries in a shorter log"
        );
        fewest_entries = entry_count;
        // The folder can be opened again after the truncation.
        assert_eq!(stored_entries(folder.path()).len(), entry_count);
    }
    assert_eq!(fewest_entries, 0);
}

#[rstest]
#[case(0.1)]
#[case(0.5)]
#[case(0.8)]
fn damage_before_valid_records_is_reported(#[case] position_share: f64) {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    let log = folder.path().join("log");
    let mut bytes = std::fs::read(&log).expect("read");
    let position = (bytes.len() as f64 * position_share) as usize;
    bytes[position] ^= 0x55;
    std::fs::write(&log, bytes).expect("written");
    let opened = ReplicaStore::open(folder.path(), || ReplicaId(6));
    assert!(matches!(opened.err(), Some(StorageError::Corrupt { .. })));
}

#[test]
fn an_interrupted_compaction_loses_no_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    let mut opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    let mut snapshot = first_snapshot();
    snapshot.meta.index = 8;
    // The snapshot is written and the log is not yet rewritten.
    opened.store.write_snapshot(&snapshot).expect("written");
    drop(opened);
    assert_eq!(stored_entries(folder.path()), [(9, 1), (10, 1), (11, 1)]);
}

#[test]
fn an_empty_folder_gets_a_new_identity_and_no_state() {
    let folder = tempfile::tempdir().expect("a folder");
    fill_folder(folder.path());
    std::fs::remove_dir_all(folder.path()).expect("deleted");
    let opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    assert_eq!(opened.identity, ReplicaId(6));
    assert!(opened.state.is_none());
}
