//! The objects in force at a revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Error;
use crate::change::Change;
use crate::change::Edit;
use crate::change::ObjectKind;
use crate::change::ObjectName;
use crate::object::Kind;
use crate::object::Repeat;
use crate::object::Rule;
use crate::object::Service;
use crate::object::Workspace;

/// Longest name of an object, in bytes.
const NAME_LIMIT_BYTES: usize = 64;
/// Length of a SHA-256 in hex digits.
const SHA256_HEX_DIGITS: usize = 64;

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revised<T> {
    /// Revision of the last change.
    pub revision: u64,
    /// The object.
    pub object: T,
}

/// All objects in force at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Revision of the newest change that is contained.
    pub revision: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Revised<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<String, Revised<Service>>,
    /// Rules by name.
    pub rules: BTreeMap<String, Revised<Rule>>,
}

/// What the rules say of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ruling {
    /// Whether it may be executed more than once.
    pub repeat: Repeat,
    /// Whether it must carry an `Idempotency-Key`.
    pub key_required: bool,
}

impl Catalog {
    /// Weight of a workspace in the sharing of capacity.
    pub fn share(&self, workspace: &str) -> u32 {
        let found = self.workspaces.get(workspace);
        found.map_or(1, |it| it.object.share.max(1))
    }

    /// Checks a change against this catalog.
    pub fn check(&self, change: &Change) -> Result<(), Error> {
        let name = change.edit.object();
        let current = self.revision_of(&name);
        if current != change.expected_revision {
            let expected = change.expected_revision;
            return Err(Error::Raced { name: name.to_string(), expected, current });
        }
        match &change.edit {
            Edit::PutWorkspace(it) => check_workspace(it),
            Edit::PutService(it) => check_service(it),
            Edit::PutRule(it) => self.check_rule(it),
            Edit::Delete(it) => self.check_delete(it),
        }
    }

    /// Applies an accepted edit as `revision`.
    pub fn apply(&mut self, edit: &Edit, revision: u64) {
        self.revision = revision;
        match edit.clone() {
            Edit::PutWorkspace(object) => {
                self.workspaces.insert(object.name.clone(), Revised { revision, object });
            }
            Edit::PutService(object) => {
                self.services.insert(object.name.clone(), Revised { revision, object });
            }
            Edit::PutRule(object) => {
                self.rules.insert(object.name.clone(), Revised { revision, object });
            }
            Edit::Delete(name) => self.remove(&name),
        }
    }

    /// Revision of an object, 0 when there is none.
    pub fn revision_of(&self, name: &ObjectName) -> u64 {
        let found = match name.kind {
            ObjectKind::Workspace => self.workspaces.get(&name.name).map(|it| it.revision),
            ObjectKind::Service => self.services.get(&name.name).map(|it| it.revision),
            ObjectKind::Rule => self.rules.get(&name.name).map(|it| it.revision),
        };
        found.unwrap_or(0)
    }

