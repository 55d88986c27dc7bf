//! A deployment on loopback: a fake platform, endpoints and daemons.

use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use admin::client::Client;
use config::catalog::token_sha256;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::process::Process;

/// Bearer token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Bearer token of the workspace.
pub const WORKSPACE_TOKEN: &str = "clerk-token";
/// Name of the model service.
pub const MODEL_SERVICE: &str = "assistant";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "registry";

/// Timeout for conditions that are normally met within seconds.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(20);
/// Default delay until the VM list shows a change.
const DEFAULT_LIST_LAG: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon and its listen addresses.
pub struct Daemon {
    /// Daemon process.
    pub process: Process,
    /// Name of the daemon.
    pub name: String,
    /// Address of the callers' port.
    pub callers: String,
    /// Address of the operators' port.
    pub operators: String,
    /// Address of the peers' port.
    pub peers: String,
}

/// A running fake: an engine, a plain service or the platform.
pub struct Endpoint {
    /// Process of the fake.
    pub process: Process,
    /// Name of the VM.
    pub vm: String,
    /// Listen address.
    pub address: String,
}

/// A deployment whose processes are killed when it is dropped.
pub struct Cluster {
    /// Folder of the settings files and logs.
    pub folder: TempDir,
    /// Fake platform.
    pub platform: Endpoint,
    /// Fake model engines.
    pub engines: Vec<Endpoint>,
    /// Fake plain services.
    pub services: Vec<Endpoint>,
    /// Running daemons.
    pub daemons: Vec<Daemon>,
    /// Routing mode in the settings of daemons started from now on.
    pub routing: String,
    /// Limits in the settings of daemons started from now on.
    pub limits: Value,
}

impl Cluster {
    /// Starts a deployment that consists of the platform only.
    pub fn start() -> io::Result<Cluster> {
        Cluster::start_with_lag(DEFAULT_LIST_LAG)
    }

    /// Starts a deployment with a platform whose VM list shows changes after `lag`.
    pub fn start_with_lag(lag: Duration) -> io::Result<Cluster> {
        let folder = TempDir::new()?;
        let log = folder.path().join("platform.log");
        let lag_ms = lag.as_millis().to_string();
        let process = Process::start("standins", &["platform", "--lag-ms", &lag_ms], &log)?;
        let platform =
            Endpoint { address: listen_address(&process)?, vm: "platform".to_owned(), process };
        Ok(Cluster {
            folder,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            routing: "scored".to_owned(),
            limits: json!({}),
        })
    }

    /// Starts a model engine, passing `extra` arguments to the fake.
    pub fn add_engine(&mut self, vm: &str, extra: &[&str]) -> io::Result<()> {
        let endpoint = self.start_endpoint("engine", vm, extra)?;
        self.engines.push(endpoint);
        Ok(())
    }

    /// Kills model engines, as happens at the end of a reclaim notice or earlier.
    pub fn kill_engines(&mut self, vms: &[&str]) -> io::Result<()> {
        for engine in self.engines.iter_mut().filter(|it| vms.contains(&it.vm.as_str())) {
            engine.process.kill()?;
        }
        self.engines.retain(|it| !vms.contains(&it.vm.as_str()));
        Ok(())
    }

    /// Returns the concatenated logs of all daemons.
    pub fn logs(&self) -> io::Result<String> {
        self.daemons.iter().map(|it| fs::read_to_string(&it.process.log)).collect()
    }

    /// Starts a plain service, passing `extra` arguments to the fake.
    pub fn add_service(&mut self, vm: &str, extra: &[&str]) -> io::Result<()> {
        let endpoint = self.start_endpoint("service", vm, extra)?;
        self.services.push(endpoint);
        Ok(())
    }

    /// Starts a daemon and adds it to the list.
    pub fn add_daemon(&mut self, name: &str, zone: &str) -> io::Result<()> {
        let daemon = self.start_daemon(name, zone)?;
        self.daemons.push(daemon);
        Ok(())
    }

