//! One send of a caller's request to a back end, and its answer.

use crate::clock::{self, Clock};
use crate::gateway::calls::CONNECT_TIMEOUT;
use crate::gateway::exchange::{Exchange, ExchangeClient, ExchangeError, ExchangeRole, OwnAnswer};
use crate::gateway::forwarding::{FORWARDED, MIN_CONFIGURATION};
use crate::gateway::notices::NoticeRecorder;
use crate::gateway::received_request::ReceivedRequest;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use silversail_http::{
    AnswerBody, BodyMemoryLimit, ConnectionPool, OutgoingBody, RelayBody, RelayOutcome,
    ReservedMemory,
};
use silversail_limits::Serial;
use silversail_model::AnswerEnd;
use silversail_serving::dispatcher::{NotRunReason, SendOutcome, SendPlan, UnknownReason};
use silversail_serving::notices::{AnswerContext, ExchangeKind, UnavailableReason};
use silversail_serving::ports::{AnswerHead, Protocols, ReportedLoad};
use silversail_serving::Millis;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Maximum size of answers that are buffered before they are forwarded, in bytes. Longer ones are
/// streamed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// Answers up to this size are buffered without a reservation of memory, in bytes: to relay one takes
/// as much.
const MAX_UNRESERVED_ANSWER_BYTES: usize = 32 << 10;
/// Maximum wait for the body of a refusal, which must be read before the connection can be
/// reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Statuses by which a back end guarantees that it did not run the request.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Outcome of a send.
pub struct SendResult {
    /// Outcome for the dispatcher.
    pub outcome: SendOutcome,
    /// Load that the back end reported.
    pub load: Option<ReportedLoad>,
    /// Answer to forward to the caller; `None` if the dispatcher decides what follows.
    pub answer: Option<Response<OutgoingBody>>,
}

/// End of a send without an answer for the caller.
pub(super) struct FailedSend {
    outcome: SendOutcome,
    load: Option<ReportedLoad>,
}

impl From<SendOutcome> for FailedSend {
    fn from(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            load: None,
        }
    }
}

impl From<ExchangeError> for FailedSend {
    fn from(error: ExchangeError) -> Self {
        let outcome = match error {
            ExchangeError::NotSent(_) => SendOutcome::NotRun(NotRunReason::Unreachable),
            ExchangeError::NoAnswer(_) => SendOutcome::Unknown(UnknownReason::Broken),
            ExchangeError::Foreign(_) => SendOutcome::Unknown(UnknownReason::Foreign),
        };
        outcome.into()
    }
}

impl From<UnavailableReason> for FailedSend {
    fn from(_: UnavailableReason) -> Self {
        SendOutcome::NotRun(NotRunReason::BackendUnavailable).into()
    }
}

/// Sends callers' requests to back ends.
#[derive(Clone)]
pub struct RequestSender {
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// Adapters for the external protocols.
    pub protocols: Protocols,
    /// Clock by which deadlines are measured.
    pub clock: Clock,
    /// Records what back ends report about themselves.
    pub notice_recorder: NoticeRecorder,
    /// Makes the exchanges.
    pub exchanges: ExchangeClient,
    /// Limits the buffered answers.
    pub answer_memory: BodyMemoryLimit,
}

/// Callbacks for the progress of a streamed answer.
pub struct StreamCallbacks {
    /// Called with the reported load when the head is received.
    pub on_head: Box<dyn FnOnce(Option<ReportedLoad>) + Send>,
    /// Called with the back end's status when the stream ends.
    pub on_end: Box<dyn FnOnce(u16, RelayOutcome) + Send>,
}

impl RequestSender {
    /// Sends the request `id` to the back end of `plan`, until the plan's deadline. The callbacks
    /// are used for streamed answers only.
    pub async fn send(
        &self,
        request: &ReceivedRequest,
        id: &str,
        plan: &SendPlan,
        callbacks: StreamCallbacks,
    ) -> SendResult {
        let deadline = clock::to_monotonic(self.clock.instant(plan.end));
        let sending = self.try_send(request, id, plan, callbacks, deadline);
        until_deadline(sending, deadline).await
    }

