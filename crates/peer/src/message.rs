//! Messages exchanged between silversail processes.

use crate::backend_list::BackendListVersion;
use crate::backend_list_update::BackendListUpdate;
use crate::discovery::DiscoveryMessage;
use crate::streams::StreamMessage;
use crate::work::WorkMessage;
use serde::{Deserialize, Serialize};
use silversail_consensus::{JoinRequest, Message, Millis, ReplicaId, Snapshot};
use silversail_control::{
    ConfigurationUpdate, EvacuationRevision, NodeReport, RolloutsRevision, SharedEvacuations,
    SharedRollouts, TrafficUpdate, ViewUpdate, ViewVersion,
};
use silversail_limits::LimitMessage;
use silversail_model::{NodeName, Revision, TrafficVersion};
use silversail_quarantine::{AttributeMessage, QuarantineRevision, SharedQuarantineList};
use std::fmt;

/// Version of the message format. Messages of version 6 are translated, those of others dropped.
pub const PROTOCOL_VERSION: u8 = 9;
/// Version that added [`PeerMessage::Streams`]. The other messages are the same as in version 9 and
/// are sent in that, so that builds of version 9 read them; they drop those of this version.
pub const STREAMS_VERSION: u8 = 10;

/// Version that added [`PeerMessage::Attributes`]; builds of earlier versions drop them likewise.
pub const ATTRIBUTES_VERSION: u8 = 11;

/// A message with its sender and cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version in which the message was encoded.
    pub version: u8,
    /// Cluster name from the sender's settings.
    pub cluster: String,
    /// Name of the sending node.
    pub from: NodeName,
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// The message itself.
    pub message: PeerMessage,
}

/// A replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// The group that replicates the configuration.
    Control,
    /// The group of one partition of the claim ledger; keys are assigned to partitions by hash.
    Ledger(u16),
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Control => formatter.write_str("control"),
            GroupId::Ledger(partition) => write!(formatter, "ledger-{partition}"),
        }
    }
}

/// Content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of a replication group.
    Group {
        /// Identifier of the replication group.
        group: GroupId,
        /// Message for the group's replica on the receiving node.
        message: GroupMessage,
    },
    /// A message of the session between a node and its relay, or of a relay and the leader.
    Session(SessionMessage),
    /// A message of the discovery protocol.
    Discovery(DiscoveryMessage),
    /// A message about batch work that one node submits to another.
    Work(WorkMessage),
    /// A message about cluster-wide rate limits of back ends.
    Limits(LimitMessage),
    /// A message about the beginnings of streams.
    Streams(StreamMessage),
    /// A message about attributes of requests that crash back ends.
    Attributes(AttributeMessage),
}

impl PeerMessage {
    /// The lowest version that has this message.
    pub fn version(&self) -> u8 {
        match self {
            PeerMessage::Streams(_) => STREAMS_VERSION,
            PeerMessage::Attributes(_) => ATTRIBUTES_VERSION,
            _ => PROTOCOL_VERSION,
        }
    }
}

/// Messages of a replication group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A consensus message between replicas.
    Consensus {
        /// Random identifier set when the group was formed; messages with another one are
        /// dropped.
        cluster_id: u64,
        /// Message of the consensus protocol.
        message: Message,
    },
    /// A message from or to a replica that is not a member yet.
    Formation(FormationMessage),
    /// Requests that the leader commits a command.
    Propose {
        /// Identifier of the proposal, unique at the sender.
        proposal: u64,
        /// Encoded command of the state machine.
        command: Vec<u8>,
    },
    /// Reply to [`GroupMessage::Propose`].
    ProposeReply {
        /// Identifier from the proposal.
        proposal: u64,
        /// Outcome of the proposal.
        result: ProposalResult,
    },
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// The command was committed and applied; holds the state machine's encoded reply.
    Applied(Vec<u8>),
    /// The receiver is not the leader; holds the leader if it is known.
    NotLeader(Option<NodeName>),
    /// The log entry was overwritten by another leader's entry and was not committed.
    Superseded,
}

