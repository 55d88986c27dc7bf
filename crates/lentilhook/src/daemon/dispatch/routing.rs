//! What this daemon knows for routing: pools of endpoints, the pace that
//! answers have shown, and what each open attempt was expected to do.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::reply::Usage;
use endpoint::attempt::AttemptId;
use endpoint::load;
use membership::update::State;
use membership::update::Vm;
use policy::admission::Supply;
use policy::blocks;
use policy::hints::Event;
use policy::hints::Kind;
use policy::pool::Pool;
use policy::pool::Query;
use policy::pool::Report;
use policy::route;
use policy::route::Mode;
use policy::route::Pace;
use policy::route::Request;
use serde::Serialize;

use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;

/// Share of a new measurement in a learned pace.
const LEARNING_SHARE: f64 = 0.1;
/// Fewest uncached tokens from which the pace of prefill is learned.
const PREFILL_TOKENS: u32 = 64;
/// Fewest tokens from which the pace of generation is learned.
const GENERATED_TOKENS: u32 = 8;
/// Mean time for which a sequence holds its place, before any ended.
const FIRST_MEAN_HOLD_MS: f64 = 1000.0;
/// Pace of endpoints that have not answered yet.
const FIRST_PACE: Pace = Pace { prefill_ms: 0.1, token_ms: 10.0, hold_ms: 3000.0 };

/// Knowledge for routing.
pub struct Routing {
    mode: Mode,
    started: Instant,
    incarnations: HashMap<String, u64>,
    services: HashMap<String, Known>,
    open: HashMap<AttemptId, Sent>,
}

/// A choice in owned values.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Endpoint chosen.
    pub endpoint: String,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// Hashes of the prompt.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt and of what was generated elsewhere.
    pub prompt_tokens: u32,
    /// Those that are expected to be computed.
    pub uncached_tokens: u32,
    /// Whether a place was free by estimate.
    pub is_free: bool,
}

struct Known {
    pool: Pool,
    pace: Pace,
    /// Mean time for which a sequence holds its place, in milliseconds.
    mean_hold_ms: f64,
    /// Whether its endpoints report load, as model engines do.
    reports: bool,
}

/// An open attempt.
struct Sent {
    service: String,
    choice: Choice,
    at: Duration,
    first_at: Option<Duration>,
    tokens: u32,
}

/// What a decision was made from, as logged.
#[derive(Serialize)]
struct Input<'a> {
    request: &'a Request,
    candidates: &'a [route::Candidate<'a>],
}

impl Routing {
    /// Knows nothing yet.
    pub fn new(mode: Mode, started: Instant) -> Routing {
        Routing {
            mode,
            started,
            incarnations: HashMap::new(),
            services: HashMap::new(),
            open: HashMap::new(),
        }
    }

    /// The state of an endpoint changed.
    pub fn vm_changed(&mut self, vm: &Vm) {
        let known = self.services.entry(vm.service.clone()).or_insert_with(Known::new);
        known.pool.set(&vm.id, vm.price_per_hour, vm.state == State::Live);
        let before = self.incarnations.insert(vm.id.clone(), vm.incarnation);
        if before.is_some_and(|it| it != vm.incarnation) {
            known.pool.reset(&vm.id);
        }
    }

    /// Chooses an endpoint for the next attempt at a job and logs why.
    pub fn choose(&mut self, id: JobId, job: &Job, now: Instant) -> Option<Choice> {
        let now = now.saturating_duration_since(self.started);
        let known = self.services.get_mut(&job.call.service)?;
        known.pool.refresh();
        known.reports = matches!(job.call.body, Body::Chat(_));
        let (text, output_tokens) = match &job.call.body {
            Body::Chat(chat) => {
                (format!("{}{}", chat.prompt, job.progress.text()), chat.max_tokens)
            }
            Body::Plain(_) => (String::new(), 0),
        };
        let name = match &job.call.body {
            Body::Chat(chat) => chat.prompt.as_str(),
            Body::Plain(plain) => plain.target.as_str(),
        };
        let blocks = blocks::chain(&text);
        let query = Query { blocks: &blocks, name, avoid: &job.avoid, now };
        let candidates = match self.mode {
            Mode::Scored => known.pool.candidates(&query),
            _ => known.pool.all_candidates(&query),
        };
        let request = Request {
            mode: self.mode,
            seed: id.0 ^ u64::from(job.tries),
            prompt_tokens: blocks::token_count(&text) as u32,
            output_tokens: output_tokens.saturating_sub(job.progress.len()),
            target_ms: job.service.first_token_target_ms as f64,
            cost_weight: job.service.cost_weight,
            recompute_weight: job.service.recompute_weight,
            pace: known.pace,
        };
        let decision = route::choose(&request, &candidates)?;
        log(id, job, &decision, &Input { request: &request, candidates: &candidates });
        let chosen = candidates.iter().find(|it| it.id == decision.chosen)?;
        let is_free = chosen.busy < chosen.capacity;
        Some(Choice {
            endpoint: decision.chosen.to_owned(),
            predicted_ms: decision.predicted_ms,
            prompt_tokens: request.prompt_tokens,
            uncached_tokens: request.prompt_tokens.saturating_sub(decision.cached_tokens),
            is_free,
            blocks,
        })
    }

