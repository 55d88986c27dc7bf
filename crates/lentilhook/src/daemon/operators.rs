//! The operators' HTTP server: authenticates requests and forwards them to the
//! actors.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use admin::PATH_PREFIX;
use admin::convert;
use admin::error::Code;
use admin::error::Error;
use admin::generated;
use config::catalog::token_sha256;
use config::change::Change;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use web::request;
use web::response::Responder;
use web::server::Limits;
use web::server::Server;

use crate::daemon::metrics;
use crate::settings::LEVELS;
use crate::settings::LogLevel;

/// Timeout for the response of an actor.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// Path of the metrics. They contain no secrets, so no token is required.
const METRICS_PATH: &str = "/metrics";
/// Media type of the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// A validated operation that an operator requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Changes the configuration.
    Change(Change),
    /// Returns the configuration.
    GetCatalog,
    /// Starts a graceful shutdown.
    Drain,
    /// Returns the known VMs.
    ListVms,
    /// Returns the shards in use on this daemon and whether it holds their leases.
    ListLeases,
    /// Changes the log level.
    SetLogLevel(LogLevel),
}

/// An operator's request with its reply channel.
pub struct Request {
    /// Operation to execute.
    pub operation: Operation,
    /// Reply channel for the JSON response.
    pub reply: Sender<Result<String, Error>>,
}

/// Callback that receives operators' requests. It is called on the server's
/// request threads.
pub type Sink = Arc<dyn Fn(Request) + Send + Sync>;

/// Starts the operators' server. `token_sha256` holds the SHA-256 hashes of the
/// accepted operator tokens.
pub fn start(
    address: &str,
    limits: Limits,
    token_sha256: Vec<String>,
    sink: Sink,
) -> Result<Server, web::Error> {
    let handler = move |request: request::Request, responder: Responder| {
        if request.path == METRICS_PATH {
            let _ = responder.send_typed(200, METRICS_MEDIA_TYPE, metrics::render().as_bytes());
            return;
        }
        let _ = match serve(&request, &token_sha256, &sink) {
            Ok(body) => responder.send_typed(200, "application/json", body.as_bytes()),
            Err(error) => responder.send_json(error.status(), &error),
        };
    };
    Server::start(address, limits, Arc::new(handler))
}

fn serve(
    request: &request::Request,
    accepted_hashes: &[String],
    sink: &Sink,
) -> Result<String, Error> {
    let token = request.bearer().unwrap_or_default();
    let hash = token_sha256(token);
    let is_accepted = accepted_hashes.iter().any(|it| it.as_bytes().ct_eq(hash.as_bytes()).into());
    if !is_accepted {
        let msg = "the operator's token is missing or unknown; send it as bearer token";
        return Err(Error::new(Code::Unauthenticated, msg));
    }
    let operation = parse(request)?;
    let (reply, response) = channel();
    sink(Request { operation, reply });
    response.recv_timeout(RESPONSE_TIMEOUT).unwrap_or_else(|_| {
        let msg = "no answer in time; read the object again before repeating a change";
        Err(Error::new(Code::Unknown, msg))
    })
}

fn parse(request: &request::Request) -> Result<Operation, Error> {
    let method = request.path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let body = request.body.as_slice();
    Ok(match method {
        "PutWorkspace" => Operation::Change(convert::put_workspace(decode(body)?)?),
        "PutService" => Operation::Change(convert::put_service(decode(body)?)?),
        "PutRule" => Operation::Change(convert::put_rule(decode(body)?)?),
        "Delete" => Operation::Change(convert::delete(decode(body)?)?),
        "GetCatalog" => Operation::GetCatalog,
        "Drain" => Operation::Drain,
        "ListVms" => Operation::ListVms,
        "ListLeases" => Operation::ListLeases,
        "SetLogLevel" => Operation::SetLogLevel(log_level(decode(body)?)?),
        _ => {
            let msg = format!("no method {:?}; see the schema for the methods", request.path);
            return Err(Error::new(Code::NotFound, msg));
        }
    })
}

fn log_level(request: generated::SetLogLevelRequest) -> Result<LogLevel, Error> {
    serde_json::from_value(request.level.as_str().into()).map_err(|_| {
        let msg = format!("level is {:?}; use one of {}", request.level, LEVELS.join(", "));
        Error::new(Code::InvalidArgument, msg)
    })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|it| {
        let msg = format!("body is malformed ({it}); send JSON in the form of the schema");
        Error::new(Code::InvalidArgument, msg)
    })
}

/// Encodes a response as JSON. Fails with [`Code::Unknown`] if it can't be
/// serialized.
pub fn encode(value: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|it| Error::new(Code::Unknown, it.to_string()))
}

/// Converts VMs to the types of the admin API schema.
pub fn vm_list(vms: &[Vm]) -> generated::VmList {
    let convert = |vm: &Vm| generated::Vm {
        id: vm.id.clone(),
        incarnation: vm.incarnation,
        role: match vm.role {
            Role::Daemon => "daemon".to_owned(),
            Role::Endpoint => "endpoint".to_owned(),
        },
        service: vm.service.clone(),
        zone: vm.zone.clone(),
        address: vm.address.clone(),
        state: match vm.state {
            State::Live => "live".to_owned(),
            State::Leaving => "leaving".to_owned(),
            State::Gone => "gone".to_owned(),
        },
    };
    generated::VmList { vms: vms.iter().map(convert).collect() }
}
