//! The numbered result codes: one table for callers, operators and logs.
//!
//! `docs/RESULT_CODES.md` lists the same table; a test compares the two.

use serde::{Deserialize, Serialize};

/// What is known of a request's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was produced.
    Completed,
    /// No stage ran, and none will run under this key.
    NotRun,
    /// A stage answered with an error.
    Failed,
    /// A stage may or may not have run.
    Unknown,
}

impl Outcome {
    /// The label value used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not_run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $reason:literal, $status:literal, $outcome:ident;)+) => {
        /// A numbered result. 1xxx: settings and input files; 2xxx: refusals
        /// of requests; 3xxx: requests that failed or whose outcome is unknown;
        /// 4xxx: operators' changes; 5xxx: the process and its storage.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)+
        }

        impl ResultCode {
            /// Every code, by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)+];

            /// The number shown to people and machines.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)+ }
            }

            /// A short machine-readable reason, used as a metric label.
            pub fn reason(self) -> &'static str {
                match self { $(ResultCode::$name => $reason,)+ }
            }

            /// The HTTP status that carries the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)+ }
            }

            /// What the code says of the request's effect.
            pub fn outcome(self) -> Outcome {
                match self { $(ResultCode::$name => Outcome::$outcome,)+ }
            }
        }
    };
}

