//! The actors of one node: how they are put together, and which message goes to
//! which. Real processes and simulated nodes use the same.

use crate::calls::{Calls, OrderSender};
use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::discovery::DiscoveryActor;
use crate::evacuation::{EvacuationActor, EvacuationSetup};
use crate::gateway::{GatewayActor, GatewayCalls, GatewaySetup};
use crate::metrics::Metrics;
use crate::node::NodeError;
use crate::orders::{OrderActor, OrderSetup};
use crate::outbox::SharedOutbox;
use crate::replica::{LogWriter, ProposerActor, ReplicaActor, ReplicaSetup, SharedStatus};
use crate::requests::{RequestActor, RequestSetup};
use crate::session::{RelayActor, RelaySetup, SessionActor, SessionSetup, SharedNodeState};
use crate::settings::Settings;
use silversail_consensus::{ReplicaId, StateMachine, StoredState};
use silversail_control::configuration_state::HistoryEntry;
use silversail_control::ControlState;
use silversail_decisions::DecisionLog;
use silversail_ledger::LedgerState;
use silversail_model::NodeName;
use silversail_peer::{
    Envelope, GroupId, GroupMessage, ListedInstance, PeerMessage, SessionMessage,
};
use silversail_serving::ports::Protocols;
use stakker::{actor, call, fwd, fwd_do, fwd_nop, fwd_to, ret_nop, Actor, ActorOwn, Fwd, Stakker};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a node's actors share.
#[derive(Clone)]
pub struct ActorContext {
    /// Settings of the process.
    pub settings: Arc<Settings>,
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
    /// Time.
    pub clock: Clock,
}

/// What was found where a replica is stored.
pub struct ReplicaFiles {
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
}

/// What differs between real and simulated nodes.
pub trait Platform {
    /// Opens what a replica of `group` has stored.
    fn open_replica(&mut self, group: GroupId) -> Result<ReplicaFiles, NodeError>;

    /// A number that differs between nodes and starts.
    fn seed(&mut self) -> u64;

    /// Runs back-end calls; none on a node that serves no requests.
    fn calls(&self) -> Option<Box<dyn Calls>>;

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
    pub statuses: BTreeMap<GroupId, SharedStatus>,
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
        self.directory.borrow_mut().heard(&from, now);
        self.outbox.borrow_mut().heard(&from, envelope.incarnation);
        match envelope.message {
            PeerMessage::Group { group, message } => self.deliver_to_group(group, from, message),
            PeerMessage::Session(SessionMessage::Reply(reply)) => {
                call!([self.session], reply(reply));
            }
            PeerMessage::Session(SessionMessage::Push(update)) => {
                call!([self.session], push(update));
            }
            PeerMessage::Session(SessionMessage::PushTraffic(traffic)) => {
                call!([self.session], push_traffic(traffic));
            }
            PeerMessage::Session(SessionMessage::PushEvacuations(evacuations)) => {
                call!([self.session], push_evacuations(evacuations));
            }
            PeerMessage::Session(SessionMessage::PushView(view)) => {
                call!([self.session], push_view(view))
            }
            PeerMessage::Session(SessionMessage::Listing(listing)) => {
                call!([self.session], push_listing(listing.clone()));
                self.deliver_to_relay(from, SessionMessage::Listing(listing));
            }
            PeerMessage::Session(message) => self.deliver_to_relay(from, message),
            PeerMessage::Discovery(message) => call!([self.discovery], message(from, message)),
            PeerMessage::Work(message) => {
                if let Some(gateway) = &self.gateway {
                    call!([gateway], work(from, message));
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
                listing,
            } => {
                call!([voter.relay], reports(from, reports, view, listing));
            }
            SessionMessage::View(view) => call!([voter.relay], view(view)),
            SessionMessage::Listing(listing) => call!([voter.relay], listing(listing)),
            SessionMessage::ListingConfirmed(version) => {
                call!([voter.relay], listing_confirmed(version));
            }
            SessionMessage::Reply(_)
            | SessionMessage::Push(_)
            | SessionMessage::PushTraffic(_)
            | SessionMessage::PushEvacuations(_)
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

    /// The latest accepted changes, as this node's replica knows them; none on
    /// a node that does not vote.
    pub fn history(&self) -> Option<Vec<HistoryEntry>> {
        let machine = self.voter.as_ref()?.machine.borrow();
        Some(machine.configuration.history().cloned().collect())
    }

    /// This node read the list of back ends; on the leader all nodes hear of it.
    pub fn list_read(&self, entries: Vec<ListedInstance>) {
        if let Some(voter) = &self.voter {
            call!([voter.relay], list_read(entries));
        }
    }

    /// What hands leadership over, by group.
    pub fn hand_overs(&self) -> Vec<Fwd<()>> {
        let Some(voter) = &self.voter else {
            return Vec::new();
        };
        let ledgers = voter.ledgers.iter();
        std::iter::once(fwd_to!([voter.control], hand_over() as ()))
            .chain(ledgers.map(|replica| fwd_to!([replica], hand_over() as ())))
            .collect()
    }
}

/// Puts a node's actors together.
pub struct ActorBuilder<'a, P> {
    stakker: &'a mut Stakker,
    context: ActorContext,
    platform: &'a mut P,
    statuses: BTreeMap<GroupId, SharedStatus>,
}

impl<'a, P: Platform> ActorBuilder<'a, P> {
    /// A builder of actors on `stakker`.
    pub fn new(stakker: &'a mut Stakker, context: ActorContext, platform: &'a mut P) -> Self {
        Self {
            stakker,
            context,
            platform,
            statuses: BTreeMap::new(),
        }
    }

