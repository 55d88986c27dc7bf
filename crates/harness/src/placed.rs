//! Deployments whose endpoints the daemons place themselves.

use std::fs;
use std::io;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::Endpoint;
use crate::cluster::MODEL_SERVICE;
use crate::cluster::admin_call;
use crate::cluster::listening;
use crate::cluster::post;
use crate::process::Process;

impl Cluster {
    /// Starts an engine that the platform shows only once it was ordered.
    pub fn add_spare_engine(&mut self, vm: &str, zone: &str, checks_fence: bool) -> io::Result<()> {
        let log = self.folder.path().join(format!("{vm}.log"));
        let fence: &[&str] = if checks_fence { &["--checks-fence"] } else { &[] };
        let arguments = [&["engine", "--vm", vm, "--zone", zone], fence].concat();
        let process = Process::start("standins", &arguments, &log)?;
        let address = listening(&process)?;
        let spare = json!({
            "id": vm, "incarnation": 1, "role": "endpoint", "service": MODEL_SERVICE,
            "zone": zone, "class": "accelerator", "address": address,
            "price_per_hour": 1.0, "reclaimable": true, "state": "live",
        });
        post(&self.platform.address, "/fake/spare", &spare)?;
        self.engines.push(Endpoint { process, vm: vm.to_owned(), address });
        Ok(())
    }

    /// Sets how many VMs of a service are kept running.
    pub fn set_vms(&self, service: &str, min: u32, max: u32) -> io::Result<()> {
        let catalog = self.admin("GetCatalog", &json!({}))?;
        let services = catalog["services"].as_array().cloned().unwrap_or_default();
        let found = services.into_iter().find(|it| it["name"] == service);
        let mut changed = found.ok_or_else(|| io::Error::other("no such service"))?;
        let revision = changed["revision"].take();
        changed["revision"] = json!(0);
        changed["min_vms"] = json!(min);
        changed["max_vms"] = json!(max);
        let request = json!({ "service": changed, "expected_revision": revision });
        self.admin("PutService", &request)?;
        Ok(())
    }

    /// Live endpoints that the first daemon sees, by zone.
    pub fn endpoint_zones(&self) -> Vec<String> {
        let Some(daemon) = self.daemons.first() else { return Vec::new() };
        let list = admin_call(&daemon.operators, "ListVms", &json!({})).unwrap_or_default();
        let vms = list["vms"].as_array().cloned().unwrap_or_default();
        let is_live = |vm: &&Value| vm["role"] == "endpoint" && vm["state"] == "live";
        let zones = vms.iter().filter(is_live).filter_map(|vm| vm["zone"].as_str());
        zones.map(str::to_owned).collect()
    }

    /// Place in the list of the daemon whose log last says that it holds a lease.
    pub fn holder(&self, lease: &str) -> io::Result<usize> {
        for (at, daemon) in self.daemons.iter().enumerate() {
            let log = fs::read_to_string(&daemon.process.log)?;
            let last = log.lines().rfind(|line| line.contains(lease));
            if last.is_some_and(|line| line.contains("held=true")) {
                return Ok(at);
            }
        }
        Err(io::Error::other(format!("nobody holds the {lease}")))
    }
}
