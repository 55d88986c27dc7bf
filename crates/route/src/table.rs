//! Lookup of routes and keys in one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::Route;
use crate::config::Service;
use crate::config::Workspace;

/// A configuration with lookup indexes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The configuration.
    pub config: Arc<Config>,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
}

/// The result of a lookup.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Matching route.
    pub route: &'a Route,
    /// Service chosen among the route's backends.
    pub service: &'a str,
    /// Workspace that the key belongs to.
    pub workspace: Option<&'a Workspace>,
}

impl<'a> Match<'a> {
    /// Returns the match with another of the route's services; `None` if the route doesn't
    /// send requests there.
    pub fn with_service(&self, service: &str) -> Option<Match<'a>> {
        let backend = self.route.backends.iter().find(|it| it.service == service);
        let service = &backend.filter(|it| it.weight > 0)?.service;
        Some(Match { service, ..*self })
    }
}

/// Why a lookup was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route of the host has a matching path prefix.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(config: Arc<Config>) -> Table {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().insert(route.prefix.clone(), index);
        }
        let mut by_key = HashMap::new();
        for (index, workspace) in config.workspaces.iter().enumerate() {
            by_key.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        let entry = |(index, it): (usize, &Service)| (it.name.clone(), index);
        let by_service = config.services.iter().enumerate().map(entry).collect();
        Table { config, by_host, by_key, by_service }
    }

    /// Finds the route, service and workspace of a request. The hash of `hash_key`
    /// selects among the weighted backends.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route requires a key and `key` belongs to
    /// no workspace.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        hash_key: &str,
    ) -> Result<Match<'_>, Rejection> {
        let route = self.route(host, path).ok_or(Rejection::NoRoute)?;
        let workspace =
            key.and_then(|it| self.by_key.get(it)).map(|index| &self.config.workspaces[*index]);
        let needs_key = !route.public && !self.config.workspaces.is_empty();
        if needs_key && workspace.is_none() {
            return Err(Rejection::UnknownKey);
        }
        Ok(Match { route, service: select_backend(route, hash_key), workspace })
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_service.get(name).map(|index| &self.config.services[*index])
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.by_host.get(&name)?;
        // Prefixes end with a slash, so only these can match. Tries the longest first.
        let candidates = path.rmatch_indices('/').map(|(end, _)| &path[..=end]);
        let index = candidates.filter_map(|prefix| prefixes.get(prefix)).next()?;
        Some(&self.config.routes[*index])
    }
}

fn select_backend<'a>(route: &'a Route, hash_key: &str) -> &'a str {
    let total: u64 = route.backends.iter().map(|it| u64::from(it.weight)).sum();
    let mut remainder = xxh3_64(hash_key.as_bytes()) % total.max(1);
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if remainder < weight {
            return &backend.service;
        }
        remainder -= weight;
    }
    route.backends.first().map_or("", |it| &it.service)
}
