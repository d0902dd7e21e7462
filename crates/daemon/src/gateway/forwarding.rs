//! Forwarding of callers' requests to peer nodes, over the peers' addresses for callers.
//!
//! A forwarded request carries the caller's own key and is treated as the caller's, so that no
//! privilege depends on the header that marks it: a caller that sets it only forgoes forwarding.

use crate::clock;
use crate::gateway::calls::CONNECT_TIMEOUT;
use crate::gateway::exchange::{Exchange, ExchangeError, ExchangeRole, OwnAnswer};
use crate::gateway::received_request::ReceivedRequest;
use crate::gateway::request_sender::{
    until_deadline, with_headers, FailedSend, ReceivedAnswer, RequestSender, SendResult,
    StreamCallbacks, NOT_RUN_STATUSES,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use silversail_serving::dispatcher::{NotRunReason, SendOutcome, UnknownReason};
use silversail_serving::end_to_end::EndToEndHeaders;
use silversail_serving::forwarding::{ForwardPlan, ReceivedForward};

/// Marks a request that another node forwarded; its value is the number of attempts that may have
/// run before. Never sent to back ends.
pub const FORWARDED: HeaderName = HeaderName::from_static("silversail-forwarded");

/// Version of the configuration that the peer of a forwarded request must have applied. Never sent to
/// back ends.
pub const MIN_CONFIGURATION: HeaderName = HeaderName::from_static("silversail-min-configuration");

/// Whether a header is one of those by which nodes forward requests to each other.
pub(super) fn is_forwarding_header(name: &HeaderName) -> bool {
    [FORWARDED, MIN_CONFIGURATION].contains(name)
}

/// Maximum number of earlier attempts that a request can carry, far enough below the end of the type
/// that sends can be added.
const MAX_EARLIER_ATTEMPTS: u32 = 1 << 16;

/// Reads what the node that forwarded a request tells; `None` if it was not forwarded. A malformed
/// number of earlier attempts counts as 1, one above [`MAX_EARLIER_ATTEMPTS`] as that; a malformed
/// version as none.
pub fn read_forward(headers: &EndToEndHeaders) -> Option<ReceivedForward> {
    let text = |name: &HeaderName| headers.as_map().get(name)?.to_str().ok();
    if !headers.as_map().contains_key(FORWARDED) {
        return None;
    }
    let attempts = text(&FORWARDED).and_then(|text| text.parse().ok());
    let min_version = text(&MIN_CONFIGURATION).and_then(|text| text.parse().ok());
    Some(ReceivedForward {
        earlier_attempts: attempts.unwrap_or(1).min(MAX_EARLIER_ATTEMPTS),
        min_version: min_version.unwrap_or(0),
    })
}

/// Statuses by which a node rejects requests without a route, with an unknown key, or because its
/// configuration is older than the forwarding node's.
const UNKNOWN_STATUSES: [u16; 4] = [401, 403, 404, 421];

impl RequestSender {
    /// Forwards the request `id` to the peer of `plan`, until the plan's deadline. The callbacks
    /// are used for streamed answers only.
    pub async fn forward(
        &self,
        request: &ReceivedRequest,
        id: &str,
        plan: &ForwardPlan,
        callbacks: StreamCallbacks,
    ) -> SendResult {
        let deadline = clock::to_monotonic(self.clock.instant(plan.end));
        let forwarding = async {
            let own = self.forward_until_head(request, id, plan).await?;
            let status = own.head.status;
            let is_success = (200..300).contains(&status);
            if is_success && !own.head.is_signed {
                return Err(SendOutcome::Unknown(UnknownReason::Garbled).into());
            }
            // The peer's word holds for what it did itself only, and it may not have applied the
            // configuration by which this node accepted the request yet.
            let is_own_refusal = plan.earlier_attempts > 0 && NOT_RUN_STATUSES.contains(&status);
            let is_unknown_there = UNKNOWN_STATUSES.contains(&status) && !own.head.is_signed;
            if is_own_refusal || is_unknown_there {
                own.reuse_after_refusal().await;
                return Err(SendOutcome::NotRun(NotRunReason::Refused).into());
            }
            let answer = ReceivedAnswer::new(own)?;
            self.pass_on(answer, plan.is_stream, callbacks, deadline)
                .await
        };
        until_deadline(forwarding, deadline).await
    }

    /// Connects to the peer, sends the request and waits for the head of the answer.
    async fn forward_until_head(
        &self,
        request: &ReceivedRequest,
        id: &str,
        plan: &ForwardPlan,
    ) -> Result<OwnAnswer, FailedSend> {
        let exchange = Exchange {
            id,
            target: plan.node.as_str(),
            role: ExchangeRole::Forward,
        };
        if let Some(connection) = self.pool.take_idle(&plan.address, id) {
            let outgoing = self.forwarded_request(request, plan);
            match self.exchanges.send(&exchange, connection, outgoing).await {
                // The peer had closed the idle connection before the request was sent.
                Err(ExchangeError::NotSent(_)) => {}
                exchanged => return Ok(exchanged?),
            }
        }
        let unreachable = || FailedSend::from(SendOutcome::NotRun(NotRunReason::Unreachable));
        let connecting = self.pool.connect(&plan.address, CONNECT_TIMEOUT);
        let connection = connecting.await.map_err(|_| unreachable())?;
        let outgoing = self.forwarded_request(request, plan);
        Ok(self.exchanges.send(&exchange, connection, outgoing).await?)
    }

    fn forwarded_request(
        &self,
        request: &ReceivedRequest,
        plan: &ForwardPlan,
    ) -> Request<Full<Bytes>> {
        let remaining_ms = self.time_left(plan.end).as_millis() as u64;
        let protocol = &self.protocols.requests;
        let mut headers = protocol.forward_headers(&request.head.headers, remaining_ms);
        headers.insert(FORWARDED, HeaderValue::from(plan.earlier_attempts));
        headers.insert(MIN_CONFIGURATION, HeaderValue::from(plan.min_version));
        with_headers(request, headers)
    }
}
