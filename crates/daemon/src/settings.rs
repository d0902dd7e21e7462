//! The settings file of one process.

mod gateway;
mod topology;
mod validation;

use crate::directory::Directory;
pub use gateway::GatewaySettings;
use serde::Deserialize;
use silversail_consensus::ConsensusConfig;
use silversail_consensus::Millis;
use silversail_model::{NodeName, ResultCode, Topology};
use silversail_peer::Contact;
use silversail_routing::{PlacementPolicy, QueueOrder, SlotPolicy};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
pub use topology::TopologySettings;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{} {path}: {message}", .code.number())]
pub struct SettingsError {
    /// Numbered code.
    pub code: ResultCode,
    /// Path of the field, or of the file.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl SettingsError {
    fn new(code: ResultCode, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            code,
            path: path.into(),
            message: message.into(),
        }
    }
}

/// Everything that a process reads at start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This process's name among `cluster.nodes`.
    pub node: NodeName,
    /// The cluster, the same in each process's file.
    pub cluster: ClusterSettings,
    /// Where to listen, if not at the addresses that `cluster.nodes` tells the
    /// others.
    #[serde(default)]
    pub listen: ListenSettings,
    /// IP address and port of the operators' and metrics surface.
    pub operators: String,
    /// Folder of the replicas' state; needed on voters.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// IP address and port of the platform's machine list.
    #[serde(default)]
    pub platform: Option<String>,
    /// How to find the other processes where `cluster.nodes` does not name them.
    #[serde(default)]
    pub discovery: Option<DiscoverySettings>,
    /// Where the zones lie.
    #[serde(default)]
    pub topology: TopologySettings,
    /// The surface for pass-through requests.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How requests are routed.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// What a bad version may do at most while it is rolled out.
    #[serde(default)]
    pub rollout: silversail_rollout::RolloutLimits,
    /// When requests that crash back ends are refused.
    #[serde(default)]
    pub quarantine: silversail_quarantine::QuarantineLimits,
    /// Intervals.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// The processes of a cluster.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Messages of clusters with other names are dropped.
    pub name: String,
    /// All processes; empty where they find each other by discovery.
    #[serde(default)]
    pub nodes: Vec<NodeSettings>,
    /// Names of the nodes with a disk that replicate the state; empty where
    /// processes find each other: then those with a data folder do.
    #[serde(default)]
    pub voters: Vec<NodeName>,
    /// Over how many groups the claim ledger is spread; 0 where no request
    /// carries a key.
    #[serde(default = "one")]
    pub ledger_groups: u16,
}

fn one() -> u16 {
    1
}

/// How a process that knows a few addresses finds the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// This process as the others reach it.
    pub own: NodeSettings,
    /// Addresses of processes to ask.
    pub contacts: Vec<String>,
    /// Port at which the contacts take messages of other processes, where it is
    /// not the one in `contacts`.
    #[serde(default)]
    pub contact_port: Option<u16>,
    /// Whether the cluster starts for the first time, and may be formed.
    #[serde(default)]
    pub first_start: bool,
}

impl DiscoverySettings {
    /// The addresses to ask.
    pub fn contact_addresses(&self) -> Vec<String> {
        let addresses = self.contacts.iter().filter_map(|text| text.parse().ok());
        addresses
            .map(|mut address: SocketAddr| {
                if let Some(port) = self.contact_port {
                    address.set_port(port);
                }
                address.to_string()
            })
            .collect()
    }
}

/// One process as the others reach it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name.
    pub name: NodeName,
    /// Its zone.
    pub zone: String,
    /// IP address and port for other processes.
    pub peer: String,
    /// IP address and port for callers.
    pub callers: String,
}

/// Listening addresses that differ from the announced ones.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For other processes.
    #[serde(default)]
    pub peer: Option<String>,
    /// For callers.
    #[serde(default)]
    pub callers: Option<String>,
}

/// Limits on callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Most open connections.
    pub connections: usize,
    /// Most requests under way.
    pub open_requests: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest wait for a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Longest deadline that a request may ask for, in milliseconds.
    pub deadline_ms: u64,
    /// Most back-end calls under way.
    pub calls: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4_096,
            open_requests: 2_000,
            body_bytes: 1 << 20,
            header_timeout_ms: 15_000,
            body_timeout_ms: 5_000,
            deadline_ms: 600_000,
            calls: 512,
        }
    }
}

/// How requests are routed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Choice of the back end.
    pub placement: PlacementPolicy,
    /// Order of waiting stages.
    pub queue: QueueOrder,
    /// Whether requests that can't end in time are refused at entry.
    pub admission: bool,
    /// How engines' slots are given to nodes.
    pub slots: SlotPolicy,
    /// How many times the slots of back ends that report no load are given out
    /// over all nodes.
    pub slot_share: f64,
    /// Retries as a share of first attempts.
    pub retry_share: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            placement: PlacementPolicy::default(),
            queue: QueueOrder::default(),
            admission: true,
            slots: SlotPolicy::default(),
            slot_share: 1.5,
            retry_share: 0.1,
        }
    }
}

