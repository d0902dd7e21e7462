//! Simulated back ends: a service that runs each call that reaches it and
//! whose answers may be lost.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use silversail_backend::{CallFailure, StageCall, StageOutput};
use silversail_consensus::Millis;
use silversail_daemon::calls::Calls;
use silversail_serving::crashes::Probe;
use silversail_testbed::RunRecord;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Longest service time.
const LONGEST_SERVICE: Millis = 60;
/// Time after which a lost answer is noticed.
const LOSS_NOTICED_AFTER: Millis = 300;

/// The end of a call, reported at a time.
pub struct CallEnd {
    /// When.
    pub at: Millis,
    /// Which attempt.
    pub attempt: u64,
    /// What came of it.
    pub result: Result<StageOutput, CallFailure>,
}

/// Back ends of one world, as one node calls them.
pub struct CallDesk {
    /// Calls that ran, over all nodes.
    pub runs: Rc<RefCell<Vec<RunRecord>>>,
    /// Ends to be reported to this node.
    pub ends: VecDeque<CallEnd>,
    /// Time.
    pub now: Millis,
    /// Share of calls that are refused before running.
    pub refused: f64,
    /// Share of calls whose answer is lost.
    pub lost: f64,
    /// Source of chance.
    pub random: ChaCha8Rng,
}

/// Calls of one node.
pub struct SimulatedCalls(pub Rc<RefCell<CallDesk>>);

impl Calls for SimulatedCalls {
    fn start(&self, attempt: u64, call: StageCall, _: bool, _: bool) -> io::Result<()> {
        let mut guard = self.0.borrow_mut();
        let desk = &mut *guard;
        let service = desk.random.gen_range(1..LONGEST_SERVICE);
        if desk.random.gen_bool(desk.refused) {
            let at = desk.now + 1;
            let result = Err(CallFailure::NotRun("refused".into()));
            desk.ends.push_back(CallEnd {
                at,
                attempt,
                result,
            });
            return Ok(());
        }
        desk.runs.borrow_mut().push(RunRecord {
            service: call.address.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt.clone(),
            input: call.input.clone(),
        });
        let end = if desk.random.gen_bool(desk.lost) {
            CallEnd {
                at: desk.now + LOSS_NOTICED_AFTER,
                attempt,
                result: Err(CallFailure::AnswerLost("lost".into())),
            }
        } else {
            CallEnd {
                at: desk.now + service,
                attempt,
                result: Ok(StageOutput {
                    value: json!({ "input": call.input }),
                    cost_ms: Duration::from_millis(service).as_secs_f64() * 1_000.0,
                    tokens: 0,
                }),
            }
        };
        desk.ends.push_back(end);
        Ok(())
    }

    /// A lost answer says nothing of its back end here: none crashes.
    fn probe(&self, _: Probe) {}

    fn cancel_generation(&self, _: String, _: String) {}
}
