//! The rollouts of versions: replicated beside the configuration, so that an acknowledged order
//! outlives the loss of every process.

use serde::{Deserialize, Serialize};
use silversail_rollout::{
    Directive, Rollout, RolloutNumber, RolloutOrder, RolloutOrderError, RolloutState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts the changes of [`Rollouts`] that nodes have to know; a higher one is newer. The time
/// since an order is none of them.
pub type RolloutsRevision = u64;

/// How long after its end a rollout still answers a repeat of its order, in milliseconds, where
/// it was rolled back: operators whose answer was lost repeat an order for some seconds. From
/// then on the same order begins a new rollout.
pub const REPEATED_WITHIN_MS: u64 = 10_000;

/// Ended rollouts that are kept of services which the configuration does not name any more, so
/// that a service which is left out for a while finds its version again.
const KEPT_OF_DROPPED_SERVICES: usize = 64;

/// The latest rollout of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    revision: RolloutsRevision,
    last_number: RolloutNumber,
    by_service: BTreeMap<String, Rollout>,
}

/// Rollouts shared inside a process.
pub type SharedRollouts = Arc<Rollouts>;

/// Changes the rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// An operator's order.
    Begin {
        /// What is ordered.
        order: RolloutOrder,
        /// Number of the service's latest rollout that was known where the operator's call
        /// arrived; 0 for none. A copy of an order that comes late must not begin a second
        /// rollout.
        seen: RolloutNumber,
    },
    /// Nodes are to obey another directive.
    Advance {
        /// The rollout.
        number: RolloutNumber,
        /// Of a higher step than the one in force.
        directive: Directive,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// Time went on.
    Elapsed {
        /// The rollout.
        number: RolloutNumber,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// The rollout ends.
    End {
        /// The rollout.
        number: RolloutNumber,
        /// How; any state but one in progress.
        state: RolloutState,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutReply {
    /// The rollout of this number is as ordered, whether by this command or by an earlier one.
    InForce {
        /// Its number.
        number: RolloutNumber,
    },
    /// The order is refused; nothing was done.
    Refused(RolloutOrderError),
    /// The service had another rollout since the order's `seen`: nothing was done. An operator
    /// who still waits gets the order proposed again on this number.
    Outdated {
        /// Number of the service's latest rollout.
        number: RolloutNumber,
    },
    /// The rollout was changed.
    Changed,
    /// The command names no rollout in progress, or what has been passed: nothing was done.
    Unchanged,
}

impl Rollouts {
    /// Counts the changes so far.
    pub fn revision(&self) -> RolloutsRevision {
        self.revision
    }

    /// The latest rollout of a service.
    pub fn of_service(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The latest rollout of each service, by name of the service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// The rollout of this number, where it is the latest of its service.
    pub fn numbered(&self, number: RolloutNumber) -> Option<&Rollout> {
        self.all().find(|rollout| rollout.number == number)
    }

    /// Applies a command. Commands may come twice and late.
    pub fn apply(&mut self, command: RolloutCommand) -> RolloutReply {
        match command {
            RolloutCommand::Begin { order, seen } => self.begin(order, seen),
            RolloutCommand::Advance {
                number,
                directive,
                elapsed_ms,
            } => self.advance(number, directive, elapsed_ms),
            RolloutCommand::Elapsed { number, elapsed_ms } => self.elapsed(number, elapsed_ms),
            RolloutCommand::End {
                number,
                state,
                elapsed_ms,
            } => self.end(number, state, elapsed_ms),
        }
    }

    fn begin(&mut self, order: RolloutOrder, seen: RolloutNumber) -> RolloutReply {
        if let Some(latest) = self.by_service.get(&order.service) {
            let number = latest.number;
            let is_same_target = latest.order.target_version == order.target_version;
            if is_same_target && answers_repeats(latest) {
                return RolloutReply::InForce { number };
            }
            if latest.is_in_progress() {
                return RolloutReply::Refused(RolloutOrderError::Underway {
                    service: order.service,
                    target_version: latest.order.target_version.clone(),
                });
            }
            if number > seen {
                return RolloutReply::Outdated { number };
            }
        }
        self.last_number += 1;
        self.revision += 1;
        let rollout = Rollout {
            number: self.last_number,
            order,
            state: RolloutState::InProgress(Directive::default()),
            elapsed_ms: 0,
        };
        let service = rollout.order.service.clone();
        self.by_service.insert(service, rollout);
        RolloutReply::InForce {
            number: self.last_number,
        }
    }

    fn advance(
        &mut self,
        number: RolloutNumber,
        directive: Directive,
        elapsed_ms: u64,
    ) -> RolloutReply {
        let Some(rollout) = self.numbered_mut(number) else {
            return RolloutReply::Unchanged;
        };
        match &rollout.state {
            RolloutState::InProgress(held) if directive.step > held.step => {}
            _ => return RolloutReply::Unchanged,
        }
        rollout.state = RolloutState::InProgress(directive);
        rollout.elapsed_ms = rollout.elapsed_ms.max(elapsed_ms);
        self.revision += 1;
        RolloutReply::Changed
    }

    fn elapsed(&mut self, number: RolloutNumber, elapsed_ms: u64) -> RolloutReply {
        match self.numbered_mut(number) {
            Some(rollout) if elapsed_ms > rollout.elapsed_ms => {
                rollout.elapsed_ms = elapsed_ms;
                RolloutReply::Changed
            }
            _ => RolloutReply::Unchanged,
        }
    }

    fn end(
        &mut self,
        number: RolloutNumber,
        mut state: RolloutState,
        elapsed_ms: u64,
    ) -> RolloutReply {
        let Some(rollout) = self.numbered_mut(number) else {
            return RolloutReply::Unchanged;
        };
        let elapsed_ms = rollout.elapsed_ms.max(elapsed_ms);
        if !rollout.is_in_progress() {
            return match is_rolled_back(&rollout.state) && is_rolled_back(&state) {
                true => RolloutReply::InForce { number },
                false => RolloutReply::Unchanged,
            };
        }
        match &mut state {
            RolloutState::InProgress(_) => return RolloutReply::Unchanged,
            // Whoever ends it may know an older time since the order than is committed.
            RolloutState::Completed { verdict, .. } | RolloutState::RolledBack { verdict } => {
                verdict.elapsed_ms = verdict.elapsed_ms.max(elapsed_ms);
            }
        }
        rollout.state = state;
        rollout.elapsed_ms = elapsed_ms;
        self.revision += 1;
        RolloutReply::Changed
    }

    fn numbered_mut(&mut self, number: RolloutNumber) -> Option<&mut Rollout> {
        let mut all = self.by_service.values_mut();
        all.find(|rollout| rollout.number == number)
    }

    /// Another configuration is in force: of the services that it does not name, the latest
    /// ended rollouts are kept.
    pub fn keep_services(&mut self, is_named: impl Fn(&str) -> bool) {
        let ended = self.all().filter(|rollout| !rollout.is_in_progress());
        let mut dropped: Vec<RolloutNumber> = ended
            .filter(|rollout| !is_named(&rollout.order.service))
            .map(|rollout| rollout.number)
            .collect();
        dropped.sort_unstable();
        let excess = dropped.len().saturating_sub(KEPT_OF_DROPPED_SERVICES);
        if excess == 0 {
            return;
        }
        let forgotten = &dropped[..excess];
        self.by_service
            .retain(|_, rollout| !forgotten.contains(&rollout.number));
        self.revision += 1;
    }
}

/// Whether an order of the same version changes nothing: it is under way, is what the service
/// came to, or was rolled back so lately that its operator may be repeating it.
fn answers_repeats(latest: &Rollout) -> bool {
    match &latest.state {
        RolloutState::InProgress(_) | RolloutState::Completed { .. } => true,
        RolloutState::RolledBack { verdict } => is_repeated(latest, verdict.elapsed_ms),
    }
}

fn is_rolled_back(state: &RolloutState) -> bool {
    matches!(state, RolloutState::RolledBack { .. })
}

fn is_repeated(rollout: &Rollout, ended_at_ms: u64) -> bool {
    rollout.elapsed_ms.saturating_sub(ended_at_ms) < REPEATED_WITHIN_MS
}

/// Whether the time since the order still matters: until the end, and then for as long as
/// repeats of the order are answered.
pub fn counts_time(rollout: &Rollout) -> bool {
    match &rollout.state {
        RolloutState::InProgress(_) => true,
        RolloutState::Completed { .. } => false,
        RolloutState::RolledBack { verdict } => is_repeated(rollout, verdict.elapsed_ms),
    }
}
