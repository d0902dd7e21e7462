//! A planned stop: leave the answers, wait until the last answer that named
//! this node has ended, refuse new requests, finish those under way, hand over
//! leadership, exit.

use crate::gateway::runtime::GatewayRuntime;
use crate::metrics::Metrics;
use crate::session::{SessionActor, SharedNodeState};
use crate::settings::TimingSettings;
use silversail_decisions::{DecisionLog, Event as LogEvent};
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
    /// The gateway, where there is one.
    pub gateway: Option<Rc<GatewayRuntime>>,
    /// Time until the process is killed, where that is known.
    pub stop_grace: Option<Duration>,
    /// Decisions.
    pub log: DecisionLog,
    /// Hands leadership over, by group.
    pub leadership_transfers: Vec<Fwd<()>>,
}

/// When the steps of a stop come where the time of the kill is known, counted from
/// the order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// From then on new requests are refused, so that those taken have time to end.
    pub refuse_after: Duration,
    /// Requests must have ended by then.
    pub drained_by: Duration,
}

impl StopTimes {
    /// The times of a process that is killed `grace` after the order to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse_after: grace.mul_f64(TAKES_REQUESTS).min(LONGEST_TAKING),
            drained_by: grace.saturating_sub(BEFORE_KILL),
        }
    }
}

/// New requests are refused from this share of the time until the kill.
const TAKES_REQUESTS: f64 = 0.4;
/// A request that is taken later than 3 s after the order must end, whatever its
/// engine does; none is.
const LONGEST_TAKING: Duration = Duration::from_millis(2_700);
/// The last answers must have left so long before the kill: a flush and a margin.
const BEFORE_KILL: Duration = Duration::from_millis(650);

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
    began_at: Instant,
}

impl StopActor {
    /// Begins the stop.
    pub fn init(cx: CX![], setup: StopSetup) -> Option<Self> {
        call!([setup.session], stop());
        let longest = Duration::from_millis(setup.timing.node_lease_ms);
        let step = Step::LeavingView(cx.now() + longest);
        after!(TICK, [cx], tick());
        let began_at = cx.now();
        Some(Self {
            setup,
            step,
            began_at,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        let next = match self.step {
            Step::LeavingView(until) if now >= until || !self.is_in_view() => {
                Some(Step::AnswersEnding(self.answers_end(now)))
            }
            Step::AnswersEnding(until) if now >= until => {
                self.setup.state.borrow_mut().refusing = true;
                Some(Step::Draining(self.drained_by(now)))
            }
            Step::Draining(until) if now >= until || self.has_drained() => {
                self.setup.server.stop_accepting();
                if let Some(gateway) = &self.setup.gateway {
                    gateway.close();
                }
                for transfer in &self.setup.leadership_transfers {
                    fwd!([transfer], ());
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
            self.setup.log.record(LogEvent::Stopping {
                step: format!("{next:?}"),
            });
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

    fn has_drained(&self) -> bool {
        let metrics = &self.setup.metrics;
        metrics.open_requests.get() == 0 && metrics.gateway_requests.get() == 0
    }

    /// Until when callers that hold an answer are served.
    fn answers_end(&self, now: Instant) -> Instant {
        match self.setup.stop_grace {
            Some(grace) => self.began_at + StopTimes::new(grace).refuse_after,
            None => now + self.answer_lifetime(),
        }
    }

    /// By when requests under way must have ended.
    fn drained_by(&self, now: Instant) -> Instant {
        match self.setup.stop_grace {
            Some(grace) => self.began_at + StopTimes::new(grace).drained_by,
            None => now + Duration::from_millis(self.setup.timing.stop_timeout_ms),
        }
    }

    /// Other nodes answer from a view that may be as old as their freshness
    /// lease, and callers keep the answer for its lifetime.
    fn answer_lifetime(&self) -> Duration {
        let timing = &self.setup.timing;
        Duration::from_millis(timing.freshness_lease_ms + timing.entry_point_lifetime_ms)
    }
}
