//! Sending and receiving envelopes over `nng` push and pull sockets.

use crate::connection_monitor::ConnectionMonitor;
use crate::errors::PeerError;
use crate::message::{Envelope, ATTRIBUTES_VERSION, PROTOCOL_VERSION};
use crate::peer_versions::{EncodedVersions, PeerVersions};
use crate::version6;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{PipeEvent, Protocol, Socket};
use silversail_model::NodeName;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum message size, in bytes; a snapshot is sent as one message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Messages buffered for a slow or unreachable peer; further messages are dropped.
const SEND_BUFFER_MESSAGES: i32 = 256;
/// Initial delay between connection attempts.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between connection attempts.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Time for which a replaced connection may still send its buffered messages.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of passing a message to the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// Queued for sending; the message may still be lost.
    Queued {
        /// Encoded size of the message, in bytes.
        bytes: usize,
    },
    /// Dropped, because the send buffer is full or no connection can be opened.
    Dropped,
    /// No address of the peer is known.
    UnknownPeer,
}

/// Sends messages to other nodes. Any message may be lost, delayed or duplicated.
pub trait Transport {
    /// Sends a message to a node without blocking.
    fn send(&mut self, to: &NodeName, envelope: &Envelope) -> SendResult;

    /// Sends a message to an address whose node is unknown, without blocking.
    fn send_to_address(&mut self, _address: &str, _envelope: &Envelope) -> SendResult {
        SendResult::UnknownPeer
    }

    /// Sets the address of a node.
    fn set_address(&mut self, _node: &NodeName, _address: &str) {}

    /// Closes the connection to a node that stopped responding; the next send opens a new one.
    fn reconnect(&mut self, _node: &NodeName) {}

    /// Records that a message from process `incarnation` of a node was received, in the encoding of
    /// `version`.
    fn record_message(&mut self, _node: &NodeName, _incarnation: u64, _version: u8) {}

    /// Whether a node is known to speak an earlier message version than this build.
    fn speaks_earlier_version(&self, _node: &NodeName) -> bool {
        false
    }
}

/// Encodes an envelope in the version of this build.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    postcard::to_stdvec(envelope).expect("encoding into memory does not fail")
}

/// Decodes an envelope.
///
/// # Errors
/// [`PeerError::UnknownVersion`] if the bytes are of a protocol version that this build can't read,
/// [`PeerError::Malformed`] if they are not an envelope of theirs, and [`PeerError::WrongCluster`] if
/// the sender belongs to another cluster than `cluster`.
pub fn decode(bytes: &[u8], cluster: &str) -> Result<Envelope, PeerError> {
    let envelope = match bytes.first() {
        Some(&(PROTOCOL_VERSION..=ATTRIBUTES_VERSION)) => decode_current(bytes)?,
        Some(&version6::VERSION) => version6::decode(bytes)?,
        Some(version) => return Err(PeerError::UnknownVersion(*version)),
        None => return Err(PeerError::Malformed),
    };
    if envelope.cluster != cluster {
        return Err(PeerError::WrongCluster(envelope.cluster));
    }
    Ok(envelope)
}

fn decode_current(bytes: &[u8]) -> Result<Envelope, PeerError> {
    let (envelope, rest) = postcard::take_from_bytes(bytes).map_err(|_| PeerError::Malformed)?;
    match rest {
        [] => Ok(envelope),
        _ => Err(PeerError::Malformed),
    }
}

/// Encodes an envelope in each of `versions` that has a form of it, the version of this build first.
fn encode_in(envelope: &Envelope, versions: EncodedVersions) -> Vec<Vec<u8>> {
    match versions {
        EncodedVersions::Current => vec![encode(envelope)],
        EncodedVersions::Version6 => version6::encode(envelope).into_iter().collect(),
        EncodedVersions::Both => {
            let current = encode(envelope);
            [Some(current), version6::encode(envelope)]
                .into_iter()
                .flatten()
                .collect()
        }
    }
}

