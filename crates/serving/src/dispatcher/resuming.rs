//! Requests that take up a stream: they go to the software version that began it, or are rejected
//! at once.

use super::request::ActiveRequest;
use super::{Dispatcher, RequestNumber};
use crate::ports::{CallAttributes, SoleVersionEvidence};
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::{RequestFingerprint, ResultCode};
use silversail_peer::{BegunStream, SeenVersions, StreamKey, StreamOrigin};

/// Time for which a service must have had one version only, so that a stream of unknown origin can
/// only have begun there, in milliseconds: longer than callers wait for a stream.
const SOLE_VERSION_PERIOD: Millis = 30_000;
/// Time in milliseconds by which records outlast the caller's deadline.
const RECORD_SLACK: Millis = 2_000;

/// Version at which a stream goes on.
struct ResumePoint {
    version: String,
    source: &'static str,
}

impl Dispatcher {
    /// Restricts a request that takes up a stream to the version that began it.
    ///
    /// # Errors
    ///
    /// The code to reject it with, if that version is not known or has no back end for it.
    pub(super) fn restrict_resumed(
        &self,
        request: &mut ActiveRequest,
        now: Millis,
    ) -> Result<(), ResultCode> {
        let Some(resumed) = request
            .call
            .resumed
            .as_ref()
            .filter(|_| request.is_resumable())
        else {
            return Ok(());
        };
        let first_attempt = resumed.first_attempt.clone().unwrap_or_default();
        let point = self.resume_point(request, now);
        request.version = point.as_ref().map(|point| point.version.clone());
        let result = match &request.version {
            None => Err(ResultCode::StreamOriginUnknown),
            Some(_) if self.engines_of(request).next().is_none() => {
                Err(ResultCode::StreamVersionGone)
            }
            Some(_) => Ok(()),
        };
        self.log.record(Event::StreamResumed {
            request: request.call.id.clone(),
            first_attempt,
            service: request.resolved_route.service.clone(),
            version: request.version.clone().unwrap_or_default(),
            source: point.map_or("none", |point| point.source).to_owned(),
            outcome: result
                .map_or_else(ResultCode::reason, |()| "goes_on")
                .to_owned(),
        });
        result
    }

    fn resume_point(&self, request: &ActiveRequest, now: Millis) -> Option<ResumePoint> {
        let resolved_route = &request.resolved_route;
        let origin = request.call.origin_for(&resolved_route.tenant);
        if let Some((origin, source)) = origin {
            return Some(ResumePoint {
                version: origin.version.clone(),
                source: source.name(),
            });
        }
        // A stream of unknown origin may have begun at any service of its route.
        if resolved_route.route.targets.len() > 1 {
            return None;
        }
        let evidence = &request.call.resumed.as_ref()?.sole_version;
        let SeenVersions::Sole(version) = self.seen_versions(&resolved_route.service, now) else {
            return None;
        };
        let is_confirmed = match evidence {
            SoleVersionEvidence::Unconfirmed => false,
            SoleVersionEvidence::Confirmed(confirmed) => *confirmed == version,
            SoleVersionEvidence::NoPeers => true,
        };
        is_confirmed.then_some(ResumePoint {
            version,
            source: "sole_version",
        })
    }

    /// Versions of a service that this node has seen for as long as a caller may wait for a stream.
    pub fn seen_versions(&self, service: &str, now: Millis) -> SeenVersions {
        let instances = &self.instances;
        instances.seen_versions(service, SOLE_VERSION_PERIOD, now)
    }

    /// Identifies the stream that a request takes up, with the service at which it would go on; none
    /// if it takes up none, or has no route.
    pub fn resumed_stream(&self, call: &CallAttributes) -> Option<(StreamKey, String)> {
        let resumed = call.resumed.as_ref()?;
        let resolved_route = self.resolve_route(call).ok()?;
        let is_resumable = resolved_route.route.kind.is_resumable();
        let tenant = resolved_route.tenant.as_deref();
        let key = StreamKey {
            attempt: resumed.first_attempt.clone(),
            fingerprint: RequestFingerprint::of(tenant, &call.content),
        };
        is_resumable.then_some((key, resolved_route.service))
    }

    /// Record of a stream whose answer has begun, if callers may take it up. One that goes on has
    /// no other beginning.
    pub fn begun_stream(&self, number: RequestNumber) -> Option<BegunStream> {
        let request = self.requests.get(&number)?;
        let active_send = request.active_send.as_ref()?;
        if !request.is_resumable() {
            return None;
        }
        let tenant = &request.resolved_route.tenant;
        let attempt = match &request.call.resumed {
            None => request.call.id.clone(),
            Some(_) if request.call.origin_for(tenant).is_some() => return None,
            Some(resumed) => {
                let first_attempt = resumed.first_attempt.clone();
                first_attempt.unwrap_or_else(|| request.call.id.clone())
            }
        };
        let timeout = request.resolved_route.route.timeout_ms;
        let caller_waits = request.call.deadline_ms.unwrap_or_default();
        Some(BegunStream {
            attempt,
            fingerprint: request.fingerprint,
            origin: StreamOrigin {
                service: active_send.service.clone(),
                version: active_send.version.clone(),
                tenant: tenant.clone(),
            },
            lifetime_ms: timeout.max(caller_waits) + RECORD_SLACK,
        })
    }
}
