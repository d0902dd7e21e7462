//! The state machine of the control group: configuration, orders to engines, and what operators
//! ordered of zones and versions.

use crate::change::ChangeRequest;
use crate::configuration_state::ConfigurationState;
use crate::evacuation::{EvacuationOrder, SharedEvacuations};
use crate::orders::{OrderCommand, OrderTable};
use crate::published::{publish, PublishReply, PublishedTraffic, SharedTraffic};
use crate::rollouts::{RolloutCommand, SharedRollouts};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};
use silversail_quarantine::{Quarantine, QuarantineCommand};
use std::sync::Arc;

/// A command of the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Changes the configuration; answered by a [`crate::ChangeOutcome`].
    Change(ChangeRequest),
    /// About orders to engines; answered by an [`crate::orders::OrderReply`].
    Order(OrderCommand),
    /// Publishes a traffic configuration; answered by a
    /// [`crate::published::PublishReply`].
    Publish(PublishedTraffic),
    /// Begins or ends the evacuation of a zone; answered by a
    /// [`crate::evacuation::EvacuationReply`].
    Evacuate(EvacuationOrder),
    /// About rollouts of versions; answered by a [`crate::rollouts::RolloutReply`].
    Rollout(RolloutCommand),
    /// About requests that crash back ends; answered by a
    /// [`silversail_quarantine::QuarantineReply`].
    Quarantine(QuarantineCommand),
}

impl ControlCommand {
    /// The command as the group replicates it.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Configuration, orders, the published traffic configuration, evacuated zones, rollouts and
/// requests that are refused as they crash back ends.
#[derive(Debug, Default)]
pub struct ControlState {
    /// The configuration.
    pub configuration: ConfigurationState,
    /// The orders.
    pub orders: OrderTable,
    /// The traffic configuration in force, once there is one.
    pub published: Option<SharedTraffic>,
    /// The zones that get no new work.
    pub evacuations: SharedEvacuations,
    /// The latest rollout of each service.
    pub rollouts: SharedRollouts,
    /// Requests that crash back ends.
    pub quarantine: Quarantine,
}

impl ControlState {
    fn publish(&mut self, next: PublishedTraffic) -> PublishReply {
        let reply = publish(&mut self.published, next);
        if let (true, Some(published)) = (reply.is_new, &self.published) {
            let services = &published.traffic.services;
            let rollouts = Arc::make_mut(&mut self.rollouts);
            rollouts.keep_services(|name| services.iter().any(|service| service.name == name));
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
        type Stored = (
            Vec<u8>,
            OrderTable,
            Option<PublishedTraffic>,
            SharedEvacuations,
            SharedRollouts,
            Quarantine,
        );
        let Ok(stored) = postcard::from_bytes::<Stored>(snapshot) else {
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
