//! Records answers of back ends that do not name their request, or that state that it was not run.

use crate::metrics::Metrics;
use silversail_decisions::{DecisionLog, Event};
use silversail_http::Connection;
use silversail_serving::answer_identity::EchoedId;
use silversail_serving::ports::AnswerHead;
use std::sync::Arc;

/// The exchange that an answer was read for.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Identifier of the request or call; empty if it has none.
    pub id: &'a str,
    /// Identifier of the back end or peer.
    pub backend: &'a str,
    /// Kind of the exchange, for logs and metrics.
    pub path: &'static str,
}

/// Writes such answers to the decision log, and counts them.
#[derive(Clone)]
pub struct AnswerMonitor {
    /// Decision log of the process.
    pub log: DecisionLog,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl AnswerMonitor {
    /// Records the head of an answer that was read from `connection`.
    pub fn record(
        &self,
        exchange: &Exchange<'_>,
        connection: &Connection,
        status: u16,
        head: &AnswerHead,
    ) {
        let labels = [head.echoed.name(), exchange.path];
        let counter = &self.metrics.answer_identities;
        counter.with_label_values(&labels).inc();
        let is_expected = exchange.id.is_empty() || head.echoed == EchoedId::Own;
        if is_expected && !head.not_run {
            return;
        }
        let previous = connection.previous_exchange();
        self.log.record(Event::AnswerChecked {
            request: exchange.id.to_owned(),
            backend: exchange.backend.to_owned(),
            path: exchange.path.to_owned(),
            status,
            says_not_run: head.not_run,
            echoed: head.echoed.name().to_owned(),
            earlier_requests: connection.earlier_requests(),
            previous_request: previous.map_or_else(String::new, |earlier| earlier.request.clone()),
            previous_status: previous.map_or(0, |earlier| earlier.status),
        });
    }
}
