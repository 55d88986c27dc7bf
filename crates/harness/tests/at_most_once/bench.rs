//! A deployment with a shard, its owner and the word on each call.

use std::io;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use harness::caller;
use harness::caller::Answered;
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
/// Deployments at a time, so that the machine is not crowded.
const DEPLOYMENTS: usize = 5;
/// Pause before a caller who was told "not run" asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Most times of asking for one final word.
const ASKS: usize = 60;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Answered,
    NotRun,
    Unknown,
    Other,
}

/// Daemons before one service; ended when dropped.
pub struct Bench {
    /// Number of the daemon that owns the shard of [`KEY`].
    pub owner: usize,
    cluster: Cluster,
    _slot: Slot,
}

/// A call that a caller waits for.
pub struct Submitted(JoinHandle<io::Result<Answered>>);

struct Slot;

impl Word {
    /// Word of an answer.
    pub fn of(answer: &Answered) -> Word {
        match (answer.status, answer.body["outcome"].as_str()) {
            (200, _) => Word::Answered,
            (_, Some("not_run")) => Word::NotRun,
            (_, Some("unknown")) => Word::Unknown,
            _ => Word::Other,
        }
    }
}

impl Submitted {
    /// Waits for the word.
    pub fn join(self) -> io::Result<Word> {
        let answer = self.0.join().map_err(|_| io::Error::other("caller panicked"))?;
        Ok(Word::of(&answer?))
    }
}

impl Bench {
    /// Starts it; `extra` arguments go to the service.
    pub fn start(extra: &[&str]) -> io::Result<Bench> {
        let slot = Slot::take();
        let mut cluster = Cluster::start()?;
        cluster.add_service("registry-1", extra)?;
        for (name, zone) in DAEMONS {
            cluster.add_daemon(name, zone)?;
        }
        cluster.configure()?;
        let shard = format!("shard/{}", identity(KEY).shard().0);
        let owner = policy::ring::owner(&shard, DAEMONS.map(|it| it.0).into_iter());
        let owner = DAEMONS.iter().position(|it| Some(it.0) == owner).unwrap_or_default();
        Ok(Bench { owner, cluster, _slot: slot })
    }

    /// One of the two daemons that do not own the shard.
    pub fn other(&self, number: usize) -> usize {
        (self.owner + 1 + number) % DAEMONS.len()
    }

    /// Lets the owner take the lease, by another key of the shard.
    pub fn warm_up(&self) -> io::Result<()> {
        let shard = identity(KEY).shard();
        let keys = (0..).map(|it| format!("warm {it}"));
        let key = keys.into_iter().find(|it| identity(it).shard() == shard).unwrap_or_default();
        self.check_key(&key, &[], &[Word::Answered])
    }

    /// Calls under the key through a daemon, in the background.
    pub fn submit(&self, daemon: usize) -> Submitted {
        self.submit_key(daemon, KEY)
    }

    /// Calls under a key through a daemon, in the background.
    pub fn submit_key(&self, daemon: usize, key: &str) -> Submitted {
        submit(&self.cluster.daemons[daemon].callers, key)
    }

    /// Calls under the key through a daemon that is not in the list.
    pub fn submit_to(&self, address: &str) -> Submitted {
        submit(address, KEY)
    }

    /// Calls under a key through a daemon.
    pub fn renew(&self, daemon: usize, key: &str) -> io::Result<Answered> {
        caller::renew(&self.cluster.daemons[daemon].callers, key, key)
    }

    /// Sends the call again under the same key through every daemon until a
    /// final word, and compares all words with the service's record.
    pub fn check(&self, told: &[Word], expected: &[Word]) -> io::Result<()> {
        self.check_key(KEY, told, expected)
    }

    /// The same for another key.
    pub fn check_key(&self, key: &str, told: &[Word], expected: &[Word]) -> io::Result<()> {
        let mut words = Vec::new();
        for daemon in &self.cluster.daemons {
            words.push(final_word(&daemon.callers, key)?);
        }
        let executed = self.executions(key)?;
        let fits = |word: &Word| match word {
            Word::Answered => executed == 1,
            Word::NotRun => executed == 0 || words.iter().all(|it| *it != Word::NotRun),
            _ => executed <= 1,
        };
        let is_true = told.iter().chain(&words).all(fits);
        let is_expected = words.iter().all(|it| expected.contains(it));
        if !is_true || !is_expected {
            let logs = self.logs();
            panic!("{key}: {told:?}, {words:?}, {executed} times, not {expected:?}\n{logs}");
        }
        Ok(())
    }

    /// Executions of a key by the service's record.
    pub fn executions(&self, key: &str) -> io::Result<usize> {
        Ok(self.record()?.iter().filter(|it| it.key == key).count())
    }

