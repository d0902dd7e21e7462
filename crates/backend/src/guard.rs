//! Checks before a call is sent to a back end, and the state that a back end advertises in answers.

use crate::call::CallFailure;
use silversail_model::{AdvertisedRateLimit, RetryAfter};
use std::time::Duration;

/// Header with the value `1` in answers of a back end that is draining.
const DRAINING: &str = "silversail-leaving";
/// Header with a back end's rate limit for all nodes together, in requests per second.
const LIMIT: &str = "silversail-limit";
const RETRY_AFTER: &str = "retry-after";
/// Statuses with which a back end rejects a call and may advertise a back-off period.
const REJECTING_STATUSES: [u16; 2] = [429, 503];

/// State that a back end advertises in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendSelfReport {
    /// Requested back-off period; the longest if it advertises several.
    pub rest: Option<Duration>,
    /// Whether a back-off period was advertised that cannot be parsed.
    pub has_unreadable_rest: bool,
    /// Whether it is draining and accepts no new calls.
    pub is_leaving: bool,
    /// Rate limit for all nodes together.
    pub limit: AdvertisedRateLimit,
}

/// Availability check for the calls to one back end.
pub trait CallGuard {
    /// Returns whether the back end accepts calls according to the state that it advertised.
    fn accepts_calls(&self) -> bool;

    /// Records the state that the back end advertised in an answer.
    fn record_report(&self, report: &BackendSelfReport);
}

/// Result of a request that was sent.
pub(crate) enum SendResult {
    /// The back end answered with a success status.
    Succeeded(ureq::Response),
    /// The back end answered with another status, which is attached.
    ErrorStatus(u16, ureq::Response),
    /// No answer arrived.
    NoAnswer(Box<ureq::Transport>),
}

/// Sends a request if the back end accepts calls, and records the state that the answer advertises.
pub(crate) fn send_guarded(
    guard: &dyn CallGuard,
    request: ureq::Request,
    body: Option<&[u8]>,
) -> Result<SendResult, CallFailure> {
    if !guard.accepts_calls() {
        return Err(CallFailure::BackendUnavailable);
    }
    let response = match body {
        Some(body) => request.send_bytes(body),
        None => request.call(),
    };
    let result = match response {
        Ok(response) => SendResult::Succeeded(response),
        Err(ureq::Error::Status(status, response)) => SendResult::ErrorStatus(status, response),
        Err(ureq::Error::Transport(error)) => SendResult::NoAnswer(Box::new(error)),
    };
    if let SendResult::Succeeded(head) | SendResult::ErrorStatus(_, head) = &result {
        guard.record_report(&parse_report(head));
    }
    Ok(result)
}

fn parse_report(head: &ureq::Response) -> BackendSelfReport {
    let retry_after = match REJECTING_STATUSES.contains(&head.status()) {
        true => RetryAfter::read(head.all(RETRY_AFTER)),
        false => RetryAfter::default(),
    };
    BackendSelfReport {
        rest: retry_after.longest,
        has_unreadable_rest: retry_after.is_unreadable,
        is_leaving: head.all(DRAINING).contains(&"1"),
        limit: AdvertisedRateLimit::read(head.all(LIMIT)),
    }
}
