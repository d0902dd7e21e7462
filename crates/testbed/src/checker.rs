//! Checks histories against what must always hold.

use crate::history::{CallRecord, RevisionRecord, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Something that must never happen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A stage of a key ran more than once.
    Doubled {
        /// The key.
        key: String,
        /// How many times.
        runs: usize,
    },
    /// A key ran though a caller was told that it did not and will not.
    UntrueNotRun {
        /// The key.
        key: String,
    },
    /// A caller got an answer of a call that no service ran.
    Invented {
        /// The key.
        key: String,
    },
    /// An answer does not name its own request.
    Crossed {
        /// The key.
        key: String,
    },
    /// A stream ended as if whole, without its completion event.
    CutShort {
        /// The key.
        key: String,
    },
    /// Two answers to one key differ.
    Changed {
        /// The key.
        key: String,
    },
    /// A call that ran and had time to answer got none at all.
    Lost {
        /// The key.
        key: String,
    },
    /// A node went back to an older revision.
    Reverted {
        /// The node.
        node: String,
        /// The newer revision, seen first.
        from: u64,
        /// The older one, seen later.
        to: u64,
    },
}

/// What is checked. `runs` is the log of services whose calls may not be
/// repeated; `calls` are calls of pipelines that end in such a service, or,
/// where `runs` is empty, of any.
pub fn check(calls: &[CallRecord], runs: &[RunRecord]) -> Vec<Violation> {
    let mut violations = BTreeSet::new();
    // Runs by key and stage: each stage of a request runs once.
    let mut stage_runs: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in runs {
        if let Some(key) = run.key() {
            *stage_runs.entry((key, &run.stage)).or_default() += 1;
        }
    }
    let mut run_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for ((key, _), runs) in &stage_runs {
        let most = run_counts.entry(key).or_default();
        *most = (*most).max(*runs);
    }
    for (key, runs) in &run_counts {
        if *runs > 1 {
            let key = (*key).to_owned();
            violations.insert(Violation::Doubled { key, runs: *runs });
        }
    }
    for (key, records) in by_key(calls) {
        let run_count = run_counts.get(key).copied().unwrap_or(0);
        check_key(key, &records, run_count, !runs.is_empty(), &mut violations);
    }
    violations.into_iter().collect()
}

fn by_key(calls: &[CallRecord]) -> BTreeMap<&str, Vec<&CallRecord>> {
    let mut keys: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        keys.entry(&call.key).or_default().push(call);
    }
    keys
}

fn check_key(
    key: &str,
    records: &[&CallRecord],
    run_count: usize,
    has_run_log: bool,
    violations: &mut BTreeSet<Violation>,
) {
    let key = || key.to_owned();
    let told = |outcome: &str| {
        records
            .iter()
            .any(|record| record.outcome.as_deref() == Some(outcome))
    };
    let retried = records.iter().any(|record| record.retried_after_refusal);
    if told("not_run") && run_count > 0 && !retried {
        violations.insert(Violation::UntrueNotRun { key: key() });
    }
    if told("completed") && run_count == 0 && has_run_log {
        violations.insert(Violation::Invented { key: key() });
    }
    if records.iter().any(|record| record.ended_early) {
        violations.insert(Violation::CutShort { key: key() });
    }
    if records.iter().all(|record| record.outcome.is_none()) {
        violations.insert(Violation::Lost { key: key() });
    }
    let outputs: Vec<String> = records
        .iter()
        .filter_map(|record| record.output.as_ref().map(ToString::to_string))
        .collect();
    let own = format!("\"{}\"", key());
    let escaped = format!("\\\"{}\\\"", key());
    let names_itself = |output: &String| output.contains(&own) || output.contains(&escaped);
    if !outputs.iter().all(names_itself) {
        violations.insert(Violation::Crossed { key: key() });
    }
    if outputs.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.insert(Violation::Changed { key: key() });
    }
}

/// Checks that no node's revision ever went back. Observations are in the
/// order in which they were made.
pub fn check_revisions(observations: &[RevisionRecord]) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in observations {
        let known = newest.entry(&seen.node).or_default();
        if seen.revision < *known {
            violations.push(Violation::Reverted {
                node: seen.node.clone(),
                from: *known,
                to: seen.revision,
            });
        }
        *known = (*known).max(seen.revision);
    }
    violations
}
