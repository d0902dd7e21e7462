//! Phase 6: the answer. The outcome of a request with a key is committed to the ledger before the
//! caller gets it, so that a resend gets the same answer.

use crate::replica::ProposalOutcome;
use crate::requests::active::{ActiveRequest, KnownAnswer, RequestNumber, RequestPhase};
use crate::requests::actor::RequestActor;
use crate::requests::answer::{
    server_sent_event, CompletedBody, ErrorBody, StageAnswer, EVENT_STREAM_CONTENT_TYPE,
};
use crate::requests::key_ownership::ledger_reply;
use serde_json::Value;
use silversail_http::ResponseHead;
use silversail_ledger::{Finish, LedgerCommand, LedgerReply, RecordedOutcome};
use silversail_model::{Outcome, ResultCode};
use stakker::{ret_some_to, CX};

impl RequestActor {
    /// Completes a request whose stages are all done.
    pub(crate) fn complete(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::RecordingOutcome;
        let body = completed_body(request);
        let recorded = RecordedOutcome {
            code: ResultCode::Completed,
            body,
        };
        if request.key.is_some() {
            self.record_completion(cx, number, recorded);
        } else {
            self.answer_completed(cx, number, recorded.body);
        }
    }

    /// Fails a request. `code` applies if no stage ran; otherwise it is replaced by one that says
    /// that the request may have run.
    pub(crate) fn fail_request(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let is_recording_outcome = self
            .requests
            .get(&number)
            .is_none_or(|request| request.phase == RequestPhase::RecordingOutcome);
        if is_recording_outcome {
            return;
        }
        self.queue.remove(number);
        self.release_estimates(number);
        let may_have_effect = self.requests.get(&number).is_some_and(|request| {
            let is_sent = request.call.as_ref().is_some_and(|call| call.sent);
            is_sent && !request.current_stage().is_repeatable()
        });
        self.cancel_call(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let code = accurate_code(code, request, may_have_effect);
        let mut body = ErrorBody::new(&request.request_id, code, message);
        body.retry_after_ms = retry_after_ms;
        let epoch = request.key.as_ref().map(|ownership| ownership.epoch);
        match epoch {
            None => self.answer_refusal(cx, number, code, body),
            Some(None) => self.fence(cx, number, body, code),
            Some(Some(_)) => {
                request.phase = RequestPhase::RecordingOutcome;
                let recorded = RecordedOutcome {
                    code,
                    body: body.encode(),
                };
                self.record_refusal(cx, number, recorded, body);
            }
        }
    }

    /// Commits the outcome of a completed request to the ledger.
    fn record_completion(&mut self, cx: CX![], number: RequestNumber, recorded: RecordedOutcome) {
        let body = recorded.body.clone();
        if let Some(request) = self.requests.get_mut(&number) {
            request.known_answer = Some(KnownAnswer::Completed(body.clone()));
        }
        let ret = ret_some_to!([cx], completion_recorded(number, body) as (ProposalOutcome));
        self.propose_finish(number, recorded, ret);
    }

    fn record_refusal(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        recorded: RecordedOutcome,
        body: ErrorBody,
    ) {
        let code = recorded.code;
        let now = cx.now();
        let mut is_due = false;
        if let Some(request) = self.requests.get_mut(&number) {
            // "Not run" must be fenced first.
            if code.outcome() != Outcome::NotRun {
                let body = body.clone();
                request.known_answer = Some(KnownAnswer::Failed { code, body });
            }
            is_due = request.deadline <= now;
        }
        let ret = ret_some_to!(
            [cx],
            refusal_recorded(number, code, body) as (ProposalOutcome)
        );
        self.propose_finish(number, recorded, ret);
        if is_due {
            self.send_known_answer(cx, number);
        }
    }

    /// Sends an answer that waits for the ledger, if it is correct without it. The record goes on.
    pub(crate) fn send_known_answer(&mut self, cx: CX![], number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        match request.and_then(|request| request.known_answer.take()) {
            None => {}
            Some(KnownAnswer::Completed(body)) => self.answer_completed(cx, number, body),
            Some(KnownAnswer::Failed { code, body }) => {
                self.answer_refusal(cx, number, code, body);
            }
        }
    }

    fn propose_finish(
        &mut self,
        number: RequestNumber,
        outcome: RecordedOutcome,
        ret: stakker::Ret<ProposalOutcome>,
    ) {
        let ownership = self
            .requests
            .get(&number)
            .and_then(|request| request.key.as_ref());
        let Some((key, epoch)) =
            ownership.and_then(|ownership| Some((ownership.key.clone(), ownership.epoch?)))
        else {
            return;
        };
        let command = LedgerCommand::Finish(Finish {
            key: key.clone(),
            epoch,
            outcome,
        });
        self.propose_to_ledger(&key, &command, self.ledger_timeout(), ret);
    }

    fn completion_recorded(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        body: Vec<u8>,
        _outcome: ProposalOutcome,
    ) {
        // The answer is correct whether or not the ledger recorded it; if it did not, a resend is
        // told that the outcome is unknown.
        self.answer_completed(cx, number, body);
        self.dispatch_and_update_gauges(cx);
    }

    fn refusal_recorded(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        mut body: ErrorBody,
        outcome: ProposalOutcome,
    ) {
        match ledger_reply(outcome) {
            Some(LedgerReply::Finished { epoch }) => {
                if code.outcome() == Outcome::NotRun {
                    body.retry_token = Some(epoch.to_string());
                }
                self.answer_refusal(cx, number, code, body);
            }
            Some(LedgerReply::AlreadyFinished { outcome, epoch }) => {
                self.answer_recorded_outcome(cx, number, outcome, epoch)
            }
            // Either another copy took over the key and may run, or the ledger did not answer.
            _ if code.outcome() == Outcome::NotRun => {
                let message = format!("{}; the key cannot be fenced", body.message);
                let retry_after_ms = body.retry_after_ms;
                let unknown = ResultCode::FenceUnavailable;
                self.answer_without_ledger(cx, number, unknown, &message, retry_after_ms);
            }
            _ => self.answer_refusal(cx, number, code, body),
        }
        self.dispatch_and_update_gauges(cx);
    }

    /// Fails a request without recording an outcome: for outcomes that another copy records.
    pub(crate) fn answer_without_ledger(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let mut body = ErrorBody::new(&request.request_id, code, message);
        body.retry_after_ms = retry_after_ms;
        self.answer_refusal(cx, number, code, body);
    }

    pub(crate) fn answer_refusal(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        body: ErrorBody,
    ) {
        let Some(mut request) = self.remove_request(cx, number) else {
            return;
        };
        self.record_answer_metrics(cx, &request, code);
        let Some(responder) = request.responder.take() else {
            return;
        };
        if request.stream_started {
            // The head was already sent, so the stream ends with an event that carries the error.
            let name = code.outcome().as_str();
            responder.chunk(server_sent_event(name, &body.encode()));
            responder.finish();
        } else {
            self.respond_refusal(responder, code, &body);
        }
    }

    fn answer_completed(&mut self, cx: CX![], number: RequestNumber, body: Vec<u8>) {
        let Some(mut request) = self.remove_request(cx, number) else {
            return;
        };
        self.record_answer_metrics(cx, &request, ResultCode::Completed);
        let Some(responder) = request.responder.take() else {
            return;
        };
        if !request.stream {
            responder.respond(
                crate::surface::response_head_for(ResultCode::Completed),
                body,
            );
            return;
        }
        if !request.stream_started {
            responder.head(ResponseHead::new(200, EVENT_STREAM_CONTENT_TYPE));
        }
        responder.chunk(server_sent_event(Outcome::Completed.as_str(), &body));
        responder.finish();
    }

    /// Removes a request from all tables and cancels its call.
    pub(crate) fn remove_request(
        &mut self,
        _: CX![],
        number: RequestNumber,
    ) -> Option<ActiveRequest> {
        self.queue.remove(number);
        self.release_estimates(number);
        self.cancel_call(number);
        let request = self.requests.remove(&number)?;
        self.deadlines.remove(&(request.deadline, number));
        if request.counts_against_limits {
            self.limiter.release(&request.tenant);
        }
        Some(request)
    }

    /// Removes the request's remaining work from the admitted work.
    pub(crate) fn release_estimates(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        for estimate in std::mem::take(&mut request.estimates) {
            self.admission.remove(&request.tenant, estimate);
        }
    }

    pub(crate) fn record_answer_metrics(
        &self,
        cx: CX![],
        request: &ActiveRequest,
        code: ResultCode,
    ) {
        let outcome = code.outcome().as_str();
        let pipeline = request.pipeline.name.as_str();
        let metrics = &self.setup.metrics;
        metrics
            .requests
            .with_label_values(&[pipeline, outcome, &code.number().to_string()])
            .inc();
        if code != ResultCode::Completed {
            metrics.refusals.with_label_values(&[code.reason()]).inc();
        }
        let elapsed = cx.now().saturating_duration_since(request.arrived_at);
        metrics
            .request_seconds
            .with_label_values(&[pipeline, outcome])
            .observe(elapsed.as_secs_f64());
        log::info!(
            event = "answer",
            request = request.request_id.as_str(),
            pipeline = pipeline,
            tenant = request.tenant.as_str(),
            code = code.number(),
            reason = code.reason(),
            stage = request.stage,
            ms = elapsed.as_millis() as u64;
            "request answered"
        );
    }
}

/// The code for a failed request: "not run" only if no stage ran, and "unknown" if a sent call may
/// not be repeated.
fn accurate_code(code: ResultCode, request: &ActiveRequest, may_have_effect: bool) -> ResultCode {
    if may_have_effect {
        return match code {
            ResultCode::DeadlineWhileSent => code,
            _ => ResultCode::AnswerLost,
        };
    }
    if code.outcome() == Outcome::NotRun && request.may_have_run {
        return match code {
            ResultCode::DeadlineExpired => ResultCode::DeadlineMissed,
            _ => ResultCode::Abandoned,
        };
    }
    code
}

fn completed_body(request: &ActiveRequest) -> Vec<u8> {
    let last_stage = request.pipeline.stages.last();
    let output = last_stage
        .and_then(|stage| request.stage_outputs.get(stage.name.as_str()))
        .unwrap_or(&Value::Null);
    let body = CompletedBody {
        request_id: &request.request_id,
        pipeline: request.pipeline.name.as_str(),
        outcome: Outcome::Completed,
        code: ResultCode::Completed.number(),
        output,
        stages: request
            .stage_reports
            .iter()
            .map(StageAnswer::from)
            .collect(),
    };
    serde_json::to_vec(&body).expect("the body encodes")
}
