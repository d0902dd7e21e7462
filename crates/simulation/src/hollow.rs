//! Hollow nodes: the actors that keep a node in step, without requests, many in
//! one process, to measure what control costs as the cluster grows.

use crate::network::Traffic;
use crate::world::{Knowledge, World, WorldSize};
use serde::Serialize;
use serde_json::json;
use silversail_consensus::Millis;
use silversail_control::{ChangeRequest, ControlCommand};
use silversail_model::{ChangeId, ConfigurationDocument, NodeName};
use silversail_peer::GroupId;
use stakker::{call, ret_some_do};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Zones of the size to design for, and regions over which they are spread.
const ZONES: usize = 8;
const REGIONS: usize = 3;
const VOTERS: usize = 5;
/// Virtual time over which traffic is measured.
const MEASURED: Millis = 20_000;
/// Changes whose time until they are in force everywhere is measured.
const CHANGES: usize = 20;
/// Pause between changes: 3,200 a day are one in 27 s; this is a busy time.
const CHANGE_PAUSE: Millis = 1_000;
/// Longest virtual time for a change or a recovery.
const LONGEST: Millis = 60_000;
/// How long a part of the cluster is cut off.
const CUT: Millis = 10_000;
const STEP: Millis = 10;

/// Objects in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSize {
    /// Tenants.
    pub tenants: usize,
    /// Engines.
    pub engines: usize,
    /// Pipelines of five stages.
    pub pipelines: usize,
    /// Models.
    pub models: usize,
}

/// Traffic a second of one role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleTraffic {
    /// Messages sent and received.
    pub messages: f64,
    /// Bytes sent and received.
    pub bytes: f64,
}

/// What was measured at one size. Times are virtual milliseconds, with message
/// delays of 0 to 2 ms and syncs of 3 ms.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HollowReport {
    /// Nodes, voters among them.
    pub nodes: usize,
    /// Traffic of the node that leads the control group.
    pub leader: RoleTraffic,
    /// Mean traffic of the other voters.
    pub voter: RoleTraffic,
    /// Mean traffic of the nodes that do not vote.
    pub node: RoleTraffic,
    /// Traffic of the node that does not vote and has the most.
    pub busiest_node: RoleTraffic,
    /// From proposing a change until it is in force everywhere, median.
    pub in_force_median_ms: Millis,
    /// The same, worst.
    pub in_force_worst_ms: Millis,
    /// From the start until all nodes serve and see each other.
    pub formed_ms: Millis,
    /// From the end of a cut until all are in step: a tenth of the nodes.
    pub after_tenth_ms: Millis,
    /// A zone.
    pub after_zone_ms: Millis,
    /// A region.
    pub after_region_ms: Millis,
    /// Revisions that the cut-off region was behind when it came back.
    pub region_behind: u64,
    /// From the start of the last node of a rolling restart.
    pub after_rolling_ms: Millis,
    /// From the start of all nodes after all were down.
    pub after_full_restart_ms: Millis,
    /// Processor time of the simulation for a node and a virtual second, in
    /// microseconds, encoding and the simulated network included.
    pub node_cpu_us_per_s: f64,
    /// Bytes of the whole configuration when it is sent.
    pub configuration_bytes: usize,
}

struct Hollow {
    world: World,
    report: HollowReport,
    revision: u64,
}

/// Measures a cluster of `nodes` hollow nodes.
pub fn run_hollow(nodes: usize, configuration: ConfigurationSize) -> HollowReport {
    let size = WorldSize {
        nodes,
        voters: VOTERS,
        zones: ZONES,
        is_hollow: true,
        knowledge: Knowledge::Settings,
    };
    let mut hollow = Hollow {
        world: World::new(1, size),
        report: HollowReport {
            nodes,
            ..HollowReport::default()
        },
        revision: 0,
    };
    hollow.run(configuration);
    hollow.report
}

impl Hollow {
    fn run(&mut self, configuration: ConfigurationSize) {
        self.report.formed_ms = self.time_until_well();
        let document = document_of(configuration);
        self.report.configuration_bytes =
            postcard::to_stdvec(&document).map_or(0, |bytes| bytes.len());
        self.change(document);
        self.measure_traffic();
        self.measure_changes();
        self.measure_cuts();
        self.measure_restarts();
    }

