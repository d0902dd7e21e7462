//! HTTP APIs of a process: for callers, and for operators with the metrics.

pub mod callers;
pub mod entry_points;
pub mod operators;

use crate::requests::answer::{ErrorBody, JSON_CONTENT_TYPE};
use silversail_http::ResponseHead;
use silversail_model::ResultCode;

/// Response head with the status and headers of a result code.
pub fn response_head_for(code: ResultCode) -> ResponseHead {
    let mut head = ResponseHead::new(code.http_status(), JSON_CONTENT_TYPE);
    head.headers
        .push(("silversail-code", code.number().to_string()));
    head
}

/// Head and body of an error response. `Retry-After` is in whole seconds, rounded up;
/// the body contains milliseconds.
pub fn error_response(code: ResultCode, body: &ErrorBody) -> (ResponseHead, Vec<u8>) {
    let mut head = response_head_for(code);
    if let Some(milliseconds) = body.retry_after_ms {
        let seconds = milliseconds.div_ceil(1_000);
        head.headers.push(("retry-after", seconds.to_string()));
    }
    if let Some(token) = &body.retry_token {
        head.headers.push(("silversail-retry-token", token.clone()));
    }
    (head, body.encode())
}
