//! HTTP service for callers, with one task per request.

use crate::event::{Event, EventSender};
use crate::gateway::event::{Decision, GatewayEvent};
use crate::gateway::forwarding::read_forward;
use crate::gateway::received_request::{ReceivedRequest, RequestHead};
use crate::gateway::request_sender::{RequestSender, StreamCallbacks};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::http::request::Parts;
use hyper::Response;
use silversail_decisions::Event as DecisionEvent;
use silversail_http::{
    AsyncService, IncomingRequest, OutgoingBody, RejectReason, RelayOutcome, ServedResponse,
    ServiceFuture, ServiceLimits,
};
use silversail_model::traffic::CallerLimits;
use silversail_model::{ContentDigest, ResultCode};
use silversail_serving::dispatcher::{Refusal, RequestNumber, SendOutcome};
use silversail_serving::end_to_end::EndToEndHeaders;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Limits until the first traffic configuration is applied.
const DEFAULT_LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(15),
};

/// Retry delay sent to callers when the memory for request bodies is exhausted. Slow back ends
/// read held bodies in seconds.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// HTTP service that accepts callers' requests.
#[derive(Clone)]
pub struct CallerService {
    /// Channel to the gateway actor.
    pub events: EventSender,
    /// Sends requests to back ends.
    pub request_sender: RequestSender,
    /// Next request number, shared by all clones.
    pub next_number: Arc<AtomicU64>,
    /// Limits from the traffic configuration.
    pub limits: watch::Receiver<Option<CallerLimits>>,
    /// Whether the process is stopping.
    pub stopping: watch::Receiver<bool>,
}

/// Reports that the caller disconnected if it is dropped before the request ends.
struct DisconnectGuard {
    number: RequestNumber,
    events: EventSender,
    is_armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_armed {
            send_event(
                &self.events,
                GatewayEvent::CallerDisconnected {
                    number: self.number,
                },
            );
        }
    }
}

fn send_event(events: &EventSender, event: GatewayEvent) {
    // The receiver is dropped only when the process ends.
    let _ = events.send(Event::Gateway(event));
}

impl AsyncService for CallerService {
    fn call(&self, request: IncomingRequest) -> ServiceFuture {
        let service = self.clone();
        let request = ReceivedRequest {
            head: self.read_head(request.parts),
            body: request.body,
        };
        Box::pin(async move { service.serve(request).await })
    }

    fn reject(&self, reason: RejectReason, head: Parts) -> ServedResponse {
        let code = match reason {
            RejectReason::BodyTooLarge => ResultCode::BodyTooLarge,
            RejectReason::BodyTimeout => ResultCode::SlowRequest,
            RejectReason::BodyInterrupted => ResultCode::MalformedRequest,
            RejectReason::TooManyConnections | RejectReason::BodyMemoryExhausted => {
                ResultCode::TooManyRequests
            }
        };
        let refusals = &self.request_sender.notice_recorder.metrics.refusals;
        refusals.with_label_values(&[code.reason()]).inc();
        let retry_after = (code == ResultCode::TooManyRequests).then_some(BODY_MEMORY_RETRY_AFTER);
        let head = self.read_head(head);
        let protocol = &self.request_sender.protocols.requests;
        let call = protocol.read_request(&head.target, &head.headers);
        let id = call.map(|call| call.id).unwrap_or_default();
        Ok(self.local_response(&id, code, retry_after))
    }

    fn limits(&self) -> ServiceLimits {
        match &*self.limits.borrow() {
            None => DEFAULT_LIMITS,
            Some(limits) => ServiceLimits {
                head_bytes: limits.header_bytes,
                body_bytes: limits.body_bytes,
                idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
                ..DEFAULT_LIMITS
            },
        }
    }
}

impl CallerService {
    fn read_head(&self, parts: Parts) -> RequestHead {
        let exchanges = &self.request_sender.exchanges;
        let headers = exchanges.end_to_end_headers(parts.headers);
        RequestHead {
            method: parts.method,
            headers: headers.with_host_of(&parts.uri),
            target: parts.uri,
        }
    }

