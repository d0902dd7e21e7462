//! The actors of one node: their construction, and the dispatch of messages to them. Real
//! processes and simulated nodes share this code.

mod builder;

pub use builder::ActorBuilder;

use crate::calls::{OrderSender, StageCalls};
use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::discovery::DiscoveryActor;
use crate::evacuation::EvacuationActor;
use crate::gateway::{GatewayActor, GatewayCalls};
use crate::metrics::Metrics;
use crate::node::NodeError;
use crate::orders::OrderActor;
use crate::outbox::SharedOutbox;
use crate::quarantine::QuarantineLeaderActor;
use crate::replica::{LogWriter, ProposerActor, ReplicaActor, SharedGroupStatus};
use crate::requests::RequestActor;
use crate::rollout::{RolloutActor, RolloutLeaderActor};
use crate::session::{
    RelayActor, SessionActor, SharedAttributeEvidence, SharedCrashTable, SharedEvidence,
    SharedNodeState,
};
use crate::settings::Settings;
use silversail_consensus::{ReplicaId, StoredState};
use silversail_control::configuration_state::HistoryEntry;
use silversail_control::ControlState;
use silversail_decisions::DecisionLog;
use silversail_ledger::LedgerState;
use silversail_limits::LimitMessage;
use silversail_model::{NodeName, Topology};
use silversail_peer::{
    BackendListEntry, Envelope, GroupId, GroupMessage, PeerMessage, SessionMessage,
};
use silversail_quarantine::AttributeMessage;
use silversail_serving::notices::BackendNotices;
use silversail_serving::ports::Protocols;
use stakker::{call, fwd_to, ActorOwn, Fwd};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Dependencies that all actors of a node share.
#[derive(Clone)]
pub struct ActorContext {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Zones with their regions.
    pub topology: Arc<Topology>,
    /// Sends messages to peers.
    pub outbox: SharedOutbox,
    /// Configuration, view and other replicated state that the node applies.
    pub state: SharedNodeState,
    /// The known nodes.
    pub directory: SharedDirectory,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Decision log of the process.
    pub log: DecisionLog,
    /// Notices of pipelines' back ends about themselves, by address.
    pub stage_notices: BackendNotices,
    /// Clock of the process.
    pub clock: Clock,
}

/// An opened replica: its stored state, and the writer to its storage.
pub struct OpenedReplica {
    /// Identity that is stored with the state.
    pub identity: ReplicaId,
    /// The stored state; none if the storage was empty.
    pub stored: Option<StoredState>,
    /// Persists the replica's log and snapshots.
    pub writer: Box<dyn LogWriter>,
}

/// Dependencies of the gateway on its process.
pub struct GatewayPorts {
    /// Codecs of the external protocols.
    pub protocols: Protocols,
    /// Sends calls to back ends.
    pub calls: Box<dyn GatewayCalls>,
    /// Notices of back ends about themselves, recorded from their answers.
    pub notices: BackendNotices,
}

/// Environment of a node: storage, randomness and calls, real or simulated.
pub trait Platform {
    /// Opens the storage of this node's replica of `group`.
    ///
    /// # Errors
    /// If the storage can't be read or is corrupt.
    fn open_replica(&mut self, group: GroupId) -> Result<OpenedReplica, NodeError>;

    /// A random seed that differs between nodes and between starts.
    fn seed(&mut self) -> u64;

    /// Runs stage calls; none on a node that serves no requests.
    fn calls(&self) -> Option<Box<dyn StageCalls>>;

    /// Sends orders to engines; none on a platform without orders.
    fn order_sender(&self) -> Option<Box<dyn OrderSender>>;

    /// Dependencies of the gateway; none on a node without one.
    fn gateway(&self) -> Option<GatewayPorts> {
        None
    }
}

