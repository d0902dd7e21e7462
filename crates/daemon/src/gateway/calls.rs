//! Calls of the gateway to back ends that no caller's task makes: batches, freed
//! results. The list of back ends is read in [`super::list_reading`].

use crate::event::{Event, EventSender};
use crate::gateway::event::GatewayEvent;
use crate::gateway::notices::{NoticeListener, SendPermit};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use silversail_http::ConnectionPool;
use silversail_model::traffic::CallerLimits;
use silversail_peer::ResultHandle;
use silversail_serving::batcher::{BatchCall, CallOutcome};
use silversail_serving::crashes::{Probe, ProbeResult};
use silversail_serving::instances::InstanceId;
use silversail_serving::notices::{AnswerContext, ExchangeKind, UnavailableReason};
use silversail_serving::ports::{BackendCall, Protocols};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest wait for a connection to a back end.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a batch: a call, and those that may wait before it.
const BATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for other calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer to such a call, in bytes.
const MAX_ANSWER: usize = 4 << 20;
/// Calls to back ends, whose ends are told as events.
pub trait GatewayCalls {
    /// Makes a batch call.
    fn run_batch(&self, batch: BatchCall, request: BackendCall);

    /// Frees results at a back end; told when they are freed.
    fn free(&self, at: CalledBackend, handles: Vec<ResultHandle>, request: BackendCall);

    /// Tries to connect to a back end, without a request.
    fn probe(&self, probe: Probe);

    /// Takes other limits on callers.
    fn set_limits(&self, limits: CallerLimits);

    /// Tells whether this node reads the list of back ends.
    fn set_list_reader(&self, reads: bool);
}

/// The back end that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CalledBackend {
    /// Its identity.
    pub instance: InstanceId,
    /// Its address.
    pub address: String,
}

/// What a call of the gateway's own goes to.
pub enum CallTarget<'a> {
    /// The source of the list of back ends.
    ListSource {
        /// Its address.
        address: &'a str,
    },
    /// A back end.
    Backend {
        /// Its address.
        address: &'a str,
        /// Its identity.
        instance: &'a str,
        /// What is asked of it.
        path: ExchangeKind,
    },
}

impl CallTarget<'_> {
    /// The address.
    fn address(&self) -> &str {
        match self {
            CallTarget::ListSource { address } | CallTarget::Backend { address, .. } => address,
        }
    }
}

/// What an answered call gave.
pub struct CallAnswer {
    /// Status.
    pub status: u16,
    /// Whether the back end says that it did not run the call.
    pub not_run: bool,
    /// Body.
    pub body: Bytes,
}

/// Why a call gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was sent, as the back end rests or leaves by its own word.
    #[error("withheld: the back end is {}", .0.name())]
    Withheld(UnavailableReason),
    /// It may have run.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// Makes calls on the gateway's runtime.
#[derive(Clone)]
pub struct RuntimeCalls {
    /// The runtime.
    pub runtime: Handle,
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// The outside protocols.
    pub protocols: Protocols,
    /// Takes what back ends say of themselves.
    pub listener: NoticeListener,
    /// Where ends of calls are told.
    pub events: EventSender,
    /// Where limits on callers go.
    pub limits: Arc<watch::Sender<Option<CallerLimits>>>,
    /// Whether this node reads the list of back ends.
    pub reads_list: Arc<watch::Sender<bool>>,
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
            calls.tell(GatewayEvent::BatchEnded { call, outcome });
        });
    }

    fn free(&self, at: CalledBackend, handles: Vec<ResultHandle>, request: BackendCall) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let target = CallTarget::Backend {
                address: &at.address,
                instance: &at.instance,
                path: ExchangeKind::Free,
            };
            // Results that are not freed end by themselves.
            let answer = calls.call(&target, request, CALL_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                calls.tell(GatewayEvent::ResultsFreed { handles });
            }
        });
    }

    fn probe(&self, probe: Probe) {
        let calls = self.clone();
        self.runtime.spawn(async move {
            let connecting = calls.pool.connect(&probe.address, CONNECT_TIMEOUT);
            let answer = match connecting.await {
                Ok(_) => ProbeResult::Accepted,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    ProbeResult::Refused
                }
                Err(_) => ProbeResult::Silent,
            };
            let instance = probe.instance;
            calls.tell(GatewayEvent::Probed { instance, answer });
        });
    }

    fn set_limits(&self, limits: CallerLimits) {
        self.limits.send_replace(Some(limits));
    }

    fn set_list_reader(&self, reads: bool) {
        self.reads_list.send_if_modified(|known| {
            let is_news = *known != reads;
            *known = reads;
            is_news
        });
    }
}

