//! The operators' and metrics surface, on `tiny_http`.
//!
//! `GET /v1/configuration`, `POST /v1/configuration/changes`, `GET
//! /v1/configuration/history`, `POST` and `DELETE /v1/evacuations/{zone}`, `GET /v1/rollouts`, `GET`,
//! `POST` and `DELETE /v1/rollouts/{service}`, `GET /v1/quarantine`, `DELETE /v1/quarantine/{fingerprint}`,
//! `GET /v1/status`, `GET /metrics`.

use crate::evacuation::EvacuationRequest;
use crate::event::{Event, EventSender};
use crate::metrics::Metrics;
use crate::replica::status::ReplicaReport;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use silversail_control::ChangeRequest;
use silversail_model::fingerprint::FingerprintError;
use silversail_model::{ChangeId, ConfigurationDocument, RequestFingerprint, ResultCode, Revision};
use silversail_rollout::{Rollout, RolloutOrder};
use std::collections::BTreeMap;
use std::io::Read;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

const THREADS: usize = 4;
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Longest wait for the main thread's answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// A change as operators send it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Chosen once, kept over resends.
    pub change_id: ChangeId,
    /// The revision that the change builds on.
    pub base_revision: Revision,
    /// Who makes the change.
    #[serde(default)]
    pub operator: String,
    /// What changes.
    pub document: ConfigurationDocument,
}

/// An order of a rollout as operators send it; the service stands in the path.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBody {
    /// Version that the service's traffic is to move to.
    pub target_version: String,
    /// Time within which the rollout is to end, in milliseconds.
    pub duration_ms: u64,
}

/// What operators ask.
#[derive(Debug)]
pub enum OperatorRequest {
    /// The configuration in force.
    Configuration,
    /// A change.
    Change(ChangeRequest),
    /// Begin or end the evacuation of a zone.
    Evacuate(EvacuationRequest),
    /// Begin a rollout.
    BeginRollout(RolloutOrder),
    /// Take the rollout of a service back.
    AbortRollout {
        /// The service.
        service: String,
    },
    /// The latest rollouts, of all services or one.
    Rollouts {
        /// The service; none for all.
        service: Option<String>,
    },
    /// The requests that are refused as they crash back ends.
    Quarantine,
    /// Have such a request sent again.
    LiftQuarantine {
        /// What it is.
        fingerprint: RequestFingerprint,
    },
    /// The latest accepted changes.
    History,
    /// State of this process.
    Status,
}

/// An answer with its status.
#[derive(Debug)]
pub struct OperatorReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
}

impl OperatorReply {
    /// A good answer.
    pub fn ok(body: &impl Serialize) -> Self {
        Self {
            status: 200,
            body: serde_json::to_vec(body).expect("the body encodes"),
        }
    }

    /// A refusal with its code; `details` is merged into the body.
    pub fn refuse(code: ResultCode, message: &str, details: serde_json::Value) -> Self {
        let mut body = json!({
            "code": code.number(),
            "reason": code.reason(),
            "message": message,
        });
        if let (Some(fields), serde_json::Value::Object(details)) = (body.as_object_mut(), details)
        {
            fields.extend(details);
        }
        Self {
            status: code.http_status(),
            body: body.to_string().into_bytes(),
        }
    }
}

/// Body of `GET /v1/status`.
#[derive(Debug, Serialize)]
pub struct StatusBody {
    /// This node.
    pub node: String,
    /// This process.
    pub incarnation: u64,
    /// Whether it takes requests.
    pub serving: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Revision in force.
    pub revision: Option<Revision>,
    /// How old the configuration may be, in milliseconds.
    pub configuration_age_ms: Option<u64>,
    /// Requests under way.
    pub open_requests: i64,
    /// Stages waiting for a back end.
    pub queued_stages: i64,
    /// Usable nodes by the view.
    pub usable_nodes: Vec<String>,
    /// Zones whose back ends get no new work, by what this node has in force.
    pub evacuated_zones: Vec<String>,
    /// Revision of those zones; none before the first is confirmed.
    pub evacuations_revision: Option<u64>,
    /// The latest rollout of each service, by what this node has in force.
    pub rollouts: Vec<Rollout>,
    /// Revision of the rollouts; none before the first is confirmed.
    pub rollouts_revision: Option<u64>,
    /// Whether this node may send to the candidate of a rollout.
    pub rollout_permit: bool,
    /// Addresses of machines that are leaving.
    pub leaving_machines: Vec<String>,
    /// Back ends that asked this node for rest.
    pub resting_backends: Vec<RestingBackend>,
    /// Back ends that said in answers to this node that they leave.
    pub leaving_backends: Vec<String>,
    /// Back ends that take only so many requests from all nodes together, as this node knows.
    pub limited_backends: Vec<LimitedBackend>,
    /// Replicas of this process, by group.
    pub groups: BTreeMap<String, GroupBody>,
}

