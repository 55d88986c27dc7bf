//! Requests: admitted, placed, sent again, over.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::choose;
use balance::choose::Choice;
use balance::choose::Query;
use balance::health::Outcome;
use balance::load::Load;
use quota::retry;
use quota::retry::Budget;
use relay::ask::Arrival;
use relay::ask::Ask;
use relay::ask::Ended;
use relay::ask::Plan;
use relay::ask::Refusal;
use relay::ask::Target;
use route::config::Kind;
use route::request::Attributes;
use route::table::Match;
use route::table::Rejection;

use super::Broker;
use crate::metrics;

/// Wait before callers come back when no endpoint can be asked: about the time
/// in which the list of endpoints changes.
const NO_ENDPOINT_WAIT: Duration = Duration::from_millis(500);
/// Wait before they come back when endpoints turned a request away.
const TURNED_AWAY_WAIT: Duration = Duration::from_millis(300);
/// Wait before a request that crashes endpoints may come back.
const SUSPECT_WAIT: Duration = Duration::from_secs(30);
/// Time within which an endpoint that broke off shows whether it crashed.
const CRASH_SHOWS: Duration = Duration::from_secs(6);
/// Part of an engine's step that a token of one request takes, with batches of
/// sixteen.
const STEP_SHARE: f64 = 1.0 / 16.0;

/// A request without a final answer.
#[derive(Debug)]
pub struct Open {
    route: String,
    service: String,
    asked: Attributes,
    print: u128,
    workspace: Option<String>,
    /// Units taken from the workspace's quota.
    units: f64,
    is_idempotent: bool,
    attempts_left: u32,
    tried: Vec<String>,
    endpoint: String,
    load: Load,
    unread_ahead: u32,
    predicted: Duration,
    arrived: Instant,
    sent: Instant,
    has_begun: bool,
    /// Whether an endpoint may have run it.
    may_have_run: bool,
}

impl Open {
    /// A request that is not placed yet.
    fn new(found: &Match<'_>, asked: Attributes, print: u128, units: f64, now: Instant) -> Open {
        Open {
            route: found.route.name.clone(),
            service: found.service.to_owned(),
            asked,
            print,
            workspace: found.workspace.map(|it| it.name.clone()),
            units,
            is_idempotent: found.route.is_idempotent(),
            attempts_left: found.route.attempts,
            tried: Vec::new(),
            endpoint: String::new(),
            load: Load::default(),
            unread_ahead: 0,
            predicted: Duration::ZERO,
            arrived: now,
            sent: now,
            has_begun: false,
            may_have_run: false,
        }
    }
}

/// A request whose endpoint broke off.
#[derive(Debug)]
pub struct Broken {
    endpoint: String,
    print: u128,
    at: Instant,
}

/// Why a request is refused, for logs and metrics.
#[derive(Clone, Copy, Debug)]
enum Cause {
    NoConfiguration,
    NoRoute,
    UnknownKey,
    Suspect,
    Quota,
    NoEndpoint,
    Attempts,
    RetryBudget,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::NoConfiguration => "no_configuration",
            Cause::NoRoute => "no_route",
            Cause::UnknownKey => "unknown_key",
            Cause::Suspect => "crashes_endpoints",
            Cause::Quota => "quota",
            Cause::NoEndpoint => "no_endpoint",
            Cause::Attempts => "attempts",
            Cause::RetryBudget => "retry_budget",
        }
    }
}

impl Broker {
    pub(super) fn ask(&mut self, ask: Ask, now: Instant) {
        match ask {
            Ask::Arrival { arrival, reply } => {
                let decision = self.admit(*arrival, now);
                let admitted = decision.as_ref().ok().map(|(plan, _)| plan.ticket);
                if reply.send(decision).is_err()
                    && let Some(ticket) = admitted
                {
                    self.over(ticket, Ended::Abandoned, 0, now);
                }
            }
            Ask::Next { ticket, ended, reply } => {
                // A caller that left meanwhile ends its request itself.
                let _ = reply.send(self.next(ticket, ended, now));
            }
            Ask::Began { ticket } => self.began(ticket, now),
            Ask::Over { ticket, ended, status } => self.over(ticket, ended, status, now),
        }
    }

