//! What the actor does when the traffic configuration, the view or the list of back
//! ends changes.

use crate::gateway::actor::{first_work_of, GatewayActor};
use crate::gateway::event::ListRead;
use crate::gateway::list_reader::{ListKnowledge, ReaderPlace};
use crate::gateway::owners::batch_owners;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::{NodeName, Shard};
use silversail_peer::{BackendList, WorkId};
use silversail_serving::routes::RouteTable;
use stakker::{call, CX};
use std::collections::{BTreeMap, BTreeSet};

/// A node that gave a sign within this time works, whatever the view says, in
/// milliseconds.
const STILL_THERE: Millis = 1_500;

/// Entries that a page of the list is taken to hold before this node has read it.
const ENTRIES_OF_PAGE: usize = 40;

/// What this node read of the list itself.
#[derive(Default)]
pub(super) struct OwnListReads {
    read_at: Option<Millis>,
    calls: Option<usize>,
    /// Entries of the last read that name no back end, by why.
    malformed: BTreeMap<String, usize>,
}

impl OwnListReads {
    /// Calls that a read takes: those of the last one, else by the entries `held`.
    fn calls_of_read(&self, held: Option<&BackendList>) -> usize {
        let entries = held.map_or(0, |listing| listing.entries.len());
        self.calls.unwrap_or(1 + entries / ENTRIES_OF_PAGE)
    }
}

impl GatewayActor {
    /// Decides whether this node reads the list of back ends.
    pub(super) fn choose_list_reader(&mut self, now: Millis) {
        let leads = self.setup.control.borrow().is_leader;
        let state = self.setup.state.borrow();
        let heard_at = state.listing_confirmed_at;
        let read_at = heard_at.max(self.own_list.read_at);
        let age = now.saturating_sub(read_at.unwrap_or(self.started_at));
        let is_idle = !leads && age <= state.listing_lease.0;
        let reads = !is_idle && {
            let replicating = self.setup.directory.borrow().replicating_nodes();
            let nodes = state.view.nodes.iter().map(|status| &status.node);
            let others = nodes.filter(|node| !replicating.contains(node));
            let knowledge = ListKnowledge {
                leads,
                age,
                place: ReaderPlace::of(&self.node, &replicating, others),
                calls_of_read: self.own_list.calls_of_read(state.listing.as_deref()),
                calls_per_second: self.setup.settings.backend_list_rate,
                lease: state.listing_lease,
            };
            knowledge.reads()
        };
        self.setup.calls.set_list_reader(reads);
    }

    /// This node read the list.
    pub(super) fn list_read(&mut self, _: CX![], read: ListRead, now: Millis) {
        self.list_state(true, "");
        self.count_list_read("read");
        self.own_list.read_at = Some(now);
        self.own_list.calls = Some(read.calls);
        self.note_malformed(&read.malformed);
        let listed = self.dispatcher.instances.applied_list();
        let listed = listed.with_read(read.entries.iter().cloned());
        if let Some(relay) = &self.setup.relay {
            call!([relay], list_read(read.entries));
        }
        self.dispatcher.apply_backend_list(&listed, now);
        self.place_waiting(now);
        self.choose_list_reader(now);
    }

    /// Counts the entries that name no back end, and tells of them where they are others than
    /// those of the read before.
    fn note_malformed(&mut self, malformed: &BTreeMap<String, usize>) {
        for (reason, count) in malformed {
            let counter = &self.setup.metrics.malformed_entries;
            counter.with_label_values(&[reason]).inc_by(*count as u64);
        }
        if self.own_list.malformed == *malformed {
            return;
        }
        self.own_list.malformed = malformed.clone();
        let counts = malformed.iter();
        self.setup.log.record(LogEvent::ListEntriesLeftOut {
            reasons: counts
                .map(|(reason, count)| format!("{reason}: {count}"))
                .collect(),
        });
    }

    /// This node could not read the list: what is held stays, with its age.
    pub(super) fn list_failed(&mut self, why: &str) {
        self.list_state(false, why);
        self.count_list_read("failed");
    }

    fn count_list_read(&self, outcome: &str) {
        let reads = &self.setup.metrics.list_reads;
        reads.with_label_values(&[outcome]).inc();
    }

    pub(super) fn list_state(&mut self, works: bool, detail: &str) {
        if self.list_works != works {
            self.list_works = works;
            self.setup.log.record(LogEvent::Dependency {
                name: "backend_list".to_owned(),
                works,
                detail: detail.to_owned(),
            });
        }
    }