    async fn try_send(
        &self,
        request: &ReceivedRequest,
        id: &str,
        plan: &SendPlan,
        callbacks: StreamCallbacks,
        deadline: Instant,
    ) -> Result<SendResult, FailedSend> {
        let (own, permit) = self.send_until_head(request, id, plan).await?;
        let (status, load) = (own.head.status, own.head.report.load);
        let answer = AnswerContext {
            path: ExchangeKind::Request,
            permit,
            is_success: may_be_forwarded(&own.head) && status < 500,
        };
        self.notice_recorder
            .record_report(&plan.instance, answer, &own.head.report);
        if own.head.not_run {
            let outcome = SendOutcome::NotRun(not_run_reason(status));
            own.reuse_after_refusal().await;
            return Err(FailedSend { outcome, load });
        }
        if !may_be_forwarded(&own.head) {
            return Err(SendOutcome::Unknown(UnknownReason::Garbled).into());
        }
        if status >= 500 && plan.may_repeat {
            let outcome = SendOutcome::Failed { status };
            own.reuse_after_refusal().await;
            return Err(FailedSend { outcome, load });
        }
        let answer = ReceivedAnswer::new(own)?;
        self.pass_on(answer, plan.is_stream, callbacks, deadline)
            .await
    }

    /// Passes an answer on, once it is complete or as it arrives: a stream, a long answer, and one for
    /// which there is no memory while callers are reading others.
    pub(super) async fn pass_on(
        &self,
        answer: ReceivedAnswer,
        is_stream: bool,
        callbacks: StreamCallbacks,
        deadline: Instant,
    ) -> Result<SendResult, FailedSend> {
        let buffering = match is_stream {
            true => None,
            false => Buffering::of(answer.max_body_bytes(), &self.answer_memory),
        };
        match buffering {
            Some(buffering) => answer.buffer(buffering).await,
            None => Ok(answer.stream(callbacks, deadline)),
        }
    }

    /// Connects, sends the request and waits for the head of the answer. Also returns the serial
    /// of the permit used.
    async fn send_until_head(
        &self,
        request: &ReceivedRequest,
        id: &str,
        plan: &SendPlan,
    ) -> Result<(OwnAnswer, Option<Serial>), FailedSend> {
        let exchange = Exchange {
            id,
            target: &plan.instance,
            role: ExchangeRole::Request,
        };
        let mut permit = self
            .notice_recorder
            .admit(&plan.instance, ExchangeKind::Request)?;
        if let Some(connection) = self.pool.take_idle(&plan.address, id) {
            permit.spend();
            let outgoing = self.build_request(request, plan);
            match self.exchanges.send(&exchange, connection, outgoing).await {
                Ok(own) => return Ok((own, permit.serial())),
                // The back end had closed the idle connection before the request was sent.
                Err(ExchangeError::NotSent(_)) => permit.unspend(),
                Err(error) => return Err(error.into()),
            }
        }
        let unreachable = || FailedSend::from(SendOutcome::NotRun(NotRunReason::Unreachable));
        let connecting = self.pool.connect(&plan.address, CONNECT_TIMEOUT);
        let connection = connecting.await.map_err(|_| unreachable())?;
        // Other answers may have changed the back end's state while this connection was opened.
        let mut permit = match permit.renew() {
            Ok(permit) => permit,
            Err(reason) => {
                connection.return_to_pool();
                return Err(reason.into());
            }
        };
        permit.spend();
        let outgoing = self.build_request(request, plan);
        let exchanged = self.exchanges.send(&exchange, connection, outgoing).await;
        if matches!(exchanged, Err(ExchangeError::NotSent(_))) {
            permit.unspend();
        }
        Ok((exchanged?, permit.serial()))
    }

    /// Time left until a deadline.
    pub(super) fn time_left(&self, end: Millis) -> Duration {
        let deadline = self.clock.instant(end);
        deadline.saturating_duration_since(clock::now())
    }

    fn build_request(&self, request: &ReceivedRequest, plan: &SendPlan) -> Request<Full<Bytes>> {
        let mut attributes = plan.attributes.clone();
        attributes.remaining_ms = self.time_left(plan.end).as_millis() as u64;
        let mut headers = self
            .protocols
            .requests
            .engine_headers(&request.head.headers, &attributes);
        headers.remove(FORWARDED);
        headers.remove(MIN_CONFIGURATION);
        with_headers(request, headers)
    }
}

/// Builds the request of a caller with other headers.
pub(super) fn with_headers(request: &ReceivedRequest, headers: HeaderMap) -> Request<Full<Bytes>> {
    let target = request.head.target.path_and_query();
    let mut outgoing = Request::builder()
        .method(request.head.method.clone())
        .uri(target.map_or("/", |target| target.as_str()))
        .body(Full::new(request.body.clone()))
        .expect("method and target came in a request that was read");
    *outgoing.headers_mut() = headers;
    outgoing
}

