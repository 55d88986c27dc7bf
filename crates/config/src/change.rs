//! Operators' changes.

use serde::Deserialize;
use serde::Serialize;

use crate::object::Rule;
use crate::object::Service;
use crate::object::Workspace;

/// The kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A rule.
    Rule,
}

/// Names an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectName {
    /// Kind.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: String,
}

/// What is done to one object.
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
    Delete(ObjectName),
}

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What is done.
    pub edit: Edit,
    /// Revision of the object that the operator expects, 0 for a new one.
    pub expected_revision: u64,
}

impl Edit {
    /// The object that is edited.
    pub fn object(&self) -> ObjectName {
        let (kind, name) = match self {
            Edit::PutWorkspace(it) => (ObjectKind::Workspace, &it.name),
            Edit::PutService(it) => (ObjectKind::Service, &it.name),
            Edit::PutRule(it) => (ObjectKind::Rule, &it.name),
            Edit::Delete(it) => return it.clone(),
        };
        ObjectName { kind, name: name.clone() }
    }
}

impl std::fmt::Display for ObjectName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind {
            ObjectKind::Workspace => "workspace",
            ObjectKind::Service => "service",
            ObjectKind::Rule => "rule",
        };
        write!(f, "{kind} {}", self.name)
    }
}
