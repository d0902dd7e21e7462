//! Phase 4: each stage waits for an eligible back end, commits a claim if it may not be repeated,
//! and is called.

use crate::clock::{self, wall_clock_ms};
use crate::replica::ProposalOutcome;
use crate::requests::accept::QUARANTINED_MESSAGE;
use crate::requests::active::{CurrentCall, RequestNumber, RequestPhase};
use crate::requests::actor::{OutstandingCall, RequestActor};
use crate::requests::key_ownership::ledger_reply;
use serde_json::Value;
use silversail_backend::StageCall;
use silversail_consensus::Millis;
use silversail_ledger::{Claim, LedgerCommand, LedgerReply};
use silversail_model::{Backend, BackendName, ResultCode, StageKind};
use silversail_routing::{EligibleBackend, PoolId, QueuedStage, RetryBudget};
use stakker::{ret_some_to, CX};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

/// Share of the expected remaining service time below which the time left until the deadline counts
/// as too short.
const MIN_REMAINING_SHARE: f64 = 0.9;
/// Maximum tokens of a generation stage that sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

impl RequestActor {
    /// Queues the current stage for dispatch.
    pub(crate) fn start_stage(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::Queued;
        request.queued_at = cx.now();
        let position = request.stage;
        let pipeline = request.pipeline.clone();
        let stage = &pipeline.stages[position];
        let pool = {
            let state = self.setup.state.borrow();
            self.pools
                .pool_of(&state.configuration, &pipeline.name, position, stage)
        };
        let expected_ms = self.pools.service_ms(&pipeline.name, position, stage);
        let remaining_work_ms: f64 = (position..pipeline.stages.len())
            .map(|at| {
                self.pools
                    .service_ms(&pipeline.name, at, &pipeline.stages[at])
            })
            .sum();
        let request = &self.requests[&number];
        let deadline = self.setup.clock.millis(request.deadline);
        if let Some(available_at) =
            self.available_after_deadline(pool, deadline, self.now_millis(cx))
        {
            self.reject_until(cx, number, available_at);
            return;
        }
        let request = &self.requests[&number];
        self.queue.push(QueuedStage {
            request: number,
            tenant: request.tenant.clone(),
            weight: request.weight,
            pool,
            latest_start: deadline.saturating_sub(remaining_work_ms as u64),
            expected_ms,
        });
    }

    /// Dispatches queued stages while any has an eligible back end.
    pub(crate) fn dispatch_queued(&mut self, cx: CX![]) {
        while !self.queue.is_empty() {
            let mut queue = std::mem::replace(
                &mut self.queue,
                silversail_routing::FairQueue::new(self.setup.settings.routing.queue),
            );
            let next = queue.pop(|pool| self.has_eligible_backend(cx, pool));
            self.queue = queue;
            match next {
                Some(queued) => self.dispatch(cx, queued),
                None => return,
            }
        }
    }

    fn has_eligible_backend(&self, cx: CX![], pool: PoolId) -> bool {
        !self.eligible_backends(cx, pool, &[]).is_empty()
    }

    /// Back ends of a pool that may get a call now. Drained and leaving ones are filtered here, at
    /// dispatch, so that stages queued earlier do not reach them.
    fn eligible_backends(
        &self,
        cx: CX![],
        pool: PoolId,
        failed_backends: &[BackendName],
    ) -> Vec<Backend> {
        let now = self.now_millis(cx);
        if self.outstanding_calls.len() >= self.setup.settings.limits.calls {
            return Vec::new();
        }
        let share = self.node_share();
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        let usable: Vec<&Backend> = self
            .pools
            .members(pool)
            .iter()
            .filter_map(|name| backends.get(name))
            .filter(|backend| !backend.drain && !state.is_leaving(&backend.address))
            .filter(|backend| self.pools.has_model_loaded(pool, backend))
            .filter(|backend| self.backoff_until(backend) <= now)
            .filter(|backend| self.pools.has_free_slot(backend, share, now))
            .collect();
        let is_healthy = |backend: &&&Backend| {
            !failed_backends.contains(&backend.name)
                && !self
                    .pools
                    .known_load(&backend.name)
                    .is_some_and(|load| load.is_ejected(now))
        };
        let healthy: Vec<Backend> = usable
            .iter()
            .filter(is_healthy)
            .map(|backend| (*backend).clone())
            .collect();
        if healthy.is_empty() {
            // A back end that failed recently is better than none.
            return usable.into_iter().cloned().collect();
        }
        healthy
    }

