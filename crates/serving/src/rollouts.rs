//! This node's part in active rollouts: it selects the version for each request within the exposure
//! that the directive allows, and collects evidence from each version's answers.

mod roles;

pub use roles::{VersionChoice, VersionRole, VersionRoles};

use crate::Millis;
use silversail_rollout::exposure::ExposureBudget;
use silversail_rollout::{
    Directive, Evidence, ResponseCounts, Rollout, RolloutNumber, RolloutState, RouteEvidence,
};
use std::collections::BTreeMap;

/// A send that counts as evidence for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedSend {
    rollout: RolloutNumber,
    to_candidate: bool,
}

impl CountedSend {
    /// Whether the request was sent to the candidate version.
    pub fn is_to_candidate(&self) -> bool {
        self.to_candidate
    }
}

/// Outcome of a counted send that its back end accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAnswer {
    /// A complete answer that is no failure.
    Good {
        /// Milliseconds from the send to the answer's first byte.
        time_to_first_byte_ms: Millis,
        /// Milliseconds from the send to the answer's end.
        response_time_ms: Millis,
    },
    /// An error status, a truncated or malformed answer, or a timeout.
    Bad,
}

/// State of a rollout in progress in this process.
struct ActiveRollout {
    directive: Directive,
    budget: ExposureBudget,
    evidence: Evidence,
}

impl ActiveRollout {
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

    fn apply_directive(&mut self, directive: &Directive) {
        self.evidence.step = directive.step;
        self.directive = directive.clone();
    }

    fn response_counts(&mut self, route: &str, to_candidate: bool) -> &mut ResponseCounts {
        // The lookup avoids a copy of the route name for known routes.
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

/// The rollouts in progress and the role of each version.
///
/// Candidates get no requests until [`Self::set_permitted`] allows it; the caller sets it before
/// each decision, depending on how fresh the rollout state is.
#[derive(Default)]
pub struct RolloutTracker {
    active: BTreeMap<String, ActiveRollout>,
    roles: VersionRoles,
    is_permitted: bool,
}

impl RolloutTracker {
    /// Updates the latest rollout of each service. Counts of a continuing rollout are kept.
    pub fn update<'a>(&mut self, rollouts: impl IntoIterator<Item = &'a Rollout>) {
        for rollout in rollouts {
            self.roles.update(rollout);
            let service = &rollout.order.service;
            let RolloutState::InProgress(directive) = &rollout.state else {
                self.active.remove(service);
                continue;
            };
            let number = rollout.number;
            let known = self.active.get(service);
            if known.is_none_or(|rollout| rollout.evidence.rollout != number) {
                let new_rollout = ActiveRollout::new(number);
                self.active.insert(service.clone(), new_rollout);
            }
            if let Some(active) = self.active.get_mut(service) {
                active.apply_directive(directive);
            }
        }
    }

    /// Sets whether the rollout state is fresh enough to send requests to candidates.
    pub fn set_permitted(&mut self, is_permitted: bool) {
        self.is_permitted = is_permitted;
    }

    /// Whether requests may be sent to candidates.
    pub fn is_permitted(&self) -> bool {
        self.is_permitted
    }

    /// Role of each version.
    pub fn roles(&self) -> &VersionRoles {
        &self.roles
    }

    /// Whether any rollout is in progress.
    pub fn is_any_in_progress(&self) -> bool {
        !self.active.is_empty()
    }

    /// Whether a rollout of a service is in progress.
    pub fn is_in_progress(&self, service: &str) -> bool {
        self.active.contains_key(service)
    }

    /// Selects the versions that a request of a route may use. `random_value` returns a
    /// uniformly random value that differs between requests.
    pub fn choose(
        &self,
        service: &str,
        route: &str,
        random_value: impl FnOnce() -> u64,
    ) -> VersionChoice {
        let Some(active) = self.active.get(service) else {
            return VersionChoice::Any;
        };
        let budget = &active.budget;
        if self.is_permitted
            && budget.may_send_to_candidate(&active.directive, route, random_value())
        {
            VersionChoice::Candidate
        } else {
            VersionChoice::Baseline
        }
    }

    /// Whether all requests of a route go to the candidate.
    pub fn has_moved(&self, service: &str, route: &str) -> bool {
        let active = self.active.get(service);
        let is_moved = active.is_some_and(|rollout| rollout.directive.moved_routes.contains(route));
        self.is_permitted && is_moved
    }

    /// Counts a send to a version with the given role; none if no rollout is in progress.
    pub fn record_send(
        &mut self,
        service: &str,
        route: &str,
        role: VersionRole,
    ) -> Option<CountedSend> {
        let active = self.active.get_mut(service)?;
        let to_candidate = role == VersionRole::Candidate;
        active.budget.record_sent(to_candidate);
        active.response_counts(route, to_candidate).sent += 1;
        Some(CountedSend {
            rollout: active.evidence.rollout,
            to_candidate,
        })
    }

    /// Counts the outcome of a send; ignored if its rollout has ended.
    pub fn record_answer(
        &mut self,
        service: &str,
        route: &str,
        send: CountedSend,
        answer: CountedAnswer,
    ) {
        let active = self.active.get_mut(service);
        let Some(active) = active.filter(|rollout| rollout.evidence.rollout == send.rollout) else {
            return;
        };
        let response_counts = active.response_counts(route, send.to_candidate);
        match answer {
            CountedAnswer::Bad => response_counts.failed += 1,
            CountedAnswer::Good {
                time_to_first_byte_ms,
                response_time_ms,
            } => {
                response_counts.succeeded += 1;
                response_counts
                    .time_to_first_byte
                    .record(time_to_first_byte_ms);
                response_counts.response_time.record(response_time_ms);
            }
        }
    }

    /// Evidence of this process for each rollout in progress. `baseline_in_flight` returns the number
    /// of requests in flight at the baseline of a service.
    pub fn evidence(&self, baseline_in_flight: impl Fn(&str) -> u64) -> Vec<Evidence> {
        let active = self.active.iter();
        active
            .map(|(service, rollout)| Evidence {
                baseline_in_flight: baseline_in_flight(service),
                ..rollout.evidence.clone()
            })
            .collect()
    }
}
