//! What silversail processes tell each other.

use crate::backend_list::BackendListVersion;
use crate::backend_list_update::BackendListUpdate;
use crate::discovery::DiscoveryMessage;
use crate::work::WorkMessage;
use serde::{Deserialize, Serialize};
use silversail_consensus::{JoinRequest, Message, Millis, ReplicaId, Snapshot};
use silversail_control::{
    ConfigurationUpdate, EvacuationRevision, NodeReport, RolloutsRevision, SharedEvacuations,
    SharedRollouts, TrafficUpdate, ViewUpdate, ViewVersion,
};
use silversail_limits::LimitMessage;
use silversail_model::{NodeName, Revision, TrafficVersion};
use silversail_quarantine::{QuarantineRevision, SharedQuarantineList};
use std::fmt;

/// Version of the message format; other versions are dropped.
pub const PROTOCOL_VERSION: u8 = 9;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u8,
    /// Name of the cluster from the settings.
    pub cluster: String,
    /// Sending node.
    pub from: NodeName,
    /// Sending process.
    pub incarnation: u64,
    /// Content.
    pub message: PeerMessage,
}

/// A replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// Configuration.
    Control,
    /// One part of the claim ledger; keys are spread over the parts by hash.
    Ledger(u16),
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Control => formatter.write_str("control"),
            GroupId::Ledger(part) => write!(formatter, "ledger-{part}"),
        }
    }
}

/// Content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of a replication group.
    Group {
        /// Which group.
        group: GroupId,
        /// The message.
        message: GroupMessage,
    },
    /// Of a node's session with its relay.
    Session(SessionMessage),
    /// How nodes learn of each other.
    Discovery(DiscoveryMessage),
    /// Work that nodes hand to each other.
    Work(WorkMessage),
    /// Limits of back ends that hold for all nodes together.
    Limits(LimitMessage),
}

/// Messages to or between the members of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupMessage {
    /// Between replicas.
    Consensus {
        /// Cluster identity drawn when the group formed; others are dropped.
        cluster_id: u64,
        /// The message.
        message: Message,
    },
    /// Before a replica is a member.
    Formation(FormationMessage),
    /// Asks the leader to commit a command.
    Propose {
        /// Identifies the proposal at the sender.
        proposal: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Answers a proposal.
    ProposeReply {
        /// The sender's identifier.
        proposal: u64,
        /// What became of it.
        result: ProposalResult,
    },
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// Committed and applied, with the state machine's reply.
    Applied(Vec<u8>),
    /// Not taken; maybe this node leads.
    NotLeader(Option<NodeName>),
    /// Taken, but another leader's entry stands in its place: not committed.
    Superseded,
}

/// How a group forms and how a replica with an empty disk comes in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FormationMessage {
    /// Asks what the receiver holds, telling the sender's identity.
    Probe {
        /// The sender's replica.
        replica: ReplicaId,
    },
    /// Tells that the sender's disk holds nothing: former replicas of its node are gone.
    StorageEmpty {
        /// The sender's replica.
        replica: ReplicaId,
    },
    /// Answers a probe.
    ProbeReply {
        /// The sender's replica.
        replica: ReplicaId,
        /// The snapshot that the group started from or has reached, data left
        /// out; none when the sender holds nothing.
        formed: Option<Snapshot>,
    },
    /// The group's first state, sent when every voter of the settings holds
    /// nothing.
    Form(Snapshot),
    /// Asks the leader to make the sender a member.
    Join(JoinRequest),
}

/// A node's heartbeat to its relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionHeartbeat {
    /// The sender's clock, echoed in the reply.
    pub sent_at: Millis,
    /// State of the node.
    pub report: NodeReport,
    /// Version of the view that it has.
    pub view: ViewVersion,
    /// Version of the listing that it has.
    pub backend_list: Option<BackendListVersion>,
}

/// A relay's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionReply {
    /// The process that sent the heartbeat.
    pub incarnation: u64,
    /// `sent_at` of the heartbeat.
    pub echo: Millis,
    /// How old the relay's configuration may be, in milliseconds; none when no
    /// quorum has confirmed it.
    pub age: Option<Millis>,
    /// The relay's revision.
    pub revision: Revision,
    /// What the node lacks.
    pub update: Option<ConfigurationUpdate>,
    /// Version of the relay's traffic configuration.
    pub traffic_version: Option<TrafficVersion>,
    /// The relay's traffic configuration, where the node's is older.
    pub traffic: Option<TrafficUpdate>,
    /// Revision of the relay's evacuated zones.
    pub evacuations_revision: EvacuationRevision,
    /// The relay's evacuated zones, where the node's are older.
    pub evacuations: Option<SharedEvacuations>,
    /// Revision of the relay's rollouts.
    pub rollouts_revision: RolloutsRevision,
    /// The relay's rollouts, where the node's are older.
    pub rollouts: Option<SharedRollouts>,
    /// Revision of the relay's list of refused requests.
    pub quarantine_revision: QuarantineRevision,
    /// That list, where the node's is older.
    pub quarantine: Option<SharedQuarantineList>,
    /// What the node's view lacks.
    pub view: Option<Box<ViewUpdate>>,
    /// Version of the relay's listing, and how long ago the leader last read the
    /// same, in milliseconds.
    pub backend_list_age: Option<(BackendListVersion, Millis)>,
    /// What the node's listing lacks.
    pub backend_list: Option<BackendListUpdate>,
}

/// Messages of sessions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionMessage {
    /// Node to relay.
    Heartbeat(SessionHeartbeat),
    /// Relay to node.
    Reply(Box<SessionReply>),
    /// Relay to node, at once when the configuration changes.
    PushConfiguration(ConfigurationUpdate),
    /// Relay to node, at once when the traffic configuration changes.
    PushTraffic(TrafficUpdate),
    /// Relay to node, at once when other zones are evacuated.
    PushEvacuations(SharedEvacuations),
    /// Relay to node, at once when a rollout begins, has another directive or ends.
    PushRollouts(SharedRollouts),
    /// Relay to node, at once when other requests are refused or watched.
    PushQuarantine(SharedQuarantineList),
    /// Leader to relays, and relay to node, at once when the list of back ends
    /// changes.
    BackendList(BackendListUpdate),
    /// Leader to relays: it read the list again, and it is unchanged.
    BackendListConfirmed(BackendListVersion),
    /// Relay to leader: the heartbeats of its nodes since the last one.
    Reports {
        /// The heartbeats.
        reports: Vec<NodeReport>,
        /// Version of the view that the relay has.
        view: ViewVersion,
        /// Version of the listing that the relay has.
        backend_list: Option<BackendListVersion>,
    },
    /// Leader to relays, when it changes and to those that have an older one.
    View(ViewUpdate),
    /// Relay to node, at once when services have other owners.
    PushView(ViewUpdate),
}
