//! Ports between the core and the external protocols. An adapter implements the traits; header
//! names, paths and encodings are known only there.

use crate::answer_identity::UncheckedHead;
use crate::end_to_end::EndToEndHeaders;
use crate::forwarding::ReceivedForward;
use http::header::HeaderName;
use http::{HeaderMap, Method, Uri};
use silversail_model::{AdvertisedRateLimit, ContentDigest, ResultCode, TrafficConfiguration};
pub use silversail_peer::{BackendListEntry, StreamOrigin};
use silversail_peer::{Piece, PieceFailure, ResultHandle};
pub use silversail_rollout::{Directive, Rollout, RolloutOrder, RolloutState, Verdict};
use std::time::Duration;

/// A part of a prompt that may be shared between requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash that identifies the content.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Hashes of the parts of a prompt that other requests may share: all but the last part, which
/// belongs to the request or its session.
pub fn shared_parts(prompt: &[PrefixPart]) -> impl Iterator<Item = u64> + '_ {
    let shared = prompt.len().saturating_sub(1);
    prompt[..shared].iter().map(|part| part.id)
}

/// How this node knows where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// It holds a record.
    Own,
    /// Another node holds one.
    Peer,
}

impl OriginSource {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Peer => "peer",
        }
    }
}

/// Whether other nodes confirm that a service has had one version only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoleVersionEvidence {
    /// No other node has told so, or one disagrees.
    #[default]
    Unconfirmed,
    /// Nodes have seen only this version, and none several.
    Confirmed(String),
    /// There is no other node.
    NoPeers,
}

/// A stream that a request takes up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResumedStream {
    /// The caller's attempt that brought its first event; none if the caller does not name it.
    pub first_attempt: Option<String>,
    /// Where it began, as far as this node has found out.
    pub origin: Option<(StreamOrigin, OriginSource)>,
    /// What other nodes say of the versions if it is not known.
    pub sole_version: SoleVersionEvidence,
}

/// Attributes of a caller's request that routing uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallAttributes {
    /// The caller's identifier of this attempt.
    pub id: String,
    /// Host of the request, with the port if there is one.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Deadline of the caller, in milliseconds from arrival.
    pub deadline_ms: Option<u64>,
    /// API key that the caller sent.
    pub key: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub answer_tokens: u32,
    /// Parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// Number of pieces of each phase; 0 skips a phase.
    pub pieces: Vec<u32>,
    /// Source key of the pieces of phases without inputs.
    pub piece_key: String,
    /// Names of reserved headers that the caller sent; they are not forwarded to engines.
    pub stripped_headers: Vec<String>,
    /// Digest of the request target and body.
    pub content: ContentDigest,
    /// What the node that forwarded the request tells; none if the caller sent it here.
    pub forwarded: Option<ReceivedForward>,
    /// The stream that the request takes up; none for a new one.
    pub resumed: Option<ResumedStream>,
}

impl CallAttributes {
    /// Version of the traffic configuration by which the request must be served, or a later one; 0
    /// for any.
    pub fn min_version(&self) -> u64 {
        self.forwarded.map_or(0, |forward| forward.min_version)
    }

    /// Where the stream that the request takes up began, if that is known and it is a stream of
    /// `tenant`: one tenant's streams are unknown to others.
    pub fn origin_for(&self, tenant: &Option<String>) -> Option<(&StreamOrigin, OriginSource)> {
        let (origin, source) = self.resumed.as_ref()?.origin.as_ref()?;
        (origin.tenant == *tenant).then_some((origin, *source))
    }
}

/// Reason why a caller's request cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The header with the identifier of the attempt is missing or empty.
    #[error("the request has no identifier")]
    MissingId,
    /// A header that routing uses cannot be parsed; its name is attached.
    #[error("header {0} can't be read")]
    MalformedHeader(String),
    /// The phases have more pieces than any request may have.
    #[error("the request has too many pieces")]
    TooManyPieces,
}

impl RequestError {
    /// Result code of the refusal.
    pub fn code(&self) -> ResultCode {
        match self {
            RequestError::MissingId | RequestError::MalformedHeader(_) => {
                ResultCode::MissingIdentifier
            }
            RequestError::TooManyPieces => ResultCode::ValueOutOfRange,
        }
    }
}

