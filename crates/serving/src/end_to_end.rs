//! Headers of a received message without those that belong to the connection it came over (RFC 9110,
//! section 7.6.1).

use http::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Uri};
use std::collections::HashSet;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that belong to one connection whether or not `Connection` names them. The framing of a
/// body and `Expect` are settled between the two ends of the connection that the body came over.
static CONNECTION_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
    EXPECT,
];

/// Headers of a received message that belong to no single connection. What is read from a message
/// and what is forwarded of it come from here, so that a sender cannot name in `Connection` what this
/// node adds later, or have it decide by a value that the next recipient does not get.
#[derive(Clone, Debug, Default)]
pub struct EndToEndHeaders {
    headers: HeaderMap,
    disregarded_options: Vec<HeaderName>,
}

impl EndToEndHeaders {
    /// Removes the headers of the connection from those of a received message: the standard ones and
    /// those that `Connection` names. A sender must not name a header there that is meant for all
    /// recipients; those for which `is_for_all_recipients` holds are kept.
    pub fn new(
        mut received: HeaderMap,
        is_for_all_recipients: impl Fn(&HeaderName) -> bool,
    ) -> Self {
        let (mut kept, removed): (Vec<HeaderName>, Vec<HeaderName>) = connection_options(&received)
            .into_iter()
            .partition(is_for_all_recipients);
        kept.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
        for name in removed.iter().chain(&CONNECTION_HEADERS) {
            received.remove(name);
        }
        Self {
            headers: received,
            disregarded_options: kept,
        }
    }

    /// Replaces `Host` by the host that the request target names, if it names one: recipients ignore
    /// `Host` beside such a target (RFC 9112, section 3.2.2), which is not sent on.
    pub fn with_host_of(mut self, target: &Uri) -> Self {
        let Some(authority) = target.authority() else {
            return self;
        };
        let host = match authority.as_str().rsplit_once('@') {
            Some((_, host)) => host,
            None => authority.as_str(),
        };
        if let Ok(host) = HeaderValue::from_str(host) {
            self.headers.insert(HOST, host);
        }
        self
    }

    /// The headers.
    pub fn as_map(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the headers.
    pub fn into_map(self) -> HeaderMap {
        self.headers
    }

    /// Headers for all recipients that `Connection` named, each once, whether or not the message has
    /// them.
    pub fn disregarded_options(&self) -> &[HeaderName] {
        &self.disregarded_options
    }
}

/// Names of headers that `Connection` lists, each once. Items that are not names of headers are left
/// out.
fn connection_options(headers: &HeaderMap) -> HashSet<HeaderName> {
    let lines = headers.get_all(CONNECTION).iter();
    let items = lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b','));
    items
        .filter_map(|item| HeaderName::from_bytes(item.trim_ascii()).ok())
        .collect()
}
