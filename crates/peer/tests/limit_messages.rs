//! How large messages on limits of back ends are: one of each kind for a request that waits.

use silversail_limits::{KnownLimit, LimitMessage, LimitState, PermitGrant, PermitRequest};
use silversail_model::RequestRate;
use silversail_peer::message::PeerMessage;

/// Bytes of a message, with the name of a back end and its start.
const MOST_BYTES: usize = 80;

#[test]
fn messages_on_limits_are_small() {
    let backend = "i-0e04abeee9@1780701398349".to_owned();
    let limit = KnownLimit {
        rate: RequestRate::per_second(1_000.0).expect("a rate"),
        serial: 1 << 40,
    };
    let request = LimitMessage::Request(PermitRequest {
        backend: backend.clone(),
        limit,
        lifted_by: 1 << 40,
        highest: 1 << 40,
        wanted: 1_000,
        sent_at: 1 << 40,
    });
    let grant = LimitMessage::Grant(PermitGrant {
        backend,
        state: LimitState::Limited(limit),
        first: 1 << 40,
        count: 1_000,
        wait_ms: 60_000,
        echo: 1 << 40,
    });
    for message in [request, grant] {
        let bytes = postcard::to_stdvec(&PeerMessage::Limits(message)).expect("encodes");
        assert!(bytes.len() <= MOST_BYTES, "{} bytes", bytes.len());
    }
}