/// Attributes that are sent to an engine with a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SendAttributes {
    /// Identifier of the target engine; another process at its address must reject the request.
    pub instance: String,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Tenant of the caller's API key.
    pub tenant: Option<String>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Results of the preceding phases.
    pub inputs: Vec<ResultHandle>,
}

/// Load that a back end reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Current processing time relative to normal.
    pub processing_time: RelativeProcessingTime,
}

/// Current processing time of a back end as a percentage of its normal processing time. Other
/// load on its machine raises it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelativeProcessingTime(pub u32);

impl RelativeProcessingTime {
    /// Normal processing time; the default for back ends that report none.
    pub const NORMAL: Self = Self(100);

    /// Excess over the normal processing time as a fraction of it; negative if faster.
    pub fn excess_over_normal(self) -> f64 {
        (f64::from(self.0) - f64::from(Self::NORMAL.0)) / f64::from(Self::NORMAL.0)
    }
}

/// State that a back end advertises in the head of any answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SelfReport {
    /// Reported load; none if the answer carries none.
    pub load: Option<ReportedLoad>,
    /// Back-off period that it requests from this node when it rejects a request; the longest if
    /// it advertises several.
    pub backoff: Option<Duration>,
    /// Whether a back-off period was advertised that cannot be parsed.
    pub has_unreadable_backoff: bool,
    /// Whether a processing time was advertised that cannot be parsed.
    pub has_unreadable_processing_time: bool,
    /// Whether it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Rate limit for all nodes together; it applies while answers advertise it.
    pub limit: AdvertisedRateLimit,
    /// Rejections per second above which it fails, if it advertises that; the lowest if it
    /// advertises several.
    pub max_rejections_per_second: Option<u32>,
    /// Whether such a number was advertised that cannot be parsed.
    pub has_unreadable_max_rejections: bool,
    /// Whether it rejected the request for lack of room.
    pub is_full: bool,
    /// Names of state headers that this version does not know.
    pub unknown: Vec<String>,
}

/// Head of the answer to a request or call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the answer names the request; otherwise it is the request's by its place alone.
    pub is_named: bool,
    /// Whether the engine states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries the engine's signature.
    pub is_signed: bool,
    /// State that the engine advertises; empty if another engine than the target answered.
    pub report: SelfReport,
}

/// Codec for callers' requests and engines' answers.
pub trait RequestProtocol: Send + Sync {
    /// Whether the protocol gives a header to all recipients of a request or an answer, so that its
    /// sender may not name it in `Connection`.
    fn is_for_all_recipients(&self, name: &HeaderName) -> bool;

    /// Parses the attributes that routing uses.
    ///
    /// # Errors
    ///
    /// If the identifier is missing or a header that routing uses is malformed.
    fn read_request(
        &self,
        uri: &Uri,
        headers: &EndToEndHeaders,
    ) -> Result<CallAttributes, RequestError>;

    /// Builds the headers of the request to an engine from those of the caller.
    fn engine_headers(&self, caller: &EndToEndHeaders, send: &SendAttributes) -> HeaderMap;

    /// Builds the headers of the request to a peer node from those of the caller: all of them, with
    /// the remaining time in milliseconds.
    fn forward_headers(&self, caller: &EndToEndHeaders, remaining_ms: u64) -> HeaderMap;

    /// Parses the head of an answer that was read for the request `id`.
    fn read_answer(&self, status: u16, headers: &EndToEndHeaders, id: &str) -> UncheckedHead;

    /// Parses the head of an answer that was read for the call `id` of this node; empty if the call
    /// carries no identifier.
    fn read_call_answer(&self, status: u16, headers: &EndToEndHeaders, id: &str) -> UncheckedHead;

    /// Builds the headers of an answer that this node generates itself.
    fn own_answer_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;
}

/// An HTTP call to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Identifier that the answer should name; empty for none.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Additional headers.
    pub headers: HeaderMap,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
}

/// Results of a batch call, one for each piece in order.
pub type PieceResults = Vec<Result<ResultHandle, PieceFailure>>;

