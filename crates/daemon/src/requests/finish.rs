//! Phase 6: the one answer. An outcome of a keyed request is committed to the
//! ledger before the caller gets it, so that a repeat gets the same.

use crate::replica::ProposalOutcome;
use crate::requests::active::{ActiveRequest, Phase, RequestNumber};
use crate::requests::actor::RequestActor;
use crate::requests::answer::{event, CompletedBody, RefusalBody, StageAnswer, EVENT_STREAM};
use crate::requests::own::ledger_reply;
use serde_json::Value;
use silversail_http::ResponseHead;
use silversail_ledger::{Finish, LedgerCommand, LedgerReply, RecordedOutcome};
use silversail_model::{Outcome, ResultCode};
use stakker::{ret_some_to, CX};

impl RequestActor {
    /// All stages are done.
    pub(crate) fn complete(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = Phase::Finishing;
        let body = completed_body(request);
        let kept = RecordedOutcome {
            code: ResultCode::Completed,
            body,
        };
        if request.key.is_some() {
            self.keep(cx, number, kept);
        } else {
            self.answer_completed(cx, number, kept.body);
        }
    }

    /// Ends a request without an answer. The code given is right when nothing
    /// ran; else it is replaced by one that says so.
    pub(crate) fn give_up(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        message: &str,
        retry_after_ms: Option<u64>,
    ) {
        let is_finishing = self
            .requests
            .get(&number)
            .is_none_or(|request| request.phase == Phase::Finishing);
        if is_finishing {
            return;
        }
        self.queue.remove(number);
        self.release_estimates(number);
        let effect_is_out = self.requests.get(&number).is_some_and(|request| {
            let sent = request.call.as_ref().is_some_and(|call| call.sent);
            sent && !request.current_stage().is_repeatable()
        });
        self.cancel_call(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let code = truthful_code(code, request, effect_is_out);
        let mut body = RefusalBody::new(&request.request_id, code, message);
        body.retry_after_ms = retry_after_ms;
        let epoch = request.key.as_ref().map(|ownership| ownership.epoch);
        match epoch {
            None => self.answer_refusal(cx, number, code, body),
            Some(None) => self.fence(cx, number, body, code),
            Some(Some(_)) => {
                request.phase = Phase::Finishing;
                let kept = RecordedOutcome {
                    code,
                    body: body.encode(),
                };
                self.keep_refusal(cx, number, kept, body);
            }
        }
    }

    /// Commits the outcome of a completed request.
    fn keep(&mut self, cx: CX![], number: RequestNumber, kept: RecordedOutcome) {
        let body = kept.body.clone();
        let ret = ret_some_to!([cx], kept_completed(number, body) as (ProposalOutcome));
        self.propose_finish(number, kept, ret);
    }

    fn keep_refusal(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        kept: RecordedOutcome,
        body: RefusalBody,
    ) {
        let code = kept.code;
        let ret = ret_some_to!([cx], kept_refusal(number, code, body) as (ProposalOutcome));
        self.propose_finish(number, kept, ret);
    }

    fn propose_finish(
        &mut self,
        number: RequestNumber,
        outcome: RecordedOutcome,
        ret: stakker::Ret<ProposalOutcome>,
    ) {
        let ownership = self.requests.get(&number).and_then(|one| one.key.as_ref());
        let Some((key, epoch)) = ownership.and_then(|one| Some((one.key.clone(), one.epoch?)))
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

    fn kept_completed(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        body: Vec<u8>,
        _outcome: ProposalOutcome,
    ) {
        // The answer is whole and true whether or not the ledger kept it; if
        // not, a repeat is told that the outcome is unknown.
        self.answer_completed(cx, number, body);
        self.settle(cx);
    }

    fn kept_refusal(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        mut body: RefusalBody,
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
                self.answer_kept(cx, number, outcome, epoch)
            }
            // Taken over by another copy, which may run, or not known.
            _ if code.outcome() == Outcome::NotRun => {
                let message = format!("{}; the key can't be fenced", body.message);
                let retry_after_ms = body.retry_after_ms;
                let unknown = ResultCode::FenceUnavailable;
                self.answer_now(cx, number, unknown, &message, retry_after_ms);
            }
            _ => self.answer_refusal(cx, number, code, body),
        }
        self.settle(cx);
    }

