//! State machine of the control group: configuration, engine orders, traffic configuration,
//! evacuations, rollouts and quarantined requests.

use crate::change::ChangeRequest;
use crate::configuration_state::ConfigurationState;
use crate::earlier_builds;
use crate::evacuation::{EvacuationOrder, SharedEvacuations};
use crate::orders::{OrderCommand, OrderTable};
use crate::published::{publish, PublishReply, PublishedTraffic, SharedTraffic};
use crate::rollouts::{RolloutCommand, SharedRollouts};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};
use silversail_quarantine::{Quarantine, QuarantineCommand};
use std::sync::Arc;

/// Command to the control group, encoded with postcard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Changes the configuration; answered by a [`crate::ChangeOutcome`].
    Change(ChangeRequest),
    /// Issues or ends an engine order; answered by an [`crate::orders::OrderReply`].
    Order(OrderCommand),
    /// Publishes a traffic configuration; answered by a
    /// [`crate::published::PublishReply`].
    Publish(PublishedTraffic),
    /// Begins or ends the evacuation of a zone; answered by a
    /// [`crate::evacuation::EvacuationReply`].
    Evacuate(EvacuationOrder),
    /// Starts, advances or ends a rollout; answered by a [`crate::rollouts::RolloutReply`].
    Rollout(RolloutCommand),
    /// Records crashes or updates quarantined requests; answered by a
    /// [`silversail_quarantine::QuarantineReply`].
    Quarantine(QuarantineCommand),
}

impl ControlCommand {
    /// Encodes the command for replication.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Replicated state of the control group.
#[derive(Debug, Default)]
pub struct ControlState {
    /// Configuration with its accepted changes.
    pub configuration: ConfigurationState,
    /// Outstanding orders to engines.
    pub orders: OrderTable,
    /// Traffic configuration in force; `None` until one is published.
    pub published: Option<SharedTraffic>,
    /// Zones whose back ends get no new requests.
    pub evacuations: SharedEvacuations,
    /// The latest rollout of each service.
    pub rollouts: SharedRollouts,
    /// Requests that crash back ends, with the evidence for it.
    pub quarantine: Quarantine,
}

impl ControlState {
    fn publish(&mut self, next: PublishedTraffic) -> PublishReply {
        let reply = publish(&mut self.published, next);
        if let (true, Some(published)) = (reply.is_new, &self.published) {
            let services = &published.traffic.services;
            let rollouts = Arc::make_mut(&mut self.rollouts);
            rollouts
                .prune_removed_services(|name| services.iter().any(|service| service.name == name));
        }
        reply
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoding into memory does not fail")
}

impl StateMachine for ControlState {
    fn apply(&mut self, _index: Index, command: &[u8]) -> Vec<u8> {
        match postcard::from_bytes(command) {
            Ok(ControlCommand::Change(request)) => {
                encode(&self.configuration.apply_change(request))
            }
            Ok(ControlCommand::Order(command)) => encode(&self.orders.apply(command)),
            Ok(ControlCommand::Publish(next)) => encode(&self.publish(next)),
            Ok(ControlCommand::Evacuate(order)) => {
                encode(&Arc::make_mut(&mut self.evacuations).apply(order))
            }
            Ok(ControlCommand::Rollout(command)) => {
                encode(&Arc::make_mut(&mut self.rollouts).apply(command))
            }
            Ok(ControlCommand::Quarantine(command)) => encode(&self.quarantine.apply(command)),
            Err(_) => Vec::new(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let published = self.published.as_deref();
        let configuration = self.configuration.snapshot();
        encode(&(
            configuration,
            &self.orders,
            published,
            &self.evacuations,
            &self.rollouts,
            &self.quarantine,
        ))
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Some(stored) = earlier_builds::read_snapshot(snapshot) else {
            return false;
        };
        let (configuration, orders, published, evacuations, rollouts, quarantine) = stored;
        self.orders = orders;
        self.published = published.map(Arc::new);
        self.evacuations = evacuations;
        self.rollouts = rollouts;
        self.quarantine = quarantine;
        self.configuration.restore(&configuration)
    }
}
