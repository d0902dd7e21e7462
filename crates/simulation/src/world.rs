//! All simulated nodes and their time.

use crate::calls::CallDesk;
use crate::disk::Disk;
use crate::network::{Geography, Network, SharedNetwork};
use crate::node::{NodeParts, SimulatedNode};
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

/// How long a simulated sync takes.
const SYNC_TIME: Millis = 3;
/// Where virtual time starts; above zero, so that clocks can be behind it.
const START: Millis = 10_000;

/// One place in the world: a node that runs, is frozen, or is down.
pub struct Place {
    /// Its name.
    pub name: NodeName,
    /// What it is made of.
    pub parts: NodeParts,
    /// The process, where it runs.
    pub node: Option<SimulatedNode>,
    /// Until when it is frozen.
    pub frozen_until: Option<Millis>,
    wake_at: Millis,
    seen_revision: Option<u64>,
    frozen_messages: VecDeque<silversail_peer::Envelope>,
}

/// A simulated cluster.
pub struct World {
    /// The nodes.
    pub places: Vec<Place>,
    /// The network.
    pub network: SharedNetwork,
    /// Source of chance for faults and traffic.
    pub random: ChaCha8Rng,
    /// Calls that ran at simulated services.
    pub runs: Rc<RefCell<Vec<RunRecord>>>,
    /// Revisions that nodes had in force, as they changed. A restarted process
    /// counts as the same node.
    pub revisions: Vec<RevisionRecord>,
    /// Breaks of what must hold at every moment.
    pub failures: Vec<String>,
    /// The one leader of each term of each group.
    leaders: BTreeMap<(GroupId, u64), usize>,
    epoch: Instant,
    now: Millis,
}

/// Size of a world.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Nodes.
    pub nodes: usize,
    /// How many of the first ones vote.
    pub voters: usize,
    /// Zones over which they are spread.
    pub zones: usize,
    /// Whether nodes only keep in step and serve no requests.
    pub is_hollow: bool,
    /// How nodes come to know each other.
    pub knowledge: Knowledge,
}

/// How the nodes of a world come to know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The settings name all.
    Settings,
    /// Discovery from the addresses of these three nodes.
    Contacts([usize; 3]),
}

/// How the zones of a world lie in regions.
#[derive(Clone, Copy, Debug)]
pub struct Regions {
    /// Zones of each region.
    pub zones_each: usize,
    /// Whether the nodes' settings name them.
    pub in_settings: bool,
}