    /// Opens the replicas and starts all actors.
    pub fn build(mut self) -> Result<NodeActors, NodeError> {
        let settings = self.context.settings.clone();
        let voter = match settings.is_voter() {
            true => Some(self.voter()?),
            false => None,
        };
        let control_proposer = self.proposer(GroupId::Control);
        let ledger_proposers: Vec<ActorOwn<ProposerActor>> = (0..settings.cluster.ledger_groups)
            .map(|part| self.proposer(GroupId::Ledger(part)))
            .collect();
        let requests = self.requests(&ledger_proposers);
        let relay = voter.as_ref().map(|voter| (*voter.relay).clone());
        let evacuation = self.evacuation(&control_proposer);
        let gateway = self.gateway(&control_proposer, evacuation.as_ref(), relay);
        let session = self.session(requests.as_ref(), gateway.as_ref());
        let orders = voter
            .as_ref()
            .and_then(|voter| self.orders(voter, &control_proposer));
        let discovery = self.discovery();
        Ok(NodeActors {
            discovery,
            directory: self.context.directory,
            outbox: self.context.outbox,
            clock: self.context.clock,
            voter,
            control_proposer,
            evacuation,
            session,
            requests,
            orders,
            gateway,
            statuses: self.statuses,
            ledger_proposers,
        })
    }

    fn status_of(&mut self, group: GroupId) -> SharedStatus {
        self.statuses.entry(group).or_default().clone()
    }

    fn voter(&mut self) -> Result<VoterActors, NodeError> {
        let settings = self.context.settings.clone();
        let machine = Rc::new(RefCell::new(ControlState::default()));
        let setup = RelaySetup {
            directory: self.context.directory.clone(),
            machine: machine.clone(),
            status: self.status_of(GroupId::Control),
            outbox: self.context.outbox.clone(),
            node_lease: settings.timing.node_lease_ms,
            clock: self.context.clock,
        };
        let relay = actor!(self.stakker, RelayActor::init(setup), ret_nop!());
        let on_applied = fwd_to!([relay], configuration_applied() as ());
        let control = self.replica(GroupId::Control, machine.clone(), on_applied)?;
        let mut ledgers = Vec::new();
        for part in 0..settings.cluster.ledger_groups {
            let ledger = LedgerState::new(settings.timing.ledger_retention_ms);
            let ledger = Rc::new(RefCell::new(ledger));
            ledgers.push(self.replica(GroupId::Ledger(part), ledger, fwd_nop!())?);
        }
        Ok(VoterActors {
            control,
            ledgers,
            relay,
            machine,
        })
    }

    fn replica<M: StateMachine + 'static>(
        &mut self,
        group: GroupId,
        machine: Rc<RefCell<M>>,
        on_applied: Fwd<()>,
    ) -> Result<ActorOwn<ReplicaActor<M>>, NodeError> {
        let files = self.platform.open_replica(group)?;
        let settings = &self.context.settings;
        let setup = ReplicaSetup {
            group,
            node: settings.node.clone(),
            replica: files.identity,
            directory: self.context.directory.clone(),
            stored: files.stored,
            config: settings.consensus_config(),
            seed: self.platform.seed(),
            machine,
            status: self.status_of(group),
            outbox: self.context.outbox.clone(),
            writer: files.writer,
            on_applied,
            clock: self.context.clock,
        };
        Ok(actor!(
            self.stakker,
            <ReplicaActor<M>>::init(setup),
            ret_nop!()
        ))
    }

    fn discovery(&mut self) -> ActorOwn<DiscoveryActor> {
        let context = &self.context;
        let (directory, outbox) = (context.directory.clone(), context.outbox.clone());
        let clock = context.clock;
        actor!(
            self.stakker,
            DiscoveryActor::init(directory, outbox, clock),
            ret_nop!()
        )
    }

