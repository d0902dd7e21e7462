//! A TCP proxy that injects faults into the connections that it forwards.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

/// Faults that are injected into a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Delay of each read of data, in both directions.
    pub delay: Duration,
    /// Whether data to the server is held back until this is cleared.
    pub hold_to_server: bool,
    /// Whether data to the client is held back until this is cleared.
    pub hold_to_client: bool,
    /// Whether open connections are closed and new ones are closed at once.
    pub refuse_connections: bool,
    /// Number of bytes to the client after which a connection is closed.
    pub close_after_bytes: Option<u64>,
}

impl LinkFault {
    /// Holds back all data in both directions without closing connections.
    pub fn black_hole() -> Self {
        Self {
            hold_to_server: true,
            hold_to_client: true,
            ..Self::default()
        }
    }
}

/// A proxy in front of one server address.
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    connections: Arc<AtomicU64>,
}

impl FaultProxy {
    /// Listens on any port of the loopback address and forwards to `target`.
    pub fn start(runtime: &Runtime, target: SocketAddr) -> io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let (fault, fault_receiver) = watch::channel(LinkFault::default());
        let connections = Arc::new(AtomicU64::new(0));
        runtime.spawn(accept(
            listener,
            target,
            fault_receiver,
            connections.clone(),
        ));
        Ok(Self {
            address,
            fault,
            connections,
        })
    }

    /// Listen address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Sets the injected faults, which also apply to open connections.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
    connections: Arc<AtomicU64>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        connections.fetch_add(1, Ordering::Relaxed);
        if fault.borrow().refuse_connections {
            continue;
        }
        tokio::spawn(forward(client, target, fault.clone()));
    }
}

async fn forward(client: TcpStream, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = copy(
        client_read,
        server_write,
        fault.clone(),
        Direction::ToServer,
    );
    let to_client = copy(
        server_read,
        client_write,
        fault.clone(),
        Direction::ToClient,
    );
    let mut disconnected = fault;
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        _ = disconnected.wait_for(|fault| fault.refuse_connections) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut fault: watch::Receiver<LinkFault>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded: u64 = 0;
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let is_open = |fault: &LinkFault| match direction {
            Direction::ToServer => !fault.hold_to_server,
            Direction::ToClient => !fault.hold_to_client,
        };
        let current = match fault.wait_for(is_open).await {
            Ok(current) => *current,
            Err(_) => return,
        };
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        let limit = current
            .close_after_bytes
            .filter(|_| direction == Direction::ToClient)
            .unwrap_or(u64::MAX);
        let allowed = (limit.saturating_sub(forwarded)).min(count as u64) as usize;
        if to.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        forwarded += allowed as u64;
        if forwarded >= limit {
            return;
        }
    }
    let _ = to.shutdown().await;
}
