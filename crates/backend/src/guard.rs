//! What is asked before a call leaves for a back end, and what its answers say of it.

use crate::call::CallFailure;
use silversail_model::{AdvertisedRateLimit, RetryAfter};
use std::time::Duration;

/// Header by which a back end says in an answer that it leaves; its value is `1`.
const LEAVING: &str = "silversail-leaving";
/// Header by which a back end names how many requests a second it takes from all nodes together.
const LIMIT: &str = "silversail-limit";
const RETRY_AFTER: &str = "retry-after";
/// Statuses by which a back end turns a call away.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// What a back end says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendSelfReport {
    /// How long it wants nothing.
    pub rest: Option<Duration>,
    /// Whether it names a rest that can't be read.
    pub has_unreadable_rest: bool,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// How many requests it takes from all nodes together.
    pub limit: AdvertisedRateLimit,
}

/// Stands between calls and one back end.
pub trait CallGuard {
    /// Whether the back end takes calls, by its own word.
    fn accepts_calls(&self) -> bool;

    /// The back end said so in an answer.
    fn record_report(&self, report: &BackendSelfReport);
}

/// What came of a request that was sent.
pub(crate) enum Sent {
    /// It was answered with a success.
    Succeeded(ureq::Response),
    /// It was answered with another status.
    Refused(u16, ureq::Response),
    /// No answer came.
    Unanswered(Box<ureq::Transport>),
}

/// Sends a request, with a body where there is one, if the back end takes it, and hears what the
/// answer says.
pub(crate) fn send_guarded(
    guard: &dyn CallGuard,
    request: ureq::Request,
    body: Option<&[u8]>,
) -> Result<Sent, CallFailure> {
    if !guard.accepts_calls() {
        return Err(CallFailure::BackendUnavailable);
    }
    let answer = match body {
        Some(body) => request.send_bytes(body),
        None => request.call(),
    };
    let sent = match answer {
        Ok(response) => Sent::Succeeded(response),
        Err(ureq::Error::Status(status, response)) => Sent::Refused(status, response),
        Err(ureq::Error::Transport(error)) => Sent::Unanswered(Box::new(error)),
    };
    if let Sent::Succeeded(head) | Sent::Refused(_, head) = &sent {
        guard.record_report(&report_of(head));
    }
    Ok(sent)
}

fn report_of(head: &ureq::Response) -> BackendSelfReport {
    let rest = match TURNED_AWAY.contains(&head.status()) {
        true => RetryAfter::read(head.all(RETRY_AFTER)),
        false => RetryAfter::default(),
    };
    BackendSelfReport {
        rest: rest.longest,
        has_unreadable_rest: rest.is_unreadable,
        is_leaving: head.all(LEAVING).contains(&"1"),
        limit: AdvertisedRateLimit::read(head.all(LIMIT)),
    }
}
