//! The path of a pass-through request, as decisions without sockets, clocks or
//! threads: which route, which back end, which batch, when to repeat and when to
//! refuse. Time is a count of milliseconds that the caller passes in.
//!
//! - [`ports`]: what the outside protocols are translated to and from
//! - [`routes`]: which route a request takes, and whose it is
//! - [`instances`]: the back ends and what is believed of them
//! - [`notices`]: what back ends said of themselves in their answers
//! - [`cold`]: what back ends get that have just started
//! - [`crashes`]: which of them crashed, by connections that broke off
//! - [`quarantine`]: which requests are not sent, as they crash back ends
//! - [`selection`]: which back end gets a request
//! - [`rollouts`]: which version of a service's back ends a request may go to
//! - [`regions`]: what it costs to leave a region
//! - [`popularity`]: which beginnings of prompts come often
//! - [`waits`]: which shard an order goes to
//! - [`retry_budget`]: how often requests may be sent again
//! - [`batcher`]: which pieces share a call
//! - [`dispatcher`]: one request from its arrival to its answer

pub mod batcher;
pub mod cold;
pub mod crashes;
pub mod dispatcher;
pub mod instances;
pub mod notices;
pub mod policy;
pub mod popularity;
pub mod ports;
pub mod quarantine;
pub mod regions;
pub mod retry_budget;
pub mod rollouts;
pub mod routes;
pub mod selection;
pub mod waits;

/// Milliseconds of a local monotonic clock; comparable in one process only.
pub type Millis = u64;