    /// Kills the owner, which is no longer in the list then.
    pub fn kill_owner(&mut self) -> io::Result<()> {
        self.cluster.daemons[self.owner].process.kill()?;
        self.cluster.daemons.remove(self.owner);
        Ok(())
    }

    /// Starts another process in the owner's place.
    pub fn replace_owner(&mut self) -> io::Result<Daemon> {
        let (name, zone) = DAEMONS[self.owner];
        let new = self.cluster.start_daemon(name, zone)?;
        let old = std::mem::replace(&mut self.cluster.daemons[self.owner], new);
        Ok(old)
    }

    /// Signals the owner.
    pub fn signal_owner(&self, signal: Signal) -> io::Result<()> {
        self.cluster.daemons[self.owner].process.signal(signal)
    }

    /// Kills the service and starts another one; executions of the first.
    pub fn restart_service(&mut self) -> io::Result<usize> {
        let executed = self.record()?.len();
        self.cluster.services[0].process.kill()?;
        self.cluster.services.clear();
        self.cluster.add_service("registry-2", &[])?;
        self.cluster.wait_until_settled()?;
        Ok(executed)
    }

    /// Sets the platform's switches.
    pub fn set_platform(&self, faults: &str) -> io::Result<()> {
        set_switches(&self.cluster.platform.address, faults)
    }

    /// Sets the service's switches.
    pub fn set_service(&self, faults: &str) -> io::Result<()> {
        set_switches(&self.cluster.services[0].address, faults)
    }

    /// Waits for a word in a daemon's log.
    pub fn wait_for_log(&self, daemon: usize, word: &str) -> io::Result<()> {
        let log = &self.cluster.daemons[daemon].process.log;
        let has = || std::fs::read_to_string(log).is_ok_and(|it| it.contains(word));
        cluster::wait_for(&format!("{word} in the log"), has)
    }

    /// Waits until the ledger has a step of the call in its rows.
    pub fn wait_for_record(&self, step: &str) -> io::Result<()> {
        let identity = identity(KEY);
        let path =
            format!("/table/scan?prefix={}&after=&limit=1000", batch_prefix(identity.shard()));
        let has = |row: &Row| {
            let records = serde_json::from_str::<Value>(&row.value).unwrap_or_default();
            let records = records["records"].as_array().cloned().unwrap_or_default();
            let is_it = |it: &Value| it["identity"] == identity.0.as_str();
            records.iter().any(|it| is_it(it) && it["step"].to_string().contains(step))
        };
        cluster::wait_for(step, || {
            let rows: Vec<Row> =
                cluster::get(&self.cluster.platform.address, &path).unwrap_or_default();
            rows.iter().any(has)
        })
    }

    /// Waits until so many calls have arrived at the service.
    pub fn wait_for_arrivals(&self, count: u64) -> io::Result<()> {
        let address = &self.cluster.services[0].address;
        cluster::wait_for("the call to arrive", || {
            cluster::get::<u64>(address, "/fake/arrived").is_ok_and(|it| it >= count)
        })
    }

    /// Waits until the service has executed so many calls.
    pub fn wait_for_executions(&self, count: usize) -> io::Result<()> {
        cluster::wait_for("the execution", || self.record().is_ok_and(|it| it.len() >= count))
    }

    /// What the daemons logged about leases and calls.
    fn logs(&self) -> String {
        let told = ["lease", "forwarded", "attempt failed", "owner lost", "given back", "routed"];
        let mut text = String::new();
        for daemon in &self.cluster.daemons {
            let log = std::fs::read_to_string(&daemon.process.log).unwrap_or_default();
            let lines = log.lines().filter(|line| told.iter().any(|it| line.contains(it)));
            lines.for_each(|line| text.push_str(&format!("{} {line}\n", daemon.name)));
        }
        text
    }

    fn record(&self) -> io::Result<Vec<Execution>> {
        cluster::get(&self.cluster.services[0].address, "/fake/record")
    }
}

impl Slot {
    fn take() -> Slot {
        let mut running = RUNNING.lock().unwrap_or_else(|it| it.into_inner());
        while *running >= DEPLOYMENTS {
            running = ENDED.wait(running).unwrap_or_else(|it| it.into_inner());
        }
        *running += 1;
        Slot
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(|it| it.into_inner()) -= 1;
        ENDED.notify_one();
    }
}

fn submit(address: &str, key: &str) -> Submitted {
    let (address, key) = (address.to_owned(), key.to_owned());
    Submitted(thread::spawn(move || caller::renew(&address, &key, &key)))
}

fn final_word(address: &str, key: &str) -> io::Result<Word> {
    let mut last = Word::Other;
    for _ in 0..ASKS {
        last = Word::of(&caller::renew(address, key, key)?);
        if last != Word::NotRun {
            break;
        }
        thread::sleep(RETRY_PAUSE);
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