    async fn serve(self, request: ReceivedRequest) -> ServedResponse {
        let protocol = &self.request_sender.protocols.requests;
        let head = &request.head;
        let mut call = match protocol.read_request(&head.target, &head.headers) {
            Ok(call) => call,
            Err(error) => return Ok(self.local_response("", error.code(), None)),
        };
        let target = head.target.path_and_query();
        let target = target.map_or("", |target| target.as_str());
        call.content = ContentDigest::of(target, &request.body);
        call.forwarded = read_forward(&head.headers);
        let id = call.id.clone();
        self.record_disregarded_options(&id, &head.headers);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let mut guard = DisconnectGuard {
            number,
            events: self.events.clone(),
            is_armed: true,
        };
        send_event(
            &self.events,
            GatewayEvent::RequestArrived {
                number,
                call: Box::new(call),
                decisions: sender,
            },
        );
        loop {
            let callbacks = self.stream_callbacks(number);
            let result = match decisions.recv().await {
                Some(Decision::Send(plan)) => {
                    let sender = &self.request_sender;
                    sender.send(&request, &id, &plan, callbacks).await
                }
                Some(Decision::Forward(plan)) => {
                    let sender = &self.request_sender;
                    sender.forward(&request, &id, &plan, callbacks).await
                }
                Some(Decision::Answer(refusal)) => {
                    guard.is_armed = false;
                    return Ok(self.refusal_response(&id, refusal));
                }
                // The process is ending; the connection is closed without an answer.
                None => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            if let Some(answer) = result.answer {
                guard.is_armed = false;
                if matches!(answer.body(), Either::Left(_)) {
                    self.report_send_end(number, result.outcome, result.load);
                }
                return Ok(self.with_close_while_stopping(answer));
            }
            self.report_send_end(number, result.outcome, result.load);
        }
    }

    /// Records which headers of the protocol the caller named in `Connection`.
    fn record_disregarded_options(&self, id: &str, headers: &EndToEndHeaders) {
        let options = headers.disregarded_options();
        if options.is_empty() {
            return;
        }
        let exchanges = &self.request_sender.exchanges;
        let counter = &exchanges
            .notice_recorder
            .metrics
            .disregarded_connection_options;
        for option in options {
            counter.with_label_values(&[option.as_str()]).inc();
        }
        exchanges
            .log
            .record(DecisionEvent::ConnectionOptionsDisregarded {
                request: id.to_owned(),
                headers: options.iter().map(ToString::to_string).collect(),
            });
    }

    fn report_send_end(
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
        send_event(&self.events, event);
    }

    fn stream_callbacks(&self, number: RequestNumber) -> StreamCallbacks {
        let (on_head, on_end) = (self.events.clone(), self.events.clone());
        StreamCallbacks {
            on_head: Box::new(move |load| {
                send_event(&on_head, GatewayEvent::HeadReceived { number, load });
            }),
            on_end: Box::new(move |status, end| {
                send_event(&on_end, stream_end_event(number, status, end))
            }),
        }
    }

    fn refusal_response(&self, id: &str, refusal: Refusal) -> Response<OutgoingBody> {
        let retry_after = refusal.retry_after_ms.map(Duration::from_millis);
        self.local_response(id, refusal.code, retry_after)
    }

    fn local_response(
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
        let protocol = &self.request_sender.protocols.requests;
        *response.headers_mut() = protocol.own_answer_headers(id, retry_after);
        self.with_close_while_stopping(response)
    }

    /// Adds `Connection: close` while the process is stopping, so that callers connect to another
    /// node.
    fn with_close_while_stopping(
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

fn stream_end_event(number: RequestNumber, status: u16, end: RelayOutcome) -> GatewayEvent {
    match end {
        RelayOutcome::CallerDisconnected => GatewayEvent::CallerDisconnected { number },
        RelayOutcome::Ended(end) => GatewayEvent::SendEnded {
            number,
            outcome: SendOutcome::Delivered { status, end },
            load: None,
        },
    }
}
