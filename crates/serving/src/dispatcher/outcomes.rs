//! Continuation after a send: the answer, another send, or a failure.

use super::request::{ActiveRequest, ActiveSend};
use super::{Action, Dispatcher, NotRunReason, RequestNumber, SendOutcome, UnknownReason};
use crate::ports::ReportedLoad;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::{AnswerEnd, ResultCode};

impl Dispatcher {
    /// Continues a request with the outcome of its send.
    pub fn send_ended(
        &mut self,
        number: RequestNumber,
        outcome: SendOutcome,
        load: Option<ReportedLoad>,
        now: Millis,
    ) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        if let Some(forward) = request.active_forward.take() {
            return self.forward_ended(number, &forward, outcome, now);
        }
        let Some(active_send) = request.active_send.take() else {
            return Vec::new();
        };
        let tokens = request.tokens();
        let broken = connection_lost(outcome).then(|| request.break_off(&active_send));
        self.instances.record_ended(&active_send.instance, tokens);
        if let Some(load) = load {
            self.instances.record_load(&active_send.instance, load, now);
        }
        // The head of a streamed answer was recorded when it arrived.
        let is_whole_at_once = is_answer(outcome) && request.head_at.is_none();
        self.update_engine_health(&active_send.instance, outcome, now);
        if is_whole_at_once {
            self.instances.record_answer(&active_send.instance);
            self.reachability.record_answer(&active_send.instance);
        }
        self.count_for_rollout(number, &active_send, outcome, now);
        let mut actions = match outcome {
            SendOutcome::Delivered { status, end } => {
                self.delivered(number, &active_send.instance, status, end, now)
            }
            SendOutcome::NotRun(reason) => self.not_run(number, &active_send, reason, now),
            SendOutcome::Unknown(reason) => self.unknown(number, &active_send, reason, now),
            SendOutcome::Failed { status } => self.failed(number, &active_send, status, now),
        };
        actions.extend(broken.map(|broken| Action::Diagnose { broken }));
        actions
    }

    /// Updates the health of an engine from an outcome.
    pub(super) fn update_engine_health(
        &mut self,
        instance: &str,
        outcome: SendOutcome,
        now: Millis,
    ) {
        let instances = &mut self.instances;
        match outcome {
            SendOutcome::Failed { .. } => {}
            SendOutcome::Delivered { end, .. } if end.is_whole() => {}
            SendOutcome::Delivered { .. } => {
                instances.record_failure(instance, now, "answer_broken")
            }
            SendOutcome::NotRun(NotRunReason::Unreachable) => {
                self.reachability.record_failure(instance, now);
                instances.record_failure(instance, now, "unreachable");
            }
            SendOutcome::NotRun(NotRunReason::Full) => instances.record_full(instance, now),
            SendOutcome::NotRun(NotRunReason::Misplaced) => {
                instances.record_address_mismatch(instance, now)
            }
            SendOutcome::NotRun(
                NotRunReason::InputsGone | NotRunReason::Refused | NotRunReason::BackendUnavailable,
            ) => {}
            SendOutcome::Unknown(UnknownReason::Deadline) => {}
            SendOutcome::Unknown(UnknownReason::Broken) => {
                self.reachability.record_failure(instance, now);
                instances.record_failure(instance, now, "broken");
            }
            SendOutcome::Unknown(UnknownReason::Garbled) => {
                instances.record_failure(instance, now, "garbled");
            }
            SendOutcome::Unknown(UnknownReason::Foreign) => {
                instances.record_failure(instance, now, "foreign_answer");
            }
        }
    }

    pub(super) fn delivered(
        &mut self,
        number: RequestNumber,
        instance: &str,
        status: u16,
        end: AnswerEnd,
        now: Millis,
    ) -> Vec<Action> {
        let Some(mut request) = self.requests.remove(&number) else {
            return Vec::new();
        };
        self.log.record(Event::Answered {
            request: request.call.id.clone(),
            backend: instance.to_owned(),
            status,
            head_ms: request.head_at.unwrap_or(now) - request.arrived_at,
            total_ms: now - request.arrived_at,
            end: end.name().to_owned(),
        });
        request.drop_phases()
    }

    pub(super) fn not_run(
        &mut self,
        number: RequestNumber,
        active_send: &ActiveSend,
        reason: NotRunReason,
        now: Millis,
    ) -> Vec<Action> {
        if reason == NotRunReason::InputsGone {
            self.log_send_failed(number, active_send, "not_run", "InputsGone", "retry", now);
            return self.restart(number, now);
        }
        if reason == NotRunReason::BackendUnavailable {
            self.log_send_failed(number, active_send, "not_run", "Withheld", "retry", now);
            return self.select_again(number, now);
        }
        // A failed connection reached no engine and does not count against the retry budget.
        let is_free = reason == NotRunReason::Unreachable;
        let next = if is_free {
            None
        } else {
            self.take_retry(number, now)
        };
        let text = format!("{reason:?}");
        match next {
            None => {
                self.log_send_failed(number, active_send, "not_run", &text, "retry", now);
                self.send_again(number, ResultCode::BackendRefused, now)
            }
            Some(code) => {
                self.log_send_failed(number, active_send, "not_run", &text, code.reason(), now);
                self.give_up(number, code, now)
            }
        }
    }

    pub(super) fn unknown(
        &mut self,
        number: RequestNumber,
        active_send: &ActiveSend,
        reason: UnknownReason,
        now: Millis,
    ) -> Vec<Action> {
        let is_idempotent = self.is_idempotent(number);
        let code = match (reason, is_idempotent) {
            (UnknownReason::Deadline, true) => ResultCode::DeadlineMissed,
            (UnknownReason::Deadline, false) => ResultCode::DeadlineWhileSent,
            (UnknownReason::Garbled | UnknownReason::Foreign, true) => ResultCode::BackendProtocol,
            (_, true) => ResultCode::BackendFailed,
            (_, false) => ResultCode::AnswerLost,
        };
        let may_repeat = is_idempotent && reason != UnknownReason::Deadline;
        self.retry_or_give_up(
            number,
            active_send,
            may_repeat,
            "unknown",
            &format!("{reason:?}"),
            code,
            now,
        )
    }

    pub(super) fn failed(
        &mut self,
        number: RequestNumber,
        active_send: &ActiveSend,
        status: u16,
        now: Millis,
    ) -> Vec<Action> {
        let may_repeat = self.is_idempotent(number);
        let text = format!("status_{status}");
        self.retry_or_give_up(
            number,
            active_send,
            may_repeat,
            "failed",
            &text,
            ResultCode::BackendFailed,
            now,
        )
    }

    /// Sends again if allowed, else ends the request with `code`.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn retry_or_give_up(
        &mut self,
        number: RequestNumber,
        active_send: &ActiveSend,
        may_repeat: bool,
        outcome: &str,
        reason: &str,
        code: ResultCode,
        now: Millis,
    ) -> Vec<Action> {
        let request = self.requests.get(&number);
        let has_attempts = request.is_some_and(ActiveRequest::has_attempts_left);
        // The attempt may have run, so that a quarantined request keeps its own code.
        let is_quarantined = request.is_some_and(|request| self.quarantine_code(request).is_some());
        if may_repeat && has_attempts && !is_quarantined && self.take_retry(number, now).is_none() {
            self.log_send_failed(number, active_send, outcome, reason, "retry", now);
            if let Some(request) = self.requests.get_mut(&number) {
                request.failed_with = Some(code);
            }
            return self.send_again(number, code, now);
        }
        self.log_send_failed(number, active_send, outcome, reason, code.reason(), now);
        self.give_up(number, code, now)
    }

    pub(super) fn is_idempotent(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|request| request.resolved_route.route.kind.is_idempotent())
    }

    /// Takes a retry from the budget; returns a code if it is exhausted.
    pub(super) fn take_retry(&mut self, number: RequestNumber, now: Millis) -> Option<ResultCode> {
        let request = self.requests.get(&number)?;
        if !self
            .budget
            .try_take_retry(&request.resolved_route.service, self.nodes, now)
        {
            return Some(ResultCode::RetryBudgetSpent);
        }
        None
    }

    pub(super) fn send_again(
        &mut self,
        number: RequestNumber,
        code: ResultCode,
        now: Millis,
    ) -> Vec<Action> {
        let request = self.requests.get(&number);
        if request.is_some_and(|request| self.prefers_peer(request)) {
            if let Some(actions) = self.forward(number, now) {
                return actions;
            }
        }
        let may_go_on = self.requests.get(&number).is_some_and(|request| {
            request.sends < request.max_sends() && self.has_untried(request)
        });
        if may_go_on {
            return self.send(number, now);
        }
        self.give_up(number, code, now)
    }

    pub(super) fn log_send_failed(
        &self,
        number: RequestNumber,
        active_send: &ActiveSend,
        outcome: &str,
        reason: &str,
        why: &str,
        now: Millis,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let next = if why == "retry" { "retry" } else { "give_up" };
        self.log.record(Event::SendFailed {
            request: request.call.id.clone(),
            backend: active_send.instance.clone(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            took_ms: now.saturating_sub(active_send.began_at),
            next: next.to_owned(),
            why: why.to_owned(),
        });
    }
}

/// Whether the back end answered completely and without a server error.
fn is_answer(outcome: SendOutcome) -> bool {
    matches!(outcome, SendOutcome::Delivered { status: 0..=499, end } if end.is_whole())
}

/// Whether the connection was lost, possibly because the back end crashed.
fn connection_lost(outcome: SendOutcome) -> bool {
    match outcome {
        SendOutcome::Delivered { end, .. } => !end.is_whole(),
        SendOutcome::Unknown(reason) => reason == UnknownReason::Broken,
        SendOutcome::NotRun(_) | SendOutcome::Failed { .. } => false,
    }
}
