//! Minimal HTTP/1.1: reading of heads and bodies, and calls of a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header; empty if it is absent.
    pub fn value(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value.as_str())
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; an error if it is not whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.value("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(body);
            }
        }
    }
    let is_answer = head.start.starts_with("HTTP/");
    if is_answer && head.value("content-length").is_empty() {
        // It ends with its connection; a reset is an error.
        reader.read_to_end(&mut body)?;
        return Ok(body);
    }
    body.resize(head.value("content-length").parse().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Answer to a call of a client.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

/// Makes a call on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head);
    Ok(Answer {
        head,
        is_whole: body.is_ok(),
        body: body.unwrap_or_default(),
    })
}

/// Encodes an answer with a length.
pub fn encode_answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
