//! Serves the requests of one connection.

use std::io;
use std::io::Write;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::closing;
use crate::closing::Received;
use crate::ending::Ending;
use crate::problem::Problem;
use crate::server::BUSY_RETRY_S;
use crate::server::Phase;
use crate::server::Shared;
use crate::server::respond;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Serves requests until the caller or the server closes the connection.
pub(crate) async fn serve(
    socket: TcpStream,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
) {
    let limits = shared.limits;
    let socket_ref = SockRef::from(&socket);
    let _ = socket_ref.set_tcp_nodelay(true);
    let _ = socket_ref.set_tcp_user_timeout(Some(limits.write_timeout));
    let ending = Arc::<Ending>::default();
    let service_ending = Arc::clone(&ending);
    let service =
        service_fn(move |raw| respond(raw, Arc::clone(&service_ending), Arc::clone(&shared)));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Socket::new(socket, Arc::clone(&ending))), service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = stopped(&mut phase) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let parts = connection.into_parts();
    let Socket { socket, .. } = parts.io.into_inner();
    if ending.must_reset() {
        return closing::reset(socket, limits.write_timeout).await;
    }
    let is_stopped = *phase.borrow() == Phase::Stopped;
    if is_stopped && ended.is_ok() {
        // A request that arrived while the connection was idle has not been read.
        let has_request =
            !parts.read_buf.is_empty() || closing::discard(&socket) == Received::Bytes;
        if has_request {
            send_rejection(&socket, &draining());
        }
    }
    closing::close(socket, limits.write_timeout).await;
}

async fn stopped(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|it| *it == Phase::Stopped).await;
}

/// Rejects the request on a connection that is not served, if the socket accepts the bytes
/// without blocking.
pub(crate) fn send_rejection(socket: &TcpStream, problem: &Problem) {
    let body = serde_json::to_string(problem).unwrap_or_default();
    let length = body.len();
    let retry_after_s = problem.retry_after_s.unwrap_or(BUSY_RETRY_S);
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\
         Retry-After: {retry_after_s}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    // The runtime does not know yet whether a new socket is writable.
    let _ = (&*SockRef::from(socket)).write(format!("{head}{body}").as_bytes());
}

fn draining() -> Problem {
    let detail = "this daemon is shutting down; call again, the balancer picks another one";
    Problem::not_run(503, "draining", detail).retry_after(BUSY_RETRY_S)
}

/// A socket that stays open when `hyper` shuts it down, so that [`closing::close`] can wait for
/// the caller.
struct Socket {
    socket: TcpStream,
    ending: Arc<Ending>,
    /// Whether the kernel resets the connection when the socket is closed, also if the process
    /// is killed.
    is_reset_on_close: bool,
}

impl Socket {
    fn new(socket: TcpStream, ending: Arc<Ending>) -> Socket {
        Socket { socket, ending, is_reset_on_close: false }
    }

    /// Makes the kernel reset the connection instead of closing it while the response would look
    /// complete otherwise.
    fn update_reset(&mut self) {
        let must_reset = self.ending.must_reset();
        if must_reset != self.is_reset_on_close {
            let linger = must_reset.then_some(Duration::ZERO);
            if SockRef::from(&self.socket).set_linger(linger).is_ok() {
                self.is_reset_on_close = must_reset;
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(cx))?;
        self.ending.record_flush();
        self.update_reset();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        Pin::new(&mut self.socket).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
