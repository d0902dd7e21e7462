//! Sending and receiving envelopes over `nng` push and pull sockets.

use crate::connection_monitor::ConnectionMonitor;
use crate::errors::PeerError;
use crate::message::{Envelope, PROTOCOL_VERSION};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};
use silversail_model::NodeName;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Largest message, in bytes: a snapshot travels whole.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Messages kept for a peer that is slow or away; more are dropped.
const SEND_BUFFER_MESSAGES: i32 = 256;
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(300);
/// How long a connection that was given up may still send what it holds.
const RETIRED_FOR: Duration = Duration::from_secs(2);

/// What became of a message handed to the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// Handed over; it may still be lost.
    Queued {
        /// Its size in bytes, as encoded.
        bytes: usize,
    },
    /// The peer takes no messages now.
    Dropped,
    /// No such peer.
    UnknownPeer,
}

/// Sends messages to other nodes. Any message may be lost, late or repeated.
pub trait Transport {
    /// Sends without waiting.
    fn send(&mut self, to: &NodeName, envelope: &Envelope) -> SendResult;

    /// Sends without waiting to an address of which no node is known.
    fn send_to_address(&mut self, _address: &str, _envelope: &Envelope) -> SendResult {
        SendResult::UnknownPeer
    }

    /// Learns where a node is reached.
    fn set_address(&mut self, _node: &NodeName, _address: &str) {}

    /// Gives up the connection to a node that has gone silent, for a new one.
    fn reconnect(&mut self, _node: &NodeName) {}

    /// A message of a node's process came.
    fn record_message(&mut self, _node: &NodeName, _incarnation: u64) {}
}

/// Encodes an envelope.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(envelope).expect("encoding into memory does not fail")
}

/// Decodes an envelope of `cluster`; anything else is an error.
pub fn decode(bytes: &[u8], cluster: &str) -> Result<Envelope, PeerError> {
    if bytes.first() != Some(&PROTOCOL_VERSION) {
        return Err(PeerError::Malformed);
    }
    let (envelope, rest): (Envelope, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|_| PeerError::Malformed)?;
    if !rest.is_empty() {
        return Err(PeerError::Malformed);
    }
    if envelope.cluster != cluster {
        return Err(PeerError::WrongCluster(envelope.cluster));
    }
    Ok(envelope)
}

/// A connection to a peer, and whether it is up.
struct Connection {
    socket: Socket,
    is_up: Arc<AtomicBool>,
}

/// The transport of real processes.
pub struct NngTransport {
    addresses: BTreeMap<NodeName, String>,
    connections: BTreeMap<String, Connection>,
    monitors: BTreeMap<String, ConnectionMonitor>,
    /// Connections that were given up, until what they hold has left.
    retired: VecDeque<(Instant, Socket)>,
}

impl NngTransport {
    /// Listens on `listen_address` and dials `peers`; `receive` is called from
    /// a thread of the transport, with the message's size in bytes.
    pub fn start(
        listen_address: &str,
        peers: &BTreeMap<NodeName, String>,
        cluster: &str,
        receive: impl Fn(Result<Envelope, PeerError>, usize) + Send + 'static,
    ) -> Result<Self, PeerError> {
        listen(listen_address, cluster.to_owned(), receive)?;
        let mut transport = Self {
            addresses: peers.clone(),
            connections: BTreeMap::new(),
            monitors: BTreeMap::new(),
            retired: VecDeque::new(),
        };
        for address in peers.values() {
            let connection = dial(address)?;
            transport.take_connection(address, connection, Instant::now());
        }
        Ok(transport)
    }

    fn take_connection(&mut self, address: &str, connection: Connection, now: Instant) {
        self.connections.insert(address.to_owned(), connection);
        let monitor = self.monitors.entry(address.to_owned()).or_default();
        monitor.record_dial(now);
    }

    fn socket(&mut self, address: &str, now: Instant) -> Option<&Socket> {
        if !self.connections.contains_key(address) {
            match dial(address) {
                Ok(connection) => self.take_connection(address, connection, now),
                Err(error) => {
                    log::warn!(event = "peer_dial_failed", address = address; "{error}");
                }
            }
        }
        let connection = self.connections.get(address);
        connection.map(|connection| &connection.socket)
    }

    fn is_up(&self, address: &str) -> bool {
        let connection = self.connections.get(address);
        connection.is_some_and(|one| one.is_up.load(Ordering::Relaxed))
    }

