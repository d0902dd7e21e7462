//! What a node has in force: configuration, view, machine states and how
//! current they are.

use crate::session::crash_news::CrashNews;
use silversail_consensus::{Freshness, Millis};
use silversail_control::batch_owners::BatchOwners;
use silversail_control::view::merge_machine;
use silversail_control::{
    AppliedConfiguration, ClusterView, EvacuationRevision, MachineState, RolloutsRevision,
    SharedEvacuations, SharedRollouts, SharedTraffic, ViewUpdate,
};
use silversail_model::{NodeName, TrafficVersion};
use silversail_peer::{BackendListUpdate, BackendListVersion, SharedBackendList};
use silversail_quarantine::{QuarantineRevision, SharedQuarantineList};
use silversail_rollout::Evidence;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// How long nodes of the last leader's view count under a leader that did not know
/// it, in milliseconds: heartbeats reach it meanwhile. When all machines that can lead
/// lost their memory at once, its first views name hardly a node.
const CARRIED_FOR: Millis = 2_500;

/// For how long a node relies on a read of the list of back ends where the settings do not say
/// otherwise, in milliseconds: two of the leader's reads and a heartbeat.
pub const LISTING_LEASE: Millis = 2_000;

/// For how long after a quorum last confirmed what it holds a node may send to the candidate of a
/// rollout, in milliseconds: three heartbeats, so that one that is lost or a relay that lags
/// takes nothing from a good version, and a fraction of the seconds within which a bad one must
/// get no more requests from a node that is cut off.
pub const ROLLOUT_PERMIT: Millis = 1_500;

/// For how long a node relies on a read of the list of back ends, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingLease(pub Millis);

impl Default for ListingLease {
    fn default() -> Self {
        Self(LISTING_LEASE)
    }
}

/// The state of one node; written by its session, read by its other actors.
#[derive(Default)]
pub struct NodeState {
    /// For how long reads of the list are relied on.
    pub listing_lease: ListingLease,
    /// Configuration in force.
    pub configuration: AppliedConfiguration,
    /// Traffic configuration in force; none before the first.
    pub traffic: Option<SharedTraffic>,
    /// Zones that get no new work; none before the first confirmed answer of a relay. A
    /// node that can't confirm them goes on with what it holds.
    pub evacuations: Option<SharedEvacuations>,
    /// Rollouts of versions; none before the first confirmed answer of a relay.
    pub rollouts: Option<SharedRollouts>,
    /// How current the rollouts are. Kept apart from `freshness`: a large configuration that is
    /// still on its way takes no permit.
    pub rollouts_freshness: Freshness,
    /// What this process saw of each rollout in progress; told with the next heartbeat.
    pub rollout_evidence: Vec<Evidence>,
    /// Requests that no node sends; none before the first confirmed answer of a relay. A node
    /// that can't confirm them goes on with what it holds.
    pub quarantine: Option<SharedQuarantineList>,
    /// What this process has to tell of crashes.
    pub crash_news: CrashNews,
    /// The list of back ends as one node read it for all; none before the first.
    pub listing: Option<SharedBackendList>,
    /// When that node is known to have read the same list, at the latest.
    pub listing_confirmed_at: Option<Millis>,
    /// Newest view as it was told.
    pub told_view: ClusterView,
    /// Newest view, with the nodes that are carried over a change of leader.
    pub view: ClusterView,
    /// Counts the changes of `view`.
    pub view_changes: u64,
    /// Nodes of the last leader's view that the present leader has not heard of yet,
    /// and until when they count.
    carried: Vec<NodeName>,
    carried_until: Millis,
    /// How current the configuration is known to be.
    pub freshness: Freshness,
    /// Machine states, of the own list and of the view.
    machines: BTreeMap<String, MachineState>,
    /// Whether the process is stopping and left the answers.
    pub stopping: bool,
    /// Whether new requests are refused, as the process stops.
    pub refusing: bool,
}

/// Node state shared inside a process.
pub type SharedNodeState = Rc<RefCell<NodeState>>;

impl NodeState {
    /// Whether the configuration is known to be current within `lease`.
    pub fn is_current(&self, now: Millis, lease: Millis) -> bool {
        self.configuration.revision().is_some()
            && self.freshness.age(now).is_some_and(|age| age <= lease)
    }

