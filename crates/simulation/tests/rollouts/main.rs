//! Rollouts under faults: guards against lost orders, rollouts that do not end on every node, and
//! nodes that send to a candidate without a valid permit.

mod deadlines;
mod failures;
mod harness;
mod orders;
mod permits;
mod traffic;