    /// The choice of an endpoint that recovery has planned.
    pub fn planned(endpoint: &str, job: &Job) -> Choice {
        let text = match &job.call.body {
            Body::Chat(chat) => format!("{}{}", chat.prompt, job.progress.text()),
            Body::Plain(_) => String::new(),
        };
        Choice {
            endpoint: endpoint.to_owned(),
            predicted_ms: 0.0,
            blocks: blocks::chain(&text),
            prompt_tokens: blocks::token_count(&text) as u32,
            // A moved KV cache must not teach the pace of prefill.
            uncached_tokens: 0,
            is_free: false,
        }
    }

    /// What this daemon may take of the places of a service; `None` when no
    /// endpoint takes work.
    pub fn supply(&mut self, service: &str, daemons: usize, now: Instant) -> Option<Supply> {
        let now = now.saturating_duration_since(self.started);
        let known = self.services.get_mut(service)?;
        known.pool.refresh();
        if known.pool.is_empty() {
            return None;
        }
        let (free, all) = known.pool.slots(daemons, now);
        let daemons = daemons.max(1) as f64;
        let ends_per_second = all * 1000.0 / known.mean_hold_ms.max(1.0);
        Some(Supply {
            free: (free / daemons).max(free.min(1.0)),
            starts_per_second: ends_per_second / daemons,
        })
    }

    /// An attempt was started.
    pub fn sent(&mut self, attempt: AttemptId, service: &str, choice: Choice, now: Instant) {
        let now = now.saturating_duration_since(self.started);
        if let Some(known) = self.services.get_mut(service) {
            known.pool.record_sent(&choice.endpoint, &choice.blocks, now);
        }
        let service = service.to_owned();
        self.open.insert(attempt, Sent { service, choice, at: now, first_at: None, tokens: 0 });
    }

    /// A token came; the first one shows what the prediction was worth.
    pub fn token(&mut self, attempt: AttemptId, now: Instant) {
        let now = now.saturating_duration_since(self.started);
        let Some(sent) = self.open.get_mut(&attempt) else { return };
        sent.tokens += 1;
        if sent.first_at.is_some() {
            return;
        }
        sent.first_at = Some(now);
        let actual_ms = now.saturating_sub(sent.at).as_secs_f64() * 1000.0;
        spdlog::info!("first token", kv: {
            attempt = attempt.0,
            endpoint = sent.choice.endpoint.as_str(),
            predicted_ms = sent.choice.predicted_ms.round(),
            actual_ms = actual_ms.round(),
        });
        let Some(known) = self.services.get_mut(&sent.service) else { return };
        // What was cached is told at the end only: between the two bounds the
        // time may be prefill or queueing.
        let longest_ms = f64::from(sent.choice.prompt_tokens) * known.pace.prefill_ms;
        let (least_ms, most_ms) = (actual_ms - longest_ms, actual_ms - known.pace.token_ms);
        let (endpoint, hold_ms) = (&sent.choice.endpoint, known.pace.hold_ms);
        known.pool.record_queueing(endpoint, least_ms, most_ms, hold_ms, now);
    }

    /// A completion is complete: its engine has cached all of `text`, and told
    /// what it had to compute.
    pub fn finished(&mut self, attempt: AttemptId, text: &str, usage: &Usage, now: Instant) {
        let now = now.saturating_duration_since(self.started);
        let Some(sent) = self.open.get(&attempt) else { return };
        if let Some(known) = self.services.get_mut(&sent.service) {
            known.pool.record_cached(&sent.choice.endpoint, &blocks::chain(text), now);
            let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
            if let Some(first_at) = sent.first_at
                && sent.choice.is_free
                && computed >= PREFILL_TOKENS
            {
                let first_ms = first_at.saturating_sub(sent.at).as_secs_f64() * 1000.0;
                let prefill_ms = (first_ms - known.pace.token_ms).max(0.0);
                learn(&mut known.pace.prefill_ms, prefill_ms / f64::from(computed));
            }
        }
    }

