//! One simulated node: the daemon's actors on a `Stakker` of its own, so that
//! it can be frozen or crash alone.

use crate::calls::{CallDesk, SimulatedCalls};
use crate::disk::{SharedDisk, SimulatedWriter};
use crate::network::{SharedNetwork, SimulatedTransport};
use silversail_consensus::{Millis, ReplicaId, StateMachine};
use silversail_control::ControlState;
use silversail_daemon::clock::Clock;
use silversail_daemon::metrics::Metrics;
use silversail_daemon::outbox::{Outbox, SharedOutbox};
use silversail_daemon::replica::{ProposerActor, ReplicaActor, ReplicaSetup, SharedStatus};
use silversail_daemon::requests::{RequestActor, RequestSetup};
use silversail_daemon::session::{
    RelayActor, RelaySetup, SessionActor, SessionSetup, SharedNodeState,
};
use silversail_daemon::Settings;
use silversail_ledger::LedgerState;
use silversail_model::NodeName;
use silversail_peer::{Envelope, GroupId, GroupMessage, PeerMessage, SessionMessage};
use stakker::{actor, call, fwd_nop, fwd_to, ret_nop, ActorOwn, Fwd, Stakker};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a node is made of, kept over its restarts.
#[derive(Clone)]
pub struct NodeParts {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its disks, by group; empty on nodes that do not vote.
    pub disks: BTreeMap<GroupId, SharedDisk>,
    /// The network.
    pub network: SharedNetwork,
    /// Its calls.
    pub desk: Rc<RefCell<CallDesk>>,
    /// Whether it serves requests, or only keeps in step.
    pub is_hollow: bool,
}

struct Voter {
    control: ActorOwn<ReplicaActor<ControlState>>,
    ledgers: Vec<ActorOwn<ReplicaActor<LedgerState>>>,
    relay: ActorOwn<RelayActor>,
}

/// A running process.
pub struct SimulatedNode {
    /// The actors' runtime.
    pub stakker: Stakker,
    /// What it has in force.
    pub state: SharedNodeState,
    /// Status of its replicas.
    pub statuses: BTreeMap<GroupId, SharedStatus>,
    /// Its process number.
    pub incarnation: u64,
    /// Proposes changes.
    pub proposer: ActorOwn<ProposerActor>,
    /// Serves requests.
    pub requests: Option<ActorOwn<RequestActor>>,
    /// Its time.
    pub clock: Clock,
    ledger_proposers: Vec<ActorOwn<ProposerActor>>,
    session: ActorOwn<SessionActor>,
    voter: Option<Voter>,
}

/// Puts one process together.
struct Builder<'a> {
    parts: &'a NodeParts,
    stakker: Stakker,
    clock: Clock,
    metrics: Arc<Metrics>,
    outbox: SharedOutbox,
    statuses: BTreeMap<GroupId, SharedStatus>,
    seed: u64,
}

impl SimulatedNode {
    /// Starts a process at `now`; `epoch` is the instant of time zero.
    pub fn start(parts: &NodeParts, epoch: Instant, now: Millis, seed: u64) -> Self {
        let start = epoch + Duration::from_millis(now);
        let metrics = Arc::new(Metrics::new());
        let incarnation = now + 1;
        let settings = &parts.settings;
        let loopback = parts.network.clone();
        let node = settings.node.clone();
        let outbox = Outbox::new(
            settings.cluster.name.clone(),
            settings.node.clone(),
            incarnation,
            Box::new(SimulatedTransport(parts.network.clone())),
            Box::new(move |envelope| loopback.borrow_mut().send(node.clone(), envelope)),
            metrics.clone(),
        );
        let builder = Builder {
            parts,
            stakker: Stakker::new(start),
            clock: Clock::new(start),
            metrics,
            outbox: Rc::new(RefCell::new(outbox)),
            statuses: BTreeMap::new(),
            seed,
        };
        builder.build(incarnation)
    }