    /// Workspace whose token this is.
    pub fn workspace_of_token(&self, token: &str) -> Option<&Workspace> {
        let hash = token_sha256(token);
        let is_equal = |it: &String| bool::from(it.as_bytes().ct_eq(hash.as_bytes()));
        let mut found = None;
        // Every sum is compared whole, so that the time tells nothing of which one is near.
        for workspace in self.workspaces.values().map(|it| &it.object) {
            let matching = workspace.token_sha256.iter().filter(|it| is_equal(it)).count();
            if matching > 0 {
                found = Some(workspace);
            }
        }
        found
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|it| &it.object)
    }

    /// What the rules say of a request. What no rule covers is
    /// non-idempotent; the longest matching path wins.
    pub fn ruling(&self, service: &str, method: &str, path: &str) -> Ruling {
        let rules = self.rules.values().map(|it| &it.object);
        let matching = rules.filter(|it| it.matches(service, method, path));
        let uncovered = Ruling { repeat: Repeat::NonIdempotent, key_required: false };
        matching
            .max_by_key(|it| it.path.len())
            .map_or(uncovered, |it| Ruling { repeat: it.repeat, key_required: it.key_required })
    }

    fn check_rule(&self, rule: &Rule) -> Result<(), Error> {
        let object = format!("rule {}", rule.name);
        check_name(&object, &rule.name)?;
        let Some(service) = self.service(&rule.service) else {
            return Err(Error::Missing { name: format!("service {}", rule.service) });
        };
        if service.kind != Kind::Plain {
            let remedy = "name a plain service; model calls need no rule";
            return Err(invalid(&object, "service", &rule.service, remedy));
        }
        if !rule.path.starts_with('/') {
            return Err(invalid(&object, "path", &rule.path, "begin it with a slash"));
        }
        if rule.method != "*" && !rule.method.chars().all(|it| it.is_ascii_uppercase()) {
            return Err(invalid(&object, "method", &rule.method, "write it in upper case, or *"));
        }
        Ok(())
    }

    fn check_delete(&self, name: &ObjectName) -> Result<(), Error> {
        if self.revision_of(name) == 0 {
            return Err(Error::Missing { name: name.to_string() });
        }
        let user = self.rules.values().find(|it| it.object.service == name.name);
        match (name.kind, user) {
            (ObjectKind::Service, Some(rule)) => {
                let user = format!("rule {}", rule.object.name);
                Err(Error::InUse { name: name.to_string(), user })
            }
            _ => Ok(()),
        }
    }

    fn remove(&mut self, name: &ObjectName) {
        match name.kind {
            ObjectKind::Workspace => {
                self.workspaces.remove(&name.name);
            }
            ObjectKind::Service => {
                self.services.remove(&name.name);
            }
            ObjectKind::Rule => {
                self.rules.remove(&name.name);
            }
        }
    }
}

/// SHA-256 of a token, in lower-case hex.
pub fn token_sha256(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check_workspace(workspace: &Workspace) -> Result<(), Error> {
    let object = format!("workspace {}", workspace.name);
    check_name(&object, &workspace.name)?;
    let is_hash =
        |it: &&String| it.len() == SHA256_HEX_DIGITS && it.chars().all(|c| c.is_ascii_hexdigit());
    if let Some(wrong) = workspace.token_sha256.iter().find(|it| !is_hash(it)) {
        let remedy = "give the SHA-256 of the token in 64 lower-case hex digits";
        return Err(invalid(&object, "token_sha256", wrong, remedy));
    }
    if workspace.share == 0 {
        return Err(invalid(&object, "share", "0", "give a share of at least 1"));
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), Error> {
    let object = format!("service {}", service.name);
    check_name(&object, &service.name)?;
    for (field, weight) in
        [("cost_weight", service.cost_weight), ("recompute_weight", service.recompute_weight)]
    {
        if !weight.is_finite() || weight < 0.0 {
            let remedy = "give a finite number of at least 0";
            return Err(invalid(&object, field, &weight.to_string(), remedy));
        }
    }
    if service.max_vms > 0 && service.min_vms > service.max_vms {
        let remedy = "give at most max_vms, or max_vms 0 for no placement";
        return Err(invalid(&object, "min_vms", &service.min_vms.to_string(), remedy));
    }
    if service.first_token_target_ms == 0 {
        return Err(invalid(&object, "first_token_target_ms", "0", "give at least 1 ms"));
    }
    Ok(())
}

fn check_name(object: &str, name: &str) -> Result<(), Error> {
    let allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    if name.is_empty() || name.len() > NAME_LIMIT_BYTES || !name.chars().all(allowed) {
        let remedy = "use 1 to 64 lower-case letters, digits and dashes";
        return Err(invalid(object, "name", name, remedy));
    }
    Ok(())
}

fn invalid(object: &str, field: &str, value: &str, remedy: &str) -> Error {
    Error::Invalid {
        object: object.to_owned(),
        field: field.to_owned(),
        value: value.to_owned(),
        remedy: remedy.to_owned(),
    }
}
