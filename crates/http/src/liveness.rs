//! How this process notices connections whose other end fell silent: machines without power,
//! behind a cut, or whose connections are dropped on the way without a reset.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Rest of a connection after which the other end is probed: connections that serve a request
/// each few seconds are hardly ever probed.
pub const PROBED_AFTER: Duration = Duration::from_secs(2);
/// Between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection ends, where the time for unacknowledged
/// bytes does not decide: on Linux that time, once it is set, overrides this number.
pub const PROBES: u32 = 2;

/// Ends a connection whose bytes are not acknowledged for `unacknowledged`, or which rests and
/// does not answer probes.
///
/// # Errors
/// What the system tells of the socket.
pub fn watch(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new()
        .with_time(PROBED_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probing)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}