/// A back end with a limit in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct LimitedBackend {
    /// Its identity; for back ends of pipelines their address.
    pub backend: String,
    /// Requests a second that it takes from all nodes together.
    pub per_second: f64,
}

/// A back end at rest in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct RestingBackend {
    /// Its identity; for back ends of pipelines their address.
    pub backend: String,
    /// Milliseconds until its rest is over.
    pub for_ms: u64,
}

/// One replica in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct GroupBody {
    /// Whether the replica is part of a formed group.
    pub formed: bool,
    /// Whether it leads.
    pub is_leader: bool,
    /// Its term.
    pub term: u64,
    /// Node of the leader.
    pub leader: Option<String>,
    /// Last committed entry.
    pub commit_index: u64,
    /// Details.
    pub replica: Option<ReplicaReport>,
}

/// Binds the address and starts serving.
pub fn start(
    address: &str,
    events: EventSender,
    metrics: Arc<Metrics>,
) -> Result<std::net::SocketAddr, Box<dyn std::error::Error + Send + Sync>> {
    let server = Arc::new(Server::http(address)?);
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or("the operators' address is not an IP address")?;
    for _ in 0..THREADS {
        let surface = OperatorSurface {
            server: server.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
        };
        thread::Builder::new()
            .name("operators".into())
            .spawn(move || surface.serve())?;
    }
    Ok(bound)
}

struct OperatorSurface {
    server: Arc<Server>,
    events: EventSender,
    metrics: Arc<Metrics>,
}

impl OperatorSurface {
    fn serve(&self) {
        while let Ok(mut request) = self.server.recv() {
            let path = request
                .url()
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            if path == "/metrics" {
                let response = Response::from_data(self.metrics.render())
                    .with_header(header("Content-Type", "text/plain; version=0.0.4"));
                let _ = request.respond(response);
                continue;
            }
            let reply = match parse(&path, &mut request) {
                Ok(asked) => self.ask(asked),
                Err(reply) => reply,
            };
            let response = Response::from_data(reply.body)
                .with_status_code(reply.status)
                .with_header(header("Content-Type", "application/json"));
            // The operator may have gone; the change stands all the same.
            let _ = request.respond(response);
        }
    }

