//! Counters and histograms of one process.

use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use silversail_decisions::LogCounts;

/// All metrics; the names are part of the operators' surface.
pub struct Metrics {
    registry: Registry,
    /// Requests by pipeline, outcome and code.
    pub requests: IntCounterVec,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Stage calls repeated, by reason.
    pub retries: IntCounterVec,
    /// Answers that came after their request had ended or moved on.
    pub late_answers: IntCounterVec,
    /// Time from arrival to the whole answer, in seconds.
    pub request_seconds: HistogramVec,
    /// Time of stage calls, in seconds.
    pub stage_seconds: HistogramVec,
    /// Time that stages waited for a back end, in seconds.
    pub queue_seconds: HistogramVec,
    /// What back ends say calls consumed, in their milliseconds.
    pub stage_cost: CounterVec,
    /// Tokens generated.
    pub tokens: IntCounterVec,
    /// Requests under way.
    pub open_requests: IntGauge,
    /// Pass-through requests under way.
    pub gateway_requests: IntGauge,
    /// Sends of pass-through requests by what came of them.
    pub gateway_sends: IntCounterVec,
    /// Requests and calls sent, by service and version of the back end.
    pub version_sends: IntCounterVec,
    /// Those that the back end failed, by the same.
    pub version_failures: IntCounterVec,
    /// Requests that broke off at back ends, by service and cause.
    pub broken_connections: IntCounterVec,
    /// Rests and leaving that back ends told of in answers, by kind and what was answered.
    pub backend_notices: IntCounterVec,
    /// Sends that were not made, as the back end said after it was chosen that it rests or leaves,
    /// by reason and what was to be sent.
    pub unavailable_sends: IntCounterVec,
    /// Permits of back ends with limits that requests of this node were sent with, by path.
    pub permits_spent: IntCounterVec,
    /// Permits that this node issued to itself and others.
    pub permits_issued: IntCounter,
    /// Times that the machine was suspended.
    pub suspensions: IntCounter,
    /// Requests that are refused as they crash back ends, those watched, and, on voters, suspects.
    pub quarantine: IntGaugeVec,
    /// Verdicts on such requests, on the leader that told them.
    pub quarantine_verdicts: IntCounter,
    /// Headers of the system's own that callers sent and that were withheld, by name.
    pub stripped_headers: IntCounterVec,
    /// Reads of the list of back ends by what came of them.
    pub list_reads: IntCounterVec,
    /// Entries of the list of back ends that name none, by why, at each read.
    pub malformed_entries: IntCounterVec,
    /// Requests and phases by how far the back ends are that get them.
    pub work_by_distance: IntCounterVec,
    /// Pieces in each batch call.
    pub batch_size: Histogram,
    /// Decision lines taken and dropped, by class.
    pub decision_lines: IntGaugeVec,
    /// Stages waiting for a back end.
    pub queued_stages: IntGauge,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Messages to peers by result.
    pub peer_sent: IntCounterVec,
    /// Bytes handed over to peers, by kind of message and distance.
    pub peer_sent_bytes: IntCounterVec,
    /// Messages from peers by result.
    pub peer_received: IntCounterVec,
    /// Bytes from peers.
    pub peer_received_bytes: IntCounterVec,
    /// Whether this process leads a group.
    pub leads: IntGaugeVec,
    /// Proposals by group and result.
    pub proposals: IntCounterVec,
    /// 1 for the latest rollout of each service, by version and state.
    pub rollouts: IntGaugeVec,
    /// On the leader: answers of each rollout in progress, by version and whether they were good.
    pub rollout_answers: IntGaugeVec,
}

const BATCH_BUCKETS: &[f64] = &[1.0, 2.0, 4.0, 8.0, 12.0, 16.0, 24.0, 32.0, 48.0];
const LATENCY_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 5.0,
];