impl Regions {
    /// Zones with their regions.
    fn zones(self, zones: usize) -> BTreeMap<String, String> {
        let region = |zone: usize| format!("r{}", zone / self.zones_each);
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
    pub fn over_regions(seed: u64, size: WorldSize, regions: Regions) -> Self {
        Self::start_all(seed, size, Some(regions))
    }

    fn start_all(seed: u64, size: WorldSize, regions: Option<Regions>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let network_random = ChaCha8Rng::seed_from_u64(random.gen());
        let network = Rc::new(RefCell::new(Network::new(network_random)));
        let mut world = Self {
            places: Vec::new(),
            network,
            random,
            runs: Rc::default(),
            revisions: Vec::new(),
            failures: Vec::new(),
            leaders: BTreeMap::new(),
            epoch: Instant::now(),
            now: START,
        };
        for position in 0..size.nodes {
            let place = world.place(position, size, regions);
            world.places.push(place);
            world.start(position);
        }
        world
    }

    /// Tells the network and the node where the node is.
    fn locate(&mut self, settings: &mut Settings, size: WorldSize, regions: Regions) {
        let zones = regions.zones(size.zones);
        let own = settings.own_node();
        let mut network = self.network.borrow_mut();
        let geography: &mut Geography = &mut network.geography;
        geography.zones.insert(own.name.clone(), own.zone.clone());
        geography.topology = Topology::new(&own.zone, zones.clone(), RoundTrips::default())
            .expect("the own zone is among the zones");
        if regions.in_settings {
            let zones = zones.into_iter().map(|(zone, region)| (zone, Some(region)));
            settings.topology.zones = zones.collect();
        }
    }

    fn place(&mut self, position: usize, size: WorldSize, regions: Option<Regions>) -> Place {
        let mut settings = settings_of(position, size);
        if let Some(regions) = regions {
            self.locate(&mut settings, size, regions);
        }
        let settings = Arc::new(settings);
        let mut disks = BTreeMap::new();
        if settings.is_voter() {
            let groups = std::iter::once(GroupId::Control)
                .chain((0..settings.cluster.ledger_groups).map(GroupId::Ledger));
            for group in groups {
                disks.insert(group, Rc::new(RefCell::new(Disk::new(SYNC_TIME))));
            }
        }
        let desk = CallDesk {
            runs: self.runs.clone(),
            ends: VecDeque::new(),
            now: self.now,
            refused: 0.0,
            lost: 0.0,
            random: ChaCha8Rng::seed_from_u64(self.random.gen()),
        };
        Place {
            name: settings.node.clone(),
            parts: NodeParts {
                settings,
                disks,
                network: self.network.clone(),
                desk: Rc::new(RefCell::new(desk)),
                is_hollow: size.is_hollow,
            },
            node: None,
            frozen_until: None,
            wake_at: 0,
            seen_revision: None,
            frozen_messages: VecDeque::new(),
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

    /// Starts a process that is down.
    pub fn start(&mut self, position: usize) {
        let seed = self.random.gen();
        let place = &mut self.places[position];
        if place.node.is_none() {
            place.node = Some(SimulatedNode::start(
                &place.parts,
                self.epoch,
                self.now,
                seed,
            ));
            place.wake_at = self.now;
        }
    }

    /// Crashes a process: unsynced writes and calls under way are lost to it.
    pub fn crash(&mut self, position: usize) {
        let instant = self.instant();
        let place = &mut self.places[position];
        if let Some(node) = place.node.take() {
            node.stop(instant);
        }
        place.frozen_until = None;
        place.frozen_messages.clear();
        self.network.borrow_mut().disconnect(&place.name);
        for disk in place.parts.disks.values() {
            disk.borrow_mut().crash();
        }
        place.parts.desk.borrow_mut().ends.clear();
    }

    /// Empties the disks of a process that is down.
    pub fn wipe(&mut self, position: usize) {
        for disk in self.places[position].parts.disks.values() {
            disk.borrow_mut().wipe();
        }
    }

    /// Freezes a process; its messages wait.
    pub fn freeze(&mut self, position: usize, duration: Millis) {
        self.places[position].frozen_until = Some(self.now + duration);
    }

    /// Runs until `until`.
    pub fn run_until(&mut self, until: Millis) {
        while self.now < until {
            let next = self.next_event().clamp(self.now + 1, until);
            self.now = next;
            self.step();
        }
    }

    /// Runs for `duration`.
    pub fn run_for(&mut self, duration: Millis) {
        self.run_until(self.now + duration);
    }

    /// Runs until `condition` holds; false when it does not within `timeout`.
    pub fn run_while_not(
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
        for place in &self.places {
            if let Some(until) = place.frozen_until {
                next = next.min(until);
                continue;
            }
            if place.node.is_none() {
                continue;
            }
            next = next.min(place.wake_at);
            for disk in place.parts.disks.values() {
                next = next.min(disk.borrow().next_sync().unwrap_or(Millis::MAX));
            }
            let desk = place.parts.desk.borrow();
            for end in &desk.ends {
                next = next.min(end.at);
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
        for position in 0..self.places.len() {
            self.run_place(position);
        }
    }

    fn receive(&mut self, to: &NodeName, envelope: silversail_peer::Envelope) {
        let instant = self.instant();
        let Some(place) = self.places.iter_mut().find(|place| place.name == *to) else {
            return;
        };
        if place.frozen_until.is_some() {
            place.frozen_messages.push_back(envelope);
            return;
        }
        if let Some(node) = &mut place.node {
            // Time moves on before the message is handled, as in the daemon.
            node.stakker.run(instant, false);
            node.actors.deliver(envelope, instant);
            place.wake_at = self.now;
        }
    }

    fn run_place(&mut self, position: usize) {
        let instant = self.instant();
        let now = self.now;
        let place = &mut self.places[position];
        if place.frozen_until.is_some_and(|until| until > now) {
            return;
        }
        let was_frozen = place.frozen_until.take().is_some();
        let Some(node) = &mut place.node else {
            return;
        };
        if was_frozen {
            node.stakker.run(instant, false);
            for envelope in std::mem::take(&mut place.frozen_messages) {
                node.actors.deliver(envelope, instant);
            }
            place.wake_at = now;
        }
        for (group, disk) in &place.parts.disks {
            let mut disk = disk.borrow_mut();
            disk.set_now(now);
            let synced = disk.finish_syncs();
            if synced > 0 {
                node.actors.synced(*group, synced);
                place.wake_at = now;
            }
        }
        place.parts.desk.borrow_mut().now = now;
        let ended: Vec<_> = {
            let mut desk = place.parts.desk.borrow_mut();
            let all = std::mem::take(&mut desk.ends);
            let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|end| end.at <= now);
            desk.ends = later.into();
            due
        };
        for end in ended {
            if let Some(requests) = &node.actors.requests {
                let service = Duration::from_millis(10);
                call!([requests], call_ended(end.attempt, service, end.result));
                place.wake_at = now;
            }
        }
        if place.wake_at > now {
            return;
        }
        node.stakker.run(instant, false);
        let wait = node.stakker.next_wait(instant);
        place.wake_at = wait.map_or(Millis::MAX, |wait| {
            now + (wait.as_millis() as Millis).max(1)
        });
        let revision = node.state.borrow().configuration.revision();
        self.note_revision(position, revision);
        self.check_leaders(position);
    }

    /// A term has one leader at most.
    fn check_leaders(&mut self, position: usize) {
        let Some(node) = &self.places[position].node else {
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
                let message = format!("{group}: n{leader} and n{position} lead term {term}");
                self.failures.push(message);
            }
        }
    }

    fn note_revision(&mut self, position: usize, revision: Option<u64>) {
        let Some(revision) = revision else {
            return;
        };
        let place = &mut self.places[position];
        if place.seen_revision != Some(revision) {
            place.seen_revision = Some(revision);
            self.revisions.push(RevisionRecord {
                node: place.name.0.clone(),
                revision,
            });
        }
    }

    /// Wakes a process after something was handed to it from outside.
    pub fn wake(&mut self, position: usize) {
        self.places[position].wake_at = self.now;
    }

    /// Revision in force on a process, where it runs and is current.
    pub fn revision(&self, position: usize) -> Option<u64> {
        let place = &self.places[position];
        let node = place.node.as_ref()?;
        let now = node.clock.millis(self.instant());
        let lease = place.parts.settings.timing.freshness_lease_ms;
        let state = node.state.borrow();
        state
            .has_current_configuration(now, lease)
            .then(|| state.configuration.revision())?
    }

    /// Position of the process that leads a group, where one does.
    pub fn leader(&self, group: GroupId) -> Option<usize> {
        self.places.iter().position(|place| {
            place.frozen_until.is_none()
                && place.node.as_ref().is_some_and(|node| {
                    node.actors
                        .statuses
                        .get(&group)
                        .is_some_and(|status| status.borrow().is_leader)
                })
        })
    }

    /// How many usable nodes a process sees.
    pub fn usable(&self, position: usize) -> usize {
        self.places[position]
            .node
            .as_ref()
            .map_or(0, |node| node.state.borrow().view.usable_nodes().count())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for position in 0..self.places.len() {
            self.crash(position);
        }
    }
}

fn settings_of(position: usize, size: WorldSize) -> Settings {
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
    if let Knowledge::Contacts(contacts) = size.knowledge {
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

/// Settings of a node that knows three contact addresses. `first_start` tells
/// whether a cluster may be formed.
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

/// Address of a simulated node.
pub fn peer_address(position: usize) -> String {
    format!("127.0.0.1:{}", FIRST_PORT + position)
}

/// Port of the first simulated node.
pub const FIRST_PORT: usize = 2_000;
