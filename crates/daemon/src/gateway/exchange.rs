//! One exchange over a connection to a back end or a peer. The only place that decides whose an
//! answer is; all who send requests or calls get their own answer, or none.

use crate::gateway::forwarding::is_forwarding_header;
use crate::gateway::notices::NoticeRecorder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use silversail_decisions::{DecisionLog, Event};
use silversail_http::{CarriedKey, Connection, SendError};
use silversail_serving::answer_identity::{ConnectionUse, EchoedId, ForeignAnswer, UncheckedHead};
use silversail_serving::end_to_end::EndToEndHeaders;
use silversail_serving::notices::ExchangeKind;
use silversail_serving::ports::{AnswerHead, Protocols};

/// With whom an exchange is made, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeRole {
    /// A caller's request to a back end.
    Request,
    /// A caller's request to a peer.
    Forward,
    /// A call of this node to a back end.
    Call(ExchangeKind),
    /// A call of this node to the source of the backend list.
    List,
}

impl ExchangeRole {
    /// Label value in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            ExchangeRole::Request => ExchangeKind::Request.name(),
            ExchangeRole::Forward => "forward",
            ExchangeRole::Call(kind) => kind.name(),
            ExchangeRole::List => "list",
        }
    }

    /// Kind of the exchange with a back end; none with others.
    fn backend_kind(self) -> Option<ExchangeKind> {
        match self {
            ExchangeRole::Request => Some(ExchangeKind::Request),
            ExchangeRole::Call(kind) => Some(kind),
            ExchangeRole::Forward | ExchangeRole::List => None,
        }
    }
}

/// An exchange, as far as it is known before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Identifier of the request or call; empty if it has none.
    pub id: &'a str,
    /// Identifier of the back end or peer.
    pub target: &'a str,
    /// With whom and for whom it is made.
    pub role: ExchangeRole,
}

/// The answer to the request of an exchange.
pub struct OwnAnswer {
    /// Connection on which it arrives. May be returned to its pool once the body is complete.
    pub connection: Connection,
    /// Head as it came over the connection, which tells where the body ends, and body.
    pub response: Response<Incoming>,
    /// Headers without those of the connection.
    pub headers: EndToEndHeaders,
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
    /// Records what back ends report about themselves.
    pub notice_recorder: NoticeRecorder,
    /// Decision log of the process.
    pub log: DecisionLog,
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
        let headers = self.end_to_end_headers(response.headers().clone());
        let unchecked = self.read_head(exchange, response.status().as_u16(), &headers);
        let identified = unchecked.identify(ConnectionUse {
            has_carried: connection.earlier_requests() > 0,
            has_carried_id: connection.has_carried(CarriedKey::of(exchange.id)),
        });
        let identified = identified.map_err(Box::new);
        self.record(exchange, &connection, &identified);
        let head = match identified {
            Ok(head) => head,
            Err(foreign) => {
                self.record_report(exchange, &foreign);
                return Err(ExchangeError::Foreign(foreign));
            }
        };
        // A repetition of an answer without an identifier could not be told from a later answer.
        connection.set_reusable(head.is_named);
        Ok(OwnAnswer {
            connection,
            response,
            headers,
            head,
        })
    }

    /// Removes the headers of the connection from those of a message that was received.
    pub fn end_to_end_headers(&self, received: HeaderMap) -> EndToEndHeaders {
        let protocol = &self.protocols.requests;
        EndToEndHeaders::new(received, |name| {
            is_forwarding_header(name) || protocol.is_for_all_recipients(name)
        })
    }

    /// Records what another request's answer reports about its back end. The connection does not
    /// outlive the back end's process.
    fn record_report(&self, exchange: &Exchange<'_>, foreign: &ForeignAnswer) {
        if let Some(kind) = exchange.role.backend_kind() {
            let recorder = &self.notice_recorder;
            recorder.record_report(exchange.target, kind, &foreign.report);
        }
    }

    fn read_head(
        &self,
        exchange: &Exchange<'_>,
        status: u16,
        headers: &EndToEndHeaders,
    ) -> UncheckedHead {
        let protocol = &self.protocols.requests;
        match exchange.role {
            ExchangeRole::Request | ExchangeRole::Forward => {
                protocol.read_answer(status, headers, exchange.id)
            }
            ExchangeRole::Call(_) | ExchangeRole::List => {
                protocol.read_call_answer(status, headers, exchange.id)
            }
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
        let labels = [echoed.name(), exchange.role.name()];
        let counter = &self.notice_recorder.metrics.answer_identities;
        counter.with_label_values(&labels).inc();
        let is_call = matches!(exchange.role, ExchangeRole::Call(_) | ExchangeRole::List);
        let is_expected = echoed == EchoedId::Own || is_call;
        if identified.is_ok() && is_expected && !says_not_run {
            return;
        }
        let previous = connection.previous_exchange();
        self.log.record(Event::AnswerChecked {
            request: exchange.id.to_owned(),
            backend: exchange.target.to_owned(),
            path: exchange.role.name().to_owned(),
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
