//! Executes a trace: sends each request and injects each fault at its scheduled time.

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

/// Stack size of a caller's thread.
const STACK_BYTES: usize = 256 * 1024;
/// Time for the last refused or cancelled requests to appear in the records of the fakes.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Kills VMs, which a replay does not do itself.
pub trait Host {
    /// Kills a VM without notice.
    fn kill(&mut self, vm: &str) -> io::Result<()>;
}

/// Completion executed by an engine, as recorded by its fake.
#[derive(Clone, Debug, Deserialize)]
pub struct Execution {
    /// Number of generated tokens.
    pub generated: u32,
    /// Tokens of the prompt and the resumed text that were not cached and had to be computed.
    pub computed_tokens: u64,
}

/// Calls counted by the platform fake.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Counters {
    /// Number of row reads, scans and list reads.
    pub reads: u64,
    /// Number of commits.
    pub commits: u64,
}

/// Call executed by a plain service, as recorded by its fake.
#[derive(Clone, Debug, Deserialize)]
pub struct Invocation {
    /// Value of the `Idempotency-Key` header, empty if absent.
    pub key: String,
    /// Request body.
    pub body: String,
}

/// Observations of a replay.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Completion requests and their answers.
    pub chats: Vec<(Chat, Answer)>,
    /// Calls of plain services and their answers.
    pub calls: Vec<(Call, Answer)>,
    /// Executions of the engine of each VM.
    pub executions: BTreeMap<String, Vec<Execution>>,
    /// VMs whose engine stopped responding although the trace did not kill them.
    pub crashed_vms: Vec<String>,
    /// Calls executed by all plain services.
    pub invocations: Vec<Invocation>,
    /// Platform calls made during the replay.
    pub platform_calls: Counters,
    /// Time from the start of the replay to the last answer.
    pub elapsed: Duration,
}

/// Scheduled step of a replay.
enum Step {
    Chat(Box<Chat>),
    Call(Call),
    Fault(Fault),
}

/// Request that has ended, with its answer.
enum Exchange {
    Chat(Box<Chat>, Answer),
    Call(Call, Answer),
}

/// Replays a trace.
///
/// Calls `progress` with the number of ended requests and the total.
///
/// Fails if a fake does not respond to a control request. An engine that does
/// not return its record is reported as crashed instead.
pub fn run(
    trace: &Trace,
    targets: &Targets,
    host: &mut dyn Host,
    progress: &dyn Fn(usize, usize),
) -> Result<Run, Error> {
    let calls_before: Counters = get(&targets.platform, "/fake/calls")?;
    let total = trace.chats.len() + trace.calls.len();
    let mut run = Run::default();
    let mut killed = Vec::new();
    let (sender, receiver) = channel();
    let started = Instant::now();
    for (at_ms, step) in schedule(trace) {
        let scheduled_at = started + Duration::from_millis(at_ms);
        while let Some(remaining) = scheduled_at.checked_duration_since(Instant::now()) {
            if let Ok(exchange) = receiver.recv_timeout(remaining) {
                run.record(exchange);
                progress(run.ended_count(), total);
            }
        }
        let (sender, caller_targets) = (sender.clone(), targets.clone());
        match step {
            Step::Chat(chat) => spawn(move || {
                let answer = caller::chat(&chat, &caller_targets);
                let _ = sender.send(Exchange::Chat(chat, answer));
            }),
            Step::Call(call) => spawn(move || {
                let answer = caller::call(&call, &caller_targets);
                let _ = sender.send(Exchange::Call(call, answer));
            }),
            Step::Fault(Fault::Kill { vm }) => {
                if let Some(engine) = targets.engines.iter().find(|it| it.vm == vm) {
                    run.read_executions(engine);
                }
                let _ = host.kill(&vm);
                killed.push(vm);
            }
            Step::Fault(fault) => inject(&fault, targets)?,
        }
    }
    drop(sender);
    while let Ok(exchange) = receiver.recv() {
        run.record(exchange);
        progress(run.ended_count(), total);
    }
    run.elapsed = started.elapsed();
    thread::sleep(SETTLE_TIME);
    for engine in targets.engines.iter().filter(|it| !killed.contains(&it.vm)) {
        if !run.read_executions(engine) {
            run.crashed_vms.push(engine.vm.clone());
        }
    }
    for service in targets.services.iter().filter(|it| !killed.contains(&it.vm)) {
        let invocations: Vec<Invocation> = get(&service.address, "/fake/record")?;
        run.invocations.extend(invocations);
    }
    let calls_after: Counters = get(&targets.platform, "/fake/calls")?;
    run.platform_calls = Counters {
        reads: calls_after.reads - calls_before.reads,
        commits: calls_after.commits - calls_before.commits,
    };
    Ok(run)
}

impl Run {
    fn record(&mut self, exchange: Exchange) {
        match exchange {
            Exchange::Chat(chat, answer) => self.chats.push((*chat, answer)),
            Exchange::Call(call, answer) => self.calls.push((call, answer)),
        }
    }

    fn ended_count(&self) -> usize {
        self.chats.len() + self.calls.len()
    }

    /// Reads the execution record of an engine. Returns whether the engine responded.
    fn read_executions(&mut self, engine: &Engine) -> bool {
        let read: Result<Vec<Execution>, Error> = get(&engine.address, "/fake/record");
        let responded = read.is_ok();
        self.executions.insert(engine.vm.clone(), read.unwrap_or_default());
        responded
    }
}

/// Returns requests and faults in order of time.
///
/// A reclaim adds a kill of each of its VMs at the end of the notice period.
fn schedule(trace: &Trace) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for (at_ms, fault) in &trace.faults {
        steps.push((*at_ms, Step::Fault(fault.clone())));
        if let Fault::Reclaim { vms, notice_ms } = fault {
            let kill =
                |vm: &String| (at_ms + notice_ms, Step::Fault(Fault::Kill { vm: vm.clone() }));
            steps.extend(vms.iter().map(kill));
        }
    }
    let chats = trace.chats.iter();
    steps.extend(chats.map(|it| (it.at_ms, Step::Chat(Box::new(it.clone())))));
    steps.extend(trace.calls.iter().map(|it| (it.at_ms, Step::Call(it.clone()))));
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}

fn inject(fault: &Fault, targets: &Targets) -> Result<(), Error> {
    match fault {
        Fault::Reclaim { vms, notice_ms } => {
            let body = json!({ "vms": vms, "notice_ms": notice_ms });
            post(&targets.platform, "/fake/reclaim", &body)
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

/// Returns the addresses of the fakes that a switch fault names.
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
    // If the thread cannot be started, the request is missing from the run.
    let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(caller);
}

fn get<T: for<'de> Deserialize<'de>>(address: &str, path: &str) -> Result<T, Error> {
    let failure = |detail: String| Error::Request {
        address: address.to_owned(),
        path: path.to_owned(),
        detail,
    };
    let result = ureq::get(format!("http://{address}{path}")).call();
    let mut response = result.map_err(|it| failure(it.to_string()))?;
    let body = response.body_mut().with_config().limit(u64::MAX);
    body.read_json().map_err(|it| failure(it.to_string()))
}

fn post(address: &str, path: &str, body: &Value) -> Result<(), Error> {
    let result = ureq::post(format!("http://{address}{path}")).send_json(body);
    result.map(|_| ()).map_err(|it| Error::Request {
        address: address.to_owned(),
        path: path.to_owned(),
        detail: it.to_string(),
    })
}