impl RuntimeCalls {
    pub(super) fn tell(&self, event: GatewayEvent) {
        // The main thread is gone only when the process ends.
        let _ = self.events.send(Event::Gateway(event));
    }

    fn batch_outcome(&self, answer: Result<CallAnswer, CallError>, pieces: usize) -> CallOutcome {
        match answer {
            Ok(answer) if answer.not_run => CallOutcome::NotRun,
            Ok(answer) if answer.status == 200 => {
                match self.protocols.batches.read_run(&answer.body, pieces) {
                    Some(results) => CallOutcome::Answered(results),
                    None => CallOutcome::Unknown,
                }
            }
            Err(CallError::NotSent(_)) => CallOutcome::Unreachable,
            Err(CallError::Withheld(_)) => CallOutcome::Withheld,
            Ok(_) | Err(CallError::NoAnswer(_)) => CallOutcome::Unknown,
        }
    }

    /// Makes a call and reads its whole answer.
    pub async fn call(
        &self,
        target: &CallTarget<'_>,
        call: BackendCall,
        longest: Duration,
    ) -> Result<CallAnswer, CallError> {
        let exchanged = timeout(longest, self.exchange(target, call)).await;
        exchanged.unwrap_or_else(|_| {
            self.pool.discard_idle(target.address());
            Err(CallError::NoAnswer("time over".into()))
        })
    }

    /// Whether a back end takes what is to be sent, by its own word, with the permit that the call
    /// takes; none for what is no back end.
    fn admit(&self, target: &CallTarget<'_>) -> Result<Option<SendPermit>, CallError> {
        match target {
            CallTarget::ListSource { .. } => Ok(None),
            CallTarget::Backend { instance, path, .. } => {
                let permit = self.listener.admit(instance, *path);
                permit.map(Some).map_err(CallError::Withheld)
            }
        }
    }

    async fn exchange(
        &self,
        target: &CallTarget<'_>,
        call: BackendCall,
    ) -> Result<CallAnswer, CallError> {
        let address = target.address();
        let not_sent = |error: std::io::Error| CallError::NotSent(error.to_string());
        let mut connection = match self.pool.take_idle(address) {
            Some(connection) => connection,
            None => {
                let connecting = self.pool.connect(address, CONNECT_TIMEOUT);
                connecting.await.map_err(not_sent)?
            }
        };
        let mut permit = match self.admit(target) {
            Ok(permit) => permit,
            Err(withheld) => {
                connection.return_to_pool();
                return Err(withheld);
            }
        };
        let request = build(address, &call);
        permit.iter_mut().for_each(SendPermit::spend);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(silversail_http::SendError::NotSent(_)) => {
                permit.iter_mut().for_each(SendPermit::unspend);
                let connecting = self.pool.connect(address, CONNECT_TIMEOUT);
                connection = connecting.await.map_err(not_sent)?;
                permit = match permit.map(SendPermit::renew).transpose() {
                    Ok(permit) => permit,
                    Err(withheld) => {
                        connection.return_to_pool();
                        return Err(CallError::Withheld(withheld));
                    }
                };
                permit.iter_mut().for_each(SendPermit::spend);
                let again = connection.send(build(address, &call)).await;
                again.map_err(|error| CallError::NoAnswer(error.to_string()))?
            }
            Err(error) => return Err(CallError::NoAnswer(error.to_string())),
        };
        connection.apply_keep_alive(response.headers());
        let status = response.status().as_u16();
        let head = self
            .protocols
            .requests
            .read_answer(status, response.headers(), "");
        if let CallTarget::Backend { instance, path, .. } = target {
            let answer = AnswerContext {
                path: *path,
                permit: permit.as_ref().and_then(SendPermit::serial),
                is_success: status == 200,
            };
            self.listener.heard(instance, answer, &head.report);
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER);
        let body = body
            .collect()
            .await
            .map_err(|error| CallError::NoAnswer(error.to_string()))?;
        connection.return_to_pool();
        Ok(CallAnswer {
            status,
            not_run: head.not_run,
            body: body.to_bytes(),
        })
    }
}

fn build(address: &str, call: &BackendCall) -> hyper::Request<Full<Bytes>> {
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(hyper::header::HOST, address)
        .body(Full::new(Bytes::from(call.body.clone())))
        .expect("paths are made by the adapters and valid");
    request.headers_mut().extend(call.headers.clone());
    request
}
