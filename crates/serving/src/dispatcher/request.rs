//! State of one open request.

use super::forwarding::ActiveForward;
use super::phases::PhaseSet;
use super::Action;
use crate::batcher::AnnouncedOrder;
use crate::crashes::{ConnectionLoss, InterruptedPrompt, InterruptedSend};
use crate::instances::{Instance, InstanceId, InstanceTable};
use crate::policy::Policy;
use crate::ports::{shared_parts, CallAttributes, SendAttributes};
use crate::regions::{SharedPrefixCost, ZoneInputs};
use crate::rollouts::{CountedSend, VersionChoice};
use crate::routes::{ResolvedRoute, RouteTable};
use crate::selection::{affinity_key, SelectionRequest};
use crate::Millis;
use silversail_model::{
    NodeName, Outcome, RequestAttribute, RequestFingerprint, ResultCode, Shard, Topology,
};
use silversail_peer::{PhaseWork, Piece, ResultHandle};
use silversail_quarantine::attribute_fingerprints;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Minimum duration of a phase with its overhead, in milliseconds: the time that a phase leaves
/// to each later one.
const MIN_PHASE_DURATION: Millis = 350;
/// Transfer size in bytes above which a phase prefers a zone.
const LARGE_TRANSFER_BYTES: u64 = 200_000;
/// Maximum number of sends of a request, including those that reached no engine.
const MAX_SENDS: u32 = 5;

/// Preferred zone of a phase.
#[derive(Default)]
struct PreferredZone {
    /// The zone; empty for any.
    zone: String,
    /// Bytes that are transferred if the phase runs in another zone.
    moved_bytes: u64,
}

/// The send in flight.
pub(super) struct ActiveSend {
    pub(super) instance: String,
    pub(super) service: String,
    pub(super) version: String,
    pub(super) address: String,
    pub(super) began_at: Millis,
    /// How the send is counted for a rollout.
    pub(super) counted: Option<CountedSend>,
}

/// An open request.
pub(super) struct ActiveRequest {
    pub(super) call: CallAttributes,
    /// Identifies the content, independently of the request's identifier.
    pub(super) fingerprint: RequestFingerprint,
    pub(super) resolved_route: ResolvedRoute,
    policy: Policy,
    pub(super) arrived_at: Millis,
    /// Deadline: the caller's or the route's timeout.
    pub(super) end: Millis,
    pub(super) phases: PhaseSet,
    pub(super) sends: u32,
    pub(super) tried: Vec<String>,
    pub(super) active_send: Option<ActiveSend>,
    /// The peer that serves the request for this node.
    pub(super) active_forward: Option<ActiveForward>,
    /// Peers to which the request was forwarded.
    pub(super) forwarded_to: Vec<NodeName>,
    pub(super) head_at: Option<Millis>,
    pub(super) restarts: u32,
    /// Whether a send to a candidate got no answer; later sends go to the baseline.
    pub(super) failed_at_candidate: bool,
    /// Number of sends that reached no back end.
    pub(super) unreached: u32,
    /// When an engine is expected to be available; none while the request does not wait.
    pub(super) waits_until: Option<Millis>,
    /// The rate-limited engine for whose permit it waits.
    pub(super) waits_for: Option<InstanceId>,
    /// Code of an earlier send that may have run.
    pub(super) failed_with: Option<ResultCode>,
    /// Cost of the prompt prefix that it shares with other requests.
    pub(super) shared_prompt: SharedPrefixCost,
    /// Software version to which it is restricted, as it takes up a stream.
    pub(super) version: Option<String>,
    /// Attributes that other requests may share, with the fingerprints of their refusal.
    pub(super) attribute_fingerprints: Vec<(RequestAttribute, RequestFingerprint)>,
    /// Whether its answer has shown that its attributes do not crash back ends.
    pub(super) is_answer_counted: bool,
}

