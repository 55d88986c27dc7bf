//! Test fixture: a deployment, the owner of the shard under test, and the outcome
//! that callers receive for each call.

use std::io;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use harness::caller;
use harness::caller::Response;
use harness::cluster;
use harness::cluster::Cluster;
use harness::cluster::Daemon;
use harness::cluster::PLAIN_SERVICE;
use ledger::record::Identity;
use ledger::record::batch_prefix;
use nix::sys::signal::Signal;
use serde_json::Value;
use standins::service::Execution;
use store::table::Row;

/// Key of the call under test.
pub const KEY: &str = "renewal";

const DAEMONS: [(&str, &str); 3] =
    [("entry-1", "tema-a"), ("entry-2", "kpone"), ("entry-3", "spintex")];
/// Limit of concurrent deployments, so that the tests don't overload the machine.
const MAX_DEPLOYMENTS: usize = 5;
/// Delay before a call that was reported as `not_run` is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time within which a change of the VM list reaches all daemons.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of attempts to get a final outcome.
const MAX_ATTEMPTS: usize = 60;

static ACTIVE_SLOTS: Mutex<usize> = Mutex::new(0);
static SLOT_RELEASED: Condvar = Condvar::new();

/// Outcome of a call as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    NotRun,
    Unknown,
    Other,
}

/// Three daemons and one plain service, which are killed on drop.
pub struct Fixture {
    /// Index of the daemon that owns the shard of [`KEY`].
    pub owner: usize,
    cluster: Cluster,
    _slot: Slot,
}

/// A call that runs in the background.
pub struct Call(JoinHandle<io::Result<Response>>);

struct Slot;

impl Outcome {
    /// Returns the outcome stated in a response.
    pub fn from_response(response: &Response) -> Outcome {
        match (response.status, response.body["outcome"].as_str()) {
            (200, _) => Outcome::Answered,
            (_, Some("not_run")) => Outcome::NotRun,
            (_, Some("unknown")) => Outcome::Unknown,
            _ => Outcome::Other,
        }
    }
}

impl Call {
    /// Waits for the outcome of the call.
    pub fn join(self) -> io::Result<Outcome> {
        Ok(Outcome::from_response(&self.join_response()?))
    }

    /// Waits for the response to the call.
    pub fn join_response(self) -> io::Result<Response> {
        self.0.join().map_err(|_| io::Error::other("the caller panicked"))?
    }
}

impl Fixture {
    /// Starts the deployment, passing `extra` arguments to the service.
    pub fn start(extra: &[&str]) -> io::Result<Fixture> {
        let slot = Slot::acquire();
        let mut cluster = Cluster::start()?;
        cluster.add_service("registry-1", extra)?;
        for (name, zone) in DAEMONS {
            cluster.add_daemon(name, zone)?;
        }
        cluster.configure()?;
        let shard = format!("shard/{}", identity(KEY).shard().0);
        let owner = policy::ring::owner(&shard, DAEMONS.map(|it| it.0).into_iter());
        let owner = DAEMONS.iter().position(|it| Some(it.0) == owner).unwrap_or_default();
        Ok(Fixture { owner, cluster, _slot: slot })
    }

    /// Returns the index of one of the two daemons that don't own the shard.
    pub fn non_owner(&self, number: usize) -> usize {
        (self.owner + 1 + number) % DAEMONS.len()
    }

    /// Returns the index of the daemon that owns a key of calls that may be repeated.
    pub fn owner_of(&self, key: &str) -> usize {
        let name = format!("office/{PLAIN_SERVICE}/{key}");
        let owner = policy::ring::owner(&name, DAEMONS.map(|it| it.0).into_iter());
        DAEMONS.iter().position(|it| Some(it.0) == owner).unwrap_or_default()
    }

    /// Starts a call that may be repeated through a daemon.
    pub fn look_up(&self, daemon: usize, key: &str) -> Call {
        let (address, key) = (self.cluster.daemons[daemon].callers.clone(), key.to_owned());
        Call(thread::spawn(move || caller::look_up(&address, &key)))
    }

    /// Makes the owner claim the lease of the shard, with a call under another key
    /// of the same shard.
    pub fn acquire_lease(&self) -> io::Result<()> {
        let shard = identity(KEY).shard();
        let keys = (0..).map(|it| format!("warm {it}"));
        let key = keys.into_iter().find(|it| identity(it).shard() == shard).unwrap_or_default();
        self.check_key(&key, &[], &[Outcome::Answered])
    }

