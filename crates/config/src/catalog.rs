//! Catalog of the objects in force at a revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::Error;
use crate::change;
use crate::change::Change;
use crate::change::Edit;
use crate::change::Key;
use crate::object::Idempotency;
use crate::object::Kind;
use crate::object::Rule;
use crate::object::Service;
use crate::object::Workspace;

/// Maximum length of an object name.
const MAX_NAME_BYTES: usize = 64;
/// Length of a SHA-256 hash in hex.
const SHA256_HEX_DIGITS: usize = 64;

/// An object with the revision at which it was last changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record<T> {
    /// Revision of the last change of the object.
    pub revision: u64,
    /// The object.
    pub object: T,
}

/// All objects in force at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Revision of the latest change in the catalog.
    pub revision: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Record<Workspace>>,
    /// Services by name.
    pub services: BTreeMap<String, Record<Service>>,
    /// Rules by name.
    pub rules: BTreeMap<String, Record<Rule>>,
}

/// How the rules require a request to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the request must carry an `Idempotency-Key`.
    pub key_required: bool,
}

impl Catalog {
    /// Returns the weight of a workspace in the sharing of capacity, at least 1.
    /// An unknown workspace has weight 1.
    pub fn share(&self, workspace: &str) -> u32 {
        let found = self.workspaces.get(workspace);
        found.map_or(1, |it| it.object.share.max(1))
    }

    /// Validates a change against this catalog.
    ///
    /// Fails if the object is not at the expected revision, if a field is
    /// invalid, or if a reference between objects would be broken.
    pub fn check(&self, change: &Change) -> Result<(), Error> {
        let key = change.edit.object_key();
        let current = self.revision_of(&key);
        if current != change.expected_revision {
            let expected = change.expected_revision;
            return Err(Error::Conflict { name: key.to_string(), expected, current });
        }
        match &change.edit {
            Edit::PutWorkspace(it) => check_workspace(it),
            Edit::PutService(it) => check_service(it),
            Edit::PutRule(it) => self.check_rule(it),
            Edit::Delete(it) => self.check_delete(it),
        }
    }

    /// Applies a validated edit as `revision`.
    pub fn apply(&mut self, edit: &Edit, revision: u64) {
        self.revision = revision;
        match edit.clone() {
            Edit::PutWorkspace(object) => {
                self.workspaces.insert(object.name.clone(), Record { revision, object });
            }
            Edit::PutService(object) => {
                self.services.insert(object.name.clone(), Record { revision, object });
            }
            Edit::PutRule(object) => {
                self.rules.insert(object.name.clone(), Record { revision, object });
            }
            Edit::Delete(key) => self.remove(&key),
        }
    }

    /// Returns the revision of an object, or 0 if it does not exist.
    pub fn revision_of(&self, key: &Key) -> u64 {
        let found = match key.kind {
            change::Kind::Workspace => self.workspaces.get(&key.name).map(|it| it.revision),
            change::Kind::Service => self.services.get(&key.name).map(|it| it.revision),
            change::Kind::Rule => self.rules.get(&key.name).map(|it| it.revision),
        };
        found.unwrap_or(0)
    }

    /// Returns the workspace to which a token belongs.
    pub fn workspace_by_token(&self, token: &str) -> Option<&Workspace> {
        let hash = token_sha256(token);
        let is_equal = |it: &String| bool::from(it.as_bytes().ct_eq(hash.as_bytes()));
        let mut found = None;
        // All hashes are compared in full, so that the duration reveals nothing
        // about which one is a near match.
        for workspace in self.workspaces.values().map(|it| &it.object) {
            let match_count = workspace.token_sha256.iter().filter(|it| is_equal(it)).count();
            if match_count > 0 {
                found = Some(workspace);
            }
        }
        found
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|it| &it.object)
    }

    /// Returns the policy for a request. The matching rule with the longest path
    /// applies. A request without a matching rule is non-idempotent.
    pub fn request_policy(&self, service: &str, method: &str, path: &str) -> Policy {
        let rules = self.rules.values().map(|it| &it.object);
        let matching = rules.filter(|it| it.matches(service, method, path));
        let default = Policy { idempotency: Idempotency::NonIdempotent, key_required: false };
        matching
            .max_by_key(|it| it.path.len())
            .map_or(default, |it| Policy { idempotency: it.repeat, key_required: it.key_required })
    }

    fn check_rule(&self, rule: &Rule) -> Result<(), Error> {
        let object = format!("rule {}", rule.name);
        check_name(&object, &rule.name)?;
        let Some(service) = self.service(&rule.service) else {
            return Err(Error::NotFound { name: format!("service {}", rule.service) });
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

    fn check_delete(&self, key: &Key) -> Result<(), Error> {
        if self.revision_of(key) == 0 {
            return Err(Error::NotFound { name: key.to_string() });
        }
        let referrer = self.rules.values().find(|it| it.object.service == key.name);
        match (key.kind, referrer) {
            (change::Kind::Service, Some(rule)) => {
                let referrer = format!("rule {}", rule.object.name);
                Err(Error::InUse { name: key.to_string(), referrer })
            }
            _ => Ok(()),
        }
    }

    fn remove(&mut self, key: &Key) {
        match key.kind {
            change::Kind::Workspace => {
                self.workspaces.remove(&key.name);
            }
            change::Kind::Service => {
                self.services.remove(&key.name);
            }
            change::Kind::Rule => {
                self.rules.remove(&key.name);
            }
        }
    }
}

/// Returns the SHA-256 of a token in lower-case hex.
pub fn token_sha256(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check_workspace(workspace: &Workspace) -> Result<(), Error> {
    let object = format!("workspace {}", workspace.name);
    check_name(&object, &workspace.name)?;
    let is_hash =
        |it: &&String| it.len() == SHA256_HEX_DIGITS && it.chars().all(|c| c.is_ascii_hexdigit());
    if let Some(value) = workspace.token_sha256.iter().find(|it| !is_hash(it)) {
        let remedy = "give the SHA-256 of the token in 64 lower-case hex digits";
        return Err(invalid(&object, "token_sha256", value, remedy));
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
    let is_allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
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
