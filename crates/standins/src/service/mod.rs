//! Stand-in of a plain service that records every execution.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use web::answer::Responder;
use web::problem::Problem;
use web::request::Request;
use web::server::Server;

use crate::switches::Answer;
use crate::switches::Faults;
use crate::switches::Switches;

/// How long a lost answer keeps its caller waiting.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(120);

/// One execution, as recorded by the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// `Idempotency-Key` of the call, empty when there was none.
    pub key: String,
    /// Fencing number of the call, 0 when there was none.
    pub fence: u64,
    /// Body of the call.
    pub body: String,
}

/// Answer to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of the execution, from 1.
    pub execution: usize,
    /// Body of the call.
    pub echo: String,
}

#[derive(Default)]
struct Fake {
    checks_fence: bool,
    record: Mutex<Record>,
    switches: Switches,
    /// Calls that arrived, executed or not.
    arrived: AtomicU64,
}

#[derive(Default)]
struct Record {
    highest_fence: u64,
    executions: Vec<Execution>,
}

/// Starts the stand-in. With `checks_fence` it refuses a call whose fencing
/// number is older than the newest it has seen.
pub fn start(address: &str, checks_fence: bool) -> Result<Server, web::Error> {
    let fake = Fake { checks_fence, ..Fake::default() };
    let handler = move |request: Request, responder: Responder| fake.serve(&request, responder);
    Server::start(address, crate::limits(), Arc::new(handler))
}

impl Fake {
    fn serve(&self, request: &Request, responder: Responder) {
        let _ = match request.path.as_str() {
            "/fake/switches" => self.switch(request, responder),
            "/fake/arrived" => responder.send_json(200, &self.arrived.load(Ordering::Relaxed)),
            "/fake/record" => responder.send_json(200, &self.record().executions),
            _ => self.call(request, responder),
        };
    }

    fn switch(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
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
        self.arrived.fetch_add(1, Ordering::Relaxed);
        self.switches.hold();
        if self.switches.faults().down {
            let problem = Problem::not_run(503, "down", "switched off by a test");
            return responder.send_problem(&problem);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.switches.crash_if_told(&body);
        let Some(receipt) = self.execute(request, body) else {
            let problem = Problem::not_run(409, "old fence", "a newer holder has called");
            return responder.send_problem(&problem);
        };
        if self.switches.take_answer() == Answer::Lose {
            thread::sleep(LOST_ANSWER_WAIT);
            return Ok(());
        }
        responder.send_json(200, &receipt)
    }

    /// Records an execution; `None` when its fencing number is old.
    fn execute(&self, request: &Request, body: String) -> Option<Receipt> {
        let field = |name: &str| request.field(name).unwrap_or_default().to_owned();
        let fence = field("lentilhook-fence").parse().unwrap_or(0);
        let mut record = self.record();
        if self.checks_fence && fence < record.highest_fence {
            return None;
        }
        record.highest_fence = record.highest_fence.max(fence);
        record.executions.push(Execution {
            method: request.method.clone(),
            path: request.path.clone(),
            key: field("idempotency-key"),
            fence,
            body: body.clone(),
        });
        Some(Receipt { execution: record.executions.len(), echo: body })
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
