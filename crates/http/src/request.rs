//! A request as the server's users see it.

use hyper::HeaderMap;

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Method, such as `POST`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Body.
    pub body: Vec<u8>,
    pub(crate) headers: HeaderMap,
}

impl Request {
    /// A header's value where it is present and printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}
