//! Stand-in of the platform: table, object store, VM list with lag, notices.

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
use web::answer::Responder;
use web::problem::Problem;
use web::request::Request;
use web::server::Server;

use crate::switches::Answer;
use crate::switches::Faults;
use crate::switches::Switches;

/// How long a lost answer keeps its caller waiting.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(120);
/// Most rows of one scan.
const SCAN_LIMIT: usize = 10_000;

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Rows read one by one, scans, VM lists and notice lists.
    pub reads: u64,
    /// Commits.
    pub commits: u64,
    /// Rows written by commits.
    pub rows_written: u64,
}

/// Order to reclaim VMs after a notice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reclaim {
    /// VMs that are noticed.
    pub vms: Vec<String>,
    /// Milliseconds from the notice to the reclaim.
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

/// Starts the stand-in; `lag` is the delay of the VM list behind reality.
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
    /// Serves one call; `None` when its answer is lost.
    fn serve(&self, request: &Request) -> Option<Result<Vec<u8>, Problem>> {
        if request.path.starts_with("/fake/") {
            return Some(self.serve_fake(request));
        }
        self.switches.hold();
        if self.switches.faults().down {
            return Some(Err(Problem::not_run(503, "down", "switched off by a test")));
        }
        let answer = self.serve_platform(request);
        if request.path == "/table/commit" && self.switches.faults().lose_commits {
            return None;
        }
        match self.switches.take_answer() {
            Answer::Send => Some(answer),
            Answer::Lose => None,
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
            "/table/row" => json(&self.memory.read(&query("key")).map_err(broken)?),
            "/table/scan" => {
                let limit = (number("limit") as usize).min(SCAN_LIMIT);
                let rows = self.memory.scan(&query("prefix"), &query("after"), limit);
                json(&rows.map_err(broken)?)
            }
            "/vms" => json(&self.vms.page(number("since"))),
            "/offers" => json(&self.spares.offers()),
            "/notices" => json(&self.vms.notices(number("after"))),
            _ => Err(Problem::not_run(404, "no such path", path)),
        }
    }

    /// Starts a spare VM of the wanted kind, if there is one.
    fn start_vm(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let order: Start = parse(body)?;
        let refused = || Problem::not_run(503, "refused", "no capacity of this kind");
        let vm = self.spares.take(&order).ok_or_else(refused)?;
        self.vms.add(vm.clone());
        json(&vm)
    }

    fn stop_vm(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let order: Stop = parse(body)?;
        self.vms.leave(&order.vm, order.incarnation);
        json(&())
    }

    fn commit(&self, body: &[u8]) -> Result<Vec<u8>, Problem> {
        let transaction: Transaction = parse(body)?;
        self.commits.fetch_add(1, Ordering::Relaxed);
        let rows = transaction.puts.len() + transaction.deletes.len();
        self.rows_written.fetch_add(rows as u64, Ordering::Relaxed);
        json(&self.memory.commit(&transaction).map_err(broken)?)
    }

    fn object(&self, request: &Request, name: &str) -> Result<Vec<u8>, Problem> {
        match request.method.as_str() {
            "PUT" => self.memory.put(name, &request.body).map_err(broken)?,
            "DELETE" => self.memory.delete(name).map_err(broken)?,
            _ => {
                let found = self.memory.get(name).map_err(broken)?;
                return found.ok_or_else(|| Problem::not_run(404, "no such object", name));
            }
        }
        Ok(Vec::new())
    }

    fn serve_fake(&self, request: &Request) -> Result<Vec<u8>, Problem> {
        match request.path.as_str() {
            "/fake/switches" => self.switches.set(parse::<Faults>(&request.body)?),
            "/fake/vm" => self.vms.add(parse::<Vm>(&request.body)?),
            "/fake/spare" => self.spares.add(parse::<Vm>(&request.body)?),
            "/fake/starts" => return json(&self.spares.starts()),
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

fn broken(error: store::Error) -> Problem {
    Problem::not_run(500, "stand-in failed", error.to_string())
}
