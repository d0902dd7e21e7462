//! Resource use of each role as a function of the number of nodes.

use super::input::{HollowMeasurement, PlanInput, ProcessMeasurement};
use super::line::FittedLine;

/// Resource use of a role, extrapolated over the number of nodes.
pub(super) struct Measure {
    pub(super) role: &'static str,
    pub(super) name: &'static str,
    pub(super) line: FittedLine,
    pub(super) limit: Option<f64>,
    pub(super) mechanism: &'static str,
}

/// Fits a line to a value of the measurements with hollow nodes.
fn hollow_line(input: &PlanInput, value: impl Fn(&HollowMeasurement) -> f64) -> FittedLine {
    let points: Vec<(f64, f64)> = input
        .hollow
        .iter()
        .map(|point| (point.nodes, value(point)))
        .collect();
    FittedLine::fit(&points)
}

/// Fits a line to a value of the measurements with real processes, where they have it.
fn process_line(
    input: &PlanInput,
    value: impl Fn(&ProcessMeasurement) -> Option<f64>,
) -> FittedLine {
    let points: Vec<(f64, f64)> = input
        .processes
        .iter()
        .filter_map(|point| Some((point.nodes, value(point)?)))
        .collect();
    FittedLine::fit(&points)
}

/// All measures, ordered by role.
pub(super) fn measures(input: &PlanInput) -> Vec<Measure> {
    let budget = &input.budget;
    let measure = |role, name, line, limit, mechanism| Measure {
        role,
        name,
        line,
        limit,
        mechanism,
    };
    vec![
        measure(
            "entry node",
            "control bytes/s",
            hollow_line(input, |point| point.busiest_node.bytes),
            Some(budget.node_bytes),
            "one session with one relay; deltas",
        ),
        measure(
            "entry node",
            "the same, mean",
            hollow_line(input, |point| point.node.bytes),
            Some(budget.node_bytes),
            "the same",
        ),
        measure(
            "entry node",
            "control messages/s",
            hollow_line(input, |point| point.busiest_node.messages),
            None,
            "one heartbeat each 400 ms",
        ),
        measure(
            "entry node",
            "control share of a core",
            process_line(input, |point| point.node_cpu_share),
            Some(budget.node_cpu_share),
            "timers of an idle process",
        ),
        measure(
            "entry node",
            "the same, actors alone",
            hollow_line(input, |point| point.node_cpu_us_per_s / 1e6),
            Some(budget.node_cpu_share),
            "hollow: without threads and sockets",
        ),
        measure(
            "entry node",
            "bytes/s received, real process",
            process_line(input, |point| point.node_received_bytes_per_s),
            Some(budget.node_bytes),
            "one session with one relay; deltas",
        ),
        measure(
            "entry node",
            "resident MB, idle",
            process_line(input, |point| point.node_resident_mb),
            Some(budget.node_mb),
            "whole configuration in memory",
        ),
        measure(
            "relay (a voter)",
            "bytes/s",
            hollow_line(input, |point| point.voter.bytes),
            None,
            "its part of the sessions; reports bundled each 200 ms",
        ),
        measure(
            "relay (a voter)",
            "messages/s",
            hollow_line(input, |point| point.voter.messages),
            None,
            "the same",
        ),
        measure(
            "relay (a voter)",
            "bytes/s received, real process",
            process_line(input, |point| Some(point.voter_received_bytes_per_s)),
            None,
            "the same",
        ),
        measure(
            "relay (a voter)",
            "share of a core",
            process_line(input, |point| Some(point.voter_cpu_share)),
            None,
            "the same",
        ),
        measure(
            "relay (a voter)",
            "resident MB",
            process_line(input, |point| Some(point.voter_resident_mb)),
            None,
            "state machine and log",
        ),
        measure(
            "leader",
            "bytes/s",
            hollow_line(input, |point| point.leader.bytes),
            None,
            "reports of all relays, view to all relays",
        ),
        measure(
            "leader",
            "messages/s",
            hollow_line(input, |point| point.leader.messages),
            None,
            "the same",
        ),
        measure(
            "leader",
            "bytes/s received, real process",
            process_line(input, |point| Some(point.leader_received_bytes_per_s)),
            None,
            "the same",
        ),
        measure(
            "leader",
            "share of a core",
            process_line(input, |point| Some(point.leader_cpu_share)),
            None,
            "the same",
        ),
        measure(
            "leader",
            "resident MB",
            process_line(input, |point| Some(point.leader_resident_mb)),
            None,
            "state machine, log, membership table",
        ),
    ]
}
