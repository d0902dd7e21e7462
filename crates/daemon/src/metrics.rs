//! Prometheus metrics of a process.

use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use silversail_decisions::LogCounts;

/// All metrics of a process. The names of the metrics are part of the operators' interface.
pub struct Metrics {
    registry: Registry,
    /// Requests by pipeline, outcome and code.
    pub requests: IntCounterVec,
    /// Rejected requests, by reason.
    pub refusals: IntCounterVec,
    /// Retried stage calls, by reason.
    pub retries: IntCounterVec,
    /// Answers that arrived after their request had ended or continued without them.
    pub late_answers: IntCounterVec,
    /// Time from the arrival of a request to its complete answer, in seconds.
    pub request_seconds: HistogramVec,
    /// Duration of stage calls, in seconds.
    pub stage_seconds: HistogramVec,
    /// Time that stages waited for a back end, in seconds.
    pub queue_seconds: HistogramVec,
    /// Cost of calls as reported by back ends, in milliseconds.
    pub stage_cost: CounterVec,
    /// Generated tokens.
    pub tokens: IntCounterVec,
    /// Open pipeline requests.
    pub open_requests: IntGauge,
    /// Open pass-through requests.
    pub gateway_requests: IntGauge,
    /// Requests forwarded to peer nodes and received from them, by direction.
    pub forwarded_requests: IntCounterVec,
    /// 1 while this node reaches no back end.
    pub cut_off_from_backends: IntGauge,
    /// Sends of pass-through requests, by outcome.
    pub gateway_sends: IntCounterVec,
    /// Streams whose beginnings this node remembers.
    pub stream_origins: IntGauge,
    /// Answers of back ends, by how they ended.
    pub answer_ends: IntCounterVec,
    /// Heads of answers, by the identifier that they name and the kind of exchange.
    pub answer_identities: IntCounterVec,
    /// Requests and calls sent, by service and version of the back end.
    pub version_sends: IntCounterVec,
    /// Requests and calls that the back end failed, by service and version.
    pub version_failures: IntCounterVec,
    /// Requests whose connections to back ends were lost, by service and cause.
    pub broken_connections: IntCounterVec,
    /// Back-off requests and announced shutdowns in back ends' answers, by kind and exchange.
    pub backend_notices: IntCounterVec,
    /// Sends that were cancelled because the selected back end had become unavailable, by reason
    /// and exchange.
    pub unavailable_sends: IntCounterVec,
    /// Permits of rate-limited back ends used by requests of this node, by exchange.
    pub permits_spent: IntCounterVec,
    /// Permits that this node issued to all nodes, itself included.
    pub permits_issued: IntCounter,
    /// Number of suspensions of the machine.
    pub suspensions: IntCounter,
    /// Requests that are refused because they crash back ends, watched ones, and suspects on voters.
    pub quarantine: IntGaugeVec,
    /// Verdicts that requests crash back ends, on the leader that committed them.
    pub quarantine_verdicts: IntCounter,
    /// Internal headers that were stripped from callers' requests, by name.
    pub stripped_headers: IntCounterVec,
    /// Headers of the protocol that callers named in `Connection`, by name.
    pub disregarded_connection_options: IntCounterVec,
    /// Reads of the backend list, by outcome.
    pub list_reads: IntCounterVec,
    /// Malformed entries of the backend list at each read, by reason.
    pub malformed_entries: IntCounterVec,
    /// Requests and phases, by distance to their back ends.
    pub work_by_distance: IntCounterVec,
    /// Number of pieces in each batch call.
    pub batch_size: Histogram,
    /// Accepted and dropped lines of the decision log, by class.
    pub decision_lines: IntGaugeVec,
    /// Stages that wait for a back end.
    pub queued_stages: IntGauge,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Messages sent to peers, by result.
    pub peer_sent: IntCounterVec,
    /// Bytes sent to peers, by kind of message and distance.
    pub peer_sent_bytes: IntCounterVec,
    /// Messages received from peers, by result.
    pub peer_received: IntCounterVec,
    /// Messages from peers, by the message version in which they were encoded.
    pub peer_received_versions: IntCounterVec,
    /// Bytes received from peers, by kind of message.
    pub peer_received_bytes: IntCounterVec,
    /// 1 if this process leads a group, by group.
    pub leads: IntGaugeVec,
    /// Proposals by group and result.
    pub proposals: IntCounterVec,
    /// 1 for the latest rollout of each service, by version and state.
    pub rollouts: IntGaugeVec,
    /// On the leader: responses of each rollout in progress, by version and outcome.
    pub rollout_answers: IntGaugeVec,
}

