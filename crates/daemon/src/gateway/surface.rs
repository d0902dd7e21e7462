//! The surfaces for the operator, for readiness and for entry points.

use crate::evacuation::ZoneOrder;
use crate::event::{Event, EventSender};
use crate::gateway::entry_points::EntryCaller;
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

/// What these surfaces take: a document of thousands of routes is a few megabytes.
const LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 32 << 20,
    body_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(30),
};
const BAD_REQUEST: u16 = 400;
/// Largest order of a rollout, in bytes: two names and a number take a few hundred.
const LARGEST_ROLLOUT_ORDER: usize = 16 << 10;

/// Serves the three surfaces, each at its own address.
#[derive(Clone)]
pub struct SurfaceService {
    /// Where questions are told.
    pub events: EventSender,
    /// The outside protocols.
    pub protocols: Protocols,
    /// How long callers keep an entry-point answer, in milliseconds.
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
        Ok(plain(code.http_status(), code.reason()))
    }

    fn limits(&self) -> ServiceLimits {
        LIMITS
    }
}

impl SurfaceService {
    async fn serve(self, request: IncomingRequest) -> Response<OutgoingBody> {
        let surface = &self.protocols.surface;
        let call = surface.classify(&request.parts.method, &request.parts.uri);
        let question = match call {
            None => return plain(404, "no such call"),
            Some(SurfaceCall::Publish) => match surface.read_traffic(&request.body) {
                Ok(traffic) => SurfaceRequest::Publish(Box::new(PublishedTraffic {
                    document: request.body.to_vec(),
                    traffic,
                })),
                Err(rejected) => return plain(BAD_REQUEST, &rejected.to_string()),
            },
            Some(SurfaceCall::Evacuate { .. }) if !request.body.is_empty() => {
                return refused(ResultCode::UnexpectedBody);
            }
            Some(SurfaceCall::Evacuate { zone, evacuated }) => {
                SurfaceRequest::Evacuate(ZoneOrder { zone, evacuated })
            }
            Some(SurfaceCall::BeginRollout) if request.body.len() > LARGEST_ROLLOUT_ORDER => {
                return refused(ResultCode::BodyTooLarge);
            }
            Some(SurfaceCall::BeginRollout) => match surface.read_rollout_order(&request.body) {
                Ok(order) => SurfaceRequest::BeginRollout(order),
                Err(rejected) => return plain(rejected.code.http_status(), &rejected.to_string()),
            },
            Some(SurfaceCall::ReadRollout { service }) => SurfaceRequest::ReadRollout { service },
            Some(SurfaceCall::ReadTraffic) => SurfaceRequest::ReadTraffic,
            Some(SurfaceCall::Readiness) => SurfaceRequest::Readiness,
            Some(SurfaceCall::EntryPoints { host, region, zone }) => {
                SurfaceRequest::EntryPoints(EntryCaller { host, region, zone })
            }
        };
        match self.ask(question).await {
            Some(reply) => self.answer(reply),
            None => plain(503, "stopping"),
        }
    }

    async fn ask(&self, request: SurfaceRequest) -> Option<SurfaceReply> {
        let (reply, answer) = oneshot::channel();
        let event = GatewayEvent::Surface { request, reply };
        self.events.send(Event::Gateway(event)).ok()?;
        answer.await.ok()
    }

    fn answer(&self, reply: SurfaceReply) -> Response<OutgoingBody> {
        match reply {
            SurfaceReply::Published(published) => {
                json(format!("{{\"in_force\":{}}}", published.in_force).into_bytes())
            }
            SurfaceReply::ZoneOrdered(revision) => {
                json(format!("{{\"revision\":{revision}}}").into_bytes())
            }
            SurfaceReply::RolloutOrdered(Ok(number)) => {
                json(format!("{{\"rollout\":{number}}}").into_bytes())
            }
            SurfaceReply::RolloutOrdered(Err(error)) if error.code.http_status() == 503 => {
                unavailable(error.code)
            }
            SurfaceReply::RolloutOrdered(Err(error)) => {
                plain(error.code.http_status(), &error.to_string())
            }
            SurfaceReply::Rollout(rollout) => json(self.protocols.surface.rollout(&rollout)),
            SurfaceReply::Refused(code) => refused(code),
            SurfaceReply::Invalid(why) => plain(BAD_REQUEST, &why),
            SurfaceReply::Traffic(document) => json(document),
            SurfaceReply::Ready => plain(200, "ready"),
            SurfaceReply::EntryPoints(addresses) => {
                let surface = &self.protocols.surface;
                json(surface.entry_points(&addresses, self.answer_lifetime_ms))
            }
            SurfaceReply::Unavailable(code) => unavailable(code),
        }
    }
}

fn unavailable(code: ResultCode) -> Response<OutgoingBody> {
    let mut response = plain(503, code.reason());
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("0.3"));
    response
}

fn refused(code: ResultCode) -> Response<OutgoingBody> {
    let text = format!("{} {}", code.number(), code.reason());
    plain(code.http_status(), &text)
}

fn plain(status: u16, text: &str) -> Response<OutgoingBody> {
    Response::builder()
        .status(status)
        .body(Either::Left(Full::new(Bytes::from(text.to_owned()))))
        .expect("statuses are constants and valid")
}

fn json(body: Vec<u8>) -> Response<OutgoingBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