    fn select_backend(
        &mut self,
        cx: CX![],
        pool: PoolId,
        failed_backends: &[BackendName],
    ) -> Option<Backend> {
        let now = self.now_millis(cx);
        let eligible = self.eligible_backends(cx, pool, failed_backends);
        for backend in &eligible {
            // Creates a load entry for each back end.
            self.pools.load(&backend.name);
        }
        let loads: Vec<EligibleBackend<'_>> = eligible
            .iter()
            .filter_map(|backend| {
                Some(EligibleBackend {
                    name: &backend.name,
                    slots: backend.slots,
                    has_cached_prefix: false,
                    load: self.pools.known_load(&backend.name)?,
                })
            })
            .collect();
        let chosen = self.selector.select(&loads, now)?;
        eligible.get(chosen).cloned()
    }

    fn dispatch(&mut self, cx: CX![], queued: QueuedStage) {
        let number = queued.request;
        if self.is_past_latest_start(cx, &queued) {
            let message = "the remaining stages are not expected to complete within the deadline";
            self.fail_request(cx, number, ResultCode::DeadlineUnreachable, message, None);
            return;
        }
        if self.is_quarantined(number) {
            let code = ResultCode::RequestQuarantined;
            self.fail_request(cx, number, code, QUARANTINED_MESSAGE, None);
            return;
        }
        let failed_backends = match self.requests.get(&number) {
            Some(request) => request.failed_backends.clone(),
            None => return,
        };
        let Some(backend) = self.select_backend(cx, queued.pool, &failed_backends) else {
            self.queue.push(queued);
            return;
        };
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.pools.load(&backend.name).in_flight += 1;
        self.outstanding_calls.insert(
            attempt,
            OutstandingCall {
                request: number,
                backend: backend.name.clone(),
                address: backend.address.clone(),
            },
        );
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.attempts += 1;
        request.call = Some(CurrentCall {
            attempt,
            backend: backend.name.clone(),
            address: backend.address.clone(),
            cancelled: Arc::new(AtomicBool::new(false)),
            sent: false,
        });
        let kind = request.current_stage().kind.as_str();
        let waited = cx.now().saturating_duration_since(request.queued_at);
        self.setup
            .metrics
            .queue_seconds
            .with_label_values(&[kind])
            .observe(waited.as_secs_f64());
        let needs_claim = request.key.is_some() && !request.current_stage().is_repeatable();
        if needs_claim {
            self.propose_claim(cx, number, attempt);
        } else {
            self.send_call(cx, number);
        }
    }

    /// Whether the remaining stages are not expected to complete before the deadline.
    fn is_past_latest_start(&self, cx: CX![], queued: &QueuedStage) -> bool {
        let Some(request) = self.requests.get(&queued.request) else {
            return true;
        };
        let now = self.now_millis(cx);
        let deadline = self.setup.clock.millis(request.deadline);
        if now >= deadline {
            return true;
        }
        let remaining_work_ms = deadline.saturating_sub(queued.latest_start) as f64;
        let remaining_ms = (deadline - now) as f64;
        self.setup.settings.routing.admission
            && remaining_ms < remaining_work_ms * MIN_REMAINING_SHARE
    }

    /// Commits the claim of a call to a quorum before the call is sent.
    fn propose_claim(&mut self, cx: CX![], number: RequestNumber, attempt: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::Claiming;
        let Some((key, epoch)) = request
            .key
            .as_ref()
            .and_then(|ownership| Some((ownership.key.clone(), ownership.epoch?)))
        else {
            return;
        };
        let command = LedgerCommand::Claim(Claim {
            key: key.clone(),
            epoch,
            stage: request.stage as u16,
            attempt,
        });
        let remaining = request.deadline.saturating_duration_since(cx.now());
        let timeout = self.ledger_timeout().min(remaining);
        let ret = ret_some_to!(
            [cx],
            handle_claim_reply(number, attempt) as (ProposalOutcome)
        );
        self.propose_to_ledger(&key, &command, timeout, ret);
    }

