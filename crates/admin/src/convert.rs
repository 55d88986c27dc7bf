//! Between schema types and the configuration.

use config::catalog::Catalog;
use config::catalog::Revised;
use config::change::Change;
use config::change::Edit;
use config::change::ObjectKind;
use config::change::ObjectName;
use config::object;

use crate::error::Code;
use crate::error::Error;
use crate::generated;

/// The change that a request to put a workspace asks for.
pub fn put_workspace(request: generated::PutWorkspaceRequest) -> Result<Change, Error> {
    let it = request.workspace.ok_or_else(|| missing("workspace"))?;
    let workspace =
        object::Workspace { name: it.name, token_sha256: it.token_sha256, share: it.share };
    let edit = Edit::PutWorkspace(workspace);
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// The change that a request to put a service asks for.
pub fn put_service(request: generated::PutServiceRequest) -> Result<Change, Error> {
    let it = request.service.ok_or_else(|| missing("service"))?;
    let kind = match it.kind.as_str() {
        "model" => object::Kind::Model,
        "plain" => object::Kind::Plain,
        other => return Err(wrong("service.kind", other, "model or plain")),
    };
    let priority = u8::try_from(it.priority)
        .map_err(|_| wrong("service.priority", &it.priority.to_string(), "0 to 255"))?;
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

/// The change that a request to put a rule asks for.
pub fn put_rule(request: generated::PutRuleRequest) -> Result<Change, Error> {
    let it = request.rule.ok_or_else(|| missing("rule"))?;
    let repeat = match it.repeat.as_str() {
        "idempotent" => object::Repeat::Idempotent,
        "non_idempotent" => object::Repeat::NonIdempotent,
        other => return Err(wrong("rule.repeat", other, "idempotent or non_idempotent")),
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

/// The change that a request to delete asks for.
pub fn delete(request: generated::DeleteRequest) -> Result<Change, Error> {
    let kind = match request.kind.as_str() {
        "workspace" => ObjectKind::Workspace,
        "service" => ObjectKind::Service,
        "rule" => ObjectKind::Rule,
        other => return Err(wrong("kind", other, "workspace, service or rule")),
    };
    let edit = Edit::Delete(ObjectName { kind, name: request.name });
    Ok(Change { edit, expected_revision: request.expected_revision })
}

/// The catalog in schema types.
pub fn catalog(catalog: &Catalog) -> generated::Catalog {
    generated::Catalog {
        revision: catalog.revision,
        workspaces: catalog.workspaces.values().map(workspace).collect(),
        services: catalog.services.values().map(service).collect(),
        rules: catalog.rules.values().map(rule).collect(),
    }
}

fn workspace(revised: &Revised<object::Workspace>) -> generated::Workspace {
    let it = revised.object.clone();
    generated::Workspace {
        name: it.name,
        token_sha256: it.token_sha256,
        share: it.share,
        revision: revised.revision,
    }
}

fn service(revised: &Revised<object::Service>) -> generated::Service {
    let it = revised.object.clone();
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
        revision: revised.revision,
    }
}

fn rule(revised: &Revised<object::Rule>) -> generated::Rule {
    let it = revised.object.clone();
    let repeat = match it.repeat {
        object::Repeat::Idempotent => "idempotent",
        object::Repeat::NonIdempotent => "non_idempotent",
    };
    generated::Rule {
        name: it.name,
        service: it.service,
        method: it.method,
        path: it.path,
        repeat: repeat.to_owned(),
        key_required: it.key_required,
        revision: revised.revision,
    }
}

fn missing(field: &str) -> Error {
    Error::new(Code::InvalidArgument, format!("{field} is missing; send it"))
}

fn wrong(field: &str, value: &str, allowed: &str) -> Error {
    Error::new(Code::InvalidArgument, format!("{field} is {value:?}; use {allowed}"))
}
