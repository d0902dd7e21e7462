//! HTTP API for operators and the metrics endpoint, on `tiny_http`.
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

/// Number of threads that serve requests.
const THREADS: usize = 4;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Longest wait for the main thread's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Body of a request to change the configuration.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identifier of the change; the same when it is sent again.
    pub change_id: ChangeId,
    /// Revision on which the change is based.
    pub base_revision: Revision,
    /// Name of the operator, for the history.
    #[serde(default)]
    pub operator: String,
    /// The changed parts of the configuration.
    pub document: ConfigurationDocument,
}

/// Body of a request to begin a rollout; the path contains the service.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBody {
    /// Version to which the service's traffic is moved.
    pub target_version: String,
    /// Time within which the rollout has to end, in milliseconds.
    pub duration_ms: u64,
}

/// An operator's request.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Read the configuration in force.
    Configuration,
    /// Change the configuration.
    Change(ChangeRequest),
    /// Begin or end the evacuation of a zone.
    Evacuate(EvacuationRequest),
    /// Begin a rollout.
    BeginRollout(RolloutOrder),
    /// Roll back the rollout of a service.
    AbortRollout {
        /// Name of the service.
        service: String,
    },
    /// Read the latest rollouts of all services or one.
    Rollouts {
        /// Name of the service; none for all.
        service: Option<String>,
    },
    /// List the requests that are refused because they crash back ends.
    Quarantine,
    /// Release a refused request.
    LiftQuarantine {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// Read the latest accepted changes.
    History,
    /// Read the status of this process.
    Status,
}

/// Response to an operator.
#[derive(Debug)]
pub struct OperatorReply {
    /// Status code of the HTTP response.
    pub status: u16,
    /// Body of the response, encoded as JSON.
    pub body: Vec<u8>,
}

impl OperatorReply {
    /// A successful response.
    pub fn ok(body: &impl Serialize) -> Self {
        Self {
            status: 200,
            body: serde_json::to_vec(body).expect("the body encodes"),
        }
    }

    /// An error response with a result code; the fields of `details` are merged into the body.
    pub fn error(code: ResultCode, message: &str, details: serde_json::Value) -> Self {
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
    /// Name of the node.
    pub node: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Whether the process accepts requests.
    pub serving: bool,
    /// Whether the process is shutting down.
    pub stopping: bool,
    /// Configuration revision in force.
    pub revision: Option<Revision>,
    /// Time since the configuration was last confirmed as current, in milliseconds.
    pub configuration_age_ms: Option<u64>,
    /// Number of open requests.
    pub open_requests: i64,
    /// Number of stages that wait for a back end.
    pub queued_stages: i64,
    /// Usable nodes according to the cluster view.
    pub usable_nodes: Vec<String>,
    /// Evacuated zones, whose back ends get no new work from this node.
    pub evacuated_zones: Vec<String>,
    /// Revision of the evacuated zones; none before the first confirmation.
    pub evacuations_revision: Option<u64>,
    /// The latest rollout of each service as this node applies it.
    pub rollouts: Vec<Rollout>,
    /// Revision of the rollouts; none before the first confirmation.
    pub rollouts_revision: Option<u64>,
    /// Whether this node may send requests to the candidate version of a rollout.
    pub rollout_permit: bool,
    /// Addresses of back ends whose machines are leaving.
    pub leaving_machines: Vec<String>,
    /// Back ends that asked this node for back-off.
    pub resting_backends: Vec<RestingBackend>,
    /// Back ends that announced their shutdown in answers to this node.
    pub leaving_backends: Vec<String>,
    /// Back ends with a rate limit known to this node.
    pub limited_backends: Vec<LimitedBackend>,
    /// Status of this process's replicas, by group.
    pub groups: BTreeMap<String, GroupBody>,
}

/// A back end with a rate limit in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct LimitedBackend {
    /// Identity of the back end; the address for back ends of pipelines.
    pub backend: String,
    /// Rate limit for all nodes together, in requests per second.
    pub per_second: f64,
}

/// A back end that asked for back-off in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct RestingBackend {
    /// Identity of the back end; the address for back ends of pipelines.
    pub backend: String,
    /// Milliseconds until the back-off ends.
    pub for_ms: u64,
}

/// One replica in [`StatusBody`].
#[derive(Debug, Serialize)]
pub struct GroupBody {
    /// Whether the replica is part of a formed group.
    pub formed: bool,
    /// Whether the replica is the leader of its group.
    pub is_leader: bool,
    /// Current consensus term.
    pub term: u64,
    /// Node of the leader, if known.
    pub leader: Option<String>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Details of the replica; none before the group is formed.
    pub replica: Option<ReplicaReport>,
}

/// Binds the address and starts serving; returns the bound address.
///
/// # Errors
/// If the address can't be bound or a thread can't be started.
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
        let operator_server = OperatorServer {
            server: server.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
        };
        thread::Builder::new()
            .name("operators".into())
            .spawn(move || operator_server.serve())?;
    }
    Ok(bound)
}

struct OperatorServer {
    server: Arc<Server>,
    events: EventSender,
    metrics: Arc<Metrics>,
}

impl OperatorServer {
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
                Ok(operator_request) => self.forward(operator_request),
                Err(reply) => reply,
            };
            let response = Response::from_data(reply.body)
                .with_status_code(reply.status)
                .with_header(header("Content-Type", "application/json"));
            // A change remains in effect even if the operator has disconnected.
            let _ = request.respond(response);
        }
    }

    fn forward(&self, request: OperatorRequest) -> OperatorReply {
        let (reply, answer) = sync_channel(1);
        let sent = self.events.send(Event::OperatorRequest { request, reply });
        let answered = sent
            .ok()
            .and_then(|()| answer.recv_timeout(REPLY_TIMEOUT).ok());
        answered.unwrap_or_else(|| {
            let message = "no answer in time; send the request again, a change with the same change identifier";
            OperatorReply::error(ResultCode::NoLeader, message, json!({}))
        })
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("constant headers are valid")
}

/// Path prefix of evacuations, followed by the zone.
const EVACUATIONS_PATH: &str = "/v1/evacuations/";
/// Path of the quarantine, optionally followed by a fingerprint.
const QUARANTINE_PATH: &str = "/v1/quarantine";
/// Path of rollouts, optionally followed by a service.
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
            Err(OperatorReply::error(
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
            let rejection = OperatorReply::error(ResultCode::UnknownPath, &message, json!({}));
            return Err(rejection);
        }
    };
    if request.body_length().is_some_and(|length| length > 0) {
        let message = "a request to evacuate a zone must not have a body";
        let rejection = OperatorReply::error(ResultCode::UnexpectedBody, message, json!({}));
        return Err(rejection);
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
            let rejection = OperatorReply::error(ResultCode::UnknownPath, &message, json!({}));
            Err(rejection)
        }
    }
}

fn parse_quarantine(path: &str, method: &Method) -> Result<OperatorRequest, OperatorReply> {
    let refuse = |code, message: &str| Err(OperatorReply::error(code, message, json!({})));
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
    OperatorReply::error(ResultCode::MalformedChange, message, json!({}))
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
        return Err(malformed(
            "change_id must have 1 to 128 characters out of letters, digits, '-', '_' and '.'",
        ));
    }
    Ok(OperatorRequest::Change(ChangeRequest {
        change_id: body.change_id,
        base_revision: body.base_revision,
        operator: body.operator,
        document: body.document,
    }))
}
