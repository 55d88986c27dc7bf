//! Closes callers' connections without losing what was sent on them.

use std::io::ErrorKind;
use std::io::Read;
use std::os::fd::AsFd;
use std::time::Duration;

use nix::poll::PollFd;
use nix::poll::PollFlags;
use nix::poll::PollTimeout;
use nix::poll::poll;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time without bytes from the caller after which its connection is closed, although the caller
/// has not closed it.
const LINGER: Duration = Duration::from_millis(300);
/// Interval between two checks of a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 16 * 1024;
/// Requested size of the send buffer. The kernel uses its minimum instead.
const MIN_SEND_BUFFER: usize = 1;

/// What was read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Nothing now.
    Nothing,
    /// Some bytes, which were discarded.
    Bytes,
    /// The end of what the caller sends.
    End,
    /// The connection is broken.
    Broken,
}

/// Waits until the caller has received what was sent, then closes the connection.
///
/// Bytes from the caller are discarded until it closes its side or pauses: a connection that is
/// closed with unread bytes is reset, and a reset discards the end of the response. All this ends
/// after `time_limit`.
pub(crate) async fn close(socket: TcpStream, time_limit: Duration) {
    let deadline = Instant::now() + time_limit;
    if !deliver(&socket, deadline).await {
        return;
    }
    let _ = SockRef::from(&socket).shutdown(std::net::Shutdown::Write);
    let mut silent_since = Instant::now();
    while silent_since.elapsed() < LINGER && Instant::now() < deadline {
        match discard(&socket) {
            Received::Nothing => sleep(POLL_INTERVAL).await,
            Received::Bytes => {
                silent_since = Instant::now();
                tokio::task::yield_now().await;
            }
            Received::End | Received::Broken => return,
        }
    }
}

/// Waits until the caller has received what was sent, for at most `time_limit`, then resets the
/// connection.
pub(crate) async fn reset(socket: TcpStream, time_limit: Duration) {
    deliver(&socket, Instant::now() + time_limit).await;
    let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
}

/// Waits until the caller has received what was sent. Returns false if the connection is broken.
async fn deliver(socket: &TcpStream, deadline: Instant) -> bool {
    let _ = SockRef::from(socket).set_send_buffer_size(MIN_SEND_BUFFER);
    while !is_received(socket) && Instant::now() < deadline {
        if discard(socket) == Received::Broken {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

/// Reads and discards some bytes without waiting for them.
pub(crate) fn discard(socket: &TcpStream) -> Received {
    let mut bytes = [0; DISCARD_BYTES];
    match (&*SockRef::from(socket)).read(&mut bytes) {
        Ok(0) => Received::End,
        Ok(_) => Received::Bytes,
        Err(error) if error.kind() == ErrorKind::WouldBlock => Received::Nothing,
        Err(error) if error.kind() == ErrorKind::Interrupted => Received::Nothing,
        Err(_) => Received::Broken,
    }
}

/// Whether the caller's side has acknowledged nearly all bytes, or the connection is broken.
///
/// Requires a send buffer of minimum size: only then is a socket writable just when it is empty.
fn is_received(socket: &TcpStream) -> bool {
    let mut sockets = [PollFd::new(socket.as_fd(), PollFlags::POLLOUT)];
    poll(&mut sockets, PollTimeout::ZERO) != Ok(0)
}
