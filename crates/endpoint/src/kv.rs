//! Moving the KV cache of a stream from one engine to another.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use snafu::Snafu;

use crate::agent;

/// Stack of a move's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Largest KV cache, in bytes of its JSON form.
const LIMIT_BYTES: u64 = 256 << 20;

/// A move.
#[derive(Clone, Debug)]
pub struct Order {
    /// Request whose KV cache is moved, as the exporting engine knows it.
    pub request: String,
    /// Address of the exporting engine.
    pub from: String,
    /// Address of the importing engine.
    pub to: String,
    /// Longest time to take.
    pub timeout: Duration,
}

/// Why a KV cache was not moved.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The exporting engine did not give it.
    #[snafu(display("{address} did not export ({detail}); resume from tokens"))]
    Export {
        /// Engine.
        address: String,
        /// Cause.
        detail: String,
    },
    /// The importing engine did not take it.
    #[snafu(display("{address} did not import ({detail}); resume from tokens"))]
    Import {
        /// Engine.
        address: String,
        /// Cause.
        detail: String,
    },
    /// No thread could be started.
    #[snafu(display("no thread could be started; raise the process limit"))]
    Thread,
}

/// Takes the result, with the time that the move took; called on its thread.
pub type Sink = Arc<dyn Fn(Result<Duration, Error>) + Send + Sync>;

/// Starts a move on a thread of its own.
pub fn start(order: Order, sink: Sink) {
    let failed = sink.clone();
    let run = move || {
        let started = Instant::now();
        let moved = transfer(&order);
        sink(moved.map(|()| started.elapsed()));
    };
    if thread::Builder::new().stack_size(STACK_BYTES).spawn(run).is_err() {
        failed(Err(Error::Thread));
    }
}

fn transfer(order: &Order) -> Result<(), Error> {
    let agent = agent::single_use(order.timeout);
    let url = format!("http://{}/v1/kv/export?request={}", order.from, order.request);
    let exported = agent.post(url).send_empty().map_err(|it| it.to_string());
    let kv = exported.and_then(body).map_err(|detail| {
        let address = order.from.clone();
        Error::Export { address, detail }
    })?;
    let url = format!("http://{}/v1/kv/import", order.to);
    let sent = agent.post(url).content_type("application/json").send(kv.as_slice());
    let imported = sent.map_err(|it| it.to_string()).and_then(body);
    imported.map(|_| ()).map_err(|detail| {
        let address = order.to.clone();
        Error::Import { address, detail }
    })
}

fn body(mut response: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, String> {
    let status = response.status().as_u16();
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let read = response.body_mut().with_config().limit(LIMIT_BYTES).read_to_vec();
    read.map_err(|it| it.to_string())
}
