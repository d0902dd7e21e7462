//! Phase 5: call results, retries and streamed tokens.

use crate::requests::active::{CurrentCall, RequestNumber, StageReport};
use crate::requests::actor::RequestActor;
use crate::requests::answer::{server_sent_event, EVENT_STREAM_CONTENT_TYPE};
use serde_json::json;
use silversail_backend::{CallFailure, StageOutput};
use silversail_http::ResponseHead;
use silversail_model::ResultCode;
use silversail_routing::RetryBudget;
use stakker::CX;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;

impl RequestActor {
    pub(crate) fn handle_call_result(
        &mut self,
        cx: CX![],
        attempt: u64,
        service: Duration,
        result: Result<StageOutput, CallFailure>,
    ) {
        let Some(outstanding) = self.remove_outstanding_call(attempt) else {
            return;
        };
        let now = self.now_millis(cx);
        let load = self.pools.load(&outstanding.backend);
        match &result {
            Ok(_) => load.record_success(service.as_secs_f64() * 1_000.0, now),
            Err(
                CallFailure::Cancelled
                | CallFailure::DeadlineExceeded
                | CallFailure::BackendUnavailable,
            ) => {}
            Err(_) => load.record_failure(now),
        }
        let number = outstanding.request;
        if matches!(result, Err(CallFailure::AnswerLost(_))) {
            self.connection_lost(&outstanding, now);
        }
        let is_current = self.requests.get(&number).is_some_and(|request| {
            request
                .call
                .as_ref()
                .is_some_and(|call| call.attempt == attempt)
        });
        if !is_current {
            // The request no longer waits for this attempt.
            let late_answers = &self.setup.metrics.late_answers;
            late_answers.with_label_values(&["result"]).inc();
            return;
        }
        match result {
            Ok(output) => self.complete_stage(cx, number, service, output),
            Err(CallFailure::BackendUnavailable) => self.reselect_backend(cx, number),
            Err(failure) => {
                let was_rejected = matches!(failure, CallFailure::NotRun(_));
                self.handle_stage_failure(cx, number, failure);
                if was_rejected {
                    self.reject_queued_past_backoff(cx);
                }
            }
        }
    }

    fn complete_stage(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        service: Duration,
        output: StageOutput,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(call) = request.call.take() else {
            return;
        };
        request.may_have_run = true;
        let position = request.stage;
        let pipeline = request.pipeline.clone();
        let stage = &pipeline.stages[position];
        let queue_time = request
            .called_at
            .saturating_duration_since(request.queued_at);
        request.stage_reports.push(StageReport {
            stage: stage.name.clone(),
            kind: stage.kind,
            backend: call.backend,
            attempts: request.attempts,
            queue_ms: queue_time.as_millis() as u64,
            service_ms: service.as_millis() as u64,
            cost_ms: output.cost_ms,
            tokens: output.tokens,
        });
        request
            .stage_outputs
            .insert(stage.name.0.clone(), output.value);
        request.stage += 1;
        request.attempts = 0;
        request.failed_backends.clear();
        let tenant = request.tenant.clone();
        let fingerprint = request.fingerprint;
        let estimate = request.estimates.first().copied();
        if estimate.is_some() {
            request.estimates.remove(0);
        }
        let is_last = request.stage == pipeline.stages.len();
        if let Some(estimate) = estimate {
            self.admission.remove(&tenant, estimate);
        }
        let service_ms = service.as_secs_f64() * 1_000.0;
        self.pools
            .record_service_time(&pipeline.name, position, stage, service_ms);
        let metrics = &self.setup.metrics;
        let kind = stage.kind.as_str();
        let model = stage.model.as_deref().unwrap_or_default();
        metrics
            .stage_seconds
            .with_label_values(&[kind])
            .observe(service.as_secs_f64());
        metrics
            .stage_cost
            .with_label_values(&[kind, tenant.as_str(), model])
            .inc_by(output.cost_ms.max(0.0));
        metrics
            .tokens
            .with_label_values(&[model])
            .inc_by(u64::from(output.tokens));
        if is_last {
            self.crashes
                .request_completed(fingerprint, &mut self.quarantine);
            self.complete(cx, number);
        } else {
            self.start_stage(cx, number);
        }
    }

    /// Selects another back end after the selected one reported that it backs off or drains.
    /// Nothing was sent, so this uses up no attempt and no retry.
    fn reselect_backend(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.call = None;
        request.attempts = request.attempts.saturating_sub(1);
        self.start_stage(cx, number);
    }