    fn handle_claim_reply(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        attempt: u64,
        outcome: ProposalOutcome,
    ) {
        let is_current = self.requests.get(&number).is_some_and(|request| {
            request.phase == RequestPhase::Claiming
                && request
                    .call
                    .as_ref()
                    .is_some_and(|call| call.attempt == attempt)
        });
        if !is_current {
            return;
        }
        match ledger_reply(outcome) {
            Some(LedgerReply::Claimed) if self.is_still_sendable(number, self.now_millis(cx)) => {
                self.send_call(cx, number);
            }
            Some(LedgerReply::Claimed) => {
                // The back end started to drain or to back off in the meantime; nothing was sent.
                self.cancel_unsent_call(number);
                self.start_stage(cx, number);
            }
            Some(LedgerReply::Superseded) => {
                self.cancel_unsent_call(number);
                self.handle_superseded(cx, number);
            }
            Some(_) | None => {
                self.cancel_unsent_call(number);
                let message = "the claim ledger is not reachable";
                self.fail_request(cx, number, ResultCode::LedgerUnavailable, message, None);
            }
        }
        self.dispatch_and_update_gauges(cx);
    }

    fn is_still_sendable(&self, number: RequestNumber, now: Millis) -> bool {
        let state = self.setup.state.borrow();
        let call = self
            .requests
            .get(&number)
            .and_then(|request| request.call.as_ref());
        call.is_some_and(|call| {
            let backends = &state.configuration.configuration().backends;
            let is_drained = backends
                .get(&call.backend)
                .is_none_or(|backend| backend.drain);
            let is_resting = self.setup.notices.of(&call.address).is_in_backoff(now);
            !is_drained && !state.is_leaving(&call.address) && !is_resting
        })
    }

    /// Releases the back end of a call that was not sent.
    pub(crate) fn cancel_unsent_call(&mut self, number: RequestNumber) {
        let call = self
            .requests
            .get_mut(&number)
            .and_then(|request| request.call.take());
        if let Some(call) = call {
            self.remove_outstanding_call(call.attempt);
        }
    }

    /// Removes a call and frees its slot at the back end.
    pub(crate) fn remove_outstanding_call(&mut self, attempt: u64) -> Option<OutstandingCall> {
        let outstanding = self.outstanding_calls.remove(&attempt)?;
        let load = self.pools.load(&outstanding.backend);
        load.in_flight = load.in_flight.saturating_sub(1);
        Some(outstanding)
    }

    fn send_call(&mut self, cx: CX![], number: RequestNumber) {
        let now = cx.now();
        let retry_share = self.setup.settings.routing.retry_share;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::Calling;
        request.called_at = now;
        let stage = request.pipeline.stages[request.stage].clone();
        let streams = request.streams_current_stage();
        let is_first_attempt = request.attempts == 1;
        let remaining = request.deadline.saturating_duration_since(now);
        let Some(call) = &mut request.call else {
            return;
        };
        call.sent = true;
        let stage_call = StageCall {
            address: call.address.clone(),
            attempt: format!("{}-a{}", request.request_id, call.attempt),
            stage: stage.name.0.clone(),
            input: request.input.clone(),
            previous: Value::Object(request.stage_outputs.clone()),
            model: stage.model.clone(),
            max_tokens: stage.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: (wall_clock_ms() + remaining.as_millis() as u64) as i64,
            deadline: clock::to_monotonic(request.deadline),
            repeatable: stage.is_repeatable(),
            cancelled: call.cancelled.clone(),
        };
        let attempt = call.attempt;
        if is_first_attempt {
            let backend = call.backend.clone();
            self.retry_budgets
                .entry(backend)
                .or_insert_with(|| RetryBudget::new(retry_share))
                .record_first_attempt();
        }
        log::debug!(event = "call", request = request.request_id.as_str(), stage = stage.name.as_str(), attempt = attempt; "stage call sent");
        let is_generation = stage.kind == StageKind::Generation;
        let started = self
            .setup
            .calls
            .start(attempt, stage_call, is_generation, streams);
        if started.is_err() {
            let failure = silversail_backend::CallFailure::NotRun("no thread for the call".into());
            self.handle_call_result(cx, attempt, Duration::ZERO, Err(failure));
        }
    }
}
