//! The HTTP/1.1 server for callers and for emulated engines, on `hyper`. Its
//! runtime is confined to this package; what leaves it are plain requests and a
//! channel for the parts of the response.
//!
//! `tiny_http`, which the other surfaces use, holds streamed bodies back and
//! lets new requests starve behind idle connections; see
//! `docs/design/http-server.md`.

pub mod body;
pub mod body_memory;
pub mod client;
pub mod config;
pub mod liveness;
pub mod relay;
pub mod request;
pub mod responder;
pub mod server;
pub mod service;

pub use body_memory::BodyMemoryLimit;
pub use client::{Connection, ConnectionPool, SendError};
pub use config::HttpServerConfig;
pub use relay::{RelayBody, RelayOutcome};
pub use request::Request;
pub use responder::{Responder, ResponseHead, ResponsePart, ResponseReader};
pub use server::{Handler, HttpServer, RejectReason};
pub use service::{
    serve, AsyncService, IncomingRequest, OutgoingBody, ServedResponse, ServiceFuture,
    ServiceLimits,
};
