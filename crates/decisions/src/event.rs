//! Events of the decision log, one variant per kind of decision.

use serde::{Deserialize, Serialize};

/// A decision and the inputs that it was based on. Ages are in milliseconds. Events never
/// contain API keys, prompts or response bodies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process started.
    Started {
        /// Version of the program.
        version: String,
        /// Incarnation number of the process; higher after each restart.
        incarnation: u64,
    },
    /// The process was asked to shut down, or reached the next shutdown step.
    Stopping {
        /// Shutdown step that begins.
        step: String,
    },
    /// The settings file was reloaded.
    Reloaded {
        /// Settings that changed.
        change: String,
    },
    /// A request was admitted and matched to a route and a service.
    Admitted {
        /// Request identifier sent by the caller.
        request: String,
        /// Matched route.
        route: String,
        /// Service selected for the request.
        service: String,
        /// Version of the traffic configuration that was applied.
        version: u64,
        /// Milliseconds until the request's deadline.
        remaining_ms: u64,
        /// Number of phases that run before the request is sent to an engine.
        phases: usize,
        /// Digest of tenant, target and body; equal for repeated attempts of the same
        /// request.
        #[serde(default)]
        fingerprint: String,
        /// Hashes of the prompt's parts that other requests may share.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        prompt_parts: Vec<String>,
        /// Whether another node forwarded the request.
        #[serde(default)]
        is_forwarded: bool,
    },
    /// A caller named headers of the protocol in `Connection`, which was disregarded.
    ConnectionOptionsDisregarded {
        /// Request identifier sent by the caller.
        request: String,
        /// Names of the headers.
        headers: Vec<String>,
    },
    /// A request was rejected or abandoned.
    Refused {
        /// Request identifier sent by the caller.
        request: String,
        /// HTTP status returned to the caller.
        status: u16,
        /// Numbered result code.
        code: u16,
        /// Machine-readable reason of the code.
        reason: String,
        /// Version of the traffic configuration; 0 if none was loaded.
        version: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Number of sends to engines so far.
        sends: u32,
        /// Retry delay returned to the caller, in milliseconds.
        retry_after_ms: u64,
    },
    /// A request takes up a stream.
    StreamResumed {
        /// Request identifier sent by the caller.
        request: String,
        /// Caller's attempt that began the stream; empty if the caller does not name it.
        first_attempt: String,
        /// Service at which it goes on.
        service: String,
        /// Software version at which it goes on; empty if that is not known.
        version: String,
        /// Where the version is known from: `own`, `peer`, `sole_version` or `none`.
        source: String,
        /// `goes_on`, or the reason of the rejection.
        outcome: String,
    },
    /// The pieces of a phase were submitted to the node that batches its service.
    PhaseSubmitted {
        /// Request identifier sent by the caller.
        request: String,
        /// Index of the phase in the route.
        phase: u32,
        /// Service that runs the phase.
        service: String,
        /// Number of pieces submitted.
        pieces: usize,
        /// Node that batches the service.
        owner: String,
        /// Milliseconds until the request's deadline.
        remaining_ms: u64,
        /// Distance to the back ends: `same_zone`, `same_region` or `other_region`; empty if
        /// the batching node uses the back ends of all zones.
        distance: String,
    },
    /// A phase finished or failed.
    PhaseDone {
        /// Request identifier sent by the caller.
        request: String,
        /// Index of the phase in the route.
        phase: u32,
        /// `made`, or the reason of the failure.
        outcome: String,
        /// Duration in milliseconds.
        took_ms: u64,
    },
    /// A batch was sent to a back end.
    BatchSent {
        /// Back end that receives the batch.
        backend: String,
        /// Service of the back end.
        service: String,
        /// Number of pieces in the batch.
        pieces: usize,
        /// Number of pieces that stay queued.
        waiting: usize,
        /// Result memory in use at the back end, in bytes.
        room_taken: u64,
        /// Identifiers of the requests that the pieces belong to.
        requests: Vec<String>,
    },
    /// A batch finished or failed.
    BatchEnded {
        /// Back end that ran the batch.
        backend: String,
        /// `made`, or the reason of the failure: `not_run`, `unreachable`, `withheld`,
        /// `address_mismatch` if another back end answered, `foreign_answer` if another call's
        /// answer came, `unknown`, or the number of failed pieces by reason.
        outcome: String,
        /// Duration in milliseconds.
        took_ms: u64,
    },
    /// A call that frees results at a back end ended.
    FreeEnded {
        /// Identifier of the call.
        call: String,
        /// Back end that the call was meant for.
        backend: String,
        /// Address that it was sent to.
        address: String,
        /// Number of results that it named.
        results: usize,
        /// `freed`, or why they may not be: `address_mismatch` if another back end answered,
        /// `status_` and the HTTP status, `other_answer`, or the reason why there was no answer.
        outcome: String,
    },
    /// A request was sent to an engine.
    Sent {
        /// Request identifier sent by the caller.
        request: String,
        /// Selected back end.
        backend: String,
        /// Software version of the back end; empty if the back-end list has none.
        version: String,
        /// Attempt number of this send for the request.
        send: u32,
        /// Requests of this node in flight at the back end.
        in_flight: u32,
        /// Running and queued requests in the back end's last load report.
        reported: u32,
        /// Age of that report in milliseconds; absent if there is no report.
        report_age_ms: Option<u64>,
        /// Milliseconds until the request's deadline.
        remaining_ms: u64,
        /// Distance to the back end: `same_zone`, `same_region` or `other_region`.
        distance: String,
    },
    /// A request is queued because every eligible engine is in a Retry-After pause or is
    /// rate-limited without a permit for this node.
    WaitsForRest {
        /// Request identifier sent by the caller.
        request: String,
        /// Service of the engines.
        service: String,
        /// Milliseconds until the first engine is available again.
        for_ms: u64,
    },
    /// A send to an engine failed without a response for the caller.
    SendFailed {
        /// Request identifier sent by the caller.
        request: String,
        /// Back end that the request was sent to.
        backend: String,
        /// Whether the request ran: `not_run` or `unknown`.
        outcome: String,
        /// Cause of the failure.
        reason: String,
        /// Duration of the send in milliseconds.
        took_ms: u64,
        /// Next action: `retry` or `give_up`.
        next: String,
        /// Condition that selected the next action.
        why: String,
    },
    /// The head of a back end's answer that does not name the request it was read for, or that
    /// states that the back end did not run it.
    AnswerChecked {
        /// Identifier of the request or call that the answer was read for.
        request: String,
        /// Back end that sent the answer.
        backend: String,
        /// Kind of the exchange.
        path: String,
        /// HTTP status of the answer.
        status: u16,
        /// Whether the answer states that the request was not run.
        says_not_run: bool,
        /// Identifier that the answer names: `own`, `other` or `none`.
        echoed: String,
        /// Whether it was taken for the answer to that request.
        is_own: bool,
        /// Number of requests that the connection carried before.
        earlier_requests: usize,
        /// Identifier of the previous request on the connection; empty for none.
        previous_request: String,
        /// HTTP status of the previous answer on the connection; 0 for none.
        previous_status: u16,
    },
    /// A response was sent to the caller.
    Answered {
        /// Request identifier sent by the caller.
        request: String,
        /// Back end that responded.
        backend: String,
        /// HTTP status of the response.
        status: u16,
        /// Milliseconds from the request's arrival to the response headers.
        head_ms: u64,
        /// Milliseconds from the request's arrival to the end of the response.
        total_ms: u64,
        /// `whole`, `whole_by_close` if only the end of the connection showed it, or the reason
        /// why the response is incomplete.
        end: String,
    },
    /// The caller disconnected before the response was complete.
    CallerGone {
        /// Request identifier sent by the caller.
        request: String,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Number of sends to engines so far.
        sends: u32,
    },
    /// A back end was added, changed state or was removed.
    Backend {
        /// Identity of the back end.
        backend: String,
        /// Service that it belongs to.
        service: String,
        /// `ready`, `cold`, `draining`, `gone`, `suspect`, `full`, `slow` or `trusted`.
        state: String,
        /// Origin of the information.
        source: String,
        /// Software version of the back end; empty if the back-end list has none.
        version: String,
    },
    /// A new back-end list changed too many back ends for one event each; only their number is
    /// logged.
    BackendsListed {
        /// Service of the back ends.
        service: String,
        /// `ready`, `cold`, `draining` or `gone`.
        state: String,
        /// Number of back ends that entered the state.
        backends: usize,
    },
    /// A back end rejected a request with a Retry-After pause, during which this node sends it
    /// nothing.
    RestBegan {
        /// Back end that asked for the pause.
        backend: String,
        /// Duration of the pause in milliseconds.
        for_ms: u64,
        /// Kind of call that was answered: `request`, `batch`, `free`, `stage` or `load`.
        path: String,
    },
    /// The Retry-After pause of a back end ended.
    RestEnded {
        /// Back end that may be used again.
        backend: String,
    },
    /// A back end announced in a response that it is shutting down.
    LeavingTold {
        /// Back end that shuts down.
        backend: String,
        /// Kind of call that was answered, as in `rest_began`.
        path: String,
    },
    /// The cluster-wide request rate limit of a back end changed, as known to this node.
    LimitChanged {
        /// Back end with the limit.
        backend: String,
        /// Previous limit in requests per second; absent if there was none.
        before: Option<f64>,
        /// New limit in requests per second; absent if the limit was removed.
        per_second: Option<f64>,
        /// Kind of call that was answered, as in `rest_began`; `peer` if another node sent the
        /// limit.
        path: String,
        /// Node that sent the limit; empty if the back end did.
        told_by: String,
    },
    /// The number of rejections per second that a back end bears, from all nodes together, changed.
    BrittlenessChanged {
        /// The back end.
        backend: String,
        /// Rejections per second above which it fails; absent if it bears any number.
        max_rejections_per_second: Option<u32>,
    },
    /// A back end sent a status header that this node can't parse; logged once per header name.
    UnknownHeader {
        /// First back end that sent the header.
        backend: String,
        /// Name of the header.
        name: String,
    },
    /// The set of invalid entries that were skipped in the back-end list changed; logged by the
    /// node that read the list.
    ListEntriesLeftOut {
        /// Reasons with the number of entries each; empty if all entries are valid again.
        reasons: Vec<String>,
    },
    /// Connections to a back end broke, and the node probed whether the back end has crashed.
    BrokeOff {
        /// Back end with the broken connections.
        backend: String,
        /// Service that it belongs to.
        service: String,
        /// `crash` if its machine refuses connections, `connection` if the back end accepts
        /// one, `unknown` if the probe timed out.
        cause: String,
        /// Milliseconds since the first connection broke.
        after_ms: u64,
        /// Identifiers of the affected requests.
        requests: Vec<String>,
        /// Fingerprints of the requests, as in their `admitted` events.
        fingerprints: Vec<String>,
        /// Milliseconds since the first byte of each request's answer; none where none had come.
        #[serde(default)]
        answered_for_ms: Vec<Option<u64>>,
    },
    /// A request was forwarded to a peer node, as this node does not reach the back ends.
    Forwarded {
        /// Request identifier sent by the caller.
        request: String,
        /// Peer node.
        to: String,
        /// Whether this node reaches no back end at all.
        is_cut_off: bool,
        /// Back ends that the request failed to reach before.
        unreached: u32,
        /// Milliseconds until the deadline.
        remaining_ms: u64,
    },
    /// A forwarded request got no answer that could be passed on.
    ForwardFailed {
        /// Request identifier sent by the caller.
        request: String,
        /// Peer node.
        to: String,
        /// Whether the request ran: `not_run` or `unknown`.
        outcome: String,
        /// Cause of the failure.
        reason: String,
        /// Time since it was forwarded, in milliseconds.
        took_ms: u64,
    },
    /// This node lost its links to all back ends, or reaches back ends again.
    BackendsReachable {
        /// Whether no back end is reachable.
        is_cut_off: bool,
        /// Back ends at which connections failed before; empty for a return.
        failed: Vec<String>,
    },
    /// A crash of a back end was committed to the replicated state; logged by the leader.
    CrashRecorded {
        /// Back end that crashed.
        backend: String,
        /// Fingerprints of the requests that the crash interrupted.
        fingerprints: Vec<String>,
        /// Nodes that reported the crash.
        told_by: Vec<String>,
    },
    /// A request was quarantined because it crashes back ends; logged by the leader.
    QuarantineBegun {
        /// Fingerprint of the request, as in its `admitted` events.
        fingerprint: String,
        /// Crashes attributed to the request, as `backend@milliseconds since 1970`.
        crashes: Vec<String>,
    },
    /// An attribute that requests share was quarantined because the back ends that answered such
    /// requests crashed; logged by the leader.
    AttributeQuarantineBegun {
        /// Service of the back ends.
        service: String,
        /// Attribute, as `prompt part` with its hash.
        attribute: String,
        /// Tenants whose requests are refused.
        tenants: String,
        /// Fingerprint under which the attribute is refused and can be released.
        fingerprint: String,
        /// Crashes attributed to it, as `backend@milliseconds since 1970`.
        crashes: Vec<String>,
        /// Nodes that reported these crashes.
        told_by: Vec<String>,
        /// Other attributes of the interrupted requests that answers cleared.
        cleared: Vec<String>,
    },
    /// A request was refused for an attribute that is quarantined.
    AttributeRefused {
        /// Request identifier sent by the caller.
        request: String,
        /// Service of the request.
        service: String,
        /// Attribute for which it was refused.
        attribute: String,
        /// Fingerprint under which the attribute is refused and can be released.
        fingerprint: String,
    },
    /// A request left the quarantine; logged by the leader.
    QuarantineEnded {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// A new quarantine list took effect on this node.
    QuarantineInForce {
        /// Revision of the list.
        revision: u64,
        /// Number of quarantined requests.
        refused: usize,
        /// Number of requests that one more crash would quarantine.
        watched: usize,
    },
    /// The rollout role of a service version changed, as known to this node.
    VersionRole {
        /// Service in rollout.
        service: String,
        /// Software version whose role changed.
        version: String,
        /// `ordinary`, `baseline`, `candidate`, `retired`, or `held_back` for a new version
        /// that no rollout order names yet.
        role: String,
    },
    /// A dependency became unavailable or available again.
    Dependency {
        /// Name of the dependency.
        name: String,
        /// Whether the dependency is available.
        works: bool,
        /// Error or condition that was observed.
        detail: String,
    },
    /// A traffic configuration took effect.
    TrafficInForce {
        /// Version of the configuration.
        version: u64,
        /// Previous version; 0 for none.
        before: u64,
    },
    /// An operator requested that a zone is evacuated or used again.
    EvacuationOrdered {
        /// Zone named in the request.
        zone: String,
        /// Whether the zone is to be evacuated.
        evacuated: bool,
        /// Revision of the evacuated zones known to this node; 0 for none.
        revision: u64,
        /// `committed`, or the reason of the failure.
        outcome: String,
    },
    /// A new set of evacuated zones took effect on this node.
    EvacuationsInForce {
        /// Revision of the set.
        revision: u64,
        /// Names of the evacuated zones.
        zones: Vec<String>,
        /// Number of listed back ends in these zones.
        backends: usize,
    },
    /// An operator requested a rollout or a rollback.
    RolloutOrdered {
        /// Service to roll out.
        service: String,
        /// Version that receives the traffic; empty for a rollback.
        target_version: String,
        /// Maximum duration of the rollout in milliseconds; 0 for a rollback.
        duration_ms: u64,
        /// Number of the service's latest rollout known to this node; 0 for none.
        seen: u64,
        /// `committed`, or the reason of the failure.
        outcome: String,
    },
    /// A new directive of a rollout was committed; logged by the leader.
    RolloutDirective {
        /// Number of the rollout.
        rollout: u64,
        /// Service in rollout.
        service: String,
        /// Sequence number of the directive.
        step: u32,
        /// Maximum share of each route's requests for the candidate, in thousandths.
        share_permille: u16,
        /// Routes with all of their requests on the candidate.
        moved_routes: Vec<String>,
        /// Number of responses from the candidate so far.
        candidate_answers: u64,
        /// Number of these responses that were bad.
        candidate_bad: u64,
        /// Number of responses from the baseline so far.
        baseline_answers: u64,
        /// Number of these responses that were bad.
        baseline_bad: u64,
        /// Milliseconds since the rollout was ordered.
        elapsed_ms: u64,
    },
    /// A rollout ended; logged by the leader.
    RolloutEnded {
        /// Number of the rollout.
        rollout: u64,
        /// Service in rollout.
        service: String,
        /// Version that was rolled out.
        target_version: String,
        /// `completed` or `rolled_back`.
        state: String,
        /// Cause of the end.
        reason: String,
        /// Route whose responses decided; empty for all routes together.
        route: String,
        /// Number of counted responses from the candidate.
        candidate_answers: u64,
        /// Number of these responses that were bad.
        candidate_bad: u64,
        /// Number of counted responses from the baseline.
        baseline_answers: u64,
        /// Number of these responses that were bad.
        baseline_bad: u64,
        /// Milliseconds since the rollout was ordered.
        elapsed_ms: u64,
    },
    /// A new set of rollouts or rollout states took effect on this node.
    RolloutsInForce {
        /// Revision of the set.
        revision: u64,
        /// Latest rollout of each service, as `service=state:version`.
        rollouts: Vec<String>,
    },
    /// The membership view changed.
    View {
        /// Version of the view, as `term.sequence`.
        version: String,
        /// Number of usable nodes.
        usable: usize,
        /// Nodes that became usable.
        joined: Vec<String>,
        /// Nodes that are no longer usable.
        left: Vec<String>,
    },
    /// The leader of a replication group changed, as known to this node.
    Leader {
        /// Replication group.
        group: String,
        /// Node that leads the group; empty for none.
        leader: String,
        /// Consensus term of the leader.
        term: u64,
    },
    /// The node that batches a service changed, as known to this node.
    BatchOwner {
        /// Service with its zone or region, if it is divided.
        service: String,
        /// Node that batches the service; empty for none.
        owner: String,
    },
    /// A log record of a component that has no event type of its own.
    Note {
        /// `error`, `warn`, `info` or `debug`.
        level: String,
        /// Event name of the record.
        name: String,
        /// Key-value pairs of the record, as `name=value`.
        inputs: Vec<String>,
        /// Text of the record.
        message: String,
    },
    /// Events were dropped because the log's queue or rate limit was exceeded.
    Dropped {
        /// Number of dropped request steps.
        steps: u64,
        /// Number of dropped request failures.
        failures: u64,
        /// Number of dropped state changes.
        beliefs: u64,
    },
}

/// Whether a response that ended so was complete.
pub(crate) fn is_whole(end: &str) -> bool {
    ["whole", "whole_by_close"].contains(&end)
}
