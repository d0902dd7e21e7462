//! A simulated cluster: its nodes, their network and virtual time.

use crate::backends::SimulatedBackends;
use crate::disk::Disk;
use crate::network::{Network, NodeLocations, SharedNetwork};
use crate::node::{NodeParts, NodeProcess};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use silversail_consensus::Millis;
use silversail_daemon::Settings;
use silversail_model::topology::RoundTrips;
use silversail_model::{NodeName, Topology};
use silversail_peer::GroupId;
use silversail_testbed::history::RevisionRecord;
use silversail_testbed::RunRecord;
use stakker::call;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Duration of a simulated disk sync, in milliseconds.
const SYNC_DURATION_MS: Millis = 3;
/// Virtual time at the start, in milliseconds; above zero, so that a clock can be behind it.
const START_TIME_MS: Millis = 10_000;

/// A node of the simulated cluster, whether its process runs, is frozen or is down.
pub struct NodeSlot {
    /// Name of the node.
    pub name: NodeName,
    /// Settings, disks and connections that outlive a restart.
    pub parts: NodeParts,
    /// The process; none while it is down.
    pub process: Option<NodeProcess>,
    /// Virtual time at which a frozen process resumes.
    pub frozen_until: Option<Millis>,
    wake_at: Millis,
    last_revision: Option<u64>,
    messages_while_frozen: VecDeque<silversail_peer::Envelope>,
}

/// A simulated cluster.
pub struct World {
    /// All nodes, by position.
    pub nodes: Vec<NodeSlot>,
    /// Network between the nodes.
    pub network: SharedNetwork,
    /// Random number generator of faults and client requests.
    pub random: ChaCha8Rng,
    /// Calls that simulated services have run.
    pub runs: Rc<RefCell<Vec<RunRecord>>>,
    /// Configuration revisions that nodes applied, in order of observation. A
    /// restarted process counts as the same node.
    pub revisions: Vec<RevisionRecord>,
    /// Violations of invariants that are checked after each step.
    pub failures: Vec<String>,
    /// The one leader of each term of each group.
    leaders: BTreeMap<(GroupId, u64), usize>,
    epoch: Instant,
    now: Millis,
}

/// Size of a simulated cluster.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of voters, which are the first nodes.
    pub voters: usize,
    /// Number of zones over which the nodes are spread.
    pub zones: usize,
    /// Whether nodes only replicate control state and serve no requests.
    pub is_hollow: bool,
    /// How nodes find each other.
    pub discovery: NodeDiscovery,
}

/// How the nodes of a simulated cluster find each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeDiscovery {
    /// The settings list all nodes.
    StaticSettings,
    /// Discovery starts from the addresses of the nodes at these positions.
    Contacts([usize; 3]),
}

/// Distribution of the zones over regions.
#[derive(Clone, Copy, Debug)]
pub struct RegionLayout {
    /// Number of zones in each region.
    pub zones_per_region: usize,
    /// Whether the nodes' settings contain the regions.
    pub in_settings: bool,
}

impl RegionLayout {
    /// Region of each zone, by name of the zone.
    fn zones(self, zones: usize) -> BTreeMap<String, String> {
        let region = |zone: usize| format!("r{}", zone / self.zones_per_region);
        (0..zones)
            .map(|zone| (format!("z{zone}"), region(zone)))
            .collect()
    }
}

impl World {
    /// Starts all nodes, in one region.
    pub fn new(seed: u64, size: WorldSize) -> Self {
        Self::start_all(seed, size, None)
    }

    /// Starts all nodes in several regions, between which messages take longer.
    pub fn with_regions(seed: u64, size: WorldSize, regions: RegionLayout) -> Self {
        Self::start_all(seed, size, Some(regions))
    }

    fn start_all(seed: u64, size: WorldSize, regions: Option<RegionLayout>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let network_random = ChaCha8Rng::seed_from_u64(random.gen());
        let network = Rc::new(RefCell::new(Network::new(network_random)));
        let mut world = Self {
            nodes: Vec::new(),
            network,
            random,
            runs: Rc::default(),
            revisions: Vec::new(),
            failures: Vec::new(),
            leaders: BTreeMap::new(),
            epoch: Instant::now(),
            now: START_TIME_MS,
        };
        for position in 0..size.nodes {
            let slot = world.create_slot(position, size, regions);
            world.nodes.push(slot);
            world.start(position);
        }
        world
    }

