//! What the actor does when the traffic configuration, the view or the list of back
//! ends changes.

use crate::gateway::actor::{first_work_of, GatewayActor};
use crate::gateway::owners::batch_owner;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::NodeName;
use silversail_peer::WorkId;
use silversail_serving::routes::RouteTable;
use stakker::CX;
use std::collections::BTreeMap;

/// For how long a node relies on the leader's read of the list, in milliseconds.
const LISTING_LEASE: Millis = 2_000;

/// A node that gave a sign within this time works, whatever the view says, in
/// milliseconds.
const STILL_THERE: Millis = 1_500;

impl GatewayActor {
    /// The leader reads the list of back ends for all; others only while they do not
    /// know that it lately did.
    pub(super) fn choose_list_reader(&mut self, now: Millis) {
        let leads = self.setup.control.borrow().is_leader;
        let state = self.setup.state.borrow();
        let reads = leads || !state.has_current_listing(now, LISTING_LEASE);
        self.setup.calls.set_list_reader(reads);
    }

    /// Configuration, view or machine states changed.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.follow_traffic(now);
        self.follow_view(now);
        self.follow_listing();
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
        let limits = traffic.traffic.limits.clone();
        self.setup.calls.set_limits(limits);
        self.refresh_owners(now);
    }

    pub(super) fn follow_listing(&mut self) {
        let listing = self.setup.state.borrow().listing.clone();
        let Some(listing) = listing.filter(|one| Some(one.version) > self.listing_version) else {
            return;
        };
        self.listing_version = Some(listing.version);
        self.dispatcher.instances.replace(listing.entries.clone());
    }

    pub(super) fn follow_view(&mut self, now: Millis) {
        let (version, names) = {
            let state = self.setup.state.borrow();
            if state.view_changes == self.view_changes {
                return;
            }
            self.view_changes = state.view_changes;
            let nodes = state.view.usable_nodes();
            let names: Vec<String> = nodes.map(|status| status.node.0.clone()).collect();
            (state.view.version, names)
        };
        self.dispatcher.set_nodes(names.len());
        self.setup.log.record(LogEvent::View {
            version: format!("{}.{}", version.term, version.sequence),
            nodes: names,
        });
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
        let state = self.setup.state.borrow();
        let Some(traffic) = &state.traffic else {
            return;
        };
        for service in &traffic.traffic.services {
            if service.batch.is_none() {
                continue;
            }
            let is_passed_over = |node: &NodeName| self.owner_watch.is_passed_over(node, now);
            let owner = batch_owner(&state.view, &service.name, &self.node, is_passed_over);
            let Some(owner) = owner else {
                self.owners.remove(&service.name);
                continue;
            };
            let former = self.owners.insert(service.name.clone(), owner.clone());
            if former.as_ref() != Some(&owner) {
                if owner == self.node {
                    let table = &self.dispatcher.instances;
                    self.batcher.take_over(&service.name, table, now);
                }
                self.setup.log.record(LogEvent::BatchOwner {
                    service: service.name.clone(),
                    owner: owner.0,
                });
            }
        }
    }
}
