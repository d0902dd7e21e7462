//! One request under way.

use super::phases::PhaseBook;
use super::Action;
use crate::batcher::AnnouncedOrder;
use crate::crashes::{ConnectionLoss, InterruptedSend};
use crate::instances::{Instance, InstanceId, InstanceTable};
use crate::policy::Policy;
use crate::ports::{CallAttributes, SendAttributes};
use crate::regions::{SharedPrefixCost, ZoneInputs};
use crate::rollouts::{CountedSend, VersionChoice};
use crate::routes::{ResolvedRoute, RouteTable};
use crate::selection::{affinity_key, SelectionRequest};
use crate::Millis;
use silversail_model::{Outcome, RequestFingerprint, ResultCode, Shard, Topology};
use silversail_peer::{PhaseWork, Piece, ResultHandle};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// How long a phase and what comes around it takes at least, in milliseconds:
/// what a phase leaves to each of those after it.
const TIME_OF_LATER_PHASE: Millis = 350;
/// Bytes to be moved from which a phase is tied to a zone.
const MUCH_TO_MOVE: u64 = 200_000;
/// Most sends of a request, those to engines that were not reached included.
const MAX_SENDS: u32 = 5;

/// Where a phase is best done.
#[derive(Default)]
struct BestPlace {
    /// The zone; empty for any.
    zone: String,
    /// Bytes that are moved there from elsewhere, or from there else.
    moved_bytes: u64,
}

/// The send that is under way.
pub(super) struct PresentSend {
    pub(super) instance: String,
    pub(super) service: String,
    pub(super) address: String,
    pub(super) began_at: Millis,
    /// Where it counts for a rollout.
    pub(super) counted: Option<CountedSend>,
}

/// A request under way.
pub(super) struct ActiveRequest {
    pub(super) call: CallAttributes,
    /// What it is, whatever its identifier.
    pub(super) fingerprint: RequestFingerprint,
    pub(super) routed: ResolvedRoute,
    policy: Policy,
    pub(super) arrived_at: Millis,
    /// When the caller's wait or the route's time is over.
    pub(super) end: Millis,
    pub(super) phases: PhaseBook,
    pub(super) sends: u32,
    pub(super) tried: Vec<String>,
    pub(super) present: Option<PresentSend>,
    pub(super) head_at: Option<Millis>,
    pub(super) restarts: u32,
    /// Whether a send to a candidate gave no answer: what comes after goes to the baseline.
    pub(super) failed_at_candidate: bool,
    /// Back ends that were not reached.
    pub(super) unreached: u32,
    /// Until when it waits for an engine that rests; none where it does not.
    pub(super) waits_until: Option<Millis>,
    /// The limited engine for whose permit it waits.
    pub(super) waits_for: Option<InstanceId>,
    /// What a send came to that may have run, where it was followed by another.
    pub(super) failed_with: Option<ResultCode>,
    /// How long engines read what it shares with others.
    pub(super) shared_prompt: SharedPrefixCost,
}

impl ActiveRequest {
    pub(super) fn new(
        call: CallAttributes,
        routed: ResolvedRoute,
        policy: Policy,
        now: Millis,
        end: Millis,
    ) -> Self {
        let phases = PhaseBook::new(&routed.route.phases, &call.pieces, policy.late_start);
        Self {
            fingerprint: RequestFingerprint::of(routed.tenant.as_deref(), &call.content),
            call,
            routed,
            policy,
            arrived_at: now,
            end,
            phases,
            sends: 0,
            tried: Vec::new(),
            present: None,
            head_at: None,
            restarts: 0,
            failed_at_candidate: false,
            unreached: 0,
            waits_until: None,
            waits_for: None,
            failed_with: None,
            shared_prompt: SharedPrefixCost::default(),
        }
    }

    /// Tokens that the request may take at an engine.
    pub(super) fn tokens(&self) -> u64 {
        u64::from(self.call.prompt_tokens) + u64::from(self.call.answer_tokens)
    }

