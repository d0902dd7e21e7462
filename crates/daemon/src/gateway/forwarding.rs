//! Forwarding of callers' requests to peer nodes, over the peers' addresses for callers.
//!
//! A forwarded request carries the caller's own key and is treated as the caller's, so that no
//! privilege depends on the header that marks it: a caller that sets it only forgoes forwarding.

use crate::clock;
use crate::gateway::answer_monitor::Exchange;
use crate::gateway::calls::CONNECT_TIMEOUT;
use crate::gateway::request_sender::{
    is_long, reuse_after_refusal, until_deadline, with_headers, FailedSend, ReceivedAnswer,
    RequestSender, SendResult, StreamCallbacks, NOT_RUN_STATUSES,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use silversail_http::{Connection, IncomingRequest, SendError};
use silversail_serving::dispatcher::{NotRunReason, SendOutcome, UnknownReason};
use silversail_serving::forwarding::ForwardPlan;

/// Marks a request that another node forwarded; its value is the number of attempts that may have
/// run before. Never sent to back ends.
pub const FORWARDED: HeaderName = HeaderName::from_static("silversail-forwarded");

/// Number of earlier attempts that a forwarded request carries; `None` if it was not forwarded. A
/// malformed number counts as 1.
pub fn earlier_attempts(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(FORWARDED)?;
    let attempts = value.to_str().ok().and_then(|value| value.parse().ok());
    Some(attempts.unwrap_or(1))
}

/// Statuses by which a node rejects requests without a route or with an unknown key.
const UNKNOWN_STATUSES: [u16; 3] = [401, 403, 404];

impl RequestSender {
    /// Forwards the request `id` to the peer of `plan`, until the plan's deadline. The callbacks
    /// are used for streamed answers only.
    pub async fn forward(
        &self,
        request: &IncomingRequest,
        id: &str,
        plan: &ForwardPlan,
        callbacks: StreamCallbacks,
    ) -> SendResult {
        let deadline = clock::to_monotonic(self.clock.instant(plan.end));
        let forwarding = async {
            let (mut connection, response) = self.forward_until_head(request, id, plan).await?;
            connection.apply_keep_alive(response.headers());
            let status = response.status().as_u16();
            let protocol = &self.protocols.requests;
            let head = protocol.read_answer(status, response.headers(), id);
            let exchange = Exchange {
                id,
                backend: plan.node.as_str(),
                path: "forward",
            };
            self.answer_monitor
                .record(&exchange, &connection, status, &head);
            let is_success = (200..300).contains(&status);
            if !head.matches_request || (is_success && !head.is_signed) {
                return Err(SendOutcome::Unknown(UnknownReason::Garbled).into());
            }
            // The peer's word holds for what it did itself only, and it may not have applied the
            // configuration by which this node accepted the request yet.
            let is_own_refusal = plan.earlier_attempts > 0 && NOT_RUN_STATUSES.contains(&status);
            let is_unknown_there = UNKNOWN_STATUSES.contains(&status) && !head.is_signed;
            if is_own_refusal || is_unknown_there {
                reuse_after_refusal(connection, response.into_body()).await;
                return Err(SendOutcome::NotRun(NotRunReason::Refused).into());
            }
            let is_streamed = plan.is_stream || is_long(response.headers());
            let answer = ReceivedAnswer::new(response, connection, head, false)?;
            match is_streamed {
                true => Ok(answer.stream(callbacks, deadline)),
                false => answer.buffer().await,
            }
        };
        until_deadline(forwarding, deadline).await
    }

    /// Connects to the peer, sends the request and waits for the head of the answer.
    async fn forward_until_head(
        &self,
        request: &IncomingRequest,
        id: &str,
        plan: &ForwardPlan,
    ) -> Result<(Connection, Response<Incoming>), FailedSend> {
        if let Some(mut connection) = self.pool.take_idle(&plan.address) {
            let outgoing = self.forwarded_request(request, plan);
            match connection.send(outgoing, id).await {
                Ok(response) => return Ok((connection, response)),
                // The peer had closed the idle connection before the request was sent.
                Err(SendError::NotSent(_)) => {}
                Err(SendError::NoAnswer(_)) => {
                    return Err(SendOutcome::Unknown(UnknownReason::Broken).into())
                }
            }
        }
        let unreachable = || FailedSend::from(SendOutcome::NotRun(NotRunReason::Unreachable));
        let connecting = self.pool.connect(&plan.address, CONNECT_TIMEOUT);
        let mut connection = connecting.await.map_err(|_| unreachable())?;
        let outgoing = self.forwarded_request(request, plan);
        match connection.send(outgoing, id).await {
            Ok(response) => Ok((connection, response)),
            Err(SendError::NotSent(_)) => Err(unreachable()),
            Err(SendError::NoAnswer(_)) => Err(SendOutcome::Unknown(UnknownReason::Broken).into()),
        }
    }

    fn forwarded_request(
        &self,
        request: &IncomingRequest,
        plan: &ForwardPlan,
    ) -> Request<Full<Bytes>> {
        let remaining_ms = self.time_left(plan.end).as_millis() as u64;
        let protocol = &self.protocols.requests;
        let mut headers = protocol.forward_headers(&request.parts.headers, remaining_ms);
        headers.insert(FORWARDED, HeaderValue::from(plan.earlier_attempts));
        with_headers(request, headers)
    }
}
