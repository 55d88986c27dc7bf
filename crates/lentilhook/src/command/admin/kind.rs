//! Kinds of objects and lists on the command line.

use std::str::FromStr;

use admin::generated;
use serde_json::Value;
use serde_json::json;

/// A kind of operators' objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A rule.
    Rule,
}

/// What can be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Workspaces.
    Workspaces,
    /// Services.
    Services,
    /// Rules.
    Rules,
    /// All VMs.
    Vms,
    /// VMs with endpoints.
    Endpoints,
    /// VMs with daemons.
    Daemons,
    /// Leases that the daemon holds.
    Leases,
    /// The revision in force.
    Revisions,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Workspace, Kind::Service, Kind::Rule];

    /// Word on the command line and in the schema.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Workspace => "workspace",
            Kind::Service => "service",
            Kind::Rule => "rule",
        }
    }

    /// List of all objects of this kind.
    pub fn listing(self) -> Listing {
        match self {
            Kind::Workspace => Listing::Workspaces,
            Kind::Service => Listing::Services,
            Kind::Rule => Listing::Rules,
        }
    }

    /// Method that creates or replaces an object.
    pub fn put_method(self) -> &'static str {
        match self {
            Kind::Workspace => "PutWorkspace",
            Kind::Service => "PutService",
            Kind::Rule => "PutRule",
        }
    }

    /// An object with every field, before any is set.
    pub fn template(self, name: &str) -> Value {
        let name = name.to_owned();
        let share = 1;
        match self {
            Kind::Workspace => {
                json!(generated::Workspace { name, share, ..generated::Workspace::default() })
            }
            Kind::Service => json!(generated::Service {
                name,
                kind: "model".to_owned(),
                first_token_target_ms: 1000,
                token_target_ms: 50,
                cost_weight: 1.0,
                recompute_weight: 1.0,
                ..generated::Service::default()
            }),
            Kind::Rule => json!(generated::Rule {
                name,
                method: "*".to_owned(),
                repeat: "non_idempotent".to_owned(),
                ..generated::Rule::default()
            }),
        }
    }
}

impl Listing {
    const ALL: [(&'static str, Listing); 8] = [
        ("workspaces", Listing::Workspaces),
        ("services", Listing::Services),
        ("rules", Listing::Rules),
        ("vms", Listing::Vms),
        ("endpoints", Listing::Endpoints),
        ("daemons", Listing::Daemons),
        ("leases", Listing::Leases),
        ("revisions", Listing::Revisions),
    ];

    /// Method that gives the list.
    pub fn method(self) -> &'static str {
        match self {
            Listing::Vms | Listing::Endpoints | Listing::Daemons => "ListVms",
            Listing::Leases => "ListLeases",
            _ => "GetCatalog",
        }
    }

    /// Field of the answer that holds the list.
    pub fn field(self) -> &'static str {
        match self {
            Listing::Workspaces => "workspaces",
            Listing::Services => "services",
            Listing::Rules => "rules",
            Listing::Vms | Listing::Endpoints | Listing::Daemons => "vms",
            Listing::Leases => "leases",
            Listing::Revisions => "revision",
        }
    }

    /// Whether an object of the answer belongs to the list.
    pub fn holds(self, object: &Value) -> bool {
        match self {
            Listing::Endpoints => object["role"] == "endpoint",
            Listing::Daemons => object["role"] == "daemon",
            _ => true,
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(word: &str) -> Result<Kind, String> {
        let known = Kind::ALL.into_iter().find(|it| it.word() == word);
        known.ok_or_else(|| format!("{word:?} is no kind; use workspace, service or rule"))
    }
}

impl FromStr for Listing {
    type Err = String;

    fn from_str(word: &str) -> Result<Listing, String> {
        let known = Listing::ALL.into_iter().find(|(name, _)| *name == word);
        let words: Vec<&str> = Listing::ALL.iter().map(|(name, _)| *name).collect();
        known
            .map(|(_, listing)| listing)
            .ok_or_else(|| format!("{word:?} can't be listed; use one of {}", words.join(", ")))
    }
}
