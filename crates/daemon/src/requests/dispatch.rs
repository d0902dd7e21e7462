//! Phase 4: each stage waits for a back end with room, is claimed where it may
//! not be repeated, and is called.

use crate::clock::{self, wall_clock_ms};
use crate::replica::ProposalOutcome;
use crate::requests::accept::QUARANTINED;
use crate::requests::active::{CurrentCall, Phase, RequestNumber};
use crate::requests::actor::{OutstandingCall, RequestActor};
use crate::requests::own::ledger_reply;
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

/// Share of the expected service time of the stages that remain below which
/// what is left of a deadline is hopeless.
const HOPELESS_SHARE: f64 = 0.9;
/// Most tokens of a generation stage that names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

impl RequestActor {
    /// Queues the current stage.
    pub(crate) fn start_stage(&mut self, cx: CX![], number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = Phase::Queued;
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
        let rest_ms: f64 = (position..pipeline.stages.len())
            .map(|at| {
                self.pools
                    .service_ms(&pipeline.name, at, &pipeline.stages[at])
            })
            .sum();
        let request = &self.requests[&number];
        let deadline = self.setup.clock.millis(request.deadline);
        if let Some(back_at) = self.too_late_back_at(pool, deadline, self.now_millis(cx)) {
            self.refuse_until(cx, number, back_at);
            return;
        }
        let request = &self.requests[&number];
        self.queue.push(QueuedStage {
            request: number,
            tenant: request.tenant.clone(),
            weight: request.weight,
            pool,
            latest_start: deadline.saturating_sub(rest_ms as u64),
            expected_ms,
        });
    }

    /// Dispatches queued stages while there is room.
    pub(crate) fn dispatch_queued(&mut self, cx: CX![]) {
        while !self.queue.is_empty() {
            let mut queue = std::mem::replace(
                &mut self.queue,
                silversail_routing::FairQueue::new(self.setup.settings.routing.queue),
            );
            let next = queue.pop(|pool| self.has_room(cx, pool));
            self.queue = queue;
            match next {
                Some(queued) => self.dispatch(cx, queued),
                None => return,
            }
        }
    }

    fn has_room(&self, cx: CX![], pool: PoolId) -> bool {
        !self.candidates(cx, pool, &[]).is_empty()
    }