impl ActiveRequest {
    pub(super) fn new(
        call: CallAttributes,
        resolved_route: ResolvedRoute,
        policy: Policy,
        now: Millis,
        end: Millis,
    ) -> Self {
        let phases = PhaseSet::new(
            &resolved_route.route.phases,
            &call.pieces,
            policy.late_start,
        );
        let sends = call.forwarded.unwrap_or_default().earlier_attempts;
        let parts = shared_parts(&call.prefix).filter(|_| resolved_route.route.has_prefix);
        let attribute_fingerprints = attribute_fingerprints(
            &resolved_route.service,
            resolved_route.tenant.as_deref(),
            parts.map(RequestAttribute::PromptPart),
        );
        Self {
            fingerprint: RequestFingerprint::of(resolved_route.tenant.as_deref(), &call.content),
            call,
            resolved_route,
            policy,
            arrived_at: now,
            end,
            phases,
            sends,
            tried: Vec::new(),
            active_send: None,
            active_forward: None,
            forwarded_to: Vec::new(),
            head_at: None,
            restarts: 0,
            failed_at_candidate: false,
            unreached: 0,
            waits_until: None,
            waits_for: None,
            failed_with: None,
            shared_prompt: SharedPrefixCost::default(),
            version: None,
            attribute_fingerprints,
            is_answer_counted: false,
        }
    }

    /// Maximum number of tokens that the request uses at an engine.
    pub(super) fn tokens(&self) -> u64 {
        u64::from(self.call.prompt_tokens) + u64::from(self.call.answer_tokens)
    }

    /// Describes a lost connection of this request.
    pub(super) fn break_off(&self, active_send: &ActiveSend) -> ConnectionLoss {
        ConnectionLoss {
            instance: active_send.instance.clone(),
            service: active_send.service.clone(),
            address: active_send.address.clone(),
            sends: vec![InterruptedSend {
                request: self.call.id.clone(),
                fingerprint: self.fingerprint,
                prompt: self.interrupted_prompt(active_send),
            }],
        }
    }

    fn interrupted_prompt(&self, active_send: &ActiveSend) -> Option<InterruptedPrompt> {
        let is_prompt = self.resolved_route.route.has_prefix;
        is_prompt.then(|| InterruptedPrompt {
            tenant: self.resolved_route.tenant.clone(),
            version: active_send.version.clone(),
            attributes: self.attributes().collect(),
            answer_began_at: self.head_at,
        })
    }

