//! Phase 1: parsing and validating a caller's request.

use crate::requests::active::{
    ActiveRequest, CallerRequest, KeyOwnership, RequestNumber, RequestPhase,
};
use crate::requests::actor::RequestActor;
use crate::requests::answer::ErrorBody;
use serde::Deserialize;
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use silversail_http::Responder;
use silversail_ledger::RequestKey;
use silversail_model::{
    ContentDigest, Labels, Pipeline, PipelineName, RequestFingerprint, ResultCode, Selector,
    Tenant, TenantName,
};
use stakker::CX;
use std::rc::Rc;
use std::time::Duration;

/// Error message for a request that crashes back ends.
pub(crate) const QUARANTINED_MESSAGE: &str =
    "back ends crashed each time they ran this request; do not resend it unchanged";
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// JSON body of a caller's request.
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
        let number = request.number;
        let node = &self.setup.node;
        let request_id = format!("{node}-{:x}-{number}", self.setup.incarnation);
        let (body, key) = match parse(&request) {
            Ok(parsed) => parsed,
            Err((code, message)) => {
                let body = ErrorBody::new(&request_id, code, message);
                self.count_refusal(code);
                self.respond_refusal(request.responder, code, &body);
                return;
            }
        };
        let pipeline_and_tenant = self.find_pipeline_and_tenant(&request.pipeline, &body.tenant);
        self.requests
            .insert(number, new_request(request, request_id, body, key));
        // From here on, a refusal of a request with a key fences the key: copies of the request may
        // have reached other nodes.
        match pipeline_and_tenant
            .and_then(|(pipeline, tenant)| self.set_pipeline_and_tenant(number, pipeline, tenant))
        {
            Ok(()) if self.is_quarantined(number) => {
                let code = ResultCode::RequestQuarantined;
                self.fail_request(cx, number, code, QUARANTINED_MESSAGE, None);
            }
            Ok(()) => self.admit(cx, number),
            Err((code, message)) => self.fail_request(cx, number, code, &message, None),
        }
    }

    /// Sets a request's pipeline, deadline and weight.
    fn set_pipeline_and_tenant(
        &mut self,
        number: RequestNumber,
        pipeline: Pipeline,
        tenant: Tenant,
    ) -> Result<(), Refusal> {
        let max_deadline_ms = self.setup.settings.limits.deadline_ms;
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let deadline_ms = request.deadline_ms.unwrap_or(pipeline.deadline_ms);
        if deadline_ms == 0 || deadline_ms > max_deadline_ms {
            let message = format!("deadline_ms must be in the range 1 to {max_deadline_ms}");
            return Err((ResultCode::InvalidDeadline, message));
        }
        request.deadline = request.arrived_at + Duration::from_millis(deadline_ms);
        request.weight = tenant.weight;
        request.pipeline = Rc::new(pipeline);
        self.deadlines.insert((request.deadline, number));
        Ok(())
    }

    fn find_pipeline_and_tenant(
        &self,
        pipeline: &str,
        tenant: &TenantName,
    ) -> Result<(Pipeline, Tenant), Refusal> {
        let state = self.setup.state.borrow();
        if state.configuration.revision().is_none() {
            let message = "this node has no confirmed configuration yet".to_owned();
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
            let message = format!(
                "tenant '{}' may not use pipeline '{}'",
                tenant.name, pipeline.name
            );
            return Err((ResultCode::TenantNotAllowed, message));
        }
        Ok((pipeline.clone(), tenant.clone()))
    }

    /// Sends an error answer.
    pub(crate) fn respond_refusal(&self, responder: Responder, code: ResultCode, body: &ErrorBody) {
        let (head, bytes) = crate::surface::error_response(code, body);
        responder.respond(head, bytes);
    }

    /// Counts an error answer to a request that was never opened.
    fn count_refusal(&self, code: ResultCode) {
        let metrics = &self.setup.metrics;
        metrics.refusals.with_label_values(&[code.reason()]).inc();
        metrics
            .requests
            .with_label_values(&["", code.outcome().as_str(), &code.number().to_string()])
            .inc();
    }
}

fn parse(request: &CallerRequest) -> Result<(RequestBody, Option<KeyOwnership>), Refusal> {
    let body: RequestBody = serde_json::from_slice(&request.body)
        .map_err(|error| (ResultCode::MalformedRequest, error.to_string()))?;
    let key = key_ownership(request, &body.tenant)?;
    Ok((body, key))
}

fn new_request(
    request: CallerRequest,
    request_id: String,
    body: RequestBody,
    key: Option<KeyOwnership>,
) -> ActiveRequest {
    let now = request.arrived_at;
    let request_digest = digest_of_request(&request.pipeline, &request.body);
    let content = ContentDigest::of(&request.pipeline, &request_digest);
    ActiveRequest {
        fingerprint: RequestFingerprint::of(Some(body.tenant.as_str()), &content),
        number: request.number,
        request_id,
        weight: 1,
        tenant: body.tenant,
        pipeline: Rc::new(placeholder_pipeline()),
        input: body.input,
        stream: body.stream,
        arrived_at: now,
        deadline_ms: body.deadline_ms,
        deadline: now,
        responder: Some(request.responder),
        stream_started: false,
        sent_tokens: Vec::new(),
        key,
        phase: RequestPhase::Queued,
        stage: 0,
        estimates: Vec::new(),
        counts_against_limits: false,
        stage_outputs: Map::new(),
        stage_reports: Vec::new(),
        attempts: 0,
        failed_backends: Vec::new(),
        queued_at: now,
        called_at: now,
        call: None,
        may_have_run: false,
        known_answer: None,
    }
}

/// Placeholder until the pipeline is found. Its name becomes a metric label, so it must not be the
/// caller's text.
fn placeholder_pipeline() -> Pipeline {
    Pipeline {
        name: PipelineName::default(),
        labels: Labels::new(),
        deadline_ms: 0,
        tenants: Selector::default(),
        stages: Vec::new(),
    }
}

/// Validates the request's idempotency key and retry token.
fn key_ownership(
    request: &CallerRequest,
    tenant: &TenantName,
) -> Result<Option<KeyOwnership>, Refusal> {
    let Some(key) = &request.key else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message = format!("Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err((ResultCode::InvalidIdempotencyKey, message));
    }
    let retry_token = match request.retry_token.as_ref().map(|text| text.parse()) {
        None => None,
        Some(Ok(token)) => Some(token),
        Some(Err(_)) => {
            let message = "Silversail-Retry-Token is not a valid token".to_owned();
            return Err((ResultCode::InvalidIdempotencyKey, message));
        }
    };
    Ok(Some(KeyOwnership {
        key: RequestKey {
            tenant: tenant.clone(),
            key: key.clone(),
        },
        digest: digest_of_request(&request.pipeline, &request.body),
        retry_token,
        epoch: None,
    }))
}

/// Digest of the pipeline and the body without `deadline_ms` and `stream`, which may differ in a
/// resend.
fn digest_of_request(pipeline: &str, body: &[u8]) -> [u8; 32] {
    let mut value: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.remove("deadline_ms");
        fields.remove("stream");
    }
    let mut hasher = Sha256::new();
    hasher.update(pipeline);
    hasher.update([0]);
    hasher.update(value.to_string());
    hasher.finalize().into()
}
