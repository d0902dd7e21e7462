//! Simulated back ends: a service that runs each call that it does not reject, and
//! whose responses may be lost.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use silversail_backend::{CallFailure, StageCall, StageOutput};
use silversail_consensus::Millis;
use silversail_daemon::calls::StageCalls;
use silversail_serving::crashes::Probe;
use silversail_testbed::RunRecord;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Upper bound of the service time, in milliseconds.
const MAX_SERVICE_TIME_MS: Millis = 60;
/// Time after which the loss of a response is reported, in milliseconds.
const LOSS_DETECTION_DELAY_MS: Millis = 300;

/// The result of a call and the time at which it is delivered.
pub struct CallCompletion {
    /// Virtual time of delivery, in milliseconds.
    pub at: Millis,
    /// Number of the attempt at the calling node.
    pub attempt: u64,
    /// Output of the call, or why it failed.
    pub result: Result<StageOutput, CallFailure>,
}

/// Simulated back ends as one node calls them.
pub struct SimulatedBackends {
    /// Calls that ran, shared by all nodes.
    pub runs: Rc<RefCell<Vec<RunRecord>>>,
    /// Results that are still to be delivered to this node.
    pub completions: VecDeque<CallCompletion>,
    /// Virtual time in milliseconds.
    pub now: Millis,
    /// Share of calls that are rejected without running.
    pub rejection_rate: f64,
    /// Share of calls that run and whose response is lost.
    pub response_loss_rate: f64,
    /// Random number generator of service times and faults.
    pub random: ChaCha8Rng,
}

/// Stage calls of one node to the simulated back ends.
pub struct SimulatedCalls(pub Rc<RefCell<SimulatedBackends>>);

impl StageCalls for SimulatedCalls {
    fn start(&self, attempt: u64, call: StageCall, _: bool, _: bool) -> io::Result<()> {
        let mut guard = self.0.borrow_mut();
        let backends = &mut *guard;
        let service = backends.random.gen_range(1..MAX_SERVICE_TIME_MS);
        if backends.random.gen_bool(backends.rejection_rate) {
            let at = backends.now + 1;
            let result = Err(CallFailure::NotRun("refused".into()));
            backends.completions.push_back(CallCompletion {
                at,
                attempt,
                result,
            });
            return Ok(());
        }
        backends.runs.borrow_mut().push(RunRecord {
            service: call.address.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt.clone(),
            input: call.input.clone(),
        });
        let end = if backends.random.gen_bool(backends.response_loss_rate) {
            CallCompletion {
                at: backends.now + LOSS_DETECTION_DELAY_MS,
                attempt,
                result: Err(CallFailure::AnswerLost("lost".into())),
            }
        } else {
            CallCompletion {
                at: backends.now + service,
                attempt,
                result: Ok(StageOutput {
                    value: json!({ "input": call.input }),
                    cost_ms: Duration::from_millis(service).as_secs_f64() * 1_000.0,
                    tokens: 0,
                }),
            }
        };
        backends.completions.push_back(end);
        Ok(())
    }

    /// Does nothing, as simulated back ends do not crash.
    fn probe(&self, _: Probe) {}

    fn cancel_generation(&self, _: String, _: String) {}
}