/// The replicas and the relay of a voter.
pub struct VoterActors {
    control: ActorOwn<ReplicaActor<ControlState>>,
    ledgers: Vec<ActorOwn<ReplicaActor<LedgerState>>>,
    relay: ActorOwn<RelayActor>,
    /// Evidence on rollouts that nodes reported, while this node leads.
    pub evidence: SharedEvidence,
    crash_table: SharedCrashTable,
    attribute_evidence: SharedAttributeEvidence,
    control_state: Rc<RefCell<ControlState>>,
}

/// Owns the actors of one node and dispatches messages to them.
pub struct NodeActors {
    /// The replicas and the relay; none on a node that does not vote.
    pub voter: Option<VoterActors>,
    /// Proposes commands to the control group.
    pub control_proposer: ActorOwn<ProposerActor>,
    /// Handles operators' requests to evacuate zones; none on a node without a gateway.
    pub evacuation: Option<ActorOwn<EvacuationActor>>,
    /// Handles operators' rollout orders; none on a node without a gateway.
    pub rollout: Option<ActorOwn<RolloutActor>>,
    /// On voters: controls rollouts while this node leads.
    pub rollout_leader: Option<ActorOwn<RolloutLeaderActor>>,
    /// On voters: commits crash reports while this node leads.
    pub quarantine_leader: Option<ActorOwn<QuarantineLeaderActor>>,
    /// Exchanges contacts with the other nodes.
    pub discovery: ActorOwn<DiscoveryActor>,
    /// Sends heartbeats to the relay and applies replicated state.
    pub session: ActorOwn<SessionActor>,
    /// Serves pipeline requests; none on a node that serves no requests.
    pub requests: Option<ActorOwn<RequestActor>>,
    /// On voters: issues orders to engines while this node leads.
    pub orders: Option<ActorOwn<OrderActor>>,
    /// Serves pass-through requests; none on a node without a gateway.
    pub gateway: Option<ActorOwn<GatewayActor>>,
    /// Status of this node's replicas, by group.
    pub statuses: BTreeMap<GroupId, SharedGroupStatus>,
    ledger_proposers: Vec<ActorOwn<ProposerActor>>,
    directory: SharedDirectory,
    outbox: SharedOutbox,
    clock: Clock,
}

