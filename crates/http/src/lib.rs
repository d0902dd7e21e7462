//! HTTP/1.1 servers and client on `hyper`. [`HttpServer`] runs its own runtime and hands requests to
//! a synchronous [`Handler`], which sends the response through a channel. [`serve`] runs an
//! [`AsyncService`] on the current runtime.
//!
//! `tiny_http`, which serves the other APIs, buffers streamed bodies and lets new requests starve
//! behind idle connections; see `docs/design/http-server.md`.

pub mod answer_body;
pub mod body;
pub mod body_memory;
mod caller_connection;
pub mod client;
pub mod config;
pub mod event_stream;
pub mod framing;
pub mod keepalive;
pub mod open_connections;
pub mod relay;
pub mod request;
pub mod responder;
pub mod server;
pub mod service;

pub use answer_body::{AnswerBody, CollectError};
pub use body_memory::{BodyMemoryLimit, ReservedMemory};
pub use client::{CarriedKey, Connection, ConnectionPool, EarlierExchange, SendError};
pub use config::HttpServerConfig;
pub use event_stream::EventStreamScanner;
pub use framing::AmbiguousFraming;
pub use open_connections::OpenConnections;
pub use relay::{RelayBody, RelayOutcome};
pub use request::Request;
pub use responder::{Responder, ResponseHead, ResponsePart, ResponseReader};
pub use server::{Handler, HttpServer, RejectReason};
pub use service::{
    serve, AsyncService, IncomingRequest, OutgoingBody, ServedResponse, ServiceFuture,
    ServiceLimits,
};
