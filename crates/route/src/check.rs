//! Checks a configuration before operators send it.
//!
//! Finds entries that are invalid, entries that no request can ever match, and limits that
//! contradict each other. Daemons accept such configurations, and what they do with them is
//! seldom what was meant.

use std::collections::HashMap;
use std::fmt;

use crate::config;
use crate::config::Config;
use crate::config::Limits;
use crate::config::Quota;
use crate::config::Route;
use crate::config::Scale;
use crate::config::Service;
use crate::config::Unit;
use crate::config::Workspace;

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The entry is invalid.
    Error,
    /// No request can ever match the entry.
    Unmatchable,
    /// Two limits contradict each other.
    Contradiction,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Error => "error",
            Kind::Unmatchable => "never matches",
            Kind::Contradiction => "contradiction",
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
    report.add(Kind::Error, config.version == 0, "version 0 means none; use 1 or more");
    check_routes(config, &mut report);
    check_services(config, &mut report);
    check_workspaces(config, &mut report);
    check_limits(&config.limits, &mut report);
    report.findings
}

/// Findings so far, and the entry that is being checked.
struct Report {
    findings: Vec<Finding>,
    entry: String,
}

impl Report {
    fn add(&mut self, kind: Kind, is_found: bool, text: &str) {
        if is_found {
            let (entry, text) = (self.entry.clone(), text.to_owned());
            self.findings.push(Finding { kind, entry, text });
        }
    }
}

fn check_routes(config: &Config, report: &mut Report) {
    // Of routes with the same host and prefix, daemons use the last one.
    let mut last: HashMap<(String, &str), usize> = HashMap::new();
    let mut names: HashMap<&str, usize> = HashMap::new();
    for (index, route) in config.routes.iter().enumerate() {
        last.insert((route.host.to_ascii_lowercase(), &route.prefix), index);
        *names.entry(&route.name).or_default() += 1;
    }
    for (index, route) in config.routes.iter().enumerate() {
        report.entry = format!("route {:?}", route.name);
        let is_shared = names.get(route.name.as_str()).is_some_and(|it| *it > 1);
        report.add(Kind::Error, is_shared, "several routes have this name; rename all but one");
        let later = last.get(&(route.host.to_ascii_lowercase(), route.prefix.as_str()));
        if let Some(later) = later.filter(|it| **it != index) {
            let name = &config.routes[*later].name;
            let text = format!("route {name:?} has the same host and prefix; remove one of them");
            report.add(Kind::Unmatchable, true, &text);
        }
        check_pattern(route, report);
        check_backends(route, &config.services, report);
        check_times(route, report);
    }
}

fn check_pattern(route: &Route, report: &mut Report) {
    let prefix = &route.prefix;
    let is_delimited = prefix.starts_with('/') && prefix.ends_with('/');
    let text = format!("prefix {prefix:?}: begin and end it with a slash");
    report.add(Kind::Unmatchable, !is_delimited, &text);
    let is_path = !prefix.contains(['?', '#', ' ']);
    let text = format!("prefix {prefix:?}: use a path without a query, fragment or space");
    report.add(Kind::Unmatchable, !is_path, &text);
    let is_name = !route.host.is_empty() && !route.host.contains([':', '/', '*']);
    let text = format!("host {:?}: use a name without a port or wildcard", route.host);
    report.add(Kind::Unmatchable, !is_name, &text);
}

fn check_backends(route: &Route, services: &[Service], report: &mut Report) {
    report.add(Kind::Error, route.backends.is_empty(), "no service; name one or more");
    let total: u64 = route.backends.iter().map(|it| u64::from(it.weight)).sum();
    let is_unweighted = total == 0 && !route.backends.is_empty();
    report.add(Kind::Error, is_unweighted, "weights add up to 0; give a service a weight");
    for backend in &route.backends {
        let is_known = services.iter().any(|it| it.name == backend.service);
        let text = format!("service {:?} doesn't exist; add or rename it", backend.service);
        report.add(Kind::Error, !is_known, &text);
        let is_unused = backend.weight == 0 && total > 0;
        let text = format!(
            "service {:?} gets no requests: use a weight of 0.001 or more, or remove it",
            backend.service
        );
        report.add(Kind::Unmatchable, is_unused, &text);
    }
}

fn check_times(route: &Route, report: &mut Report) {
    let timeout_ms = route.timeout_ms;
    report.add(Kind::Error, timeout_ms == 0, "timeout 0; use a timeout in milliseconds");
    for (name, limit_ms) in [("objective", route.objective_ms), ("gap", route.gap_ms)] {
        let text = format!(
            "the {name} of {limit_ms} ms is longer than the timeout of {timeout_ms} ms; raise the \
             timeout or lower the {name}"
        );
        report.add(Kind::Contradiction, timeout_ms > 0 && limit_ms > timeout_ms, &text);
    }
    let is_resumed = route.resumable && route.kind != config::Kind::Stream;
    let text = "resumable, but not a stream; make it a stream or not resumable";
    report.add(Kind::Contradiction, is_resumed, text);
    report.add(Kind::Error, route.attempts == 0, "0 attempts; use 1 or more");
}

