//! Input of `plan`. Rates are per second and sizes in bytes unless the field says otherwise.

use serde::Deserialize;

/// Cluster size, budget and measurements.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanInput {
    /// Cluster size for which costs are computed.
    pub size: ClusterSize,
    /// Limits of the cost of control.
    pub budget: ControlBudget,
    /// Measurements with hollow nodes, as printed by `silversail hollow --output yaml`.
    pub hollow: Vec<HollowMeasurement>,
    /// Measurements with real processes, as printed by the `cost` example.
    pub processes: Vec<ProcessMeasurement>,
    /// Costs of the data path, as printed by the `cost` example.
    pub data_path: DataPathCosts,
    /// Assumptions that are not measured.
    pub assumed: Assumptions,
}

/// Cluster size and load for which costs are computed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSize {
    /// Number of nodes.
    pub nodes: f64,
    /// Number of engines.
    pub engines: f64,
    /// Peak rate of requests.
    pub requests: f64,
    /// Peak rate of streamed tokens.
    pub tokens: f64,
    /// Number of stages of a request.
    pub stages: f64,
    /// Number of tenants.
    pub tenants: f64,
    /// Number of zones.
    pub zones: f64,
    /// Configuration changes per day.
    pub changes_a_day: f64,
    /// Machine failures per day.
    pub failures_a_day: f64,
    /// Machine restarts and replacements per day.
    pub restarts_a_day: f64,
}

/// Limits of the cost of control.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlBudget {
    /// Processor use of a node, as a share of a core.
    pub node_cpu_share: f64,
    /// Memory of a node, in megabytes.
    pub node_mb: f64,
    /// Control traffic of a node, in bytes per second.
    pub node_bytes: f64,
    /// Number of machines for control and ledger.
    pub machines: f64,
    /// Time until all nodes have applied a change, in milliseconds.
    pub in_force_ms: f64,
}

/// Control traffic of a role.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleTraffic {
    /// Messages per second.
    pub messages: f64,
    /// Bytes per second.
    pub bytes: f64,
}

/// Measurement of a cluster of hollow nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowMeasurement {
    /// Number of nodes.
    pub nodes: f64,
    /// Traffic of the leader of the control group.
    pub leader: RoleTraffic,
    /// Mean traffic of the other voters, which are relays.
    pub voter: RoleTraffic,
    /// Mean traffic of the nodes that do not vote.
    pub node: RoleTraffic,
    /// Largest traffic of a node that does not vote.
    pub busiest_node: RoleTraffic,
    /// Median time until all nodes have applied a change.
    pub in_force_median_ms: f64,
    /// Longest time until all nodes have applied a change.
    pub in_force_worst_ms: f64,
    /// Time until the cluster has formed.
    pub formed_ms: f64,
    /// Recovery time after a tenth of the nodes was isolated.
    pub after_tenth_ms: f64,
    /// Recovery time after a zone was isolated.
    pub after_zone_ms: f64,
    /// Recovery time after a region was isolated.
    pub after_region_ms: f64,
    /// Number of revisions that the isolated region had missed.
    pub region_behind: f64,
    /// Recovery time after a rolling restart.
    pub after_rolling_ms: f64,
    /// Recovery time after a full restart.
    pub after_full_restart_ms: f64,
    /// Processor time of a node, in microseconds per second.
    pub node_cpu_us_per_s: f64,
    /// Encoded size of the whole configuration.
    pub configuration_bytes: f64,
}

/// Measurement of idle real processes with a large configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessMeasurement {
    /// Number of nodes, including three voters.
    pub nodes: f64,
    /// Processor use of the leader, as a share of a core.
    pub leader_cpu_share: f64,
    /// Resident memory of the leader, in megabytes.
    pub leader_resident_mb: f64,
    /// Peer bytes that the leader receives.
    pub leader_received_bytes_per_s: f64,
    /// Processor use of another voter, as a share of a core.
    pub voter_cpu_share: f64,
    /// Resident memory of another voter, in megabytes.
    pub voter_resident_mb: f64,
    /// Peer bytes that another voter receives.
    pub voter_received_bytes_per_s: f64,
    /// Processor use of a node that does not vote, as a share of a core.
    #[serde(default)]
    pub node_cpu_share: Option<f64>,
    /// Resident memory of a node that does not vote, in megabytes.
    #[serde(default)]
    pub node_resident_mb: Option<f64>,
    /// Peer bytes that a node that does not vote receives.
    #[serde(default)]
    pub node_received_bytes_per_s: Option<f64>,
    /// Median time until all nodes have applied a change.
    pub in_force_median_ms: f64,
    /// Longest time until all nodes have applied a change.
    pub in_force_worst_ms: f64,
}

/// Costs of the data path in one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataPathCosts {
    /// Processor time of a request with one stage, in microseconds.
    pub stage_cpu_us: f64,
    /// Processor time of a request with one stage and a key, which adds three ledger
    /// commits, in microseconds.
    pub keyed_stage_cpu_us: f64,
    /// Processor time of a streamed token, in microseconds.
    pub token_cpu_us: f64,
    /// Memory of an open stream, in kilobytes.
    pub open_stream_kb: f64,
    /// Growth of the ledger log per commit.
    pub ledger_commit_bytes: f64,
}

/// Assumptions that are not measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// Share of requests with a key.
    pub keyed_share: f64,
    /// Duration of a stream, in seconds.
    pub stream_seconds: f64,
    /// Retention of a ledger record, in seconds.
    pub retention_seconds: f64,
    /// ClusterSize of a ledger record with its answer.
    pub record_bytes: f64,
    /// Largest commit rate of one ledger group.
    pub group_commits: f64,
    /// ClusterSize of a load poll of an engine, in both directions.
    pub poll_bytes: f64,
    /// Share of a core that a node spends on the data path.
    pub data_core_share: f64,
}
