//! Look-up of routes and keys in one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::Route;
use crate::config::Service;
use crate::config::Workspace;

/// A configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The configuration.
    pub config: Arc<Config>,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
}

/// Where a request goes and for whom.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Service among the route's back ends.
    pub service: &'a str,
    /// Workspace of its key.
    pub workspace: Option<&'a Workspace>,
}

/// Why a request has no place to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route of the host has a prefix of the path.
    NoRoute,
    /// The key is missing or nobody's.
    UnknownKey,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(config: Arc<Config>) -> Table {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (at, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().insert(route.prefix.clone(), at);
        }
        let mut by_key = HashMap::new();
        for (at, workspace) in config.workspaces.iter().enumerate() {
            by_key.extend(workspace.keys.iter().map(|key| (key.clone(), at)));
        }
        let named = |(at, it): (usize, &Service)| (it.name.clone(), at);
        let by_service = config.services.iter().enumerate().map(named).collect();
        Table { config, by_host, by_key, by_service }
    }

    /// Finds the route, service and workspace of a request. `spread` decides
    /// between back ends with weights.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        spread: &str,
    ) -> Result<Match<'_>, Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let holder = key.and_then(|it| self.by_key.get(it)).map(|at| &self.config.workspaces[*at]);
        let needs_key = !route.public && !self.config.workspaces.is_empty();
        if needs_key && holder.is_none() {
            return Err(Denied::UnknownKey);
        }
        Ok(Match { route, service: backend(route, spread), workspace: holder })
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_service.get(name).map(|at| &self.config.services[*at])
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.by_host.get(&name)?;
        // Prefixes end with a slash, so only these can match; longest first.
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let at = ends.filter_map(|prefix| prefixes.get(prefix)).next()?;
        Some(&self.config.routes[*at])
    }
}

fn backend<'a>(route: &'a Route, spread: &str) -> &'a str {
    let total: u64 = route.backends.iter().map(|it| u64::from(it.weight)).sum();
    let mut left = xxh3_64(spread.as_bytes()) % total.max(1);
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if left < weight {
            return &backend.service;
        }
        left -= weight;
    }
    route.backends.first().map_or("", |it| &it.service)
}