/// Messages for forming a group and for adding a replica with an empty disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FormationMessage {
    /// Requests the state of the receiver.
    Probe {
        /// Replica identity of the sender.
        replica: ReplicaId,
    },
    /// Announces that the sender's disk is empty, so that earlier replicas of its node are lost.
    StorageEmpty {
        /// Replica identity of the sender.
        replica: ReplicaId,
    },
    /// Reply to [`FormationMessage::Probe`].
    ProbeReply {
        /// Replica identity of the sender.
        replica: ReplicaId,
        /// Initial or latest snapshot of the group without its data; none if the sender has no
        /// state.
        formed: Option<Snapshot>,
    },
    /// Initial snapshot of the group, sent when no voter in the settings has any state.
    Form(Snapshot),
    /// Requests that the leader adds the sender as a member.
    Join(JoinRequest),
}

/// Heartbeat of a node to its relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionHeartbeat {
    /// Sender's clock at the time of sending; returned in the reply.
    pub sent_at: Millis,
    /// Status report of the node.
    pub report: NodeReport,
    /// Version of the node's membership view.
    pub view: ViewVersion,
    /// Version of the node's back-end list.
    pub backend_list: Option<BackendListVersion>,
}

/// Reply of a relay to a heartbeat, with the state that the node does not have yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionReply {
    /// Incarnation of the process that sent the heartbeat.
    pub incarnation: u64,
    /// `sent_at` from the heartbeat.
    pub echo: Millis,
    /// Maximum age of the relay's configuration, in milliseconds; none if no quorum has
    /// confirmed it.
    pub age: Option<Millis>,
    /// Revision of the relay's configuration.
    pub revision: Revision,
    /// Configuration changes that the node does not have.
    pub update: Option<ConfigurationUpdate>,
    /// Version of the relay's traffic configuration.
    pub traffic_version: Option<TrafficVersion>,
    /// Traffic configuration changes, if the node's version is older.
    pub traffic: Option<TrafficUpdate>,
    /// Revision of the relay's set of evacuated zones.
    pub evacuations_revision: EvacuationRevision,
    /// Evacuated zones, if the node's revision is older.
    pub evacuations: Option<SharedEvacuations>,
    /// Revision of the relay's rollouts.
    pub rollouts_revision: RolloutsRevision,
    /// Rollouts, if the node's revision is older.
    pub rollouts: Option<SharedRollouts>,
    /// Revision of the relay's quarantine list.
    pub quarantine_revision: QuarantineRevision,
    /// Quarantine list, if the node's revision is older.
    pub quarantine: Option<SharedQuarantineList>,
    /// Changes of the membership view that the node does not have.
    pub view: Option<Box<ViewUpdate>>,
    /// Version of the relay's back-end list, and the time since the leader last confirmed it,
    /// in milliseconds.
    pub backend_list_age: Option<(BackendListVersion, Millis)>,
    /// Changes of the back-end list that the node does not have.
    pub backend_list: Option<BackendListUpdate>,
}

/// Messages of the sessions between nodes, relays and the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionMessage {
    /// Node to relay: periodic heartbeat.
    Heartbeat(SessionHeartbeat),
    /// Relay to node: reply to a heartbeat.
    Reply(Box<SessionReply>),
    /// Relay to node: sent immediately when the configuration changes.
    PushConfiguration(ConfigurationUpdate),
    /// Relay to node: sent immediately when the traffic configuration changes.
    PushTraffic(TrafficUpdate),
    /// Relay to node: sent immediately when the set of evacuated zones changes.
    PushEvacuations(SharedEvacuations),
    /// Relay to node: sent immediately when a rollout begins, gets a new directive or ends.
    PushRollouts(SharedRollouts),
    /// Relay to node: sent immediately when the quarantine list changes.
    PushQuarantine(SharedQuarantineList),
    /// Leader to relays, and relay to node: sent immediately when the back-end list changes.
    BackendList(BackendListUpdate),
    /// Leader to relays: a new read of the back-end list found no change.
    BackendListConfirmed(BackendListVersion),
    /// Relay to leader: status reports received since the previous message.
    Reports {
        /// Status reports of the relay's nodes.
        reports: Vec<NodeReport>,
        /// Version of the relay's membership view.
        view: ViewVersion,
        /// Version of the relay's back-end list.
        backend_list: Option<BackendListVersion>,
    },
    /// Leader to relays: membership view changes, also for relays with an older version.
    View(ViewUpdate),
    /// Relay to node: sent immediately when the batching node of a service changes.
    PushView(ViewUpdate),
}
