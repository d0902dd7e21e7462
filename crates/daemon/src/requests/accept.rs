//! Phase 1: parsing and checking a caller's request.

use crate::requests::active::{ActiveRequest, CallerRequest, KeyOwnership, Phase};
use crate::requests::actor::RequestActor;
use crate::requests::answer::RefusalBody;
use serde::Deserialize;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use silversail_http::Responder;
use silversail_ledger::RequestKey;
use silversail_model::{Pipeline, PipelineName, ResultCode, Tenant, TenantName};
use stakker::CX;
use std::rc::Rc;
use std::time::Duration;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The body of a caller's request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    tenant: TenantName,
    input: Value,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    stream: bool,
}

type Refusal = (ResultCode, String);

impl RequestActor {
    pub(crate) fn accept(&mut self, cx: CX![], request: CallerRequest) {
        let request_id = format!(
            "{}-{:x}-{}",
            self.setup.node, self.setup.incarnation, request.number
        );
        match self.check(&request, &request_id) {
            Ok(active) => {
                let mut active = active;
                active.responder = Some(request.responder);
                let deadline = active.deadline;
                let number = active.number;
                self.requests.insert(number, active);
                self.deadlines.insert((deadline, number));
                self.admit(cx, number);
            }
            Err((code, message)) => {
                let body = RefusalBody::new(&request_id, code, message);
                self.count_refusal(&request.pipeline, code);
                self.respond_refusal(request.responder, code, &body);
            }
        }
    }

    fn check(&self, request: &CallerRequest, request_id: &str) -> Result<ActiveRequest, Refusal> {
        let body: RequestBody = serde_json::from_slice(&request.body)
            .map_err(|error| (ResultCode::MalformedRequest, error.to_string()))?;
        let (pipeline, tenant) = self.look_up(&request.pipeline, &body.tenant)?;
        let deadline_ms = body.deadline_ms.unwrap_or(pipeline.deadline_ms);
        let longest = self.setup.settings.limits.deadline_ms;
        if deadline_ms == 0 || deadline_ms > longest {
            let message = format!("deadline_ms must be 1 to {longest}");
            return Err((ResultCode::InvalidDeadline, message));
        }
        let key = self.key_ownership(request, &tenant, &pipeline)?;
        let now = request.arrived_at;
        Ok(ActiveRequest {
            number: request.number,
            request_id: request_id.to_owned(),
            weight: tenant.weight,
            tenant: tenant.name,
            pipeline: Rc::new(pipeline),
            input: body.input,
            stream: body.stream,
            arrived_at: now,
            deadline: now + Duration::from_millis(deadline_ms),
            responder: None,
            stream_started: false,
            streamed: Vec::new(),
            key,
            phase: Phase::Queued,
            stage: 0,
            estimates: Vec::new(),
            counted: false,
            previous: Map::new(),
            reports: Vec::new(),
            attempts: 0,
            avoid: Vec::new(),
            queued_at: now,
            called_at: now,
            call: None,
            anything_ran: false,
            effect_sent: false,
            last_failure: None,
        })
    }

    fn look_up(&self, pipeline: &str, tenant: &TenantName) -> Result<(Pipeline, Tenant), Refusal> {
        let state = self.setup.state.borrow();
        if state.configuration.revision().is_none() {
            let message = "no configuration has been confirmed yet".to_owned();
            return Err((ResultCode::NotCurrent, message));
        }
        let configuration = state.configuration.configuration();
        let Some(pipeline) = configuration.pipelines.get(&PipelineName::from(pipeline)) else {
            let message = format!("no pipeline '{pipeline}'");
            return Err((ResultCode::UnknownPipeline, message));
        };
        let Some(tenant) = configuration.tenants.get(tenant) else {
            return Err((ResultCode::UnknownTenant, format!("no tenant '{tenant}'")));
        };
        if !pipeline.tenants.matches(&tenant.labels) {
            let message = format!("tenant '{}' may not use '{}'", tenant.name, pipeline.name);
            return Err((ResultCode::TenantNotAllowed, message));
        }
        Ok((pipeline.clone(), tenant.clone()))
    }

    /// The key, for pipelines that may run at most once. Others need no ledger:
    /// running twice costs, and harms nobody.
    fn key_ownership(
        &self,
        request: &CallerRequest,
        tenant: &Tenant,
        pipeline: &Pipeline,
    ) -> Result<Option<KeyOwnership>, Refusal> {
        let Some(key) = &request.key else {
            return Ok(None);
        };
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("Idempotency-Key takes 1 to {MAX_KEY_BYTES} bytes");
            return Err((ResultCode::InvalidIdempotencyKey, message));
        }
        let retry_token = match &request.retry_token {
            None => None,
            Some(text) => match text.parse() {
                Ok(token) => Some(token),
                Err(_) => {
                    let message = "Silversail-Retry-Token must be as it was given".to_owned();
                    return Err((ResultCode::InvalidIdempotencyKey, message));
                }
            },
        };
        if !pipeline.has_unrepeatable_stage() {
            return Ok(None);
        }
        Ok(Some(KeyOwnership {
            key: RequestKey {
                tenant: tenant.name.clone(),
                key: key.clone(),
            },
            digest: digest(pipeline, &request.body),
            retry_token,
            epoch: None,
        }))
    }

    /// Sends a refusal.
    pub(crate) fn respond_refusal(
        &self,
        responder: Responder,
        code: ResultCode,
        body: &RefusalBody,
    ) {
        let (head, bytes) = crate::surface::refusal_response(code, body);
        responder.respond(head, bytes);
    }

    /// Counts an answer of a request that never became active.
    pub(crate) fn count_refusal(&self, pipeline: &str, code: ResultCode) {
        // Unknown names are not labels: callers choose them.
        let known = {
            let state = self.setup.state.borrow();
            let name = PipelineName::from(pipeline);
            state
                .configuration
                .configuration()
                .pipelines
                .contains_key(&name)
        };
        let label = if known { pipeline } else { "" };
        let metrics = &self.setup.metrics;
        metrics.refusals.with_label_values(&[code.reason()]).inc();
        metrics
            .requests
            .with_label_values(&[label, code.outcome().as_str(), &code.number().to_string()])
            .inc();
    }
}

/// Digest of what was asked: the pipeline and the body without its deadline,
/// which a resend may shorten.
fn digest(pipeline: &Pipeline, body: &[u8]) -> [u8; 32] {
    let mut value: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.remove("deadline_ms");
        fields.remove("stream");
    }
    let mut hasher = Sha256::new();
    hasher.update(pipeline.name.as_str());
    hasher.update([0]);
    hasher.update(value.to_string());
    hasher.finalize().into()
}