    /// Counts crashes of the requests that the endpoint broke off.
    pub(super) fn confirm_crash(&mut self, endpoint: &str, now: Instant) {
        self.broken.retain(|it| now < it.at + CRASH_SHOWS);
        let life = &self.parts.life;
        for broken in self.broken.iter().filter(|it| it.endpoint == endpoint) {
            self.suspects.record_crash(life, broken.print, now);
            let print = format!("{:032x}", broken.print);
            spdlog::warn!("endpoint crashed under request",
                kv: { endpoint = endpoint, fingerprint = print.as_str() });
        }
        self.broken.retain(|it| it.endpoint != endpoint);
    }

    fn admit(&mut self, arrival: Arrival, now: Instant) -> Result<(Plan, Target), Refusal> {
        let Arrival { host, path, asked, print } = arrival;
        let id = asked.id.clone();
        if self.table.config.version == 0 {
            return Err(refused(&id, Cause::NoConfiguration, 503, Some(NO_ENDPOINT_WAIT)));
        }
        let table = Rc::clone(&self.table);
        let found = match table.find(&host, &path, asked.key.as_deref(), &id) {
            Ok(found) => found,
            Err(Rejection::NoRoute) => return Err(refused(&id, Cause::NoRoute, 404, None)),
            Err(Rejection::UnknownKey) => return Err(refused(&id, Cause::UnknownKey, 401, None)),
        };
        if self.suspects.is_rejected(print, now) {
            return Err(refused(&id, Cause::Suspect, 503, Some(SUSPECT_WAIT)));
        }
        let units = self.take_quota(&found, &asked, now)?;
        let choice = self.choose(found.service, &asked, &[], now);
        let target = choice.as_ref().and_then(|it| self.target(&it.id));
        let (Some(choice), Some(target)) = (choice, target) else {
            self.give_back(found.workspace.map(|it| it.name.as_str()), units);
            return Err(refused(&id, Cause::NoEndpoint, 503, Some(NO_ENDPOINT_WAIT)));
        };
        self.budget(found.service).count_request(now);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let plan = plan(ticket, &found, !table.config.workspaces.is_empty());
        spdlog::info!("placed", kv: {
            request = id,
            route = found.route.name.as_str(),
            endpoint = choice.id.as_str(),
            predicted_ms = choice.predicted.as_millis() as u64,
            unread = choice.prefill_tokens,
            config = table.config.version,
            endpoints = self.pool.store_version,
        });
        self.requests.insert(ticket, Open::new(&found, asked, print, units, now));
        self.place(ticket, choice, now);
        Ok((plan, target))
    }

    /// Takes a request's units from its workspace's quota.
    fn take_quota(
        &mut self,
        found: &Match<'_>,
        asked: &Attributes,
        now: Instant,
    ) -> Result<f64, Refusal> {
        let Some(workspace) = found.workspace else { return Ok(0.0) };
        let Some(quota) = workspace.quota else { return Ok(0.0) };
        let Some(bucket) = self.buckets.get_mut(&workspace.name) else { return Ok(0.0) };
        let units = quota.unit.count(asked.tokens());
        match bucket.take(units, now) {
            Ok(()) => Ok(units),
            Err(wait) => {
                spdlog::info!("over quota", kv: {
                    request = asked.id.as_str(),
                    workspace = workspace.name.as_str(),
                    units = units.round() as i64,
                    left = bucket.level().round() as i64,
                    rate = quota.rate.round() as i64,
                    config = self.table.config.version,
                });
                Err(refused(&asked.id, Cause::Quota, 429, Some(wait)))
            }
        }
    }

