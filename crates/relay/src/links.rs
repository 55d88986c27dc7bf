//! Connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use platform::exchange::configure_socket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

/// Longest time to connect; endpoints answer within some milliseconds, and a
/// lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence after which an endpoint's connection counts as dead.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Idle time after which a connection is not used again, where the endpoint
/// does not state how long it keeps it.
const KEPT: Duration = Duration::from_millis(1_000);
/// Part of the time that an endpoint states; the rest covers clocks and links.
const KEPT_PART: f64 = 0.5;
/// Most idle connections to one endpoint.
const IDLE_LIMIT: usize = 8;

/// A connection to an endpoint. Closed when dropped.
#[derive(Debug)]
pub struct Link {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub is_used: bool,
    _task: Task,
}

/// Ends the task that drives a connection.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Instant,
}

/// Idle connections of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Links {
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
}

impl Links {
    /// A connection to the endpoint: the one that was used last, or a new one.
    pub async fn open(&self, id: &str, address: SocketAddr) -> Result<Link, String> {
        if let Some(link) = self.take(id) {
            return Ok(link);
        }
        connect(address).await
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, id: &str, link: Link, stated: Option<Duration>) {
        let kept = stated.map_or(KEPT, |it| it.mul_f64(KEPT_PART).min(KEPT * 4));
        if kept.is_zero() || link.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let here = idle.entry(id.to_owned()).or_default();
        if here.len() < IDLE_LIMIT {
            here.push(Idle { link, until: Instant::now() + kept });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for here in idle.values_mut() {
            here.retain(|it| now < it.until && !it.link.sender.is_closed());
        }
        idle.retain(|_, here| !here.is_empty());
    }

    fn take(&self, id: &str) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let here = idle.get_mut(id)?;
        while let Some(Idle { mut link, until }) = here.pop() {
            if now < until && link.sender.is_ready() {
                link.is_used = true;
                return Some(link);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> Result<Link, String> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("no connection within the timeout".to_owned()),
    };
    configure_socket(&stream, SILENCE);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|it| it.to_string())?;
    let task = spawn_local(async move {
        // Its failure is seen by the request that waits for the answer.
        let _ = connection.await;
    });
    Ok(Link { sender, is_used: false, _task: Task(task.abort_handle()) })
}
