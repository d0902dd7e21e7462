//! The actors of one node: how they are put together, and which message goes to
//! which. Real processes and simulated nodes use the same.

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
use crate::session::{RelayActor, SessionActor, SharedEvidence, SharedNodeState, SharedSightings};
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
use silversail_serving::notices::BackendNotices;
use silversail_serving::ports::Protocols;
use stakker::{call, fwd_to, ActorOwn, Fwd};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// What a node's actors share.
#[derive(Clone)]
pub struct ActorContext {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Where the zones lie.
    pub topology: Arc<Topology>,
    /// Sending.
    pub outbox: SharedOutbox,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// The nodes that it knows.
    pub directory: SharedDirectory,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Decisions.
    pub log: DecisionLog,
    /// What pipelines' back ends say of themselves, by address.
    pub stage_notices: BackendNotices,
    /// Time.
    pub clock: Clock,
}

/// What was found where a replica is stored.
pub struct OpenedReplica {
    /// Identity of the stored state.
    pub identity: ReplicaId,
    /// The stored state; none where nothing was.
    pub stored: Option<StoredState>,
    /// Takes the replica's writes.
    pub writer: Box<dyn LogWriter>,
}

/// What the gateway needs of its process.
pub struct GatewayPorts {
    /// The outside protocols.
    pub protocols: Protocols,
    /// Calls to back ends.
    pub calls: Box<dyn GatewayCalls>,
    /// What back ends say of themselves, as the calls hear it.
    pub notices: BackendNotices,
}

/// What differs between real and simulated nodes.
pub trait Platform {
    /// Opens what a replica of `group` has stored.
    fn open_replica(&mut self, group: GroupId) -> Result<OpenedReplica, NodeError>;

    /// A number that differs between nodes and starts.
    fn seed(&mut self) -> u64;

    /// Runs back-end calls; none on a node that serves no requests.
    fn calls(&self) -> Option<Box<dyn StageCalls>>;

    /// Sends orders to engines; none where no orders are given.
    fn order_sender(&self) -> Option<Box<dyn OrderSender>>;

    /// What the gateway needs; none on a node without one.
    fn gateway(&self) -> Option<GatewayPorts> {
        None
    }
}

/// The replicas of a voter.
pub struct VoterActors {
    control: ActorOwn<ReplicaActor<ControlState>>,
    ledgers: Vec<ActorOwn<ReplicaActor<LedgerState>>>,
    relay: ActorOwn<RelayActor>,
    /// What nodes told of rollouts, while this node leads.
    pub evidence: SharedEvidence,
    sightings: SharedSightings,
    machine: Rc<RefCell<ControlState>>,
}

/// The actors of one node.
pub struct NodeActors {
    /// On voters: the replicas and the relay.
    pub voter: Option<VoterActors>,
    /// Proposes to the control group.
    pub control_proposer: ActorOwn<ProposerActor>,
    /// Takes operators' orders on zones; none on a node without a gateway.
    pub evacuation: Option<ActorOwn<EvacuationActor>>,
    /// Takes operators' orders on rollouts; none on a node without a gateway.
    pub rollout: Option<ActorOwn<RolloutActor>>,
    /// On voters: drives rollouts while this node leads.
    pub rollout_leader: Option<ActorOwn<RolloutLeaderActor>>,
    /// On voters: commits crashes while this node leads.
    pub quarantine_leader: Option<ActorOwn<QuarantineLeaderActor>>,
    /// Finds the other nodes.
    pub discovery: ActorOwn<DiscoveryActor>,
    /// Keeps the node in step.
    pub session: ActorOwn<SessionActor>,
    /// Serves requests.
    pub requests: Option<ActorOwn<RequestActor>>,
    /// Orders engines.
    pub orders: Option<ActorOwn<OrderActor>>,
    /// Serves pass-through requests.
    pub gateway: Option<ActorOwn<GatewayActor>>,
    /// Status of the replicas.
    pub statuses: BTreeMap<GroupId, SharedGroupStatus>,
    ledger_proposers: Vec<ActorOwn<ProposerActor>>,
    directory: SharedDirectory,
    outbox: SharedOutbox,
    clock: Clock,
}

impl NodeActors {
    /// Hands a message to the actor that it is for.
    pub fn deliver(&self, envelope: Envelope, now: Instant) {
        let from = envelope.from;
        let now = self.clock.millis(now);
        self.directory.borrow_mut().record_message(&from, now);
        self.outbox
            .borrow_mut()
            .record_message(&from, envelope.incarnation);
        match envelope.message {
            PeerMessage::Group { group, message } => self.deliver_to_group(group, from, message),
            PeerMessage::Session(SessionMessage::Reply(reply)) => {
                call!([self.session], reply(from, *reply));
            }
            PeerMessage::Session(SessionMessage::PushConfiguration(update)) => {
                call!([self.session], push(update));
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
                call!([self.session], push_listing(listing.clone()));
                self.deliver_to_relay(from, SessionMessage::BackendList(listing));
            }
            PeerMessage::Session(message) => self.deliver_to_relay(from, message),
            PeerMessage::Discovery(message) => call!([self.discovery], message(from, message)),
            PeerMessage::Work(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], work(from, message));
                }
            }
            PeerMessage::Limits(LimitMessage::Announce(announcement)) => {
                if let Some(voter) = &self.voter {
                    call!([voter.relay], announce_limit(announcement));
                }
            }
            PeerMessage::Limits(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], limits(from, message));
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
            SessionMessage::View(view) => call!([voter.relay], view(view)),
            SessionMessage::BackendList(listing) => call!([voter.relay], listing(listing)),
            SessionMessage::BackendListConfirmed(version) => {
                call!([voter.relay], listing_confirmed(version));
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
                GroupId::Ledger(part) => self.ledger_proposers.get(usize::from(part)),
            };
            if let Some(proposer) = proposer {
                call!([proposer], reply(proposal, result));
            }
            return;
        }
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], message(from, message)),
            GroupId::Ledger(part) => {
                if let Some(replica) = voter.ledgers.get(usize::from(part)) {
                    call!([replica], message(from, message));
                }
            }
        }
    }

    /// Tells a replica that so many of its oldest writes are synced.
    pub fn synced(&self, group: GroupId, count: usize) {
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], synced(count)),
            GroupId::Ledger(part) => {
                if let Some(replica) = voter.ledgers.get(usize::from(part)) {
                    call!([replica], synced(count));
                }
            }
        }
    }

    /// The state of this node's replica of the control group; none on a node that does not vote.
    pub fn control_state(&self) -> Option<&RefCell<ControlState>> {
        let voter = self.voter.as_ref()?;
        Some(&voter.machine)
    }

    /// The latest accepted changes, as this node's replica knows them; none on
    /// a node that does not vote.
    pub fn history(&self) -> Option<Vec<HistoryEntry>> {
        let machine = self.voter.as_ref()?.machine.borrow();
        Some(machine.configuration.history().cloned().collect())
    }

    /// This node read the list of back ends; on the leader all nodes hear of it.
    pub fn list_read(&self, entries: Vec<BackendListEntry>) {
        if let Some(voter) = &self.voter {
            call!([voter.relay], list_read(entries));
        }
    }

    /// What hands leadership over, by group.
    pub fn leadership_transfers(&self) -> Vec<Fwd<()>> {
        let Some(voter) = &self.voter else {
            return Vec::new();
        };
        let ledgers = voter.ledgers.iter();
        std::iter::once(fwd_to!([voter.control], transfer_leadership() as ()))
            .chain(ledgers.map(|replica| fwd_to!([replica], transfer_leadership() as ())))
            .collect()
    }
}
