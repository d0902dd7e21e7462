//! The list of back ends as differences.

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

fn listing(sequence: u64, entries: Vec<BackendListEntry>) -> Arc<BackendList> {
    let version = version(sequence);
    let entries = entries.into_iter().collect();
    Arc::new(BackendList { version, entries })
}

/// Three lists in a row: one back end comes, then one leaves and one goes.
fn three() -> Vec<Arc<BackendList>> {
    vec![
        listing(1, vec![entry(1, false), entry(2, false)]),
        listing(2, vec![entry(1, false), entry(2, false), entry(3, false)]),
        listing(3, vec![entry(2, true), entry(3, false)]),
    ]
}

fn followed(lists: &[Arc<BackendList>]) -> BackendListHistory {
    let mut updates = BackendListHistory::default();
    for list in lists {
        updates.follow(list.clone());
    }
    updates
}

#[test]
fn a_difference_leads_from_each_remembered_list_to_the_newest() {
    let lists = three();
    let mut updates = followed(&lists);
    for held in &lists[..2] {
        let update = updates.since(Some(held.version)).expect("it lacks some");
        assert_eq!(update.base, Some(held.version));
        assert_eq!(update.applied_to(Some(held)), Ok((*lists[2]).clone()));
    }
    assert_eq!(updates.since(Some(version(3))), None);
}

#[test]
fn a_receiver_without_a_known_list_gets_the_whole() {
    let lists = three();
    let mut updates = followed(&lists);
    for held in [None, Some(version(9))] {
        let update = updates.since(held).expect("it lacks all");
        assert_eq!(update.base, None);
        assert_eq!(update.applied_to(None), Ok((*lists[2]).clone()));
        assert_eq!(update.applied_to(Some(&lists[0])), Ok((*lists[2]).clone()));
    }
}

/// Applied to another list the result would be one that nobody read.
#[test]
fn a_difference_fits_its_base_only() {
    let lists = three();
    let update = followed(&lists).since(Some(version(2))).expect("some");
    let other = BackendListUpdateError::OtherBase(version(2));
    assert_eq!(update.applied_to(None), Err(other));
    assert_eq!(update.applied_to(Some(&lists[0])), Err(other));
}

/// A list that nobody confirms gives way to an older one of the leader: what leads there is
/// told like any other change.
#[test]
fn a_step_back_to_an_older_version_is_a_change_too() {
    let lists = three();
    let order = [lists[0].clone(), lists[2].clone(), lists[1].clone()];
    let mut updates = followed(&order);
    for held in [&lists[0], &lists[2]] {
        let update = updates.since(Some(held.version)).expect("it lacks some");
        assert_eq!(update.applied_to(Some(held)), Ok((*lists[1]).clone()));
    }
}

#[test]
fn a_back_end_that_tells_another_version_is_a_change() {
    let first = listing(1, vec![entry(1, false), entry(2, false)]);
    let mut changed = entry(2, false);
    changed.version = "v2".to_owned();
    let second = listing(2, vec![entry(1, false), changed]);
    let mut updates = followed(&[first.clone(), second.clone()]);
    let update = updates.since(Some(first.version)).expect("a change");
    assert_eq!(update.applied_to(Some(&first)), Ok((*second).clone()));
}

#[test]
fn a_list_of_another_term_with_the_same_entries_costs_next_to_nothing() {
    let entries: Vec<BackendListEntry> = (0..3_000).map(|number| entry(number, false)).collect();
    let first = listing(1, entries.clone());
    let of_next_term = Arc::new(BackendList {
        version: BackendListVersion {
            term: 2,
            sequence: 2,
            fallback: 0,
        },
        entries: entries.into_iter().collect(),
    });
    let mut updates = followed(&[first.clone(), of_next_term.clone()]);
    let update = updates.since(Some(first.version)).expect("a version");
    assert!(update.size() < 100, "{} bytes", update.size());
    assert_eq!(update.applied_to(Some(&first)), Ok((*of_next_term).clone()));
}

/// What one change costs each node: 149,185 bytes where the list went whole and not packed,
/// 60 as a difference; the whole list packed has 14,948.
#[test]
fn one_change_of_3000_back_ends_costs_under_200_bytes() {
    let mut entries: Vec<BackendListEntry> =
        (0..3_000).map(|number| entry(number, false)).collect();
    let first = listing(1, entries.clone());
    entries[17].draining = true;
    let second = listing(2, entries);
    let mut updates = followed(&[first.clone(), second.clone()]);
    let update = updates.since(Some(first.version)).expect("a change");
    assert!(update.size() < 200, "{} bytes", update.size());
    let whole = BackendListUpdate::whole(&second);
    assert!(whole.size() < 20_000, "{} bytes", whole.size());
    assert_eq!(update.applied_to(Some(&first)), Ok((*second).clone()));
}

/// A copy of thousands of entries at each change of one would cost a small node a quarter of a
/// second.
#[test]
fn a_change_copies_no_entry_that_it_leaves() {
    let mut entries: Vec<BackendListEntry> =
        (0..3_000).map(|number| entry(number, false)).collect();
    let first = listing(1, entries.clone());
    entries[17].draining = true;
    let second = listing(2, entries);
    let mut updates = followed(&[first.clone(), second]);
    let update = updates.since(Some(first.version)).expect("a change");
    let next = update.applied_to(Some(&first)).expect("it fits");
    let pairs = first.entries.iter().zip(next.entries.iter());
    let copied = pairs.filter(|(before, after)| !Arc::ptr_eq(before, after));
    assert_eq!(copied.count(), 1);
}

#[test]
fn a_new_read_keeps_the_entries_that_it_tells_again() {
    let entries: Vec<BackendListEntry> = (0..3_000).map(|number| entry(number, false)).collect();
    let first: BackendListEntries = entries.iter().cloned().collect();
    let mut read = entries;
    read.remove(3);
    read[17].draining = true;
    read.push(entry(3_001, false));
    let next = first.with_read(read.clone());
    assert_eq!(next, read.into_iter().collect());
    let kept = first.iter().filter(|before| {
        let after = next.get(&before.id);
        after.is_some_and(|after| Arc::ptr_eq(before, after))
    });
    assert_eq!(kept.count(), 2_998);
    assert_eq!(first.changes_to(&next).count(), 3);
}
