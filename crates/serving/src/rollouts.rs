//! What this node does of the rollouts in force: which version a request may go to, within
//! what the directive allows, and what came of each version's answers.

mod roles;

pub use roles::{VersionChoice, VersionRole, VersionRoles};

use crate::Millis;
use silversail_rollout::exposure::ExposureBudget;
use silversail_rollout::{
    Directive, Evidence, ResponseCounts, Rollout, RolloutNumber, RolloutState, RouteEvidence,
};
use std::collections::BTreeMap;

/// A send that is counted for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedSend {
    rollout: RolloutNumber,
    to_candidate: bool,
}

impl CountedSend {
    /// Whether it went to the candidate.
    pub fn is_to_candidate(&self) -> bool {
        self.to_candidate
    }
}

/// What came of a counted send that its back end took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAnswer {
    /// A whole answer that is no failure.
    Good {
        /// Milliseconds from the send to the answer's first part.
        first_part_ms: Millis,
        /// Milliseconds from the send to the answer's end.
        whole_ms: Millis,
    },
    /// An error status, an answer that broke off, a garbled one, or none in time.
    Bad,
}

/// A rollout in progress, as this process follows it.
struct FollowedRollout {
    directive: Directive,
    budget: ExposureBudget,
    evidence: Evidence,
}

impl FollowedRollout {
    fn new(number: RolloutNumber) -> Self {
        let evidence = Evidence {
            rollout: number,
            ..Evidence::default()
        };
        Self {
            directive: Directive::default(),
            budget: ExposureBudget::new(),
            evidence,
        }
    }

    fn obey(&mut self, directive: &Directive) {
        self.evidence.step = directive.step;
        self.directive = directive.clone();
    }

    fn answers(&mut self, route: &str, to_candidate: bool) -> &mut ResponseCounts {
        // Looked up first, as a new route is rare and its name must be copied.
        if !self.evidence.routes.contains_key(route) {
            let routes = &mut self.evidence.routes;
            routes.insert(route.to_owned(), RouteEvidence::default());
        }
        let routes = &mut self.evidence.routes;
        let of_route = routes.get_mut(route).expect("inserted above where absent");
        match to_candidate {
            true => &mut of_route.candidate,
            false => &mut of_route.baseline,
        }
    }
}

/// The rollouts in progress, and the part of each version.
///
/// Without a permit nothing goes to a candidate. A permit is given by whoever knows how fresh
/// the rollouts are, before each decision that rests on it; at first there is none.
#[derive(Default)]
pub struct RolloutBook {
    followed: BTreeMap<String, FollowedRollout>,
    roles: VersionRoles,
    is_permitted: bool,
}

impl RolloutBook {
    /// Takes the latest rollout of each service. Counts of one that goes on are kept.
    pub fn take<'a>(&mut self, rollouts: impl IntoIterator<Item = &'a Rollout>) {
        for rollout in rollouts {
            self.roles.take(rollout);
            let service = &rollout.order.service;
            let RolloutState::InProgress(directive) = &rollout.state else {
                self.followed.remove(service);
                continue;
            };
            let number = rollout.number;
            let known = self.followed.get(service);
            if known.is_none_or(|one| one.evidence.rollout != number) {
                let begun = FollowedRollout::new(number);
                self.followed.insert(service.clone(), begun);
            }
            if let Some(followed) = self.followed.get_mut(service) {
                followed.obey(directive);
            }
        }
    }

    /// Takes whether what is known of the rollouts is fresh enough to send to candidates.
    pub fn set_permitted(&mut self, is_permitted: bool) {
        self.is_permitted = is_permitted;
    }

    /// Whether candidates may get anything now.
    pub fn is_permitted(&self) -> bool {
        self.is_permitted
    }

    /// The part of each version.
    pub fn roles(&self) -> &VersionRoles {
        &self.roles
    }

    /// Whether any rollout is in progress.
    pub fn is_any_in_progress(&self) -> bool {
        !self.followed.is_empty()
    }

    /// Whether a rollout of a service is in progress.
    pub fn is_in_progress(&self, service: &str) -> bool {
        self.followed.contains_key(service)
    }

    /// Which versions a request of a route may go to. `lot` draws evenly from all 64 bits and
    /// differs between requests.
    pub fn choose(&self, service: &str, route: &str, lot: impl FnOnce() -> u64) -> VersionChoice {
        let Some(followed) = self.followed.get(service) else {
            return VersionChoice::Any;
        };
        let budget = &followed.budget;
        if self.is_permitted && budget.may_send_to_candidate(&followed.directive, route, lot()) {
            VersionChoice::Candidate
        } else {
            VersionChoice::Baseline
        }
    }

    /// Whether all requests of a route are to go to the candidate.
    pub fn has_moved(&self, service: &str, route: &str) -> bool {
        let followed = self.followed.get(service);
        let is_moved = followed.is_some_and(|one| one.directive.moved_routes.contains(route));
        self.is_permitted && is_moved
    }

    /// Counts a send to a version with the part `role`.
    pub fn sent(&mut self, service: &str, route: &str, role: VersionRole) -> Option<CountedSend> {
        let followed = self.followed.get_mut(service)?;
        let to_candidate = role == VersionRole::Candidate;
        followed.budget.record_sent(to_candidate);
        followed.answers(route, to_candidate).sent += 1;
        Some(CountedSend {
            rollout: followed.evidence.rollout,
            to_candidate,
        })
    }

    /// Counts what came of a send. One of a rollout that has ended counts for nothing.
    pub fn answered(
        &mut self,
        service: &str,
        route: &str,
        send: CountedSend,
        answer: CountedAnswer,
    ) {
        let followed = self.followed.get_mut(service);
        let Some(followed) = followed.filter(|one| one.evidence.rollout == send.rollout) else {
            return;
        };
        let answers = followed.answers(route, send.to_candidate);
        match answer {
            CountedAnswer::Bad => answers.failed += 1,
            CountedAnswer::Good {
                first_part_ms,
                whole_ms,
            } => {
                answers.succeeded += 1;
                answers.time_to_first_byte.record(first_part_ms);
                answers.response_time.record(whole_ms);
            }
        }
    }

    /// What this process saw of each rollout in progress; `baseline_in_flight` tells what is
    /// under way at a service's baseline.
    pub fn evidence(&self, baseline_in_flight: impl Fn(&str) -> u64) -> Vec<Evidence> {
        let followed = self.followed.iter();
        followed
            .map(|(service, one)| Evidence {
                baseline_in_flight: baseline_in_flight(service),
                ..one.evidence.clone()
            })
            .collect()
    }
}
