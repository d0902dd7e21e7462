//! The state machine of the control group: configuration and orders.

use crate::change::ChangeRequest;
use crate::configuration_state::ConfigurationState;
use crate::orders::{OrderBook, OrderCommand};
use crate::published::{publish, PublishedTraffic, SharedTraffic};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};
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
}

impl ControlCommand {
    /// The command as the group replicates it.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Configuration, orders and the published traffic configuration.
#[derive(Debug, Default)]
pub struct ControlState {
    /// The configuration.
    pub configuration: ConfigurationState,
    /// The orders.
    pub orders: OrderBook,
    /// The traffic configuration in force, once there is one.
    pub published: Option<SharedTraffic>,
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
            Ok(ControlCommand::Publish(next)) => encode(&publish(&mut self.published, next)),
            Err(_) => Vec::new(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let published = self.published.as_deref();
        encode(&(self.configuration.snapshot(), &self.orders, published))
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        type Stored = (Vec<u8>, OrderBook, Option<PublishedTraffic>);
        let Ok((configuration, orders, published)) = postcard::from_bytes::<Stored>(snapshot)
        else {
            return false;
        };
        self.orders = orders;
        self.published = published.map(Arc::new);
        self.configuration.restore(&configuration)
    }
}