/// Intervals and rates; intervals in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Between a consensus leader's heartbeats.
    pub consensus_heartbeat_ms: u64,
    /// Shortest silence before an election.
    pub election_timeout_ms: u64,
    /// Between a node's heartbeats to its relay.
    pub session_heartbeat_ms: u64,
    /// How long a node stays in the view without a heartbeat.
    pub node_lease_ms: u64,
    /// How old a node's configuration may be before it refuses requests.
    pub freshness_lease_ms: u64,
    /// How long callers keep an entry-point answer.
    pub entry_point_lifetime_ms: u64,
    /// Between reads of an engine's load.
    pub load_poll_ms: u64,
    /// Between reads of the platform's list.
    pub platform_poll_ms: u64,
    /// Longest wait for the ledger's answer.
    pub ledger_timeout_ms: u64,
    /// How long keys are remembered from their first request; well above the
    /// longest deadline.
    pub ledger_retention_ms: u64,
    /// Longest wait for requests under way at a stop.
    pub stop_timeout_ms: u64,
    /// Rate at which the weight store gives out weights, in megabytes a second;
    /// loads of models are paced by it.
    pub weight_store_mb_per_s: f64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            consensus_heartbeat_ms: 150,
            election_timeout_ms: 900,
            session_heartbeat_ms: 400,
            node_lease_ms: 2_000,
            freshness_lease_ms: 3_000,
            entry_point_lifetime_ms: 3_000,
            load_poll_ms: 250,
            platform_poll_ms: 500,
            ledger_timeout_ms: 2_000,
            ledger_retention_ms: 900_000,
            stop_timeout_ms: 30_000,
            weight_store_mb_per_s: 1_000.0,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Folder of rotating log files; standard error where not set.
    pub folder: Option<PathBuf>,
    /// Size at which a file is rotated, in bytes.
    pub rotate_bytes: u64,
    /// Rotated files that are kept.
    pub keep_files: usize,
    /// Whether decisions are written to standard output.
    pub decisions: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            folder: None,
            rotate_bytes: 64 << 20,
            keep_files: 5,
            decisions: false,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let invalid = |message: String| {
            SettingsError::new(
                ResultCode::InvalidSettings,
                path.display().to_string(),
                message,
            )
        };
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        let settings: Settings =
            serde_yaml_ng::from_str(&text).map_err(|error| invalid(error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Whether this process replicates the state.
    pub fn is_voter(&self) -> bool {
        match self.discovery {
            Some(_) => self.data_folder.is_some(),
            None => self.cluster.voters.contains(&self.node),
        }
    }

    /// This process as the others reach it.
    pub fn own_node(&self) -> &NodeSettings {
        if let Some(discovery) = &self.discovery {
            return &discovery.own;
        }
        self.cluster
            .nodes
            .iter()
            .find(|node| node.name == self.node)
            .expect("validated: node is among cluster.nodes")
    }

    /// What this process knows of the others at its start.
    pub fn directory(&self, topology: Arc<Topology>, incarnation: u64, now: Millis) -> Directory {
        let contact = |node: &NodeSettings, replicates: bool| Contact {
            node: node.name.clone(),
            incarnation,
            peer_address: node.peer.clone(),
            zone: node.zone.clone(),
            replicates,
        };
        if let Some(discovery) = &self.discovery {
            return Directory::with_discovery(
                contact(&discovery.own, self.is_voter()),
                discovery.contact_addresses(),
                discovery.first_start,
                now,
            )
            .with_topology(topology);
        }
        let nodes = self.cluster.nodes.iter();
        let contacts = nodes
            .map(|node| contact(node, self.cluster.voters.contains(&node.name)))
            .collect();
        Directory::with_fixed_nodes(self.node.clone(), contacts).with_topology(topology)
    }

    /// Where to listen for other processes.
    pub fn peer_listen_address(&self) -> &str {
        self.listen.peer.as_deref().unwrap_or(&self.own_node().peer)
    }

    /// Where to listen for callers.
    pub fn caller_listen_address(&self) -> &str {
        self.listen
            .callers
            .as_deref()
            .unwrap_or(&self.own_node().callers)
    }

    /// Timing of the replication groups.
    pub fn consensus_config(&self) -> ConsensusConfig {
        let election_timeout = self.timing.election_timeout_ms;
        ConsensusConfig {
            heartbeat_interval: self.timing.consensus_heartbeat_ms,
            election_timeout,
            // A sixth for clocks that run at different speeds.
            lease_duration: election_timeout - election_timeout / 6,
            ..ConsensusConfig::default()
        }
    }
}