/// Upper bounds of the batch size histogram.
const BATCH_SIZE_BUCKETS: &[f64] = &[1.0, 2.0, 4.0, 8.0, 12.0, 16.0, 24.0, 32.0, 48.0];
/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 5.0,
];

impl Metrics {
    /// Creates all metrics in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric =
                IntCounterVec::new(Opts::new(name, help), labels).expect(VALID_DEFINITIONS);
            registry
                .register(Box::new(metric.clone()))
                .expect(VALID_DEFINITIONS);
            metric
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, labels).expect(VALID_DEFINITIONS);
            registry
                .register(Box::new(metric.clone()))
                .expect(VALID_DEFINITIONS);
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect(VALID_DEFINITIONS);
            registry
                .register(Box::new(metric.clone()))
                .expect(VALID_DEFINITIONS);
            metric
        };
        let suspensions = IntCounter::new(
            "silversail_suspensions_total",
            "Times that the machine was suspended",
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(suspensions.clone()))
            .expect(VALID_DEFINITIONS);
        let quarantine_verdicts = IntCounter::new(
            "silversail_quarantine_verdicts_total",
            "Verdicts on requests that crash back ends, on the leader that told them",
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(quarantine_verdicts.clone()))
            .expect(VALID_DEFINITIONS);
        let permits_issued = IntCounter::new(
            "silversail_permits_issued_total",
            "Permits issued for back ends that have a limit for all nodes together",
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(permits_issued.clone()))
            .expect(VALID_DEFINITIONS);
        let stage_cost = CounterVec::new(
            Opts::new(
                "silversail_stage_cost_ms_total",
                "Back-end milliseconds consumed",
            ),
            &["kind", "tenant", "model"],
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(stage_cost.clone()))
            .expect(VALID_DEFINITIONS);
        let batch_size = Histogram::with_opts(
            HistogramOpts::new("silversail_batch_pieces", "Pieces in a batch call")
                .buckets(BATCH_SIZE_BUCKETS.to_vec()),
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(batch_size.clone()))
            .expect(VALID_DEFINITIONS);
        let decision_lines = IntGaugeVec::new(
            Opts::new(
                "silversail_decision_lines",
                "Decision lines since the start",
            ),
            &["fate"],
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(decision_lines.clone()))
            .expect(VALID_DEFINITIONS);
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect(VALID_DEFINITIONS);
            registry
                .register(Box::new(metric.clone()))
                .expect(VALID_DEFINITIONS);
            metric
        };
        let leads = IntGaugeVec::new(
            Opts::new("silversail_leads", "1 where this process leads the group"),
            &["group"],
        )
        .expect(VALID_DEFINITIONS);
        registry
            .register(Box::new(leads.clone()))
            .expect(VALID_DEFINITIONS);
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
            disregarded_connection_options: counter(
                "silversail_disregarded_connection_options_total",
                "Headers of the protocol that callers named in Connection",
                &["name"],
            ),
            gateway_sends: counter(
                "silversail_gateway_sends_total",
                "Sends of pass-through requests",
                &["outcome"],
            ),
            stream_origins: gauge(
                "silversail_stream_origins",
                "Streams whose beginnings this node remembers",
            ),
            answer_ends: counter(
                "silversail_answer_ends_total",
                "Answers of back ends that were passed on",
                &["end"],
            ),
            answer_identities: counter(
                "silversail_answer_identities_total",
                "Heads of answers, by whether they name the request they were read for",
                &["echoed", "path"],
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
            forwarded_requests: counter(
                "silversail_forwarded_requests_total",
                "Requests forwarded between nodes",
                &["direction"],
            ),
            cut_off_from_backends: gauge(
                "silversail_cut_off_from_backends",
                "1 while this process reaches no back end",
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
            peer_received_versions: counter(
                "silversail_peer_received_versions_total",
                "Messages from peers, by message version",
                &["version"],
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

    /// Sets the counts of accepted and dropped decision log lines.
    pub fn set_log_counts(&self, counts: &LogCounts) {
        for (label, count) in [
            ("taken", counts.taken),
            ("dropped_steps", counts.dropped_steps),
            ("dropped_failures", counts.dropped_failures),
            ("dropped_beliefs", counts.dropped_beliefs),
        ] {
            let gauge = self.decision_lines.with_label_values(&[label]);
            gauge.set(count as i64);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .expect("encoding into memory does not fail");
        buffer
    }
}

/// Panic message; metric names and labels are constants, so registration can't fail.
const VALID_DEFINITIONS: &str = "metric definitions are valid and unique";

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
