//! The typed ports between the product and the outside protocols. An adapter
//! implements them; nothing else knows the protocols' names.

use http::{HeaderMap, Method, Uri};
use silversail_model::{ContentDigest, NamedLimit, ResultCode, TrafficConfiguration};
pub use silversail_peer::ListedInstance;
use silversail_peer::{Piece, PieceFailure, ResultHandle};
pub use silversail_rollout::{Directive, Rollout, RolloutOrder, RolloutState, Verdict};
use std::time::Duration;

/// A part of a prompt that may be shared between requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identifies the content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What routing needs to know of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallAttributes {
    /// The caller's identifier of this attempt.
    pub id: String,
    /// Host that the request names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The key that the caller sent.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// Parts of the prompt in order.
    pub prefix: Vec<PrefixPart>,
    /// Pieces of each phase; 0 leaves a phase out.
    pub pieces: Vec<u32>,
    /// From what the pieces of phases without inputs are made.
    pub piece_key: String,
    /// Names of headers that only the system may set and that the caller sent; they
    /// are stripped_headers from engines.
    pub stripped_headers: Vec<String>,
    /// Digest of its target and body.
    pub content: ContentDigest,
}

/// Why a request can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The identifier of the attempt is absent or empty.
    #[error("the request has no identifier")]
    MissingId,
    /// A header that routing needs can't be read.
    #[error("header {0} can't be read")]
    MalformedHeader(String),
}

/// What goes with a request to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SendAttributes {
    /// Name of the engine that is meant; another at its address must not run it.
    pub instance: String,
    /// Milliseconds that remain.
    pub remaining_ms: u64,
    /// The tenant whose key the caller sent.
    pub tenant: Option<String>,
    /// Rank; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Results of the phases before.
    pub inputs: Vec<ResultHandle>,
}

/// Load that a back end tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there now.
    pub pace: Pace,
}

/// How long work takes at a back end now, against what it usually takes, in hundredths: what else
/// its machine does makes it longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace(pub u32);

impl Pace {
    /// As long as usual; also where a back end does not tell.
    pub const NORMAL: Self = Self(100);

    /// How much longer than usual, as a share of the usual time; less than 0 where it is quicker.
    pub fn excess_over_normal(self) -> f64 {
        (f64::from(self.0) - f64::from(Self::NORMAL.0)) / f64::from(Self::NORMAL.0)
    }
}

/// What a back end says of itself in the head of an answer, whatever the answer is to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SelfReport {
    /// Its load, where told.
    pub load: Option<ReportedLoad>,
    /// How long it wants nothing from this node, where it turns a request away and says so; the
    /// longest where it names several.
    pub rest: Option<Duration>,
    /// Whether it names a rest that can't be read.
    pub has_unreadable_rest: bool,
    /// Whether it names a pace that can't be read.
    pub has_unreadable_pace: bool,
    /// Whether it says that it leaves and takes nothing new.
    pub is_leaving: bool,
    /// How many requests it takes from all nodes together, for as long as it says so.
    pub limit: NamedLimit,
    /// Names of headers by which it says something of itself that is not known here.
    pub unknown: Vec<String>,
}

/// What the head of an engine's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether it names the request that was sent.
    pub matches_request: bool,
    /// Whether the engine says that it did not run the request.
    pub not_run: bool,
    /// Whether it bears the engine's signature.
    pub is_signed: bool,
    /// What the engine says of itself; nothing where another one than was meant answers.
    pub report: SelfReport,
}

/// Translates callers' requests and engines' answers.
pub trait RequestProtocol: Send + Sync {
    /// Reads what routing needs.
    fn read_request(&self, uri: &Uri, headers: &HeaderMap) -> Result<CallAttributes, RequestError>;

    /// The headers of the request to an engine, from those of the caller.
    fn engine_headers(&self, caller: &HeaderMap, send: &SendAttributes) -> HeaderMap;

    /// Reads an engine's answer to the request `id`.
    fn read_answer(&self, status: u16, headers: &HeaderMap, id: &str) -> AnswerHead;