    /// Records the node's zone in the network and, where asked for, in its settings.
    fn locate(&mut self, settings: &mut Settings, size: WorldSize, regions: RegionLayout) {
        let zones = regions.zones(size.zones);
        let own = settings.own_node();
        let mut network = self.network.borrow_mut();
        let locations: &mut NodeLocations = &mut network.locations;
        locations.zones.insert(own.name.clone(), own.zone.clone());
        locations.topology = Topology::new(&own.zone, zones.clone(), RoundTrips::default())
            .expect("the own zone is among the zones");
        if regions.in_settings {
            let zones = zones.into_iter().map(|(zone, region)| (zone, Some(region)));
            settings.topology.zones = zones.collect();
        }
    }

    fn create_slot(
        &mut self,
        position: usize,
        size: WorldSize,
        regions: Option<RegionLayout>,
    ) -> NodeSlot {
        let mut settings = settings_for_node(position, size);
        if let Some(regions) = regions {
            self.locate(&mut settings, size, regions);
        }
        let settings = Arc::new(settings);
        let mut disks = BTreeMap::new();
        if settings.is_voter() {
            let groups = std::iter::once(GroupId::Control)
                .chain((0..settings.cluster.ledger_groups).map(GroupId::Ledger));
            for group in groups {
                disks.insert(group, Rc::new(RefCell::new(Disk::new(SYNC_DURATION_MS))));
            }
        }
        let backends = SimulatedBackends {
            runs: self.runs.clone(),
            completions: VecDeque::new(),
            now: self.now,
            rejection_rate: 0.0,
            response_loss_rate: 0.0,
            random: ChaCha8Rng::seed_from_u64(self.random.gen()),
        };
        NodeSlot {
            name: settings.node.clone(),
            parts: NodeParts {
                settings,
                disks,
                network: self.network.clone(),
                backends: Rc::new(RefCell::new(backends)),
                is_hollow: size.is_hollow,
            },
            process: None,
            frozen_until: None,
            wake_at: 0,
            last_revision: None,
            messages_while_frozen: VecDeque::new(),
        }
    }

