//! Changes made by operators.

use serde::Deserialize;
use serde::Serialize;

use crate::object::Rule;
use crate::object::Service;
use crate::object::Workspace;

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A rule.
    Rule,
}

/// Kind and name that identify an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique among the objects of this kind.
    pub name: String,
}

/// Edit of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Creates or replaces a workspace.
    PutWorkspace(Workspace),
    /// Creates or replaces a service.
    PutService(Service),
    /// Creates or replaces a rule.
    PutRule(Rule),
    /// Removes an object.
    Delete(Key),
}

/// An edit together with the revision that the operator has seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Edit to apply.
    pub edit: Edit,
    /// Revision that the object must have, 0 for a new object.
    pub expected_revision: u64,
}

impl Edit {
    /// Returns the key of the edited object.
    pub fn object_key(&self) -> Key {
        let (kind, name) = match self {
            Edit::PutWorkspace(it) => (Kind::Workspace, &it.name),
            Edit::PutService(it) => (Kind::Service, &it.name),
            Edit::PutRule(it) => (Kind::Rule, &it.name),
            Edit::Delete(it) => return it.clone(),
        };
        Key { kind, name: name.clone() }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind {
            Kind::Workspace => "workspace",
            Kind::Service => "service",
            Kind::Rule => "rule",
        };
        write!(f, "{kind} {}", self.name)
    }
}
