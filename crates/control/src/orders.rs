//! Replicated orders to engines. An order is committed before it is sent, so that a new leader
//! knows all orders that its predecessor may have sent.

use serde::{Deserialize, Serialize};
use silversail_model::BackendName;
use std::collections::BTreeMap;

/// Identity and fencing token of an order; those of a later leader are larger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId {
    /// Term of the leader that issues the order.
    pub term: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}

/// Action that an engine must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity and fencing token.
    pub id: OrderId,
    /// Engine that gets the order.
    pub backend: BackendName,
    /// Whether to load or unload the model.
    pub action: OrderAction,
    /// Name of the model.
    pub model: String,
}

/// Command that changes the outstanding orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderCommand {
    /// Issues an order, which is sent once this command is committed.
    Issue(Order),
    /// Ends an order that was carried out or abandoned.
    End(OrderId),
}

/// Reply to an [`OrderCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order may be sent.
    Issued,
    /// The engine has another outstanding order, or a later order was issued before.
    Refused,
    /// The order is no longer outstanding.
    Ended,
}

/// Outstanding orders, at most one per engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderTable {
    outstanding: BTreeMap<BackendName, Order>,
    latest_id: OrderId,
}

impl OrderTable {
    /// Applies a command. Repeated commands get the same reply.
    pub fn apply(&mut self, command: OrderCommand) -> OrderReply {
        match command {
            OrderCommand::Issue(order) => self.issue(order),
            OrderCommand::End(id) => {
                self.outstanding.retain(|_, order| order.id != id);
                OrderReply::Ended
            }
        }
    }

    fn issue(&mut self, order: Order) -> OrderReply {
        match self.outstanding.get(&order.backend) {
            Some(outstanding) if *outstanding == order => return OrderReply::Issued,
            Some(_) => return OrderReply::Refused,
            None => {}
        }
        if order.id <= self.latest_id {
            return OrderReply::Refused;
        }
        self.latest_id = order.id;
        self.outstanding.insert(order.backend.clone(), order);
        OrderReply::Issued
    }

    /// All orders that were issued and have not ended.
    pub fn outstanding(&self) -> impl Iterator<Item = &Order> {
        self.outstanding.values()
    }

    /// The outstanding order of an engine.
    pub fn order_for(&self, backend: &BackendName) -> Option<&Order> {
        self.outstanding.get(backend)
    }
}