    /// Proposes a change and gives the time until it is in force everywhere.
    fn change(&mut self, document: ConfigurationDocument) -> Millis {
        let began = self.world.now();
        let request = ChangeRequest {
            change_id: ChangeId(format!("c{}", self.revision)),
            base_revision: self.revision,
            operator: String::new(),
            document,
        };
        let last = self.world.places.len() - 1;
        let done = Rc::new(Cell::new(false));
        let answered = done.clone();
        if let Some(node) = &self.world.places[last].node {
            let ret = ret_some_do!(move |_| answered.set(true));
            let command = ControlCommand::Change(request).encode();
            call!(
                [node.actors.control_proposer],
                propose(command, Duration::from_secs(5), ret)
            );
        }
        self.world.wake(last);
        self.revision += 1;
        self.run_until(|hollow| hollow.all_have(hollow.revision));
        self.world.now() - began
    }

    fn all_have(&self, revision: u64) -> bool {
        let places = &self.world.places;
        places.iter().all(|place| {
            place
                .node
                .as_ref()
                .is_none_or(|node| node.state.borrow().configuration.revision() >= Some(revision))
        })
    }

    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        let deadline = self.world.now() + LONGEST;
        while !condition(self) && self.world.now() < deadline {
            self.world.run_for(STEP);
        }
    }

    /// Time until all nodes serve at the newest revision and see each other.
    fn time_until_well(&mut self) -> Millis {
        let began = self.world.now();
        self.run_until(|hollow| {
            let count = hollow.world.places.len();
            (0..count).all(|position| {
                hollow.world.revision(position) >= Some(hollow.revision)
                    && hollow.world.usable(position) == count
            })
        });
        self.world.now() - began
    }

    fn measure_traffic(&mut self) {
        self.world.run_for(3_000);
        self.world.network.borrow_mut().traffic.clear();
        let started = Instant::now();
        self.world.run_for(MEASURED);
        let cpu = started.elapsed();
        let seconds = MEASURED as f64 / 1_000.0;
        let nodes = self.world.places.len();
        self.report.node_cpu_us_per_s = cpu.as_micros() as f64 / nodes as f64 / seconds;
        let leader = self.world.leader(GroupId::Control).unwrap_or(0);
        let rate = |name: &NodeName| {
            let network = self.world.network.borrow();
            let traffic = network.traffic.get(name).copied().unwrap_or_default();
            role_traffic(traffic, seconds)
        };
        let rates: Vec<RoleTraffic> = self
            .world
            .places
            .iter()
            .map(|one| rate(&one.name))
            .collect();
        self.report.leader = rates[leader];
        let voters: Vec<RoleTraffic> = (0..VOTERS)
            .filter(|position| *position != leader)
            .map(|position| rates[position])
            .collect();
        self.report.voter = mean(&voters);
        self.report.node = mean(&rates[VOTERS..]);
        self.report.busiest_node = rates[VOTERS..]
            .iter()
            .copied()
            .max_by(|left, right| left.bytes.total_cmp(&right.bytes))
            .unwrap_or_default();
    }

    fn measure_changes(&mut self) {
        let mut times: Vec<Millis> = (0..CHANGES)
            .map(|_| {
                self.world.run_for(CHANGE_PAUSE);
                self.change(small_change(self.revision))
            })
            .collect();
        times.sort_unstable();
        self.report.in_force_median_ms = times[times.len() / 2];
        self.report.in_force_worst_ms = times.last().copied().unwrap_or_default();
    }

    fn measure_cuts(&mut self) {
        let nodes = self.world.places.len();
        let tenth: Vec<usize> = (0..nodes).filter(|node| node % 10 == 9).collect();
        self.report.after_tenth_ms = self.cut(&tenth).0;
        let zone: Vec<usize> = (0..nodes).filter(|node| node % ZONES == 0).collect();
        self.report.after_zone_ms = self.cut(&zone).0;
        let region: Vec<usize> = (0..nodes)
            .filter(|node| (node % ZONES).is_multiple_of(REGIONS))
            .collect();
        let (time, behind) = self.cut(&region);
        self.report.after_region_ms = time;
        self.report.region_behind = behind;
    }

    /// Cuts nodes off from all others, with changes going on, and gives the
    /// time until all are in step after it, and how many revisions the cut-off
    /// ones were behind.
    fn cut(&mut self, cut_off: &[usize]) -> (Millis, u64) {
        let names: Vec<NodeName> = cut_off
            .iter()
            .map(|position| self.world.places[*position].name.clone())
            .collect();
        self.world.network.borrow_mut().faults.cut_off.extend(names);
        self.world.run_for(CUT);
        let last = self.world.places.len() - 1;
        let is_last_cut = cut_off.contains(&last);
        let before = self.revision;
        if !is_last_cut {
            for _ in 0..3 {
                self.change_for_reachable(cut_off);
            }
        }
        self.world.network.borrow_mut().faults.cut_off.clear();
        (self.time_until_well(), self.revision - before)
    }

    /// Proposes a change that can reach only part of the nodes.
    fn change_for_reachable(&mut self, cut_off: &[usize]) {
        let reachable: Vec<usize> = (0..self.world.places.len())
            .filter(|position| !cut_off.contains(position))
            .collect();
        let request = ChangeRequest {
            change_id: ChangeId(format!("c{}", self.revision)),
            base_revision: self.revision,
            operator: String::new(),
            document: small_change(self.revision),
        };
        let from = reachable[reachable.len() - 1];
        if let Some(node) = &self.world.places[from].node {
            let command = ControlCommand::Change(request).encode();
            let ret = ret_some_do!(|_| {});
            call!(
                [node.actors.control_proposer],
                propose(command, Duration::from_secs(5), ret)
            );
        }
        self.world.wake(from);
        self.revision += 1;
        let wanted = self.revision;
        self.run_until(|hollow| hollow.world.revision(from) >= Some(wanted));
    }

    fn measure_restarts(&mut self) {
        for position in 0..self.world.places.len() {
            self.world.crash(position);
            self.world.run_for(50);
            self.world.start(position);
            self.world.run_for(50);
        }
        self.report.after_rolling_ms = self.time_until_well();
        for position in 0..self.world.places.len() {
            self.world.crash(position);
        }
        self.world.run_for(1_000);
        for position in 0..self.world.places.len() {
            self.world.start(position);
        }
        self.report.after_full_restart_ms = self.time_until_well();
    }
}

