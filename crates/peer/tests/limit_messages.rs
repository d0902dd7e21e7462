//! Sizes of the messages on rate limits of back ends; a queued request causes one of each kind.

use silversail_limits::{KnownLimit, LimitMessage, LimitState, PermitGrant, PermitRequest};
use silversail_model::RequestRate;
use silversail_peer::message::PeerMessage;

/// Maximum encoded size, including a back-end identity with its start time.
const MAX_MESSAGE_BYTES: usize = 80;

#[test]
fn rate_limit_messages_stay_below_the_maximum_size() {
    let backend = "i-0e04abeee9@1780701398349".to_owned();
    let limit = KnownLimit {
        rate: RequestRate::per_second(1_000.0).expect("a rate"),
        serial: 1 << 40,
    };
    let request = LimitMessage::Request(PermitRequest {
        backend: backend.clone(),
        limit,
        limit_lifted_serial: 1 << 40,
        highest_serial: 1 << 40,
        wanted: 1_000,
        sent_at: 1 << 40,
    });
    let grant = LimitMessage::Grant(PermitGrant {
        backend,
        state: LimitState::Limited(limit),
        first_serial: 1 << 40,
        count: 1_000,
        wait_ms: 60_000,
        request_sent_at: 1 << 40,
    });
    for message in [request, grant] {
        let bytes = postcard::to_stdvec(&PeerMessage::Limits(message)).expect("encodes");
        assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
    }
}