/// Codec for calls to batch stages.
pub trait BatchProtocol: Send + Sync {
    /// Builds the call `id` that runs `pieces` at the back end `instance`. Each piece comes with
    /// its remaining time in milliseconds.
    fn run_call(&self, id: String, instance: &str, pieces: &[(Piece, u64)]) -> BackendCall;

    /// Parses the answer to a call with `pieces` pieces; none if it is malformed or incomplete.
    fn read_run(&self, body: &[u8], pieces: usize) -> Option<PieceResults> {
        let results = self.read_results(body);
        results.filter(|results| results.len() == pieces)
    }

    /// Parses the answer to a batch call with any number of pieces; none if the body is not that of
    /// one.
    fn read_results(&self, body: &[u8]) -> Option<PieceResults>;

    /// Builds the call `id` that frees results at their maker, the back end `instance`.
    fn free_call(&self, id: String, instance: &str, handles: &[ResultHandle]) -> BackendCall;
}

/// A page of the list of back ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Valid entries of the page.
    pub instances: Vec<BackendListEntry>,
    /// Token of the next page; none on the last page.
    pub next: Option<String>,
    /// Error messages, one for each malformed entry.
    pub malformed: Vec<String>,
}

/// Codec for the list of back ends.
pub trait ListProtocol: Send + Sync {
    /// Builds the call that fetches a page by its token; none fetches the first page.
    fn list_call(&self, page: Option<&str>) -> BackendCall;

    /// Parses a page; none if it is malformed or incomplete.
    fn read_list(&self, body: &[u8]) -> Option<ListPage>;
}

/// Reason why a published configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigurationRejected(pub String);

/// Reason why the body of a rollout order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} {}: {problem}", code.number(), code.reason())]
pub struct RolloutOrderRejected {
    /// Result code of the answer.
    pub code: ResultCode,
    /// Description of the problem.
    pub problem: String,
}

/// A parsed call to the control, readiness or entry-point API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SurfaceCall {
    /// Publishes the body as the traffic configuration.
    Publish,
    /// Reads the traffic configuration.
    ReadTraffic,
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is to be evacuated.
        evacuated: bool,
    },
    /// Starts the rollout that the body describes.
    BeginRollout,
    /// Reads the progress of the latest rollout of a service.
    ReadRollout {
        /// Name of the service.
        service: String,
    },
    /// Reads whether this process is ready.
    Readiness,
    /// Reads the entry-point addresses that a caller should use.
    EntryPoints {
        /// Host that the caller wants to reach.
        host: Option<String>,
        /// Region of the caller.
        region: Option<String>,
        /// Zone of the caller.
        zone: Option<String>,
    },
}

/// Codec for the control, readiness and entry-point API.
pub trait SurfaceProtocol: Send + Sync {
    /// Parses method and target; none if no such call exists.
    fn classify(&self, method: &Method, uri: &Uri) -> Option<SurfaceCall>;

    /// Parses and validates a published configuration.
    ///
    /// # Errors
    ///
    /// If the document is malformed or invalid.
    fn read_traffic(&self, document: &[u8]) -> Result<TrafficConfiguration, ConfigurationRejected>;

    /// Parses a rollout order. Whether its service exists is not checked.
    ///
    /// # Errors
    ///
    /// If the body is malformed or invalid.
    fn read_rollout_order(&self, body: &[u8]) -> Result<RolloutOrder, RolloutOrderRejected>;

    /// Encodes the progress of a rollout as a JSON body.
    fn rollout(&self, rollout: &Rollout) -> Vec<u8>;

    /// Encodes entry points and their lifetime in milliseconds as a JSON body.
    fn entry_points(&self, addresses: &[String], lifetime_ms: u64) -> Vec<u8>;
}

/// The codecs of one platform.
#[derive(Clone)]
pub struct Protocols {
    /// Codec for requests and answers.
    pub requests: std::sync::Arc<dyn RequestProtocol>,
    /// Codec for batch stages.
    pub batches: std::sync::Arc<dyn BatchProtocol>,
    /// Codec for the list of back ends.
    pub list: std::sync::Arc<dyn ListProtocol>,
    /// Codec for control, readiness and entry points.
    pub surface: std::sync::Arc<dyn SurfaceProtocol>,
}