    /// Hands a message to the actor that it is for.
    pub fn deliver(&mut self, envelope: Envelope) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Group { group, message } => self.deliver_to_group(group, from, message),
            PeerMessage::Session(SessionMessage::Reply(reply)) => {
                call!([self.session], reply(reply));
            }
            PeerMessage::Session(SessionMessage::Push(update)) => {
                call!([self.session], push(update));
            }
            PeerMessage::Session(message) => self.deliver_to_relay(from, message),
        }
    }

    fn deliver_to_relay(&mut self, from: NodeName, message: SessionMessage) {
        let Some(voter) = &self.voter else {
            return;
        };
        match message {
            SessionMessage::Heartbeat(heartbeat) => {
                call!([voter.relay], heartbeat(from, heartbeat));
            }
            SessionMessage::Reports(reports) => call!([voter.relay], reports(reports)),
            SessionMessage::View(view) => call!([voter.relay], view(view)),
            SessionMessage::Reply(_) | SessionMessage::Push(_) => {}
        }
    }

    fn deliver_to_group(&mut self, group: GroupId, from: NodeName, message: GroupMessage) {
        if let GroupMessage::ProposeReply { proposal, result } = message {
            let proposer = match group {
                GroupId::Control => Some(&self.proposer),
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

    /// Tells a replica that writes are synced.
    pub fn synced(&mut self, group: GroupId, count: usize) {
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
}

impl Builder<'_> {
    fn build(mut self, incarnation: u64) -> SimulatedNode {
        let state = SharedNodeState::default();
        let voter = match self.parts.settings.is_voter() {
            true => Some(self.voter()),
            false => None,
        };
        let proposer = self.proposer(GroupId::Control);
        let ledger_proposers: Vec<ActorOwn<ProposerActor>> =
            (0..self.parts.settings.cluster.ledger_groups)
                .map(|part| self.proposer(GroupId::Ledger(part)))
                .collect();
        let requests = match self.parts.is_hollow {
            true => None,
            false => Some(self.request_actor(incarnation, &state, &ledger_proposers)),
        };
        let on_change = match &requests {
            Some(requests) => fwd_to!([requests], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let session = self.session(&state, on_change);
        SimulatedNode {
            stakker: self.stakker,
            state,
            statuses: self.statuses,
            incarnation,
            proposer,
            requests,
            clock: self.clock,
            ledger_proposers,
            session,
            voter,
        }
    }

    fn voter(&mut self) -> Voter {
        let settings = self.parts.settings.clone();
        let machine = Rc::new(RefCell::new(ControlState::default()));
        let status = self.statuses.entry(GroupId::Control).or_default().clone();
        let setup = RelaySetup {
            voters: settings.cluster.voters.clone(),
            machine: machine.clone(),
            status,
            outbox: self.outbox.clone(),
            node_lease: settings.timing.node_lease_ms,
            clock: self.clock,
        };
        let relay = actor!(&mut self.stakker, RelayActor::init(setup), ret_nop!());
        let on_applied = fwd_to!([relay], configuration_applied() as ());
        let control = self.replica(GroupId::Control, machine, on_applied);
        let ledgers = (0..settings.cluster.ledger_groups)
            .map(|part| {
                let machine = LedgerState::new(settings.timing.ledger_retention_ms);
                let machine = Rc::new(RefCell::new(machine));
                self.replica(GroupId::Ledger(part), machine, fwd_nop!())
            })
            .collect();
        Voter {
            control,
            ledgers,
            relay,
        }
    }

    fn replica<M: StateMachine + 'static>(
        &mut self,
        group: GroupId,
        machine: Rc<RefCell<M>>,
        on_applied: Fwd<()>,
    ) -> ActorOwn<ReplicaActor<M>> {
        let settings = &self.parts.settings;
        let disk = self.parts.disks[&group].clone();
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005) + 1;
        let replica = *disk
            .borrow_mut()
            .identity
            .get_or_insert(ReplicaId(self.seed));
        let stored = disk.borrow().stored();
        let setup = ReplicaSetup {
            group,
            node: settings.node.clone(),
            replica,
            voters: settings.cluster.voters.clone(),
            stored,
            config: settings.consensus_config(),
            seed: self.seed,
            machine,
            status: self.statuses.entry(group).or_default().clone(),
            outbox: self.outbox.clone(),
            writer: Box::new(SimulatedWriter(disk)),
            on_applied,
            clock: self.clock,
        };
        actor!(
            &mut self.stakker,
            <ReplicaActor<M>>::init(setup),
            ret_nop!()
        )
    }

    fn proposer(&mut self, group: GroupId) -> ActorOwn<ProposerActor> {
        let voters = self.parts.settings.cluster.voters.clone();
        let outbox = self.outbox.clone();
        let metrics = self.metrics.clone();
        actor!(
            &mut self.stakker,
            ProposerActor::init(group, voters, outbox, metrics),
            ret_nop!()
        )
    }

    fn request_actor(
        &mut self,
        incarnation: u64,
        state: &SharedNodeState,
        ledgers: &[ActorOwn<ProposerActor>],
    ) -> ActorOwn<RequestActor> {
        let setup = RequestSetup {
            settings: self.parts.settings.clone(),
            node: self.parts.settings.node.clone(),
            incarnation,
            state: state.clone(),
            ledgers: ledgers.iter().map(|ledger| (**ledger).clone()).collect(),
            calls: Box::new(SimulatedCalls(self.parts.desk.clone())),
            metrics: self.metrics.clone(),
            clock: self.clock,
            seed: self.seed,
        };
        actor!(&mut self.stakker, RequestActor::init(setup), ret_nop!())
    }

    fn session(&mut self, state: &SharedNodeState, on_change: Fwd<()>) -> ActorOwn<SessionActor> {
        let settings = &self.parts.settings;
        let setup = SessionSetup {
            relays: settings.cluster.voters.clone(),
            first_relay: settings.first_relay(),
            zone: settings.own_node().zone.clone(),
            caller_address: settings.own_node().callers.clone(),
            heartbeat: Duration::from_millis(settings.timing.session_heartbeat_ms),
            freshness_lease: settings.timing.freshness_lease_ms,
            state: state.clone(),
            outbox: self.outbox.clone(),
            metrics: self.metrics.clone(),
            on_change,
            clock: self.clock,
        };
        actor!(&mut self.stakker, SessionActor::init(setup), ret_nop!())
    }
}