/// A socket for one peer address, and whether its connection is established.
struct Connection {
    socket: Socket,
    is_connected: Arc<AtomicBool>,
}

/// Transport over TCP with `nng` push and pull sockets.
pub struct NngTransport {
    addresses: BTreeMap<NodeName, String>,
    versions: PeerVersions,
    connections: BTreeMap<String, Connection>,
    monitors: BTreeMap<String, ConnectionMonitor>,
    /// Replaced connections that still send their buffered messages, with the time of the
    /// replacement.
    draining: VecDeque<(Instant, Socket)>,
}

impl NngTransport {
    /// Listens on `listen_address` and connects to `peers`. `receive` is called on
    /// a transport thread with each message or decoding error and its size in bytes.
    ///
    /// # Errors
    /// [`PeerError`] if the address can't be bound or a socket can't be created.
    pub fn start(
        listen_address: &str,
        peers: &BTreeMap<NodeName, String>,
        cluster: &str,
        receive: impl Fn(Result<Envelope, PeerError>, usize) + Send + 'static,
    ) -> Result<Self, PeerError> {
        listen(listen_address, cluster.to_owned(), receive)?;
        let mut transport = Self {
            addresses: peers.clone(),
            versions: PeerVersions::default(),
            connections: BTreeMap::new(),
            monitors: BTreeMap::new(),
            draining: VecDeque::new(),
        };
        for address in peers.values() {
            let connection = dial(address)?;
            transport.add_connection(address, connection, Instant::now());
        }
        Ok(transport)
    }

    fn add_connection(&mut self, address: &str, connection: Connection, now: Instant) {
        self.connections.insert(address.to_owned(), connection);
        let monitor = self.monitors.entry(address.to_owned()).or_default();
        monitor.record_dial(now);
    }

    fn socket(&mut self, address: &str, now: Instant) -> Option<&Socket> {
        if !self.connections.contains_key(address) {
            match dial(address) {
                Ok(connection) => self.add_connection(address, connection, now),
                Err(error) => {
                    log::warn!(event = "peer_dial_failed", address = address; "{error}");
                }
            }
        }
        let connection = self.connections.get(address);
        connection.map(|connection| &connection.socket)
    }

    fn send_in(
        &mut self,
        address: &str,
        envelope: &Envelope,
        versions: EncodedVersions,
    ) -> SendResult {
        let now = Instant::now();
        let Some(socket) = self.socket(address, now) else {
            return SendResult::Dropped;
        };
        let mut result = SendResult::Dropped;
        let mut bytes = 0;
        for encoded in encode_in(envelope, versions) {
            if socket.try_send(&encoded[..]).is_ok() {
                bytes += encoded.len();
                result = SendResult::Queued { bytes };
            }
        }
        if let Some(monitor) = self.monitors.get_mut(address) {
            monitor.record_send(now);
        }
        result
    }

    fn is_connected(&self, address: &str) -> bool {
        let connection = self.connections.get(address);
        connection.is_some_and(|connection| connection.is_connected.load(Ordering::Relaxed))
    }

    fn replace_if_connect_overdue(&mut self, address: &str) {
        let now = Instant::now();
        let is_connected = self.is_connected(address);
        let monitor = self.monitors.get(address);
        if monitor.is_some_and(|monitor| monitor.is_connect_overdue(is_connected, now)) {
            self.drain_connection(address, now);
        }
    }

    /// Replaces a connection. Its buffered messages may still be sent until the drain timeout.
    fn drain_connection(&mut self, address: &str, now: Instant) {
        let is_expired = |since: &Instant| now.saturating_duration_since(*since) >= DRAIN_TIMEOUT;
        while self
            .draining
            .front()
            .is_some_and(|(since, _)| is_expired(since))
        {
            self.draining.pop_front();
        }
        if let Some(connection) = self.connections.remove(address) {
            self.draining.push_back((now, connection.socket));
        }
    }
}

