//! HTTP client for the platform.
//!
//! Requests: `GET /table/row?key=`, `GET /table/scan?prefix=&after=&limit=`,
//! `POST /table/commit`, `GET|PUT|DELETE /objects/NAME`, `GET /vms?since=`,
//! `GET /offers`, `GET /notices?after=`, `POST /vms/start`, `POST /vms/stop`.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::Response;

use crate::Error;
use crate::objects::Objects;
use crate::table::Commit;
use crate::table::Row;
use crate::table::Table;
use crate::table::Transaction;
use crate::vm::Cloud;
use crate::vm::Notice;
use crate::vm::Offer;
use crate::vm::Page;
use crate::vm::Start;
use crate::vm::Vm;

/// Maximum size of a response.
const RESPONSE_LIMIT_BYTES: u64 = 64 << 20;

/// HTTP status of a platform that temporarily accepts no calls.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Client for one platform address.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: String,
    agent: Agent,
    observer: Option<fn(&Call)>,
}

/// A finished call to the platform, as reported to the observer.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Name of the operation.
    pub operation: &'static str,
    /// Whether it succeeded.
    pub succeeded: bool,
    /// Time from the start of the call to its result.
    pub elapsed: Duration,
}

/// Body of `POST /vms/stop`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Stop {
    /// VM to stop.
    pub vm: String,
    /// Incarnation to stop.
    pub incarnation: u64,
}

impl Client {
    /// Creates a client for the platform at `address` (IP and port); each call
    /// fails after `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build();
        Client { base_url: format!("http://{address}"), agent: config.into(), observer: None }
    }

    /// Sets a function that is called after each table, list and notice call.
    pub fn with_observer(self, observer: fn(&Call)) -> Client {
        Client { observer: Some(observer), ..self }
    }

    fn observe<T>(
        &self,
        operation: &'static str,
        call: impl FnOnce() -> Result<T, Error>,
    ) -> Result<T, Error> {
        let started = Instant::now();
        let result = call();
        if let Some(observer) = self.observer {
            observer(&Call { operation, succeeded: result.is_ok(), elapsed: started.elapsed() });
        }
        result
    }

    fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, Error> {
        let request = self.agent.get(self.url(path)).query_pairs(query.iter().copied());
        decode(&read_body(request.call())?)
    }

    fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        decode(&read_body(self.agent.post(self.url(path)).send_json(body))?)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

impl Table for Client {
    fn read(&self, key: &str) -> Result<Row, Error> {
        self.observe("table_read", || self.get_json("/table/row", &[("key", key)]))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
        self.observe("table_scan", || self.get_json("/table/scan", &query))
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        self.observe("table_commit", || self.post_json("/table/commit", transaction))
    }
}

impl Objects for Client {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        match read_body(self.agent.get(self.url(&format!("/objects/{name}"))).call()) {
            Ok(body) => Ok(Some(body)),
            Err(Error::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        read_body(self.agent.put(self.url(&format!("/objects/{name}"))).send(content))?;
        Ok(())
    }

    fn delete(&self, name: &str) -> Result<(), Error> {
        read_body(self.agent.delete(self.url(&format!("/objects/{name}"))).call())?;
        Ok(())
    }
}

impl Cloud for Client {
    fn list(&self, since: u64) -> Result<Page, Error> {
        let since = since.to_string();
        self.observe("vm_list", || self.get_json("/vms", &[("since", &since)]))
    }

    fn notices(&self, after: u64) -> Result<Vec<Notice>, Error> {
        let after = after.to_string();
        self.observe("notices", || self.get_json("/notices", &[("after", &after)]))
    }

    fn offers(&self) -> Result<Vec<Offer>, Error> {
        self.get_json("/offers", &[])
    }

    fn start(&self, order: &Start) -> Result<Vm, Error> {
        self.post_json("/vms/start", order)
    }

    fn stop(&self, vm: &str, incarnation: u64) -> Result<(), Error> {
        let body = Stop { vm: vm.to_owned(), incarnation };
        read_body(self.agent.post(self.url("/vms/stop")).send_json(body))?;
        Ok(())
    }
}

fn read_body(result: Result<Response<ureq::Body>, ureq::Error>) -> Result<Vec<u8>, Error> {
    let no_response = |error: ureq::Error| Error::NoResponse { detail: error.to_string() };
    let mut response = result.map_err(no_response)?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(RESPONSE_LIMIT_BYTES).read_to_vec();
    let body = body.map_err(no_response)?;
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let detail = String::from_utf8_lossy(&body).into_owned();
    // Only these statuses guarantee that the call had no effect; other failures
    // may come after it took effect.
    let is_refused = (400..500).contains(&status) || status == SERVICE_UNAVAILABLE;
    if is_refused {
        Err(Error::Refused { status, detail })
    } else {
        Err(Error::NoResponse { detail })
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed { detail: error.to_string() })
}
