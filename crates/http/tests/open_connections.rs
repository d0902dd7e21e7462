//! Guards against a stop that takes an answer for ended while its caller still reads it.

use silversail_http::{
    Handler, HttpServer, HttpServerConfig, RejectReason, Request, Responder, ResponseHead,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// More than the buffers of the sockets between a server and its caller hold.
const ANSWER_BYTES: usize = 20 << 20;
const TIMEOUT: Duration = Duration::from_secs(30);

struct LongAnswers;

impl Handler for LongAnswers {
    fn handle(&self, _: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        let body = vec![b'x'; ANSWER_BYTES];
        responder.respond(ResponseHead::new(200, "text/plain"), body);
        Box::new(|| {})
    }

    fn reject(&self, _: RejectReason, _: &Request) -> (ResponseHead, Vec<u8>) {
        (ResponseHead::new(503, "text/plain"), Vec::new())
    }
}

fn wait_until(condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

#[test]
fn a_connection_is_open_until_its_caller_has_read_the_answer_and_an_idle_one_is_closed_at_once() {
    let config = HttpServerConfig::with_default_limits("127.0.0.1:0");
    let server = HttpServer::start(config, Arc::new(LongAnswers)).expect("starts");
    let _idle = TcpStream::connect(server.address()).expect("connects");
    let mut slow = TcpStream::connect(server.address()).expect("connects");
    slow.set_read_timeout(Some(TIMEOUT)).expect("set");
    let request = b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n";
    slow.write_all(request).expect("sent");
    let mut first = [0; 12];
    slow.read_exact(&mut first).expect("an answer begins");
    assert_eq!(&first, b"HTTP/1.1 200");
    assert!(wait_until(|| server.open_connections() == 2));
    server.stop_accepting();
    assert!(wait_until(|| server.open_connections() == 1));
    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).expect("the whole answer");
    assert!(rest.len() > ANSWER_BYTES);
    assert!(wait_until(|| server.open_connections() == 0));
}