impl Transport for NngTransport {
    fn send(&mut self, to: &NodeName, envelope: &Envelope) -> SendResult {
        let versions = self.versions.for_node(to);
        match self.addresses.get(to).cloned() {
            Some(address) => self.send_in(&address, envelope, versions),
            None => SendResult::UnknownPeer,
        }
    }

    fn send_to_address(&mut self, address: &str, envelope: &Envelope) -> SendResult {
        self.send_in(address, envelope, EncodedVersions::Both)
    }

    fn set_address(&mut self, node: &NodeName, address: &str) {
        let previous = self.addresses.insert(node.clone(), address.to_owned());
        if let Some(previous) = previous.filter(|previous| previous != address) {
            self.connections.remove(&previous);
            self.monitors.remove(&previous);
        }
        // The node is reachable, so an attempt begun while it was down would only delay the
        // connection.
        self.replace_if_connect_overdue(address);
    }

    fn reconnect(&mut self, node: &NodeName) {
        if let Some(address) = self.addresses.get(node) {
            self.connections.remove(address);
        }
    }

    fn speaks_earlier_version(&self, node: &NodeName) -> bool {
        self.versions.is_earlier(node)
    }

    fn record_message(&mut self, node: &NodeName, incarnation: u64, version: u8) {
        if self.versions.record(node, incarnation, version) {
            log::info!(event = "peer_version", node = node.as_str(), version = version; "message version of a peer");
        }
        let Some(address) = self.addresses.get(node).cloned() else {
            return;
        };
        let now = Instant::now();
        let is_connected = self.is_connected(&address);
        let monitor = self.monitors.entry(address.clone()).or_default();
        if monitor.record_message(incarnation, is_connected, now) {
            log::debug!(event = "peer_back", node = node.as_str(), is_up = is_connected; "replacing the connection to a peer that is reachable again");
            self.drain_connection(&address, now);
        }
    }
}

fn listen(
    address: &str,
    cluster: String,
    receive: impl Fn(Result<Envelope, PeerError>, usize) + Send + 'static,
) -> Result<(), PeerError> {
    let listen_error = |source| PeerError::Listen {
        address: address.to_owned(),
        source,
    };
    let socket = Socket::new(Protocol::Pull0).map_err(listen_error)?;
    socket
        .set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)
        .map_err(listen_error)?;
    socket
        .listen(&format!("tcp://{address}"))
        .map_err(listen_error)?;
    let receive_loop = move || loop {
        match socket.recv() {
            Ok(message) => receive(decode(&message, &cluster), message.len()),
            Err(nng::Error::Closed) => return,
            Err(error) => log::warn!(event = "peer_receive_failed"; "{error}"),
        }
    };
    thread::Builder::new()
        .name("peer-receive".into())
        .spawn(receive_loop)
        .expect("a thread can be started at process start");
    Ok(())
}

fn dial(address: &str) -> Result<Connection, PeerError> {
    let connect_error = |source| PeerError::Connect {
        address: address.to_owned(),
        source,
    };
    let socket = Socket::new(Protocol::Push0).map_err(connect_error)?;
    socket
        .set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)
        .map_err(connect_error)?;
    socket
        .set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))
        .map_err(connect_error)?;
    socket
        .set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))
        .map_err(connect_error)?;
    let is_connected = Arc::new(AtomicBool::new(false));
    let connected_flag = is_connected.clone();
    socket
        .pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => connected_flag.store(true, Ordering::Relaxed),
            PipeEvent::RemovePost => connected_flag.store(false, Ordering::Relaxed),
            _ => {}
        })
        .map_err(connect_error)?;
    socket
        .dial_async(&format!("tcp://{address}"))
        .map_err(connect_error)?;
    Ok(Connection {
        socket,
        is_connected,
    })
}
