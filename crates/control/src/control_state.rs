//! The state machine of the control group: configuration and orders.

use crate::change::ChangeRequest;
use crate::configuration_state::ConfigurationState;
use crate::orders::{OrderBook, OrderCommand};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};

/// A command of the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Changes the configuration; answered by a [`crate::ChangeOutcome`].
    Change(ChangeRequest),
    /// About orders to engines; answered by an [`crate::orders::OrderReply`].
    Order(OrderCommand),
}

impl ControlCommand {
    /// The command as the group replicates it.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Configuration and orders.
#[derive(Debug, Default)]
pub struct ControlState {
    /// The configuration.
    pub configuration: ConfigurationState,
    /// The orders.
    pub orders: OrderBook,
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
            Err(_) => Vec::new(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&(self.configuration.snapshot(), &self.orders))
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Ok((configuration, orders)) = postcard::from_bytes::<(Vec<u8>, OrderBook)>(snapshot)
        else {
            return false;
        };
        self.orders = orders;
        self.configuration.restore(&configuration)
    }
}
