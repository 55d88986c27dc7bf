//! Changes from one version of the configuration to another.
//!
//! Designed for thousands of routes and several changes a second: on the links of small VMs,
//! one whole configuration for each of several daemons takes longer than a change may take to
//! be in force.

use std::collections::HashMap;
use std::collections::HashSet;

use bincode::Decode;
use bincode::Encode;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::Route;

/// Maximum number of changes that are remembered.
const MAX_CHANGES: usize = 4_096;

/// What turns one version of the configuration into a later one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Delta {
    /// Version that it applies to.
    pub since: u64,
    /// The later configuration with only those routes that are new or have changed.
    pub config: Config,
    /// Names of the routes that the later configuration doesn't have.
    pub removed: Vec<String>,
    /// Checksum of all routes of the later configuration.
    pub checksum: u64,
}

impl Delta {
    /// Returns the later configuration, or `None` if `base` has another version than the
    /// delta applies to, or the result isn't what the sender has.
    pub fn apply(self, base: &Config) -> Option<Config> {
        if base.version != self.since {
            return None;
        }
        let replaced = self.config.routes.iter().map(|it| it.name.as_str());
        let dropped: HashSet<&str> =
            replaced.chain(self.removed.iter().map(String::as_str)).collect();
        let kept = base.routes.iter().filter(|it| !dropped.contains(it.name.as_str())).cloned();
        let kept: Vec<Route> = kept.collect();
        let mut config = self.config;
        config.routes.extend(kept);
        (checksum(&config.routes) == self.checksum).then_some(config)
    }
}

/// At which versions routes have changed, as far as a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Version since which all changes are known.
    complete_since: u64,
    /// Versions at which routes were added or changed, by name.
    changed: HashMap<String, u64>,
    /// Versions at which routes were removed, by name.
    removed: HashMap<String, u64>,
}

impl Changes {
    /// Records that `after` replaces `before`. Versions between them may have been skipped.
    pub fn record(&mut self, before: &Config, after: &Config) {
        if before.version == 0 || self.changed.len() + self.removed.len() > MAX_CHANGES {
            *self = Changes { complete_since: after.version, ..Changes::default() };
            return;
        }
        let mut former: HashMap<&str, &Route> =
            before.routes.iter().map(|it| (it.name.as_str(), it)).collect();
        for route in &after.routes {
            if former.remove(route.name.as_str()) != Some(route) {
                self.changed.insert(route.name.clone(), after.version);
                self.removed.remove(&route.name);
            }
        }
        for name in former.into_keys() {
            self.removed.insert(name.to_owned(), after.version);
            self.changed.remove(name);
        }
    }

    /// Returns what turns version `since` into `config`, the latest one that was recorded;
    /// `None` if that isn't known.
    pub fn since(&self, since: u64, config: &Config) -> Option<Delta> {
        if since < self.complete_since || since == 0 || since >= config.version {
            return None;
        }
        let is_new = |name: &str| self.changed.get(name).is_some_and(|it| *it > since);
        let routes = config.routes.iter().filter(|it| is_new(&it.name)).cloned().collect();
        let removed = self.removed.iter().filter(|(_, version)| **version > since);
        let latest = Config {
            version: config.version,
            routes,
            services: config.services.clone(),
            limits: config.limits,
            workspaces: config.workspaces.clone(),
        };
        Some(Delta {
            since,
            config: latest,
            removed: removed.map(|(name, _)| name.clone()).collect(),
            checksum: checksum(&config.routes),
        })
    }
}

/// Returns a checksum that doesn't depend on the routes' order.
fn checksum(routes: &[Route]) -> u64 {
    let encode = |it: &Route| bincode::encode_to_vec(it, bincode::config::standard());
    // Routes consist of strings and numbers, which can always be encoded.
    routes.iter().map(|it| xxh3_64(&encode(it).unwrap_or_default())).fold(0, |sum, it| sum ^ it)
}
