//! Incremental updates of the back-end list.

use silversail_peer::{
    BackendList, BackendListEntries, BackendListEntry, BackendListHistory, BackendListUpdate,
    BackendListUpdateError, BackendListVersion,
};
use std::sync::Arc;

fn entry(number: usize, draining: bool) -> BackendListEntry {
    BackendListEntry {
        id: format!("i-{number:010x}"),
        name: format!("i-{number:010x}"),
        service: format!("service-{}", number % 5),
        address: format!("10.128.{}.{}:8080", number / 250, number % 250),
        zone: format!("zone-{}", number % 6),
        version: "v1".to_owned(),
        slots: 64,
        draining,
        cold: false,
        started_at_ms: None,
    }
}

fn version(sequence: u64) -> BackendListVersion {
    BackendListVersion {
        term: 1,
        sequence,
        fallback: 0,
    }
}

fn backend_list(sequence: u64, entries: Vec<BackendListEntry>) -> Arc<BackendList> {
    let version = version(sequence);
    let entries = entries.into_iter().collect();
    Arc::new(BackendList { version, entries })
}

/// Three consecutive lists: one back end is added, then one drains and one is removed.
fn three_lists() -> Vec<Arc<BackendList>> {
    vec![
        backend_list(1, vec![entry(1, false), entry(2, false)]),
        backend_list(2, vec![entry(1, false), entry(2, false), entry(3, false)]),
        backend_list(3, vec![entry(2, true), entry(3, false)]),
    ]
}

fn history_of(lists: &[Arc<BackendList>]) -> BackendListHistory {
    let mut history = BackendListHistory::default();
    for list in lists {
        history.set_latest(list.clone());
    }
    history
}

#[test]
fn an_incremental_update_leads_from_each_recorded_version_to_the_newest() {
    let lists = three_lists();
    let mut history = history_of(&lists);
    for current in &lists[..2] {
        let update = history
            .update_since(Some(current.version))
            .expect("an incremental update");
        assert_eq!(update.base, Some(current.version));
        assert_eq!(update.apply_to(Some(current)), Ok((*lists[2]).clone()));
    }
    assert_eq!(history.update_since(Some(version(3))), None);
}

#[test]
fn a_receiver_with_an_unknown_version_gets_the_full_list() {
    let lists = three_lists();
    let mut history = history_of(&lists);
    for current in [None, Some(version(9))] {
        let update = history.update_since(current).expect("a full update");
        assert_eq!(update.base, None);
        assert_eq!(update.apply_to(None), Ok((*lists[2]).clone()));
        assert_eq!(update.apply_to(Some(&lists[0])), Ok((*lists[2]).clone()));
    }
}

/// Applied to another base, an update would produce a list that never existed.
#[test]
fn an_incremental_update_applies_only_to_its_base() {
    let lists = three_lists();
    let update = history_of(&lists)
        .update_since(Some(version(2)))
        .expect("an incremental update");
    let base_mismatch = BackendListUpdateError::BaseMismatch(version(2));
    assert_eq!(update.apply_to(None), Err(base_mismatch));
    assert_eq!(update.apply_to(Some(&lists[0])), Err(base_mismatch));
}

/// An unconfirmed list may be replaced by an older one of the leader, which is a change like any
/// other.
#[test]
fn a_return_to_an_older_version_is_an_update() {
    let lists = three_lists();
    let order = [lists[0].clone(), lists[2].clone(), lists[1].clone()];
    let mut history = history_of(&order);
    for current in [&lists[0], &lists[2]] {
        let update = history
            .update_since(Some(current.version))
            .expect("an incremental update");
        assert_eq!(update.apply_to(Some(current)), Ok((*lists[1]).clone()));
    }
}

#[test]
fn a_changed_software_version_is_an_update() {
    let first = backend_list(1, vec![entry(1, false), entry(2, false)]);
    let mut changed = entry(2, false);
    changed.version = "v2".to_owned();
    let second = backend_list(2, vec![entry(1, false), changed]);
    let mut history = history_of(&[first.clone(), second.clone()]);
    let update = history.update_since(Some(first.version)).expect("a change");
    assert_eq!(update.apply_to(Some(&first)), Ok((*second).clone()));
}

#[test]
fn a_list_of_another_term_with_the_same_entries_has_a_small_update() {
    let entries: Vec<BackendListEntry> = (0..3_000).map(|number| entry(number, false)).collect();
    let first = backend_list(1, entries.clone());
    let of_next_term = Arc::new(BackendList {
        version: BackendListVersion {
            term: 2,
            sequence: 2,
            fallback: 0,
        },
        entries: entries.into_iter().collect(),
    });
    let mut history = history_of(&[first.clone(), of_next_term.clone()]);
    let update = history
        .update_since(Some(first.version))
        .expect("a version");
    assert!(update.size() < 100, "{} bytes", update.size());
    assert_eq!(update.apply_to(Some(&first)), Ok((*of_next_term).clone()));
}

/// Guards against sending the full list to each node when one entry changes.
#[test]
fn an_update_of_one_among_3000_back_ends_has_under_200_bytes() {
    let mut entries: Vec<BackendListEntry> =
        (0..3_000).map(|number| entry(number, false)).collect();
    let first = backend_list(1, entries.clone());
    entries[17].draining = true;
    let second = backend_list(2, entries);
    let mut history = history_of(&[first.clone(), second.clone()]);
    let update = history.update_since(Some(first.version)).expect("a change");
    assert!(update.size() < 200, "{} bytes", update.size());
    let full = BackendListUpdate::full(&second);
    assert!(full.size() < 20_000, "{} bytes", full.size());
    assert_eq!(update.apply_to(Some(&first)), Ok((*second).clone()));
}

/// Guards against copying all entries of a large list for each change of one.
#[test]
fn applying_an_update_shares_unchanged_entries() {
    let mut entries: Vec<BackendListEntry> =
        (0..3_000).map(|number| entry(number, false)).collect();
    let first = backend_list(1, entries.clone());
    entries[17].draining = true;
    let second = backend_list(2, entries);
    let mut history = history_of(&[first.clone(), second]);
    let update = history.update_since(Some(first.version)).expect("a change");
    let next = update
        .apply_to(Some(&first))
        .expect("an update for this base");
    let pairs = first.entries.iter().zip(next.entries.iter());
    let copied = pairs.filter(|(before, after)| !Arc::ptr_eq(before, after));
    assert_eq!(copied.count(), 1);
}

#[test]
fn a_new_read_shares_unchanged_entries() {
    let entries: Vec<BackendListEntry> = (0..3_000).map(|number| entry(number, false)).collect();
    let first: BackendListEntries = entries.iter().cloned().collect();
    let mut read = entries;
    read.remove(3);
    read[17].draining = true;
    read.push(entry(3_001, false));
    let next = first.with_read(read.clone());
    assert_eq!(next, read.into_iter().collect());
    let shared_entries = first.iter().filter(|before| {
        let after = next.get(&before.id);
        after.is_some_and(|after| Arc::ptr_eq(before, after))
    });
    assert_eq!(shared_entries.count(), 2_998);
    assert_eq!(first.changes_to(&next).count(), 3);
}