fn not_run_reason(status: u16) -> NotRunReason {
    match status {
        421 => NotRunReason::Misplaced,
        409 => NotRunReason::InputsGone,
        503 | 429 => NotRunReason::Full,
        _ => NotRunReason::Refused,
    }
}

/// Waits for the result of a send until `deadline`.
pub(super) async fn until_deadline(
    sending: impl Future<Output = Result<SendResult, FailedSend>>,
    deadline: Instant,
) -> SendResult {
    match timeout_at(deadline.into(), sending).await {
        Ok(Ok(result)) => result,
        Ok(Err(failed_send)) => SendResult {
            outcome: failed_send.outcome,
            load: failed_send.load,
            answer: None,
        },
        Err(_) => SendResult {
            outcome: SendOutcome::Unknown(UnknownReason::Deadline),
            load: None,
            answer: None,
        },
    }
}

/// Whether an answer may be forwarded. A status that guarantees the request did not run may come
/// only from the gateway: a forwarded one would be wrong.
fn may_be_forwarded(head: &AnswerHead) -> bool {
    let is_success = (200..300).contains(&head.status);
    (head.is_signed || !is_success) && !NOT_RUN_STATUSES.contains(&head.status)
}

impl OwnAnswer {
    /// Reads the body of a refusal and returns the connection to its pool.
    pub(super) async fn reuse_after_refusal(self) {
        let body = Limited::new(self.response.into_body(), MAX_BUFFERED_ANSWER_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body).await {
            self.connection.return_to_pool();
        }
    }
}

/// How an answer is buffered.
enum Buffering {
    Unreserved,
    Reserved(ReservedMemory),
}

impl Buffering {
    /// How to buffer an answer of at most `max_bytes`, if that is known; none if it is too long or there
    /// is no memory.
    fn of(max_bytes: Option<u64>, memory: &BodyMemoryLimit) -> Option<Self> {
        let max_bytes = match max_bytes {
            None => MAX_BUFFERED_ANSWER_BYTES,
            Some(bytes) => usize::try_from(bytes).ok()?,
        };
        match max_bytes {
            0..=MAX_UNRESERVED_ANSWER_BYTES => Some(Buffering::Unreserved),
            _ if max_bytes > MAX_BUFFERED_ANSWER_BYTES => None,
            _ => memory.try_reserve(max_bytes).map(Buffering::Reserved),
        }
    }

    fn hold(self, body: Bytes) -> Bytes {
        match self {
            Buffering::Reserved(memory) if body.len() > MAX_UNRESERVED_ANSWER_BYTES => {
                memory.attach_to(body)
            }
            Buffering::Reserved(_) | Buffering::Unreserved => body,
        }
    }
}

/// An answer whose head has been read.
pub(super) struct ReceivedAnswer {
    parts: Parts,
    body: AnswerBody,
    load: Option<ReportedLoad>,
}

impl ReceivedAnswer {
    /// Prepares an answer for the caller.
    pub(super) fn new(own: OwnAnswer) -> Result<Self, FailedSend> {
        let (mut parts, body) = AnswerBody::new(own.response, own.connection)
            .map_err(|_| FailedSend::from(SendOutcome::Unknown(UnknownReason::Garbled)))?;
        parts.headers = own.headers.into_map();
        let load = own.head.report.load;
        Ok(Self { parts, body, load })
    }

    /// Size of the body if it is known.
    fn max_body_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Passes the answer on as it arrives.
    fn stream(self, callbacks: StreamCallbacks, deadline: Instant) -> SendResult {
        let status = self.parts.status.as_u16();
        (callbacks.on_head)(self.load);
        let on_end = callbacks.on_end;
        let body = RelayBody::new(self.body, deadline, move |end| on_end(status, end));
        SendResult {
            outcome: whole_answer(status),
            load: self.load,
            answer: Some(Response::from_parts(self.parts, Either::Right(body))),
        }
    }

    /// Passes the answer on once it is complete.
    async fn buffer(self, buffering: Buffering) -> Result<SendResult, FailedSend> {
        let Ok(body) = self.body.collect(MAX_BUFFERED_ANSWER_BYTES).await else {
            return Err(FailedSend {
                outcome: SendOutcome::Unknown(UnknownReason::Broken),
                load: self.load,
            });
        };
        let outcome = whole_answer(self.parts.status.as_u16());
        let body = Either::Left(Full::new(buffering.hold(body)));
        Ok(SendResult {
            outcome,
            load: self.load,
            answer: Some(Response::from_parts(self.parts, body)),
        })
    }
}

fn whole_answer(status: u16) -> SendOutcome {
    let end = AnswerEnd::Whole;
    SendOutcome::Delivered { status, end }
}