fn role_traffic(traffic: Traffic, seconds: f64) -> RoleTraffic {
    RoleTraffic {
        messages: (traffic.sent + traffic.received) as f64 / seconds,
        bytes: (traffic.sent_bytes + traffic.received_bytes) as f64 / seconds,
    }
}

fn mean(rates: &[RoleTraffic]) -> RoleTraffic {
    let count = rates.len().max(1) as f64;
    RoleTraffic {
        messages: rates.iter().map(|rate| rate.messages).sum::<f64>() / count,
        bytes: rates.iter().map(|rate| rate.bytes).sum::<f64>() / count,
    }
}

fn small_change(revision: u64) -> ConfigurationDocument {
    let tenant = json!({ "tenants": [{ "name": format!("of-{revision}") }] });
    serde_json::from_value(tenant).expect("the document is complete")
}

/// A configuration of the given size.
fn document_of(size: ConfigurationSize) -> ConfigurationDocument {
    let model = |number: usize| format!("model-{}", number % size.models.max(1));
    let models: Vec<_> = (0..size.models)
        .map(|number| json!({ "name": model(number), "replicas": 50 }))
        .collect();
    let backends: Vec<_> = (0..size.engines)
        .map(|number| {
            json!({
                "name": format!("engine-{number}"),
                "kind": "engine",
                "address": format!("10.{}.{}.{}:9000", number / 62_500, number / 250 % 250, number % 250),
                "slots": 16,
                "models": [model(number)],
                "labels": { "zone": format!("z{}", number % ZONES), "rack": format!("r{}", number / 20) },
            })
        })
        .collect();
    let tenants: Vec<_> = (0..size.tenants)
        .map(|number| json!({ "name": format!("tenant-{number}"), "labels": { "tier": "standard" } }))
        .collect();
    let pipelines: Vec<_> = (0..size.pipelines)
        .map(|number| {
            json!({
                "name": format!("pipeline-{number}"),
                "deadline_ms": 1000,
                "stages": [
                    { "name": "encode", "kind": "encoding" },
                    { "name": "retrieve", "kind": "retrieval" },
                    { "name": "rerank", "kind": "reranking" },
                    { "name": "generate", "kind": "generation", "model": model(number) },
                    { "name": "note", "kind": "service" },
                ],
            })
        })
        .collect();
    let document = json!({
        "models": models, "backends": backends, "tenants": tenants, "pipelines": pipelines,
    });
    serde_json::from_value(document).expect("the document is complete")
}
