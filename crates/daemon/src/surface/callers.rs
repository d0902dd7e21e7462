//! HTTP API for callers.

use crate::clock;
use crate::event::{Event, EventSender};
use crate::metrics::Metrics;
use crate::requests::active::CallerRequest;
use crate::requests::answer::ErrorBody;
use crate::surface::error_response;
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use silversail_model::ResultCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Path prefix of pipelines.
const PIPELINES_PREFIX: &str = "/v1/pipelines/";
/// Path suffix after the name of a pipeline.
const REQUESTS_SUFFIX: &str = "/requests";
const ENTRY_POINTS_PATH: &str = "/v1/entry-points";
/// Header with the key of a request that may be sent repeatedly.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the token of an earlier response, to retry its request.
const RETRY_TOKEN_HEADER: &str = "silversail-retry-token";
/// `Retry-After` of a rejection because of too many connections, in milliseconds.
const CONNECTIONS_RETRY_AFTER_MS: u64 = 1_000;

/// Passes callers' requests to the main thread.
pub struct CallerHandler {
    events: EventSender,
    metrics: Arc<Metrics>,
    next_number: AtomicU64,
}

impl CallerHandler {
    /// A handler that passes requests on through `events`.
    pub fn new(events: EventSender, metrics: Arc<Metrics>) -> Self {
        Self {
            events,
            metrics,
            next_number: AtomicU64::new(1),
        }
    }

    fn pipeline_request(
        &self,
        pipeline: &str,
        request: Request,
        responder: Responder,
    ) -> Box<dyn FnOnce() + Send> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let header = |name| request.header(name).map(str::to_owned);
        let (key, retry_token) = (header(IDEMPOTENCY_KEY_HEADER), header(RETRY_TOKEN_HEADER));
        self.send(Event::CallerRequest(CallerRequest {
            number,
            pipeline: pipeline.to_owned(),
            body: request.body,
            key,
            retry_token,
            arrived_at: clock::now(),
            responder,
        }));
        let events = self.events.clone();
        Box::new(move || {
            let _ = events.send(Event::CallerDisconnected(number));
        })
    }

    fn send(&self, event: Event) {
        // Sending fails only while the process exits; dropping the responder then closes
        // the connection.
        let _ = self.events.send(event);
    }

    fn respond_with_error(&self, responder: Responder, code: ResultCode, message: String) {
        let (head, body) = self.error_response(code, message, None);
        responder.respond(head, body);
    }

    fn error_response(
        &self,
        code: ResultCode,
        message: String,
        retry_after_ms: Option<u64>,
    ) -> (ResponseHead, Vec<u8>) {
        self.metrics
            .refusals
            .with_label_values(&[code.reason()])
            .inc();
        let mut body = ErrorBody::new("", code, message);
        body.retry_after_ms = retry_after_ms;
        error_response(code, &body)
    }
}

impl Handler for CallerHandler {
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        let path = request.path.clone();
        let pipeline = path
            .strip_prefix(PIPELINES_PREFIX)
            .and_then(|rest| rest.strip_suffix(REQUESTS_SUFFIX));
        match (request.method.as_str(), pipeline) {
            ("POST", Some(pipeline)) => return self.pipeline_request(pipeline, request, responder),
            ("GET", None) if path == ENTRY_POINTS_PATH => {
                let zone = request.query.strip_prefix("zone=").map(str::to_owned);
                self.send(Event::EntryPointsRequest { zone, responder });
            }
            _ => {
                let message = format!("no {} {path}", request.method);
                self.respond_with_error(responder, ResultCode::UnknownPath, message);
            }
        }
        Box::new(|| {})
    }

    fn reject(&self, reason: RejectReason, head: &Request) -> (ResponseHead, Vec<u8>) {
        let (code, message, retry_after_ms) = match reason {
            RejectReason::BodyTooLarge => (
                ResultCode::BodyTooLarge,
                "the body exceeds the size limit",
                None,
            ),
            RejectReason::BodyTimeout => (
                ResultCode::SlowRequest,
                "the body was not received in time",
                None,
            ),
            RejectReason::BodyInterrupted => (
                ResultCode::MalformedRequest,
                "the connection was closed before the body was complete",
                None,
            ),
            RejectReason::TooManyConnections | RejectReason::BodyMemoryExhausted => (
                ResultCode::TooManyRequests,
                "too many connections are open",
                Some(CONNECTIONS_RETRY_AFTER_MS),
            ),
        };
        // Another copy of a request with a key may be in progress on another node. As this
        // copy was not read, the response must not imply that the request had no effect.
        let is_unread = reason != RejectReason::BodyTooLarge;
        let code = match head.header(IDEMPOTENCY_KEY_HEADER) {
            Some(_) if is_unread => ResultCode::FenceUnavailable,
            _ => code,
        };
        self.error_response(code, message.to_owned(), retry_after_ms)
    }
}