    /// Answers at once, without a word to the ledger: for outcomes that are
    /// not this copy's to keep.
    pub(crate) fn answer_now(
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
        let mut body = RefusalBody::new(&request.request_id, code, message);
        body.retry_after_ms = retry_after_ms;
        self.answer_refusal(cx, number, code, body);
    }

    pub(crate) fn answer_refusal(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        body: RefusalBody,
    ) {
        let Some(mut request) = self.take_request(cx, number) else {
            return;
        };
        self.count_answer(cx, &request, code);
        let Some(responder) = request.responder.take() else {
            return;
        };
        if request.stream_started {
            // The head is out: the stream ends in one event that says why.
            let name = code.outcome().as_str();
            responder.chunk(event(name, &body.encode()));
            responder.finish();
        } else {
            self.respond_refusal(responder, code, &body);
        }
    }

    fn answer_completed(&mut self, cx: CX![], number: RequestNumber, body: Vec<u8>) {
        let Some(mut request) = self.take_request(cx, number) else {
            return;
        };
        self.count_answer(cx, &request, ResultCode::Completed);
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
            responder.head(ResponseHead::new(200, EVENT_STREAM));
        }
        responder.chunk(event(Outcome::Completed.as_str(), &body));
        responder.finish();
    }

    /// Takes a request out of all tables.
    pub(crate) fn take_request(
        &mut self,
        _: CX![],
        number: RequestNumber,
    ) -> Option<ActiveRequest> {
        self.queue.remove(number);
        self.release_estimates(number);
        self.cancel_call(number);
        let request = self.requests.remove(&number)?;
        self.deadlines.remove(&(request.deadline, number));
        if request.counted {
            self.limiter.release(&request.tenant);
        }
        Some(request)
    }

    /// Takes the request's remaining work off the admitted work.
    pub(crate) fn release_estimates(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        for estimate in std::mem::take(&mut request.estimates) {
            self.admission.remove(&request.tenant, estimate);
        }
    }

    pub(crate) fn count_answer(&self, cx: CX![], request: &ActiveRequest, code: ResultCode) {
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
        let took = cx.now().saturating_duration_since(request.arrived_at);
        metrics
            .request_seconds
            .with_label_values(&[pipeline, outcome])
            .observe(took.as_secs_f64());
        log::info!(
            event = "answer",
            request = request.request_id.as_str(),
            pipeline = pipeline,
            tenant = request.tenant.as_str(),
            code = code.number(),
            reason = code.reason(),
            stage = request.stage,
            ms = took.as_millis() as u64;
            "request answered"
        );
    }
}

/// The code that is true of a request that is given up: "not run" only when no
/// stage ran, and "unknown" when a call that may not be repeated is out.
fn truthful_code(code: ResultCode, request: &ActiveRequest, effect_is_out: bool) -> ResultCode {
    if effect_is_out {
        return match code {
            ResultCode::DeadlineWhileSent => code,
            _ => ResultCode::AnswerLost,
        };
    }
    if code.outcome() == Outcome::NotRun && request.anything_ran {
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
        .and_then(|stage| request.previous.get(stage.name.as_str()))
        .unwrap_or(&Value::Null);
    let body = CompletedBody {
        request_id: &request.request_id,
        pipeline: request.pipeline.name.as_str(),
        outcome: Outcome::Completed,
        code: ResultCode::Completed.number(),
        output,
        stages: request.reports.iter().map(StageAnswer::from).collect(),
    };
    serde_json::to_vec(&body).expect("the body encodes")
}