    fn next(&mut self, ticket: u64, ended: Ended, now: Instant) -> Result<Target, Refusal> {
        self.leave_endpoint(ticket, ended, now);
        let Some(open) = self.requests.get_mut(&ticket) else {
            return Err(Refusal { status: 502, retry_after: None });
        };
        open.may_have_run |= matches!(ended, Ended::Broken | Ended::Failed);
        if ended != Ended::Unreachable {
            open.attempts_left = open.attempts_left.saturating_sub(1);
        }
        let may_have_run = open.may_have_run;
        let id = open.asked.id.clone();
        let status = if may_have_run { 502 } else { 503 };
        let wait = |wait: Duration| (!may_have_run).then_some(wait);
        if may_have_run && !open.is_idempotent {
            return Err(refused(&id, Cause::Attempts, 502, None));
        }
        if open.attempts_left == 0 {
            return Err(refused(&id, Cause::Attempts, status, wait(TURNED_AWAY_WAIT)));
        }
        let (service, asked, tried) =
            (open.service.clone(), open.asked.clone(), open.tried.clone());
        let daemons = self.peers.live(now).count() + 1;
        // What never arrived at an endpoint is no retry there.
        if ended != Ended::Unreachable && !self.budget(&service).take_retry(daemons, now) {
            return Err(refused(&id, Cause::RetryBudget, status, wait(TURNED_AWAY_WAIT)));
        }
        let choice = self.choose(&service, &asked, &tried, now);
        let target = choice.as_ref().and_then(|it| self.target(&it.id));
        let (Some(choice), Some(target)) = (choice, target) else {
            return Err(refused(&id, Cause::NoEndpoint, status, wait(NO_ENDPOINT_WAIT)));
        };
        metrics::count("retry", ended.name());
        spdlog::info!("placed again", kv: {
            request = id,
            after = ended.name(),
            endpoint = choice.id.as_str(),
            predicted_ms = choice.predicted.as_millis() as u64,
        });
        self.place(ticket, choice, now);
        Ok(target)
    }

    fn began(&mut self, ticket: u64, now: Instant) {
        let Some(open) = self.requests.get_mut(&ticket) else { return };
        if open.has_begun {
            return;
        }
        open.has_begun = true;
        self.count_run(ticket);
        let Some(open) = self.requests.get_mut(&ticket) else { return };
        let waited = now.saturating_duration_since(open.sent);
        metrics::time("first_byte", &open.route, now.saturating_duration_since(open.arrived));
        let read =
            Load { open_requests: 0, prefill_tokens: open.load.prefill_tokens, held_tokens: 0 };
        open.load.prefill_tokens = 0;
        if let Some(member) = self.pool.member_mut(&open.endpoint) {
            member.own_load = member.own_load.minus(read);
            if read.prefill_tokens > 0 {
                member.speed.learn(open.unread_ahead, waited);
            }
        }
        spdlog::info!("began", kv: {
            request = open.asked.id.as_str(),
            endpoint = open.endpoint.as_str(),
            waited_ms = waited.as_millis() as u64,
            predicted_ms = open.predicted.as_millis() as u64,
        });
    }

    /// Counts a run for the report of usage.
    fn count_run(&mut self, ticket: u64) {
        let workspace = self.requests.get(&ticket).and_then(|it| it.workspace.as_ref());
        if let Some(workspace) = workspace {
            self.usage.count(workspace, self.clock.now_ms(crate::clock::since_boot()));
        }
    }

    fn over(&mut self, ticket: u64, ended: Ended, status: u16, now: Instant) {
        self.leave_endpoint(ticket, ended, now);
        let Some(open) = self.requests.remove(&ticket) else { return };
        if !open.has_begun && !open.may_have_run && matches!(status, 429 | 503) {
            self.give_back(open.workspace.as_deref(), open.units);
        }
        let took = now.saturating_duration_since(open.arrived);
        metrics::count("over", ended.name());
        metrics::time("over", &open.route, took);
        spdlog::info!("over", kv: {
            request = open.asked.id.as_str(),
            route = open.route.as_str(),
            endpoint = open.endpoint.as_str(),
            ended = ended.name(),
            status = status,
            took_ms = took.as_millis() as u64,
        });
    }