    /// Takes in what changed of the list of back ends; true when that is news.
    pub fn update_listing(&mut self, update: &BackendListUpdate, now: Millis) -> bool {
        if !self.wants_listing(update.version, now) {
            return false;
        }
        match update.apply_to(self.listing.as_deref()) {
            Ok(listing) => self.take_listing(Arc::new(listing), now),
            Err(error) => {
                // The next heartbeat tells the relay what is held here.
                log::info!(event = "listing_update_refused"; "{error}");
                false
            }
        }
    }

    /// Whether a listing of this version replaces the one held. What is not confirmed any
    /// more gives way: it may be what a node read in place of the leader, whose own version
    /// does not count up with it.
    fn wants_listing(&self, version: BackendListVersion, now: Millis) -> bool {
        let known = self.listing.as_ref().map(|known| known.version);
        let is_current = self.has_current_listing(now);
        known != Some(version) && !(is_current && known > Some(version))
    }

    /// Takes a listing that is newer; true when it is.
    pub fn take_listing(&mut self, listing: SharedBackendList, now: Millis) -> bool {
        if !self.wants_listing(listing.version, now) {
            return false;
        }
        self.listing = Some(listing);
        self.listing_confirmed_at = Some(now);
        true
    }

    /// Takes in what changed of the view; true when that is news.
    pub fn update_view(&mut self, update: &ViewUpdate, now: Millis) -> bool {
        match update.apply_to(&self.told_view) {
            Ok(Some(view)) => self.take_view(view, now),
            Ok(None) => false,
            Err(gap) => {
                // The next heartbeat tells the relay what is held here.
                log::info!(event = "view_update_refused"; "{gap}");
                false
            }
        }
    }

    /// Takes a view that is newer; true when it is.
    pub fn take_view(&mut self, mut view: ClusterView, now: Millis) -> bool {
        if view.version <= self.view.version {
            return false;
        }
        self.told_view = view.clone();
        for machine in &view.machines {
            self.merge_machine(machine);
        }
        if view.version.term > self.view.version.term {
            let nodes = self.view.nodes.iter();
            self.carried = nodes.map(|status| status.node.clone()).collect();
            self.carried_until = now + CARRIED_FOR;
        }
        if now >= self.carried_until {
            self.carried.clear();
        }
        let told = &view.nodes;
        self.carried
            .retain(|node| told.iter().all(|status| status.node != *node));
        let carried = &self.carried;
        let former = std::mem::take(&mut self.view.nodes);
        // A leader assigns services once it has heard of the nodes.
        let former_owners = std::mem::take(&mut self.view.batch_owners);
        let mut unassigned = BatchOwners::new();
        for (shard, owner) in former_owners {
            let is_assigned = view
                .batch_owners
                .keys()
                .any(|one| one.service == shard.service);
            if !is_assigned {
                unassigned.insert(shard, owner);
            }
        }
        view.batch_owners.extend(unassigned);
        let kept = former
            .into_iter()
            .filter(|status| carried.contains(&status.node));
        view.nodes.extend(kept);
        self.view = view;
        self.view_changes += 1;
        true
    }

    /// Drops carried nodes whose time is over; true when there were any.
    pub fn drop_carried(&mut self, now: Millis) -> bool {
        if self.carried.is_empty() || now < self.carried_until {
            return false;
        }
        let carried = std::mem::take(&mut self.carried);
        let nodes = &mut self.view.nodes;
        nodes.retain(|status| !carried.contains(&status.node));
        self.view_changes += 1;
        true
    }

    /// Whether the view names an owner of each service that is batched.
    pub fn knows_batch_owners(&self) -> bool {
        let Some(traffic) = &self.traffic else {
            return true;
        };
        let mut services = traffic.traffic.services.iter();
        services.all(|service| {
            let mut assigned = self.view.batch_owners.keys();
            service.batch.is_none() || assigned.any(|shard| shard.service == service.name)
        })
    }

    /// Whether the held list is known to have been read within the lease.
    pub fn has_current_listing(&self, now: Millis) -> bool {
        let confirmed_at = self.listing_confirmed_at;
        confirmed_at.is_some_and(|at| now.saturating_sub(at) <= self.listing_lease.0)
    }

    /// The nodes that hold a lease by the view; none where no quorum confirmed what is held here
    /// within `relied_on`.
    pub fn live_nodes(&self, relied_on: Millis, now: Millis) -> BTreeSet<&NodeName> {
        let age = self.freshness.age(now);
        let nodes = self.view.nodes.iter().map(|status| &status.node);
        match age.is_some_and(|age| age <= relied_on) {
            true => nodes.collect(),
            false => BTreeSet::new(),
        }
    }

