//! Constructs and connects the actors of one node.

use super::{ActorContext, NodeActors, Platform, VoterActors};
use crate::discovery::DiscoveryActor;
use crate::evacuation::{EvacuationActor, EvacuationSetup};
use crate::gateway::{GatewayActor, GatewaySetup};
use crate::node::NodeError;
use crate::orders::{OrderActor, OrderSetup};
use crate::quarantine::{QuarantineLeaderActor, QuarantineLeaderSetup};
use crate::replica::{ProposerActor, ReplicaActor, ReplicaSetup, SharedGroupStatus};
use crate::requests::{RequestActor, RequestSetup};
use crate::rollout::{RolloutActor, RolloutLeaderActor, RolloutLeaderSetup, RolloutSetup};
use crate::session::{
    RelayActor, RelaySetup, SessionActor, SessionSetup, SharedAttributeEvidence, SharedCrashTable,
    SharedEvidence,
};
use silversail_consensus::StateMachine;
use silversail_control::ControlState;
use silversail_ledger::LedgerState;
use silversail_peer::GroupId;
use stakker::{actor, call, fwd, fwd_do, fwd_nop, fwd_to, ret_nop, Actor, ActorOwn, Fwd, Stakker};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Actors that handle operators' requests to the gateway's API.
struct OperatorActors {
    evacuation: Option<Actor<EvacuationActor>>,
    rollout: Option<Actor<RolloutActor>>,
}

/// Constructs the actors of a node.
pub struct ActorBuilder<'a, P> {
    stakker: &'a mut Stakker,
    context: ActorContext,
    platform: &'a mut P,
    statuses: BTreeMap<GroupId, SharedGroupStatus>,
}

impl<'a, P: Platform> ActorBuilder<'a, P> {
    /// A builder of actors that run on `stakker`.
    pub fn new(stakker: &'a mut Stakker, context: ActorContext, platform: &'a mut P) -> Self {
        Self {
            stakker,
            context,
            platform,
            statuses: BTreeMap::new(),
        }
    }

