//! A planned stop: leave the answers, wait until the last answer that named
//! this node has ended, refuse new requests, finish those under way, hand over
//! leadership, exit.

use crate::metrics::Metrics;
use crate::session::{SessionActor, SharedNodeState};
use crate::settings::TimingSettings;
use silversail_http::HttpServer;
use silversail_model::NodeName;
use stakker::{after, call, fwd, Actor, Fwd, CX};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(50);
/// Time for the last answers and the handed-over leadership to leave.
const FLUSH: Duration = Duration::from_millis(400);

/// What a stop needs.
pub struct StopSetup {
    /// This node.
    pub node: NodeName,
    /// Intervals.
    pub timing: TimingSettings,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Tells the leader.
    pub session: Actor<SessionActor>,
    /// Number of requests under way.
    pub metrics: Arc<Metrics>,
    /// The callers' surface.
    pub server: Rc<HttpServer>,
    /// Hands leadership over, by group.
    pub hand_over: Vec<Fwd<()>>,
}

/// The steps of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Until the view names this node no more, or no longer than the time.
    LeavingView(Instant),
    /// Until the last answer that named this node has ended.
    AnswersEnding(Instant),
    /// Until no request is under way, or no longer than the time.
    Draining(Instant),
    /// Until what was sent last has left.
    Flushing(Instant),
}

/// Carries out a planned stop.
pub struct StopActor {
    setup: StopSetup,
    step: Step,
}

impl StopActor {
    /// Begins the stop.
    pub fn init(cx: CX![], setup: StopSetup) -> Option<Self> {
        call!([setup.session], stop());
        let longest = Duration::from_millis(setup.timing.node_lease_ms);
        let step = Step::LeavingView(cx.now() + longest);
        after!(TICK, [cx], tick());
        Some(Self { setup, step })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        let next = match self.step {
            Step::LeavingView(until) if now >= until || !self.is_in_view() => {
                Some(Step::AnswersEnding(now + self.answer_lifetime()))
            }
            Step::AnswersEnding(until) if now >= until => {
                self.setup.state.borrow_mut().refusing = true;
                let longest = Duration::from_millis(self.setup.timing.stop_timeout_ms);
                Some(Step::Draining(now + longest))
            }
            Step::Draining(until)
                if now >= until || self.setup.metrics.open_requests.get() == 0 =>
            {
                self.setup.server.stop_accepting();
                for hand_over in &self.setup.hand_over {
                    fwd!([hand_over], ());
                }
                Some(Step::Flushing(now + FLUSH))
            }
            Step::Flushing(until) if now >= until => {
                cx.shutdown(stakker::StopCause::Stopped);
                None
            }
            _ => None,
        };
        if let Some(next) = next {
            log::info!(event = "stop_step"; "{next:?}");
            self.step = next;
        }
    }

    fn is_in_view(&self) -> bool {
        let state = self.setup.state.borrow();
        let in_view = state
            .view
            .usable_nodes()
            .any(|one| one.node == self.setup.node);
        in_view
    }

    /// Other nodes answer from a view that may be as old as their freshness
    /// lease, and callers keep the answer for its lifetime.
    fn answer_lifetime(&self) -> Duration {
        let timing = &self.setup.timing;
        Duration::from_millis(timing.freshness_lease_ms + timing.entry_point_lifetime_ms)
    }
}
