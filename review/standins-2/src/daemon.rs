//! Processes of the system, started as the deploy file says.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::client;

const PORTS: [u16; 4] = [8221, 8224, 8229, 7601];

pub struct Daemon {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started and still run.
pub fn end_all() {
    for process in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-9").arg(process.to_string()).status();
    }
}

/// What the settings of all daemons have in common.
#[derive(Clone, Debug)]
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

impl Daemon {
    /// Starts a daemon at a free loopback address.
    pub fn start(site: &Site, name: &str, is_first_start: bool) -> Daemon {
        let ip = unused_ip();
        let settings = site.folder.join(format!("{name}.conf"));
        let log = site.folder.join(format!("{name}.log"));
        write_settings(site, name, ip, &settings, is_first_start);
        let child = spawn(site, &settings, &log);
        Daemon { name: name.to_owned(), ip, settings, log, child }
    }

    /// Starts the daemon again at its address, as the platform does.
    pub fn start_again(&mut self, site: &Site) {
        write_settings(site, &self.name, self.ip, &self.settings, false);
        self.child = spawn(site, &self.settings, &self.log);
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORTS[0])
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, PORTS[1]);
        let head = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        client::exchange(address, head, "", Duration::from_millis(500)).is_ok_and(|it| it.status() == 200)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|it| *it != self.child.id());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(site: &Site, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    let mut command = Command::new(site.root.join("target/release/lentilhook"));
    command.arg("front").current_dir(&site.root).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    let errors = log.try_clone().expect("the log can be written");
    command.env("LENTILHOOK_CONFIG", settings).stdin(Stdio::null()).stdout(log).stderr(errors);
    let child = command.spawn().expect("the build of the deploy file was made");
    RUNNING.lock().unwrap().push(child.id());
    child
}

/// Settings like those of a small deployment, with the bounds of the site files.
fn write_settings(site: &Site, name: &str, ip: IpAddr, path: &Path, is_first_start: bool) {
    let (store, cloud) = (site.store, site.cloud);
    let text = format!(
        "node={name}\nrole=front\nmachine_class=front\nserves=front,control\nip={ip}\nzone=a\n\
         region=r\nzones.a=r\nlisten.front={ip}:8221\nlisten.ready={ip}:8224\n\
         listen.control={ip}:8229\nport_range=7600,7615\nseeds=\nbootstrap={is_first_start}\n\
         loss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
         limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
         entry=vip\nbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,\
         tenants,quota,leader,platform\ntolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
         bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2000\nbounds.downgrade_ms=250\nbounds.max_skew_ms=5000\n\
         bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n\
         bounds.retry_window_s=10\nbounds.retry_extra=54\nbounds.quota_window_s=8\n\
         bounds.quota_overage=0.1\nbounds.quota_slack=190000\nbounds.require_fence=false\n\
         bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.report_window_s=5\nbounds.usage_off=0.05\n\
         bounds.usage_late_s=10\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.again_s=10\n\
         provider.addr={store}\nprovider.form=table\nprovider.writes_per_s=400\n\
         provider.reads_per_s=2000\nprovider.tx_ms=8.0\nprovider.part_writes_per_s=150\n\
         provider.row_bytes=65536\nprovider.across=false\nprovider.history_s=20\n\
         cloud.addr={cloud}\ncloud.rate_per_s=50.0\ncloud.duties=metering\ncloud.duty_per_s=50.0\n"
    );
    fs::write(path, text).expect("the settings can be written");
}

/// Returns a loopback address on which the ports of a daemon are free.
fn unused_ip() -> IpAddr {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut seed = since_epoch.subsec_nanos() ^ std::process::id().rotate_left(16);
    loop {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let [a, b, c, _] = seed.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254)));
        let is_free = |port: &u16| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok();
        if PORTS.iter().all(is_free) {
            return ip;
        }
    }
}