    /// Puts a request on an endpoint.
    fn place(&mut self, ticket: u64, choice: Choice, now: Instant) {
        let Some(open) = self.requests.get_mut(&ticket) else { return };
        let Some(member) = self.pool.member_mut(&choice.id) else { return };
        member.own_load = member.own_load.plus(choice.load);
        for part in &open.asked.parts {
            member.record_cached(part.id, now);
        }
        let output = open.asked.size.map_or(0, |it| it.output);
        let speed = member.speed;
        let work = f64::from(choice.load.prefill_tokens) / speed.prefill_tokens_per_ms
            + f64::from(output) * speed.step_ms * STEP_SHARE;
        *self.work_ms.entry(open.service.clone()).or_default() += work;
        open.tried.push(choice.id.clone());
        open.endpoint = choice.id;
        open.load = choice.load;
        open.unread_ahead = choice.prefill_tokens;
        open.predicted = choice.predicted;
        open.sent = now;
    }

    /// Takes a request off its endpoint and notes what its end tells.
    fn leave_endpoint(&mut self, ticket: u64, ended: Ended, now: Instant) {
        let Some(open) = self.requests.get_mut(&ticket) else { return };
        if open.endpoint.is_empty() {
            return;
        }
        let endpoint = open.endpoint.clone();
        let load = std::mem::take(&mut open.load);
        if load == Load::default() {
            return;
        }
        if let Some(member) = self.pool.member_mut(&endpoint) {
            member.own_load = member.own_load.minus(load);
        }
        // An endpoint's error of its own is a run like any other, and what broke off
        // was most likely being run.
        if matches!(ended, Ended::Failed | Ended::Broken) && !open.has_begun {
            self.count_run(ticket);
        }
        let Some(open) = self.requests.get(&ticket) else { return };
        let outcome = match ended {
            Ended::Served => Some(Outcome::Success),
            Ended::Failed | Ended::Broken => Some(Outcome::Failure),
            Ended::Unreachable | Ended::Misdirected => Some(Outcome::Unreachable),
            Ended::TurnedAway => Some(Outcome::Overloaded),
            Ended::TimedOut => (!open.has_begun).then_some(Outcome::Failure),
            Ended::Abandoned => None,
        };
        if ended == Ended::Broken {
            let print = open.print;
            self.broken.push_back(Broken { endpoint: endpoint.clone(), print, at: now });
        }
        if let Some(outcome) = outcome {
            self.pool.record_outcome(&endpoint, outcome, now);
        }
        if ended == Ended::Unreachable {
            self.confirm_crash(&endpoint, now);
        }
    }

    fn choose(
        &mut self,
        service: &str,
        asked: &Attributes,
        tried: &[String],
        now: Instant,
    ) -> Option<Choice> {
        let engine = self.table.service(service).and_then(|it| it.engine.as_ref());
        let query = Query { service, engine, attributes: asked, tried };
        choose::choose(&self.pool, &query, now, &mut self.rng)
    }

    fn target(&self, id: &str) -> Option<Target> {
        let member = self.pool.member(id)?;
        Some(Target { id: id.to_owned(), address: member.endpoint.address })
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        let bounds = &self.parts.settings.bounds;
        let limit = retry::Limit {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        };
        self.budgets.entry(service.to_owned()).or_insert_with(|| Budget::new(limit))
    }

    fn give_back(&mut self, workspace: Option<&str>, units: f64) {
        if let Some(bucket) = workspace.and_then(|it| self.buckets.get_mut(it)) {
            bucket.refund(units);
        }
    }
}

fn plan(ticket: u64, found: &Match<'_>, hides_key: bool) -> Plan {
    let route = found.route;
    Plan {
        ticket,
        timeout: Duration::from_millis(route.timeout_ms),
        is_idempotent: route.is_idempotent(),
        is_stream: route.kind == Kind::Stream,
        workspace: found.workspace.map(|it| it.name.clone()),
        rank: found.workspace.and_then(|it| it.priority).or(Some(route.priority)),
        hides_key,
    }
}

fn refused(id: &str, cause: Cause, status: u16, retry_after: Option<Duration>) -> Refusal {
    metrics::count("refused", cause.name());
    spdlog::info!("refused", kv: {
        request = id,
        cause = cause.name(),
        status = status,
        retry_after_ms = retry_after.map_or(0, |it| it.as_millis() as u64),
    });
    Refusal { status, retry_after }
}
