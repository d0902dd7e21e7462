//! Sending and receiving envelopes over `nng` push and pull sockets.

use crate::errors::PeerError;
use crate::message::{Envelope, PROTOCOL_VERSION};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use silversail_model::NodeName;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

/// Largest message, in bytes: a snapshot travels whole.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Messages kept for a peer that is slow or away; more are dropped.
const SEND_BUFFER_MESSAGES: i32 = 256;
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(300);

/// What became of a message handed to the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// Handed over; it may still be lost.
    Queued,
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
    fn learn(&mut self, _node: &NodeName, _address: &str) {}

    /// Gives up the connection to a node that has gone silent, for a new one.
    fn reconnect(&mut self, _node: &NodeName) {}
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
        return Err(PeerError::OtherCluster(envelope.cluster));
    }
    Ok(envelope)
}

/// The transport of real processes.
pub struct NngTransport {
    addresses: BTreeMap<NodeName, String>,
    sockets: BTreeMap<String, Socket>,
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
        let mut sockets = BTreeMap::new();
        for address in peers.values() {
            sockets.insert(address.clone(), dial(address)?);
        }
        Ok(Self {
            addresses: peers.clone(),
            sockets,
        })
    }

    fn socket(&mut self, address: &str) -> Option<&Socket> {
        if !self.sockets.contains_key(address) {
            match dial(address) {
                Ok(socket) => {
                    self.sockets.insert(address.to_owned(), socket);
                }
                Err(error) => {
                    log::warn!(event = "peer_dial_failed", address = address; "{error}");
                }
            }
        }
        self.sockets.get(address)
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
        let Some(socket) = self.socket(address) else {
            return SendResult::Dropped;
        };
        match socket.try_send(&encode(envelope)[..]) {
            Ok(()) => SendResult::Queued,
            Err(_) => SendResult::Dropped,
        }
    }

    fn learn(&mut self, node: &NodeName, address: &str) {
        let former = self.addresses.insert(node.clone(), address.to_owned());
        if let Some(former) = former.filter(|former| former != address) {
            self.sockets.remove(&former);
        }
    }

    fn reconnect(&mut self, node: &NodeName) {
        if let Some(address) = self.addresses.get(node) {
            self.sockets.remove(address);
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

fn dial(address: &str) -> Result<Socket, PeerError> {
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
    socket
        .dial_async(&format!("tcp://{address}"))
        .map_err(error)?;
    Ok(socket)
}
