//! Checks a configuration before operators send it.
//!
//! Finds entries that are invalid, entries that no request can ever match, and limits that
//! contradict each other. Daemons accept such configurations, and what they do with them is
//! seldom what was meant.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use crate::config;
use crate::config::Config;
use crate::config::Limits;
use crate::config::Quota;
use crate::config::Route;
use crate::config::Scale;
use crate::config::Unit;
use crate::config::Workspace;

/// Number of requests to a route of which each of its services should get at least one.
const MIN_SHARE: u64 = 1_000;

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The entry is invalid.
    Error,
    /// No request can ever match the entry.
    Unmatchable,
    /// Two limits contradict each other.
    Contradiction,
    /// The entry is valid, but has an effect that is seldom meant.
    Warning,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Error => "error",
            Kind::Unmatchable => "never matches",
            Kind::Contradiction => "contradiction",
            Kind::Warning => "warning",
        })
    }
}

/// A problem of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong.
    pub kind: Kind,
    /// The entry, such as `route "drafts"`.
    pub entry: String,
    /// Description of the problem and its remedy.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.kind, self.entry, self.text)
    }
}

/// Returns the problems of a configuration, in the order of its entries.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut report = Report { findings: Vec::new(), entry: "configuration".to_owned() };
    if config.version == 0 {
        report.add(Kind::Error, "version 0 means none; use 1 or more".to_owned());
    }
    check_routes(config, &mut report);
    check_services(config, &mut report);
    check_workspaces(&config.workspaces, &mut report);
    check_limits(&config.limits, &mut report);
    report.findings
}

/// Returns the problems of replacing the configuration in force.
pub fn check_change(in_force: &Config, new: &Config) -> Vec<Finding> {
    let mut report = Report { findings: Vec::new(), entry: "configuration".to_owned() };
    if new.version <= in_force.version {
        let text = format!(
            "version {} doesn't replace version {} in force; use a higher one",
            new.version, in_force.version
        );
        report.add(Kind::Error, text);
    }
    if new.workspaces.is_empty() && !in_force.workspaces.is_empty() {
        let text = "without workspaces no route needs a key, so that anyone may call them; keep a \
                    workspace";
        report.add(Kind::Warning, text.to_owned());
    }
    report.findings
}

/// Findings so far, and the entry that is being checked.
struct Report {
    findings: Vec<Finding>,
    entry: String,
}

impl Report {
    fn add(&mut self, kind: Kind, text: String) {
        self.findings.push(Finding { kind, entry: self.entry.clone(), text });
    }
}

fn check_routes(config: &Config, report: &mut Report) {
    let mut patterns: HashMap<(String, &str), Vec<&str>> = HashMap::new();
    let mut names: HashMap<&str, usize> = HashMap::new();
    let services: HashSet<&str> = config.services.iter().map(|it| it.name.as_str()).collect();
    for route in &config.routes {
        patterns.entry(pattern(route)).or_default().push(&route.name);
        *names.entry(&route.name).or_default() += 1;
    }
    for route in &config.routes {
        report.entry = format!("route {:?} ({}{})", route.name, route.host, route.prefix);
        if names.get(route.name.as_str()).is_some_and(|it| *it > 1) {
            let text = "several routes have this name, so that each change is sent to the daemons \
                        as a whole configuration; give each route its own name";
            report.add(Kind::Warning, text.to_owned());
        }
        let same = patterns.get(&pattern(route)).filter(|it| it.len() > 1);
        if let Some(same) = same {
            // The order of routes differs between daemons that received different changes.
            let text = format!(
                "routes {same:?} have the same host and prefix, and daemons differ in which one \
                 they use; remove all but one"
            );
            report.add(Kind::Error, text);
        }
        check_pattern(route, report);
        check_backends(route, &services, report);
        check_times(route, report);
    }
}

fn pattern(route: &Route) -> (String, &str) {
    (route.host.to_ascii_lowercase(), &route.prefix)
}

fn check_pattern(route: &Route, report: &mut Report) {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let text = format!("prefix {prefix:?}: begin and end it with a slash");
        report.add(Kind::Unmatchable, text);
    }
    if prefix.contains(['?', '#', ' ']) {
        let text = format!("prefix {prefix:?}: use a path without a query, fragment or space");
        report.add(Kind::Unmatchable, text);
    }
    let host = &route.host;
    let has_port = host.contains(':') && !host.starts_with('[');
    if has_port || host.contains(['/', '*', ' ']) || !host.is_ascii() {
        let text = format!("host {host:?}: use an ASCII name without a port or wildcard");
        report.add(Kind::Unmatchable, text);
    }
}

fn check_backends(route: &Route, services: &HashSet<&str>, report: &mut Report) {
    if route.backends.is_empty() {
        report.add(Kind::Error, "no service; name one or more".to_owned());
        return;
    }
    let total: u64 = route.backends.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        let text = "the weights are 0, so that the first service gets all requests; state weights";
        report.add(Kind::Error, text.to_owned());
    }
    for backend in &route.backends {
        let service = &backend.service;
        if !services.contains(service.as_str()) {
            let text = format!("service {service:?} doesn't exist; add or rename it");
            report.add(Kind::Error, text);
        }
        if u64::from(backend.weight) * MIN_SHARE < total {
            let text = format!(
                "service {service:?} gets no request or under one in {MIN_SHARE}; raise its \
                 weight, or remove it unless it is being drained"
            );
            report.add(Kind::Warning, text);
        }
    }
}

