//! Conversion between schema types and the configuration.

use config::catalog::Catalog;
use config::catalog::Record;
use config::change::Change;
use config::change::Edit;
use config::change::Key;
use config::change::Kind;
use config::object;

use crate::error::Code;
use crate::error::Error;
use crate::generated;

/// Converts a request to create or replace a workspace. Fails if the workspace is
/// missing.
pub fn put_workspace(request: generated::PutWorkspaceRequest) -> Result<Change, Error> {
    let it = request.workspace.ok_or_else(|| missing("workspace"))?;
    let workspace =
        object::Workspace { name: it.name, token_sha256: it.token_sha256, share: it.share };
    let edit = Edit::PutWorkspace(workspace);
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// Converts a request to create or replace a service. Fails if the service is
/// missing or a field is invalid.
pub fn put_service(request: generated::PutServiceRequest) -> Result<Change, Error> {
    let it = request.service.ok_or_else(|| missing("service"))?;
    let kind = match it.kind.as_str() {
        "model" => object::Kind::Model,
        "plain" => object::Kind::Plain,
        other => return Err(invalid("service.kind", other, "model or plain")),
    };
    let priority = u8::try_from(it.priority)
        .map_err(|_| invalid("service.priority", &it.priority.to_string(), "0 to 255"))?;
    let service = object::Service {
        name: it.name,
        kind,
        checks_fence: it.checks_fence,
        priority,
        first_token_target_ms: it.first_token_target_ms,
        token_target_ms: it.token_target_ms,
        cost_weight: it.cost_weight,
        recompute_weight: it.recompute_weight,
        min_vms: it.min_vms,
        max_vms: it.max_vms,
    };
    let edit = Edit::PutService(service);
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// Converts a request to create or replace a rule. Fails if the rule is missing or
/// a field is invalid.
pub fn put_rule(request: generated::PutRuleRequest) -> Result<Change, Error> {
    let it = request.rule.ok_or_else(|| missing("rule"))?;
    let repeat = match it.repeat.as_str() {
        "idempotent" => object::Idempotency::Idempotent,
        "non_idempotent" => object::Idempotency::NonIdempotent,
        other => return Err(invalid("rule.repeat", other, "idempotent or non_idempotent")),
    };
    let rule = object::Rule {
        name: it.name,
        service: it.service,
        method: it.method,
        path: it.path,
        repeat,
        key_required: it.key_required,
    };
    let edit = Edit::PutRule(rule);
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// Converts a request to delete an object. Fails if its kind is unknown.
pub fn delete(request: generated::DeleteRequest) -> Result<Change, Error> {
    let kind = match request.kind.as_str() {
        "workspace" => Kind::Workspace,
        "service" => Kind::Service,
        "rule" => Kind::Rule,
        other => return Err(invalid("kind", other, "workspace, service or rule")),
    };
    let edit = Edit::Delete(Key { kind, name: request.name });
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// Converts the catalog to schema types.
pub fn catalog(catalog: &Catalog) -> generated::Catalog {
    generated::Catalog {
        revision: catalog.revision,
        workspaces: catalog.workspaces.values().map(workspace).collect(),
        services: catalog.services.values().map(service).collect(),
        rules: catalog.rules.values().map(rule).collect(),
    }
}

fn workspace(record: &Record<object::Workspace>) -> generated::Workspace {
    let it = record.object.clone();
    generated::Workspace {
        name: it.name,
        token_sha256: it.token_sha256,
        share: it.share,
        revision: record.revision,
    }
}

fn service(record: &Record<object::Service>) -> generated::Service {
    let it = record.object.clone();
    let kind = match it.kind {
        object::Kind::Model => "model",
        object::Kind::Plain => "plain",
    };
    generated::Service {
        name: it.name,
        kind: kind.to_owned(),
        checks_fence: it.checks_fence,
        priority: u32::from(it.priority),
        first_token_target_ms: it.first_token_target_ms,
        token_target_ms: it.token_target_ms,
        cost_weight: it.cost_weight,
        recompute_weight: it.recompute_weight,
        min_vms: it.min_vms,
        max_vms: it.max_vms,
        revision: record.revision,
    }
}

fn rule(record: &Record<object::Rule>) -> generated::Rule {
    let it = record.object.clone();
    let repeat = match it.repeat {
        object::Idempotency::Idempotent => "idempotent",
        object::Idempotency::NonIdempotent => "non_idempotent",
    };
    generated::Rule {
        name: it.name,
        service: it.service,
        method: it.method,
        path: it.path,
        repeat: repeat.to_owned(),
        key_required: it.key_required,
        revision: record.revision,
    }
}

fn missing(field: &str) -> Error {
    Error::new(Code::InvalidArgument, format!("{field} is missing; send it"))
}

fn invalid(field: &str, value: &str, allowed: &str) -> Error {
    Error::new(Code::InvalidArgument, format!("{field} is {value:?}; use {allowed}"))
}