    fn renew_if_hanging(&mut self, address: &str) {
        let now = Instant::now();
        let is_up = self.is_up(address);
        let monitor = self.monitors.get(address);
        if monitor.is_some_and(|monitor| monitor.is_connect_overdue(is_up, now)) {
            self.retire(address, now);
        }
    }

    /// Gives up a connection. Messages on their way may still leave for a while.
    fn retire(&mut self, address: &str, now: Instant) {
        let is_over = |since: &Instant| now.saturating_duration_since(*since) >= RETIRED_FOR;
        while self
            .retired
            .front()
            .is_some_and(|(since, _)| is_over(since))
        {
            self.retired.pop_front();
        }
        if let Some(connection) = self.connections.remove(address) {
            self.retired.push_back((now, connection.socket));
        }
    }
}

impl Transport for NngTransport {
    fn send(&mut self, to: &NodeName, envelope: &Envelope) -> SendResult {
        match self.addresses.get(to).cloned() {
            Some(address) => self.send_to_address(&address, envelope),
            None => SendResult::UnknownPeer,
        }
    }

    fn send_to_address(&mut self, address: &str, envelope: &Envelope) -> SendResult {
        let now = Instant::now();
        let Some(socket) = self.socket(address, now) else {
            return SendResult::Dropped;
        };
        let encoded = encode(envelope);
        let result = match socket.try_send(&encoded[..]) {
            Ok(()) => SendResult::Queued {
                bytes: encoded.len(),
            },
            Err(_) => SendResult::Dropped,
        };
        if let Some(monitor) = self.monitors.get_mut(address) {
            monitor.record_send(now);
        }
        result
    }

    fn set_address(&mut self, node: &NodeName, address: &str) {
        let former = self.addresses.insert(node.clone(), address.to_owned());
        if let Some(former) = former.filter(|former| former != address) {
            self.connections.remove(&former);
            self.monitors.remove(&former);
        }
        // It was heard: a connection begun while it was down would come up late.
        self.renew_if_hanging(address);
    }

    fn reconnect(&mut self, node: &NodeName) {
        if let Some(address) = self.addresses.get(node) {
            self.connections.remove(address);
        }
    }

    fn record_message(&mut self, node: &NodeName, incarnation: u64) {
        let Some(address) = self.addresses.get(node).cloned() else {
            return;
        };
        let now = Instant::now();
        let is_up = self.is_up(&address);
        let monitor = self.monitors.entry(address.clone()).or_default();
        if monitor.record_message(incarnation, is_up, now) {
            log::debug!(event = "peer_back", node = node.as_str(), is_up = is_up; "connection renewed");
            self.retire(&address, now);
        }
    }
}

fn listen(
    address: &str,
    cluster: String,
    receive: impl Fn(Result<Envelope, PeerError>, usize) + Send + 'static,
) -> Result<(), PeerError> {
    let error = |source| PeerError::Listen {
        address: address.to_owned(),
        source,
    };
    let socket = Socket::new(Protocol::Pull0).map_err(error)?;
    socket
        .set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)
        .map_err(error)?;
    socket.listen(&format!("tcp://{address}")).map_err(error)?;
    let receive_all = move || loop {
        match socket.recv() {
            Ok(message) => receive(decode(&message, &cluster), message.len()),
            Err(nng::Error::Closed) => return,
            Err(error) => log::warn!(event = "peer_receive_failed"; "{error}"),
        }
    };
    thread::Builder::new()
        .name("peer-receive".into())
        .spawn(receive_all)
        .expect("a thread can be started at process start");
    Ok(())
}

fn dial(address: &str) -> Result<Connection, PeerError> {
    let error = |source| PeerError::Connect {
        address: address.to_owned(),
        source,
    };
    let socket = Socket::new(Protocol::Push0).map_err(error)?;
    socket
        .set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)
        .map_err(error)?;
    socket
        .set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))
        .map_err(error)?;
    socket
        .set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))
        .map_err(error)?;
    let is_up = Arc::new(AtomicBool::new(false));
    let noted = is_up.clone();
    socket
        .pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => noted.store(true, Ordering::Relaxed),
            PipeEvent::RemovePost => noted.store(false, Ordering::Relaxed),
            _ => {}
        })
        .map_err(error)?;
    socket
        .dial_async(&format!("tcp://{address}"))
        .map_err(error)?;
    Ok(Connection { socket, is_up })
}
