//! What survives: torn tails are cut, damage is told, order is kept.

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

/// A folder with a snapshot at 1 and the entries 2 to 11.
fn filled(folder: &Path) {
    let mut opened = ReplicaStore::open(folder, || ReplicaId(5)).expect("opened");
    let form = WriteBatch {
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
        .write(&[form, batch(entries)])
        .expect("written");
}

fn indices(folder: &Path) -> Vec<(u64, u64)> {
    let opened = ReplicaStore::open(folder, || ReplicaId(6)).expect("opened");
    assert_eq!(opened.identity, ReplicaId(5), "the identity lasts");
    let state = opened.state.expect("a state");
    state
        .entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect()
}

#[test]
fn what_was_written_is_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    assert_eq!(indices(folder.path()).len(), 10);
}

#[test]
fn a_later_entry_replaces_what_follows_its_index() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    let mut opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    opened
        .store
        .write(&[batch(vec![entry(4, 2), entry(5, 2)])])
        .expect("written");
    drop(opened);
    assert_eq!(indices(folder.path()), [(2, 1), (3, 1), (4, 2), (5, 2)]);
}

#[test]
fn every_torn_tail_is_cut_and_the_rest_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    let log = folder.path().join("log");
    let whole = std::fs::read(&log).expect("read");
    let mut shortest = 10;
    for cut in (1..whole.len()).rev() {
        std::fs::write(&log, &whole[..cut]).expect("written");
        let kept = indices(folder.path()).len();
        assert!(kept <= shortest, "more entries in a shorter log");
        shortest = kept;
        // After the cut, writing goes on.
        assert_eq!(indices(folder.path()).len(), kept);
    }
    assert_eq!(shortest, 0);
}

#[rstest]
#[case(0.1)]
#[case(0.5)]
#[case(0.8)]
fn damage_before_valid_records_is_told(#[case] part: f64) {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    let log = folder.path().join("log");
    let mut bytes = std::fs::read(&log).expect("read");
    let position = (bytes.len() as f64 * part) as usize;
    bytes[position] ^= 0x55;
    std::fs::write(&log, bytes).expect("written");
    let opened = ReplicaStore::open(folder.path(), || ReplicaId(6));
    assert!(matches!(opened.err(), Some(StorageError::Corrupt { .. })));
}

#[test]
fn a_compaction_that_was_interrupted_loses_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    let mut opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    let mut snapshot = first_snapshot();
    snapshot.meta.index = 8;
    // The snapshot is in place, the log not rewritten yet.
    opened.store.write_snapshot(&snapshot).expect("written");
    drop(opened);
    assert_eq!(indices(folder.path()), [(9, 1), (10, 1), (11, 1)]);
}

#[test]
fn an_emptied_folder_gets_a_new_identity_and_no_state() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(folder.path());
    std::fs::remove_dir_all(folder.path()).expect("emptied");
    let opened = ReplicaStore::open(folder.path(), || ReplicaId(6)).expect("opened");
    assert_eq!(opened.identity, ReplicaId(6));
    assert!(opened.state.is_none());
}
