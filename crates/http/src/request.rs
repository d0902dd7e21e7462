//! Request that the server passes to its handler.

use hyper::HeaderMap;

/// Request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Method, such as `POST`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Body; empty if the request is rejected before its body is read.
    pub body: Vec<u8>,
    pub(crate) headers: HeaderMap,
}

impl Request {
    /// Returns a header's value; none if it is absent or not printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}
