//! Reaction to losing all back ends while the other nodes reach them: this node withdraws from
//! callers and from batching until it reaches back ends again.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::{NodeName, Shard};
use silversail_serving::batcher::{CallId, CallOutcome};
use silversail_serving::crashes::{Diagnosis, Probe, ProbeResult};
use silversail_serving::reachability::{probe_targets, ReachabilityChange};
use stakker::{fwd, fwd_nop, Fwd};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Time for which this node keeps the orders of a shard that another node has taken over, in
/// milliseconds. Submitting nodes must know the new owner by the time their orders are rejected.
const KEEP_LOST_SHARD_FOR: Millis = 250;

/// State of a node that may be cut off from all back ends.
pub(super) struct BackendPartition {
    /// Shards that this node lost to other nodes, with the time of the loss.
    lost_shards: BTreeMap<Shard, Millis>,
    /// Apparent crashes that count only if this node is not cut off.
    unconfirmed_crashes: Vec<Diagnosis>,
    /// Sends a heartbeat at once.
    heartbeat_trigger: Fwd<()>,
}

impl Default for BackendPartition {
    fn default() -> Self {
        Self {
            lost_shards: BTreeMap::new(),
            unconfirmed_crashes: Vec::new(),
            heartbeat_trigger: fwd_nop!(),
        }
    }
}

impl BackendPartition {
    pub(super) fn set_heartbeat_trigger(&mut self, heartbeat_trigger: Fwd<()>) {
        self.heartbeat_trigger = heartbeat_trigger;
    }

    /// Records a change of the owner of a shard.
    pub(super) fn owner_changed(
        &mut self,
        shard: &Shard,
        former_owner: Option<&NodeName>,
        own: &NodeName,
        now: Millis,
    ) {
        if former_owner == Some(own) {
            self.lost_shards.insert(shard.clone(), now);
        } else {
            self.lost_shards.remove(shard);
        }
    }

    fn is_lost(&self, shard: &Shard, now: Millis) -> bool {
        let lost_at = self.lost_shards.get(shard);
        lost_at.is_some_and(|lost_at| now.saturating_sub(*lost_at) >= KEEP_LOST_SHARD_FOR)
    }
}

impl GatewayActor {
    /// Starts probes of back ends if a check or the next round of one is due.
    pub(super) fn probe_backends_if_due(&mut self, now: Millis) {
        let Some(count) = self.dispatcher.reachability.due_probes(now) else {
            return;
        };
        let mut seed = DefaultHasher::new();
        (self.node.as_str(), now).hash(&mut seed);
        let candidates = self.dispatcher.instances.accepting_new_work();
        let targets = probe_targets(candidates, count, seed.finish());
        let probes: Vec<Probe> = targets
            .into_iter()
            .map(|target| Probe {
                instance: target.listed.id.clone(),
                address: target.listed.address.clone(),
            })
            .collect();
        let instances = probes.iter().map(|probe| probe.instance.clone());
        self.dispatcher.reachability.probes_started(instances, now);
        for probe in probes {
            self.setup.calls.probe(probe);
        }
        self.release_unconfirmed_crashes(now);
    }

    /// Records the result of a probe, and withdraws or returns if it decides so.
    pub(super) fn record_probe(&mut self, instance: &str, result: ProbeResult, now: Millis) {
        let is_accepted = result == ProbeResult::Accepted;
        let reachability = &mut self.dispatcher.reachability;
        let failed: Vec<String> = reachability.failed().cloned().collect();
        if let Some(change) = reachability.probe_finished(instance, is_accepted, now) {
            self.handle_reachability_change(change, failed, now);
        }
        self.release_unconfirmed_crashes(now);
    }

    fn handle_reachability_change(
        &mut self,
        change: ReachabilityChange,
        failed: Vec<String>,
        now: Millis,
    ) {
        let is_cut_off = change == ReachabilityChange::CutOff;
        self.setup.state.borrow_mut().cut_off_from_backends = is_cut_off;
        let gauge = &self.setup.metrics.cut_off_from_backends;
        gauge.set(i64::from(is_cut_off));
        self.setup
            .log
            .record(LogEvent::BackendsReachable { is_cut_off, failed });
        if !is_cut_off {
            // Recorded while the links of this node failed, not the back ends.
            self.dispatcher.instances.forget_failures();
            self.batcher.forget_failures();
        }
        fwd!([self.partition.heartbeat_trigger], ());
        self.reject_orders_of_lost_shards(now);
    }

    /// Records the outcome of a batch call for the reachability of back ends. What another back end
    /// or an answer to another call says about it is unknown.
    pub(super) fn record_call_reachability(
        &mut self,
        call: CallId,
        outcome: &CallOutcome,
        now: Millis,
    ) {
        let Some(backend) = self.batcher.backend_of_call(call) else {
            return;
        };
        let reachability = &mut self.dispatcher.reachability;
        match outcome {
            CallOutcome::AddressMismatch | CallOutcome::ForeignAnswer => {}
            outcome if outcome.is_connection_loss() => reachability.record_failure(backend, now),
            _ => reachability.record_answer(backend),
        }
    }

    /// Records that another back end answered a batch call, so that its own one gets no more.
    pub(super) fn record_mismatch_of_call(&mut self, call: CallId, now: Millis) {
        if let Some(backend) = self.batcher.backend_of_call(call) {
            let instances = &mut self.dispatcher.instances;
            instances.record_address_mismatch(backend, now);
        }
    }

    /// Rejects orders of shards that other nodes took over while this one is cut off, so that the
    /// submitting nodes send them to the new owners.
    pub(super) fn reject_orders_of_lost_shards(&mut self, now: Millis) {
        if !self.dispatcher.reachability.is_cut_off() {
            return;
        }
        let partition = &self.partition;
        let rejected = self
            .batcher
            .reject_orders_of(|shard| partition.is_lost(shard, now));
        self.handle_finished_orders(rejected, now);
    }

    /// Reports a crash, or keeps it until a check has shown whether this node reaches any back
    /// end: to a node that is cut off, all of them seem to have crashed.
    pub(super) fn confirm_crash(&mut self, diagnosis: Diagnosis, now: Millis) {
        let reachability = &mut self.dispatcher.reachability;
        reachability.record_failure(&diagnosis.instance, now);
        reachability.request_check(now);
        self.partition.unconfirmed_crashes.push(diagnosis);
        self.probe_backends_if_due(now);
        self.release_unconfirmed_crashes(now);
    }

    fn release_unconfirmed_crashes(&mut self, now: Millis) {
        let reachability = &self.dispatcher.reachability;
        if reachability.is_checking() {
            return;
        }
        let crashes = std::mem::take(&mut self.partition.unconfirmed_crashes);
        if reachability.is_cut_off() {
            return;
        }
        for crash in crashes {
            self.report_crash(&crash, now);
        }
    }
}
