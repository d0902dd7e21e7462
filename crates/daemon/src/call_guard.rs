//! Keeps calls of pipelines from back ends that rest or leave by their own word.

use crate::gateway::notices::NoticeListener;
use silversail_backend::{BackendSelfReport, CallGuard};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::ports::SelfReport;
use std::time::Duration;

/// How long a pipeline's back end that said it leaves gets nothing. Its name in the configuration
/// bears no identity of a start, so that nothing tells when another one has taken its place: it
/// is tried again after this time, which is longer than back ends take to leave, and says it again
/// where it is still there.
const LEAVING_FOR: Duration = Duration::from_secs(30);

/// Stands between one kind of exchange and one back end, which is known by its address.
pub struct AddressGuard<'a> {
    /// What back ends said.
    pub listener: &'a NoticeListener,
    /// The back end.
    pub address: &'a str,
    /// What is exchanged.
    pub path: ExchangeKind,
}

impl CallGuard for AddressGuard<'_> {
    fn accepts_calls(&self) -> bool {
        self.listener.withheld(self.address, self.path).is_none()
    }

    fn record_report(&self, report: &BackendSelfReport) {
        let until_gone = report.is_leaving.then_some(LEAVING_FOR);
        let said = SelfReport {
            rest: report.rest.max(until_gone),
            has_unreadable_rest: report.has_unreadable_rest,
            limit: report.limit,
            ..SelfReport::default()
        };
        self.listener.heard(self.address, self.path, &said);
    }
}
