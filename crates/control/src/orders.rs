//! Orders to engines: which were issued, which ended. An order is committed
//! before it is sent, so a new leader knows what its predecessor may have sent.

use serde::{Deserialize, Serialize};
use silversail_model::BackendName;
use std::collections::BTreeMap;

/// Identity and fence of an order: a later leader's are larger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId {
    /// Term of the leader that issues it.
    pub term: u64,
    /// Counts up in that term.
    pub sequence: u64,
}

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a model.
    Load,
    /// Drop a model.
    Unload,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity and fence.
    pub id: OrderId,
    /// The engine.
    pub backend: BackendName,
    /// What to do.
    pub action: OrderAction,
    /// With which model.
    pub model: String,
}

/// A command about orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderCommand {
    /// Issue an order, which is sent once this is committed.
    Issue(Order),
    /// An order was carried out, or given up.
    End(OrderId),
}

/// The answer to an [`OrderCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order may be sent.
    Issued,
    /// Another order to the engine is outstanding, or a later leader has
    /// issued orders.
    Refused,
    /// The order has ended.
    Ended,
}

/// The outstanding orders, at most one for each engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderTable {
    outstanding: BTreeMap<BackendName, Order>,
    newest: OrderId,
}

impl OrderTable {
    /// Applies a command. Resends give the same answer.
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
            Some(known) if *known == order => return OrderReply::Issued,
            Some(_) => return OrderReply::Refused,
            None => {}
        }
        if order.id <= self.newest {
            return OrderReply::Refused;
        }
        self.newest = order.id;
        self.outstanding.insert(order.backend.clone(), order);
        OrderReply::Issued
    }

    /// Orders that were issued and have not ended.
    pub fn outstanding(&self) -> impl Iterator<Item = &Order> {
        self.outstanding.values()
    }

    /// The order outstanding at an engine.
    pub fn order_for(&self, backend: &BackendName) -> Option<&Order> {
        self.outstanding.get(backend)
    }
}
