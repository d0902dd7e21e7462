//! One exchange over a connection to a back end or a peer. The only place that decides whose an
//! answer is; all who send requests or calls get their own answer, or none.

use crate::metrics::Metrics;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use silversail_decisions::{DecisionLog, Event};
use silversail_http::{CarriedKey, Connection, SendError};
use silversail_serving::answer_identity::{ConnectionUse, EchoedId, ForeignAnswer, UncheckedHead};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::ports::{AnswerHead, Protocols};
use std::sync::Arc;

/// Kind of an exchange with a peer, in logs and metrics.
const FORWARD: &str = "forward";

/// An exchange, as far as it is known before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Identifier of the request or call; empty if it has none.
    pub id: &'a str,
    /// Identifier of the back end or peer.
    pub backend: &'a str,
    /// Whether it carries a caller's request; otherwise a call of this node.
    pub is_request: bool,
    /// Kind of the exchange, for logs and metrics.
    pub path: &'static str,
}

impl<'a> Exchange<'a> {
    /// A caller's request to a back end.
    pub fn request(id: &'a str, backend: &'a str) -> Self {
        Self {
            id,
            backend,
            is_request: true,
            path: ExchangeKind::Request.name(),
        }
    }

    /// A caller's request to a peer.
    pub fn forward(id: &'a str, peer: &'a str) -> Self {
        Self {
            id,
            backend: peer,
            is_request: true,
            path: FORWARD,
        }
    }

    /// A call of this node.
    pub fn call(id: &'a str, backend: &'a str, path: &'static str) -> Self {
        Self {
            id,
            backend,
            is_request: false,
            path,
        }
    }
}

/// The answer to the request of an exchange.
pub struct OwnAnswer {
    /// Connection on which it arrives. May be returned to its pool once the body is complete.
    pub connection: Connection,
    /// Head and body.
    pub response: Response<Incoming>,
    /// Parsed head.
    pub head: AnswerHead,
}

/// Reason why an exchange gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been executed.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Another request's answer came in place of the own one, which may still be due. The request
    /// may have been executed.
    #[error(transparent)]
    Foreign(Box<ForeignAnswer>),
}

impl From<SendError> for ExchangeError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(detail) => ExchangeError::NotSent(detail),
            SendError::NoAnswer(detail) => ExchangeError::NoAnswer(detail),
        }
    }
}

/// Makes exchanges.
#[derive(Clone)]
pub struct ExchangeClient {
    /// Adapters for the external protocols.
    pub protocols: Protocols,
    /// Decision log of the process.
    pub log: DecisionLog,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}

impl ExchangeClient {
    /// Sends a request and waits for the head of its answer. The connection is closed unless the
    /// answer is the request's own.
    ///
    /// # Errors
    ///
    /// If no answer to the request arrives.
    pub async fn send(
        &self,
        exchange: &Exchange<'_>,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<OwnAnswer, ExchangeError> {
        let response = connection.send(request, exchange.id).await?;
        connection.apply_keep_alive(response.headers());
        let unchecked = self.read_head(exchange, response.status().as_u16(), response.headers());
        let identified = unchecked.identify(ConnectionUse {
            has_carried: connection.earlier_requests() > 0,
            has_carried_id: connection.has_carried(CarriedKey::of(exchange.id)),
        });
        let identified = identified.map_err(Box::new);
        self.record(exchange, &connection, &identified);
        let head = identified.map_err(ExchangeError::Foreign)?;
        // A repetition of an answer without an identifier could not be told from a later answer.
        connection.set_reusable(head.is_named);
        Ok(OwnAnswer {
            connection,
            response,
            head,
        })
    }

    fn read_head(
        &self,
        exchange: &Exchange<'_>,
        status: u16,
        headers: &HeaderMap,
    ) -> UncheckedHead {
        let protocol = &self.protocols.requests;
        match exchange.is_request {
            true => protocol.read_answer(status, headers, exchange.id),
            false => protocol.read_call_answer(status, headers, exchange.id),
        }
    }

    /// Records an answer that was not identified by its identifier, or that states that the request
    /// was not run.
    fn record(
        &self,
        exchange: &Exchange<'_>,
        connection: &Connection,
        identified: &Result<AnswerHead, Box<ForeignAnswer>>,
    ) {
        let (echoed, status, says_not_run) = match identified {
            Ok(head) if head.is_named => (EchoedId::Own, head.status, head.not_run),
            Ok(head) => (EchoedId::Absent, head.status, head.not_run),
            Err(foreign) => (foreign.echoed, foreign.status, foreign.says_not_run),
        };
        let labels = [echoed.name(), exchange.path];
        let counter = &self.metrics.answer_identities;
        counter.with_label_values(&labels).inc();
        let is_expected = echoed == EchoedId::Own || !exchange.is_request;
        if identified.is_ok() && is_expected && !says_not_run {
            return;
        }
        let previous = connection.previous_exchange();
        self.log.record(Event::AnswerChecked {
            request: exchange.id.to_owned(),
            backend: exchange.backend.to_owned(),
            path: exchange.path.to_owned(),
            status,
            says_not_run,
            echoed: echoed.name().to_owned(),
            is_own: identified.is_ok(),
            earlier_requests: connection.earlier_requests(),
            previous_request: previous.map_or_else(String::new, |earlier| earlier.request.clone()),
            previous_status: previous.map_or(0, |earlier| earlier.status),
        });
    }
}
