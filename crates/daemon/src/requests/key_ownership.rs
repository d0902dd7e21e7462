//! Phase 3: acquiring the idempotency key in the ledger, and waiting if another copy of the request
//! owns it.

use crate::clock::wall_clock_ms;
use crate::replica::ProposalOutcome;
use crate::requests::active::{ActiveRequest, RequestNumber, RequestPhase};
use crate::requests::actor::RequestActor;
use crate::requests::answer::ErrorBody;
use sha2::{Digest, Sha256};
use silversail_ledger::{Begin, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey};
use silversail_model::ResultCode;
use stakker::{after, call, ret_some_to, Actor, Ret, CX};
use std::time::Duration;

/// Interval at which a copy polls for the outcome of the one that runs.
const OTHER_COPY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Decodes a ledger's reply; `None` if it did not answer.
pub(crate) fn ledger_reply(outcome: ProposalOutcome) -> Option<LedgerReply> {
    match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    }
}

impl RequestActor {
    /// Proposes a command to the ledger group of `key`.
    pub(crate) fn propose_to_ledger(
        &self,
        key: &RequestKey,
        command: &LedgerCommand,
        timeout: Duration,
        ret: Ret<ProposalOutcome>,
    ) {
        let encoded = postcard::to_stdvec(command).expect("encoding into memory does not fail");
        let ledger = self.ledger_of(key);
        call!([ledger], propose(encoded, timeout, ret));
    }

    fn ledger_of(&self, key: &RequestKey) -> Actor<crate::replica::ProposerActor> {
        // All nodes must agree on the group of a key across builds, so the hash is a specified one.
        let mut hasher = Sha256::new();
        hasher.update(key.tenant.as_str());
        hasher.update([0]);
        hasher.update(&key.key);
        let digest = hasher.finalize();
        let number = digest
            .iter()
            .take(8)
            .fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
        let group = number % self.setup.ledgers.len() as u64;
        self.setup.ledgers[group as usize].clone()
    }

    pub(crate) fn ledger_timeout(&self) -> Duration {
        Duration::from_millis(self.setup.settings.timing.ledger_timeout_ms)
    }

    /// Acquires the request's key, if it has one, and starts the first stage.
    pub(crate) fn acquire_key(&mut self, cx: CX![], number: RequestNumber) {
        let has_key = self
            .requests
            .get(&number)
            .is_some_and(|request| request.key.is_some());
        if has_key {
            self.propose_begin(cx, number, None);
        } else {
            self.start_stage(cx, number);
        }
    }

    pub(crate) fn begin_command(
        &self,
        request: &ActiveRequest,
        take_over: Option<u64>,
    ) -> Option<Begin> {
        let ownership = request.key.as_ref()?;
        Some(Begin {
            key: ownership.key.clone(),
            digest: ownership.digest,
            owner: Owner {
                node: self.setup.node.clone(),
                incarnation: self.setup.incarnation,
                request: request.number,
            },
            take_over,
            retry_token: ownership.retry_token,
            now_ms: wall_clock_ms(),
        })
    }