fn check_times(route: &Route, report: &mut Report) {
    let timeout_ms = route.timeout_ms;
    if timeout_ms == 0 {
        report.add(Kind::Error, "timeout 0; use a timeout in milliseconds".to_owned());
        return;
    }
    for (name, limit_ms) in [("objective", route.objective_ms), ("gap", route.gap_ms)] {
        if limit_ms > timeout_ms {
            let text = format!(
                "the {name} of {limit_ms} ms is longer than the timeout of {timeout_ms} ms; raise \
                 the timeout or lower the {name}"
            );
            report.add(Kind::Contradiction, text);
        }
    }
    if route.resumable && route.kind != config::Kind::Stream {
        let text = "resumable, but not a stream; make it a stream or not resumable";
        report.add(Kind::Contradiction, text.to_owned());
    }
}

fn check_services(config: &Config, report: &mut Report) {
    let backends = config.routes.iter().flat_map(|it| &it.backends);
    let used: HashSet<&str> = backends.map(|it| it.service.as_str()).collect();
    let mut seen = HashSet::new();
    for service in &config.services {
        report.entry = format!("service {:?}", service.name);
        if !seen.insert(&service.name) {
            let text = "defined twice, of which the last definition is used; remove one";
            report.add(Kind::Error, text.to_owned());
        }
        if !used.contains(service.name.as_str()) {
            let text = "no route uses it; add a route or remove it";
            report.add(Kind::Unmatchable, text.to_owned());
        }
        if let Some(engine) = &service.engine
            && (engine.slots == 0 || engine.memory_tokens == 0)
        {
            let text = "an engine without slots or memory; state both";
            report.add(Kind::Error, text.to_owned());
        }
        if let Some(scale) = &service.scale {
            check_scale(scale, report);
        }
    }
}

fn check_scale(scale: &Scale, report: &mut Report) {
    if scale.min > scale.max {
        let text = format!(
            "at least {} endpoints a zone, but at most {}; raise the maximum or lower the minimum",
            scale.min, scale.max
        );
        report.add(Kind::Contradiction, text);
    }
    if scale.max == 0 {
        let text = "at most 0 endpoints a zone, so that none is ordered; raise the maximum";
        report.add(Kind::Warning, text.to_owned());
    }
    if scale.zones.is_empty() {
        let text = "endpoints can be ordered, but no zone has a price; add the zones' prices";
        report.add(Kind::Error, text.to_owned());
    }
    for zone in scale.zones.iter().filter(|it| !it.price.is_finite() || it.price < 0.0) {
        let text = format!("zone {:?} has price {}; use one from 0", zone.zone, zone.price);
        report.add(Kind::Error, text);
    }
}

fn check_workspaces(workspaces: &[Workspace], report: &mut Report) {
    // The last workspace with a key gets its requests.
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for workspace in workspaces {
        owners.extend(workspace.keys.iter().map(|it| (it.as_str(), workspace.name.as_str())));
    }
    let mut seen = HashSet::new();
    for workspace in workspaces {
        report.entry = format!("workspace {:?}", workspace.name);
        if !seen.insert(&workspace.name) {
            report.add(Kind::Error, "defined twice; remove one definition".to_owned());
        }
        check_keys(workspace, &owners, report);
        if let Some(quota) = &workspace.quota {
            check_quota(quota, report);
        }
    }
}

/// Checks a workspace's keys. They are secrets, so the findings name them by position.
fn check_keys(workspace: &Workspace, owners: &HashMap<&str, &str>, report: &mut Report) {
    if workspace.keys.is_empty() {
        report.add(Kind::Unmatchable, "no key; add one or remove it".to_owned());
    }
    for (index, key) in workspace.keys.iter().enumerate() {
        let position = index + 1;
        let is_visible = key.bytes().all(|it| it == b' ' || it.is_ascii_graphic());
        if key.is_empty() || key.trim() != key || !is_visible {
            let text = format!(
                "key {position} is empty, or has spaces around it or characters other than \
                 visible ASCII; replace it"
            );
            report.add(Kind::Unmatchable, text);
        }
        let owner = owners.get(key.as_str()).filter(|it| **it != workspace.name);
        if let Some(owner) = owner {
            let text = format!(
                "key {position} belongs to workspace {owner:?} too, which gets its requests; \
                 remove it from one of them"
            );
            report.add(Kind::Error, text);
        }
    }
}

fn check_quota(quota: &Quota, report: &mut Report) {
    let Quota { rate, burst, .. } = *quota;
    if !rate.is_finite() || rate <= 0.0 || !burst.is_finite() || burst < 0.0 {
        let text = "rate or burst is negative or no number; correct them";
        report.add(Kind::Error, text.to_owned());
        return;
    }
    if burst == 0.0 {
        let text = "burst 0, so that requests are admitted one after the other; state a burst";
        report.add(Kind::Warning, text.to_owned());
    }
    let Unit::Tokens { default_tokens } = quota.unit else { return };
    if default_tokens <= 0.0 {
        let text = "requests that state no tokens are charged none; state the tokens to charge";
        report.add(Kind::Warning, text.to_owned());
    }
    if burst > 0.0 && default_tokens > burst {
        let text = format!(
            "{default_tokens} tokens are charged for a request that states none, which waits for \
             the whole burst of {burst}; raise the burst"
        );
        report.add(Kind::Contradiction, text);
    }
}

fn check_limits(limits: &Limits, report: &mut Report) {
    report.entry = "limits".to_owned();
    if limits.idle_ms == 0 {
        let text = "the idle timeout is 0, so that no request is received; state milliseconds";
        report.add(Kind::Error, text.to_owned());
    }
    if limits.body_bytes == 0 {
        let text = "bodies have at most 0 bytes, so that only requests without one are accepted; \
                    state a size";
        report.add(Kind::Warning, text.to_owned());
    }
}