    /// Virtual time in milliseconds.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Virtual time as an instant.
    pub fn instant(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now)
    }

    /// Starts the process of a node; does nothing where it already runs.
    pub fn start(&mut self, position: usize) {
        let seed = self.random.gen();
        let slot = &mut self.nodes[position];
        if slot.process.is_none() {
            slot.process = Some(NodeProcess::start(&slot.parts, self.epoch, self.now, seed));
            slot.wake_at = self.now;
        }
    }

    /// Crashes a process, which loses its unsynced writes and calls in progress.
    pub fn crash(&mut self, position: usize) {
        let instant = self.instant();
        let slot = &mut self.nodes[position];
        if let Some(node) = slot.process.take() {
            node.stop(instant);
        }
        slot.frozen_until = None;
        slot.messages_while_frozen.clear();
        self.network.borrow_mut().disconnect(&slot.name);
        for disk in slot.parts.disks.values() {
            disk.borrow_mut().crash();
        }
        slot.parts.backends.borrow_mut().completions.clear();
    }

    /// Empties the disks of a process that is down.
    pub fn wipe(&mut self, position: usize) {
        for disk in self.nodes[position].parts.disks.values() {
            disk.borrow_mut().wipe();
        }
    }

    /// Freezes a process for `duration` milliseconds; messages to it are queued.
    pub fn freeze(&mut self, position: usize, duration: Millis) {
        self.nodes[position].frozen_until = Some(self.now + duration);
    }

    /// Runs until the virtual time `until`, in milliseconds.
    pub fn run_until(&mut self, until: Millis) {
        while self.now < until {
            let next = self.next_event().clamp(self.now + 1, until);
            self.now = next;
            self.step();
        }
    }

    /// Runs for `duration` milliseconds of virtual time.
    pub fn run_for(&mut self, duration: Millis) {
        self.run_until(self.now + duration);
    }

    /// Runs until `condition` holds; false when it does not within `timeout` milliseconds.
    pub fn run_until_condition(
        &mut self,
        timeout: Millis,
        mut condition: impl FnMut(&World) -> bool,
    ) -> bool {
        let deadline = self.now + timeout;
        while self.now < deadline {
            if condition(self) {
                return true;
            }
            self.run_for(10);
        }
        condition(self)
    }

    fn next_event(&self) -> Millis {
        let mut next = Millis::MAX;
        if let Some(arrival) = self.network.borrow().next_arrival() {
            next = next.min(arrival);
        }
        for slot in &self.nodes {
            if let Some(until) = slot.frozen_until {
                next = next.min(until);
                continue;
            }
            if slot.process.is_none() {
                continue;
            }
            next = next.min(slot.wake_at);
            for disk in slot.parts.disks.values() {
                next = next.min(disk.borrow().next_sync().unwrap_or(Millis::MAX));
            }
            let backends = slot.parts.backends.borrow();
            for completion in &backends.completions {
                next = next.min(completion.at);
            }
        }
        next
    }

    fn step(&mut self) {
        self.network.borrow_mut().set_now(self.now);
        loop {
            let received = self.network.borrow_mut().receive();
            let Some((to, envelope)) = received else {
                break;
            };
            self.receive(&to, envelope);
        }
        for position in 0..self.nodes.len() {
            self.run_process(position);
        }
    }

    fn receive(&mut self, to: &NodeName, envelope: silversail_peer::Envelope) {
        let instant = self.instant();
        let Some(slot) = self.nodes.iter_mut().find(|slot| slot.name == *to) else {
            return;
        };
        if slot.frozen_until.is_some() {
            slot.messages_while_frozen.push_back(envelope);
            return;
        }
        if let Some(node) = &mut slot.process {
            // Timers that are due fire before the message is handled, as in the daemon.
            node.stakker.run(instant, false);
            node.actors.deliver(envelope, instant);
            slot.wake_at = self.now;
        }
    }

    fn run_process(&mut self, position: usize) {
        let instant = self.instant();
        let now = self.now;
        let slot = &mut self.nodes[position];
        if slot.frozen_until.is_some_and(|until| until > now) {
            return;
        }
        let was_frozen = slot.frozen_until.take().is_some();
        let Some(node) = &mut slot.process else {
            return;
        };
        if was_frozen {
            node.stakker.run(instant, false);
            for envelope in std::mem::take(&mut slot.messages_while_frozen) {
                node.actors.deliver(envelope, instant);
            }
            slot.wake_at = now;
        }
        for (group, disk) in &slot.parts.disks {
            let mut disk = disk.borrow_mut();
            disk.set_now(now);
            let synced = disk.finish_syncs();
            if synced > 0 {
                node.actors.synced(*group, synced);
                slot.wake_at = now;
            }
        }
        slot.parts.backends.borrow_mut().now = now;
        let completed: Vec<_> = {
            let mut backends = slot.parts.backends.borrow_mut();
            let completions = std::mem::take(&mut backends.completions);
            let (due, pending): (Vec<_>, Vec<_>) = completions
                .into_iter()
                .partition(|completion| completion.at <= now);
            backends.completions = pending.into();
            due
        };
        for completion in completed {
            if let Some(requests) = &node.actors.requests {
                let service = Duration::from_millis(10);
                call!(
                    [requests],
                    call_ended(completion.attempt, service, completion.result)
                );
                slot.wake_at = now;
            }
        }
        if slot.wake_at > now {
            return;
        }
        node.stakker.run(instant, false);
        let wait = node.stakker.next_wait(instant);
        slot.wake_at = wait.map_or(Millis::MAX, |wait| {
            now + (wait.as_millis() as Millis).max(1)
        });
        let revision = node.state.borrow().configuration.revision();
        self.record_revision(position, revision);
        self.check_leaders(position);
    }

    /// Checks that each term of a group has at most one leader.
    fn check_leaders(&mut self, position: usize) {
        let Some(node) = &self.nodes[position].process else {
            return;
        };
        for (group, status) in &node.actors.statuses {
            let status = status.borrow();
            if !status.is_leader {
                continue;
            }
            let leader = *self
                .leaders
                .entry((*group, status.term))
                .or_insert(position);
            if leader != position {
                let term = status.term;
                let message = format!("{group}: n{leader} and n{position} both lead term {term}");
                self.failures.push(message);
            }
        }
    }

    fn record_revision(&mut self, position: usize, revision: Option<u64>) {
        let Some(revision) = revision else {
            return;
        };
        let slot = &mut self.nodes[position];
        if slot.last_revision != Some(revision) {
            slot.last_revision = Some(revision);
            self.revisions.push(RevisionRecord {
                node: slot.name.0.clone(),
                revision,
            });
        }
    }

    /// Schedules a process to run now, after a test or client has called one of its actors.
    pub fn wake(&mut self, position: usize) {
        self.nodes[position].wake_at = self.now;
    }

    /// Configuration revision of a process that runs and whose state is not stale.
    pub fn revision(&self, position: usize) -> Option<u64> {
        let slot = &self.nodes[position];
        let node = slot.process.as_ref()?;
        let now = node.clock.millis(self.instant());
        let lease = slot.parts.settings.timing.freshness_lease_ms;
        let state = node.state.borrow();
        state
            .has_current_configuration(now, lease)
            .then(|| state.configuration.revision())?
    }

    /// Position of a running node that leads a group.
    pub fn leader(&self, group: GroupId) -> Option<usize> {
        self.nodes.iter().position(|slot| {
            slot.frozen_until.is_none()
                && slot.process.as_ref().is_some_and(|node| {
                    node.actors
                        .statuses
                        .get(&group)
                        .is_some_and(|status| status.borrow().is_leader)
                })
        })
    }

    /// Number of usable nodes in the membership view of a process.
    pub fn usable(&self, position: usize) -> usize {
        self.nodes[position]
            .process
            .as_ref()
            .map_or(0, |node| node.state.borrow().view.usable_nodes().count())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for position in 0..self.nodes.len() {
            self.crash(position);
        }
    }
}

