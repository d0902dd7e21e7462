//! Changes between two lists, for the decision log.

use crate::ports::BackendListEntry;
use silversail_decisions::{DecisionLog, Event};
use std::collections::BTreeMap;

/// Maximum number of changes of one list that are logged one by one. For more, as after a start,
/// only counts are logged, so that they do not displace other entries.
const MAX_LOGGED_CHANGES: usize = 64;

/// State of a back end in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ListedState {
    Ready,
    Cold,
    Draining,
    Removed,
}

impl ListedState {
    /// The state of a listed back end.
    pub(super) fn of(listed: &BackendListEntry) -> Self {
        match (listed.draining, listed.cold) {
            (true, _) => Self::Draining,
            (false, true) => Self::Cold,
            (false, false) => Self::Ready,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Cold => "cold",
            Self::Draining => "draining",
            Self::Removed => "gone",
        }
    }
}

/// Collects the changes of one list.
#[derive(Default)]
pub(super) struct ListChanges {
    events: Vec<Event>,
    counts: BTreeMap<(String, ListedState), usize>,
    has_changes: bool,
}

impl ListChanges {
    /// Records a change that is not logged.
    pub(super) fn record_unlogged_change(&mut self) {
        self.has_changes = true;
    }

    /// Records that a back end was added or removed, or changed its state.
    pub(super) fn record(&mut self, listed: &BackendListEntry, state: ListedState) {
        self.has_changes = true;
        let counted = (listed.service.clone(), state);
        *self.counts.entry(counted).or_default() += 1;
        if self.events.len() <= MAX_LOGGED_CHANGES {
            self.events.push(Event::Backend {
                backend: listed.id.clone(),
                service: listed.service.clone(),
                version: listed.version.clone(),
                state: state.name().to_owned(),
                source: "list".to_owned(),
            });
        }
    }

    /// Writes the changes to the log; true if anything changed.
    pub(super) fn write_to(self, log: &DecisionLog) -> bool {
        if self.events.len() <= MAX_LOGGED_CHANGES {
            for event in self.events {
                log.record(event);
            }
            return self.has_changes;
        }
        for ((service, state), backends) in self.counts {
            log.record(Event::BackendsListed {
                service,
                state: state.name().to_owned(),
                backends,
            });
        }
        self.has_changes
    }
}
