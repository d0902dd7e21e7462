//! The callers' side of the gateway: one task for each request.

use crate::event::{Event, EventSender};
use crate::gateway::event::{Decision, GatewayEvent};
use crate::gateway::exchange::{Exchanger, StreamWatch};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::http::request::Parts;
use hyper::Response;
use silversail_http::{
    AsyncService, IncomingRequest, OutgoingBody, RejectReason, RelayOutcome, ServedResponse,
    ServiceFuture, ServiceLimits,
};
use silversail_model::traffic::CallerLimits;
use silversail_model::{ContentDigest, ResultCode};
use silversail_serving::dispatcher::{Refusal, RequestNumber, SendOutcome};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Limits until a traffic configuration tells them.
const FIRST_LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(15),
};

/// When callers are told to come back where the process holds as many bodies as it may: slow
/// back ends read them in seconds.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// Serves callers.
#[derive(Clone)]
pub struct CallerService {
    /// Where requests are told.
    pub events: EventSender,
    /// Sends requests to engines.
    pub exchanger: Exchanger,
    /// Numbers requests.
    pub next_number: Arc<AtomicU64>,
    /// Limits of the traffic configuration.
    pub limits: watch::Receiver<Option<CallerLimits>>,
    /// Whether the process is stopping.
    pub stopping: watch::Receiver<bool>,
}

/// Tells that the caller left, unless the request ended before.
struct GoneGuard {
    number: RequestNumber,
    events: EventSender,
    armed: bool,
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if self.armed {
            tell(
                &self.events,
                GatewayEvent::CallerGone {
                    number: self.number,
                },
            );
        }
    }
}

fn tell(events: &EventSender, event: GatewayEvent) {
    // The main thread is gone only when the process ends.
    let _ = events.send(Event::Gateway(event));
}

impl AsyncService for CallerService {
    fn call(&self, request: IncomingRequest) -> ServiceFuture {
        let service = self.clone();
        Box::pin(async move { service.serve(request).await })
    }

    fn reject(&self, reason: RejectReason, _head: Parts) -> ServedResponse {
        let code = match reason {
            RejectReason::BodyTooLarge => ResultCode::BodyTooLarge,
            RejectReason::BodyTimeout => ResultCode::SlowRequest,
            RejectReason::BodyInterrupted => ResultCode::MalformedRequest,
            RejectReason::TooManyConnections | RejectReason::BodyMemoryExhausted => {
                ResultCode::TooManyRequests
            }
        };
        let refusals = &self.exchanger.listener.metrics.refusals;
        refusals.with_label_values(&[code.reason()]).inc();
        let wait = (code == ResultCode::TooManyRequests).then_some(RETRY_AFTER_FULL);
        Ok(self.own_answer("", code, wait))
    }

    fn limits(&self) -> ServiceLimits {
        match &*self.limits.borrow() {
            None => FIRST_LIMITS,
            Some(limits) => ServiceLimits {
                head_bytes: limits.header_bytes,
                body_bytes: limits.body_bytes,
                idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
                ..FIRST_LIMITS
            },
        }
    }
}

impl CallerService {
    async fn serve(self, request: IncomingRequest) -> ServedResponse {
        let protocol = &self.exchanger.protocols.requests;
        let parts = &request.parts;
        let mut call = match protocol.read_request(&parts.uri, &parts.headers) {
            Ok(call) => call,
            Err(_) => return Ok(self.own_answer("", ResultCode::MissingIdentifier, None)),
        };
        let target = parts.uri.path_and_query();
        let target = target.map_or("", |target| target.as_str());
        call.content = ContentDigest::of(target, &request.body);
        let id = call.id.clone();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let mut guard = GoneGuard {
            number,
            events: self.events.clone(),
            armed: true,
        };
        tell(
            &self.events,
            GatewayEvent::Arrived {
                number,
                call: Box::new(call),
                decisions: sender,
            },
        );
        loop {
            let plan = match decisions.recv().await {
                Some(Decision::Send(plan)) => plan,
                Some(Decision::Answer(refusal)) => {
                    guard.armed = false;
                    return Ok(self.refusal(&id, refusal));
                }
                // The process ends: the cut says nothing.
                None => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            let watch = self.watch(number);
            let result = self.exchanger.send(&request, &id, &plan, watch).await;
            if let Some(answer) = result.answer {
                guard.armed = false;
                if matches!(answer.body(), Either::Left(_)) {
                    self.ended(number, result.outcome, result.load);
                }
                return Ok(self.closing_when_stopping(answer));
            }
            self.ended(number, result.outcome, result.load);
        }
    }

    fn ended(
        &self,
        number: RequestNumber,
        outcome: SendOutcome,
        load: Option<silversail_serving::ports::ReportedLoad>,
    ) {
        let event = GatewayEvent::SendEnded {
            number,
            outcome,
            load,
        };
        tell(&self.events, event);
    }

    fn watch(&self, number: RequestNumber) -> StreamWatch {
        let (on_head, on_end) = (self.events.clone(), self.events.clone());
        StreamWatch {
            on_head: Box::new(move |load| {
                tell(&on_head, GatewayEvent::HeadReceived { number, load });
            }),
            on_end: Box::new(move |status, end| tell(&on_end, stream_end(number, status, end))),
        }
    }

    fn refusal(&self, id: &str, refusal: Refusal) -> Response<OutgoingBody> {
        let wait = refusal.retry_after_ms.map(Duration::from_millis);
        self.own_answer(id, refusal.code, wait)
    }

    fn own_answer(
        &self,
        id: &str,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) -> Response<OutgoingBody> {
        let body = format!("{} {}\n", code.number(), code.reason());
        let mut response = Response::builder()
            .status(code.http_status())
            .body(Either::Left(Full::new(Bytes::from(body))))
            .expect("statuses of codes are valid");
        let protocol = &self.exchanger.protocols.requests;
        *response.headers_mut() = protocol.own_answer_headers(id, retry_after);
        self.closing_when_stopping(response)
    }

    /// Callers of a process that is stopping are told to connect elsewhere.
    fn closing_when_stopping(
        &self,
        mut response: Response<OutgoingBody>,
    ) -> Response<OutgoingBody> {
        if *self.stopping.borrow() {
            let close = hyper::header::HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(hyper::header::CONNECTION, close);
        }
        response
    }
}

fn stream_end(number: RequestNumber, status: u16, end: RelayOutcome) -> GatewayEvent {
    let is_whole = end == RelayOutcome::Completed;
    match end {
        RelayOutcome::CallerDisconnected => GatewayEvent::CallerGone { number },
        RelayOutcome::Completed | RelayOutcome::ConnectionLost | RelayOutcome::TimedOut => {
            GatewayEvent::SendEnded {
                number,
                outcome: SendOutcome::Delivered { status, is_whole },
                load: None,
            }
        }
    }
}