    /// Back ends of a pool that may get a call now. Drained and leaving ones
    /// are left out here, at dispatch, so that nothing queued goes to them.
    fn candidates(&self, cx: CX![], pool: PoolId, avoid: &[BackendName]) -> Vec<Backend> {
        let now = self.now_millis(cx);
        if self.outstanding.len() >= self.setup.settings.limits.calls {
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
            .filter(|backend| self.pools.holds_model(pool, backend))
            .filter(|backend| self.rest_until(backend) <= now)
            .filter(|backend| self.pools.has_slot(backend, share, now))
            .collect();
        let is_healthy = |backend: &&&Backend| {
            !avoid.contains(&backend.name)
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
            // Rather one that failed lately than none.
            return usable.into_iter().cloned().collect();
        }
        healthy
    }

    fn place(&mut self, cx: CX![], pool: PoolId, avoid: &[BackendName]) -> Option<Backend> {
        let now = self.now_millis(cx);
        let candidates = self.candidates(cx, pool, avoid);
        for backend in &candidates {
            // Makes sure that each has a load to compare.
            self.pools.load(&backend.name);
        }
        let compared: Vec<EligibleBackend<'_>> = candidates
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
        let chosen = self.placer.select(&compared, now)?;
        candidates.get(chosen).cloned()
    }

    fn dispatch(&mut self, cx: CX![], queued: QueuedStage) {
        let number = queued.request;
        if self.is_hopeless(cx, &queued) {
            let message = "the rest of the pipeline can't end within the deadline";
            self.give_up(cx, number, ResultCode::DeadlineUnreachable, message, None);
            return;
        }
        if self.is_quarantined(number) {
            let code = ResultCode::RequestQuarantined;
            self.give_up(cx, number, code, QUARANTINED, None);
            return;
        }
        let avoid = match self.requests.get(&number) {
            Some(request) => request.avoid.clone(),
            None => return,
        };
        let Some(backend) = self.place(cx, queued.pool, &avoid) else {
            self.queue.push(queued);
            return;
        };
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.pools.load(&backend.name).in_flight += 1;
        self.outstanding.insert(
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
            self.claim(cx, number, attempt);
        } else {
            self.send_call(cx, number);
        }
    }

    /// A request that can no longer make it is stopped between stages.
    fn is_hopeless(&self, cx: CX![], queued: &QueuedStage) -> bool {
        let Some(request) = self.requests.get(&queued.request) else {
            return true;
        };
        let now = self.now_millis(cx);
        let deadline = self.setup.clock.millis(request.deadline);
        if now >= deadline {
            return true;
        }
        let rest_ms = deadline.saturating_sub(queued.latest_start) as f64;
        let remaining_ms = (deadline - now) as f64;
        self.setup.settings.routing.admission && remaining_ms < rest_ms * HOPELESS_SHARE
    }

    /// Commits the claim of a call to a majority of disks before it leaves.
    fn claim(&mut self, cx: CX![], number: RequestNumber, attempt: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.phase = Phase::Claiming;
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
        let ret = ret_some_to!([cx], claimed(number, attempt) as (ProposalOutcome));
        self.propose_to_ledger(&key, &command, timeout, ret);
    }

    fn claimed(
        &mut self,
        cx: CX![],
        number: RequestNumber,
        attempt: u64,
        outcome: ProposalOutcome,
    ) {
        let is_current = self.requests.get(&number).is_some_and(|request| {
            request.phase == Phase::Claiming
                && request
                    .call
                    .as_ref()
                    .is_some_and(|call| call.attempt == attempt)
        });
        if !is_current {
            return;
        }
        match ledger_reply(outcome) {
            Some(LedgerReply::Claimed) if self.may_still_go(number, self.now_millis(cx)) => {
                self.send_call(cx, number);
            }
            Some(LedgerReply::Claimed) => {
                // The back end began to leave or to rest meanwhile; nothing was sent.
                self.drop_unsent_call(number);
                self.start_stage(cx, number);
            }
            Some(LedgerReply::Superseded) => {
                self.drop_unsent_call(number);
                self.superseded(cx, number);
            }
            Some(_) | None => {
                self.drop_unsent_call(number);
                let message = "the claim ledger can't be reached";
                self.give_up(cx, number, ResultCode::LedgerUnavailable, message, None);
            }
        }
        self.settle(cx);
    }

    fn may_still_go(&self, number: RequestNumber, now: Millis) -> bool {
        let state = self.setup.state.borrow();
        let call = self.requests.get(&number).and_then(|one| one.call.as_ref());
        call.is_some_and(|call| {
            let backends = &state.configuration.configuration().backends;
            let is_drained = backends
                .get(&call.backend)
                .is_none_or(|backend| backend.drain);
            let rests = self.setup.notices.of(&call.address).is_in_backoff(now);
            !is_drained && !state.is_leaving(&call.address) && !rests
        })
    }

    /// Gives a reserved back end back before anything was sent to it.
    pub(crate) fn drop_unsent_call(&mut self, number: RequestNumber) {
        let call = self
            .requests
            .get_mut(&number)
            .and_then(|request| request.call.take());
        if let Some(call) = call {
            self.forget_outstanding(call.attempt);
        }
    }

    /// Gives the back end's place free.
    pub(crate) fn forget_outstanding(&mut self, attempt: u64) -> Option<OutstandingCall> {
        let outstanding = self.outstanding.remove(&attempt)?;
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
        request.phase = Phase::Calling;
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
            previous: Value::Object(request.previous.clone()),
            model: stage.model.clone(),
            max_tokens: stage.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: (wall_clock_ms() + remaining.as_millis() as u64) as i64,
            deadline: clock::steady(request.deadline),
            repeatable: stage.is_repeatable(),
            cancelled: call.cancelled.clone(),
        };
        let attempt = call.attempt;
        if is_first_attempt {
            let backend = call.backend.clone();
            self.budgets
                .entry(backend)
                .or_insert_with(|| RetryBudget::new(retry_share))
                .record_first_attempt();
        }
        log::debug!(event = "call", request = request.request_id.as_str(), stage = stage.name.as_str(), attempt = attempt; "stage sent");
        let is_generation = stage.kind == StageKind::Generation;
        let started = self
            .setup
            .calls
            .start(attempt, stage_call, is_generation, streams);
        if started.is_err() {
            let failure = silversail_backend::CallFailure::NotRun("no thread for the call".into());
            self.take_result(cx, attempt, Duration::ZERO, Err(failure));
        }
    }
}