    /// Where it broke off, where `present` was its send.
    pub(super) fn break_off(&self, present: &PresentSend) -> ConnectionLoss {
        ConnectionLoss {
            instance: present.instance.clone(),
            service: present.service.clone(),
            address: present.address.clone(),
            sends: vec![InterruptedSend {
                request: self.call.id.clone(),
                fingerprint: self.fingerprint,
            }],
        }
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        self.sends < self.routed.route.max_attempts
    }

    /// Takes in the regions that another traffic configuration allows. A request whose route
    /// or key is gone keeps those that it had.
    pub(super) fn follow_regions(&mut self, routes: &RouteTable) {
        if let Ok(routed) = routes.route(&self.call) {
            self.routed.regions = routed.regions;
        }
    }

    /// Whether a back end lies where it may be served.
    pub(super) fn allows(&self, instance: &Instance, topology: &Topology) -> bool {
        let region = topology.region_of(&instance.listed.zone);
        self.routed.regions.allows(region)
    }

    /// The services that it needs.
    pub(super) fn needed_services(&self) -> impl Iterator<Item = &String> {
        let phases = self.routed.route.phases.iter().enumerate();
        let has_pieces = |(phase, _): &(usize, _)| self.phases.pieces(*phase) > 0;
        let of_phases = phases.filter(has_pieces).map(|(_, spec)| &spec.service);
        of_phases.chain([&self.routed.service])
    }

    /// The code that is true of it: none that says that it did not run once it may have run.
    pub(super) fn truthful(&self, code: ResultCode) -> ResultCode {
        match self.failed_with {
            Some(failed_with) if code.outcome() == Outcome::NotRun => failed_with,
            _ => code,
        }
    }

    /// Why it can't be served where no back end can have it.
    pub(super) fn no_backend_code(&self) -> ResultCode {
        match self.routed.regions.is_restricting() {
            true => ResultCode::NoAllowedBackend,
            false => ResultCode::NoBackend,
        }
    }

    pub(super) fn most_sends(&self) -> u32 {
        MAX_SENDS
    }

    pub(super) fn reset_phases(&mut self) {
        self.phases = PhaseBook::new(
            &self.routed.route.phases,
            &self.call.pieces,
            self.policy.late_start,
        );
    }

    /// The place where a phase is best done: where its inputs are, if each piece
    /// has much to fetch, else where the engine probably is, if its results are
    /// large and no other phase needs them.
    fn best_place(&self, phase: usize, engine_zone: &str, instances: &InstanceTable) -> BestPlace {
        if !self.policy.zone_of_results {
            return BestPlace::default();
        }
        let spec = &self.routed.route.phases[phase];
        let pieces = u64::from(self.phases.pieces(phase));
        let inputs = self.phases.inputs(phase);
        let fetched: u64 = inputs
            .iter()
            .map(|(before, handles)| {
                self.routed.route.phases[*before].result_bytes * handles.len() as u64
            })
            .sum();
        let fetched = fetched * pieces;
        if fetched >= MUCH_TO_MOVE {
            let holder = inputs
                .iter()
                .flat_map(|(_, handles)| handles.iter())
                .find_map(|handle| instances.holder(handle));
            return BestPlace {
                zone: holder.map_or_else(String::new, |one| one.listed.zone.clone()),
                moved_bytes: fetched,
            };
        }
        let is_last = self.phases.phases_after(phase) == 0;
        let made = spec.result_bytes * pieces;
        if is_last && made >= MUCH_TO_MOVE {
            return BestPlace {
                zone: engine_zone.to_owned(),
                moved_bytes: made,
            };
        }
        BestPlace {
            zone: String::new(),
            moved_bytes: fetched,
        }
    }

    /// The pieces of a phase, for any of its back ends. The engine will probably be in `engine_zone`, and take
    /// `first_part` milliseconds until the first part of its answer.
    pub(super) fn phase_work(
        &self,
        phase: usize,
        engine_zone: &str,
        instances: &InstanceTable,
        first_part: Millis,
        now: Millis,
    ) -> PhaseWork {
        let spec = &self.routed.route.phases[phase];
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
        let objective = self.arrived_at + self.routed.route.objective_ms;
        let after_phase = TIME_OF_LATER_PHASE * later + first_part;
        let wanted_at = objective.saturating_sub(after_phase);
        let place = self.best_place(phase, engine_zone, instances);
        PhaseWork {
            shard: Shard::whole(&spec.service),
            pieces,
            fingerprint: self.fingerprint,
            priority: self.routed.priority,
            zone: place.zone,
            moved_bytes: place.moved_bytes,
            regions: self.routed.regions.clone(),
            wanted_in_ms: wanted_at.saturating_sub(now),
            remaining_ms: self.end.saturating_sub(now),
        }
    }

