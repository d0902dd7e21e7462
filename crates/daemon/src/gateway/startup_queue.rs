//! Queue of requests that arrive before the process has its first traffic configuration. After a
//! start the configuration arrives within a few heartbeats if other nodes have it.

use silversail_consensus::Millis;
use silversail_serving::dispatcher::RequestNumber;
use silversail_serving::ports::CallAttributes;

/// Maximum wait of a request, in milliseconds. The objective of its route is not known yet.
const MAX_WAIT: Millis = 200;
/// Time after the start in which requests are queued, in milliseconds. Later they are rejected at
/// once.
const QUEUEING_PERIOD: Millis = 2_000;
/// Maximum number of queued requests.
const MAX_REQUESTS: usize = 256;

/// A queued request.
pub struct QueuedRequest {
    /// Number of the request in this process.
    pub number: RequestNumber,
    /// Attributes used for routing.
    pub call: CallAttributes,
    /// Arrival time, in milliseconds of the process clock.
    pub arrived_at: Millis,
}

/// Queued requests in order of arrival.
#[derive(Default)]
pub struct StartupQueue {
    requests: Vec<QueuedRequest>,
}

impl StartupQueue {
    /// Whether another request may be queued `uptime` milliseconds after the start.
    pub fn may_wait(&self, uptime: Millis) -> bool {
        uptime < QUEUEING_PERIOD && self.requests.len() < MAX_REQUESTS
    }

    /// Appends a request to the queue.
    pub fn add(&mut self, request: QueuedRequest) {
        self.requests.push(request);
    }

    /// Removes a request whose caller disconnected.
    pub fn remove(&mut self, number: RequestNumber) {
        self.requests.retain(|request| request.number != number);
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes all requests once there is a configuration, otherwise those whose wait has expired.
    pub fn take_due(&mut self, has_configuration: bool, now: Millis) -> Vec<QueuedRequest> {
        let has_expired =
            |request: &QueuedRequest| now.saturating_sub(request.arrived_at) >= MAX_WAIT;
        let (due, waiting) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| has_configuration || has_expired(request));
        self.requests = waiting;
        due
    }
}
