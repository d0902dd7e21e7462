//! Operators and callers of a simulated cluster, with the responses that they got.

use crate::world::World;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};
use silversail_consensus::Millis;
use silversail_control::{ChangeOutcome, ChangeRequest, ControlCommand};
use silversail_daemon::replica::ProposalOutcome;
use silversail_daemon::requests::active::CallerRequest;
use silversail_http::{Responder, ResponsePart, ResponseReader};
use silversail_model::{ChangeId, ConfigurationDocument};
use silversail_testbed::CallRecord;
use stakker::{call, ret_some_do};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of latest keys or changes from which a is_resend is drawn.
const RECENT: usize = 6;

/// Response to a configuration change.
#[derive(Clone, Debug)]
pub struct ChangeResponse {
    /// Identifier of the change.
    pub change_id: String,
    /// Outcome; none when the proposal was not committed in time.
    pub outcome: Option<ChangeOutcome>,
}

struct OpenCall {
    key: String,
    is_retry: bool,
    reader: ResponseReader,
    body: Vec<u8>,
}

struct SentCall {
    key: String,
    token: Option<String>,
}

/// Requests of operators and callers, and the responses to them.
#[derive(Default)]
pub struct ClientLog {
    /// Responses to configuration changes.
    pub changes: Rc<RefCell<Vec<ChangeResponse>>>,
    /// Results of calls, for the checker.
    pub calls: Vec<CallRecord>,
    sent_changes: Vec<ChangeRequest>,
    sent_calls: Vec<SentCall>,
    open: Vec<OpenCall>,
    next_change: u64,
    next_key: u64,
    next_number: u64,
}

/// Document of the first change: a pipeline whose only stage must not run twice.
pub fn first_document() -> ConfigurationDocument {
    let document = json!({
        "backends": [
            { "name": "gate-1", "kind": "service", "address": "127.0.0.1:1", "slots": 64 },
            { "name": "gate-2", "kind": "service", "address": "127.0.0.1:2", "slots": 64 },
        ],
        "tenants": [{ "name": "gates" }],
        "pipelines": [{
            "name": "open-barrier",
            "deadline_ms": 1000,
            "stages": [{ "name": "open", "kind": "service" }],
        }],
    });
    serde_json::from_value(document).expect("the document is complete")
}

impl ClientLog {
    /// Sends a new configuration change through a node, or resends a recent one.
    pub fn change(&mut self, world: &mut World, position: usize) {
        let is_resend = !self.sent_changes.is_empty() && world.random.gen_bool(0.3);
        let request = if is_resend {
            let from = self.sent_changes.len().saturating_sub(RECENT);
            let recent = &self.sent_changes[from..];
            recent.choose(&mut world.random).cloned()
        } else {
            self.new_change(world, position)
        };
        if let Some(request) = request {
            self.send_change(world, position, request);
        }
    }

    fn new_change(&mut self, world: &mut World, position: usize) -> Option<ChangeRequest> {
        let base_revision = world.revision(position)?;
        self.next_change += 1;
        let change_id = format!("c{}", self.next_change);
        let tenant = json!({ "tenants": [{ "name": format!("of-{change_id}") }] });
        let document = match self.next_change {
            1 => first_document(),
            _ => serde_json::from_value(tenant).expect("the document is complete"),
        };
        let request = ChangeRequest {
            change_id: ChangeId(change_id),
            base_revision,
            operator: "simulated".into(),
            document,
        };
        self.sent_changes.push(request.clone());
        Some(request)
    }

    fn send_change(&mut self, world: &mut World, position: usize, request: ChangeRequest) {
        let Some(node) = &world.nodes[position].process else {
            return;
        };
        let answers = self.changes.clone();
        let change_id = request.change_id.0.clone();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            let outcome = match outcome {
                ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
                ProposalOutcome::Unavailable => None,
            };
            answers
                .borrow_mut()
                .push(ChangeResponse { change_id, outcome });
        });
        let command = ControlCommand::Change(request).encode();
        call!(
            [node.actors.control_proposer],
            propose(command, CHANGE_TIMEOUT, ret)
        );
        world.wake(position);
    }

    /// Sends a call with a new idempotency key to a node, or resends a recent one.
    pub fn call(&mut self, world: &mut World, position: usize) {
        let is_resend = !self.sent_calls.is_empty() && world.random.gen_bool(0.5);
        let (key, token) = if is_resend {
            let from = self.sent_calls.len().saturating_sub(RECENT);
            let count = self.sent_calls.len() - from;
            let chosen = &self.sent_calls[from + world.random.gen_range(0..count)];
            let with_token = world.random.gen_bool(0.3);
            let token = chosen.token.clone().filter(|_| with_token);
            (chosen.key.clone(), token)
        } else {
            self.next_key += 1;
            let key = format!("k{}", self.next_key);
            self.sent_calls.push(SentCall {
                key: key.clone(),
                token: None,
            });
            (key, None)
        };
        self.send_call(world, position, key, token);
    }

    fn send_call(
        &mut self,
        world: &mut World,
        position: usize,
        key: String,
        token: Option<String>,
    ) {
        let deadline_ms: Millis = world.random.gen_range(200..3_000);
        let arrived_at = world.instant();
        let Some(node) = &world.nodes[position].process else {
            return;
        };
        let Some(requests) = &node.actors.requests else {
            return;
        };
        self.next_number += 1;
        let (responder, reader) = Responder::detached();
        let body = json!({
            "tenant": "gates",
            "input": { "key": key },
            "deadline_ms": deadline_ms,
        });
        let request = CallerRequest {
            number: self.next_number,
            pipeline: "open-barrier".into(),
            body: body.to_string().into_bytes(),
            key: Some(key.clone()),
            retry_token: token.clone(),
            arrived_at,
            responder,
        };
        call!([requests], handle_request(request));
        self.open.push(OpenCall {
            key,
            is_retry: token.is_some(),
            reader,
            body: Vec::new(),
        });
        world.wake(position);
    }

    /// Reads the responses that have arrived.
    pub fn collect(&mut self) {
        let open = std::mem::take(&mut self.open);
        for mut call in open {
            let mut ended = false;
            while let Some(part) = call.reader.try_next() {
                match part {
                    ResponsePart::Head(_) => {}
                    ResponsePart::Chunk(bytes) => call.body.extend(bytes),
                    ResponsePart::End => ended = true,
                }
            }
            if ended {
                self.record_answer(call);
            } else {
                self.open.push(call);
            }
        }
    }

    /// Records the calls without a response, whose process crashed.
    pub fn record_unanswered(&mut self) {
        for call in std::mem::take(&mut self.open) {
            self.calls.push(CallRecord {
                key: call.key,
                pipeline: "open-barrier".into(),
                outcome: None,
                code: None,
                output: None,
                ended_early: false,
                retried_after_refusal: call.is_retry,
            });
        }
    }

    fn record_answer(&mut self, call: OpenCall) {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if let Some(token) = body["retry_token"].as_str() {
            let sent = self.sent_calls.iter_mut().find(|sent| sent.key == call.key);
            if let Some(sent) = sent {
                sent.token = Some(token.to_owned());
            }
        }
        self.calls.push(CallRecord {
            key: call.key,
            pipeline: "open-barrier".into(),
            outcome: body["outcome"].as_str().map(str::to_owned),
            code: body["code"].as_u64().map(|code| code as u16),
            output: body.get("output").cloned(),
            ended_early: false,
            retried_after_refusal: call.is_retry,
        });
    }
}
