//! The state of an open request.

use crate::requests::answer::ErrorBody;
use serde_json::{Map, Value};
use silversail_http::Responder;
use silversail_ledger::RequestKey;
use silversail_model::{
    BackendName, Pipeline, RequestFingerprint, ResultCode, Stage, StageKind, StageName, TenantName,
};
use silversail_routing::StageEstimate;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

/// Number of a request, unique in its process.
pub type RequestNumber = u64;

/// A request as the HTTP server of callers passes it on.
#[derive(Debug)]
pub struct CallerRequest {
    /// Number that the HTTP server assigned.
    pub number: RequestNumber,
    /// Name of the pipeline from the request path.
    pub pipeline: String,
    /// Body as received.
    pub body: Vec<u8>,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Value of the `Silversail-Retry-Token` header.
    pub retry_token: Option<String>,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Connection on which the answer is sent.
    pub responder: Responder,
}

/// Ownership of an idempotency key in the ledger.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    /// The tenant's key.
    pub key: RequestKey,
    /// Digest of the pipeline and the body.
    pub digest: [u8; 32],
    /// Token of a refusal that the caller has received.
    pub retry_token: Option<u64>,
    /// Epoch of the ownership; `None` until the ledger grants it.
    pub epoch: Option<u64>,
}

/// What an open request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// The ledger's reply to the request for its key.
    AcquiringKey,
    /// The outcome of another copy with the same key.
    WaitingForOtherCopy,
    /// An eligible back end.
    Queued,
    /// The ledger's reply to the claim of a call.
    Claiming,
    /// The back end's answer.
    Calling,
    /// The ledger's reply to the recorded outcome.
    RecordingOutcome,
}

/// The stage call that is claimed or sent.
#[derive(Clone, Debug)]
pub struct CurrentCall {
    /// Number of the attempt, unique in its process.
    pub attempt: u64,
    /// Name of the back end.
    pub backend: BackendName,
    /// Address of the back end.
    pub address: String,
    /// Set to cancel the call.
    pub cancelled: Arc<AtomicBool>,
    /// Whether the call was passed to its thread.
    pub sent: bool,
}

/// Result of a completed stage, for the answer.
#[derive(Clone, Debug)]
pub struct StageReport {
    /// Name of the stage.
    pub stage: StageName,
    /// Kind of the stage.
    pub kind: StageKind,
    /// Back end that completed the stage.
    pub backend: BackendName,
    /// Attempts that the stage took.
    pub attempts: u32,
    /// Time in the queue, in milliseconds.
    pub queue_ms: u64,
    /// Duration of the call, in milliseconds.
    pub service_ms: u64,
    /// Cost that the back end reported, in milliseconds.
    pub cost_ms: f64,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// An answer that is correct whether or not the ledger records it.
pub enum KnownAnswer {
    /// Body of a complete answer.
    Completed(Vec<u8>),
    /// Failure of a request that may have run.
    Failed {
        /// Its code.
        code: ResultCode,
        /// Its body.
        body: ErrorBody,
    },
}

/// The state of an open request.
pub struct ActiveRequest {
    /// Number of the request, unique in its process.
    pub number: RequestNumber,
    /// Request identifier that the caller receives.
    pub request_id: String,
    /// Fingerprint of the content and the tenant, for quarantine.
    pub fingerprint: RequestFingerprint,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Weight of the tenant in the fair queue.
    pub weight: u32,
    /// Pipeline as configured when the request arrived.
    pub pipeline: Rc<Pipeline>,
    /// Input of the pipeline, from the body.
    pub input: Value,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Deadline that the caller requested, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Time by which the complete answer is due.
    pub deadline: Instant,
    /// Connection on which the answer is sent; `None` once answered.
    pub responder: Option<Responder>,
    /// Whether the head of a streamed answer was sent.
    pub stream_started: bool,
    /// Tokens already sent to the caller.
    pub sent_tokens: Vec<String>,
    /// Ownership of the idempotency key, if the caller gave one.
    pub key: Option<KeyOwnership>,
    /// What the request waits for.
    pub phase: RequestPhase,
    /// Position of the current stage in the pipeline.
    pub stage: usize,
    /// Admitted work of the stages that are not completed.
    pub estimates: Vec<StageEstimate>,
    /// Whether the request counts against its tenant's limits.
    pub counts_against_limits: bool,
    /// Outputs of the completed stages, by stage name.
    pub stage_outputs: Map<String, Value>,
    /// Reports of the completed stages.
    pub stage_reports: Vec<StageReport>,
    /// Attempts at the current stage so far.
    pub attempts: u32,
    /// Back ends that failed the current stage.
    pub failed_backends: Vec<BackendName>,
    /// Time at which the current stage was queued.
    pub queued_at: Instant,
    /// Time at which the current call was sent.
    pub called_at: Instant,
    /// The claimed or sent call of the current stage.
    pub call: Option<CurrentCall>,
    /// Whether any stage call was sent that is not known to be unexecuted.
    pub may_have_run: bool,
    /// The answer that waits for the ledger, and is sent at the deadline at the latest.
    pub known_answer: Option<KnownAnswer>,
}

impl ActiveRequest {
    /// The stage of the pipeline that runs or waits.
    pub fn current_stage(&self) -> &Stage {
        &self.pipeline.stages[self.stage]
    }

    /// Whether tokens of the current stage are streamed to the caller: it is the last one and
    /// generates.
    pub fn streams_current_stage(&self) -> bool {
        self.stream
            && self.stage + 1 == self.pipeline.stages.len()
            && self.current_stage().kind == StageKind::Generation
    }
}
