//! What comes after a send: the answer, another send, or the end.

use super::request::{ActiveRequest, PresentSend};
use super::{Action, Dispatcher, NotRunReason, RequestNumber, SendOutcome, UnknownReason};
use crate::ports::ReportedLoad;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::ResultCode;

impl Dispatcher {
    /// A send ended.
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
        let Some(present) = request.present.take() else {
            return Vec::new();
        };
        let tokens = request.tokens();
        let broken = broke_off(outcome).then(|| request.break_off(&present));
        self.instances.ended(&present.instance, tokens);
        if let Some(load) = load {
            self.instances.reported(&present.instance, load, now);
        }
        // Of a stream its head said so, seconds before its end.
        let is_whole_at_once = is_answer(outcome) && request.head_at.is_none();
        self.believe(&present.instance, outcome, now);
        if is_whole_at_once {
            self.instances.answered(&present.instance);
        }
        self.count_outcome(number, &present, outcome, now);
        let mut actions = match outcome {
            SendOutcome::Delivered { status, is_whole } => {
                self.delivered(number, &present.instance, status, is_whole, now)
            }
            SendOutcome::NotRun(reason) => self.not_run(number, &present, reason, now),
            SendOutcome::Unknown(reason) => self.unknown(number, &present, reason, now),
            SendOutcome::Failed { status } => self.failed(number, &present, status, now),
        };
        actions.extend(broken.map(|broken| Action::Diagnose { broken }));
        actions
    }

    /// What an outcome says of the engine.
    pub(super) fn believe(&mut self, instance: &str, outcome: SendOutcome, now: Millis) {
        let instances = &mut self.instances;
        match outcome {
            SendOutcome::Delivered { is_whole: true, .. } | SendOutcome::Failed { .. } => {}
            SendOutcome::Delivered { .. } => instances.failed(instance, now, "answer_broken"),
            SendOutcome::NotRun(NotRunReason::Unreachable) => {
                instances.failed(instance, now, "unreachable");
            }
            SendOutcome::NotRun(NotRunReason::Full) => instances.full(instance, now),
            SendOutcome::NotRun(NotRunReason::Misplaced) => instances.misplaced(instance, now),
            SendOutcome::NotRun(
                NotRunReason::InputsGone | NotRunReason::Refused | NotRunReason::Withheld,
            ) => {}
            SendOutcome::Unknown(UnknownReason::Deadline) => {}
            SendOutcome::Unknown(UnknownReason::Broken) => {
                instances.failed(instance, now, "broken");
            }
            SendOutcome::Unknown(UnknownReason::Garbled) => {
                instances.failed(instance, now, "garbled");
            }
        }
    }

    pub(super) fn delivered(
        &mut self,
        number: RequestNumber,
        instance: &str,
        status: u16,
        is_whole: bool,
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
            end: if is_whole { "whole" } else { "broken" }.to_owned(),
        });
        request.drop_phases()
    }

    pub(super) fn not_run(
        &mut self,
        number: RequestNumber,
        present: &PresentSend,
        reason: NotRunReason,
        now: Millis,
    ) -> Vec<Action> {
        if reason == NotRunReason::InputsGone {
            self.log_send_failed(number, present, "not_run", "InputsGone", "retry", now);
            return self.restart(number, now);
        }
        if reason == NotRunReason::Withheld {
            self.log_send_failed(number, present, "not_run", "Withheld", "retry", now);
            return self.choose_anew(number, now);
        }
        // Nothing reached an engine that was not reached, so that costs nothing.
        let is_free = reason == NotRunReason::Unreachable;
        let next = if is_free {
            None
        } else {
            self.take_retry(number, now)
        };
        let text = format!("{reason:?}");
        match next {
            None => {
                self.log_send_failed(number, present, "not_run", &text, "retry", now);
                self.send_again(number, ResultCode::BackendRefused, now)
            }
            Some(code) => {
                self.log_send_failed(number, present, "not_run", &text, code.reason(), now);
                self.give_up(number, code, now)
            }
        }
    }

    pub(super) fn unknown(
        &mut self,
        number: RequestNumber,
        present: &PresentSend,
        reason: UnknownReason,
        now: Millis,
    ) -> Vec<Action> {
        let is_idempotent = self.is_idempotent(number);
        let code = match (reason, is_idempotent) {
            (UnknownReason::Deadline, true) => ResultCode::DeadlineMissed,
            (UnknownReason::Deadline, false) => ResultCode::DeadlineWhileSent,
            (UnknownReason::Garbled, true) => ResultCode::BackendProtocol,
            (_, true) => ResultCode::BackendFailed,
            (_, false) => ResultCode::AnswerLost,
        };
        let may_repeat = is_idempotent && reason != UnknownReason::Deadline;
        self.repeat_or(
            number,
            present,
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
        present: &PresentSend,
        status: u16,
        now: Millis,
    ) -> Vec<Action> {
        let may_repeat = self.is_idempotent(number);
        let text = format!("status_{status}");
        self.repeat_or(
            number,
            present,
            may_repeat,
            "failed",
            &text,
            ResultCode::BackendFailed,
            now,
        )
    }

    /// Sends again where that is allowed, else gives up with `code`.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn repeat_or(
        &mut self,
        number: RequestNumber,
        present: &PresentSend,
        may_repeat: bool,
        outcome: &str,
        reason: &str,
        code: ResultCode,
        now: Millis,
    ) -> Vec<Action> {
        let request = self.requests.get(&number);
        let has_attempts = request.is_some_and(ActiveRequest::has_attempts_left);
        // It may have run: an end that tells otherwise is not for this attempt.
        let is_quarantined =
            request.is_some_and(|request| self.quarantine.refuses(&request.fingerprint));
        if may_repeat && has_attempts && !is_quarantined && self.take_retry(number, now).is_none() {
            self.log_send_failed(number, present, outcome, reason, "retry", now);
            if let Some(request) = self.requests.get_mut(&number) {
                request.failed_with = Some(code);
            }
            return self.send_again(number, code, now);
        }
        self.log_send_failed(number, present, outcome, reason, code.reason(), now);
        self.give_up(number, code, now)
    }

    pub(super) fn is_idempotent(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|request| request.routed.route.kind.is_idempotent())
    }

    /// Whether one more send may be tried: a code where not.
    pub(super) fn take_retry(&mut self, number: RequestNumber, now: Millis) -> Option<ResultCode> {
        let request = self.requests.get(&number)?;
        if !self
            .budget
            .try_take_retry(&request.routed.service, self.nodes, now)
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
        let may_go_on = self.requests.get(&number).is_some_and(|request| {
            request.sends < request.most_sends() && self.has_untried(request)
        });
        if may_go_on {
            return self.send(number, now);
        }
        self.give_up(number, code, now)
    }

    pub(super) fn log_send_failed(
        &self,
        number: RequestNumber,
        present: &PresentSend,
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
            backend: present.instance.clone(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            took_ms: now.saturating_sub(present.began_at),
            next: next.to_owned(),
            why: why.to_owned(),
        });
    }
}

/// Whether the back end answered, with anything but a failure of its own.
fn is_answer(outcome: SendOutcome) -> bool {
    matches!(
        outcome,
        SendOutcome::Delivered {
            status: 0..=499,
            is_whole: true
        }
    )
}

/// Whether the connection to the back end may have broken off as the back end ended.
fn broke_off(outcome: SendOutcome) -> bool {
    matches!(
        outcome,
        SendOutcome::Delivered {
            is_whole: false,
            ..
        } | SendOutcome::Unknown(UnknownReason::Broken)
    )
}