    fn ask(&self, request: OperatorRequest) -> OperatorReply {
        let (reply, answer) = sync_channel(1);
        let sent = self.events.send(Event::Operator { request, reply });
        let answered = sent
            .ok()
            .and_then(|()| answer.recv_timeout(REPLY_TIMEOUT).ok());
        answered.unwrap_or_else(|| {
            let message = "no answer in time; resend with the same change identifier";
            OperatorReply::refuse(ResultCode::NoLeader, message, json!({}))
        })
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("constant headers are valid")
}

/// Path under which zones are evacuated, before the zone.
const EVACUATIONS_PATH: &str = "/v1/evacuations/";
/// Path of refused requests, before the fingerprint.
const QUARANTINE_PATH: &str = "/v1/quarantine";
/// Path of rollouts, before the service.
const ROLLOUTS_PATH: &str = "/v1/rollouts";

fn parse(path: &str, request: &mut Request) -> Result<OperatorRequest, OperatorReply> {
    if let Some(zone) = path.strip_prefix(EVACUATIONS_PATH) {
        return parse_evacuation(zone, request);
    }
    if let Some(service) = path.strip_prefix(ROLLOUTS_PATH) {
        return parse_rollout(service, request);
    }
    if let Some(fingerprint) = path.strip_prefix(QUARANTINE_PATH) {
        return parse_quarantine(fingerprint, request.method());
    }
    match (request.method(), path) {
        (Method::Get, "/v1/configuration") => Ok(OperatorRequest::Configuration),
        (Method::Get, "/v1/configuration/history") => Ok(OperatorRequest::History),
        (Method::Get, "/v1/status") => Ok(OperatorRequest::Status),
        (Method::Post, "/v1/configuration/changes") => parse_change(request),
        (method, _) => {
            let message = format!("no {method} {path}");
            Err(OperatorReply::refuse(
                ResultCode::UnknownPath,
                &message,
                json!({}),
            ))
        }
    }
}

fn parse_evacuation(zone: &str, request: &mut Request) -> Result<OperatorRequest, OperatorReply> {
    let evacuated = match request.method() {
        Method::Post => true,
        Method::Delete => false,
        method => {
            let message = format!("no {method} {EVACUATIONS_PATH}{zone}");
            let refused = OperatorReply::refuse(ResultCode::UnknownPath, &message, json!({}));
            return Err(refused);
        }
    };
    if request.body_length().is_some_and(|length| length > 0) {
        let message = "an order on a zone takes no body";
        let refused = OperatorReply::refuse(ResultCode::UnexpectedBody, message, json!({}));
        return Err(refused);
    }
    let zone = zone.to_owned();
    Ok(OperatorRequest::Evacuate(EvacuationRequest {
        zone,
        evacuated,
    }))
}

fn parse_rollout(path: &str, request: &mut Request) -> Result<OperatorRequest, OperatorReply> {
    let service = path.strip_prefix('/').filter(|service| !service.is_empty());
    let service = service.map(str::to_owned);
    match (request.method(), service) {
        (Method::Get, service) => Ok(OperatorRequest::Rollouts { service }),
        (Method::Delete, Some(service)) => Ok(OperatorRequest::AbortRollout { service }),
        (Method::Post, Some(service)) => {
            let body: RolloutBody = read_body(request)?;
            Ok(OperatorRequest::BeginRollout(RolloutOrder {
                service,
                target_version: body.target_version,
                duration_ms: body.duration_ms,
            }))
        }
        (method, _) => {
            let message = format!("no {method} {ROLLOUTS_PATH}{path}");
            let refused = OperatorReply::refuse(ResultCode::UnknownPath, &message, json!({}));
            Err(refused)
        }
    }
}

fn parse_quarantine(path: &str, method: &Method) -> Result<OperatorRequest, OperatorReply> {
    let refuse = |code, message: &str| Err(OperatorReply::refuse(code, message, json!({})));
    match (method, path.strip_prefix('/')) {
        (Method::Get, None) if path.is_empty() => Ok(OperatorRequest::Quarantine),
        (Method::Delete, Some(fingerprint)) => match fingerprint.parse() {
            Ok(fingerprint) => Ok(OperatorRequest::LiftQuarantine { fingerprint }),
            Err(error) => refuse(
                ResultCode::InvalidFingerprint,
                &FingerprintError::to_string(&error),
            ),
        },
        _ => refuse(
            ResultCode::UnknownPath,
            &format!("no {method} {QUARANTINE_PATH}{path}"),
        ),
    }
}

fn malformed(message: &str) -> OperatorReply {
    OperatorReply::refuse(ResultCode::MalformedChange, message, json!({}))
}

fn read_body<T: DeserializeOwned>(request: &mut Request) -> Result<T, OperatorReply> {
    let mut bytes = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| malformed(&error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(&error.to_string()))
}

fn parse_change(request: &mut Request) -> Result<OperatorRequest, OperatorReply> {
    let body: ChangeBody = read_body(request)?;
    if !silversail_model::identifiers::is_valid_name(body.change_id.as_str()) {
        return Err(malformed("change_id must be a name"));
    }
    Ok(OperatorRequest::Change(ChangeRequest {
        change_id: body.change_id,
        base_revision: body.base_revision,
        operator: body.operator,
        document: body.document,
    }))
}