    /// Version of the traffic configuration in force.
    pub fn traffic_version(&self) -> Option<TrafficVersion> {
        self.traffic.as_ref().map(|traffic| traffic.version())
    }

    /// Revision of the evacuated zones in force; none before the first.
    pub fn evacuations_revision(&self) -> Option<EvacuationRevision> {
        self.evacuations.as_ref().map(|held| held.revision())
    }

    /// Revision of the rollouts in force; none before the first.
    pub fn rollouts_revision(&self) -> Option<RolloutsRevision> {
        self.rollouts.as_ref().map(|held| held.revision())
    }

    /// Whether this node may send to the candidate of a rollout: a quorum confirmed lately that
    /// it holds the newest rollouts. Time of a freeze counts, as the clock runs on.
    pub fn has_rollout_permit(&self, now: Millis) -> bool {
        self.has_current_rollouts(now, ROLLOUT_PERMIT)
    }

    /// Whether the rollouts are known to be current within `lease`.
    pub fn has_current_rollouts(&self, now: Millis, lease: Millis) -> bool {
        let age = self.rollouts_freshness.age(now);
        self.rollouts.is_some() && age.is_some_and(|age| age <= lease)
    }

    /// Takes rollouts that are newer; true when they are.
    pub fn take_rollouts(&mut self, told: SharedRollouts) -> bool {
        if self.rollouts_revision() >= Some(told.revision()) {
            return false;
        }
        log::info!(event = "rollouts_in_force", revision = told.revision(); "rollouts applied");
        self.rollouts = Some(told);
        true
    }

    /// Revision of the list of refused requests; none before the first.
    pub fn quarantine_revision(&self) -> Option<QuarantineRevision> {
        self.quarantine.as_ref().map(|held| held.revision)
    }

    /// Takes a list of refused requests that is newer; true when it is.
    pub fn take_quarantine(&mut self, told: SharedQuarantineList) -> bool {
        if self.quarantine_revision() >= Some(told.revision) {
            return false;
        }
        self.crash_news.follow(&told);
        self.quarantine = Some(told);
        true
    }

    /// Takes evacuated zones that are newer; true when they are.
    pub fn take_evacuations(&mut self, told: SharedEvacuations) -> bool {
        if self.evacuations_revision() >= Some(told.revision()) {
            return false;
        }
        let zones: Vec<&str> = told.zones().iter().map(String::as_str).collect();
        log::info!(event = "evacuations_in_force", revision = told.revision(), zones = zones.join(",").as_str(); "evacuated zones applied");
        self.evacuations = Some(told);
        true
    }

    /// Whether the machine at `address` is leaving, by any list seen.
    pub fn is_leaving(&self, address: &str) -> bool {
        self.machines
            .get(address)
            .is_some_and(|machine| machine.leaving)
    }

    /// Takes in a machine's state; an older list never undoes a newer one's
    /// mark. True when the mark changed.
    pub fn merge_machine(&mut self, state: &MachineState) -> bool {
        let mut known: Vec<MachineState> =
            self.machines.remove(&state.address).into_iter().collect();
        let was_leaving = known.first().is_some_and(|machine| machine.leaving);
        merge_machine(&mut known, state);
        let Some(merged) = known.pop() else {
            return false;
        };
        let is_leaving = merged.leaving;
        self.machines.insert(merged.address.clone(), merged);
        was_leaving != is_leaving
    }

    /// States that the view lacks, or has from an older list.
    pub fn machines_unknown_to_view(&self) -> Vec<MachineState> {
        let known: BTreeMap<&str, &MachineState> = self
            .view
            .machines
            .iter()
            .map(|machine| (machine.address.as_str(), machine))
            .collect();
        self.machines
            .values()
            .filter(|machine| match known.get(machine.address.as_str()) {
                Some(seen) => {
                    seen.list_version < machine.list_version && seen.leaving != machine.leaving
                }
                None => machine.leaving,
            })
            .cloned()
            .collect()
    }

    /// How many usable nodes there are and this node's rank among them.
    pub fn share(&self, node: &NodeName) -> (u32, u32) {
        let usable: Vec<&NodeName> = self.view.usable_nodes().map(|one| &one.node).collect();
        let rank = usable.iter().position(|one| *one == node);
        let count = usable.len().max(1) as u32;
        (count, rank.unwrap_or(0) as u32)
    }
}
