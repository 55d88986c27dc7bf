//! Kinds of configuration objects and lists named on the command line.

use std::str::FromStr;

use admin::generated;
use serde_json::Value;
use serde_json::json;

/// A kind of configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A rule.
    Rule,
}

/// A list that the `list` command can print.
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
    /// VMs that run endpoints.
    Endpoints,
    /// VMs that run daemons.
    Daemons,
    /// Shards in use on the called daemon, and whether it holds their leases.
    Leases,
    /// The current revision of the configuration.
    Revisions,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Workspace, Kind::Service, Kind::Rule];

    /// Returns the name used on the command line and in the schema.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Workspace => "workspace",
            Kind::Service => "service",
            Kind::Rule => "rule",
        }
    }

    /// Returns the list of all objects of this kind.
    pub fn listing(self) -> Listing {
        match self {
            Kind::Workspace => Listing::Workspaces,
            Kind::Service => Listing::Services,
            Kind::Rule => Listing::Rules,
        }
    }

    /// Returns the API method that creates or replaces an object of this kind.
    pub fn put_method(self) -> &'static str {
        match self {
            Kind::Workspace => "PutWorkspace",
            Kind::Service => "PutService",
            Kind::Rule => "PutRule",
        }
    }

    /// Returns a new object in which every field has its default value.
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

    /// Returns the API method whose response contains the list.
    pub fn method(self) -> &'static str {
        match self {
            Listing::Vms | Listing::Endpoints | Listing::Daemons => "ListVms",
            Listing::Leases => "ListLeases",
            _ => "GetCatalog",
        }
    }

    /// Returns the response field that contains the list.
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

    /// Whether an object of the response belongs to the list.
    pub fn includes(self, object: &Value) -> bool {
        match self {
            Listing::Endpoints => object["role"] == "endpoint",
            Listing::Daemons => object["role"] == "daemon",
            _ => true,
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(name: &str) -> Result<Kind, String> {
        let known = Kind::ALL.into_iter().find(|it| it.as_str() == name);
        known.ok_or_else(|| format!("unknown kind {name:?}; use workspace, service or rule"))
    }
}

impl FromStr for Listing {
    type Err = String;

    fn from_str(name: &str) -> Result<Listing, String> {
        let listing = Listing::ALL.into_iter().find(|(known, _)| *known == name);
        let names: Vec<&str> = Listing::ALL.iter().map(|(name, _)| *name).collect();
        listing
            .map(|(_, listing)| listing)
            .ok_or_else(|| format!("cannot list {name:?}; use one of {}", names.join(", ")))
    }
}