fn check_services(config: &Config, report: &mut Report) {
    for (index, service) in config.services.iter().enumerate() {
        report.entry = format!("service {:?}", service.name);
        let is_duplicate = config.services[..index].iter().any(|it| it.name == service.name);
        report.add(Kind::Error, is_duplicate, "defined twice; remove one definition");
        let mut backends = config.routes.iter().flat_map(|it| &it.backends);
        let is_used = backends.any(|it| it.service == service.name);
        report.add(Kind::Unmatchable, !is_used, "no route uses it; add a route or remove it");
        let connections = service.max_connections;
        report.add(Kind::Error, connections == 0, "0 connections; use 1 or more");
        if let Some(engine) = &service.engine {
            let is_empty = engine.slots == 0 || engine.memory_tokens == 0;
            report.add(Kind::Error, is_empty, "an engine without slots or memory; state both");
            let text = format!(
                "{} slots of an engine, but {connections} connections to it; raise the connections",
                engine.slots
            );
            report.add(Kind::Contradiction, engine.slots > connections, &text);
        }
        if let Some(scale) = &service.scale {
            check_scale(scale, report);
        }
    }
}

fn check_scale(scale: &Scale, report: &mut Report) {
    let text = format!("at least {} endpoints a zone, but at most {}", scale.min, scale.max);
    report.add(Kind::Contradiction, scale.min > scale.max, &text);
    let text = "endpoints can be ordered, but no zone has a price; add the zones' prices";
    report.add(Kind::Error, scale.zones.is_empty(), text);
    for zone in &scale.zones {
        let is_priced = zone.price.is_finite() && zone.price > 0.0;
        let text = format!("zone {:?} has price {}; use one above 0", zone.zone, zone.price);
        report.add(Kind::Error, !is_priced, &text);
    }
    let Some(price) = scale.reclaimable_price else { return };
    let text = format!(
        "reclaimable endpoints cost {price} of the price of others; use a value between 0 and 1, \
         or none"
    );
    report.add(Kind::Contradiction, !(price > 0.0 && price < 1.0), &text);
}

fn check_workspaces(config: &Config, report: &mut Report) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for workspace in config.workspaces.iter().rev() {
        for key in &workspace.keys {
            owners.entry(key).or_insert(&workspace.name);
        }
    }
    for (index, workspace) in config.workspaces.iter().enumerate() {
        report.entry = format!("workspace {:?}", workspace.name);
        let is_duplicate = config.workspaces[..index].iter().any(|it| it.name == workspace.name);
        report.add(Kind::Error, is_duplicate, "defined twice; remove one definition");
        check_keys(workspace, &owners, report);
        if let Some(quota) = &workspace.quota {
            check_quota(quota, report);
        }
    }
    report.entry = "configuration".to_owned();
    let needs_keys = config.routes.iter().any(|it| !it.public);
    let text = "routes need a key, but without workspaces anyone may call them; add a workspace, \
                or make the routes public";
    report.add(Kind::Contradiction, needs_keys && config.workspaces.is_empty(), text);
}

/// Checks a workspace's keys, of which no text is repeated.
fn check_keys(workspace: &Workspace, owners: &HashMap<&str, &str>, report: &mut Report) {
    report.add(Kind::Unmatchable, workspace.keys.is_empty(), "no key; add one or remove it");
    let has_empty = workspace.keys.iter().any(String::is_empty);
    report.add(Kind::Error, has_empty, "an empty key; remove it");
    let mut others: Vec<&str> =
        workspace.keys.iter().filter_map(|it| owners.get(it.as_str()).copied()).collect();
    others.sort_unstable();
    others.dedup();
    for other in others.into_iter().filter(|it| *it != workspace.name) {
        let text = format!("a key belongs to workspace {other:?} too; remove it from one of them");
        report.add(Kind::Error, true, &text);
    }
}

fn check_quota(quota: &Quota, report: &mut Report) {
    let is_valid = |it: f64| it.is_finite() && it > 0.0;
    let is_error = !is_valid(quota.rate) || !is_valid(quota.burst);
    report.add(Kind::Error, is_error, "rate or burst isn't above 0; state both");
    if let Unit::Tokens { default_tokens } = quota.unit {
        let text = format!(
            "{default_tokens} tokens are charged for a request that states none, but the burst is \
             {}; raise the burst",
            quota.burst
        );
        report.add(Kind::Contradiction, default_tokens > quota.burst, &text);
    }
}

fn check_limits(limits: &Limits, report: &mut Report) {
    report.entry = "limits".to_owned();
    let sizes =
        [limits.head_bytes as u64, limits.body_bytes as u64, limits.head_ms, limits.idle_ms];
    report.add(Kind::Error, sizes.contains(&0), "a limit is 0, so that no request is accepted");
    let text = format!(
        "the timeout of a head, {} ms, is longer than the idle timeout, {} ms, which ends the \
         connection first",
        limits.head_ms, limits.idle_ms
    );
    report.add(Kind::Contradiction, limits.head_ms > limits.idle_ms, &text);
}