    /// Starts a call under [`KEY`] through a daemon.
    pub fn submit(&self, daemon: usize) -> Call {
        self.submit_key(daemon, KEY)
    }

    /// Starts a call under `key` through a daemon.
    pub fn submit_key(&self, daemon: usize, key: &str) -> Call {
        submit(&self.cluster.daemons[daemon].callers, key)
    }

    /// Starts a call under [`KEY`] through a daemon that is not in the list.
    pub fn submit_to(&self, address: &str) -> Call {
        submit(address, KEY)
    }

    /// Makes a call under `key` through a daemon and returns its response.
    pub fn renew(&self, daemon: usize, key: &str) -> io::Result<Response> {
        caller::renew(&self.cluster.daemons[daemon].callers, key, key)
    }

    /// Repeats the call under [`KEY`] through every daemon until its outcome is
    /// final, and checks all outcomes against the service's record.
    ///
    /// `reported` are the outcomes of earlier calls. Panics if an outcome
    /// contradicts the record, or if a final outcome is not in `expected`.
    pub fn check(&self, reported: &[Outcome], expected: &[Outcome]) -> io::Result<()> {
        self.check_key(KEY, reported, expected)
    }

    /// Like [`Fixture::check`], for another key.
    pub fn check_key(
        &self,
        key: &str,
        reported: &[Outcome],
        expected: &[Outcome],
    ) -> io::Result<()> {
        let mut outcomes = Vec::new();
        for daemon in &self.cluster.daemons {
            outcomes.push(final_outcome(&daemon.callers, key)?);
        }
        let executed = self.executions(key)?;
        let is_true = |outcome: &Outcome| match outcome {
            Outcome::Answered => executed == 1,
            Outcome::NotRun => executed == 0 || outcomes.iter().all(|it| *it != Outcome::NotRun),
            _ => executed <= 1,
        };
        let all_true = reported.iter().chain(&outcomes).all(is_true);
        let all_expected = outcomes.iter().all(|it| expected.contains(it));
        if !all_true || !all_expected {
            let logs = self.logs();
            panic!(
                "{key}: reported {reported:?}, finally {outcomes:?}, executed {executed} times; \
                 expected {expected:?}\n{logs}"
            );
        }
        Ok(())
    }

    /// Returns how often a key was executed according to the service's record.
    pub fn executions(&self, key: &str) -> io::Result<usize> {
        Ok(self.record()?.iter().filter(|it| it.key == key).count())
    }

    /// Kills the owner and removes it from the list.
    pub fn kill_owner(&mut self) -> io::Result<()> {
        self.kill(self.owner)
    }

    /// Kills a daemon and removes it from the list.
    pub fn kill(&mut self, daemon: usize) -> io::Result<()> {
        self.cluster.daemons[daemon].process.kill()?;
        self.cluster.daemons.remove(daemon);
        Ok(())
    }

    /// Removes the service from the list of VMs, with the calls that it runs unfinished, and waits
    /// until all daemons know.
    pub fn remove_service(&self) -> io::Result<()> {
        self.cluster.reclaim(&["registry-1"], Duration::ZERO)?;
        thread::sleep(SETTLE_TIME);
        Ok(())
    }

    /// Starts another process under the owner's name and returns the previous one.
    pub fn replace_owner(&mut self) -> io::Result<Daemon> {
        let (name, zone) = DAEMONS[self.owner];
        let new = self.cluster.start_daemon(name, zone)?;
        let old = std::mem::replace(&mut self.cluster.daemons[self.owner], new);
        Ok(old)
    }

    /// Sends a signal to the owner.
    pub fn signal_owner(&self, signal: Signal) -> io::Result<()> {
        self.cluster.daemons[self.owner].process.signal(signal)
    }

    /// Kills the service and starts another one. Returns the number of executions
    /// of the first one.
    pub fn restart_service(&mut self) -> io::Result<usize> {
        let executed = self.record()?.len();
        self.cluster.services[0].process.kill()?;
        self.cluster.services.clear();
        self.cluster.add_service("registry-2", &[])?;
        self.cluster.wait_until_settled()?;
        Ok(executed)
    }

