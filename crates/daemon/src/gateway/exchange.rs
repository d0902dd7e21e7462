//! One send of a caller's request to an engine, and what comes back.

use crate::clock::{self, Clock};
use crate::gateway::calls::CONNECT_TIMEOUT;
use crate::gateway::notices::NoticeListener;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{Request, Response};
use silversail_http::{
    Connection, ConnectionPool, IncomingRequest, OutgoingBody, RelayBody, RelayOutcome, SendError,
};
use silversail_limits::Serial;
use silversail_serving::dispatcher::{NotRunReason, SendOutcome, SendPlan, UnknownReason};
use silversail_serving::notices::{AnswerContext, ExchangeKind, UnavailableReason};
use silversail_serving::ports::{AnswerHead, Protocols, ReportedLoad};
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Answers up to this size are taken in whole before the caller gets them.
const MAX_WHOLE: usize = 1 << 20;
/// Longest wait for the body of an engine's refusal, to keep its connection.
const REFUSAL_BODY: Duration = Duration::from_millis(100);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Statuses which promise that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What came of a send.
pub struct SendResult {
    /// For the dispatcher.
    pub outcome: SendOutcome,
    /// Load that the engine told.
    pub load: Option<ReportedLoad>,
    /// The answer for the caller, where there is one.
    pub answer: Option<Response<OutgoingBody>>,
}

/// How a send ended early.
struct Ended {
    outcome: SendOutcome,
    load: Option<ReportedLoad>,
}

impl From<SendOutcome> for Ended {
    fn from(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            load: None,
        }
    }
}

impl From<UnavailableReason> for Ended {
    fn from(_: UnavailableReason) -> Self {
        SendOutcome::NotRun(NotRunReason::Withheld).into()
    }
}

/// Sends requests.
#[derive(Clone)]
pub struct Exchanger {
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// The outside protocols.
    pub protocols: Protocols,
    /// Time.
    pub clock: Clock,
    /// Takes what back ends say of themselves.
    pub listener: NoticeListener,
}

/// What a stream's relay tells, once it began.
pub struct StreamWatch {
    /// Told when the head came.
    pub on_head: Box<dyn FnOnce(Option<ReportedLoad>) + Send>,
    /// Told when the stream ended, with the engine's status.
    pub on_end: Box<dyn FnOnce(u16, RelayOutcome) + Send>,
}

impl Exchanger {
    /// Sends the request `id` by `plan`, until the plan's end at the longest. `watch`
    /// is told of the head and the end of an answer that is relayed as it comes.
    pub async fn send(
        &self,
        request: &IncomingRequest,
        id: &str,
        plan: &SendPlan,
        watch: StreamWatch,
    ) -> SendResult {
        let end = clock::steady(self.clock.instant(plan.end));
        let sent = timeout_at(end.into(), self.try_send(request, id, plan, watch, end)).await;
        match sent {
            Ok(Ok(result)) => result,
            Ok(Err(ended)) => SendResult {
                outcome: ended.outcome,
                load: ended.load,
                answer: None,
            },
            Err(_) => SendResult {
                outcome: SendOutcome::Unknown(UnknownReason::Deadline),
                load: None,
                answer: None,
            },
        }
    }

    async fn try_send(
        &self,
        request: &IncomingRequest,
        id: &str,
        plan: &SendPlan,
        watch: StreamWatch,
        end: Instant,
    ) -> Result<SendResult, Ended> {
        let (mut connection, response, permit) = self.first_head(request, plan).await?;
        connection.apply_keep_alive(response.headers());
        let status = response.status().as_u16();
        let head = self
            .protocols
            .requests
            .read_answer(status, response.headers(), id);
        let answer = AnswerContext {
            path: ExchangeKind::Request,
            permit,
            is_success: is_sound(status, &head) && status < 500,
        };
        self.listener.heard(&plan.instance, answer, &head.report);
        if head.not_run {
            let reason = not_run_reason(status);
            keep_after_refusal(connection, response.into_body()).await;
            return Err(Ended {
                outcome: SendOutcome::NotRun(reason),
                load: head.report.load,
            });
        }
        if !is_sound(status, &head) {
            return Err(SendOutcome::Unknown(UnknownReason::Garbled).into());
        }
        if status >= 500 && plan.may_repeat {
            keep_after_refusal(connection, response.into_body()).await;
            return Err(Ended {
                outcome: SendOutcome::Failed { status },
                load: head.report.load,
            });
        }
        let is_long = content_length(response.headers()).is_some_and(|length| length > MAX_WHOLE);
        if plan.is_stream || is_long {
            return Ok(relay(response, connection, head, watch, end));
        }
        whole(response, connection, head).await
    }

