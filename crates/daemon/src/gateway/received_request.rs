//! Request of a caller or a peer, as this node reads and forwards it.

use bytes::Bytes;
use hyper::{Method, Uri};
use silversail_serving::end_to_end::EndToEndHeaders;

/// Head of a request without the headers of the connection it came over.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Request target.
    pub target: Uri,
    /// Headers.
    pub headers: EndToEndHeaders,
}

/// Request with its complete body.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Head.
    pub head: RequestHead,
    /// Body; empty if the request has none.
    pub body: Bytes,
}