    /// Sets the fault switches of the platform.
    pub fn set_platform(&self, faults: &str) -> io::Result<()> {
        set_switches(&self.cluster.platform.address, faults)
    }

    /// Sets the fault switches of the service.
    pub fn set_service(&self, faults: &str) -> io::Result<()> {
        set_switches(&self.cluster.services[0].address, faults)
    }

    /// Waits until a daemon's log contains `text`.
    pub fn wait_for_log(&self, daemon: usize, text: &str) -> io::Result<()> {
        let log = &self.cluster.daemons[daemon].process.log;
        let has_text = || std::fs::read_to_string(log).is_ok_and(|it| it.contains(text));
        cluster::wait_for(&format!("{text} in the log"), has_text)
    }

    /// Waits until the ledger has stored a step of the call under [`KEY`].
    pub fn wait_for_record(&self, step: &str) -> io::Result<()> {
        let identity = identity(KEY);
        let path =
            format!("/table/scan?prefix={}&after=&limit=1000", batch_prefix(identity.shard()));
        let has_step = |row: &Row| {
            let records = serde_json::from_str::<Value>(&row.value).unwrap_or_default();
            let records = records["records"].as_array().cloned().unwrap_or_default();
            let is_call = |it: &Value| it["identity"] == identity.0.as_str();
            records.iter().any(|it| is_call(it) && it["step"].to_string().contains(step))
        };
        cluster::wait_for(step, || {
            let rows: Vec<Row> =
                cluster::get(&self.cluster.platform.address, &path).unwrap_or_default();
            rows.iter().any(has_step)
        })
    }

    /// Waits until `count` calls have arrived at the service.
    pub fn wait_for_arrivals(&self, count: u64) -> io::Result<()> {
        let address = &self.cluster.services[0].address;
        cluster::wait_for("the call to arrive", || {
            cluster::get::<u64>(address, "/fake/arrived").is_ok_and(|it| it >= count)
        })
    }

    /// Waits until the service has executed `count` calls.
    pub fn wait_for_executions(&self, count: usize) -> io::Result<()> {
        cluster::wait_for("the execution", || self.record().is_ok_and(|it| it.len() >= count))
    }

    /// Returns the log lines of the daemons about leases and calls.
    fn logs(&self) -> String {
        let payloads =
            ["lease", "forwarded", "attempt failed", "owner lost", "given back", "routed"];
        let mut text = String::new();
        for daemon in &self.cluster.daemons {
            let log = std::fs::read_to_string(&daemon.process.log).unwrap_or_default();
            let lines = log.lines().filter(|line| payloads.iter().any(|it| line.contains(it)));
            lines.for_each(|line| text.push_str(&format!("{} {line}\n", daemon.name)));
        }
        text
    }

    fn record(&self) -> io::Result<Vec<Execution>> {
        cluster::get(&self.cluster.services[0].address, "/fake/record")
    }
}

impl Slot {
    fn acquire() -> Slot {
        let mut active = ACTIVE_SLOTS.lock().unwrap_or_else(|it| it.into_inner());
        while *active >= MAX_DEPLOYMENTS {
            active = SLOT_RELEASED.wait(active).unwrap_or_else(|it| it.into_inner());
        }
        *active += 1;
        Slot
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *ACTIVE_SLOTS.lock().unwrap_or_else(|it| it.into_inner()) -= 1;
        SLOT_RELEASED.notify_one();
    }
}

fn submit(address: &str, key: &str) -> Call {
    let (address, key) = (address.to_owned(), key.to_owned());
    Call(thread::spawn(move || caller::renew(&address, &key, &key)))
}

fn final_outcome(address: &str, key: &str) -> io::Result<Outcome> {
    let mut last = Outcome::Other;
    for _ in 0..MAX_ATTEMPTS {
        last = Outcome::from_response(&caller::renew(address, key, key)?);
        if last != Outcome::NotRun {
            break;
        }
        thread::sleep(RETRY_DELAY);
    }
    Ok(last)
}

fn identity(key: &str) -> Identity {
    Identity::from_name(&format!("office/{PLAIN_SERVICE}/{key}"))
}

fn set_switches(address: &str, faults: &str) -> io::Result<()> {
    let faults = serde_json::from_str(faults).map_err(io::Error::other)?;
    cluster::set_switches(address, &faults)
}
