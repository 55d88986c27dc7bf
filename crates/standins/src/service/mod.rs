//! Fake of a plain service that records every execution.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use web::problem::Problem;
use web::request::Request;
use web::response::Responder;
use web::server::Server;

use crate::switches::Delivery;
use crate::switches::Faults;
use crate::switches::Switches;

/// How long a caller waits for an answer that is lost.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(120);

/// Executed call, as recorded by the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// HTTP method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Value of the `Idempotency-Key` header, empty if absent.
    pub key: String,
    /// Fencing token of the call, 0 if absent.
    pub fence: u64,
    /// Body of the call.
    pub body: String,
}

/// Answer to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of the execution, starting at 1.
    pub execution: usize,
    /// Body of the call.
    pub echo: String,
}

#[derive(Default)]
struct Fake {
    checks_fence: bool,
    record: Mutex<Record>,
    switches: Switches,
    /// Number of calls received, executed or not.
    received: AtomicU64,
}

#[derive(Default)]
struct Record {
    highest_fence: u64,
    executions: Vec<Execution>,
}

/// Starts the fake. With `checks_fence`, it rejects calls whose fencing token is
/// lower than the highest one received.
pub fn start(address: &str, checks_fence: bool) -> Result<Server, web::Error> {
    let fake = Fake { checks_fence, ..Fake::default() };
    let handler = move |request: Request, responder: Responder| fake.serve(&request, responder);
    Server::start(address, crate::limits(), Arc::new(handler))
}

impl Fake {
    fn serve(&self, request: &Request, responder: Responder) {
        let _ = match request.path.as_str() {
            "/fake/switches" => self.set_switches(request, responder),
            "/fake/arrived" => responder.send_json(200, &self.received.load(Ordering::Relaxed)),
            "/fake/record" => responder.send_json(200, &self.record().executions),
            _ => self.call(request, responder),
        };
    }

    fn set_switches(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        match serde_json::from_slice::<Faults>(&request.body) {
            Ok(faults) => {
                self.switches.set(faults);
                responder.send_json(200, &())
            }
            Err(error) => {
                let problem = Problem::not_run(400, "bad switches", error.to_string());
                responder.send_problem(&problem)
            }
        }
    }

    fn call(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.switches.delay();
        if self.switches.faults().down {
            let problem = Problem::not_run(503, "down", "switched off by a test");
            return responder.send_problem(&problem);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.switches.crash_on_match(&body);
        let Some(receipt) = self.execute(request, body) else {
            let problem = Problem::not_run(409, "old fence", "a newer holder has called");
            return responder.send_problem(&problem);
        };
        if self.switches.next_delivery() == Delivery::Lose {
            thread::sleep(LOST_ANSWER_WAIT);
            return Ok(());
        }
        match self.switches.faults().fail_status {
            0 => responder.send_json(200, &receipt),
            status => responder.send_typed(status, "text/plain", b"the table did not answer"),
        }
    }

    /// Executes a call and records it. Returns `None` if the fencing token is outdated.
    fn execute(&self, request: &Request, body: String) -> Option<Receipt> {
        let header = |name: &str| request.field(name).unwrap_or_default().to_owned();
        let fence = header("lentilhook-fence").parse().unwrap_or(0);
        let mut record = self.record();
        if self.checks_fence && fence < record.highest_fence {
            return None;
        }
        record.highest_fence = record.highest_fence.max(fence);
        record.executions.push(Execution {
            method: request.method.clone(),
            path: request.path.clone(),
            key: header("idempotency-key"),
            fence,
            body: body.clone(),
        });
        Some(Receipt { execution: record.executions.len(), echo: body })
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
