//! Data-path decisions: admission control, queueing, placement, rate limits and
//! retries. The crate has no clock and does no I/O; times are milliseconds of the
//! caller's clock.

pub mod admission;
pub mod average;
pub mod limits;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod slots;

pub use admission::{AdmissionController, AdmissionDecision, StageEstimate};
pub use average::MovingAverage;
pub use limits::{node_share, LimitViolation, TenantLimiter};
pub use placement::{BackendLoad, BackendSelector, EligibleBackend, PlacementPolicy};
pub use queue::{FairQueue, PoolId, QueueOrder, QueuedStage};
pub use retry::RetryBudget;
pub use slots::{borrowed_slots, SlotPolicy, SlotTable};

/// Milliseconds of a local monotonic clock.
pub type Millis = u64;