result_codes! {
    /// The whole answer was produced.
    Completed = 1000, "completed", 200, Completed;
    /// A settings file can't be read or parsed.
    InvalidSettings = 1001, "invalid_settings", 400, NotRun;
    /// A name holds characters that names may not hold.
    InvalidName = 1002, "invalid_name", 400, NotRun;
    /// An address is not an IP number and a port.
    InvalidAddress = 1003, "invalid_address", 400, NotRun;
    /// A number lies outside its range.
    ValueOutOfRange = 1004, "value_out_of_range", 400, NotRun;
    /// An object names another that is not declared.
    UnknownReference = 1005, "unknown_reference", 400, NotRun;
    /// Two objects share a name that must be unique.
    DuplicateName = 1006, "duplicate_name", 400, NotRun;
    /// A field that this object needs is absent.
    MissingField = 1007, "missing_field", 400, NotRun;
    /// A selector's condition is malformed.
    InvalidSelector = 1008, "invalid_selector", 400, NotRun;

    /// The request's body is not the JSON that the surface takes.
    MalformedRequest = 2001, "malformed_request", 400, NotRun;
    /// The request's body is larger than allowed.
    BodyTooLarge = 2002, "body_too_large", 413, NotRun;
    /// No such path or method.
    UnknownPath = 2003, "unknown_path", 404, NotRun;
    /// No such pipeline.
    UnknownPipeline = 2004, "unknown_pipeline", 404, NotRun;
    /// No such tenant.
    UnknownTenant = 2005, "unknown_tenant", 403, NotRun;
    /// The tenant may not use the pipeline.
    TenantNotAllowed = 2006, "tenant_not_allowed", 403, NotRun;
    /// The deadline is zero, already past or too far away.
    InvalidDeadline = 2007, "invalid_deadline", 400, NotRun;
    /// The caller's body came too slowly.
    SlowRequest = 2008, "slow_request", 408, NotRun;
    /// The idempotency key is malformed.
    InvalidIdempotencyKey = 2009, "invalid_idempotency_key", 400, NotRun;
    /// The key was used before with another request.
    IdempotencyConflict = 2010, "idempotency_conflict", 422, NotRun;

    /// The node can't confirm that its configuration is current.
    NotCurrent = 2101, "not_current", 503, NotRun;
    /// The node is stopping.
    Stopping = 2102, "stopping", 503, NotRun;
    /// The whole answer can't be expected within the deadline.
    DeadlineUnreachable = 2103, "deadline_unreachable", 503, NotRun;
    /// The deadline passed before any stage was sent.
    DeadlineExpired = 2104, "deadline_expired", 504, NotRun;
    /// The tenant's limit of concurrent requests is reached.
    TenantConcurrencyLimit = 2105, "tenant_concurrency_limit", 429, NotRun;
    /// The tenant's limit of requests a second is reached.
    TenantRateLimit = 2106, "tenant_rate_limit", 429, NotRun;
    /// The node has as many open requests as it takes.
    TooManyRequests = 2107, "too_many_requests", 503, NotRun;
    /// No back end may serve a stage.
    NoBackend = 2108, "no_backend", 503, NotRun;
    /// The claim ledger can't be reached, and nothing was sent.
    LedgerUnavailable = 2109, "ledger_unavailable", 503, NotRun;
    /// The caller went away before any stage was sent.
    CallerGone = 2110, "caller_gone", 499, NotRun;
    /// Every back end refused before running the call.
    BackendRefused = 2111, "backend_refused", 503, NotRun;
    /// The retry budget of the back ends is spent.
    RetryBudgetSpent = 2112, "retry_budget_spent", 503, NotRun;
    /// No back end in the regions that may serve the request can be used.
    NoAllowedBackend = 2113, "no_allowed_backend", 503, NotRun;
    /// Back ends crashed each time they ran this request: it is not sent to another.
    RequestQuarantined = 2114, "request_quarantined", 400, NotRun;
    /// All back ends that may have the request asked for rest and are not back in time.
    BackendsResting = 2115, "backends_resting", 503, NotRun;
    /// All back ends that may have the request take only so many from all nodes together, and it
    /// is not among them in time.
    BackendsLimited = 2116, "backends_limited", 503, NotRun;

    /// No route has the request's host and a prefix of its path.
    UnknownRoute = 2201, "unknown_route", 404, NotRun;
    /// The request's key is absent, unknown or taken away.
    UnknownKey = 2202, "unknown_key", 401, NotRun;
    /// The request has no identifier.
    MissingIdentifier = 2203, "missing_identifier", 400, NotRun;
    /// The process does not hold a traffic configuration yet.
    NoTrafficConfiguration = 2204, "no_traffic_configuration", 503, NotRun;
    /// More work waits before the request than can be done in time.
    PhaseOverloaded = 2205, "phase_overloaded", 503, NotRun;
    /// A phase before the request could not be done.
    PhaseFailed = 2206, "phase_failed", 503, NotRun;
    /// The time was over before the request was sent to an engine.
    TimeOverBeforeSend = 2207, "time_over_before_send", 503, NotRun;
    /// The request's head is larger than allowed.
    HeadTooLarge = 2208, "head_too_large", 431, NotRun;

    /// A back end answered with an error.
    BackendFailed = 3001, "backend_failed", 502, Failed;
    /// A back end's answer is not in its protocol, or names another call.
    BackendProtocol = 3002, "backend_protocol", 502, Failed;
    /// A stream broke and no other engine gave the same text.
    StreamBroken = 3003, "stream_broken", 502, Failed;
    /// The deadline passed during a repeatable stage.
    DeadlineMissed = 3004, "deadline_missed", 504, Failed;
    /// The request was given up between stages; earlier ones had run.
    Abandoned = 3005, "abandoned", 503, Failed;
    /// A call that may not be repeated was sent and its answer was lost.
    AnswerLost = 3101, "answer_lost", 502, Unknown;
    /// The deadline passed while a call that may not be repeated was out.
    DeadlineWhileSent = 3102, "deadline_while_sent", 504, Unknown;
    /// Another copy of the key is running and did not end in time.
    RunningElsewhere = 3103, "running_elsewhere", 504, Unknown;
    /// The key can't be fenced, as the ledger can't be reached; this copy did
    /// not run, but an older copy may.
    FenceUnavailable = 3104, "fence_unavailable", 503, Unknown;

    /// Another change was accepted on the same base revision.
    RevisionConflict = 4001, "revision_conflict", 409, NotRun;
    /// The change does not validate.
    InvalidConfiguration = 4002, "invalid_configuration", 422, NotRun;
    /// No leader is known, or it did not answer; resend with the same change
    /// identifier.
    NoLeader = 4003, "no_leader", 503, Unknown;
    /// The change identifier was used before for another change.
    ChangeIdReused = 4004, "change_id_reused", 409, NotRun;
    /// The operators' request is not in its format.
    MalformedChange = 4005, "malformed_change", 400, NotRun;
    /// No such object.
    UnknownObject = 4006, "unknown_object", 404, NotRun;
    /// Only voters keep what is asked for.
    NotAVoter = 4007, "not_a_voter", 404, NotRun;
    /// No such zone.
    UnknownZone = 4008, "unknown_zone", 404, NotRun;
    /// The call takes no body.
    UnexpectedBody = 4009, "unexpected_body", 400, NotRun;
    /// A rollout of the service to another version is under way.
    RolloutUnderway = 4010, "rollout_underway", 409, NotRun;
    /// The traffic configuration in force has no such service.
    UnknownService = 4011, "unknown_service", 404, NotRun;
    /// A rollout's duration is 0, negative, no number or longer than a day.
    InvalidDuration = 4012, "invalid_duration", 400, NotRun;
    /// The service never had a rollout.
    NoRollout = 4013, "no_rollout", 404, NotRun;
    /// The rollout is complete and can't be taken back; order another one.
    RolloutEnded = 4014, "rollout_ended", 409, NotRun;
    /// The request is not refused for crashing back ends.
    NotQuarantined = 4015, "not_quarantined", 404, NotRun;
    /// A fingerprint is not 32 hexadecimal digits.
    InvalidFingerprint = 4016, "invalid_fingerprint", 400, NotRun;

    /// The data folder can't be used.
    DataFolder = 5001, "data_folder", 500, Failed;
    /// A stored record is damaged before the end of the log.
    StorageCorrupt = 5002, "storage_corrupt", 500, Failed;
    /// A write or sync to the data folder failed.
    StorageWrite = 5003, "storage_write", 500, Failed;
    /// An address can't be bound.
    AddressInUse = 5004, "address_in_use", 500, Failed;
    /// A peer's message can't be decoded or is of another cluster.
    PeerProtocol = 5005, "peer_protocol", 500, Failed;
    /// Another process holds the data folder.
    DataFolderLocked = 5006, "data_folder_locked", 500, Failed;
}