    fn proposer(&mut self, group: GroupId) -> ActorOwn<ProposerActor> {
        let directory = self.context.directory.clone();
        let outbox = self.context.outbox.clone();
        let metrics = self.context.metrics.clone();
        actor!(
            self.stakker,
            ProposerActor::init(group, directory, outbox, metrics),
            ret_nop!()
        )
    }

    fn requests(&mut self, ledgers: &[ActorOwn<ProposerActor>]) -> Option<ActorOwn<RequestActor>> {
        let calls = self.platform.calls()?;
        let context = &self.context;
        let setup = RequestSetup {
            settings: context.settings.clone(),
            node: context.settings.node.clone(),
            incarnation: context.outbox.borrow().incarnation(),
            state: context.state.clone(),
            ledgers: ledgers.iter().map(|ledger| (**ledger).clone()).collect(),
            calls,
            metrics: context.metrics.clone(),
            clock: context.clock,
            seed: self.platform.seed(),
        };
        Some(actor!(self.stakker, RequestActor::init(setup), ret_nop!()))
    }

    fn evacuation(
        &mut self,
        proposer: &ActorOwn<ProposerActor>,
    ) -> Option<ActorOwn<EvacuationActor>> {
        let context = &self.context;
        let setup = EvacuationSetup {
            zones: context.settings.gateway.as_ref()?.zones.clone(),
            state: context.state.clone(),
            proposer: (**proposer).clone(),
            log: context.log.clone(),
        };
        Some(actor!(
            self.stakker,
            EvacuationActor::init(setup),
            ret_nop!()
        ))
    }

    fn gateway(
        &mut self,
        proposer: &ActorOwn<ProposerActor>,
        evacuation: Option<&ActorOwn<EvacuationActor>>,
        relay: Option<Actor<RelayActor>>,
    ) -> Option<ActorOwn<GatewayActor>> {
        let control = self.status_of(GroupId::Control);
        let ports = self.platform.gateway()?;
        let context = &self.context;
        let setup = GatewaySetup {
            settings: context.settings.gateway.clone()?,
            zone: context.settings.own_node().zone.clone(),
            state: context.state.clone(),
            directory: context.directory.clone(),
            outbox: context.outbox.clone(),
            proposer: (**proposer).clone(),
            evacuation: (**evacuation?).clone(),
            relay,
            control,
            protocols: ports.protocols,
            calls: ports.calls,
            log: context.log.clone(),
            metrics: context.metrics.clone(),
            clock: context.clock,
        };
        Some(actor!(self.stakker, GatewayActor::init(setup), ret_nop!()))
    }

    fn session(
        &mut self,
        requests: Option<&ActorOwn<RequestActor>>,
        gateway: Option<&ActorOwn<GatewayActor>>,
    ) -> ActorOwn<SessionActor> {
        let tell_requests: Fwd<()> = match requests {
            Some(requests) => fwd_to!([requests], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let tell_gateway: Fwd<()> = match gateway {
            Some(gateway) => fwd_to!([gateway], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let on_change = fwd_do!(move |_: ()| {
            fwd!([tell_requests], ());
            fwd!([tell_gateway], ());
        });
        let context = &self.context;
        let settings = &context.settings;
        let setup = SessionSetup {
            directory: context.directory.clone(),
            zone: settings.own_node().zone.clone(),
            caller_address: settings.own_node().callers.clone(),
            processor_percent: settings.processor_percent(),
            heartbeat: Duration::from_millis(settings.timing.session_heartbeat_ms),
            freshness_lease: settings.timing.freshness_lease_ms,
            state: context.state.clone(),
            outbox: context.outbox.clone(),
            metrics: context.metrics.clone(),
            on_change,
            clock: context.clock,
        };
        actor!(self.stakker, SessionActor::init(setup), ret_nop!())
    }

    fn orders(
        &mut self,
        voter: &VoterActors,
        proposer: &ActorOwn<ProposerActor>,
    ) -> Option<ActorOwn<OrderActor>> {
        let sender = self.platform.order_sender()?;
        let timing = self.context.settings.timing.clone();
        let setup = OrderSetup {
            machine: voter.machine.clone(),
            status: self.status_of(GroupId::Control),
            state: self.context.state.clone(),
            proposer: (**proposer).clone(),
            sender,
            leader_lease: timing.election_timeout_ms,
            weight_store_mb_per_s: timing.weight_store_mb_per_s,
            clock: self.context.clock,
        };
        Some(actor!(self.stakker, OrderActor::init(setup), ret_nop!()))
    }
}