    /// Opens the replicas' storage and starts all actors.
    ///
    /// # Errors
    /// If the storage of a replica can't be opened.
    pub fn build(mut self) -> Result<NodeActors, NodeError> {
        let settings = self.context.settings.clone();
        self.context.state.borrow_mut().backend_list_lease = settings.backend_list_lease();
        let voter = match settings.is_voter() {
            true => Some(self.voter()?),
            false => None,
        };
        let control_proposer = self.proposer(GroupId::Control);
        let ledger_proposers: Vec<ActorOwn<ProposerActor>> = (0..settings.cluster.ledger_groups)
            .map(|index| self.proposer(GroupId::Ledger(index)))
            .collect();
        let requests = self.requests(&ledger_proposers);
        let relay = voter.as_ref().map(|voter| (*voter.relay).clone());
        let evacuation = self.evacuation(&control_proposer);
        let rollout = self.rollout(&control_proposer);
        let operators = OperatorActors {
            evacuation: evacuation.as_deref().cloned(),
            rollout: rollout.as_deref().cloned(),
        };
        let gateway = self.gateway(&control_proposer, operators, relay);
        let session = self.session(requests.as_ref(), gateway.as_ref(), rollout.as_ref());
        if let Some(gateway) = &gateway {
            let heartbeat_trigger = fwd_to!([session], report_crash() as ());
            call!([gateway], set_heartbeat_trigger(heartbeat_trigger));
            let report_answers = fwd_to!([session], report_answers() as ());
            call!([gateway], set_answer_report_trigger(report_answers));
        }
        if let Some(requests) = &requests {
            let heartbeat_trigger = fwd_to!([session], report_crash() as ());
            call!([requests], set_heartbeat_trigger(heartbeat_trigger));
        }
        let rollout_leader = voter
            .as_ref()
            .map(|voter| self.rollout_leader(voter, &control_proposer));
        let quarantine_leader = voter
            .as_ref()
            .map(|voter| self.quarantine_leader(voter, &control_proposer));
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
            rollout,
            rollout_leader,
            quarantine_leader,
            session,
            requests,
            orders,
            gateway,
            statuses: self.statuses,
            ledger_proposers,
        })
    }

    fn status_of(&mut self, group: GroupId) -> SharedGroupStatus {
        self.statuses.entry(group).or_default().clone()
    }

    fn voter(&mut self) -> Result<VoterActors, NodeError> {
        let settings = self.context.settings.clone();
        let machine = Rc::new(RefCell::new(ControlState::default()));
        let evidence = SharedEvidence::default();
        let crash_table = SharedCrashTable::default();
        let attribute_evidence = SharedAttributeEvidence::default();
        let setup = RelaySetup {
            directory: self.context.directory.clone(),
            topology: self.context.topology.clone(),
            machine: machine.clone(),
            status: self.status_of(GroupId::Control),
            outbox: self.context.outbox.clone(),
            node_lease: settings.timing.node_lease_ms,
            backend_list_lease: settings.backend_list_lease(),
            evidence: evidence.clone(),
            crash_table: crash_table.clone(),
            attribute_evidence: attribute_evidence.clone(),
            clock: self.context.clock,
        };
        let relay = actor!(self.stakker, RelayActor::init(setup), ret_nop!());
        let on_applied = fwd_to!([relay], configuration_applied() as ());
        let control = self.replica(GroupId::Control, machine.clone(), on_applied)?;
        let mut ledgers = Vec::new();
        for index in 0..settings.cluster.ledger_groups {
            let ledger = LedgerState::new(settings.timing.ledger_retention_ms);
            let ledger = Rc::new(RefCell::new(ledger));
            ledgers.push(self.replica(GroupId::Ledger(index), ledger, fwd_nop!())?);
        }
        Ok(VoterActors {
            control,
            ledgers,
            relay,
            evidence,
            crash_table,
            attribute_evidence,
            control_state: machine,
        })
    }

    fn replica<M: StateMachine + 'static>(
        &mut self,
        group: GroupId,
        machine: Rc<RefCell<M>>,
        on_applied: Fwd<()>,
    ) -> Result<ActorOwn<ReplicaActor<M>>, NodeError> {
        let opened = self.platform.open_replica(group)?;
        let settings = &self.context.settings;
        let setup = ReplicaSetup {
            group,
            node: settings.node.clone(),
            replica: opened.identity,
            directory: self.context.directory.clone(),
            stored: opened.stored,
            config: settings.consensus_config(),
            seed: self.platform.seed(),
            state_machine: machine,
            status: self.status_of(group),
            outbox: self.context.outbox.clone(),
            writer: opened.writer,
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
        let seed = self.platform.seed();
        let context = &self.context;
        let (directory, outbox) = (context.directory.clone(), context.outbox.clone());
        let (state, clock) = (context.state.clone(), context.clock);
        actor!(
            self.stakker,
            DiscoveryActor::init(directory, state, outbox, clock, seed),
            ret_nop!()
        )
    }

    fn proposer(&mut self, group: GroupId) -> ActorOwn<ProposerActor> {
        let directory = self.context.directory.clone();
        let outbox = self.context.outbox.clone();
        let metrics = self.context.metrics.clone();
        let clock = self.context.clock;
        actor!(
            self.stakker,
            ProposerActor::init(group, directory, outbox, metrics, clock),
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
            notices: context.stage_notices.clone(),
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
        context.settings.gateway.as_ref()?;
        let setup = EvacuationSetup {
            topology: context.topology.clone(),
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

    fn rollout(&mut self, proposer: &ActorOwn<ProposerActor>) -> Option<ActorOwn<RolloutActor>> {
        let context = &self.context;
        context.settings.gateway.as_ref()?;
        let setup = RolloutSetup {
            state: context.state.clone(),
            proposer: (**proposer).clone(),
            log: context.log.clone(),
            metrics: context.metrics.clone(),
            clock: context.clock,
        };
        Some(actor!(self.stakker, RolloutActor::init(setup), ret_nop!()))
    }

    fn rollout_leader(
        &mut self,
        voter: &VoterActors,
        proposer: &ActorOwn<ProposerActor>,
    ) -> ActorOwn<RolloutLeaderActor> {
        let status = self.status_of(GroupId::Control);
        let context = &self.context;
        let setup = RolloutLeaderSetup {
            control_state: voter.control_state.clone(),
            status,
            state: context.state.clone(),
            evidence: voter.evidence.clone(),
            proposer: (**proposer).clone(),
            limits: context.settings.rollout,
            leader_lease: context.settings.timing.election_timeout_ms,
            log: context.log.clone(),
            metrics: context.metrics.clone(),
            clock: context.clock,
        };
        actor!(self.stakker, RolloutLeaderActor::init(setup), ret_nop!())
    }

    fn quarantine_leader(
        &mut self,
        voter: &VoterActors,
        proposer: &ActorOwn<ProposerActor>,
    ) -> ActorOwn<QuarantineLeaderActor> {
        let status = self.status_of(GroupId::Control);
        let context = &self.context;
        let setup = QuarantineLeaderSetup {
            control_state: voter.control_state.clone(),
            status,
            crash_table: voter.crash_table.clone(),
            attribute_evidence: voter.attribute_evidence.clone(),
            proposer: (**proposer).clone(),
            limits: context.settings.quarantine,
            log: context.log.clone(),
            metrics: context.metrics.clone(),
            clock: context.clock,
        };
        actor!(self.stakker, QuarantineLeaderActor::init(setup), ret_nop!())
    }

    fn gateway(
        &mut self,
        proposer: &ActorOwn<ProposerActor>,
        operators: OperatorActors,
        relay: Option<Actor<RelayActor>>,
    ) -> Option<ActorOwn<GatewayActor>> {
        let control = self.status_of(GroupId::Control);
        let ports = self.platform.gateway()?;
        let context = &self.context;
        let setup = GatewaySetup {
            settings: context.settings.gateway.clone()?,
            quarantine: context.settings.quarantine,
            topology: context.topology.clone(),
            state: context.state.clone(),
            directory: context.directory.clone(),
            outbox: context.outbox.clone(),
            proposer: (**proposer).clone(),
            evacuation: operators.evacuation?,
            rollout: operators.rollout?,
            relay,
            control,
            protocols: ports.protocols,
            calls: ports.calls,
            notices: ports.notices,
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
        rollout: Option<&ActorOwn<RolloutActor>>,
    ) -> ActorOwn<SessionActor> {
        let notify_requests: Fwd<()> = match requests {
            Some(requests) => fwd_to!([requests], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let notify_gateway: Fwd<()> = match gateway {
            Some(gateway) => fwd_to!([gateway], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let notify_rollout: Fwd<()> = match rollout {
            Some(rollout) => fwd_to!([rollout], node_state_changed() as ()),
            None => fwd_nop!(),
        };
        let on_change = fwd_do!(move |_: ()| {
            fwd!([notify_rollout], ());
            fwd!([notify_requests], ());
            fwd!([notify_gateway], ());
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
            control_state: voter.control_state.clone(),
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
