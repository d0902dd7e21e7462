//! Back ends of pipelines that tests write themselves, on sockets of their own.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Reads a call; none where none comes whole.
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
