//! The callers' surface.

use crate::clock;
use crate::event::{Event, EventSender};
use crate::metrics::Metrics;
use crate::requests::active::CallerRequest;
use crate::requests::answer::RefusalBody;
use crate::surface::refusal_response;
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use silversail_model::ResultCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const PIPELINES_PREFIX: &str = "/v1/pipelines/";
const REQUESTS_SUFFIX: &str = "/requests";
const ENTRY_POINTS_PATH: &str = "/v1/entry-points";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const RETRY_TOKEN: &str = "silversail-retry-token";
/// When to come back after too many connections, in milliseconds.
const CONNECTIONS_RETRY_AFTER_MS: u64 = 1_000;

/// Hands callers' requests to the main thread.
pub struct CallerHandler {
    events: EventSender,
    metrics: Arc<Metrics>,
    next_number: AtomicU64,
}

impl CallerHandler {
    /// A handler that sends to `events`.
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
        let (key, retry_token) = (header(IDEMPOTENCY_KEY), header(RETRY_TOKEN));
        self.send(Event::Caller(CallerRequest {
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
            let _ = events.send(Event::CallerGone(number));
        })
    }

    fn send(&self, event: Event) {
        // The main thread is gone only when the process ends; the responder
        // dropped with the event then cuts the connection.
        let _ = self.events.send(event);
    }

    fn refuse(&self, responder: Responder, code: ResultCode, message: String) {
        let (head, body) = self.refusal(code, message, None);
        responder.respond(head, body);
    }

    fn refusal(
        &self,
        code: ResultCode,
        message: String,
        retry_after_ms: Option<u64>,
    ) -> (ResponseHead, Vec<u8>) {
        self.metrics
            .refusals
            .with_label_values(&[code.reason()])
            .inc();
        let mut body = RefusalBody::new("", code, message);
        body.retry_after_ms = retry_after_ms;
        refusal_response(code, &body)
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
                self.send(Event::EntryPoints { zone, responder });
            }
            _ => {
                let message = format!("no {} {path}", request.method);
                self.refuse(responder, ResultCode::UnknownPath, message);
            }
        }
        Box::new(|| {})
    }

    fn reject(&self, reason: RejectReason, head: &Request) -> (ResponseHead, Vec<u8>) {
        let (code, message, retry_after_ms) = match reason {
            RejectReason::BodyTooLarge => (ResultCode::BodyTooLarge, "the body is too large", None),
            RejectReason::BodyTimeout => {
                (ResultCode::SlowRequest, "the body came too slowly", None)
            }
            RejectReason::BodyInterrupted => {
                (ResultCode::MalformedRequest, "the body broke off", None)
            }
            RejectReason::TooManyConnections | RejectReason::BodyMemoryExhausted => (
                ResultCode::TooManyRequests,
                "too many connections are open",
                Some(CONNECTIONS_RETRY_AFTER_MS),
            ),
        };
        // Another copy of a keyed request may be on its way through another
        // node, and this one was not read, so nothing is known of its effect.
        let is_unread = reason != RejectReason::BodyTooLarge;
        let code = match head.header(IDEMPOTENCY_KEY) {
            Some(_) if is_unread => ResultCode::FenceUnavailable,
            _ => code,
        };
        self.refusal(code, message.to_owned(), retry_after_ms)
    }
}