    fn propose_begin(&mut self, cx: CX![], number: RequestNumber, take_over: Option<u64>) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::AcquiringKey;
        let remaining = request.deadline.saturating_duration_since(cx.now());
        let request = &self.requests[&number];
        let Some(begin) = self.begin_command(request, take_over) else {
            return;
        };
        let key = begin.key.clone();
        let timeout = self.ledger_timeout().min(remaining);
        let ret = ret_some_to!([cx], handle_begin_reply(number) as (ProposalOutcome));
        self.propose_to_ledger(&key, &LedgerCommand::Begin(begin), timeout, ret);
    }

    fn handle_begin_reply(&mut self, cx: CX![], number: RequestNumber, outcome: ProposalOutcome) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.phase == RequestPhase::AcquiringKey);
        if !is_waiting {
            return;
        }
        match ledger_reply(outcome) {
            Some(LedgerReply::Granted { epoch }) => {
                self.set_epoch(number, epoch);
                self.start_stage(cx, number);
            }
            Some(LedgerReply::AlreadyFinished { outcome, epoch }) => {
                self.answer_recorded_outcome(cx, number, outcome, epoch)
            }
            Some(LedgerReply::InProgress {
                owner,
                epoch,
                claimed,
            }) => self.wait_for_other_copy(cx, number, owner, epoch, claimed),
            Some(LedgerReply::Conflict) => {
                let message = "the key was used for another request";
                self.answer_without_ledger(
                    cx,
                    number,
                    ResultCode::IdempotencyConflict,
                    message,
                    None,
                );
            }
            Some(_) | None => {
                let message = "the claim ledger is not reachable";
                self.fail_request(cx, number, ResultCode::LedgerUnavailable, message, None);
            }
        }
        self.dispatch_and_update_gauges(cx);
    }

    fn set_epoch(&mut self, number: RequestNumber, epoch: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            if let Some(ownership) = &mut request.key {
                ownership.epoch = Some(epoch);
            }
        }
    }

    /// Handles a key that another copy owns. If the owner's process is gone, the key is taken over,
    /// unless a claimed call may have run.
    fn wait_for_other_copy(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        owner: Owner,
        epoch: u64,
        claimed: bool,
    ) {
        let is_live = self
            .setup
            .state
            .borrow()
            .view
            .is_live(&owner.node, owner.incarnation);
        if !is_live && !claimed {
            if let Some(request) = self.requests.get_mut(&number) {
                // Repeatable stages may have run there.
                request.may_have_run = true;
            }
            self.propose_begin(cx, number, Some(epoch));
            return;
        }
        if !is_live {
            let message = "the process that owned this key was lost after it claimed a call";
            self.answer_without_ledger(cx, number, ResultCode::AnswerLost, message, None);
            return;
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.phase = RequestPhase::WaitingForOtherCopy;
            after!(OTHER_COPY_POLL_INTERVAL, [cx], poll_other_copy(number));
        }
    }

    fn poll_other_copy(&mut self, cx: CX![], number: RequestNumber) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.phase == RequestPhase::WaitingForOtherCopy);
        if is_waiting {
            self.propose_begin(cx, number, None);
        }
    }

    /// Waits for the outcome after another copy took over the key.
    pub(crate) fn handle_superseded(&mut self, cx: CX![], number: RequestNumber) {
        self.release_estimates(number);
        self.propose_begin(cx, number, None);
    }

    /// Answers a resend with the outcome that was recorded for its key.
    pub(crate) fn answer_recorded_outcome(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        outcome: RecordedOutcome,
        epoch: u64,
    ) {
        let Some(mut request) = self.remove_request(cx, number) else {
            return;
        };
        let Some(responder) = request.responder.take() else {
            return;
        };
        self.record_answer_metrics(cx, &request, outcome.code);
        let mut head = crate::surface::response_head_for(outcome.code);
        head.headers.push(("silversail-kept", "true".into()));
        if outcome.code.outcome() == silversail_model::Outcome::NotRun {
            head.headers
                .push(("silversail-retry-token", epoch.to_string()));
        }
        if request.stream {
            // A resent stream gets the recorded answer as its only event.
            let name = outcome.code.outcome().as_str();
            head.content_type = crate::requests::answer::EVENT_STREAM_CONTENT_TYPE;
            let body = crate::requests::answer::server_sent_event(name, &outcome.body);
            responder.respond(head, body);
            return;
        }
        responder.respond(head, outcome.body);
    }

    /// Refuses a request with a key. The key is fenced first, so that no other copy runs after the
    /// caller was told "not run".
    pub(crate) fn fence(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        body: ErrorBody,
        code: ResultCode,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::RecordingOutcome;
        let request = &self.requests[&number];
        let Some(begin) = self.begin_command(request, None) else {
            return;
        };
        let key = begin.key.clone();
        let command = LedgerCommand::Fence {
            begin,
            outcome: RecordedOutcome {
                code,
                body: body.encode(),
            },
        };
        let timeout = self.ledger_timeout();
        let ret = ret_some_to!(
            [cx],
            handle_fence_reply(number, code, body) as (ProposalOutcome)
        );
        self.propose_to_ledger(&key, &command, timeout, ret);
    }

    fn handle_fence_reply(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        mut body: ErrorBody,
        outcome: ProposalOutcome,
    ) {
        match ledger_reply(outcome) {
            Some(LedgerReply::Finished { epoch }) => {
                body.retry_token = Some(epoch.to_string());
                self.answer_refusal(cx, number, code, body);
            }
            Some(LedgerReply::AlreadyFinished { outcome, epoch }) => {
                self.answer_recorded_outcome(cx, number, outcome, epoch)
            }
            Some(LedgerReply::Conflict) => {
                let message = "the key was used for another request";
                self.answer_without_ledger(
                    cx,
                    number,
                    ResultCode::IdempotencyConflict,
                    message,
                    None,
                );
            }
            Some(LedgerReply::InProgress { .. }) => {
                let message = "another copy with the same key is running";
                self.answer_without_ledger(cx, number, ResultCode::RunningElsewhere, message, None);
            }
            Some(_) | None => {
                let message = format!("{}; the key cannot be fenced", body.message);
                self.answer_without_ledger(
                    cx,
                    number,
                    ResultCode::FenceUnavailable,
                    &message,
                    body.retry_after_ms,
                );
            }
        }
        self.dispatch_and_update_gauges(cx);
    }
}
