//! Application of changes to the traffic configuration, the view, the backend list and the
//! evacuations.

use crate::gateway::actor::{first_work_id, GatewayActor};
use crate::gateway::event::ListRead;
use crate::gateway::list_reader::{ListReaderInput, ReaderPosition};
use crate::gateway::owners::batch_owners;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::{NodeName, Shard};
use silversail_peer::{BackendList, WorkId};
use silversail_serving::forwarding::PeerNode;
use silversail_serving::routes::RouteTable;
use silversail_serving::stream_origins::HolderCandidate;
use stakker::{call, CX};
use std::collections::{BTreeMap, BTreeSet};

/// Time since the last message within which a node counts as alive even if it is missing from the
/// view, in milliseconds.
const ALIVE_AFTER_MESSAGE: Millis = 1_500;

/// Assumed number of entries per page before the first read of the list.
const ASSUMED_ENTRIES_PER_PAGE: usize = 40;

/// Reads of the backend list by this node.
#[derive(Default)]
pub(super) struct LocalListReads {
    read_at: Option<Millis>,
    calls: Option<usize>,
    /// Malformed entries of the last read, by reason.
    malformed: BTreeMap<String, usize>,
}

impl LocalListReads {
    /// Calls per read: those of the last read, or an estimate by the entries of the current list.
    fn calls_per_read(&self, current: Option<&BackendList>) -> usize {
        let entries = current.map_or(0, |list| list.entries.len());
        self.calls.unwrap_or(1 + entries / ASSUMED_ENTRIES_PER_PAGE)
    }
}

impl GatewayActor {
    /// Decides whether this node reads the backend list.
    pub(super) fn update_list_reader(&mut self, now: Millis) {
        let is_leader = self.setup.control.borrow().is_leader;
        let state = self.setup.state.borrow();
        let confirmed_at = state.backend_list_confirmed_at;
        let read_at = confirmed_at.max(self.local_list_reads.read_at);
        let age = now.saturating_sub(read_at.unwrap_or(self.started_at));
        let is_idle = !is_leader && age <= state.backend_list_lease.0;
        let reads_list = !is_idle && {
            let replicating = self.setup.directory.borrow().replicating_nodes();
            let nodes = state.view.nodes.iter().map(|status| &status.node);
            let others = nodes.filter(|node| !replicating.contains(node));
            let input = ListReaderInput {
                is_leader,
                age,
                position: ReaderPosition::of(&self.node, &replicating, others),
                calls_per_read: self
                    .local_list_reads
                    .calls_per_read(state.backend_list.as_deref()),
                calls_per_second: self.setup.settings.backend_list_rate,
                lease: state.backend_list_lease,
            };
            input.should_read()
        };
        self.setup.calls.set_list_reader(reads_list);
    }

    /// Applies a backend list that this node read.
    pub(super) fn handle_list_read(&mut self, _: CX![], read: ListRead, now: Millis) {
        self.set_list_availability(true, "");
        self.count_list_read("read");
        self.local_list_reads.read_at = Some(now);
        self.local_list_reads.calls = Some(read.calls);
        self.record_malformed_entries(&read.malformed);
        let list = self.dispatcher.instances.applied_list();
        let list = list.with_read(read.entries.iter().cloned());
        if let Some(relay) = &self.setup.relay {
            call!([relay], backend_list_read(read.entries));
        }
        self.dispatcher.apply_backend_list(&list, now);
        self.place_waiting_orders(now);
        self.update_list_reader(now);
    }

    /// Counts malformed entries, and logs them if they differ from those of the previous read.
    fn record_malformed_entries(&mut self, malformed: &BTreeMap<String, usize>) {
        for (reason, count) in malformed {
            let counter = &self.setup.metrics.malformed_entries;
            counter.with_label_values(&[reason]).inc_by(*count as u64);
        }
        if self.local_list_reads.malformed == *malformed {
            return;
        }
        self.local_list_reads.malformed = malformed.clone();
        let counts = malformed.iter();
        self.setup.log.record(LogEvent::ListEntriesLeftOut {
            reasons: counts
                .map(|(reason, count)| format!("{reason}: {count}"))
                .collect(),
        });
    }

