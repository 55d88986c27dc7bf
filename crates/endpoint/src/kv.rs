//! Transfer of the KV cache of a stream from one engine to another.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use snafu::Snafu;

use crate::agent;

/// Stack size of a transfer's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Maximum size of a KV cache, in bytes of its JSON form.
const LIMIT_BYTES: u64 = 256 << 20;

/// A transfer of a KV cache.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Identifier that the exporting engine uses for the request.
    pub request_id: String,
    /// Address of the exporting engine.
    pub from: String,
    /// Address of the importing engine.
    pub to: String,
    /// Timeout for the response of each engine.
    pub timeout: Duration,
}

/// An error that prevented a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The exporting engine failed to export the KV cache.
    #[snafu(display("{address} did not export ({detail}); resume from tokens"))]
    Export {
        /// Address of the engine.
        address: String,
        /// Cause of the error.
        detail: String,
    },
    /// The importing engine failed to import the KV cache.
    #[snafu(display("{address} did not import ({detail}); resume from tokens"))]
    Import {
        /// Address of the engine.
        address: String,
        /// Cause of the error.
        detail: String,
    },
    /// No thread could be started.
    #[snafu(display("no thread could be started; raise the process limit"))]
    Thread,
}

/// Receives the result with the duration of the transfer. It is called on the transfer's thread.
pub type Sink = Arc<dyn Fn(Result<Duration, Error>) + Send + Sync>;

/// Starts a transfer on a dedicated thread.
pub fn start(transfer: Transfer, sink: Sink) {
    let failure_sink = sink.clone();
    let run = move || {
        let started = Instant::now();
        let result = run_transfer(&transfer);
        sink(result.map(|()| started.elapsed()));
    };
    if thread::Builder::new().stack_size(STACK_BYTES).spawn(run).is_err() {
        failure_sink(Err(Error::Thread));
    }
}

fn run_transfer(transfer: &Transfer) -> Result<(), Error> {
    let agent = agent::single_use(transfer.timeout);
    let url = format!("http://{}/v1/kv/export?request={}", transfer.from, transfer.request_id);
    let exported = agent.post(url).send_empty().map_err(|it| it.to_string());
    let kv = exported.and_then(body).map_err(|detail| {
        let address = transfer.from.clone();
        Error::Export { address, detail }
    })?;
    let url = format!("http://{}/v1/kv/import", transfer.to);
    let result = agent.post(url).content_type("application/json").send(kv.as_slice());
    let imported = result.map_err(|it| it.to_string()).and_then(body);
    imported.map(|_| ()).map_err(|detail| {
        let address = transfer.to.clone();
        Error::Import { address, detail }
    })
}

fn body(mut response: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, String> {
    let status = response.status().as_u16();
    if status != 200 {
        return Err(format!("status {status}"));
    }
    let result = response.body_mut().with_config().limit(LIMIT_BYTES).read_to_vec();
    result.map_err(|it| it.to_string())
}