    /// Starts a daemon without adding it to the list.
    pub fn start_daemon(&self, name: &str, zone: &str) -> io::Result<Daemon> {
        let settings = self.write_settings(name, zone)?;
        let log = self.folder.path().join(format!("{name}.log"));
        let arguments = ["serve", "--settings", &settings.display().to_string()];
        let process = Process::start("lentilhook", &arguments, &log)?;
        let field_value = |field: &str| {
            let words = process.first_line.split_whitespace();
            let found = words.filter_map(|it| it.split_once('=')).find(|(key, _)| *key == field);
            found.map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        Ok(Daemon {
            name: name.to_owned(),
            callers: field_value("callers"),
            operators: field_value("operators"),
            peers: field_value("peers"),
            process,
        })
    }

    /// Creates a workspace, both services and their rules, and waits until
    /// every daemon has applied them and sees every endpoint and daemon live.
    pub fn configure(&self) -> io::Result<()> {
        self.create_objects()?;
        self.wait_until_settled()
    }

    /// Creates a workspace, both services and the rules of the plain service.
    pub fn create_objects(&self) -> io::Result<()> {
        self.admin(
            "PutWorkspace",
            &json!({ "workspace": {
                "name": "office", "token_sha256": [token_sha256(WORKSPACE_TOKEN)], "share": 1,
            }}),
        )?;
        self.admin(
            "PutService",
            &json!({ "service": {
                "name": MODEL_SERVICE, "kind": "model", "priority": 0,
                "first_token_target_ms": 670, "token_target_ms": 31,
                "cost_weight": 1.0, "recompute_weight": 1.0,
            }}),
        )?;
        self.admin(
            "PutService",
            &json!({ "service": {
                "name": PLAIN_SERVICE, "kind": "plain", "priority": 1,
                "first_token_target_ms": 1000,
            }}),
        )?;
        self.admin(
            "PutRule",
            &json!({ "rule": {
                "name": "renewals", "service": PLAIN_SERVICE, "method": "POST",
                "path": "/renewals", "repeat": "non_idempotent", "key_required": true,
            }}),
        )?;
        self.admin(
            "PutRule",
            &json!({ "rule": {
                "name": "lookups", "service": PLAIN_SERVICE, "method": "GET",
                "path": "/*", "repeat": "idempotent",
            }}),
        )?;
        Ok(())
    }

    /// Waits until every daemon has applied the latest configuration revision
    /// and sees every endpoint and daemon live.
    pub fn wait_until_settled(&self) -> io::Result<()> {
        let vms = self.engines.len() + self.services.len() + self.daemons.len();
        let Some(first) = self.daemons.first() else { return Ok(()) };
        let latest = catalog_revision(&first.operators)?;
        for daemon in &self.daemons {
            wait_for(&format!("{} to settle", daemon.name), || {
                let revision = catalog_revision(&daemon.operators).unwrap_or(0);
                revision >= latest && live_vms(&daemon.operators).unwrap_or(0) >= vms
            })?;
        }
        Ok(())
    }

    /// Calls a method of the admin API on the first daemon.
    pub fn admin(&self, method: &str, request: &Value) -> io::Result<Value> {
        let daemon = self.daemons.first().ok_or_else(|| io::Error::other("no daemon"))?;
        admin_call(&daemon.operators, method, request)
    }

    /// Adds a daemon's VM to the platform's VM list, so that the platform can
    /// issue a reclaim notice for it.
    pub fn list_daemon_vm(&self, daemon: &Daemon) -> io::Result<()> {
        let vm = json!({
            "id": daemon.name, "incarnation": 1, "role": "daemon", "service": "",
            "zone": "", "class": "entry", "address": daemon.peers,
            "price_per_hour": 0.1, "reclaimable": true, "state": "live",
        });
        post(&self.platform.address, "/fake/vm", &vm)
    }

    /// Issues reclaim notices of length `notice` for these VMs.
    pub fn reclaim(&self, vms: &[&str], notice: Duration) -> io::Result<()> {
        let request = json!({ "vms": vms, "notice_ms": notice.as_millis() as u64 });
        post(&self.platform.address, "/fake/reclaim", &request)
    }

    fn start_endpoint(&self, kind: &str, vm: &str, extra: &[&str]) -> io::Result<Endpoint> {
        let log = self.folder.path().join(format!("{vm}.log"));
        let mut arguments = vec![kind, "--vm", vm, "--platform", &self.platform.address];
        arguments.extend(extra);
        let process = Process::start("standins", &arguments, &log)?;
        Ok(Endpoint { address: listen_address(&process)?, vm: vm.to_owned(), process })
    }

    fn write_settings(&self, name: &str, zone: &str) -> io::Result<PathBuf> {
        let secret = self.folder.path().join("peer-secret");
        fs::write(&secret, "peer secret of this run\n")?;
        fs::set_permissions(&secret, fs::Permissions::from_mode(0o600))?;
        let settings = json!({
            "daemon": name,
            "zone": zone,
            "listen": {
                "callers": "127.0.0.1:0",
                "operators": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
            },
            "platform": { "address": self.platform.address },
            "seeds": self.daemons.iter().map(|it| it.peers.as_str()).collect::<Vec<_>>(),
            "routing": { "mode": self.routing },
            "limits": self.limits,
            "access": {
                "peer_secret_file": secret,
                "operator_token_sha256": [token_sha256(OPERATOR_TOKEN)],
            },
        });
        let path = self.folder.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }
}

/// Calls a method of the admin API.
pub fn admin_call(address: &str, method: &str, request: &Value) -> io::Result<Value> {
    let client = Client::new(address, OPERATOR_TOKEN);
    let response = client.call_raw(method, request.to_string().as_bytes());
    let text = response.map_err(|it| io::Error::other(format!("{method}: {it}")))?;
    serde_json::from_str(&text).map_err(io::Error::other)
}

/// Sets the fault switches of a fake.
pub fn set_switches(address: &str, faults: &Value) -> io::Result<()> {
    post(address, "/fake/switches", faults)
}

/// Posts JSON to a fake.
pub fn post(address: &str, path: &str, body: &Value) -> io::Result<()> {
    let result = ureq::post(format!("http://{address}{path}")).send_json(body);
    result.map(|_| ()).map_err(io::Error::other)
}

/// Returns the response body of a `GET` as text.
pub fn get_text(address: &str, path: &str) -> io::Result<String> {
    let response = ureq::get(format!("http://{address}{path}")).call();
    response.map_err(io::Error::other)?.body_mut().read_to_string().map_err(io::Error::other)
}

/// Sends bytes to a path of a fake with `PUT`.
pub fn put(address: &str, path: &str, body: &[u8]) -> io::Result<()> {
    let result = ureq::put(format!("http://{address}{path}")).send(body);
    result.map(|_| ()).map_err(io::Error::other)
}

/// Decodes the JSON response of a `GET` to a fake.
pub fn get<T: DeserializeOwned>(address: &str, path: &str) -> io::Result<T> {
    let response = ureq::get(format!("http://{address}{path}")).call();
    let mut response = response.map_err(io::Error::other)?;
    response.body_mut().read_json().map_err(io::Error::other)
}

/// Returns the HTTP status of a `GET`.
pub fn status(address: &str, path: &str) -> io::Result<u16> {
    match ureq::get(format!("http://{address}{path}")).call() {
        Ok(response) => Ok(response.status().as_u16()),
        Err(ureq::Error::StatusCode(status)) => Ok(status),
        Err(error) => Err(io::Error::other(error)),
    }
}

/// Waits until a condition holds. Fails after 20 seconds with an error that names `what`.
pub fn wait_for(what: &str, condition: impl FnMut() -> bool) -> io::Result<()> {
    wait_within(EFFECT_TIMEOUT, what, condition)
}

/// Waits until a condition holds. Fails after `timeout` with an error that names `what`.
pub fn wait_within(
    timeout: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> io::Result<()> {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!("timed out waiting for {what}")));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the configuration revision that a daemon has applied.
pub fn catalog_revision(operators: &str) -> io::Result<u64> {
    let catalog = admin_call(operators, "GetCatalog", &json!({}))?;
    Ok(catalog["revision"].as_u64().unwrap_or(0))
}

fn live_vms(operators: &str) -> io::Result<usize> {
    let list = admin_call(operators, "ListVms", &json!({}))?;
    let vms = list["vms"].as_array().cloned().unwrap_or_default();
    Ok(vms.iter().filter(|vm| vm["state"] == "live").count())
}

/// Returns the listen address that a fake printed as its first line.
pub fn listen_address(process: &Process) -> io::Result<String> {
    let address = process.first_line.trim().strip_prefix("listening on ");
    address
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("the fake did not print its listen address"))
}
