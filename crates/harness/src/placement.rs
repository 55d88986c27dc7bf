//! Support for deployments whose endpoints are started by the daemons.

use std::fs;
use std::io;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::Endpoint;
use crate::cluster::MODEL_SERVICE;
use crate::cluster::admin_call;
use crate::cluster::listen_address;
use crate::cluster::post;
use crate::process::Process;

impl Cluster {
    /// Starts an engine that the platform lists only after a daemon has ordered it.
    pub fn add_spare_engine(&mut self, vm: &str, zone: &str, checks_fence: bool) -> io::Result<()> {
        let log = self.folder.path().join(format!("{vm}.log"));
        let fence_arguments: &[&str] = if checks_fence { &["--checks-fence"] } else { &[] };
        let arguments = [&["engine", "--vm", vm, "--zone", zone], fence_arguments].concat();
        let process = Process::start("standins", &arguments, &log)?;
        let address = listen_address(&process)?;
        let spare = json!({
            "id": vm, "incarnation": 1, "role": "endpoint", "service": MODEL_SERVICE,
            "zone": zone, "class": "accelerator", "address": address,
            "price_per_hour": 1.0, "reclaimable": true, "state": "live",
        });
        post(&self.platform.address, "/fake/spare", &spare)?;
        self.engines.push(Endpoint { process, vm: vm.to_owned(), address });
        Ok(())
    }

    /// Sets the minimum and maximum number of VMs of a service.
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

    /// Returns the zone of each live endpoint that the first daemon sees.
    pub fn endpoint_zones(&self) -> Vec<String> {
        let Some(daemon) = self.daemons.first() else { return Vec::new() };
        let list = admin_call(&daemon.operators, "ListVms", &json!({})).unwrap_or_default();
        let vms = list["vms"].as_array().cloned().unwrap_or_default();
        let is_live = |vm: &&Value| vm["role"] == "endpoint" && vm["state"] == "live";
        let zones = vms.iter().filter(is_live).filter_map(|vm| vm["zone"].as_str());
        zones.map(str::to_owned).collect()
    }

    /// Returns the index of the first daemon whose latest log line about a lease says
    /// that it holds the lease.
    pub fn lease_holder(&self, lease: &str) -> io::Result<usize> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let log = fs::read_to_string(&daemon.process.log)?;
            let latest = log.lines().rfind(|line| line.contains(lease));
            if latest.is_some_and(|line| line.contains("held=true")) {
                return Ok(index);
            }
        }
        Err(io::Error::other(format!("no daemon holds the {lease}")))
    }
}
