//! Helpers for tests that implement a pipeline's back end on their own socket.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Reads the body of a call; none if no complete call arrives.
pub fn read_call(stream: &TcpStream) -> Option<Value> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}