    /// Configuration, view or machine states changed.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.follow_evacuations(now);
        // Before the list, which may name back ends of a version that gets nothing.
        self.follow_rollouts(now);
        self.follow_quarantine(now);
        self.follow_traffic(now);
        self.follow_view(now);
        self.follow_listing(now);
        self.admit_early(now);
        self.place_waiting(now);
        self.resubmit(now);
        self.start_batches(now);
    }

    pub(super) fn follow_traffic(&mut self, now: Millis) {
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
            .set_routes(RouteTable::new(&traffic.traffic));
        let services = traffic.traffic.services.iter();
        let specs = services
            .filter_map(|service| Some((service.name.clone(), service.batch.clone()?)))
            .collect();
        self.batcher.set_specs(specs);
        let services = traffic.traffic.services.iter();
        let cold = services.filter_map(|one| Some((one.name.clone(), one.cold.clone()?)));
        self.dispatcher.instances.set_cold_specs(cold.collect());
        let limits = traffic.traffic.limits.clone();
        self.setup.calls.set_limits(limits);
        self.refresh_owners(now);
    }

    /// Back ends of evacuated zones get no new work; those of a zone that is used again may
    /// be cold.
    pub(super) fn follow_evacuations(&mut self, now: Millis) {
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

    pub(super) fn follow_listing(&mut self, now: Millis) {
        let listing = self.setup.state.borrow().listing.clone();
        let Some(listing) = listing.filter(|one| Some(one.version) != self.listing_version) else {
            return;
        };
        self.listing_version = Some(listing.version);
        self.dispatcher.apply_backend_list(&listing.entries, now);
    }

    pub(super) fn follow_view(&mut self, now: Millis) {
        let (version, names) = {
            let state = self.setup.state.borrow();
            if state.view_changes == self.view_changes {
                return;
            }
            self.view_changes = state.view_changes;
            let nodes = state.view.usable_nodes();
            let names: BTreeSet<String> = nodes.map(|status| status.node.0.clone()).collect();
            (state.view.version, names)
        };
        self.dispatcher
            .set_nodes(self.node.as_str(), names.iter().cloned().collect());
        self.setup.log.record(LogEvent::View {
            version: format!("{}.{}", version.term, version.sequence),
            usable: names.len(),
            joined: names.difference(&self.usable_nodes).cloned().collect(),
            left: self.usable_nodes.difference(&names).cloned().collect(),
        });
        self.usable_nodes = names;
        self.follow_issuers();
        self.follow_processes(now);
        self.refresh_owners(now);
    }

    /// Drops the orders of processes that left the view: their results would take room
    /// for nobody. A node that is cut off from the leader only is heard of here.
    fn follow_processes(&mut self, now: Millis) {
        let present: BTreeMap<NodeName, u64> = {
            let state = self.setup.state.borrow();
            let nodes = state.view.nodes.iter();
            nodes
                .map(|one| (one.node.clone(), one.incarnation))
                .collect()
        };
        for (node, incarnation) in std::mem::take(&mut self.processes) {
            let first_wanted = match present.get(&node) {
                Some(newer) if *newer > incarnation => first_work_of(*newer),
                Some(_) => continue,
                None if self.owner_watch.was_heard_within(&node, STILL_THERE, now) => continue,
                None => WorkId::MAX,
            };
            self.batcher.forget_process(&node, first_wanted);
        }
        self.processes = present;
    }

    pub(super) fn refresh_owners(&mut self, now: Millis) {
        let owners = self.present_owners(now);
        let Some(owners) = owners else {
            return;
        };
        let former = std::mem::replace(&mut self.owners, owners);
        for (shard, owner) in &self.owners {
            if former.get(shard) == Some(owner) {
                continue;
            }
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

    /// Which node batches which shard, by the view and by who gives signs; none before a
    /// traffic configuration is in force.
    fn present_owners(&self, now: Millis) -> Option<BTreeMap<Shard, NodeName>> {
        let state = self.setup.state.borrow();
        let services = &state.traffic.as_ref()?.traffic.services;
        let is_batched = |shard: &Shard| {
            let mut services = services.iter();
            services.any(|one| one.name == shard.service && one.batch.is_some())
        };
        let is_passed_over = |node: &NodeName| self.owner_watch.is_passed_over(node, now);
        let mut owners = batch_owners(&state.view, &self.node, is_passed_over);
        owners.retain(|shard, _| is_batched(shard));
        Some(owners)
    }
}
