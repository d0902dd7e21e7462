//! HTTP/1.1 as far as the stand-ins speak it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header)? == 0 {
            return Err(invalid("the head is cut off"));
        }
        let header = header.trim_end();
        if header.is_empty() {
            return Ok(Some(message));
        }
        let (key, value) = header
            .split_once(':')
            .ok_or_else(|| invalid("a bad header"))?;
        message
            .headers
            .push((key.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a whole message; none at the end of the connection.
pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    read_body(stream, &mut message)?;
    Ok(Some(message))
}

/// Reads the body that follows a head.
pub fn read_body(stream: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let coding = message.header("transfer-encoding").unwrap_or("").to_owned();
    if coding.eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            stream.read_line(&mut size)?;
            let size = size.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("a bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut message.body)
}

/// Bytes of a message with a length.
pub fn encode(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes a call on a new connection.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    stream.write_all(&encode(line, headers, body))?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| invalid("closed without an answer"))
}
