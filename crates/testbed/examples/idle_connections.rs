//! Compares how `tiny_http` and the HTTP server for callers answer a new request while
//! idle connections are open:
//! `cargo run --release -p silversail-testbed --example idle_connections`.

use silversail_http::{
    Handler, HttpServer, HttpServerConfig, RejectReason, Request, Responder, ResponseHead,
};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of requests for each number of idle connections.
const TRIALS: usize = 15;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

struct Hello;

impl Handler for Hello {
    fn handle(&self, _request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        responder.respond(ResponseHead::new(200, "text/plain"), b"hello".to_vec());
        Box::new(|| {})
    }

    fn reject(&self, _reason: RejectReason, _head: &Request) -> (ResponseHead, Vec<u8>) {
        (ResponseHead::new(503, "text/plain"), Vec::new())
    }
}

fn tiny_http_server() -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("bound");
    let address = server.server_addr().to_ip().expect("an IP address");
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let _ = request.respond(tiny_http::Response::from_string("hello"));
        }
    });
    address
}

fn main() {
    println!(
        "| server | idle connections | trials | not answered within 3 s | slowest answer ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for idle in [60, 200, 400] {
        measure("tiny_http", idle, tiny_http_server);
        let servers = std::cell::RefCell::new(Vec::new());
        measure("callers' server", idle, || {
            let config = HttpServerConfig::with_default_limits("127.0.0.1:0");
            let server = HttpServer::start(config, Arc::new(Hello)).expect("started");
            let address = server.address();
            servers.borrow_mut().push(server);
            address
        });
    }
}

fn measure(name: &str, idle: usize, start: impl Fn() -> SocketAddr) {
    let mut unanswered = 0;
    let mut slowest = Duration::ZERO;
    for _ in 0..TRIALS {
        let address = start();
        let connections: Vec<TcpStream> = (0..idle)
            .filter_map(|_| TcpStream::connect(address).ok())
            .collect();
        assert_eq!(connections.len(), idle);
        let started = Instant::now();
        let answer = ureq::get(&format!("http://{address}/"))
            .timeout(REQUEST_TIMEOUT)
            .call();
        match answer {
            Ok(_) => slowest = slowest.max(started.elapsed()),
            Err(_) => unanswered += 1,
        }
    }
    println!(
        "| {name} | {idle} | {TRIALS} | {unanswered} | {} |",
        slowest.as_millis()
    );
}
