//! Problems for calls that were not answered by an endpoint.

use job::call::Call;
use job::problem::Outcome;
use job::problem::Problem;
use job::reply::Reply;
use job::reply::Response;
use policy::promise;
use policy::promise::Author;
use policy::promise::Evidence;

/// Seconds until capacity may be available again.
const CAPACITY_RETRY_S: u32 = 2;
/// Seconds until another daemon has taken over.
const TAKEOVER_RETRY_S: u32 = 6;

/// No endpoint accepted the call.
pub fn no_endpoint(service: &str) -> Problem {
    let detail = format!("no endpoint of {service} takes work now; come back after Retry-After");
    Problem::not_run(503, "no endpoint", detail).retry_after(CAPACITY_RETRY_S)
}

/// The completion would start later than its caller is willing to wait.
pub fn too_late(retry_after_s: u32) -> Problem {
    let detail = "all places are taken for longer than this request may wait; come back after \
                  Retry-After or allow more with Prefer: wait=SECONDS";
    Problem::not_run(429, "too busy", detail).retry_after(retry_after_s)
}

/// The call could not be recorded in the ledger, so it was not sent.
pub fn not_recorded(retry_after_s: u32) -> Problem {
    let detail = "the call can't be recorded now and was not sent; come back after Retry-After";
    Problem::not_run(503, "not recorded", detail).retry_after(retry_after_s)
}

/// The daemon that owns the key is unreachable and has not received the call.
pub fn owner_unreachable() -> Problem {
    let detail = "the daemon that serves this key can't be reached; come back after Retry-After";
    Problem::not_run(503, "owner unreachable", detail).retry_after(TAKEOVER_RETRY_S)
}

/// The daemon that owns the key was lost after the call was sent to it.
pub fn owner_lost() -> Problem {
    let detail = "the daemon that serves this key was lost; ask again with the same key";
    Problem::new(502, "owner lost", detail, Outcome::Unknown).retry_after(TAKEOVER_RETRY_S)
}

/// A non-idempotent call was sent and its outcome is unknown.
pub fn unknown(detail: &str) -> Problem {
    let detail = format!(
        "the call was sent and its outcome is not known ({detail}); check with the service \
         before sending it under a new key"
    );
    Problem::new(502, "outcome unknown", detail, Outcome::Unknown)
}

/// Returns a final reply that promises no more than is known about whether the call has run.
pub fn checked(call: &Call, reply: Reply) -> Reply {
    match reply {
        Reply::Response(response) => checked_response(call, response),
        Reply::Problem(problem) => Reply::Problem(problem.checked()),
        Reply::Token(_) | Reply::Moved(_) | Reply::Finished(_) => reply,
    }
}

/// Returns a part of the reply to a call that another daemon may have begun. Whatever this daemon
/// knows, the call may have run.
pub fn after_begin(reply: Reply) -> Reply {
    match reply {
        Reply::Problem(problem) if problem.outcome == Outcome::NotRun => {
            Reply::Problem(Problem { outcome: Outcome::Unknown, ..problem }.checked())
        }
        reply => reply,
    }
}

fn checked_response(call: &Call, response: Response) -> Reply {
    let checked = promise::Response {
        status: response.status,
        author: Author::Endpoint,
        // A service states "not run" as a problem, which is no response to the call.
        evidence: Evidence::None,
        is_idempotent: !call.is_non_idempotent(),
    };
    if checked.checked_status() == checked.status {
        return Reply::Response(response);
    }
    spdlog::warn!("response withheld", kv: {
        workspace = call.workspace.as_str(),
        service = call.service.as_str(),
        status = checked.status,
        sent = checked.checked_status(),
        evidence = checked.evidence.name(),
    });
    Reply::Problem(unknown(&format!("the service answered {}", checked.status)))
}

/// All attempts at a call that may be repeated have failed.
pub fn exhausted(attempts: u32) -> Problem {
    let detail = format!("{attempts} attempts failed; come back after Retry-After");
    Problem::new(502, "attempts failed", detail, Outcome::Failed).retry_after(CAPACITY_RETRY_S)
}

/// The call was executed before, and its answer was too large to be stored in the
/// ledger.
pub fn answer_not_kept() -> Problem {
    let detail = "the call was executed once and answered, and the answer was too large to be \
                  kept; ask the service for the result";
    Problem::new(410, "answer not kept", detail, Outcome::Failed)
}

/// The request has crashed too many endpoints.
pub fn crashes_endpoints() -> Problem {
    let detail = "endpoints crash when they run this request, so it is no longer run; change it";
    Problem::new(422, "crashes endpoints", detail, Outcome::Failed)
}

/// The key was used for another request.
pub fn key_reused() -> Problem {
    let detail = "this Idempotency-Key belongs to another request; use a new key";
    Problem::not_run(422, "key reused", detail)
}

/// This daemon is being reclaimed; the answer continues at another one.
pub fn moved(key: &str) -> Problem {
    let detail = format!(
        "this daemon is being reclaimed; ask any other daemon again with Idempotency-Key {key:?} \
         and the id of the last event received as Last-Event-ID"
    );
    Problem::new(502, "moved", detail, Outcome::Unknown).retry_after(1)
}

/// The daemon is draining and accepts no new work.
pub fn draining() -> Problem {
    let detail = "this daemon is shutting down; call again, the balancer picks another one";
    Problem::not_run(503, "draining", detail).retry_after(1)
}