    /// Attributes that other requests may share.
    pub(super) fn attributes(&self) -> impl Iterator<Item = RequestAttribute> + '_ {
        let is_prompt = self.resolved_route.route.has_prefix;
        let parts = shared_parts(&self.call.prefix).filter(move |_| is_prompt);
        parts.map(RequestAttribute::PromptPart)
    }

    /// Whether the request is at an engine or a peer.
    pub(super) fn is_sent(&self) -> bool {
        self.active_send.is_some() || self.active_forward.is_some()
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        self.sends < self.resolved_route.route.max_attempts
    }

    /// Updates the allowed regions from a new traffic configuration. A request whose route or
    /// key no longer exists keeps its regions.
    pub(super) fn update_regions(&mut self, routes: &RouteTable) {
        if let Ok(resolved_route) = routes.route(&self.call) {
            self.resolved_route.regions = resolved_route.regions;
        }
    }

    /// Whether a back end is in an allowed region, and of the version to which the request is
    /// restricted.
    pub(super) fn allows(&self, instance: &Instance, topology: &Topology) -> bool {
        let region = topology.region_of(&instance.listed.zone);
        self.resolved_route.regions.allows(region) && self.allows_version(instance)
    }

    fn allows_version(&self, instance: &Instance) -> bool {
        let is_of_service = instance.listed.service == self.resolved_route.service;
        let version = self.version.as_ref().filter(|_| is_of_service);
        version.is_none_or(|version| *version == instance.listed.version)
    }

    /// Whether its answer is a stream that callers may take up.
    pub(super) fn is_resumable(&self) -> bool {
        self.resolved_route.route.kind.is_resumable()
    }

    /// Services that the request needs.
    pub(super) fn needed_services(&self) -> impl Iterator<Item = &String> {
        let phases = self.resolved_route.route.phases.iter().enumerate();
        let has_pieces = |(phase, _): &(usize, _)| self.phases.pieces(*phase) > 0;
        let of_phases = phases.filter(has_pieces).map(|(_, spec)| &spec.service);
        of_phases.chain([&self.resolved_route.service])
    }

    /// Corrects a code that claims that the request did not run, if an earlier send may have
    /// run.
    pub(super) fn corrected_code(&self, code: ResultCode) -> ResultCode {
        match self.failed_with {
            Some(failed_with) if code.outcome() == Outcome::NotRun => failed_with,
            _ => code,
        }
    }

    /// Code for the lack of a usable back end.
    pub(super) fn no_backend_code(&self) -> ResultCode {
        match self.resolved_route.regions.is_restricted() {
            true => ResultCode::NoAllowedBackend,
            false => ResultCode::NoBackend,
        }
    }

    pub(super) fn max_sends(&self) -> u32 {
        MAX_SENDS
    }

    pub(super) fn reset_phases(&mut self) {
        self.phases = PhaseSet::new(
            &self.resolved_route.route.phases,
            &self.call.pieces,
            self.policy.late_start,
        );
    }

    /// Preferred zone of a phase: that of its inputs if each piece fetches much, else that of
    /// the likely engine if the phase is the last one and its results are large.
    fn preferred_zone(
        &self,
        phase: usize,
        engine_zone: &str,
        instances: &InstanceTable,
    ) -> PreferredZone {
        if !self.policy.zone_of_results {
            return PreferredZone::default();
        }
        let spec = &self.resolved_route.route.phases[phase];
        let pieces = u64::from(self.phases.pieces(phase));
        let inputs = self.phases.inputs(phase);
        let fetched: u64 = inputs
            .iter()
            .map(|(before, handles)| {
                self.resolved_route.route.phases[*before].result_bytes * handles.len() as u64
            })
            .sum();
        let fetched = fetched * pieces;
        if fetched >= LARGE_TRANSFER_BYTES {
            let holder = inputs
                .iter()
                .flat_map(|(_, handles)| handles.iter())
                .find_map(|handle| instances.holder(handle));
            return PreferredZone {
                zone: holder.map_or_else(String::new, |instance| instance.listed.zone.clone()),
                moved_bytes: fetched,
            };
        }
        let is_last = self.phases.phases_after(phase) == 0;
        let result_bytes = spec.result_bytes * pieces;
        if is_last && result_bytes >= LARGE_TRANSFER_BYTES {
            return PreferredZone {
                zone: engine_zone.to_owned(),
                moved_bytes: result_bytes,
            };
        }
        PreferredZone {
            zone: String::new(),
            moved_bytes: fetched,
        }
    }

    /// Creates the order of a phase. The engine is expected in `engine_zone`, and to take
    /// `time_to_first_byte` milliseconds until the first byte of its answer.
    pub(super) fn phase_work(
        &self,
        phase: usize,
        engine_zone: &str,
        instances: &InstanceTable,
        time_to_first_byte: Millis,
        now: Millis,
    ) -> PhaseWork {
        let spec = &self.resolved_route.route.phases[phase];
        let source = self.phases.source(phase, &self.call.piece_key);
        let pieces = (0..self.phases.pieces(phase))
            .map(|index| Piece {
                request: self.call.id.clone(),
                phase: phase as u32,
                index,
                source: source.clone(),
                result_bytes: spec.result_bytes,
            })
            .collect();
        let later = self.phases.phases_after(phase) as Millis;
        let objective = self.arrived_at + self.resolved_route.route.objective_ms;
        let after_phase = MIN_PHASE_DURATION * later + time_to_first_byte;
        let wanted_at = objective.saturating_sub(after_phase);
        let place = self.preferred_zone(phase, engine_zone, instances);
        PhaseWork {
            shard: Shard::whole_service(&spec.service),
            pieces,
            fingerprint: self.fingerprint,
            priority: self.resolved_route.priority,
            zone: place.zone,
            moved_bytes: place.moved_bytes,
            regions: self.resolved_route.regions.clone(),
            target_remaining_ms: wanted_at.saturating_sub(now),
            remaining_ms: self.end.saturating_sub(now),
        }
    }

    /// Creates the announcement of a phase.
    pub(super) fn announced_order(&self, phase: usize) -> AnnouncedOrder {
        AnnouncedOrder {
            shard: Shard::whole_service(&self.resolved_route.route.phases[phase].service),
            pieces: self.phases.pieces(phase) as usize,
            priority: self.resolved_route.priority,
        }
    }

    /// Stores the results of a phase and releases results that are no longer needed.
    pub(super) fn complete_phase(
        &mut self,
        phase: usize,
        handles: Vec<ResultHandle>,
    ) -> Vec<Action> {
        self.phases.complete(phase, handles);
        let consumed = self.phases.take_consumed();
        self.releases(consumed)
    }

    /// Releases the inputs of a phase, which its back ends have read.
    pub(super) fn inputs_read(&mut self, phase: usize) -> Vec<Action> {
        let inputs = self.phases.take_inputs(phase);
        self.releases(inputs)
    }

    /// Cancels all orders and releases all results.
    pub(super) fn drop_phases(&mut self) -> Vec<Action> {
        let mut actions: Vec<Action> = self
            .phases
            .take_orders()
            .into_iter()
            .map(|work| Action::Cancel { work })
            .collect();
        let results = self.phases.take_results();
        actions.extend(self.releases(results));
        actions
    }

    fn releases(&self, results: Vec<(usize, Vec<ResultHandle>)>) -> Vec<Action> {
        results
            .into_iter()
            .filter(|(_, handles)| !handles.is_empty())
            .map(|(phase, handles)| Action::Release {
                service: self.resolved_route.route.phases[phase].service.clone(),
                handles,
            })
            .collect()
    }

    /// Zones and sizes of the engine's inputs that exist so far.
    pub(super) fn inputs_of_engine(&self, instances: &InstanceTable) -> Vec<ZoneInputs> {
        let last = self.phases.last_results_by_phase();
        let of_phase = |(phase, handles): (usize, &Vec<ResultHandle>)| {
            let holder = handles.iter().find_map(|handle| instances.holder(handle))?;
            let bytes = self.resolved_route.route.phases[phase].result_bytes * handles.len() as u64;
            Some(ZoneInputs {
                zone: holder.listed.zone.clone(),
                bytes,
            })
        };
        last.into_iter().filter_map(of_phase).collect()
    }

    /// Criteria for the selection of an engine.
    pub(super) fn selection<'a>(
        &'a self,
        topology: &'a Topology,
        inputs: &'a [ZoneInputs],
    ) -> SelectionRequest<'a> {
        let affinity = match self.resolved_route.route.has_prefix && self.policy.prefix_affinity {
            true => affinity_key(&self.call.prefix),
            false => None,
        };
        SelectionRequest {
            service: &self.resolved_route.service,
            versions: VersionChoice::Any,
            version: self.version.as_deref(),
            topology,
            regions: &self.resolved_route.regions,
            region_affinity: self.policy.region_affinity,
            affinity,
            shared_prompt: self.shared_prompt,
            inputs,
            tried: &self.tried,
            cold_use: self.policy.cold_use,
            random_seed: self.random_seed(),
        }
    }

    fn random_seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.call.id.hash(&mut hasher);
        hasher.finish()
    }

    /// Metadata for a send to the back end named `instance`.
    pub(super) fn send_attributes(&self, instance: &str, now: Millis) -> SendAttributes {
        SendAttributes {
            instance: instance.to_owned(),
            remaining_ms: self.end.saturating_sub(now),
            tenant: self.resolved_route.tenant.clone(),
            priority: self
                .resolved_route
                .route
                .has_prefix
                .then_some(self.resolved_route.priority.min(9)),
            inputs: self.phases.last_results(),
        }
    }
}
