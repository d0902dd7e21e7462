//! Phase 3: taking a key in the ledger, and waiting where another copy of the
//! request has it.

use crate::clock::wall_clock_ms;
use crate::replica::ProposalOutcome;
use crate::requests::active::{ActiveRequest, Phase, RequestNumber};
use crate::requests::actor::RequestActor;
use crate::requests::answer::RefusalBody;
use sha2::{Digest, Sha256};
use silversail_ledger::{Begin, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey};
use silversail_model::ResultCode;
use stakker::{after, call, ret_some_to, Actor, Ret, CX};
use std::time::Duration;

/// Interval at which a copy asks for the outcome of the one that runs.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Decodes a ledger's reply; none when it did not answer.
pub(crate) fn ledger_reply(outcome: ProposalOutcome) -> Option<LedgerReply> {
    match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    }
}

impl RequestActor {
    /// Proposes to the ledger group of `key`.
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
        // All nodes must agree on a key's group, whatever they were built with,
        // so the hash is one that is specified.
        let mut hasher = Sha256::new();
        hasher.update(key.tenant.as_str());
        hasher.update([0]);
        hasher.update(&key.key);
        let digest = hasher.finalize();
        let number = digest
            .iter()
            .take(8)
            .fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
        let part = number % self.setup.ledgers.len() as u64;
        self.setup.ledgers[part as usize].clone()
    }

    pub(crate) fn ledger_timeout(&self) -> Duration {
        Duration::from_millis(self.setup.settings.timing.ledger_timeout_ms)
    }

    /// Takes the request's key, where it has one, and goes on.
    pub(crate) fn take_ownership(&mut self, cx: CX![], number: RequestNumber) {
        let has_key = self
            .requests
            .get(&number)
            .is_some_and(|request| request.key.is_some());
        if has_key {
            self.begin(cx, number, None);
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

    fn begin(&mut self, cx: CX![], number: RequestNumber, take_over: Option<u64>) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = Phase::Owning;
        let remaining = request.deadline.saturating_duration_since(cx.now());
        let request = &self.requests[&number];
        let Some(begin) = self.begin_command(request, take_over) else {
            return;
        };
        let key = begin.key.clone();
        let timeout = self.ledger_timeout().min(remaining);
        let ret = ret_some_to!([cx], begun(number) as (ProposalOutcome));
        self.propose_to_ledger(&key, &LedgerCommand::Begin(begin), timeout, ret);
    }

    fn begun(&mut self, cx: CX![], number: RequestNumber, outcome: ProposalOutcome) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.phase == Phase::Owning);
        if !is_waiting {
            return;
        }
        match ledger_reply(outcome) {
            Some(LedgerReply::Granted { epoch }) => {
                self.set_epoch(number, epoch);
                self.start_stage(cx, number);
            }
            Some(LedgerReply::AlreadyFinished { outcome, epoch }) => {
                self.answer_kept(cx, number, outcome, epoch)
            }
            Some(LedgerReply::InProgress {
                owner,
                epoch,
                claimed,
            }) => self.wait_for_other(cx, number, owner, epoch, claimed),
            Some(LedgerReply::Conflict) => {
                let message = "the key was used for another request";
                self.answer_now(cx, number, ResultCode::IdempotencyConflict, message, None);
            }
            Some(_) | None => {
                let message = "the claim ledger can't be reached";
                self.give_up(cx, number, ResultCode::LedgerUnavailable, message, None);
            }
        }
        self.settle(cx);
    }

    fn set_epoch(&mut self, number: RequestNumber, epoch: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            if let Some(ownership) = &mut request.key {
                ownership.epoch = Some(epoch);
            }
        }
    }

    /// Another copy has the key. Its owner may be dead: then the key is taken
    /// over, unless a call was claimed, which may have run.
    fn wait_for_other(
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
                // Stages that may be repeated may have run there.
                request.anything_ran = true;
            }
            self.begin(cx, number, Some(epoch));
            return;
        }
        if !is_live {
            let message = "the process that ran this key was lost after a call was sent";
            self.answer_now(cx, number, ResultCode::AnswerLost, message, None);
            return;
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.phase = Phase::WaitingForOther;
            after!(ASK_AGAIN_AFTER, [cx], ask_again(number));
        }
    }

    fn ask_again(&mut self, cx: CX![], number: RequestNumber) {
        let is_waiting = self
            .requests
            .get(&number)
            .is_some_and(|request| request.phase == Phase::WaitingForOther);
        if is_waiting {
            self.begin(cx, number, None);
        }
    }

    /// Goes back to waiting after the key was taken over by another copy.
    pub(crate) fn superseded(&mut self, cx: CX![], number: RequestNumber) {
        self.release_estimates(number);
        self.begin(cx, number, None);
    }

    /// Answers a repeat with what the first copy got.
    pub(crate) fn answer_kept(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        outcome: RecordedOutcome,
        epoch: u64,
    ) {
        let Some(mut request) = self.take_request(cx, number) else {
            return;
        };
        let Some(responder) = request.responder.take() else {
            return;
        };
        self.count_answer(cx, &request, outcome.code);
        let mut head = crate::surface::response_head_for(outcome.code);
        head.headers.push(("silversail-kept", "true".into()));
        if outcome.code.outcome() == silversail_model::Outcome::NotRun {
            head.headers
                .push(("silversail-retry-token", epoch.to_string()));
        }
        if request.stream {
            // A repeat of a stream gets the kept answer as its one event.
            let name = outcome.code.outcome().as_str();
            head.content_type = crate::requests::answer::EVENT_STREAM;
            let body = crate::requests::answer::event(name, &outcome.body);
            responder.respond(head, body);
            return;
        }
        responder.respond(head, outcome.body);
    }

    /// Ends a request that has its key, or wants it, with a refusal: the key is
    /// fenced first, so that no other copy runs after the caller was told
    /// "not run".
    pub(crate) fn fence(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        body: RefusalBody,
        code: ResultCode,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = Phase::Finishing;
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
        let ret = ret_some_to!([cx], fenced(number, code, body) as (ProposalOutcome));
        self.propose_to_ledger(&key, &command, timeout, ret);
    }

    fn fenced(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        code: ResultCode,
        mut body: RefusalBody,
        outcome: ProposalOutcome,
    ) {
        match ledger_reply(outcome) {
            Some(LedgerReply::Finished { epoch }) => {
                body.retry_token = Some(epoch.to_string());
                self.answer_refusal(cx, number, code, body);
            }
            Some(LedgerReply::AlreadyFinished { outcome, epoch }) => {
                self.answer_kept(cx, number, outcome, epoch)
            }
            Some(LedgerReply::Conflict) => {
                let message = "the key was used for another request";
                self.answer_now(cx, number, ResultCode::IdempotencyConflict, message, None);
            }
            Some(LedgerReply::InProgress { .. }) => {
                let message = "another copy of the key is running";
                self.answer_now(cx, number, ResultCode::RunningElsewhere, message, None);
            }
            Some(_) | None => {
                let message = format!("{}; the key can't be fenced", body.message);
                self.answer_now(
                    cx,
                    number,
                    ResultCode::FenceUnavailable,
                    &message,
                    body.retry_after_ms,
                );
            }
        }
        self.settle(cx);
    }
}
