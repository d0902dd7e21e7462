//! Guards pipelines' calls against back ends that asked for back-off or announced a shutdown.

use crate::gateway::notices::NoticeRecorder;
use silversail_backend::{BackendSelfReport, CallGuard};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::ports::SelfReport;
use std::time::Duration;

/// Time for which a pipeline's back end that announced its shutdown gets no calls. Its name in the
/// configuration does not identify a start, so its successor can't be recognised; it is tried again
/// after this time, which is longer than a shutdown takes.
const SHUTDOWN_BACK_OFF: Duration = Duration::from_secs(30);

/// Applies and records the notices of the back end at one address, for one kind of exchange.
pub struct AddressGuard<'a> {
    /// Records the notices of back ends.
    pub listener: &'a NoticeRecorder,
    /// Address of the back end.
    pub address: &'a str,
    /// Kind of exchange that is guarded.
    pub exchange_kind: ExchangeKind,
}

impl CallGuard for AddressGuard<'_> {
    fn accepts_calls(&self) -> bool {
        self.listener
            .unavailable_reason(self.address, self.exchange_kind)
            .is_none()
    }

    fn record_report(&self, report: &BackendSelfReport) {
        let shutdown_back_off = report.is_leaving.then_some(SHUTDOWN_BACK_OFF);
        let self_report = SelfReport {
            backoff: report.rest.max(shutdown_back_off),
            has_unreadable_backoff: report.has_unreadable_rest,
            limit: report.limit,
            ..SelfReport::default()
        };
        self.listener
            .record_report(self.address, self.exchange_kind, &self_report);
    }
}
