//! Entry points: the addresses that callers use, and for how long.

use crate::requests::answer::{ErrorBody, JSON_CONTENT_TYPE};
use crate::session::NodeState;
use crate::surface::error_response;
use rand::seq::SliceRandom;
use serde::Serialize;
use silversail_consensus::Millis;
use silversail_control::NodeStatus;
use silversail_http::{Responder, ResponseHead};
use silversail_model::ResultCode;

#[derive(Serialize)]
struct EntryPoint<'a> {
    node: &'a str,
    address: &'a str,
    zone: &'a str,
}

#[derive(Serialize)]
struct EntryPointsBody<'a> {
    entry_points: Vec<EntryPoint<'a>>,
    valid_for_ms: u64,
}

/// Configuration of entry-point answers.
pub struct EntryPointSettings {
    /// Maximum age of the node's state for an answer, in milliseconds.
    pub freshness_lease: Millis,
    /// Time for which callers may use an answer, in milliseconds.
    pub lifetime: Millis,
}

/// Responds with the usable nodes in random order, those of `zone` first. A partitioned node
/// responds with an error, as its view may be outdated.
pub fn answer(
    state: &NodeState,
    settings: &EntryPointSettings,
    zone: Option<&str>,
    now: Millis,
    responder: Responder,
) {
    let mut nodes: Vec<&NodeStatus> = state.view.usable_nodes().collect();
    if !state.has_current_configuration(now, settings.freshness_lease) || nodes.is_empty() {
        let code = ResultCode::NotCurrent;
        let mut body = ErrorBody::new(
            "",
            code,
            "this node has no current view of the usable nodes",
        );
        body.retry_after_ms = Some(500);
        let (head, bytes) = error_response(code, &body);
        responder.respond(head, bytes);
        return;
    }
    nodes.shuffle(&mut rand::thread_rng());
    nodes.sort_by_key(|node| Some(node.zone.as_str()) != zone);
    let body = EntryPointsBody {
        entry_points: nodes
            .iter()
            .map(|node| EntryPoint {
                node: node.node.as_str(),
                address: &node.caller_address,
                zone: &node.zone,
            })
            .collect(),
        valid_for_ms: settings.lifetime,
    };
    let mut head = ResponseHead::new(200, JSON_CONTENT_TYPE);
    let seconds = settings.lifetime / 1_000;
    head.headers
        .push(("cache-control", format!("max-age={seconds}")));
    let bytes = serde_json::to_vec(&body).expect("the body encodes");
    responder.respond(head, bytes);
}
