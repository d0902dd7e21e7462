//! HTTP service for operators, readiness checks and entry-point lookups.

use crate::evacuation::EvacuationRequest;
use crate::event::{Event, EventSender};
use crate::gateway::entry_points::EntryPointLookup;
use crate::gateway::event::{GatewayEvent, SurfaceReply, SurfaceRequest};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::Response;
use silversail_control::PublishedTraffic;
use silversail_http::{
    AsyncService, IncomingRequest, OutgoingBody, RejectReason, ServedResponse, ServiceFuture,
    ServiceLimits,
};
use silversail_model::ResultCode;
use silversail_serving::ports::{Protocols, SurfaceCall};
use std::time::Duration;
use tokio::sync::oneshot;

/// Request limits. Documents with thousands of routes have a few megabytes.
const LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 32 << 20,
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(30),
};
const BAD_REQUEST: u16 = 400;
/// Maximum size of a rollout order, in bytes.
const MAX_ROLLOUT_ORDER_BYTES: usize = 16 << 10;

/// HTTP service of the three surfaces, each of which has an address of its own.
#[derive(Clone)]
pub struct SurfaceService {
    /// Channel to the gateway actor.
    pub events: EventSender,
    /// Adapters for the external protocols.
    pub protocols: Protocols,
    /// Time for which callers cache entry points, in milliseconds.
    pub answer_lifetime_ms: u64,
}

impl AsyncService for SurfaceService {
    fn call(&self, request: IncomingRequest) -> ServiceFuture {
        let service = self.clone();
        Box::pin(async move { Ok(service.serve(request).await) })
    }

    fn reject(&self, reason: RejectReason, _head: Parts) -> ServedResponse {
        let code = match reason {
            RejectReason::BodyTooLarge => ResultCode::BodyTooLarge,
            RejectReason::BodyMemoryExhausted => ResultCode::TooManyRequests,
            _ => ResultCode::MalformedRequest,
        };
        Ok(text_response(code.http_status(), code.reason()))
    }

    fn limits(&self) -> ServiceLimits {
        LIMITS
    }
}

impl SurfaceService {
    async fn serve(self, request: IncomingRequest) -> Response<OutgoingBody> {
        let surface = &self.protocols.surface;
        let call = surface.classify(&request.parts.method, &request.parts.uri);
        let surface_request = match call {
            None => return text_response(404, "no such call"),
            Some(SurfaceCall::Publish) => match surface.read_traffic(&request.body) {
                Ok(traffic) => SurfaceRequest::Publish(Box::new(PublishedTraffic {
                    document: request.body.to_vec(),
                    traffic,
                })),
                Err(rejected) => return text_response(BAD_REQUEST, &rejected.to_string()),
            },
            Some(SurfaceCall::Evacuate { .. }) if !request.body.is_empty() => {
                return refusal_response(ResultCode::UnexpectedBody);
            }
            Some(SurfaceCall::Evacuate { zone, evacuated }) => {
                SurfaceRequest::Evacuate(EvacuationRequest { zone, evacuated })
            }
            Some(SurfaceCall::BeginRollout) if request.body.len() > MAX_ROLLOUT_ORDER_BYTES => {
                return refusal_response(ResultCode::BodyTooLarge);
            }
            Some(SurfaceCall::BeginRollout) => match surface.read_rollout_order(&request.body) {
                Ok(order) => SurfaceRequest::BeginRollout(order),
                Err(rejected) => {
                    return text_response(rejected.code.http_status(), &rejected.to_string())
                }
            },
            Some(SurfaceCall::ReadRollout { service }) => SurfaceRequest::ReadRollout { service },
            Some(SurfaceCall::ReadTraffic) => SurfaceRequest::ReadTraffic,
            Some(SurfaceCall::Readiness) => SurfaceRequest::Readiness,
            Some(SurfaceCall::EntryPoints { host, region, zone }) => {
                SurfaceRequest::EntryPoints(EntryPointLookup { host, region, zone })
            }
        };
        match self.send_to_actor(surface_request).await {
            Some(reply) => self.reply_response(reply),
            None => text_response(503, "stopping"),
        }
    }

    async fn send_to_actor(&self, request: SurfaceRequest) -> Option<SurfaceReply> {
        let (reply, answer) = oneshot::channel();
        let event = GatewayEvent::SurfaceRequested { request, reply };
        self.events.send(Event::Gateway(event)).ok()?;
        answer.await.ok()
    }

    fn reply_response(&self, reply: SurfaceReply) -> Response<OutgoingBody> {
        match reply {
            SurfaceReply::Published(published) => {
                json_response(format!("{{\"in_force\":{}}}", published.in_force).into_bytes())
            }
            SurfaceReply::ZoneOrdered(revision) => {
                json_response(format!("{{\"revision\":{revision}}}").into_bytes())
            }
            SurfaceReply::RolloutOrdered(Ok(number)) => {
                json_response(format!("{{\"rollout\":{number}}}").into_bytes())
            }
            SurfaceReply::RolloutOrdered(Err(error)) if error.code.http_status() == 503 => {
                unavailable_response(error.code)
            }
            SurfaceReply::RolloutOrdered(Err(error)) => {
                text_response(error.code.http_status(), &error.to_string())
            }
            SurfaceReply::Rollout(rollout) => {
                json_response(self.protocols.surface.rollout(&rollout))
            }
            SurfaceReply::Refused(code) => refusal_response(code),
            SurfaceReply::Invalid(reason) => text_response(BAD_REQUEST, &reason),
            SurfaceReply::Traffic(document) => json_response(document),
            SurfaceReply::Ready => text_response(200, "ready"),
            SurfaceReply::EntryPoints(addresses) => {
                let surface = &self.protocols.surface;
                json_response(surface.entry_points(&addresses, self.answer_lifetime_ms))
            }
            SurfaceReply::Unavailable(code) => unavailable_response(code),
        }
    }
}

fn unavailable_response(code: ResultCode) -> Response<OutgoingBody> {
    let mut response = text_response(503, code.reason());
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("0.3"));
    response
}

fn refusal_response(code: ResultCode) -> Response<OutgoingBody> {
    let text = format!("{} {}", code.number(), code.reason());
    text_response(code.http_status(), &text)
}

fn text_response(status: u16, text: &str) -> Response<OutgoingBody> {
    Response::builder()
        .status(status)
        .body(Either::Left(Full::new(Bytes::from(text.to_owned()))))
        .expect("statuses are constants and valid")
}

fn json_response(body: Vec<u8>) -> Response<OutgoingBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
