//! Data types shared by all packages: identifiers, labels and selectors, the
//! configuration with its validation, the topology, and the numbered result codes.

pub mod answer_end;
pub mod codes;
pub mod configuration;
pub mod fingerprint;
pub mod identifiers;
pub mod rate;
pub mod retry_after;
pub mod selector;
pub mod shard;
pub mod topology;
pub mod traffic;
pub mod validation;

pub use answer_end::AnswerEnd;
pub use codes::{Outcome, ResultCode};
pub use configuration::{
    Backend, BackendKind, Configuration, ConfigurationDocument, Model, ObjectKind, ObjectReference,
    Pipeline, Revision, Stage, StageKind, Tenant, TenantLimits,
};
pub use fingerprint::{ContentDigest, RequestAttribute, RequestFingerprint, TenantScope};
pub use identifiers::{BackendName, ChangeId, NodeName, PipelineName, StageName, TenantName};
pub use rate::{AdvertisedRateLimit, RequestRate};
pub use retry_after::RetryAfter;
pub use selector::{Labels, Operator, Requirement, Selector};
pub use shard::{Shard, ShardScope};
pub use topology::{Distance, Topology};
pub use traffic::{TrafficConfiguration, TrafficVersion};
pub use validation::{FieldError, ValidationErrors};
