//! What a new list changed, for the decision log.

use crate::ports::BackendListEntry;
use silversail_decisions::{DecisionLog, Event};
use std::collections::BTreeMap;

/// Changes of one list that are told one by one. Of more, as of the first list after a start, the
/// log tells numbers: a line for each of thousands of back ends would push out all else.
const TOLD_ONE_BY_ONE: usize = 64;

/// What a list says of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ListedState {
    Ready,
    Cold,
    Draining,
    Gone,
}

impl ListedState {
    /// The state of a back end that the list names.
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
            Self::Gone => "gone",
        }
    }
}

/// Collects what one list changed.
#[derive(Default)]
pub(super) struct ListNews {
    events: Vec<Event>,
    counts: BTreeMap<(String, ListedState), usize>,
    has_changes: bool,
}

impl ListNews {
    /// Something changed that the log is not told of.
    pub(super) fn note_change(&mut self) {
        self.has_changes = true;
    }

    /// A back end came, went or is in another state.
    pub(super) fn note(&mut self, listed: &BackendListEntry, state: ListedState) {
        self.has_changes = true;
        let counted = (listed.service.clone(), state);
        *self.counts.entry(counted).or_default() += 1;
        if self.events.len() <= TOLD_ONE_BY_ONE {
            self.events.push(Event::Backend {
                backend: listed.id.clone(),
                service: listed.service.clone(),
                version: listed.version.clone(),
                state: state.name().to_owned(),
                source: "list".to_owned(),
            });
        }
    }

    /// Tells the log; true where something changed.
    pub(super) fn tell(self, log: &DecisionLog) -> bool {
        if self.events.len() <= TOLD_ONE_BY_ONE {
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