    fn handle_stage_failure(&mut self, cx: CX![], number: RequestNumber, failure: CallFailure) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(call) = request.call.take() else {
            return;
        };
        let is_repeatable = request.current_stage().is_repeatable();
        let was_not_run = matches!(failure, CallFailure::NotRun(_));
        if !was_not_run {
            request.may_have_run = true;
        }
        let code = failure_code(&failure, is_repeatable);
        request.failed_backends.push(call.backend.clone());
        let may_repeat = was_not_run || is_repeatable;
        let is_final = matches!(
            failure,
            CallFailure::DeadlineExceeded | CallFailure::Cancelled
        );
        if may_repeat && !is_final && request.attempts < MAX_ATTEMPTS {
            if self.try_take_retry(&call) {
                let reason = code.reason();
                self.setup
                    .metrics
                    .retries
                    .with_label_values(&[reason])
                    .inc();
                self.start_stage(cx, number);
                return;
            }
            let message = "the retry budget of the back end is exhausted";
            let code = match was_not_run {
                true => ResultCode::RetryBudgetSpent,
                false => code,
            };
            self.fail_request(cx, number, code, message, None);
            return;
        }
        self.fail_request(cx, number, code, &failure.to_string(), None);
    }

    fn try_take_retry(&mut self, call: &CurrentCall) -> bool {
        let share = self.setup.settings.routing.retry_share;
        self.retry_budgets
            .entry(call.backend.clone())
            .or_insert_with(|| RetryBudget::new(share))
            .try_take_retry()
    }

    /// Forwards a token to the caller. If another engine repeats the generation, its first tokens
    /// must match those already sent.
    pub(crate) fn forward_token(&mut self, cx: CX![], attempt: u64, sequence: u64, text: String) {
        let Some(number) = self
            .outstanding_calls
            .get(&attempt)
            .map(|call| call.request)
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let is_current = request
            .call
            .as_ref()
            .is_some_and(|call| call.attempt == attempt);
        if !is_current || !request.streams_current_stage() {
            return;
        }
        let position = sequence as usize;
        if let Some(sent_token) = request.sent_tokens.get(position) {
            if *sent_token != text {
                let message = "another engine generated a different text";
                self.fail_request(cx, number, ResultCode::StreamBroken, message, None);
            }
            return;
        }
        let Some(responder) = &request.responder else {
            return;
        };
        if !request.stream_started {
            request.stream_started = true;
            responder.head(ResponseHead::new(200, EVENT_STREAM_CONTENT_TYPE));
        }
        let data = json!({
            "request_id": request.request_id,
            "sequence": sequence,
            "text": text,
        });
        responder.chunk(server_sent_event("token", data.to_string().as_bytes()));
        request.sent_tokens.push(text);
    }

    /// Fails a request whose deadline has passed.
    pub(crate) fn deadline_passed(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        use crate::requests::active::RequestPhase;
        let (code, message) = match request.phase {
            RequestPhase::RecordingOutcome => {
                self.send_known_answer(cx, number);
                return;
            }
            RequestPhase::WaitingForOtherCopy => (
                ResultCode::RunningElsewhere,
                "another copy with the same key did not complete before the deadline",
            ),
            RequestPhase::AcquiringKey | RequestPhase::Queued | RequestPhase::Claiming => {
                (ResultCode::DeadlineExpired, "the deadline passed")
            }
            RequestPhase::Calling if request.current_stage().is_repeatable() => (
                ResultCode::DeadlineMissed,
                "the deadline passed during a stage",
            ),
            RequestPhase::Calling => (
                ResultCode::DeadlineWhileSent,
                "the deadline passed during a call that may not be repeated",
            ),
        };
        if code == ResultCode::RunningElsewhere {
            self.answer_without_ledger(cx, number, code, message, None);
        } else {
            self.fail_request(cx, number, code, message, None);
        }
    }

    /// Cancels the current call; the result that its thread reports later is ignored.
    pub(crate) fn cancel_call(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(call) = request.call.take() else {
            return;
        };
        call.cancelled.store(true, Ordering::Relaxed);
        if !call.sent {
            self.remove_outstanding_call(call.attempt);
            return;
        }
        request.may_have_run = true;
        let kind = request.current_stage().kind;
        if kind == silversail_model::StageKind::Generation {
            let attempt = format!("{}-a{}", request.request_id, call.attempt);
            self.setup.calls.cancel_generation(call.address, attempt);
        }
    }
}

/// The result code of a call failure that is not retried.
fn failure_code(failure: &CallFailure, is_repeatable: bool) -> ResultCode {
    match failure {
        CallFailure::NotRun(_) | CallFailure::BackendUnavailable => ResultCode::BackendRefused,
        CallFailure::Failed(_) => ResultCode::BackendFailed,
        CallFailure::Protocol(_) | CallFailure::AnswerLost(_) | CallFailure::Cancelled
            if !is_repeatable =>
        {
            ResultCode::AnswerLost
        }
        CallFailure::DeadlineExceeded if !is_repeatable => ResultCode::DeadlineWhileSent,
        CallFailure::Protocol(_) => ResultCode::BackendProtocol,
        CallFailure::AnswerLost(_) | CallFailure::Cancelled => ResultCode::BackendFailed,
        CallFailure::DeadlineExceeded => ResultCode::DeadlineMissed,
    }
}
