//! Validation of callers' requests against the configuration.

use config::catalog::Catalog;
use config::object;
use config::object::Kind;
use config::object::Service;
use config::object::Workspace;
use gateway::arrival::Arrival;
use gateway::arrival::Content;
use job::call::Body;
use job::call::Call;
use job::call::Chat;
use job::call::Idempotency;
use job::call::Plain;
use job::problem::Problem;

/// A validated request.
pub struct Request {
    /// The call.
    pub call: Call,
    /// Configuration of the service.
    pub service: Service,
}

/// Validates the workspace token, the service and the content of a request.
///
/// # Errors
///
/// Returns a problem whose detail states how to correct the request.
pub fn check(catalog: &Catalog, arrival: &Arrival) -> Result<Request, Problem> {
    let (workspace, service) = resolve(catalog, arrival)?;
    let body = match (&arrival.content, service.kind) {
        (Content::Chat { messages, prompt, max_tokens, from_index }, Kind::Model) => {
            Body::Chat(Chat {
                messages: messages.clone(),
                prompt: prompt.clone(),
                max_tokens: *max_tokens,
                from_index: *from_index,
            })
        }
        (Content::Plain { method, path, query, media_type, body }, Kind::Plain) => {
            let policy = catalog.request_policy(&service.name, method, path);
            if policy.key_required && arrival.key.is_none() {
                let detail = "send an Idempotency-Key with this call";
                return Err(Problem::not_run(400, "key required", detail));
            }
            let target = if query.is_empty() { path.clone() } else { format!("{path}?{query}") };
            Body::Plain(Plain {
                method: method.clone(),
                target,
                media_type: media_type.clone(),
                body: body.clone(),
                idempotency: match policy.idempotency {
                    object::Idempotency::Idempotent => Idempotency::Idempotent,
                    object::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
                },
            })
        }
        (Content::Job, _) => return Err(Problem::not_run(404, "no such path", "look it up")),
        (_, Kind::Model) => {
            let detail = "send completions to /v1/chat/completions below a model service";
            return Err(Problem::not_run(404, "no such path", detail));
        }
        (_, Kind::Plain) => {
            let detail = "name a model service for completions";
            return Err(Problem::not_run(404, "not a model service", detail));
        }
    };
    let call = Call {
        id: arrival.id.0,
        workspace: workspace.name.clone(),
        service: service.name.clone(),
        key: arrival.key.clone(),
        time_left_ms: arrival.wait_ms,
        body,
    };
    Ok(Request { call, service: service.clone() })
}

/// Returns the identity of the job that a lookup refers to.
///
/// # Errors
///
/// Returns a problem if the workspace or the service is unknown.
pub fn job_identity(catalog: &Catalog, arrival: &Arrival) -> Result<String, Problem> {
    let (workspace, service) = resolve(catalog, arrival)?;
    let key = arrival.key.as_deref().unwrap_or_default();
    Ok(job::call::identity(&workspace.name, &service.name, key))
}

fn resolve<'a>(
    catalog: &'a Catalog,
    arrival: &Arrival,
) -> Result<(&'a Workspace, &'a Service), Problem> {
    let Some(workspace) = catalog.workspace_by_token(&arrival.token) else {
        let detail = "send the token of a workspace as bearer token";
        return Err(Problem::not_run(401, "unknown workspace", detail));
    };
    let Some(service) = catalog.service(&arrival.service) else {
        let detail = format!("there is no service {:?}; ask the operator", arrival.service);
        return Err(Problem::not_run(404, "unknown service", detail));
    };
    Ok((workspace, service))
}
