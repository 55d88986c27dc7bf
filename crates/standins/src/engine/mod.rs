//! Fake of a model engine, which streams tokens that are a function of the prompt
//! and the index.
//!
//! Supports batching, a prefix cache, lagging load reports, delayed cache events
//! with gaps, resuming, cancelling, KV export and import, and orders.

pub mod cache;
pub mod protocol;

mod generate;
mod slots;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use web::problem::Problem;
use web::request::Request;
use web::response::Responder;
use web::server::Server;

use self::cache::Cache;
use self::protocol::Execution;
use self::protocol::Kv;
use self::protocol::Load;
use self::protocol::Order;
use self::slots::Slots;
use crate::switches::Faults;
use crate::switches::Switches;

/// Capacity and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of sequences that run concurrently.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Time between two tokens of a sequence.
    pub token_interval: Duration,
    /// Prefill time per prompt token.
    pub prefill_time_per_token: Duration,
    /// Delay of load reports and cache events.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fence: bool,
}

struct Engine {
    config: Config,
    slots: Slots,
    cache: Cache,
    switches: Switches,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    highest_fence: u64,
    orders: Vec<Order>,
    reported_load: Load,
    /// Sequence number of the last cache event that may be published.
    last_published_event: u64,
    /// Identifiers of cancelled requests.
    cancelled: HashSet<String>,
    /// Prompt and generated text of each running request.
    texts: HashMap<String, String>,
    executions: Vec<Execution>,
}

/// Starts the fake.
pub fn start(address: &str, config: Config) -> Result<Server, web::Error> {
    let engine = Arc::new(Engine {
        config,
        slots: Slots::new(config.slots),
        cache: Cache::new(config.cache_blocks),
        switches: Switches::default(),
        state: Mutex::default(),
    });
    let reporter = Arc::clone(&engine);
    thread::spawn(move || reporter.report_forever());
    let handler = move |request: Request, responder: Responder| {
        let _ = engine.serve(&request, responder);
    };
    Server::start(address, crate::limits(), Arc::new(handler))
}

impl Engine {
    fn serve(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        if request.path.starts_with("/fake/") {
            return self.serve_fake(request, responder);
        }
        self.switches.delay();
        if self.switches.faults().down {
            let problem = Problem::not_run(503, "down", "switched off by a test");
            return responder.send_problem(&problem);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.complete(request, responder),
            ("GET", "/v1/load") => responder.send_json(200, &self.state().reported_load),
            ("GET", "/v1/cache-events") => self.cache_events(request, responder),
            ("POST", "/v1/kv/export") => self.export(request, responder),
            ("POST", "/v1/kv/import") => self.import(request, responder),
            ("POST", "/v1/orders") => self.order(request, responder),
            ("DELETE", path) => self.cancel(path, responder),
            (_, path) => responder.send_problem(&Problem::not_run(404, "no such path", path)),
        }
    }

    fn serve_fake(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        match request.path.as_str() {
            "/fake/record" => responder.send_json(200, &self.state().executions),
            "/fake/orders" => responder.send_json(200, &self.state().orders),
            "/fake/switches" => match parse::<Faults>(&request.body) {
                Ok(faults) => {
                    self.switches.set(faults);
                    responder.send_json(200, &())
                }
                Err(problem) => responder.send_problem(&problem),
            },
            path => responder.send_problem(&Problem::not_run(404, "no such path", path)),
        }
    }

    fn cache_events(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        let after = request.query_value("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let last_published = self.state().last_published_event;
        let mut events = self.cache.events(after);
        events.retain(|event| event.sequence <= last_published);
        responder.send_json(200, &events)
    }

    fn export(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        let id = request.query_value("request").unwrap_or_default();
        let text = self.state().texts.get(&id).cloned();
        match text {
            Some(text) => responder.send_json(200, &Kv { text }),
            None => responder.send_problem(&Problem::not_run(404, "no such request", id)),
        }
    }

    fn import(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        match parse::<Kv>(&request.body) {
            Ok(kv) => {
                self.cache.insert(&kv.text);
                responder.send_json(200, &())
            }
            Err(problem) => responder.send_problem(&problem),
        }
    }

    fn order(&self, request: &Request, responder: Responder) -> std::io::Result<()> {
        let order = match parse::<Order>(&request.body) {
            Ok(order) => order,
            Err(problem) => return responder.send_problem(&problem),
        };
        let mut state = self.state();
        if self.config.checks_fence && order.fence < state.highest_fence {
            let problem = Problem::not_run(409, "old fence", "a newer holder has ordered");
            return responder.send_problem(&problem);
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        state.orders.push(order);
        responder.send_json(200, &())
    }

    fn cancel(&self, path: &str, responder: Responder) -> std::io::Result<()> {
        let id = path.rsplit('/').next().unwrap_or_default();
        self.state().cancelled.insert(id.to_owned());
        responder.send_json(200, &())
    }

    /// Publishes the load and the cache events in an endless loop, delayed by the report lag.
    fn report_forever(&self) {
        loop {
            let load = Load {
                running: self.slots.running(),
                waiting: self.slots.waiting(),
                capacity: self.config.slots,
                cached_blocks: self.cache.len(),
            };
            let last_event = self.cache.events(0).last().map_or(0, |event| event.sequence);
            thread::sleep(self.config.report_lag);
            let mut state = self.state();
            state.reported_load = load;
            state.last_published_event = last_event;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|it| Problem::not_run(400, "bad body", it.to_string()))
}

fn event(id: u32, value: &impl Serialize) -> String {
    let data = serde_json::to_string(value).unwrap_or_default();
    format!("id: {id}\ndata: {data}\n\n")
}
