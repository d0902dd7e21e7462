//! Calls to back ends that are not made for a single caller: batches, result freeing and probes.
//! The backend list is read in [`super::list_fetch`].

use crate::event::{Event, EventSender};
use crate::gateway::call_types::{CallAnswer, CallError, CallTarget, CalledBackend, FreeOutcome};
use crate::gateway::event::GatewayEvent;
use crate::gateway::exchange::{ExchangeClient, ExchangeError};
use crate::gateway::notices::{NoticeRecorder, SendPermit};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use silversail_decisions::Event as LogEvent;
use silversail_http::ConnectionPool;
use silversail_model::traffic::CallerLimits;
use silversail_peer::ResultHandle;
use silversail_serving::batcher::{BatchCall, CallOutcome};
use silversail_serving::crashes::{Probe, ProbeResult};
use silversail_serving::notices::{AnswerContext, ExchangeKind};
use silversail_serving::ports::{BackendCall, Protocols};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum wait for a connection to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum duration of a batch call, including the calls queued before it at the back end.
const BATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum duration of other calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a probed back end must leave the connection open. A machine between may accept
/// connections for a back end that it does not reach.
const PROBE_OPEN_FOR: Duration = Duration::from_millis(100);
/// Maximum size of an answer to such a call, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Status of the answer of a back end that is not the one that the call names.
const MISDIRECTED: u16 = 421;
/// Makes calls to back ends and reports their outcomes as events.
pub trait GatewayCalls {
    /// Starts a batch call.
    fn run_batch(&self, batch: BatchCall, request: BackendCall);

    /// Frees results at a back end. Success is reported as an event.
    fn free(&self, backend: CalledBackend, handles: Vec<ResultHandle>, request: BackendCall);

    /// Opens a connection to a back end without sending a request.
    fn probe(&self, probe: Probe);

    /// Replaces the limits for callers.
    fn set_limits(&self, limits: CallerLimits);

    /// Sets whether this node reads the backend list.
    fn set_list_reader(&self, reads: bool);
}

/// Makes calls on the gateway's Tokio runtime.
#[derive(Clone)]
pub struct RuntimeCalls {
    /// Runtime that executes the calls.
    pub runtime: Handle,
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// Adapters for the external protocols.
    pub protocols: Protocols,
    /// Records what back ends report about themselves.
    pub notice_recorder: NoticeRecorder,
    /// Makes the exchanges.
    pub exchanges: ExchangeClient,
    /// Channel to the gateway actor, for outcomes of calls.
    pub events: EventSender,
    /// Publishes the limits for callers to the HTTP service.
    pub limits: Arc<watch::Sender<Option<CallerLimits>>>,
    /// Publishes whether this node reads the backend list.
    pub is_list_reader: Arc<watch::Sender<bool>>,
}

impl GatewayCalls for RuntimeCalls {
    fn run_batch(&self, batch: BatchCall, request: BackendCall) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let target = CallTarget::Backend {
                address: &batch.address,
                instance: &batch.instance,
                path: ExchangeKind::Batch,
            };
            let answer = calls.call(&target, request, BATCH_TIMEOUT).await;
            let outcome = calls.batch_outcome(answer, batch.pieces.len());
            let call = batch.call;
            calls.send_event(GatewayEvent::BatchEnded { call, outcome });
        });
    }

    fn free(&self, backend: CalledBackend, handles: Vec<ResultHandle>, request: BackendCall) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let target = CallTarget::Backend {
                address: &backend.address,
                instance: &backend.instance,
                path: ExchangeKind::Free,
            };
            let call = request.id.clone();
            // Results that are not freed expire at the back end.
            let answer = calls.call(&target, request, CALL_TIMEOUT).await;
            let outcome = calls.free_outcome(answer);
            calls.exchanges.log.record(LogEvent::FreeEnded {
                call,
                backend: backend.instance.clone(),
                address: backend.address.clone(),
                results: handles.len(),
                outcome: outcome.name(),
            });
            match outcome {
                FreeOutcome::Freed => calls.send_event(GatewayEvent::ResultsFreed { handles }),
                FreeOutcome::AddressMismatch => {
                    let called = backend;
                    calls.send_event(GatewayEvent::AddressMismatch { called });
                }
                FreeOutcome::Status(_) | FreeOutcome::OtherAnswer | FreeOutcome::NoAnswer(_) => {}
            }
        });
    }

    fn probe(&self, probe: Probe) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let connecting = calls.pool.connect(&probe.address, CONNECT_TIMEOUT);
            let result = match connecting.await {
                Ok(connection) => match connection.stays_open(PROBE_OPEN_FOR).await {
                    true => ProbeResult::Accepted,
                    false => ProbeResult::Closed,
                },
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    ProbeResult::Refused
                }
                Err(_) => ProbeResult::Silent,
            };
            let instance = probe.instance;
            calls.send_event(GatewayEvent::ProbeFinished { instance, result });
        });
    }

    fn set_limits(&self, limits: CallerLimits) {
        self.limits.send_replace(Some(limits));
    }

    fn set_list_reader(&self, reads: bool) {
        self.is_list_reader.send_if_modified(|is_reader| {
            let is_changed = *is_reader != reads;
            *is_reader = reads;
            is_changed
        });
    }
}

impl RuntimeCalls {
    pub(super) fn send_event(&self, event: GatewayEvent) {
        // The receiver is dropped only when the process ends.
        let _ = self.events.send(Event::Gateway(event));
    }

    /// Whether the answer is one to a batch call.
    fn has_results(&self, answer: &CallAnswer) -> bool {
        let batches = &self.protocols.batches;
        batches.read_results(&answer.body).is_some()
    }

