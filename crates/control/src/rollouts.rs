//! Replicated state of version rollouts.
//!
//! An acknowledged order is committed by the control group, so it survives the failure of any
//! process.

use serde::{Deserialize, Serialize};
use silversail_rollout::{
    Directive, Rollout, RolloutNumber, RolloutOrder, RolloutOrderError, RolloutState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Revision of [`Rollouts`]. It increases with each change that nodes must know, but not with
/// updates of the elapsed time.
pub type RolloutsRevision = u64;

/// Time after a rollback in which a repeated order is acknowledged as the same rollout, in
/// milliseconds. Operators whose response was lost retry within this time; later the same order
/// starts a new rollout.
pub const REPEATED_ORDER_WINDOW_MS: u64 = 10_000;

/// Maximum number of ended rollouts retained for services that are no longer configured, so that a
/// service that is removed temporarily keeps its version.
const MAX_ROLLOUTS_OF_REMOVED_SERVICES: usize = 64;

/// The latest rollout of each service, with a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    revision: RolloutsRevision,
    last_number: RolloutNumber,
    by_service: BTreeMap<String, Rollout>,
}

/// Rollouts shared within a process.
pub type SharedRollouts = Arc<Rollouts>;

/// Command that changes the replicated rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Starts a rollout by order of an operator.
    Begin {
        /// Service, target version and duration.
        order: RolloutOrder,
        /// Number of the service's latest rollout known to the node that received the order; 0
        /// for none. Prevents a delayed copy of an order from starting another rollout.
        known_number: RolloutNumber,
    },
    /// Replaces the directive that nodes follow.
    Advance {
        /// Number of the rollout.
        number: RolloutNumber,
        /// The new directive; its step must be higher than that of the current one.
        directive: Directive,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// Updates the elapsed time, so that a new leader continues from it.
    Elapsed {
        /// Number of the rollout.
        number: RolloutNumber,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// Ends a rollout.
    End {
        /// Number of the rollout.
        number: RolloutNumber,
        /// Final state; must not be in progress.
        state: RolloutState,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
}

/// Result of a [`RolloutCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutReply {
    /// The rollout is as ordered, by this or an earlier command.
    InForce {
        /// Number of the rollout.
        number: RolloutNumber,
    },
    /// The order is rejected and has no effect.
    Refused(RolloutOrderError),
    /// The service has a later rollout than the order's `known_number`; the order has no effect.
    /// If the operator is still waiting, the order is proposed again with the current number.
    Outdated {
        /// Number of the service's latest rollout.
        number: RolloutNumber,
    },
    /// The command changed the rollout.
    Changed,
    /// The command is stale or refers to no rollout in progress; it has no effect.
    Unchanged,
}

impl Rollouts {
    /// Revision of the current state.
    pub fn revision(&self) -> RolloutsRevision {
        self.revision
    }

    /// The latest rollout of a service, ended or in progress.
    pub fn latest_of_service(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The latest rollout of each service, ordered by service name.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// The rollout with this number, if it is the latest of its service.
    pub fn by_number(&self, number: RolloutNumber) -> Option<&Rollout> {
        self.all().find(|rollout| rollout.number == number)
    }

    /// Applies a command. Repeated and delayed commands are handled.
    pub fn apply(&mut self, command: RolloutCommand) -> RolloutReply {
        match command {
            RolloutCommand::Begin {
                order,
                known_number,
            } => self.begin(order, known_number),
            RolloutCommand::Advance {
                number,
                directive,
                elapsed_ms,
            } => self.advance(number, directive, elapsed_ms),
            RolloutCommand::Elapsed { number, elapsed_ms } => {
                self.record_elapsed(number, elapsed_ms)
            }
            RolloutCommand::End {
                number,
                state,
                elapsed_ms,
            } => self.end(number, state, elapsed_ms),
        }
    }

    fn begin(&mut self, order: RolloutOrder, known_number: RolloutNumber) -> RolloutReply {
        if let Some(latest) = self.by_service.get(&order.service) {
            let number = latest.number;
            let is_same_target = latest.order.target_version == order.target_version;
            if is_same_target && acknowledges_repeated_order(latest) {
                return RolloutReply::InForce { number };
            }
            if latest.is_in_progress() {
                return RolloutReply::Refused(RolloutOrderError::Underway {
                    service: order.service,
                    target_version: latest.order.target_version.clone(),
                });
            }
            if number > known_number {
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
        let Some(rollout) = self.by_number_mut(number) else {
            return RolloutReply::Unchanged;
        };
        match &rollout.state {
            RolloutState::InProgress(current) if directive.step > current.step => {}
            _ => return RolloutReply::Unchanged,
        }
        rollout.state = RolloutState::InProgress(directive);
        rollout.elapsed_ms = rollout.elapsed_ms.max(elapsed_ms);
        self.revision += 1;
        RolloutReply::Changed
    }

    fn record_elapsed(&mut self, number: RolloutNumber, elapsed_ms: u64) -> RolloutReply {
        match self.by_number_mut(number) {
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
        let Some(rollout) = self.by_number_mut(number) else {
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
            // The proposer may have an older elapsed time than the committed one.
            RolloutState::Completed { verdict, .. } | RolloutState::RolledBack { verdict } => {
                verdict.elapsed_ms = verdict.elapsed_ms.max(elapsed_ms);
            }
        }
        rollout.state = state;
        rollout.elapsed_ms = elapsed_ms;
        self.revision += 1;
        RolloutReply::Changed
    }

    fn by_number_mut(&mut self, number: RolloutNumber) -> Option<&mut Rollout> {
        let mut all = self.by_service.values_mut();
        all.find(|rollout| rollout.number == number)
    }

    /// Removes old ended rollouts of services that the configuration no longer contains, retaining
    /// the latest `MAX_ROLLOUTS_OF_REMOVED_SERVICES`.
    pub fn prune_removed_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        let ended = self.all().filter(|rollout| !rollout.is_in_progress());
        let mut of_removed_services: Vec<RolloutNumber> = ended
            .filter(|rollout| !is_configured(&rollout.order.service))
            .map(|rollout| rollout.number)
            .collect();
        of_removed_services.sort_unstable();
        let excess = of_removed_services
            .len()
            .saturating_sub(MAX_ROLLOUTS_OF_REMOVED_SERVICES);
        if excess == 0 {
            return;
        }
        let pruned = &of_removed_services[..excess];
        self.by_service
            .retain(|_, rollout| !pruned.contains(&rollout.number));
        self.revision += 1;
    }
}

/// Whether an order of the same version is acknowledged without a new rollout: the latest one is
/// in progress, completed, or was rolled back so recently that the operator may be retrying.
fn acknowledges_repeated_order(latest: &Rollout) -> bool {
    match &latest.state {
        RolloutState::InProgress(_) | RolloutState::Completed { .. } => true,
        RolloutState::RolledBack { verdict } => is_in_repeat_window(latest, verdict.elapsed_ms),
    }
}

fn is_rolled_back(state: &RolloutState) -> bool {
    matches!(state, RolloutState::RolledBack { .. })
}

fn is_in_repeat_window(rollout: &Rollout, ended_at_ms: u64) -> bool {
    rollout.elapsed_ms.saturating_sub(ended_at_ms) < REPEATED_ORDER_WINDOW_MS
}

/// Whether the elapsed time must still be updated: while the rollout is in progress, and after a
/// rollback for as long as repeated orders are acknowledged.
pub fn needs_elapsed_time(rollout: &Rollout) -> bool {
    match &rollout.state {
        RolloutState::InProgress(_) => true,
        RolloutState::Completed { .. } => false,
        RolloutState::RolledBack { verdict } => is_in_repeat_window(rollout, verdict.elapsed_ms),
    }
}
