//! Requests that arrive before this process has a traffic configuration: after its start
//! they wait a little for it, as it comes within a few heartbeats when others have it.

use silversail_consensus::Millis;
use silversail_serving::dispatcher::RequestNumber;
use silversail_serving::ports::CallAttributes;

/// How long a request waits, in milliseconds: a fifth of an objective of 1 s, as that of
/// its route is not known yet.
const WAITS_FOR: Millis = 200;
/// How long after its start a process expects to serve soon, in milliseconds; later it
/// refuses at once.
const AFTER_START: Millis = 2_000;
/// Most requests that wait.
const MOST: usize = 256;

/// A request that waits.
pub struct EarlyRequest {
    /// Its number.
    pub number: RequestNumber,
    /// What routing needs to know.
    pub call: CallAttributes,
    /// When it arrived.
    pub since: Millis,
}

/// The requests that wait, the first come first.
#[derive(Default)]
pub struct EarlyRequests {
    requests: Vec<EarlyRequest>,
}

impl EarlyRequests {
    /// Whether another may wait at `uptime` milliseconds after the start.
    pub fn may_wait(&self, uptime: Millis) -> bool {
        uptime < AFTER_START && self.requests.len() < MOST
    }

    /// Lets a request wait.
    pub fn add(&mut self, request: EarlyRequest) {
        self.requests.push(request);
    }

    /// Forgets a request whose caller left.
    pub fn remove(&mut self, number: RequestNumber) {
        self.requests.retain(|request| request.number != number);
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes all where the configuration has come, else those that waited long enough.
    pub fn take_due(&mut self, has_configuration: bool, now: Millis) -> Vec<EarlyRequest> {
        let is_over = |one: &EarlyRequest| now.saturating_sub(one.since) >= WAITS_FOR;
        let (due, waiting) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|one| has_configuration || is_over(one));
        self.requests = waiting;
        due
    }
}
