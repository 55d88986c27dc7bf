//! The two reference deployments at full size: 4 availability zones, 12
//! assistant and 4 plain endpoints, 5 workspaces and 7 daemons.

use std::io;

use config::catalog::token_sha256;
use replay::drive::Host;
use replay::targets::Engine;
use replay::targets::Service;
use replay::targets::Targets;
use serde_json::json;

use crate::cluster::Cluster;

/// Name of the model service.
pub const ASSISTANT: &str = "assistant";
/// Sequences that an engine runs concurrently.
pub const SLOTS: u32 = 8;
/// Interval between two generated tokens, in microseconds.
pub const TOKEN_US: u64 = 20_000;
/// Prefill time per prompt token, in microseconds.
pub const PREFILL_US: u64 = 100;
/// Target for the time to first token, in milliseconds.
const FIRST_TOKEN_TARGET_MS: u64 = 670;
/// Capacity of an engine's prefix cache, in blocks.
const CACHE_BLOCKS: u32 = 1500;
/// Engines in each availability zone.
const ENGINES_PER_ZONE: usize = 3;
/// Number of daemons.
pub const DAEMONS: usize = 7;

/// A reference deployment, which models the deployment of a user.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Availability zones and the hourly price of an engine in each.
    pub zones: [(&'static str, f64); 4],
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Path of the calls of the plain service that must not be executed twice.
    pub plain_path: &'static str,
    /// Workspaces and their shares.
    pub workspaces: [(&'static str, u32); 5],
    /// Weight of latency-bound cost, and weight of recomputed tokens.
    pub weights: (f64, f64),
}

/// The Standards Office.
pub const STANDARDS: Deployment = Deployment {
    name: "standards",
    zones: [("tema-a", 1.0), ("tema-b", 1.25), ("kpone", 0.7), ("spintex", 1.5)],
    plain_service: "registry",
    plain_path: "/renewals",
    workspaces: [("inspectors", 4), ("mills", 3), ("cores", 1), ("textile", 1), ("paper", 1)],
    weights: (3.0, 1.0),
};

/// Brazos Sled Dog Expeditions.
pub const BRAZOS: Deployment = Deployment {
    name: "brazos",
    zones: [("denton-yard", 1.1), ("krum-barn", 0.8), ("sanger-camp", 1.4), ("pilot-point", 0.9)],
    plain_service: "booking",
    plain_path: "/deposits",
    workspaces: [("tours", 4), ("kennels", 3), ("handlers", 1), ("guests", 1), ("gate", 1)],
    weights: (1.0, 3.0),
};

impl Deployment {
    /// Returns the deployment with this name.
    pub fn by_name(name: &str) -> io::Result<Deployment> {
        let found = [STANDARDS, BRAZOS].into_iter().find(|it| it.name == name);
        found.ok_or_else(|| {
            io::Error::other(format!("unknown deployment {name}; use standards or brazos"))
        })
    }

    /// Returns the names of the engines in an availability zone.
    pub fn engine_names(&self, zone: usize) -> Vec<String> {
        let (name, _) = self.zones[zone];
        (1..=ENGINES_PER_ZONE).map(|number| format!("{name}-engine-{number}")).collect()
    }

    /// Starts the deployment with daemons that use the given routing mode.
    pub fn start(&self, routing: &str) -> io::Result<Cluster> {
        let mut cluster = Cluster::start()?;
        routing.clone_into(&mut cluster.routing);
        for (number, (zone, price)) in self.zones.iter().enumerate() {
            let price = price.to_string();
            let (slots, blocks) = (SLOTS.to_string(), CACHE_BLOCKS.to_string());
            let (token_us, prefill_us) = (TOKEN_US.to_string(), PREFILL_US.to_string());
            let arguments = [
                ["--zone", zone],
                ["--price", &price],
                ["--slots", &slots],
                ["--cache-blocks", &blocks],
                ["--token-us", &token_us],
                ["--prefill-us", &prefill_us],
                ["--service", ASSISTANT],
            ];
            for vm in self.engine_names(number) {
                cluster.add_engine(&vm, arguments.as_flattened())?;
            }
            let vm = format!("{zone}-{}", self.plain_service);
            cluster.add_service(&vm, &["--zone", zone, "--service", self.plain_service])?;
        }
        for number in 0..DAEMONS {
            let (zone, _) = self.zones[number % self.zones.len()];
            cluster.add_daemon(&format!("entry-{number}"), zone)?;
        }
        self.configure(&cluster)?;
        Ok(cluster)
    }

    /// Returns the addresses and prices of the running processes.
    pub fn targets(&self, cluster: &Cluster) -> Targets {
        let price = |vm: &str| {
            let zone = self.zones.iter().find(|(zone, _)| vm.starts_with(zone));
            zone.map_or(1.0, |(_, price)| *price)
        };
        let engine = |it: &crate::cluster::Endpoint| Engine {
            vm: it.vm.clone(),
            address: it.address.clone(),
            price_per_hour: price(&it.vm),
            slots: SLOTS,
            token_us: TOKEN_US,
            prefill_us: PREFILL_US,
        };
        let service = |it: &crate::cluster::Endpoint| Service {
            vm: it.vm.clone(),
            address: it.address.clone(),
        };
        Targets {
            platform: cluster.platform.address.clone(),
            daemons: cluster.daemons.iter().map(|it| it.callers.clone()).collect(),
            engines: cluster.engines.iter().map(engine).collect(),
            services: cluster.services.iter().map(service).collect(),
            tokens: self.workspaces.iter().map(|(it, _)| ((*it).to_owned(), token(it))).collect(),
            first_token_target_ms: FIRST_TOKEN_TARGET_MS,
        }
    }

    fn configure(&self, cluster: &Cluster) -> io::Result<()> {
        for (name, share) in self.workspaces {
            let token_sha256 = [token_sha256(&token(name))];
            let workspace = json!({ "name": name, "token_sha256": token_sha256, "share": share });
            cluster.admin("PutWorkspace", &json!({ "workspace": workspace }))?;
        }
        let (cost_weight, recompute_weight) = self.weights;
        let assistant = json!({
            "name": ASSISTANT, "kind": "model", "priority": 0,
            "first_token_target_ms": FIRST_TOKEN_TARGET_MS, "token_target_ms": 31,
            "cost_weight": cost_weight, "recompute_weight": recompute_weight,
        });
        cluster.admin("PutService", &json!({ "service": assistant }))?;
        let plain = json!({
            "name": self.plain_service, "kind": "plain", "priority": 1,
            "first_token_target_ms": 1000,
        });
        cluster.admin("PutService", &json!({ "service": plain }))?;
        let writes = json!({
            "name": "once", "service": self.plain_service, "method": "POST",
            "path": self.plain_path, "repeat": "non_idempotent", "key_required": true,
        });
        cluster.admin("PutRule", &json!({ "rule": writes }))?;
        let lookups = json!({
            "name": "lookups", "service": self.plain_service, "method": "GET", "path": "/*",
            "repeat": "idempotent",
        });
        cluster.admin("PutRule", &json!({ "rule": lookups }))?;
        cluster.wait_until_settled()
    }
}

impl Host for Cluster {
    fn kill(&mut self, vm: &str) -> io::Result<()> {
        let endpoints = self.engines.iter_mut().chain(&mut self.services);
        if let Some(endpoint) = endpoints.into_iter().find(|it| it.vm == vm) {
            endpoint.process.kill()?;
        }
        if let Some(daemon) = self.daemons.iter_mut().find(|it| it.name == vm) {
            daemon.process.kill()?;
        }
        Ok(())
    }
}

fn token(workspace: &str) -> String {
    format!("{workspace}-token")
}
