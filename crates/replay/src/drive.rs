//! Carries a trace out: every arrival and fault at its time.

use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::answer::Answer;
use crate::caller;
use crate::error::Error;
use crate::targets::Engine;
use crate::targets::Targets;
use crate::trace::Call;
use crate::trace::Chat;
use crate::trace::Fault;
use crate::trace::Trace;

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Time that the last refused or cancelled work has to show in the records.
const SETTLE: Duration = Duration::from_millis(700);

/// Ends VMs, which a replay does not do itself.
pub trait Host {
    /// Ends a VM without notice.
    fn kill(&mut self, vm: &str) -> io::Result<()>;
}

/// What an engine computed for a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Execution {
    /// Tokens generated.
    pub generated: u32,
    /// Tokens of prompt and resumed text that were computed.
    pub computed_tokens: u64,
}

/// Calls that the platform counted.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Counted {
    /// Rows, scans and lists read.
    pub reads: u64,
    /// Commits.
    pub commits: u64,
}

/// What a service executed.
#[derive(Clone, Debug, Deserialize)]
pub struct Executed {
    /// `Idempotency-Key`, empty when there was none.
    pub key: String,
    /// Body.
    pub body: String,
}

/// What came of a trace.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Completions.
    pub chats: Vec<(Chat, Answer)>,
    /// Calls.
    pub calls: Vec<(Call, Answer)>,
    /// Executions of each engine.
    pub engines: BTreeMap<String, Vec<Execution>>,
    /// Engines that ended without the trace saying so.
    pub crashed: Vec<String>,
    /// Executions of all services.
    pub executed: Vec<Executed>,
    /// Platform calls during the replay.
    pub platform: Counted,
    /// Time from the first arrival to the last answer.
    pub took: Duration,
}

enum Step {
    Chat(Box<Chat>),
    Call(Call),
    Fault(Fault),
}

enum Ended {
    Chat(Box<Chat>, Answer),
    Call(Call, Answer),
}

/// Replays a trace. `progress` is told how many of how many arrivals ended.
pub fn run(
    trace: &Trace,
    targets: &Targets,
    host: &mut dyn Host,
    progress: &dyn Fn(usize, usize),
) -> Result<Run, Error> {
    let before: Counted = get(&targets.platform, "/fake/calls")?;
    let total = trace.chats.len() + trace.calls.len();
    let mut run = Run::default();
    let mut killed = Vec::new();
    let (ends, ended) = channel();
    let started = Instant::now();
    for (at_ms, step) in steps(trace) {
        let due = started + Duration::from_millis(at_ms);
        while let Some(left) = due.checked_duration_since(Instant::now()) {
            if let Ok(end) = ended.recv_timeout(left) {
                run.take(end);
                progress(run.ended(), total);
            }
        }
        let (ends, callers) = (ends.clone(), targets.clone());
        match step {
            Step::Chat(chat) => spawn(move || {
                let answer = caller::chat(&chat, &callers);
                let _ = ends.send(Ended::Chat(chat, answer));
            }),
            Step::Call(call) => spawn(move || {
                let answer = caller::call(&call, &callers);
                let _ = ends.send(Ended::Call(call, answer));
            }),
            Step::Fault(Fault::Kill { vm }) => {
                if let Some(engine) = targets.engines.iter().find(|it| it.vm == vm) {
                    run.read_engine(engine);
                }
                let _ = host.kill(&vm);
                killed.push(vm);
            }
            Step::Fault(fault) => befall(&fault, targets)?,
        }
    }
    drop(ends);
    while let Ok(end) = ended.recv() {
        run.take(end);
        progress(run.ended(), total);
    }
    run.took = started.elapsed();
    thread::sleep(SETTLE);
    for engine in targets.engines.iter().filter(|it| !killed.contains(&it.vm)) {
        if !run.read_engine(engine) {
            run.crashed.push(engine.vm.clone());
        }
    }
    for service in targets.services.iter().filter(|it| !killed.contains(&it.vm)) {
        let executed: Vec<Executed> = get(&service.address, "/fake/record")?;
        run.executed.extend(executed);
    }
    let after: Counted = get(&targets.platform, "/fake/calls")?;
    run.platform =
        Counted { reads: after.reads - before.reads, commits: after.commits - before.commits };
    Ok(run)
}

impl Run {
    fn take(&mut self, end: Ended) {
        match end {
            Ended::Chat(chat, answer) => self.chats.push((*chat, answer)),
            Ended::Call(call, answer) => self.calls.push((call, answer)),
        }
    }

    fn ended(&self) -> usize {
        self.chats.len() + self.calls.len()
    }

    /// Reads what an engine executed; false when it does not answer.
    fn read_engine(&mut self, engine: &Engine) -> bool {
        let read: Result<Vec<Execution>, Error> = get(&engine.address, "/fake/record");
        let answered = read.is_ok();
        self.engines.insert(engine.vm.clone(), read.unwrap_or_default());
        answered
    }
}

/// Arrivals and faults in order of time; a reclaim ends its VMs later.
fn steps(trace: &Trace) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for (at_ms, fault) in &trace.faults {
        steps.push((*at_ms, Step::Fault(fault.clone())));
        if let Fault::Reclaim { vms, notice_ms } = fault {
            let end =
                |vm: &String| (at_ms + notice_ms, Step::Fault(Fault::Kill { vm: vm.clone() }));
            steps.extend(vms.iter().map(end));
        }
    }
    let chats = trace.chats.iter();
    steps.extend(chats.map(|it| (it.at_ms, Step::Chat(Box::new(it.clone())))));
    steps.extend(trace.calls.iter().map(|it| (it.at_ms, Step::Call(it.clone()))));
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}

fn befall(fault: &Fault, targets: &Targets) -> Result<(), Error> {
    match fault {
        Fault::Reclaim { vms, notice_ms } => {
            let order = json!({ "vms": vms, "notice_ms": notice_ms });
            post(&targets.platform, "/fake/reclaim", &order)
        }
        Fault::Kill { .. } => Ok(()),
        Fault::Switch { vm, switches } => {
            for address in addresses(vm, targets) {
                post(address, "/fake/switches", switches)?;
            }
            Ok(())
        }
    }
}

fn addresses<'a>(vm: &str, targets: &'a Targets) -> Vec<&'a str> {
    if vm == "platform" {
        return vec![&targets.platform];
    }
    let engines = targets.engines.iter().filter(|it| vm == "engines" || it.vm == vm);
    let services = targets.services.iter().filter(|it| it.vm == vm);
    let engines = engines.map(|it| it.address.as_str());
    engines.chain(services.map(|it| it.address.as_str())).collect()
}

fn spawn(caller: impl FnOnce() + Send + 'static) {
    // A caller that can't be started leaves its arrival without an answer.
    let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(caller);
}

fn get<T: for<'de> Deserialize<'de>>(address: &str, path: &str) -> Result<T, Error> {
    let silent = |detail: String| Error::Silent {
        address: address.to_owned(),
        path: path.to_owned(),
        detail,
    };
    let called = ureq::get(format!("http://{address}{path}")).call();
    let mut response = called.map_err(|it| silent(it.to_string()))?;
    let body = response.body_mut().with_config().limit(u64::MAX);
    body.read_json().map_err(|it| silent(it.to_string()))
}

fn post(address: &str, path: &str, body: &Value) -> Result<(), Error> {
    let sent = ureq::post(format!("http://{address}{path}")).send_json(body);
    sent.map(|_| ()).map_err(|it| Error::Silent {
        address: address.to_owned(),
        path: path.to_owned(),
        detail: it.to_string(),
    })
}
