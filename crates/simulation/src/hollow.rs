//! Hollow nodes, which replicate control state and serve no requests. Many run in one process
//! to measure how the cost of control grows with the cluster.

use crate::network::NodeTraffic;
use crate::world::{NodeDiscovery, World, WorldSize};
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

/// Number of zones over which the nodes are spread.
const ZONES: usize = 8;
/// Number of regions over which the zones are spread.
const REGIONS: usize = 3;
const VOTERS: usize = 5;
/// Virtual time over which traffic is measured, in milliseconds.
const MEASUREMENT_PERIOD_MS: Millis = 20_000;
/// Number of configuration changes whose propagation time is measured.
const MEASURED_CHANGES: usize = 20;
/// Interval between configuration changes, in milliseconds.
const CHANGE_INTERVAL_MS: Millis = 1_000;
/// Longest virtual time for a change or a recovery, in milliseconds.
const CONVERGENCE_TIMEOUT_MS: Millis = 60_000;
/// Duration of a network partition, in milliseconds.
const PARTITION_DURATION_MS: Millis = 10_000;
/// Virtual time between two checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: Millis = 10;

/// Number of objects in the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSize {
    /// Number of tenants.
    pub tenants: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of pipelines, of five stages each.
    pub pipelines: usize,
    /// Number of models, which the engines share.
    pub models: usize,
}

/// Control traffic of a node, per second of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleTraffic {
    /// Messages sent and received.
    pub messages: f64,
    /// Bytes sent and received.
    pub bytes: f64,
}

/// Measurements of a cluster of one size. Times are virtual milliseconds, with
/// message delays of 0 to 2 ms and disk syncs of 3 ms.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HollowReport {
    /// Number of nodes, voters included.
    pub nodes: usize,
    /// Traffic of the node that leads the control group.
    pub leader: RoleTraffic,
    /// Mean traffic of the other voters.
    pub voter: RoleTraffic,
    /// Mean traffic of the nodes that do not vote.
    pub node: RoleTraffic,
    /// Largest traffic of a node that does not vote, by bytes.
    pub busiest_node: RoleTraffic,
    /// Median time from the proposal of a change until all nodes have applied it.
    pub in_force_median_ms: Millis,
    /// Longest time from the proposal of a change until all nodes have applied it.
    pub in_force_worst_ms: Millis,
    /// Time from the start until all nodes are current and see each other as usable.
    pub formed_ms: Millis,
    /// Time to converge after a tenth of the nodes was partitioned.
    pub after_tenth_ms: Millis,
    /// Time to converge after a zone was partitioned.
    pub after_zone_ms: Millis,
    /// Time to converge after a region was partitioned.
    pub after_region_ms: Millis,
    /// Number of revisions that the partitioned region had missed.
    pub region_behind: u64,
    /// Time to converge after the last node of a rolling restart has started.
    pub after_rolling_ms: Millis,
    /// Time to converge after all nodes were down and have started.
    pub after_full_restart_ms: Millis,
    /// Processor time of the simulation per node and virtual second, in
    /// microseconds, including encoding and the simulated network.
    pub node_cpu_us_per_s: f64,
    /// Encoded size of the whole configuration, in bytes.
    pub configuration_bytes: usize,
}

struct HollowCluster {
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
        discovery: NodeDiscovery::StaticSettings,
    };
    let mut cluster = HollowCluster {
        world: World::new(1, size),
        report: HollowReport {
            nodes,
            ..HollowReport::default()
        },
        revision: 0,
    };
    cluster.run(configuration);
    cluster.report
}

impl HollowCluster {
    fn run(&mut self, configuration: ConfigurationSize) {
        self.report.formed_ms = self.wait_until_converged();
        let document = configuration_of_size(configuration);
        self.report.configuration_bytes =
            postcard::to_stdvec(&document).map_or(0, |bytes| bytes.len());
        self.change(document);
        self.measure_traffic();
        self.measure_changes();
        self.measure_partitions();
        self.measure_restarts();
    }

    /// Proposes a change and returns the time until all nodes have applied it.
    fn change(&mut self, document: ConfigurationDocument) -> Millis {
        let started_at = self.world.now();
        let request = ChangeRequest {
            change_id: ChangeId(format!("c{}", self.revision)),
            base_revision: self.revision,
            operator: String::new(),
            document,
        };
        let last = self.world.nodes.len() - 1;
        let done = Rc::new(Cell::new(false));
        let answered = done.clone();
        if let Some(node) = &self.world.nodes[last].process {
            let ret = ret_some_do!(move |_| answered.set(true));
            let command = ControlCommand::Change(request).encode();
            call!(
                [node.actors.control_proposer],
                propose(command, Duration::from_secs(5), ret)
            );
        }
        self.world.wake(last);
        self.revision += 1;
        self.run_until(|cluster| cluster.all_have_revision(cluster.revision));
        self.world.now() - started_at
    }