    /// Records a failed read. The current list stays in use and ages.
    pub(super) fn handle_list_failure(&mut self, reason: &str) {
        self.set_list_availability(false, reason);
        self.count_list_read("failed");
    }

    fn count_list_read(&self, outcome: &str) {
        let counter = &self.setup.metrics.list_reads;
        counter.with_label_values(&[outcome]).inc();
    }

    pub(super) fn set_list_availability(&mut self, is_available: bool, detail: &str) {
        if self.is_list_available != is_available {
            self.is_list_available = is_available;
            self.setup.log.record(LogEvent::Dependency {
                name: "backend_list".to_owned(),
                works: is_available,
                detail: detail.to_owned(),
            });
        }
    }

    /// Applies all changes of the node's shared state.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.apply_evacuations(now);
        // Before the backend list, which may name back ends of a retired version.
        self.apply_rollouts(now);
        self.apply_quarantine(now);
        self.apply_traffic(now);
        self.apply_view(now);
        self.apply_backend_list(now);
        self.dispatch_queued_requests(now);
        self.place_waiting_orders(now);
        self.resubmit_orders(now);
        self.start_batch_calls(now);
    }

    pub(super) fn apply_traffic(&mut self, now: Millis) {
        let traffic = self.setup.state.borrow().traffic.clone();
        let Some(traffic) = traffic else {
            return;
        };
        if self.traffic_version == Some(traffic.version()) {
            return;
        }
        let before = self.traffic_version.replace(traffic.version());
        self.setup.log.record(LogEvent::TrafficInForce {
            version: traffic.version(),
            before: before.unwrap_or_default(),
        });
        self.dispatcher
            .set_routes(RouteTable::new(&traffic.traffic), now);
        let services = traffic.traffic.services.iter();
        let specs = services
            .filter_map(|service| Some((service.name.clone(), service.batch.clone()?)))
            .collect();
        self.batcher.set_specs(specs);
        let services = traffic.traffic.services.iter();
        let cold_specs =
            services.filter_map(|service| Some((service.name.clone(), service.cold.clone()?)));
        self.dispatcher
            .instances
            .set_cold_specs(cold_specs.collect());
        let limits = traffic.traffic.limits.clone();
        self.setup.calls.set_limits(limits);
        self.refresh_shard_owners(now);
    }

    /// Excludes the back ends of evacuated zones from new work. After the evacuation ends, they
    /// may count as cold.
    pub(super) fn apply_evacuations(&mut self, now: Millis) {
        let evacuations = self.setup.state.borrow().evacuations.clone();
        let Some(evacuations) = evacuations else {
            return;
        };
        let revision = evacuations.revision();
        if self.evacuations_revision.replace(revision) == Some(revision) {
            return;
        }
        let instances = &mut self.dispatcher.instances;
        instances.set_evacuated(evacuations.zones().clone(), now);
        self.setup.log.record(LogEvent::EvacuationsInForce {
            revision,
            zones: evacuations.zones().iter().cloned().collect(),
            backends: instances.evacuated_count(),
        });
    }

    pub(super) fn apply_backend_list(&mut self, now: Millis) {
        let list = self.setup.state.borrow().backend_list.clone();
        let Some(list) = list.filter(|list| Some(list.version) != self.backend_list_version) else {
            return;
        };
        self.backend_list_version = Some(list.version);
        self.dispatcher.apply_backend_list(&list.entries, now);
    }

    pub(super) fn apply_view(&mut self, now: Millis) {
        let (version, names, peers, holder_candidates) = {
            let state = self.setup.state.borrow();
            if state.view_changes == self.applied_view_changes {
                return;
            }
            self.applied_view_changes = state.view_changes;
            let nodes = state.view.usable_nodes();
            let names: BTreeSet<String> = nodes.map(|status| status.node.0.clone()).collect();
            let others = state.view.usable_nodes();
            let others = others.filter(|status| status.node != self.node);
            let candidates = state.view.usable_nodes().map(|status| HolderCandidate {
                node: status.node.clone(),
                zone: status.zone.clone(),
            });
            let candidates: Vec<HolderCandidate> = candidates.collect();
            let peers = others.map(|status| PeerNode {
                node: status.node.clone(),
                address: status.caller_address.clone(),
                zone: status.zone.clone(),
            });
            (state.view.version, names, peers.collect(), candidates)
        };
        self.streams.set_nodes(holder_candidates);
        self.dispatcher.set_peers(peers);
        self.dispatcher
            .set_nodes(self.node.as_str(), names.iter().cloned().collect());
        self.setup.log.record(LogEvent::View {
            version: format!("{}.{}", version.term, version.sequence),
            usable: names.len(),
            joined: names.difference(&self.usable_nodes).cloned().collect(),
            left: self.usable_nodes.difference(&names).cloned().collect(),
        });
        self.usable_nodes = names;
        self.update_issued_backends();
        self.forget_departed_processes(now);
        self.refresh_shard_owners(now);
    }

    /// Removes orders of processes that left the view, whose results nobody would read. A node
    /// that is missing from the view only because it is cut off from the leader may still send
    /// messages here.
    fn forget_departed_processes(&mut self, now: Millis) {
        let live: BTreeMap<NodeName, u64> = {
            let state = self.setup.state.borrow();
            let nodes = state.view.nodes.iter();
            nodes
                .map(|status| (status.node.clone(), status.incarnation))
                .collect()
        };
        for (node, incarnation) in std::mem::take(&mut self.node_incarnations) {
            let first_live_work = match live.get(&node) {
                Some(newer) if *newer > incarnation => first_work_id(*newer),
                Some(_) => continue,
                None if self
                    .owner_monitor
                    .has_message_within(&node, ALIVE_AFTER_MESSAGE, now) =>
                {
                    continue
                }
                None => WorkId::MAX,
            };
            self.batcher.forget_process(&node, first_live_work);
        }
        self.node_incarnations = live;
    }

    pub(super) fn refresh_shard_owners(&mut self, now: Millis) {
        let owners = self.current_shard_owners(now);
        let Some(owners) = owners else {
            return;
        };
        let former_owners = std::mem::replace(&mut self.shard_owners, owners);
        for (shard, owner) in &self.shard_owners {
            if former_owners.get(shard) == Some(owner) {
                continue;
            }
            let former_owner = former_owners.get(shard);
            self.partition
                .owner_changed(shard, former_owner, &self.node, now);
            if *owner == self.node {
                let table = &self.dispatcher.instances;
                self.batcher.take_over_shard(shard, table, now);
            }
            self.setup.log.record(LogEvent::BatchOwner {
                service: shard.to_string(),
                owner: owner.0.clone(),
            });
        }
    }

    /// Owner of each shard, by the view and the owner monitor. `None` before a traffic
    /// configuration is applied.
    fn current_shard_owners(&self, now: Millis) -> Option<BTreeMap<Shard, NodeName>> {
        let state = self.setup.state.borrow();
        let services = &state.traffic.as_ref()?.traffic.services;
        let is_batched = |shard: &Shard| {
            let mut services = services.iter();
            services.any(|service| service.name == shard.service && service.batch.is_some())
        };
        let is_ejected = |node: &NodeName| self.owner_monitor.is_ejected(node, now);
        let mut owners = batch_owners(&state.view, &self.node, is_ejected);
        owners.retain(|shard, _| is_batched(shard));
        Some(owners)
    }
}
