//! Differences between two versions of the configuration, for operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::Limits;
use crate::config::Route;
use crate::config::Service;
use crate::config::Workspace;

/// How an entry differs from the former version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Added,
    /// It doesn't exist any more.
    Removed,
    /// Its fields have changed: name, former and new value.
    Changed(Vec<(&'static str, String, String)>),
}

/// An entry that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The entry, such as `route "drafts"`.
    pub entry: String,
    /// How it differs.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Added => write!(f, "added: {}", self.entry),
            Change::Removed => write!(f, "removed: {}", self.entry),
            Change::Changed(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, former, new)| format!("{name} {former} -> {new}"))
                    .collect();
                write!(f, "changed: {}: {}", self.entry, fields.join(", "))
            }
        }
    }
}

/// Returns what differs between two versions, ordered by entry.
pub fn differences(former: &Config, new: &Config) -> Vec<Difference> {
    let (former, new) = (entries(former), entries(new));
    let names: BTreeSet<&String> = former.keys().chain(new.keys()).collect();
    let changes = names.into_iter().filter_map(|name| {
        let change = match (former.get(name), new.get(name)) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            (Some(former), Some(new)) => Change::Changed(changed_fields(former, new)?),
        };
        Some(Difference { entry: name.clone(), change })
    });
    changes.collect()
}

/// A field's name, its value, and what is shown of the value.
type Field = (&'static str, String, String);

fn changed_fields(former: &[Field], new: &[Field]) -> Option<Vec<(&'static str, String, String)>> {
    let pairs = former.iter().zip(new).filter(|(former, new)| former.1 != new.1);
    let changed: Vec<_> =
        pairs.map(|(former, new)| (former.0, former.2.clone(), new.2.clone())).collect();
    (!changed.is_empty()).then_some(changed)
}

/// Returns the fields of each entry. Entries with the same name are numbered.
fn entries(config: &Config) -> BTreeMap<String, Vec<Field>> {
    let routes = config.routes.iter().map(|it| (format!("route {:?}", it.name), route(it)));
    let services = config.services.iter();
    let services = services.map(|it| (format!("service {:?}", it.name), service(it)));
    let workspaces = config.workspaces.iter();
    let workspaces = workspaces.map(|it| (format!("workspace {:?}", it.name), workspace(it)));
    let mut entries = BTreeMap::new();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for (name, fields) in routes.chain(services).chain(workspaces) {
        let count = counts.entry(name.clone()).or_default();
        *count += 1;
        let entry = if *count > 1 { format!("{name} ({count})") } else { name };
        entries.insert(entry, fields);
    }
    entries.insert("limits".to_owned(), limits(&config.limits));
    entries
}

fn field(name: &'static str, value: impl fmt::Debug) -> Field {
    let value = format!("{value:?}");
    (name, value.clone(), value)
}

fn route(route: &Route) -> Vec<Field> {
    let backends: Vec<(&str, u32)> =
        route.backends.iter().map(|it| (it.service.as_str(), it.weight)).collect();
    vec![
        field("host", &route.host),
        field("prefix", &route.prefix),
        field("kind", route.kind),
        field("timeout_ms", route.timeout_ms),
        field("objective_ms", route.objective_ms),
        field("gap_ms", route.gap_ms),
        field("priority", route.priority),
        field("backends", backends),
        field("attempts", route.attempts),
        field("public", route.public),
        field("resumable", route.resumable),
    ]
}

fn service(service: &Service) -> Vec<Field> {
    vec![
        field("max_connections", service.max_connections),
        field("engine", &service.engine),
        field("scale", &service.scale),
    ]
}

/// Returns the fields of a workspace. Keys are secrets, so only their number and a hash of
/// them are shown.
fn workspace(workspace: &Workspace) -> Vec<Field> {
    let keys: BTreeSet<&String> = workspace.keys.iter().collect();
    let value = format!("{keys:?}");
    let shown = format!("{} (hash {:08x})", keys.len(), xxh3_64(value.as_bytes()) as u32);
    vec![
        ("keys", value, shown),
        field("priority", workspace.priority),
        field("quota", workspace.quota),
    ]
}

fn limits(limits: &Limits) -> Vec<Field> {
    vec![
        field("head_bytes", limits.head_bytes),
        field("body_bytes", limits.body_bytes),
        field("head_ms", limits.head_ms),
        field("idle_ms", limits.idle_ms),
    ]
}