    /// An attempt ended.
    pub fn closed(&mut self, attempt: AttemptId, now: Instant) {
        let now = now.saturating_duration_since(self.started);
        let Some(sent) = self.open.remove(&attempt) else { return };
        let Some(known) = self.services.get_mut(&sent.service) else { return };
        known.pool.record_ended(&sent.choice.endpoint, now);
        if let Some(first_at) = sent.first_at {
            let generating_ms = now.saturating_sub(first_at).as_secs_f64() * 1000.0;
            if sent.tokens >= GENERATED_TOKENS {
                learn(&mut known.pace.token_ms, generating_ms / f64::from(sent.tokens - 1));
            }
            let first_ms = first_at.saturating_sub(sent.at).as_secs_f64() * 1000.0;
            let longest_ms = f64::from(sent.choice.prompt_tokens) * known.pace.prefill_ms;
            known.learn_hold(generating_ms + first_ms.min(longest_ms));
        }
    }
}

/// An endpoint to ask for its load.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Service.
    pub service: String,
    /// Endpoint.
    pub endpoint: String,
    /// Number of the last cache event taken.
    pub after: u64,
}

impl Routing {
    /// The endpoint to ask next, services by turns.
    pub fn next_poll(&mut self, turn: usize, now: Instant) -> Option<Poll> {
        let now = now.saturating_duration_since(self.started);
        let count = self.services.values().filter(|it| it.reports).count();
        let mut reporting = self.services.iter_mut().filter(|(_, it)| it.reports);
        let (service, known) = reporting.nth(turn % count.max(1))?;
        let (endpoint, after) = known.pool.next_poll(now)?;
        Some(Poll { service: service.clone(), endpoint, after })
    }

    /// An endpoint told its load and cache events.
    pub fn polled(&mut self, poll: &Poll, told: &load::Report, now: Instant) {
        let now = now.saturating_duration_since(self.started);
        let Some(known) = self.services.get_mut(&poll.service) else { return };
        if let Some(load) = told.load {
            let report =
                Report { running: load.running, waiting: load.waiting, capacity: load.capacity };
            known.pool.record_report(&poll.endpoint, report, now);
        }
        let events: Vec<Event> = told.events.iter().map(event).collect();
        known.pool.apply_cache_events(&poll.endpoint, &events, now);
    }
}

impl Known {
    fn new() -> Known {
        Known {
            pool: Pool::default(),
            pace: FIRST_PACE,
            mean_hold_ms: FIRST_MEAN_HOLD_MS,
            reports: false,
        }
    }

    /// Long sequences are met more often by one that queues: the pace weighs
    /// each by its length.
    fn learn_hold(&mut self, hold_ms: f64) {
        let weight = hold_ms / self.mean_hold_ms.max(1.0);
        let share = (LEARNING_SHARE * weight).min(0.5);
        self.pace.hold_ms += (hold_ms - self.pace.hold_ms) * share;
        learn(&mut self.mean_hold_ms, hold_ms);
    }
}

fn event(event: &load::Event) -> Event {
    let kind = match event.kind {
        load::Kind::Stored => Kind::Stored,
        load::Kind::Evicted => Kind::Evicted,
    };
    Event { sequence: event.sequence, kind, block: event.block }
}

fn learn(pace: &mut f64, measured: f64) {
    *pace += (measured - *pace) * LEARNING_SHARE;
}

fn log(id: JobId, job: &Job, decision: &route::Decision<'_>, input: &Input<'_>) {
    spdlog::info!("routed", kv: {
        job = id.0,
        workspace = job.call.workspace.as_str(),
        service = job.call.service.as_str(),
        endpoint = decision.chosen,
        runner_up = decision.runner_up.unwrap_or("none"),
        reason = decision.reason.to_string(),
        predicted_ms = decision.predicted_ms.round(),
        cached_tokens = decision.cached_tokens,
        attempt = job.tries + 1,
        resumed_at = job.progress.len(),
        input = serde_json::to_string(input).unwrap_or_default(),
    });
}
