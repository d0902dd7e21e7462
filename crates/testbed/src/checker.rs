//! Checks recorded histories for violations of the guarantees to callers.

use crate::history::{CallRecord, RevisionRecord, RunRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A stage of one call was executed more than once.
    Doubled {
        /// Identity of the call.
        key: String,
        /// Number of executions.
        runs: usize,
    },
    /// A call was executed although its answer says that it was not and will not be.
    UntrueNotRun {
        /// Identity of the call.
        key: String,
    },
    /// A call was answered as completed although no service executed it.
    Invented {
        /// Identity of the call.
        key: String,
    },
    /// An output belongs to another request.
    Crossed {
        /// Identity of the call.
        key: String,
    },
    /// A stream ended cleanly without its completion event.
    CutShort {
        /// Identity of the call.
        key: String,
    },
    /// Two answers to one call differ.
    Changed {
        /// Identity of the call.
        key: String,
    },
    /// A call got no answer at any attempt.
    Lost {
        /// Identity of the call.
        key: String,
    },
    /// A node returned to an older revision.
    Reverted {
        /// Name of the node.
        node: String,
        /// Newer revision, which was observed first.
        from: u64,
        /// Older revision, which was observed later.
        to: u64,
    },
}

/// Finds all violations. `runs` has the executions of services whose calls must not
/// be repeated; `calls` are calls of pipelines that end in such a service, or of any
/// pipeline if `runs` is empty.
pub fn check(calls: &[CallRecord], runs: &[RunRecord]) -> Vec<Violation> {
    let mut violations = BTreeSet::new();
    // Counted by key and stage, as each stage of a call must be executed once.
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
    let has_outcome = |outcome: &str| {
        records
            .iter()
            .any(|record| record.outcome.as_deref() == Some(outcome))
    };
    let retried = records.iter().any(|record| record.retried_after_refusal);
    if has_outcome("not_run") && run_count > 0 && !retried {
        violations.insert(Violation::UntrueNotRun { key: key() });
    }
    if has_outcome("completed") && run_count == 0 && has_run_log {
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
    let quoted_key = format!("\"{}\"", key());
    let escaped_key = format!("\\\"{}\\\"", key());
    let contains_key =
        |output: &String| output.contains(&quoted_key) || output.contains(&escaped_key);
    if !outputs.iter().all(contains_key) {
        violations.insert(Violation::Crossed { key: key() });
    }
    if outputs.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.insert(Violation::Changed { key: key() });
    }
}

/// Finds nodes that returned to an older revision. Observations must be in the order
/// in which they were made.
pub fn check_revisions(observations: &[RevisionRecord]) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in observations {
        let newest_revision = newest.entry(&observation.node).or_default();
        if observation.revision < *newest_revision {
            violations.push(Violation::Reverted {
                node: observation.node.clone(),
                from: *newest_revision,
                to: observation.revision,
            });
        }
        *newest_revision = (*newest_revision).max(observation.revision);
    }
    violations
}