fn settings_for_node(position: usize, size: WorldSize) -> Settings {
    let nodes: Vec<_> = (0..size.nodes)
        .map(|node| {
            json!({
                "name": format!("n{node:03}"),
                "zone": format!("z{}", node % size.zones),
                "peer": "127.0.0.1:1",
                "callers": "127.0.0.1:1",
            })
        })
        .collect();
    let voters: Vec<_> = (0..size.voters).map(|node| format!("n{node:03}")).collect();
    if let NodeDiscovery::Contacts(contacts) = size.discovery {
        return discovering_settings(position, size, contacts, true);
    }
    let settings = json!({
        "node": format!("n{position:03}"),
        "cluster": { "name": "simulated", "nodes": nodes, "voters": voters },
        "operators": "127.0.0.1:1",
        "data_folder": "none",
    });
    let settings: Settings = serde_json::from_value(settings).expect("the settings are complete");
    settings.validate().expect("the settings are valid");
    settings
}

/// Settings of a node that discovers others through three contact addresses.
/// `first_start` allows it to form a new cluster.
pub fn discovering_settings(
    position: usize,
    size: WorldSize,
    contacts: [usize; 3],
    first_start: bool,
) -> Settings {
    let name = format!("n{position:03}");
    let mut settings = json!({
        "node": name,
        "cluster": { "name": "simulated", "ledger_groups": 0 },
        "discovery": {
            "own": {
                "name": name,
                "zone": format!("z{}", position % size.zones),
                "peer": peer_address(position),
                "callers": "127.0.0.1:1",
            },
            "contacts": contacts.map(peer_address),
            "first_start": first_start,
        },
        "operators": "127.0.0.1:1",
    });
    if position < size.voters {
        settings["data_folder"] = "none".into();
    }
    let settings: Settings = serde_json::from_value(settings).expect("the settings are complete");
    settings.validate().expect("the settings are valid");
    settings
}

/// Peer address of the node at a position; its port encodes the position.
pub fn peer_address(position: usize) -> String {
    format!("127.0.0.1:{}", FIRST_PORT + position)
}

/// Port of the first simulated node.
pub const FIRST_PORT: usize = 2_000;