impl Metrics {
    /// Metrics registered in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, labels).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let suspensions = IntCounter::new(
            "silversail_suspensions_total",
            "Times that the machine was suspended",
        )
        .expect(VALID);
        registry
            .register(Box::new(suspensions.clone()))
            .expect(VALID);
        let quarantine_verdicts = IntCounter::new(
            "silversail_quarantine_verdicts_total",
            "Verdicts on requests that crash back ends, on the leader that told them",
        )
        .expect(VALID);
        registry
            .register(Box::new(quarantine_verdicts.clone()))
            .expect(VALID);
        let permits_issued = IntCounter::new(
            "silversail_permits_issued_total",
            "Permits issued for back ends that have a limit for all nodes together",
        )
        .expect(VALID);
        registry
            .register(Box::new(permits_issued.clone()))
            .expect(VALID);
        let stage_cost = CounterVec::new(
            Opts::new(
                "silversail_stage_cost_ms_total",
                "Back-end milliseconds consumed",
            ),
            &["kind", "tenant", "model"],
        )
        .expect(VALID);
        registry
            .register(Box::new(stage_cost.clone()))
            .expect(VALID);
        let batch_size = Histogram::with_opts(
            HistogramOpts::new("silversail_batch_pieces", "Pieces in a batch call")
                .buckets(BATCH_BUCKETS.to_vec()),
        )
        .expect(VALID);
        registry
            .register(Box::new(batch_size.clone()))
            .expect(VALID);
        let decision_lines = IntGaugeVec::new(
            Opts::new(
                "silversail_decision_lines",
                "Decision lines since the start",
            ),
            &["fate"],
        )
        .expect(VALID);
        registry
            .register(Box::new(decision_lines.clone()))
            .expect(VALID);
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect(VALID);
            registry.register(Box::new(metric.clone())).expect(VALID);
            metric
        };
        let leads = IntGaugeVec::new(
            Opts::new("silversail_leads", "1 where this process leads the group"),
            &["group"],
        )
        .expect(VALID);
        registry.register(Box::new(leads.clone())).expect(VALID);
        Self {
            requests: counter(
                "silversail_requests_total",
                "Requests answered",
                &["pipeline", "outcome", "code"],
            ),
            refusals: counter("silversail_refusals_total", "Requests refused", &["reason"]),
            retries: counter(
                "silversail_retries_total",
                "Stage calls repeated",
                &["reason"],
            ),
            late_answers: counter(
                "silversail_late_answers_total",
                "Back-end answers dropped as late",
                &["kind"],
            ),
            request_seconds: histogram(
                "silversail_request_seconds",
                "Arrival to whole answer",
                &["pipeline", "outcome"],
            ),
            stage_seconds: histogram("silversail_stage_seconds", "Stage calls", &["kind"]),
            queue_seconds: histogram(
                "silversail_stage_queue_seconds",
                "Wait for a back end",
                &["kind"],
            ),
            work_by_distance: counter(
                "silversail_work_by_distance_total",
                "Sends of requests and phases given, by the distance to their back ends",
                &["work", "distance"],
            ),
            stage_cost,
            tokens: counter("silversail_tokens_total", "Tokens generated", &["model"]),
            open_requests: gauge("silversail_open_requests", "Requests under way"),
            stripped_headers: counter(
                "silversail_withheld_headers_total",
                "Headers of the system's own that callers sent and that were withheld",
                &["name"],
            ),
            gateway_sends: counter(
                "silversail_gateway_sends_total",
                "Sends of pass-through requests",
                &["outcome"],
            ),
            version_sends: counter(
                "silversail_version_sends_total",
                "Requests and batch calls sent to back ends",
                &["service", "version"],
            ),
            broken_connections: counter(
                "silversail_broken_connections_total",
                "Requests and batch calls that broke off at back ends",
                &["service", "cause"],
            ),
            backend_notices: counter(
                "silversail_backend_notices_total",
                "What back ends said of themselves in answers",
                &["kind", "path"],
            ),
            unavailable_sends: counter(
                "silversail_sends_withheld_total",
                "Sends not made as the back end rests, leaves or has a limit by its own word",
                &["reason", "path"],
            ),
            permits_spent: counter(
                "silversail_permits_spent_total",
                "Requests sent to back ends that have a limit for all nodes together",
                &["path"],
            ),
            permits_issued,
            quarantine: gauges(
                "silversail_quarantined_requests",
                "Requests that crash back ends",
                &["state"],
            ),
            quarantine_verdicts,
            suspensions,
            version_failures: counter(
                "silversail_version_failures_total",
                "Requests and batch calls that back ends failed",
                &["service", "version"],
            ),
            list_reads: counter(
                "silversail_backend_list_reads_total",
                "Reads of the list of back ends by this node",
                &["outcome"],
            ),
            malformed_entries: counter(
                "silversail_backend_list_malformed_total",
                "Entries of the list of back ends that name none, at each read",
                &["reason"],
            ),
            batch_size,
            decision_lines,
            gateway_requests: gauge(
                "silversail_gateway_open_requests",
                "Pass-through requests under way",
            ),
            queued_stages: gauge("silversail_queued_stages", "Stages waiting for a back end"),
            revision: gauge("silversail_configuration_revision", "Revision in force"),
            peer_sent: counter(
                "silversail_peer_sent_total",
                "Messages to peers",
                &["result"],
            ),
            peer_sent_bytes: counter(
                "silversail_peer_sent_bytes_total",
                "Bytes to peers",
                &["kind", "distance"],
            ),
            peer_received: counter(
                "silversail_peer_received_total",
                "Messages from peers",
                &["result"],
            ),
            peer_received_bytes: counter(
                "silversail_peer_received_bytes_total",
                "Bytes from peers",
                &["kind"],
            ),
            leads,
            rollouts: gauges(
                "silversail_rollouts",
                "1 for the latest rollout of each service",
                &["service", "version", "state"],
            ),
            rollout_answers: gauges(
                "silversail_rollout_answers",
                "Answers of rollouts in progress over all nodes, on the leader",
                &["service", "version", "outcome"],
            ),
            proposals: counter(
                "silversail_proposals_total",
                "Proposals to replication groups",
                &["group", "result"],
            ),
            registry,
        }
    }

    /// Takes over how many decision lines were taken and dropped.
    pub fn set_log_counts(&self, counts: &LogCounts) {
        for (fate, count) in [
            ("taken", counts.taken),
            ("dropped_steps", counts.dropped_steps),
            ("dropped_failures", counts.dropped_failures),
            ("dropped_beliefs", counts.dropped_beliefs),
        ] {
            let gauge = self.decision_lines.with_label_values(&[fate]);
            gauge.set(count as i64);
        }
    }

    /// All metrics in the text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .expect("encoding into memory does not fail");
        buffer
    }
}

/// Metric names and labels are constants of the program.
const VALID: &str = "metric definitions are valid and unique";

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
