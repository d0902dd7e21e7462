//! Phase 5: results of calls, retries and tokens.

use crate::requests::active::{CurrentCall, RequestNumber, StageReport};
use crate::requests::actor::RequestActor;
use crate::requests::answer::{event, EVENT_STREAM};
use serde_json::json;
use silversail_backend::{CallFailure, StageOutput};
use silversail_http::ResponseHead;
use silversail_model::ResultCode;
use silversail_routing::RetryBudget;
use stakker::CX;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Most attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;

impl RequestActor {
    pub(crate) fn take_result(
        &mut self,
        cx: CX![],
        attempt: u64,
        service: Duration,
        result: Result<StageOutput, CallFailure>,
    ) {
        let Some(outstanding) = self.forget_outstanding(attempt) else {
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
            self.call_broke_off(&outstanding, now);
        }
        let is_current = self.requests.get(&number).is_some_and(|request| {
            request
                .call
                .as_ref()
                .is_some_and(|call| call.attempt == attempt)
        });
        if !is_current {
            // Of an attempt that the request no longer waits for.
            let late = &self.setup.metrics.late_answers;
            late.with_label_values(&["result"]).inc();
            return;
        }
        match result {
            Ok(output) => self.stage_done(cx, number, service, output),
            Err(CallFailure::BackendUnavailable) => self.choose_anew(cx, number),
            Err(failure) => {
                let was_turned_away = matches!(failure, CallFailure::NotRun(_));
                self.stage_failed(cx, number, failure);
                if was_turned_away {
                    self.refuse_too_late(cx);
                }
            }
        }
    }

    fn stage_done(
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
        request.anything_ran = true;
        let position = request.stage;
        let pipeline = request.pipeline.clone();
        let stage = &pipeline.stages[position];
        let queue_time = request
            .called_at
            .saturating_duration_since(request.queued_at);
        request.reports.push(StageReport {
            stage: stage.name.clone(),
            kind: stage.kind,
            backend: call.backend,
            attempts: request.attempts,
            queue_ms: queue_time.as_millis() as u64,
            service_ms: service.as_millis() as u64,
            cost_ms: output.cost_ms,
            tokens: output.tokens,
        });
        request.previous.insert(stage.name.0.clone(), output.value);
        request.stage += 1;
        request.attempts = 0;
        request.avoid.clear();
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
            .served(&pipeline.name, position, stage, service_ms);
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
            self.crashes.ended_well(fingerprint, &mut self.quarantine);
            self.complete(cx, number);
        } else {
            self.start_stage(cx, number);
        }
    }

    /// The back end said after it was chosen that it rests or leaves. Nothing was sent, so that it
    /// costs no attempt and no retry.
    fn choose_anew(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.call = None;
        request.attempts = request.attempts.saturating_sub(1);
        self.start_stage(cx, number);
    }

    fn stage_failed(&mut self, cx: CX![], number: RequestNumber, failure: CallFailure) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(call) = request.call.take() else {
            return;
        };
        let is_repeatable = request.current_stage().is_repeatable();
        let was_not_run = matches!(failure, CallFailure::NotRun(_));
        if !was_not_run {
            request.anything_ran = true;
        }
        let code = failure_code(&failure, is_repeatable);
        request.avoid.push(call.backend.clone());
        let may_repeat = was_not_run || is_repeatable;
        let is_final = matches!(
            failure,
            CallFailure::DeadlineExceeded | CallFailure::Cancelled
        );
        if may_repeat && !is_final && request.attempts < MAX_ATTEMPTS {
            if self.take_retry(&call) {
                let reason = code.reason();
                self.setup
                    .metrics
                    .retries
                    .with_label_values(&[reason])
                    .inc();
                self.start_stage(cx, number);
                return;
            }
            let message = "the retry budget of the back end is spent";
            let code = match was_not_run {
                true => ResultCode::RetryBudgetSpent,
                false => code,
            };
            self.give_up(cx, number, code, message, None);
            return;
        }
        self.give_up(cx, number, code, &failure.to_string(), None);
    }

    fn take_retry(&mut self, call: &CurrentCall) -> bool {
        let share = self.setup.settings.routing.retry_share;
        self.budgets
            .entry(call.backend.clone())
            .or_insert_with(|| RetryBudget::new(share))
            .try_take_retry()
    }

    /// Passes a token on. When another engine runs the stream again, its first
    /// tokens must be those that the caller has.
    pub(crate) fn stream_token(&mut self, cx: CX![], attempt: u64, sequence: u64, text: String) {
        let Some(number) = self.outstanding.get(&attempt).map(|call| call.request) else {
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
        if let Some(sent) = request.streamed.get(position) {
            if *sent != text {
                let message = "another engine gave another text";
                self.give_up(cx, number, ResultCode::StreamBroken, message, None);
            }
            return;
        }
        let Some(responder) = &request.responder else {
            return;
        };
        if !request.stream_started {
            request.stream_started = true;
            responder.head(ResponseHead::new(200, EVENT_STREAM));
        }
        let data = json!({
            "request_id": request.request_id,
            "sequence": sequence,
            "text": text,
        });
        responder.chunk(event("token", data.to_string().as_bytes()));
        request.streamed.push(text);
    }

    /// The deadline of a request passed.
    pub(crate) fn deadline_passed(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        use crate::requests::active::Phase;
        let (code, message) = match request.phase {
            // The outcome is known already and is being kept.
            Phase::Finishing => return,
            Phase::WaitingForOther => (
                ResultCode::RunningElsewhere,
                "another copy of the key did not end in time",
            ),
            Phase::Owning | Phase::Queued | Phase::Claiming => {
                (ResultCode::DeadlineExpired, "the deadline passed")
            }
            Phase::Calling if request.current_stage().is_repeatable() => (
                ResultCode::DeadlineMissed,
                "the deadline passed during a stage",
            ),
            Phase::Calling => (
                ResultCode::DeadlineWhileSent,
                "the deadline passed while a call that may not be repeated was out",
            ),
        };
        if code == ResultCode::RunningElsewhere {
            self.answer_now(cx, number, code, message, None);
        } else {
            self.give_up(cx, number, code, message, None);
        }
    }

    /// Cancels the call that is out; its thread reports later and is ignored.
    pub(crate) fn cancel_call(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(call) = request.call.take() else {
            return;
        };
        call.cancelled.store(true, Ordering::Relaxed);
        if !call.sent {
            self.forget_outstanding(call.attempt);
            return;
        }
        request.anything_ran = true;
        let kind = request.current_stage().kind;
        if kind == silversail_model::StageKind::Generation {
            let attempt = format!("{}-a{}", request.request_id, call.attempt);
            self.setup.calls.cancel_generation(call.address, attempt);
        }
    }
}

/// The code of a failure that is not retried.
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