    /// What a batching node is told of a phase to come.
    pub(super) fn announced_order(&self, phase: usize) -> AnnouncedOrder {
        AnnouncedOrder {
            shard: Shard::whole(&self.routed.route.phases[phase].service),
            pieces: self.phases.pieces(phase) as usize,
            priority: self.routed.priority,
        }
    }

    /// A phase's results came. Results that nothing needs any more are freed.
    pub(super) fn phase_made(&mut self, phase: usize, handles: Vec<ResultHandle>) -> Vec<Action> {
        self.phases.made(phase, handles);
        let used_up = self.phases.take_used_up();
        self.releases(used_up)
    }

    /// A phase's back ends have read their inputs, which are freed.
    pub(super) fn inputs_read(&mut self, phase: usize) -> Vec<Action> {
        let inputs = self.phases.take_inputs(phase);
        self.releases(inputs)
    }

    /// Drops orders that are under way and frees all results.
    pub(super) fn drop_phases(&mut self) -> Vec<Action> {
        let mut actions: Vec<Action> = self
            .phases
            .take_orders()
            .into_iter()
            .map(|work| Action::Cancel { work })
            .collect();
        let held = self.phases.take_results();
        actions.extend(self.releases(held));
        actions
    }

    fn releases(&self, results: Vec<(usize, Vec<ResultHandle>)>) -> Vec<Action> {
        results
            .into_iter()
            .filter(|(_, handles)| !handles.is_empty())
            .map(|(phase, handles)| Action::Release {
                service: self.routed.route.phases[phase].service.clone(),
                handles,
            })
            .collect()
    }

    /// Where the inputs of the engine lie, as far as phases have made them.
    pub(super) fn inputs_of_engine(&self, instances: &InstanceTable) -> Vec<ZoneInputs> {
        let last = self.phases.last_results_by_phase();
        let of_phase = |(phase, handles): (usize, &Vec<ResultHandle>)| {
            let holder = handles.iter().find_map(|one| instances.holder(one))?;
            let bytes = self.routed.route.phases[phase].result_bytes * handles.len() as u64;
            Some(ZoneInputs {
                zone: holder.listed.zone.clone(),
                bytes,
            })
        };
        last.into_iter().filter_map(of_phase).collect()
    }

    /// What the choice of an engine takes into account, beside `inputs`.
    pub(super) fn selection<'a>(
        &'a self,
        topology: &'a Topology,
        inputs: &'a [ZoneInputs],
    ) -> SelectionRequest<'a> {
        let affinity = match self.routed.route.has_prefix && self.policy.prefix_affinity {
            true => affinity_key(&self.call.prefix),
            false => None,
        };
        SelectionRequest {
            service: &self.routed.service,
            versions: VersionChoice::Any,
            topology,
            regions: &self.routed.regions,
            region_affinity: self.policy.region_affinity,
            affinity,
            shared_prompt: self.shared_prompt,
            inputs,
            tried: &self.tried,
            cold_use: self.policy.cold_use,
            lot: self.lot(),
        }
    }

    fn lot(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.call.id.hash(&mut hasher);
        hasher.finish()
    }

    /// What goes with a send to the back end that calls itself `instance`.
    pub(super) fn send_attributes(&self, instance: &str, now: Millis) -> SendAttributes {
        SendAttributes {
            instance: instance.to_owned(),
            remaining_ms: self.end.saturating_sub(now),
            tenant: self.routed.tenant.clone(),
            priority: self
                .routed
                .route
                .has_prefix
                .then_some(self.routed.priority.min(9)),
            inputs: self.phases.last_results(),
        }
    }
}
