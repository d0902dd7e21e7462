//! The events, one variant for each kind of decision.

use serde::{Deserialize, Serialize};

/// One decision with the inputs that decided it. Ages are in milliseconds. Keys,
/// prompts and answers never stand in an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process started.
    Started {
        /// Version of the program.
        version: String,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The process was told to stop, or goes one step further.
    Stopping {
        /// The step.
        step: String,
    },
    /// The settings were read again.
    Reloaded {
        /// What changed.
        change: String,
    },
    /// A request was taken in and its way decided.
    Admitted {
        /// The caller's identifier.
        request: String,
        /// The route.
        route: String,
        /// The service.
        service: String,
        /// Version of the traffic configuration.
        version: u64,
        /// Milliseconds until the request's end.
        remaining_ms: u64,
        /// Phases that come first.
        phases: usize,
        /// What the request asks for and whose it is, as a digest; the same for attempts that
        /// are the same request come again.
        #[serde(default)]
        fingerprint: String,
    },
    /// A request was refused or given up.
    Refused {
        /// The caller's identifier.
        request: String,
        /// HTTP status.
        status: u16,
        /// Numbered code.
        code: u16,
        /// Its reason.
        reason: String,
        /// Version of the traffic configuration; 0 for none.
        version: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Sends to engines before.
        sends: u32,
        /// When the caller is told to come back.
        retry_after_ms: u64,
    },
    /// A phase's pieces were handed to the node that batches its service.
    PhaseSubmitted {
        /// The caller's identifier.
        request: String,
        /// Number of the phase.
        phase: u32,
        /// The service.
        service: String,
        /// How many pieces.
        pieces: usize,
        /// The batching node.
        owner: String,
        /// Milliseconds until the request's end.
        remaining_ms: u64,
        /// How far the back ends are: `same_zone`, `same_region` or `other_region`; empty where
        /// they are those of all zones.
        distance: String,
    },
    /// A phase ended.
    PhaseDone {
        /// The caller's identifier.
        request: String,
        /// Number of the phase.
        phase: u32,
        /// `made`, or why not.
        outcome: String,
        /// How long it took.
        took_ms: u64,
    },
    /// A batch was sent to a back end.
    BatchSent {
        /// The back end.
        backend: String,
        /// The service.
        service: String,
        /// Pieces in the call.
        pieces: usize,
        /// Pieces that go on waiting.
        waiting: usize,
        /// Room taken at the back end, in bytes.
        room_taken: u64,
        /// The requests of the pieces.
        requests: Vec<String>,
    },
    /// A batch ended.
    BatchEnded {
        /// The back end.
        backend: String,
        /// `made`, or why not: `not_run`, `unreachable`, `unknown`, or how many pieces failed by reason.
        outcome: String,
        /// How long it took.
        took_ms: u64,
    },
    /// A request was sent to an engine.
    Sent {
        /// The caller's identifier.
        request: String,
        /// The back end.
        backend: String,
        /// Version of its software; empty where the list does not tell.
        version: String,
        /// Which send of this request.
        send: u32,
        /// Requests that this node has under way there.
        in_flight: u32,
        /// Requests that the back end last told of, running and waiting.
        reported: u32,
        /// Age of that report; none where there is none.
        report_age_ms: Option<u64>,
        /// Milliseconds until the request's end.
        remaining_ms: u64,
        /// How far the back end is: `same_zone`, `same_region` or `other_region`.
        distance: String,
    },
    /// A request waits, as all engines that may have it rest, or have limits and this node no
    /// permit.
    WaitsForRest {
        /// The caller's identifier.
        request: String,
        /// The service.
        service: String,
        /// Milliseconds until the first of them is back.
        for_ms: u64,
    },
    /// A send ended without an answer for the caller.
    SendFailed {
        /// The caller's identifier.
        request: String,
        /// The back end.
        backend: String,
        /// What is known: `not_run` or `unknown`.
        outcome: String,
        /// Why.
        reason: String,
        /// How long it took.
        took_ms: u64,
        /// What comes next: `retry` or `give_up`.
        next: String,
        /// What decided it.
        why: String,
    },
    /// The answer reached the caller.
    Answered {
        /// The caller's identifier.
        request: String,
        /// The back end.
        backend: String,
        /// HTTP status.
        status: u16,
        /// Milliseconds from arrival to the answer's head.
        head_ms: u64,
        /// Milliseconds from arrival to the end.
        total_ms: u64,
        /// `whole`, or what broke it off.
        end: String,
    },
    /// The caller left.
    CallerGone {
        /// The caller's identifier.
        request: String,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Sends to engines before.
        sends: u32,
    },
    /// A back end appeared, changed state or went.
    Backend {
        /// The back end.
        backend: String,
        /// Its service.
        service: String,
        /// `ready`, `cold`, `draining`, `gone`, `suspect`, `full`, `slow` or `trusted`.
        state: String,
        /// What it was learnt from.
        source: String,
        /// Version of its software; empty where the list does not tell.
        version: String,
    },
    /// A list changed so many back ends that they are told by number.
    BackendsListed {
        /// Their service.
        service: String,
        /// `ready`, `cold`, `draining` or `gone`.
        state: String,
        /// How many came to that state.
        backends: usize,
    },
    /// A back end that turned a request away asked this node to send nothing for a while.
    RestBegan {
        /// The back end.
        backend: String,
        /// For how long.
        for_ms: u64,
        /// What was answered: `request`, `batch`, `free`, `stage` or `load`.
        path: String,
    },
    /// A back end's rest is over.
    RestEnded {
        /// The back end.
        backend: String,
    },
    /// A back end said in an answer that it leaves.
    LeavingTold {
        /// The back end.
        backend: String,
        /// What was answered, as in `rest_began`.
        path: String,
    },
    /// How many requests a second a back end takes from all nodes together is another than
    /// before, by what this node knows.
    LimitChanged {
        /// The back end.
        backend: String,
        /// Requests a second before; none where it had no limit.
        before: Option<f64>,
        /// Requests a second from now on; none where it has no limit any more.
        per_second: Option<f64>,
        /// What was answered, as in `rest_began`; `peer` where another node told.
        path: String,
        /// The node that told so; empty where the back end did.
        told_by: String,
    },
    /// A back end says something of itself that this node can't read; told once for each name.
    UnknownHeader {
        /// The back end that said it first.
        backend: String,
        /// Name of the header.
        name: String,
    },
    /// Other entries of the list of back ends than before name none; told by the node that read it.
    ListEntriesLeftOut {
        /// Why, each with how many; none where all name one again.
        reasons: Vec<String>,
    },
    /// Connections to a back end broke off, and it was asked whether it has ended.
    BrokeOff {
        /// The back end.
        backend: String,
        /// Its service.
        service: String,
        /// `crash` where its machine refuses connections, `connection` where the back end
        /// accepts one, `unknown` where nothing came.
        cause: String,
        /// Milliseconds since the first of them broke off.
        after_ms: u64,
        /// The requests.
        requests: Vec<String>,
        /// What each of them is, as in their `admitted` lines.
        fingerprints: Vec<String>,
    },
    /// A crash of a back end was committed; told by the leader.
    CrashRecorded {
        /// The back end.
        backend: String,
        /// What the requests are that broke off there.
        fingerprints: Vec<String>,
        /// The nodes that told of it.
        told_by: Vec<String>,
    },
    /// A request is refused from now on as it crashes back ends; told by the leader.
    QuarantineBegun {
        /// What it is, as in its `admitted` lines.
        fingerprint: String,
        /// The crashes that decided it, as `backend@milliseconds since 1970`.
        crashes: Vec<String>,
    },
    /// A request is refused no more; told by the leader.
    QuarantineEnded {
        /// What it is.
        fingerprint: String,
    },
    /// Other requests are refused on this node.
    QuarantineInForce {
        /// Revision of the list.
        revision: u64,
        /// How many are refused.
        refused: usize,
        /// How many one crash more would have refused.
        watched: usize,
    },
    /// A version of a service has another part in its rollout, as this node knows it.
    VersionRole {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// `ordinary`, `baseline`, `candidate`, `retired`, or `held_back` while no order names a new one.
        role: String,
    },
    /// A dependency was lost or came back.
    Dependency {
        /// Its name.
        name: String,
        /// Whether it works.
        works: bool,
        /// What was seen.
        detail: String,
    },
    /// A traffic configuration came into force.
    TrafficInForce {
        /// Its version.
        version: u64,
        /// The one before; 0 for none.
        before: u64,
    },
    /// An operator ordered a zone to be evacuated, or to be used again.
    EvacuationOrdered {
        /// The zone.
        zone: String,
        /// Whether it is to be evacuated.
        evacuated: bool,
        /// Revision of the evacuated zones that this node held; 0 for none.
        revision: u64,
        /// `committed`, or why not.
        outcome: String,
    },
    /// Other zones are evacuated on this node.
    EvacuationsInForce {
        /// Their revision.
        revision: u64,
        /// The evacuated zones.
        zones: Vec<String>,
        /// Back ends of those zones that the list names.
        backends: usize,
    },
    /// An operator ordered a rollout, or that one be taken back.
    RolloutOrdered {
        /// The service.
        service: String,
        /// Version that its traffic is to move to; empty where a rollout is taken back.
        target_version: String,
        /// Time within which it is to end; 0 where a rollout is taken back.
        duration_ms: u64,
        /// Number of the service's latest rollout that this node knew; 0 for none.
        seen: u64,
        /// `committed`, or why not.
        outcome: String,
    },
    /// Another directive of a rollout was committed; told by the leader.
    RolloutDirective {
        /// Number of the rollout.
        rollout: u64,
        /// The service.
        service: String,
        /// Counts the directives.
        step: u32,
        /// Share of each route's requests that may go to the candidate, in thousandths.
        share_permille: u16,
        /// Routes whose requests all go to the candidate.
        moved_routes: Vec<String>,
        /// Answers of the candidate so far.
        candidate_answers: u64,
        /// How many of them were bad.
        candidate_bad: u64,
        /// Answers of the baseline so far.
        baseline_answers: u64,
        /// How many of them were bad.
        baseline_bad: u64,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// A rollout ended; told by the leader.
    RolloutEnded {
        /// Number of the rollout.
        rollout: u64,
        /// The service.
        service: String,
        /// Version that was ordered.
        target_version: String,
        /// `completed` or `rolled_back`.
        state: String,
        /// Why.
        reason: String,
        /// Route that decided; empty for all together.
        route: String,
        /// Answers of the candidate that were counted.
        candidate_answers: u64,
        /// How many of them were bad.
        candidate_bad: u64,
        /// Answers of the baseline that were counted.
        baseline_answers: u64,
        /// How many of them were bad.
        baseline_bad: u64,
        /// Milliseconds since the order.
        elapsed_ms: u64,
    },
    /// Other rollouts, or another state of one, are in force on this node.
    RolloutsInForce {
        /// Their revision.
        revision: u64,
        /// Each latest rollout, as `service=state:version`.
        rollouts: Vec<String>,
    },
    /// The view of live nodes changed.
    View {
        /// Its version, as `term.sequence`.
        version: String,
        /// How many nodes are usable.
        usable: usize,
        /// Nodes that became usable.
        joined: Vec<String>,
        /// Nodes that are usable no more.
        left: Vec<String>,
    },
    /// The leader of a group changed, as this node knows it.
    Leader {
        /// The group.
        group: String,
        /// Its leader; empty for none.
        leader: String,
        /// The term.
        term: u64,
    },
    /// The batching node of a service changed, as this node sees it.
    BatchOwner {
        /// The service.
        service: String,
        /// The node; empty for none.
        owner: String,
    },
    /// Something else that a component tells.
    Note {
        /// `error`, `warn`, `info` or `debug`.
        level: String,
        /// What happened, as a name.
        name: String,
        /// Its inputs, as `name=value`.
        inputs: Vec<String>,
        /// In words.
        message: String,
    },
    /// Lines were dropped, as more came than the log takes.
    Dropped {
        /// Steps of requests.
        steps: u64,
        /// Failures.
        failures: u64,
        /// Beliefs.
        beliefs: u64,
    },
}