    fn all_have_revision(&self, revision: u64) -> bool {
        let nodes = &self.world.nodes;
        nodes.iter().all(|slot| {
            slot.process
                .as_ref()
                .is_none_or(|node| node.state.borrow().configuration.revision() >= Some(revision))
        })
    }

    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        let deadline = self.world.now() + CONVERGENCE_TIMEOUT_MS;
        while !condition(self) && self.world.now() < deadline {
            self.world.run_for(POLL_INTERVAL_MS);
        }
    }

    /// Waits until all nodes have the newest revision and see each other as usable; returns
    /// the time that it took.
    fn wait_until_converged(&mut self) -> Millis {
        let started_at = self.world.now();
        self.run_until(|cluster| {
            let count = cluster.world.nodes.len();
            (0..count).all(|position| {
                cluster.world.revision(position) >= Some(cluster.revision)
                    && cluster.world.usable(position) == count
            })
        });
        self.world.now() - started_at
    }

    fn measure_traffic(&mut self) {
        self.world.run_for(3_000);
        self.world.network.borrow_mut().traffic.clear();
        let started = Instant::now();
        self.world.run_for(MEASUREMENT_PERIOD_MS);
        let cpu = started.elapsed();
        let seconds = MEASUREMENT_PERIOD_MS as f64 / 1_000.0;
        let nodes = self.world.nodes.len();
        self.report.node_cpu_us_per_s = cpu.as_micros() as f64 / nodes as f64 / seconds;
        let leader = self.world.leader(GroupId::Control).unwrap_or(0);
        let rate = |name: &NodeName| {
            let network = self.world.network.borrow();
            let traffic = network.traffic.get(name).copied().unwrap_or_default();
            role_traffic(traffic, seconds)
        };
        let rates: Vec<RoleTraffic> = self
            .world
            .nodes
            .iter()
            .map(|node| rate(&node.name))
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
        let mut times: Vec<Millis> = (0..MEASURED_CHANGES)
            .map(|_| {
                self.world.run_for(CHANGE_INTERVAL_MS);
                self.change(small_change(self.revision))
            })
            .collect();
        times.sort_unstable();
        self.report.in_force_median_ms = times[times.len() / 2];
        self.report.in_force_worst_ms = times.last().copied().unwrap_or_default();
    }

    fn measure_partitions(&mut self) {
        let nodes = self.world.nodes.len();
        let tenth: Vec<usize> = (0..nodes).filter(|node| node % 10 == 9).collect();
        self.report.after_tenth_ms = self.measure_partition(&tenth).0;
        let zone: Vec<usize> = (0..nodes).filter(|node| node % ZONES == 0).collect();
        self.report.after_zone_ms = self.measure_partition(&zone).0;
        let region: Vec<usize> = (0..nodes)
            .filter(|node| (node % ZONES).is_multiple_of(REGIONS))
            .collect();
        let (time, missed_revisions) = self.measure_partition(&region);
        self.report.after_region_ms = time;
        self.report.region_behind = missed_revisions;
    }

    /// Isolates nodes while changes go on. Returns the time until all have converged
    /// after the partition, and the number of revisions that the isolated nodes missed.
    fn measure_partition(&mut self, isolated: &[usize]) -> (Millis, u64) {
        let names: Vec<NodeName> = isolated
            .iter()
            .map(|position| self.world.nodes[*position].name.clone())
            .collect();
        self.world
            .network
            .borrow_mut()
            .faults
            .isolated_nodes
            .extend(names);
        self.world.run_for(PARTITION_DURATION_MS);
        let last = self.world.nodes.len() - 1;
        let is_last_isolated = isolated.contains(&last);
        let before = self.revision;
        if !is_last_isolated {
            for _ in 0..3 {
                self.change_for_reachable(isolated);
            }
        }
        self.world
            .network
            .borrow_mut()
            .faults
            .isolated_nodes
            .clear();
        (self.wait_until_converged(), self.revision - before)
    }

    /// Proposes a change through a node that is not isolated.
    fn change_for_reachable(&mut self, isolated: &[usize]) {
        let reachable: Vec<usize> = (0..self.world.nodes.len())
            .filter(|position| !isolated.contains(position))
            .collect();
        let request = ChangeRequest {
            change_id: ChangeId(format!("c{}", self.revision)),
            base_revision: self.revision,
            operator: String::new(),
            document: small_change(self.revision),
        };
        let from = reachable[reachable.len() - 1];
        if let Some(node) = &self.world.nodes[from].process {
            let command = ControlCommand::Change(request).encode();
            let ret = ret_some_do!(|_| {});
            call!(
                [node.actors.control_proposer],
                propose(command, Duration::from_secs(5), ret)
            );
        }
        self.world.wake(from);
        self.revision += 1;
        let expected_revision = self.revision;
        self.run_until(|cluster| cluster.world.revision(from) >= Some(expected_revision));
    }

    fn measure_restarts(&mut self) {
        for position in 0..self.world.nodes.len() {
            self.world.crash(position);
            self.world.run_for(50);
            self.world.start(position);
            self.world.run_for(50);
        }
        self.report.after_rolling_ms = self.wait_until_converged();
        for position in 0..self.world.nodes.len() {
            self.world.crash(position);
        }
        self.world.run_for(1_000);
        for position in 0..self.world.nodes.len() {
            self.world.start(position);
        }
        self.report.after_full_restart_ms = self.wait_until_converged();
    }
}

fn role_traffic(traffic: NodeTraffic, seconds: f64) -> RoleTraffic {
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
fn configuration_of_size(size: ConfigurationSize) -> ConfigurationDocument {
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