impl NodeActors {
    /// Delivers a message to the actor that handles it.
    pub fn deliver(&self, envelope: Envelope, now: Instant) {
        let from = envelope.from;
        let now = self.clock.millis(now);
        self.directory.borrow_mut().record_message(&from, now);
        self.outbox
            .borrow_mut()
            .record_message(&from, envelope.incarnation, envelope.version);
        match envelope.message {
            PeerMessage::Group { group, message } => self.deliver_to_group(group, from, message),
            PeerMessage::Session(SessionMessage::Reply(reply)) => {
                call!([self.session], handle_reply(from, *reply));
            }
            PeerMessage::Session(SessionMessage::PushConfiguration(update)) => {
                call!([self.session], push_configuration(update));
            }
            PeerMessage::Session(SessionMessage::PushTraffic(traffic)) => {
                call!([self.session], push_traffic(traffic));
            }
            PeerMessage::Session(SessionMessage::PushEvacuations(evacuations)) => {
                call!([self.session], push_evacuations(evacuations));
            }
            PeerMessage::Session(SessionMessage::PushRollouts(rollouts)) => {
                call!([self.session], push_rollouts(rollouts));
            }
            PeerMessage::Session(SessionMessage::PushQuarantine(list)) => {
                call!([self.session], push_quarantine(list));
            }
            PeerMessage::Session(SessionMessage::PushView(view)) => {
                call!([self.session], push_view(view))
            }
            PeerMessage::Session(SessionMessage::BackendList(listing)) => {
                call!([self.session], push_backend_list(listing.clone()));
                self.deliver_to_relay(from, SessionMessage::BackendList(listing));
            }
            PeerMessage::Session(message) => self.deliver_to_relay(from, message),
            PeerMessage::Discovery(message) => {
                call!([self.discovery], handle_message(from, message))
            }
            PeerMessage::Work(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], handle_work_message(from, message));
                }
            }
            PeerMessage::Streams(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], handle_stream_message(from, message));
                }
            }
            PeerMessage::Attributes(AttributeMessage::Watch(watched)) => {
                call!([self.session], watch_attributes(from, watched));
            }
            PeerMessage::Attributes(AttributeMessage::Report(report)) => {
                if let Some(voter) = &self.voter {
                    call!([voter.relay], attribute_report(report));
                }
            }
            PeerMessage::Limits(LimitMessage::Announce(announcement)) => {
                if let Some(voter) = &self.voter {
                    call!([voter.relay], announce_limit(announcement));
                }
            }
            PeerMessage::Limits(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], handle_limit_message(from, message));
                }
            }
        }
    }

    fn deliver_to_relay(&self, from: NodeName, message: SessionMessage) {
        let Some(voter) = &self.voter else {
            return;
        };
        match message {
            SessionMessage::Heartbeat(heartbeat) => {
                call!([voter.relay], heartbeat(from, heartbeat));
            }
            SessionMessage::Reports {
                reports,
                view,
                backend_list: listing,
            } => {
                call!([voter.relay], reports(from, reports, view, listing));
            }
            SessionMessage::View(view) => call!([voter.relay], view_update(view)),
            SessionMessage::BackendList(listing) => {
                call!([voter.relay], backend_list_update(listing))
            }
            SessionMessage::BackendListConfirmed(version) => {
                call!([voter.relay], backend_list_confirmed(version));
            }
            SessionMessage::Reply(_)
            | SessionMessage::PushConfiguration(_)
            | SessionMessage::PushTraffic(_)
            | SessionMessage::PushEvacuations(_)
            | SessionMessage::PushRollouts(_)
            | SessionMessage::PushQuarantine(_)
            | SessionMessage::PushView(_) => {}
        }
    }

    fn deliver_to_group(&self, group: GroupId, from: NodeName, message: GroupMessage) {
        if let GroupMessage::ProposeReply { proposal, result } = message {
            let proposer = match group {
                GroupId::Control => Some(&self.control_proposer),
                GroupId::Ledger(index) => self.ledger_proposers.get(usize::from(index)),
            };
            if let Some(proposer) = proposer {
                call!([proposer], handle_reply(proposal, result));
            }
            return;
        }
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], handle_message(from, message)),
            GroupId::Ledger(index) => {
                if let Some(replica) = voter.ledgers.get(usize::from(index)) {
                    call!([replica], handle_message(from, message));
                }
            }
        }
    }

    /// Reports to a group's replica that its `count` oldest writes are synced.
    pub fn synced(&self, group: GroupId, count: usize) {
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], synced(count)),
            GroupId::Ledger(index) => {
                if let Some(replica) = voter.ledgers.get(usize::from(index)) {
                    call!([replica], synced(count));
                }
            }
        }
    }

    /// State of this node's replica of the control group; none on a node that does not vote.
    pub fn control_state(&self) -> Option<&RefCell<ControlState>> {
        let voter = self.voter.as_ref()?;
        Some(&voter.control_state)
    }

    /// The latest accepted configuration changes in this node's replica; none on a node that
    /// does not vote.
    pub fn history(&self) -> Option<Vec<HistoryEntry>> {
        let control_state = self.voter.as_ref()?.control_state.borrow();
        Some(control_state.configuration.history().cloned().collect())
    }

    /// Passes a backend list that this node read to its relay, which distributes it to all nodes
    /// on the leader.
    pub fn list_read(&self, entries: Vec<BackendListEntry>) {
        if let Some(voter) = &self.voter {
            call!([voter.relay], backend_list_read(entries));
        }
    }

    /// Callbacks that transfer leadership to another node, one for each of this node's replicas.
    pub fn leadership_transfers(&self) -> Vec<Fwd<()>> {
        let Some(voter) = &self.voter else {
            return Vec::new();
        };
        let ledger_replicas = voter.ledgers.iter();
        std::iter::once(fwd_to!([voter.control], transfer_leadership() as ()))
            .chain(ledger_replicas.map(|replica| fwd_to!([replica], transfer_leadership() as ())))
            .collect()
    }
}
