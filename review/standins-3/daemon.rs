//! Daemons, started as the deploy file says.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::store::Store;

/// Program and argument of the deploy file's role.
const PROGRAM: &str = "target/release/lentilhook";
const ROLE: &str = "front";
/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "LENTILHOOK_CONFIG";
/// Time within which daemons are ready.
const START_TIME: Duration = Duration::from_secs(20);

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ports that all daemons use, each on an address of its own.
#[derive(Clone, Copy, Debug)]
struct Ports {
    callers: u16,
    readiness: u16,
    peers: u16,
    /// First of sixteen.
    range: u16,
}

/// A running daemon, which is killed on drop.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Daemons and the folder of their files, which is removed on drop.
pub struct Daemons {
    pub all: Vec<Daemon>,
    folder: PathBuf,
}

impl Drop for Daemons {
    fn drop(&mut self) {
        self.all.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Daemons {
    /// Starts daemons and waits until they are ready; `None` if they aren't in time.
    pub fn start(count: u8, store: &Store) -> Option<Daemons> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{process}"));
        fs::create_dir_all(&folder).ok()?;
        let [.., high, low] = process.to_be_bytes();
        let address = |index: u8| Ipv4Addr::new(127, 64 + high % 128, low, index + 1);
        let ports = unused_ports((0..count).map(address).collect())?;
        let mut daemons = Daemons { all: Vec::new(), folder };
        for index in 0..count {
            let daemon = start(index, address(index), address(0), ports, store, &daemons.folder)?;
            daemons.all.push(daemon);
        }
        let end = Instant::now() + START_TIME;
        while !daemons.all.iter().all(Daemon::is_ready) {
            if Instant::now() > end {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        // They hear each other within some rounds of gossip.
        thread::sleep(Duration::from_secs(2));
        Some(daemons)
    }

    // Not used by all cases.
    #[allow(dead_code)]
    /// Returns what a daemon has logged.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{index}.log"))).unwrap_or_default()
    }
}

impl Daemon {
    // Not used by all cases.
    #[allow(dead_code)]
    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        let process = self.child.id() as i32;
        // SAFETY: the process is a child that was not waited for.
        unsafe { kill(process, SIGTERM) };
    }

    fn is_ready(&self) -> bool {
        use std::io::Write;
        let Ok(stream) = std::net::TcpStream::connect(self.readiness) else { return false };
        let mut connection = Connection::new(stream);
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let is_sent = connection.stream.write_all(request).is_ok();
        is_sent && connection.head().is_ok_and(|it| it.status() == 200)
    }
}

/// Returns ports that are free on all these addresses.
fn unused_ports(addresses: Vec<Ipv4Addr>) -> Option<Ports> {
    let start = 20_000 + (std::process::id() % 400) as u16 * 25;
    let bases = (0..400).map(|it| 20_000 + (start - 20_000 + it * 25) % 10_000);
    let is_free = |port: u16| addresses.iter().all(|it| TcpListener::bind((*it, port)).is_ok());
    let base = bases.into_iter().find(|base| (*base..*base + 19).all(is_free))?;
    Some(Ports { callers: base, readiness: base + 1, peers: base + 2, range: base + 3 })
}

fn start(
    index: u8,
    ip: Ipv4Addr,
    seed: Ipv4Addr,
    ports: Ports,
    store: &Store,
    folder: &Path,
) -> Option<Daemon> {
    let Ports { callers, readiness, peers, range } = ports;
    let platform = store.address;
    let settings = format!(
        "node=front-a-{index}\nrole=front\nmachine_class=front\nserves=front,control\nip={ip}\n\
         zone=a\nregion=r\nzones.a=r\nlisten.front={ip}:{callers}\n\
         listen.ready={ip}:{readiness}\nlisten.control={ip}:{peers}\nport_range={range},{}\n\
         seeds={seed}:{peers}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n\
         limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
         discovery=platform\nentry=vip\nbeat_ms=1200\nbounds.contact_ms=3000\n\
         bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
         bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_extra=54\n\
         bounds.quota_window_s=8\nbounds.lease_ms=3000\nbounds.report_window_s=5\n\
         provider.addr={platform}\nprovider.form=table\nprovider.writes_per_s=400\n\
         provider.reads_per_s=2000\ncloud.addr={platform}\ncloud.rate_per_s=50.0\n\
         cloud.duties=metering,scaling\ncloud.duty_per_s=50.0\n",
        range + 15,
    );
    let path = folder.join(format!("{index}.conf"));
    fs::write(&path, settings).ok()?;
    let log = File::create(folder.join(format!("{index}.log"))).ok()?;
    let child = Command::new(PROGRAM)
        .arg(ROLE)
        .env(SETTINGS_VARIABLE, &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .ok()?;
    let at = |port: u16| SocketAddr::from((ip, port));
    Some(Daemon { child, callers: at(callers), readiness: at(readiness) })
}