    fn free_outcome(&self, answer: Result<CallAnswer, CallError>) -> FreeOutcome {
        match answer {
            Ok(answer) if answer.head.status == MISDIRECTED => FreeOutcome::AddressMismatch,
            Ok(answer) if answer.head.status != 200 => FreeOutcome::Status(answer.head.status),
            Ok(answer) if self.has_results(&answer) => FreeOutcome::OtherAnswer,
            Ok(answer) => {
                answer.release_without_results();
                FreeOutcome::Freed
            }
            Err(CallError::ForeignAnswer(_)) => FreeOutcome::OtherAnswer,
            Err(error) => FreeOutcome::NoAnswer(error.to_string()),
        }
    }

    fn batch_outcome(&self, answer: Result<CallAnswer, CallError>, pieces: usize) -> CallOutcome {
        match answer {
            Ok(answer) if answer.head.status == MISDIRECTED => {
                answer.release_connection();
                CallOutcome::AddressMismatch
            }
            Ok(answer) if answer.head.not_run => {
                answer.release_connection();
                CallOutcome::NotRun
            }
            Ok(answer) if answer.head.status == 200 => self.outcome_of_results(answer, pieces),
            Err(CallError::NotSent(_)) => CallOutcome::Unreachable,
            Err(CallError::InvalidRequest(_)) => CallOutcome::NotRun,
            Err(CallError::BackendUnavailable(_)) => CallOutcome::BackendUnavailable,
            Err(CallError::ForeignAnswer(_)) => CallOutcome::ForeignAnswer,
            Ok(_) | Err(CallError::NoAnswer(_)) => CallOutcome::Unknown,
        }
    }

    fn outcome_of_results(&self, mut answer: CallAnswer, pieces: usize) -> CallOutcome {
        let Some(results) = self.protocols.batches.read_results(&answer.body) else {
            return match answer.may_be_repetition() {
                true => CallOutcome::ForeignAnswer,
                false => CallOutcome::Unknown,
            };
        };
        // An answer to another call may bring more or fewer results than this one has pieces.
        if !answer.is_identified_by(&results) {
            return CallOutcome::ForeignAnswer;
        }
        if results.len() != pieces {
            return CallOutcome::Unknown;
        }
        answer.release_connection();
        CallOutcome::Answered(results)
    }

    /// Makes a call and reads the whole answer.
    pub async fn call(
        &self,
        target: &CallTarget<'_>,
        call: BackendCall,
        max_duration: Duration,
    ) -> Result<CallAnswer, CallError> {
        let result = timeout(max_duration, self.send_call(target, call)).await;
        result.unwrap_or_else(|_| {
            self.pool.discard_idle(target.address());
            Err(CallError::NoAnswer("timed out".into()))
        })
    }

    /// Checks whether the back end accepts the call, and takes a permit for it. Calls to the list
    /// source need none.
    fn admit(&self, target: &CallTarget<'_>) -> Result<Option<SendPermit>, CallError> {
        match target {
            CallTarget::ListSource { .. } => Ok(None),
            CallTarget::Backend { instance, path, .. } => {
                let permit = self.notice_recorder.admit(instance, *path);
                permit.map(Some).map_err(CallError::BackendUnavailable)
            }
        }
    }

    async fn send_call(
        &self,
        target: &CallTarget<'_>,
        call: BackendCall,
    ) -> Result<CallAnswer, CallError> {
        let address = target.address();
        let not_sent = |error: std::io::Error| CallError::NotSent(error.to_string());
        let request = build_request(address, &call)?;
        let connection = match self.pool.take_idle(address, &call.id) {
            Some(connection) => connection,
            None => {
                let connecting = self.pool.connect(address, CONNECT_TIMEOUT);
                connecting.await.map_err(not_sent)?
            }
        };
        let mut permit = match self.admit(target) {
            Ok(permit) => permit,
            Err(error) => {
                connection.return_to_pool();
                return Err(error);
            }
        };
        let exchange = target.exchange(&call.id);
        permit.iter_mut().for_each(SendPermit::spend);
        let own = match self.exchanges.send(&exchange, connection, request).await {
            Err(ExchangeError::NotSent(_)) => {
                permit.iter_mut().for_each(SendPermit::unspend);
                let connecting = self.pool.connect(address, CONNECT_TIMEOUT);
                let connection = connecting.await.map_err(not_sent)?;
                permit = match permit.map(SendPermit::renew).transpose() {
                    Ok(permit) => permit,
                    Err(reason) => {
                        connection.return_to_pool();
                        return Err(CallError::BackendUnavailable(reason));
                    }
                };
                permit.iter_mut().for_each(SendPermit::spend);
                let request = build_request(address, &call)?;
                self.exchanges.send(&exchange, connection, request).await?
            }
            exchanged => exchanged?,
        };
        if let CallTarget::Backend { instance, path, .. } = target {
            let answer = AnswerContext {
                path: *path,
                permit: permit.as_ref().and_then(SendPermit::serial),
                is_success: own.head.status == 200,
            };
            self.notice_recorder
                .record_report(instance, answer, &own.head.report);
        }
        let body = Limited::new(own.response.into_body(), MAX_ANSWER_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| CallError::NoAnswer(error.to_string()))?;
        Ok(CallAnswer {
            head: own.head,
            body: body.to_bytes(),
            connection: own.connection,
        })
    }
}

fn build_request(
    address: &str,
    call: &BackendCall,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(hyper::header::HOST, address)
        .body(Full::new(Bytes::from(call.body.clone())))?;
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}