    /// The headers of an answer of the product's own.
    fn own_answer_headers(&self, id: &str, retry_after: Option<Duration>) -> HeaderMap;
}

/// A call to a back end, as method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendCall {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Further headers.
    pub headers: HeaderMap,
    /// Body, in JSON; empty for none.
    pub body: Vec<u8>,
}

/// What a batch call came to, for each piece.
pub type PieceResults = Vec<Result<ResultHandle, PieceFailure>>;

/// Translates calls to batch stages.
pub trait BatchProtocol: Send + Sync {
    /// The call that makes `pieces` at the back end that calls itself `instance`; `remaining_ms` belongs to
    /// each piece.
    fn run_call(&self, instance: &str, pieces: &[(Piece, u64)]) -> BackendCall;

    /// Reads the answer to a call with `pieces` pieces; none when it is no
    /// whole answer.
    fn read_run(&self, body: &[u8], pieces: usize) -> Option<PieceResults>;

    /// The call that frees results.
    fn free_call(&self, handles: &[ResultHandle]) -> BackendCall;

    /// Address of the back end that holds a result.
    fn maker_address<'a>(&self, handle: &'a ResultHandle) -> &'a str;
}

/// A page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Its entries.
    pub instances: Vec<ListedInstance>,
    /// Names the next page; none on the last.
    pub next: Option<String>,
    /// Why entries name no back end, one text for each.
    pub malformed: Vec<String>,
}

/// Translates the list of back ends.
pub trait ListProtocol: Send + Sync {
    /// Path that gives a page; none names the first.
    fn list_call(&self, page: Option<&str>) -> BackendCall;

    /// Reads a page; none when it is no whole page.
    fn read_list(&self, body: &[u8]) -> Option<ListPage>;
}

/// Why a published configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigurationRejected(pub String);

/// Why a body is no order of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} {}: {problem}", code.number(), code.reason())]
pub struct RolloutOrderRejected {
    /// Numbered code.
    pub code: ResultCode,
    /// In words.
    pub problem: String,
}

/// What a call to the control, readiness or entry-point surface asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SurfaceCall {
    /// Publish the body as the traffic configuration.
    Publish,
    /// Read the traffic configuration.
    ReadTraffic,
    /// Begin or end the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is evacuated from now on.
        evacuated: bool,
    },
    /// Begin the rollout that the body orders.
    BeginRollout,
    /// Tell how far the latest rollout of a service is.
    ReadRollout {
        /// The service.
        service: String,
    },
    /// Tell whether this process is ready.
    Readiness,
    /// Tell which addresses to use.
    EntryPoints {
        /// The host that the caller wants to reach.
        host: Option<String>,
        /// Region of the caller.
        region: Option<String>,
        /// Zone of the caller.
        zone: Option<String>,
    },
}

/// Translates the operator's, the platform's and callers' questions.
pub trait SurfaceProtocol: Send + Sync {
    /// What a call asks; none when no such call exists.
    fn classify(&self, method: &Method, uri: &Uri) -> Option<SurfaceCall>;

    /// Reads a published configuration, validated.
    fn read_traffic(&self, document: &[u8]) -> Result<TrafficConfiguration, ConfigurationRejected>;

    /// Reads an order of a rollout. Whether its service exists is not checked.
    fn read_rollout_order(&self, body: &[u8]) -> Result<RolloutOrder, RolloutOrderRejected>;

    /// The answer that tells how far a rollout is, as a JSON body.
    fn rollout(&self, rollout: &Rollout) -> Vec<u8>;

    /// The answer that names entry points, as a JSON body.
    fn entry_points(&self, addresses: &[String], lifetime_ms: u64) -> Vec<u8>;
}

/// All ports of one platform.
#[derive(Clone)]
pub struct Protocols {
    /// Requests and answers.
    pub requests: std::sync::Arc<dyn RequestProtocol>,
    /// Batch stages.
    pub batches: std::sync::Arc<dyn BatchProtocol>,
    /// The list of back ends.
    pub list: std::sync::Arc<dyn ListProtocol>,
    /// Control, readiness and entry points.
    pub surface: std::sync::Arc<dyn SurfaceProtocol>,
}
