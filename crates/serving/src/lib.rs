//! Decision logic for pass-through requests: routing, back-end selection, batching, retries and
//! admission. It uses no sockets, clocks or threads; the caller passes the time in milliseconds.
//!
//! - [`ports`]: traits and types between the core and the external protocols
//! - [`end_to_end`]: headers of a message without those of its connection
//! - [`routes`]: route and tenant of a request
//! - [`instances`]: the known back ends and their estimated state
//! - [`notices`]: state that back ends advertise in their answers
//! - [`cold`]: rate limits for back ends that have just started
//! - [`crashes`]: crash detection by lost connections
//! - [`quarantine`]: rejection of requests that crash back ends
//! - [`selection`]: choice of the back end for a request
//! - [`rollouts`]: back-end versions that a request may use during a rollout
//! - [`regions`]: cost of sending a request to another region
//! - [`popularity`]: detection of frequent prompt prefixes
//! - [`waits`]: choice of the shard for an order
//! - [`retry_budget`]: limit on retries
//! - [`batcher`]: grouping of pieces into batch calls
//! - [`dispatcher`]: state of each request from arrival to answer

pub mod answer_identity;
pub mod batcher;
pub mod cold;
mod configuration_history;
pub mod crashes;
pub mod dispatcher;
pub mod end_to_end;
pub mod forwarding;
pub mod instances;
pub mod notices;
pub mod origin_lookup;
pub mod policy;
pub mod popularity;
pub mod ports;
pub mod quarantine;
pub mod reachability;
pub mod regions;
pub mod retry_budget;
pub mod rollouts;
pub mod routes;
pub mod selection;
mod senders;
pub mod stream_origins;
pub mod waits;

/// Milliseconds of a local monotonic clock; comparable in one process only.
pub type Millis = u64;
