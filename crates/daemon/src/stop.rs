//! Graceful shutdown: leaves the cluster view, waits until the last entry-point answers that name
//! this node have expired, refuses new requests, drains the open ones, transfers leadership, waits
//! until callers have read their answers, and exits.

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

/// Interval at which the step is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last responses and the leadership transfer to be sent.
const FLUSH_DURATION: Duration = Duration::from_millis(400);

/// Dependencies and configuration of a [`StopActor`].
pub struct StopSetup {
    /// Name of the own node.
    pub node: NodeName,
    /// Leases and timeouts.
    pub timing: TimingSettings,
    /// Holds the cluster view; marked as refusing requests during the stop.
    pub state: SharedNodeState,
    /// Announces the stop to the leader.
    pub session: Actor<SessionActor>,
    /// Counts the open requests.
    pub metrics: Arc<Metrics>,
    /// Server of the callers' API.
    pub server: Rc<HttpServer>,
    /// The gateway, if the node has one.
    pub gateway: Option<Rc<GatewayRuntime>>,
    /// Time from the stop signal until the process is killed, if known.
    pub stop_grace: Option<Duration>,
    /// Records the steps of the stop.
    pub log: DecisionLog,
    /// Callbacks that transfer leadership, one for each replica of this node.
    pub leadership_transfers: Vec<Fwd<()>>,
}

/// Times of the steps of a stop if the time of the kill is known, measured from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// New requests are refused from then on, so that accepted ones have time to complete.
    pub refuse_after: Duration,
    /// Open requests must have completed by then.
    pub drained_by: Duration,
}

impl StopTimes {
    /// Times for a process that is killed `grace` after the stop signal.
    pub fn new(grace: Duration) -> Self {
        Self {
            refuse_after: grace.mul_f64(ACCEPTING_SHARE).min(MAX_ACCEPTING_DURATION),
            drained_by: grace.saturating_sub(KILL_MARGIN),
        }
    }
}

/// Share of the time until the kill in which new requests are accepted.
const ACCEPTING_SHARE: f64 = 0.4;
/// Longest time after the stop signal in which new requests are accepted. Requests accepted 3 s
/// after the signal or later would have to complete whatever their engine does.
const MAX_ACCEPTING_DURATION: Duration = Duration::from_millis(2_700);
/// Time before the kill at which open requests must have completed: the flush and a margin.
const KILL_MARGIN: Duration = Duration::from_millis(650);

/// Steps of a stop; the `Debug` text is part of the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Until the view does not list this node any more, at most until the given time.
    LeavingView(Instant),
    /// Until the last entry-point answer that names this node has expired.
    AnswersEnding(Instant),
    /// Until no request is open, at most until the given time.
    Draining(Instant),
    /// Until all callers have read their answers, at most until the given time.
    ClosingConnections(Instant),
    /// Until the last messages have been sent.
    Flushing(Instant),
}

/// Performs a graceful shutdown.
pub struct StopActor {
    setup: StopSetup,
    step: Step,
    started_at: Instant,
}

impl StopActor {
    /// Announces the stop and starts with the first step.
    pub fn init(cx: CX![], setup: StopSetup) -> Option<Self> {
        call!([setup.session], stop());
        let view_timeout = Duration::from_millis(setup.timing.node_lease_ms);
        let step = Step::LeavingView(cx.now() + view_timeout);
        after!(TICK_INTERVAL, [cx], tick());
        let started_at = cx.now();
        Some(Self {
            setup,
            step,
            started_at,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = cx.now();
        let next_step = match self.step {
            Step::LeavingView(until) if now >= until || !self.is_in_view() => {
                Some(Step::AnswersEnding(self.accepts_requests_until(now)))
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
                Some(Step::ClosingConnections(until))
            }
            Step::ClosingConnections(until) if now >= until || !self.has_caller_connections() => {
                Some(Step::Flushing(now + FLUSH_DURATION))
            }
            Step::Flushing(until) if now >= until => {
                cx.shutdown(stakker::StopCause::Stopped);
                None
            }
            _ => None,
        };
        if let Some(next_step) = next_step {
            self.setup.log.record(LogEvent::Stopping {
                step: format!("{next_step:?}"),
            });
            self.step = next_step;
        }
    }

    fn is_in_view(&self) -> bool {
        let state = self.setup.state.borrow();
        let in_view = state
            .view
            .usable_nodes()
            .any(|usable_node| usable_node.node == self.setup.node);
        in_view
    }

    fn has_drained(&self) -> bool {
        let metrics = &self.setup.metrics;
        metrics.open_requests.get() == 0 && metrics.gateway_requests.get() == 0
    }

    /// Whether callers' connections are open. Idle ones have been closed, so that the others carry
    /// answers that slow callers are reading.
    fn has_caller_connections(&self) -> bool {
        let gateway = self.setup.gateway.as_ref();
        let gateway_connections = gateway.map_or(0, |gateway| gateway.open_caller_connections());
        gateway_connections + self.setup.server.open_connections() > 0
    }

    /// Time until which requests are accepted from callers that hold an entry-point answer.
    fn accepts_requests_until(&self, now: Instant) -> Instant {
        match self.setup.stop_grace {
            Some(grace) => self.started_at + StopTimes::new(grace).refuse_after,
            None => now + self.entry_point_answer_lifetime(),
        }
    }

    /// Time by which open requests must have completed.
    fn drained_by(&self, now: Instant) -> Instant {
        match self.setup.stop_grace {
            Some(grace) => self.started_at + StopTimes::new(grace).drained_by,
            None => now + Duration::from_millis(self.setup.timing.stop_timeout_ms),
        }
    }

    /// Longest time for which callers may use an answer that names this node: other nodes answer
    /// from a view that may be as old as their freshness lease, and callers keep the answer for
    /// its lifetime.
    fn entry_point_answer_lifetime(&self) -> Duration {
        let timing = &self.setup.timing;
        Duration::from_millis(timing.freshness_lease_ms + timing.entry_point_lifetime_ms)
    }
}