    /// Connects, sends, and waits for the answer's head. Tells the permit with which it was sent.
    async fn first_head(
        &self,
        request: &IncomingRequest,
        plan: &SendPlan,
    ) -> Result<(Connection, Response<Incoming>, Option<Serial>), Ended> {
        let mut permit = self.listener.admit(&plan.instance, ExchangeKind::Request)?;
        if let Some(mut connection) = self.pool.take_idle(&plan.address) {
            permit.spend();
            match connection.send(self.build(request, plan)).await {
                Ok(response) => return Ok((connection, response, permit.serial())),
                // The engine closed it meanwhile; nothing was sent.
                Err(SendError::NotSent(_)) => permit.unspend(),
                Err(SendError::NoAnswer(_)) => {
                    return Err(SendOutcome::Unknown(UnknownReason::Broken).into())
                }
            }
        }
        let unreachable = || Ended::from(SendOutcome::NotRun(NotRunReason::Unreachable));
        let connecting = self.pool.connect(&plan.address, CONNECT_TIMEOUT);
        let mut connection = connecting.await.map_err(|_| unreachable())?;
        // Other answers may have come while this one connected.
        let mut permit = match permit.renew() {
            Ok(permit) => permit,
            Err(withheld) => {
                connection.return_to_pool();
                return Err(withheld.into());
            }
        };
        permit.spend();
        match connection.send(self.build(request, plan)).await {
            Ok(response) => Ok((connection, response, permit.serial())),
            Err(SendError::NotSent(_)) => {
                permit.unspend();
                Err(unreachable())
            }
            Err(SendError::NoAnswer(_)) => Err(SendOutcome::Unknown(UnknownReason::Broken).into()),
        }
    }

    /// Time until a plan's end.
    fn left(&self, plan: &SendPlan) -> Duration {
        let end = self.clock.instant(plan.end);
        end.saturating_duration_since(clock::now())
    }

    fn build(&self, request: &IncomingRequest, plan: &SendPlan) -> Request<Full<Bytes>> {
        let mut attributes = plan.attributes.clone();
        attributes.remaining_ms = self.left(plan).as_millis() as u64;
        let mut headers = self
            .protocols
            .requests
            .engine_headers(&request.parts.headers, &attributes);
        strip_connection_headers(&mut headers);
        headers.remove(EXPECT);
        let target = request.parts.uri.path_and_query();
        let mut built = Request::builder()
            .method(request.parts.method.clone())
            .uri(target.map_or("/", |target| target.as_str()))
            .body(Full::new(request.body.clone()))
            .expect("method and target came in a request that was read");
        *built.headers_mut() = headers;
        built
    }
}

fn not_run_reason(status: u16) -> NotRunReason {
    match status {
        421 => NotRunReason::Misplaced,
        409 => NotRunReason::InputsGone,
        503 | 429 => NotRunReason::Full,
        _ => NotRunReason::Refused,
    }
}

/// Whether an answer can be passed on. A promise that the engine does not give
/// itself is none: passed on it would say that the request did not run.
fn is_sound(status: u16, head: &AnswerHead) -> bool {
    let is_success = (200..300).contains(&status);
    head.matches_request && (head.is_signed || !is_success) && !PROMISES.contains(&status)
}

async fn keep_after_refusal(connection: Connection, body: Incoming) {
    let body = Limited::new(body, MAX_WHOLE).collect();
    if let Ok(Ok(_)) = timeout(REFUSAL_BODY, body).await {
        connection.return_to_pool();
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Removes what belongs to one connection only.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
}

fn relay(
    response: Response<Incoming>,
    connection: Connection,
    head: AnswerHead,
    watch: StreamWatch,
    end: Instant,
) -> SendResult {
    let (mut parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    strip_connection_headers(&mut parts.headers);
    (watch.on_head)(head.report.load);
    let on_end = watch.on_end;
    let body = RelayBody::new(body, connection, end, move |end| on_end(status, end));
    SendResult {
        outcome: SendOutcome::Delivered {
            status,
            is_whole: true,
        },
        load: head.report.load,
        answer: Some(Response::from_parts(parts, Either::Right(body))),
    }
}

async fn whole(
    response: Response<Incoming>,
    connection: Connection,
    head: AnswerHead,
) -> Result<SendResult, Ended> {
    let (mut parts, body) = response.into_parts();
    let collected = Limited::new(body, MAX_WHOLE).collect().await;
    let Ok(body) = collected else {
        return Err(Ended {
            outcome: SendOutcome::Unknown(UnknownReason::Broken),
            load: head.report.load,
        });
    };
    connection.return_to_pool();
    strip_connection_headers(&mut parts.headers);
    let outcome = SendOutcome::Delivered {
        status: parts.status.as_u16(),
        is_whole: true,
    };
    let body = Either::Left(Full::new(body.to_bytes()));
    Ok(SendResult {
        outcome,
        load: head.report.load,
        answer: Some(Response::from_parts(parts, body)),
    })
}
