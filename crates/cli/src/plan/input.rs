//! The input of `plan`. Rates are a second, sizes in bytes unless named.

use serde::Deserialize;

/// The size, the budget, and what was measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanInput {
    /// The size to design for.
    pub size: Size,
    /// What control may cost.
    pub budget: Budget,
    /// Hollow nodes, as `silversail hollow --output yaml` prints them.
    pub hollow: Vec<HollowPoint>,
    /// Real processes, as the `cost` example prints them.
    pub processes: Vec<ProcessPoint>,
    /// The data path, as the `cost` example prints it.
    pub data_path: DataPath,
    /// What is assumed.
    pub assumed: Assumed,
}

/// The size to design for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Nodes.
    pub nodes: f64,
    /// Engines.
    pub engines: f64,
    /// Requests a second at the peak.
    pub requests: f64,
    /// Tokens a second at the peak.
    pub tokens: f64,
    /// Stages of a request.
    pub stages: f64,
    /// Tenants.
    pub tenants: f64,
    /// Zones.
    pub zones: f64,
    /// Configuration changes a day.
    pub changes_a_day: f64,
    /// Machines that fail in a day.
    pub failures_a_day: f64,
    /// Machines that restart or are replaced in a day.
    pub restarts_a_day: f64,
}

/// What control may cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Share of a core on a node.
    pub node_cpu_share: f64,
    /// Megabytes on a node.
    pub node_mb: f64,
    /// Bytes a second on a node.
    pub node_bytes: f64,
    /// Machines set aside.
    pub machines: f64,
    /// Milliseconds until a change is in force everywhere.
    pub in_force_ms: f64,
}

/// Traffic of a role.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolePoint {
    /// Messages.
    pub messages: f64,
    /// Bytes.
    pub bytes: f64,
}

/// What was measured with hollow nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowPoint {
    /// Nodes.
    pub nodes: f64,
    /// Leader of the control group.
    pub leader: RolePoint,
    /// Another voter, which is a relay.
    pub voter: RolePoint,
    /// A node that does not vote, the mean.
    pub node: RolePoint,
    /// The busiest of these.
    pub busiest_node: RolePoint,
    /// Median time until a change is in force.
    pub in_force_median_ms: f64,
    /// Worst time until a change is in force.
    pub in_force_worst_ms: f64,
    /// Time until the cluster formed.
    pub formed_ms: f64,
    /// Recovery after a tenth of the nodes was cut off.
    pub after_tenth_ms: f64,
    /// Recovery after a zone was cut off.
    pub after_zone_ms: f64,
    /// Recovery after a region was cut off.
    pub after_region_ms: f64,
    /// Revisions that the region was behind.
    pub region_behind: f64,
    /// Recovery after a rolling restart.
    pub after_rolling_ms: f64,
    /// Recovery after a full restart.
    pub after_full_restart_ms: f64,
    /// Processor time for a node.
    pub node_cpu_us_per_s: f64,
    /// Size of the whole configuration.
    pub configuration_bytes: f64,
}

/// What was measured with real processes, without requests, at the design
/// size's configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessPoint {
    /// Nodes, three of them voters.
    pub nodes: f64,
    /// Share of a core: the leader.
    pub leader_cpu_share: f64,
    /// Resident megabytes: the leader.
    pub leader_resident_mb: f64,
    /// Bytes received: the leader.
    pub leader_received_bytes_per_s: f64,
    /// Share of a core: another voter.
    pub voter_cpu_share: f64,
    /// Resident megabytes: another voter.
    pub voter_resident_mb: f64,
    /// Bytes received: another voter.
    pub voter_received_bytes_per_s: f64,
    /// Share of a core: a node that does not vote.
    #[serde(default)]
    pub node_cpu_share: Option<f64>,
    /// Resident megabytes: a node that does not vote.
    #[serde(default)]
    pub node_resident_mb: Option<f64>,
    /// Bytes received: a node that does not vote.
    #[serde(default)]
    pub node_received_bytes_per_s: Option<f64>,
    /// Median time until a change is in force.
    pub in_force_median_ms: f64,
    /// Worst time until a change is in force.
    pub in_force_worst_ms: f64,
}

/// Costs of the data path on one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataPath {
    /// Processor microseconds of a request of one stage.
    pub stage_cpu_us: f64,
    /// The same with a key: three ledger commits more.
    pub keyed_stage_cpu_us: f64,
    /// Processor microseconds of a streamed token.
    pub token_cpu_us: f64,
    /// Memory of an open stream in kilobytes.
    pub open_stream_kb: f64,
    /// Bytes that the ledger's log grows by with each commit.
    pub ledger_commit_bytes: f64,
}

/// Figures that were not measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// Share of requests that carry a key.
    pub keyed_share: f64,
    /// Seconds that a stream is open.
    pub stream_seconds: f64,
    /// Seconds for which the ledger keeps a record.
    pub retention_seconds: f64,
    /// Bytes of a kept record with its answer.
    pub record_bytes: f64,
    /// Commits a second that one ledger group carries.
    pub group_commits: f64,
    /// Bytes of a poll of an engine's load, both ways.
    pub poll_bytes: f64,
    /// Share of a core that a node gives to the data path.
    pub data_core_share: f64,
}
