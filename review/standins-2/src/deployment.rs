//! A small deployment on loopback addresses: store, API, runners and daemons.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cloud::Cloud;
use crate::daemon::Daemon;
use crate::daemon::Site;
use crate::record::Record;
use crate::runner::Runner;
use crate::runner::Speed;
use crate::store::Store;

/// Interval at which runners check in.
pub const BEAT: Duration = Duration::from_millis(1_200);
/// Time within which the daemons have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A route of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// Returns a version of the configuration. `tenants` are names with their keys.
pub fn config(version: u64, routes: &[Route<'_>], tenants: &[(&str, &[&str])]) -> String {
    let route = |it: &Route<'_>| {
        let stream = if it.kind == "stream" { ",\"sticky\":true,\"gap_aim_ms\":500" } else { "" };
        format!(
            "{{\"name\":\"{}\",\"host\":\"office.example\",\"prefix\":\"{}\",\"kind\":\"{}\",\
             \"timeout_ms\":{},\"slo_ms\":300,\"priority\":1,\"service\":\"{}\",\"attempts\":{},\
             \"public\":false,\"resumable\":{}{stream}}}",
            it.name, it.prefix, it.kind, it.timeout_ms, it.service, it.attempts, it.resumable
        )
    };
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[{}],\"unit\":\"tokens\",\"plain_tokens\":200,\
             \"rate_per_s\":0,\"burst\":0}}",
            keys.join(",")
        )
    };
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":360,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|it| it.service).collect();
    services.sort_unstable();
    services.dedup();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.iter().map(route).collect::<Vec<_>>().join(","),
        services.iter().map(service).collect::<Vec<_>>().join(","),
        tenants.iter().map(tenant).collect::<Vec<_>>().join(",")
    )
}

pub struct Deployment {
    pub store: Store,
    pub cloud: Cloud,
    pub runners: Vec<Runner>,
    pub daemons: Vec<Daemon>,
    pub site: Site,
    is_over: Arc<AtomicBool>,
}

impl Deployment {
    /// Starts a store with a configuration, runners and daemons, and waits until these are ready;
    /// `None` if they aren't in time.
    pub fn start(
        record: &Arc<Record>,
        era: Option<u64>,
        config: &str,
        runners: &[(&str, usize, Speed)],
        daemons: usize,
    ) -> Option<Deployment> {
        let root: PathBuf = std::env::current_dir().ok()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Store::start(era, record);
        let cloud = Cloud::start(record);
        store.put("op", "config", config);
        let mut started = Vec::new();
        for (service, count, speed) in runners {
            for index in 0..*count {
                started.push(Runner::start(&format!("i-{service}-{index}"), service, *speed, record));
            }
        }
        let is_over = Arc::new(AtomicBool::new(false));
        for runner in &started {
            let (store, runner, is_over) = (store.clone(), runner.clone(), is_over.clone());
            thread::spawn(move || {
                let mut seq = 1;
                while !is_over.load(Ordering::SeqCst) && !runner.is_gone() {
                    store.put("servers", &runner.id, &runner.entry(seq));
                    seq += 1;
                    thread::sleep(BEAT);
                }
            });
        }
        thread::sleep(Duration::from_millis(50));
        let site = Site { root, folder, store: store.address, cloud: cloud.address };
        let daemons =
            (0..daemons).map(|it| Daemon::start(&site, &format!("front-a-{}", it + 1), true));
        let daemons: Vec<Daemon> = daemons.collect();
        let deployment = Deployment {
            store,
            cloud,
            runners: started,
            daemons,
            site,
            is_over,
        };
        let is_ready = wait_until(READY_TIMEOUT, || deployment.daemons.iter().all(Daemon::is_ready));
        if !is_ready {
            record.line("the daemons aren't ready in time");
            return None;
        }
        record.line(format!("{} daemons are ready", deployment.daemons.len()));
        Some(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.daemons.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.site.folder);
        }
    }
}

/// Waits until a condition holds, and returns whether it did in time.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
