//! Numbered result codes, shown to callers and operators and written to logs.
//!
//! A test compares this table with `docs/RESULT_CODES.md`.

use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its complete response was produced.
    Completed,
    /// No stage ran, and none will run for this idempotency key.
    NotRun,
    /// A stage returned an error.
    Failed,
    /// A stage may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the label value used in metrics.
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
        /// A numbered result. 1xxx: settings and input files; 2xxx: rejected
        /// requests; 3xxx: requests that failed or whose outcome is unknown;
        /// 4xxx: operators' changes; 5xxx: the process and its storage.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)+
        }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)+];

            /// Returns the number shown in responses and logs.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)+ }
            }

            /// Returns a short machine-readable reason, used as a metric label.
            pub fn reason(self) -> &'static str {
                match self { $(ResultCode::$name => $reason,)+ }
            }

            /// Returns the HTTP status of responses with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)+ }
            }

            /// Returns whether a request with this code has run.
            pub fn outcome(self) -> Outcome {
                match self { $(ResultCode::$name => Outcome::$outcome,)+ }
            }
        }
    };
}

result_codes! {
    /// The complete response was produced.
    Completed = 1000, "completed", 200, Completed;
    /// A settings file can't be read or parsed.
    InvalidSettings = 1001, "invalid_settings", 400, NotRun;
    /// A name contains invalid characters or has an invalid length.
    InvalidName = 1002, "invalid_name", 400, NotRun;
    /// An address is not an IP address with a port.
    InvalidAddress = 1003, "invalid_address", 400, NotRun;
    /// A number is outside its valid range.
    ValueOutOfRange = 1004, "value_out_of_range", 400, NotRun;
    /// An object refers to another one that is not declared.
    UnknownReference = 1005, "unknown_reference", 400, NotRun;
    /// Two objects have the same name, which must be unique.
    DuplicateName = 1006, "duplicate_name", 400, NotRun;
    /// A required field is missing.
    MissingField = 1007, "missing_field", 400, NotRun;
    /// A selector's condition is malformed.
    InvalidSelector = 1008, "invalid_selector", 400, NotRun;

    /// The request's body is not valid JSON for this endpoint.
    MalformedRequest = 2001, "malformed_request", 400, NotRun;
    /// The request's body exceeds the size limit.
    BodyTooLarge = 2002, "body_too_large", 413, NotRun;
    /// The path or method does not exist.
    UnknownPath = 2003, "unknown_path", 404, NotRun;
    /// The named pipeline does not exist.
    UnknownPipeline = 2004, "unknown_pipeline", 404, NotRun;
    /// The named tenant does not exist.
    UnknownTenant = 2005, "unknown_tenant", 403, NotRun;
    /// The tenant has no access to the pipeline.
    TenantNotAllowed = 2006, "tenant_not_allowed", 403, NotRun;
    /// The deadline is zero, in the past or above the maximum.
    InvalidDeadline = 2007, "invalid_deadline", 400, NotRun;
    /// The request's body was not received before the timeout.
    SlowRequest = 2008, "slow_request", 408, NotRun;
    /// The idempotency key is malformed.
    InvalidIdempotencyKey = 2009, "invalid_idempotency_key", 400, NotRun;
    /// The idempotency key was used before for another request.
    IdempotencyConflict = 2010, "idempotency_conflict", 422, NotRun;

    /// The node can't confirm that its configuration is current.
    NotCurrent = 2101, "not_current", 503, NotRun;
    /// The node is shutting down.
    Stopping = 2102, "stopping", 503, NotRun;
    /// The estimated response time exceeds the deadline.
    DeadlineUnreachable = 2103, "deadline_unreachable", 503, NotRun;
    /// The deadline passed before any stage was sent to a back end.
    DeadlineExpired = 2104, "deadline_expired", 504, NotRun;
    /// The tenant has reached its limit of concurrent requests.
    TenantConcurrencyLimit = 2105, "tenant_concurrency_limit", 429, NotRun;
    /// The tenant has reached its limit of requests per second.
    TenantRateLimit = 2106, "tenant_rate_limit", 429, NotRun;
    /// The node has reached its limit of concurrent requests.
    TooManyRequests = 2107, "too_many_requests", 503, NotRun;
    /// No back end is available for a stage.
    NoBackend = 2108, "no_backend", 503, NotRun;
    /// The claim ledger is unavailable, and nothing was sent.
    LedgerUnavailable = 2109, "ledger_unavailable", 503, NotRun;
    /// The caller disconnected before any stage was sent.
    CallerGone = 2110, "caller_gone", 499, NotRun;
    /// All back ends rejected the call without running it.
    BackendRefused = 2111, "backend_refused", 503, NotRun;
    /// The retry budget is exhausted.
    RetryBudgetSpent = 2112, "retry_budget_spent", 503, NotRun;
    /// No back end is available in the regions that are allowed for the request.
    NoAllowedBackend = 2113, "no_allowed_backend", 503, NotRun;
    /// The request is quarantined because back ends crashed while they ran it.
    RequestQuarantined = 2114, "request_quarantined", 400, NotRun;
    /// All eligible back ends are in a Retry-After pause beyond the request's deadline.
    BackendsResting = 2115, "backends_resting", 503, NotRun;
    /// All eligible back ends are rate-limited, and no permit is available before the request's
    /// deadline.
    BackendsLimited = 2116, "backends_limited", 503, NotRun;
    /// The request takes up a stream, and it is not known at which software version that began.
    StreamOriginUnknown = 2117, "stream_origin_unknown", 503, NotRun;
    /// The request takes up a stream, and no back end of its service has the software version that
    /// began it any more.
    StreamVersionGone = 2118, "stream_version_gone", 503, NotRun;
    /// The request has an attribute, as a part of its prompt, that crashed the back ends which
    /// answered requests with it.
    AttributeQuarantined = 2119, "attribute_quarantined", 400, NotRun;
    /// Another node forwarded the request, and its callers have met a later configuration than this
    /// node has applied.
    OlderConfiguration = 2120, "older_configuration", 421, NotRun;

    /// No route matches the request's host and path.
    UnknownRoute = 2201, "unknown_route", 404, NotRun;
    /// The request's API key is missing, unknown or revoked.
    UnknownKey = 2202, "unknown_key", 401, NotRun;
    /// The request has no request identifier.
    MissingIdentifier = 2203, "missing_identifier", 400, NotRun;
    /// The process has not received a traffic configuration yet.
    NoTrafficConfiguration = 2204, "no_traffic_configuration", 503, NotRun;
    /// The queue of a phase is too long for the request's deadline.
    PhaseOverloaded = 2205, "phase_overloaded", 503, NotRun;
    /// A phase before the request failed.
    PhaseFailed = 2206, "phase_failed", 503, NotRun;
    /// The request's timeout expired before it was sent to an engine.
    TimeOverBeforeSend = 2207, "time_over_before_send", 503, NotRun;
    /// The request's headers exceed the size limit.
    HeadTooLarge = 2208, "head_too_large", 431, NotRun;

    /// A back end returned an error.
    BackendFailed = 3001, "backend_failed", 502, Failed;
    /// A back end's response violates its protocol or refers to another call.
    BackendProtocol = 3002, "backend_protocol", 502, Failed;
    /// A stream was interrupted, and no other engine could resume it with the same text.
    StreamBroken = 3003, "stream_broken", 502, Failed;
    /// The deadline passed during a repeatable stage.
    DeadlineMissed = 3004, "deadline_missed", 504, Failed;
    /// The request was abandoned between two stages; the earlier stages have run.
    Abandoned = 3005, "abandoned", 503, Failed;
    /// The response to a non-repeatable call was lost.
    AnswerLost = 3101, "answer_lost", 502, Unknown;
    /// The deadline passed while a non-repeatable call was in flight.
    DeadlineWhileSent = 3102, "deadline_while_sent", 504, Unknown;
    /// Another request with the same idempotency key is running and did not end in time.
    RunningElsewhere = 3103, "running_elsewhere", 504, Unknown;
    /// The idempotency key can't be fenced because the ledger is unavailable; this request did
    /// not run, but an earlier one with the same key may run.
    FenceUnavailable = 3104, "fence_unavailable", 503, Unknown;

    /// Another change was accepted on the same base revision.
    RevisionConflict = 4001, "revision_conflict", 409, NotRun;
    /// The configuration after the change is invalid.
    InvalidConfiguration = 4002, "invalid_configuration", 422, NotRun;
    /// No leader is known, or it did not respond; the change can be sent again with the same
    /// change identifier.
    NoLeader = 4003, "no_leader", 503, Unknown;
    /// The change identifier was used before for another change.
    ChangeIdReused = 4004, "change_id_reused", 409, NotRun;
    /// The operator's request has an invalid format.
    MalformedChange = 4005, "malformed_change", 400, NotRun;
    /// The named object does not exist.
    UnknownObject = 4006, "unknown_object", 404, NotRun;
    /// The requested data is only available on voters.
    NotAVoter = 4007, "not_a_voter", 404, NotRun;
    /// The named zone does not exist.
    UnknownZone = 4008, "unknown_zone", 404, NotRun;
    /// The request must not have a body.
    UnexpectedBody = 4009, "unexpected_body", 400, NotRun;
    /// A rollout of the service to another version is in progress.
    RolloutUnderway = 4010, "rollout_underway", 409, NotRun;
    /// The current traffic configuration does not have the service.
    UnknownService = 4011, "unknown_service", 404, NotRun;
    /// A rollout's duration is not a positive number or exceeds a day.
    InvalidDuration = 4012, "invalid_duration", 400, NotRun;
    /// The service has never had a rollout.
    NoRollout = 4013, "no_rollout", 404, NotRun;
    /// The rollout is complete and can't be rolled back; a new rollout is required.
    RolloutEnded = 4014, "rollout_ended", 409, NotRun;
    /// The request is not quarantined.
    NotQuarantined = 4015, "not_quarantined", 404, NotRun;
    /// A fingerprint does not consist of 32 hexadecimal digits.
    InvalidFingerprint = 4016, "invalid_fingerprint", 400, NotRun;

    /// The data folder is missing or not accessible.
    DataFolder = 5001, "data_folder", 500, Failed;
    /// A record before the end of the log is corrupt.
    StorageCorrupt = 5002, "storage_corrupt", 500, Failed;
    /// A write or sync to the data folder failed.
    StorageWrite = 5003, "storage_write", 500, Failed;
    /// An address can't be bound.
    AddressInUse = 5004, "address_in_use", 500, Failed;
    /// A peer's message can't be decoded or belongs to another cluster.
    PeerProtocol = 5005, "peer_protocol", 500, Failed;
    /// Another process has locked the data folder.
    DataFolderLocked = 5006, "data_folder_locked", 500, Failed;
}
