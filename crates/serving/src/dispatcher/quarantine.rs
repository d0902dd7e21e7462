//! Requests that are refused because they, or attributes that they share with others, crash back
//! ends; and answers that show that attributes do not.

use super::request::ActiveRequest;
use super::{Action, Dispatcher, RequestNumber};
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::{RequestAttribute, RequestFingerprint, ResultCode};
use silversail_quarantine::BackendGroup;

/// Time for which an answer must go on after its first byte to show that the request does not crash
/// its back end, in milliseconds. Those that do end within a few hundred.
pub const LASTING_ANSWER: Millis = 1_000;

/// A request whose answer showed that its attributes do not crash back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// Back ends of which one answered.
    pub group: BackendGroup,
    /// Attributes of the request.
    pub attributes: Vec<RequestAttribute>,
    /// Fingerprints under which the attributes may be refused.
    pub fingerprints: Vec<RequestFingerprint>,
    /// When the answer began.
    pub began_at: Millis,
}

impl Dispatcher {
    /// Code with which a request is refused because it is quarantined; none if it is not.
    pub(super) fn quarantine_code(&self, request: &ActiveRequest) -> Option<ResultCode> {
        if self.quarantine.refuses(&request.fingerprint) {
            return Some(ResultCode::RequestQuarantined);
        }
        let mut attributes = request.attribute_fingerprints.iter();
        let is_refused = attributes.any(|(_, fingerprint)| self.quarantine.refuses(fingerprint));
        is_refused.then_some(ResultCode::AttributeQuarantined)
    }

    /// Rejects open requests that are now quarantined, except those sent to a back end.
    pub fn reject_quarantined(&mut self, now: Millis) -> Vec<Action> {
        let requests = self.requests.iter();
        let unsent = requests.filter(|(_, request)| !request.is_sent());
        let refused: Vec<(RequestNumber, ResultCode)> = unsent
            .filter_map(|(number, request)| Some((*number, self.quarantine_code(request)?)))
            .collect();
        refused
            .into_iter()
            .flat_map(|(number, code)| self.give_up(number, code, now))
            .collect()
    }

    /// Logs for which attribute a request is refused.
    pub(super) fn log_refused_attribute(&self, request: &ActiveRequest, code: ResultCode) {
        if code != ResultCode::AttributeQuarantined {
            return;
        }
        let mut attributes = request.attribute_fingerprints.iter();
        let refused = attributes.find(|(_, fingerprint)| self.quarantine.refuses(fingerprint));
        if let Some((attribute, fingerprint)) = refused {
            self.log.record(Event::AttributeRefused {
                request: request.call.id.clone(),
                service: request.resolved_route.service.clone(),
                attribute: attribute.to_string(),
                fingerprint: fingerprint.to_string(),
            });
        }
    }

    /// What the whole answer to an open request shows of its attributes; none if it has none.
    pub fn answered_request(&self, number: RequestNumber, now: Millis) -> Option<AnsweredRequest> {
        let request = self.requests.get(&number)?;
        answered(request, now)
    }

    /// Requests whose answers have gone on for [`LASTING_ANSWER`], each once.
    pub fn take_lasting_answers(&mut self, now: Millis) -> Vec<AnsweredRequest> {
        let is_lasting = |request: &ActiveRequest| {
            let began_at = request.head_at;
            began_at.is_some_and(|at| now.saturating_sub(at) >= LASTING_ANSWER)
        };
        let mut lasting = Vec::new();
        for request in self.requests.values_mut() {
            if !request.is_answer_counted && is_lasting(request) {
                request.is_answer_counted = true;
                lasting.extend(answered(request, now));
            }
        }
        lasting
    }
}

fn answered(request: &ActiveRequest, now: Millis) -> Option<AnsweredRequest> {
    let active_send = request.active_send.as_ref()?;
    let attributes: Vec<RequestAttribute> = request.attributes().collect();
    let has_attributes = !attributes.is_empty();
    has_attributes.then(|| AnsweredRequest {
        group: BackendGroup {
            service: active_send.service.clone(),
            version: active_send.version.clone(),
        },
        attributes,
        fingerprints: request
            .attribute_fingerprints
            .iter()
            .map(|(_, fingerprint)| *fingerprint)
            .collect(),
        began_at: request.head_at.unwrap_or(now),
    })
}
