//! A fault-injecting TCP proxy between any two parties.

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

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Added to each piece of data, each way.
    pub delay: Duration,
    /// Data to the server is held back in silence and released when this ends.
    pub hold_to_server: bool,
    /// Data to the client is held back in silence and released when this ends.
    pub hold_to_client: bool,
    /// Open connections are closed and new ones refused.
    pub refuse_connections: bool,
    /// Connections are closed after so many bytes to the client.
    pub close_after_bytes: Option<u64>,
}

impl LinkFault {
    /// Nothing passes either way, in silence.
    pub fn black_hole() -> Self {
        Self {
            hold_to_server: true,
            hold_to_client: true,
            ..Self::default()
        }
    }
}

/// A proxy of one address.
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
        let (fault, seen) = watch::channel(LinkFault::default());
        let connections = Arc::new(AtomicU64::new(0));
        runtime.spawn(accept(listener, target, seen, connections.clone()));
        Ok(Self {
            address,
            fault,
            connections,
        })
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Changes what is wrong with the link, open connections included.
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
    let to_server = copy(client_read, server_write, fault.clone(), Way::ToServer);
    let to_client = copy(server_read, client_write, fault.clone(), Way::ToClient);
    let mut cut = fault;
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        _ = cut.wait_for(|fault| fault.refuse_connections) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut fault: watch::Receiver<LinkFault>,
    way: Way,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut passed: u64 = 0;
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let is_open = |fault: &LinkFault| match way {
            Way::ToServer => !fault.hold_to_server,
            Way::ToClient => !fault.hold_to_client,
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
            .filter(|_| way == Way::ToClient)
            .unwrap_or(u64::MAX);
        let allowed = (limit.saturating_sub(passed)).min(count as u64) as usize;
        if to.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        passed += allowed as u64;
        if passed >= limit {
            return;
        }
    }
    let _ = to.shutdown().await;
}
