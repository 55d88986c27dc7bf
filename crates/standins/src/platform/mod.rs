//! Fake of the platform: table, object store, lagging VM list and reclaim notices.

mod spares;
mod vms;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use store::client::Stop;
use store::memory::Memory;
use store::objects::Objects;
use store::table::Table;
use store::table::Transaction;
use store::vm::Start;
use store::vm::Vm;
use web::problem::Problem;
use web::request::Request;
use web::response::Responder;
use web::server::Server;

use crate::switches::Delivery;
use crate::switches::Faults;
use crate::switches::Switches;

/// How long a caller waits for an answer that is lost.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(120);
/// Maximum number of rows returned by a scan.
const SCAN_LIMIT: usize = 10_000;

/// Number of calls since the fake was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Row reads, scans, and reads of the VM, offer and notice lists.
    pub reads: u64,
    /// Commits.
    pub commits: u64,
    /// Rows written by commits.
    pub rows_written: u64,
}

/// Order to reclaim VMs after a notice period.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reclaim {
    /// Identifiers of the VMs that receive a notice.
    pub vms: Vec<String>,
    /// Length of the notice period in milliseconds.
    pub notice_ms: u64,
}

#[derive(Default)]
struct Fake {
    memory: Memory,
    vms: vms::List,
    spares: spares::Spares,
    switches: Switches,
    reads: AtomicU64,
    commits: AtomicU64,
    rows_written: AtomicU64,
}

/// Starts the fake. `lag` is the delay after which changes appear in the VM list.
pub fn start(address: &str, lag: Duration) -> Result<Server, web::Error> {
    let fake = Arc::new(Fake { vms: vms::List::new(lag), ..Fake::default() });
    let handler = move |request: Request, responder: Responder| {
        if let Some(answer) = fake.serve(&request) {
            let _ = match answer {
                Ok(body) => responder.send_typed(200, "application/json", &body),
                Err(problem) => responder.send_problem(&problem),
            };
            return;
        }
        thread::sleep(LOST_ANSWER_WAIT);
    };
    Server::start(address, crate::limits(), Arc::new(handler))
}

impl Fake {
    /// Serves a call. Returns `None` if the answer is to be lost.
    fn serve(&self, request: &Request) -> Option<Result<Vec<u8>, Problem>> {
        if request.path.starts_with("/fake/") {
            return Some(self.serve_fake(request));
        }
        self.switches.delay();
        if self.switches.faults().down {
            return Some(Err(Problem::not_run(503, "down", "switched off by a test")));
        }
        let answer = self.serve_platform(request);
        if request.path == "/table/commit" && self.switches.faults().lose_commits {
            return None;
        }
        match self.switches.next_delivery() {
            Delivery::Send => Some(answer),
            Delivery::Lose => None,
        }
    }

    fn serve_platform(&self, request: &Request) -> Result<Vec<u8>, Problem> {
        let query = |name: &str| request.query_value(name).unwrap_or_default();
        let number = |name: &str| query(name).parse::<u64>().unwrap_or(0);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("POST", "/table/commit") => return self.commit(&request.body),
            ("POST", "/vms/start") => return self.start_vm(&request.body),
            ("POST", "/vms/stop") => return self.stop_vm(&request.body),
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return self.object(request, name);
        }
        self.reads.fetch_add(1, Ordering::Relaxed);
        match path {
            "/table/row" => json(&self.memory.read(&query("key")).map_err(store_failure)?),
            "/table/scan" => {
                let limit = (number("limit") as usize).min(SCAN_LIMIT);
                let rows = self.memory.scan(&query("prefix"), &query("after"), limit);
                json(&rows.map_err(store_failure)?)
            }
            "/vms" => json(&self.vms.changes_since(number("since"))),
            "/offers" => json(&self.spares.offers()),
            "/notices" => json(&self.vms.notices(number("after"))),
            _ => Err(Problem::not_run(404, "no such path", path)),
        }
    }

    /// Starts a matching spare VM, if there is one.
    fn start_vm(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let order: Start = parse(body)?;
        let no_capacity = || Problem::not_run(503, "refused", "no capacity of this kind");
        let vm = self.spares.start(&order).ok_or_else(no_capacity)?;
        self.vms.put(vm.clone());
        json(&vm)
    }

    fn stop_vm(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let order: Stop = parse(body)?;
        self.vms.mark_leaving(&order.vm, order.incarnation);
        json(&())
    }

    fn commit(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let transaction: Transaction = parse(body)?;
        self.commits.fetch_add(1, Ordering::Relaxed);
        let rows = transaction.puts.len() + transaction.deletes.len();
        self.rows_written.fetch_add(rows as u64, Ordering::Relaxed);
        json(&self.memory.commit(&transaction).map_err(store_failure)?)
    }

    fn object(&self, request: &Request, name: &str) -> Result<Vec<u8>, Problem> {
        match request.method.as_str() {
            "PUT" => self.memory.put(name, &request.body).map_err(store_failure)?,
            "DELETE" => self.memory.delete(name).map_err(store_failure)?,
            _ => {
                let object = self.memory.get(name).map_err(store_failure)?;
                return object.ok_or_else(|| Problem::not_run(404, "no such object", name));
            }
        }
        Ok(Vec::new())
    }

    fn serve_fake(&self, request: &Request) -> Result<Vec<u8>, Problem> {
        match request.path.as_str() {
            "/fake/switches" => self.switches.set(parse::<Faults>(&request.body)?),
            "/fake/vm" => self.vms.put(parse::<Vm>(&request.body)?),
            "/fake/spare" => self.spares.add(parse::<Vm>(&request.body)?),
            "/fake/starts" => return json(&self.spares.start_orders()),
            "/fake/reclaim" => self.vms.reclaim(&parse::<Reclaim>(&request.body)?),
            "/fake/calls" => return json(&self.calls()),
            path => return Err(Problem::not_run(404, "no such path", path)),
        }
        json(&())
    }

    fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            commits: self.commits.load(Ordering::Relaxed),
            rows_written: self.rows_written.load(Ordering::Relaxed),
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|it| Problem::not_run(400, "bad body", it.to_string()))
}

fn json(value: &impl Serialize) -> Result<Vec<u8>, Problem> {
    serde_json::to_vec(value).map_err(|it| Problem::not_run(500, "encoder", it.to_string()))
}

fn store_failure(error: store::Error) -> Problem {
    Problem::not_run(500, "stand-in failed", error.to_string())
}
