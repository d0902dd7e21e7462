//! TCP keepalive and user timeout, which detect peers that disappear without closing their
//! connections, such as after a power failure or a network partition.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time after which the peer is probed.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes that close a connection. On Linux the user timeout, which
/// [`detect_dead_peer`] sets, overrides this number.
pub const KEEPALIVE_RETRIES: u32 = 2;

/// Configures a connection to be closed if sent bytes or probes are not acknowledged within
/// `unacknowledged_timeout`.
///
/// # Errors
///
/// If a socket option cannot be set.
pub fn detect_dead_peer(stream: &TcpStream, unacknowledged_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))
}
