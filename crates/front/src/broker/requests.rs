//! Lifecycle of requests: admission, placement, retries and completion.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::choose;
use balance::choose::Choice;
use balance::choose::Cost;
use balance::choose::Query;
use balance::health;
use balance::load::Load;
use balance::pool::Pool;
use balance::software::Requirement;
use balance::subject::Subject;
use policy::promise;
use policy::promise::Author;
use quota::endpoint;
use quota::room::Rooms;
use relay::admission::Admission;
use relay::admission::Arrival;
use relay::admission::Decision;
use relay::admission::Message;
use relay::admission::Outcome;
use relay::admission::Plan;
use relay::admission::Refusal;
use relay::admission::Target;
use route::config::Kind;
use route::request::Attributes;
use route::request::Part;
use route::table::Match;
use route::table::Rejection;
use tokio::sync::oneshot;

use super::Broker;
use super::Stage;
use super::brittle;
use super::origins::Bound;
use super::pending::Pending;
use super::refusal::Cause;
use super::refusal::refuse;
use crate::drain::Remaining;
use crate::metrics;

/// Retry delay for callers when no endpoint is available: about the time in which
/// the list of endpoints changes.
pub(super) const NO_ENDPOINT_DELAY: Duration = Duration::from_millis(500);
/// Retry delay for callers when endpoints declined the request.
const DECLINED_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of a prompt's parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Share of an engine's step time that one output token of a request takes, with
/// batches of sixteen.
const STEP_SHARE: f64 = 1.0 / 16.0;

impl Broker {
    pub(super) fn handle_request_message(&mut self, message: Message, now: Instant) {
        match message {
            Message::Admit { arrival, reply } => self.handle_arrival(*arrival, reply, now),
            Message::Retry { ticket, outcome, reply } => {
                // If the caller has disconnected, its ticket reports the request as finished.
                let _ = reply.send(self.retry(ticket, outcome, now));
            }
            Message::Confirm { ticket, identity, is_fresh, reply } => {
                // If the caller has disconnected, its ticket reports the request as finished.
                let _ = reply.send(self.confirm(ticket, identity, is_fresh, now));
            }
            Message::Identified { ticket, identity } => {
                self.identify_origin(ticket, identity, now);
            }
            Message::LimitStated { ticket, statement } => {
                self.handle_limit_statement(ticket, statement, now);
            }
            Message::BrittleStated { ticket, survived } => {
                self.handle_brittle_statement(ticket, survived, now);
            }
            Message::LeavingStated { ticket } => self.handle_leaving_statement(ticket, now),
            Message::PauseStated { ticket, duration } => {
                self.handle_pause_statement(ticket, duration, now);
            }
            Message::Started { ticket } => self.handle_start(ticket, now),
            Message::Finished { ticket, outcome, status } => {
                self.finish(ticket, outcome, status, now);
            }
            Message::Exchanged { end } => metrics::count("exchange", end.name()),
        }
    }

    /// Decides on a new request and replies to its task.
    pub(super) fn decide(
        &mut self,
        arrival: Arrival,
        reply: oneshot::Sender<Decision>,
        now: Instant,
    ) {
        let admitted = self.admit(arrival, now);
        let ticket = admitted.as_ref().ok().map(|(plan, _)| plan.ticket);
        let decision = admitted.map(|(plan, target)| Admission::Run(plan, target));
        if reply.send(decision).is_err()
            && let Some(ticket) = ticket
        {
            self.finish(ticket, Outcome::Abandoned, 0, now);
        }
    }

    fn admit(&mut self, arrival: Arrival, now: Instant) -> Result<(Plan, Target), Refusal> {
        let Arrival { host, path, attributes, fingerprint, waited } = arrival;
        let arrived_at = now.checked_sub(waited).unwrap_or(self.started_at);
        let id = attributes.id.clone();
        if self.table.config.version == 0 {
            return Err(refuse(&id, Cause::NoConfiguration, 503, Some(NO_ENDPOINT_DELAY)));
        }
        let table = Rc::clone(&self.table);
        let key = attributes.key.as_deref();
        let found = match table.find(&host, &path, key, attributes.stream_id()) {
            Ok(found) => found,
            Err(Rejection::NoRoute) => return Err(refuse(&id, Cause::NoRoute, 404, None)),
            Err(Rejection::UnknownKey) => return Err(refuse(&id, Cause::UnknownKey, 401, None)),
        };
        let subjects = Subject::of_request(fingerprint, attributes.parts.iter().map(|it| it.id));
        if let Some((cause, delay)) = self.cause_to_reject(&id, &subjects, now) {
            return Err(refuse(&id, cause, 503, Some(delay)));
        }
        let limit = time_limit(&found, &attributes).saturating_sub(waited);
        if limit.is_zero() {
            return Err(refuse(&id, Cause::TimeLimit, 503, None));
        }
        if !self.ends_before_exit(&found.route.name, limit, now) {
            return Err(refuse(&id, Cause::Stopping, 503, relay::server::STOPPING.retry_after));
        }
        let Bound { found, requirement, known_from } =
            self.bind(found, &attributes, arrived_at, now)?;
        let units = self.charge_quota(&found, &attributes, now)?;
        let choice = self.choose(found.service, &attributes, &requirement, &[], now);
        let target = choice.as_ref().and_then(|it| self.target(&it.id, &requirement));
        let (Some(choice), Some(target)) = (choice, target) else {
            self.refund(found.workspace.map(|it| it.name.as_str()), units);
            let (cause, delay) = self.explain_no_endpoint(found.service, &requirement, &[], now);
            return Err(refuse(&id, cause, 503, Some(delay)));
        };
        self.budget(found.service).count_request(now);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let plan = plan(ticket, &found, !table.config.workspaces.is_empty());
        let prompt_tokens = attributes.size.map_or(0, |it| it.prompt);
        let load_age = choice.known_age.unwrap_or_else(|| self.pool.mean_report_age(now));
        spdlog::info!("placed", kv: {
            request = id,
            route = found.route.name.as_str(),
            workspace = found.workspace.map_or("", |it| it.name.as_str()),
            fingerprint = Subject::Request(fingerprint).to_string(),
            units = units.round() as i64,
            endpoint = choice.id.as_str(),
            software = self.software(&choice.id),
            resumes = attributes.resumes.as_deref().unwrap_or(""),
            last_event = attributes.last_event.as_deref().unwrap_or(""),
            requires = requirement.name(),
            known_from = known_from,
            predicted_ms = choice.predicted.as_millis() as u64,
            unread = choice.total_prefill_tokens,
            outstanding = choice.total_prefill_tokens - choice.load.prefill_tokens,
            cached = prompt_tokens.saturating_sub(choice.load.prefill_tokens),
            load_from = if choice.known_age.is_some() { "account" } else { "digests" },
            load_age_ms = load_age.as_millis() as u64,
            parts = part_ids(&attributes.parts),
            config = table.config.version,
            endpoints = self.pool.store_version,
        });
        let is_trial = self.record_trial(&id, &subjects, now);
        let pending = Pending::new(&found, attributes, subjects, units, limit, now);
        self.requests.insert(ticket, Pending { is_trial, requirement, ..pending });
        self.place(ticket, choice, now);
        Ok((plan, target))
    }

    fn retry(&mut self, ticket: u64, outcome: Outcome, now: Instant) -> Result<Target, Refusal> {
        self.release_endpoint(ticket, outcome, now);
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return Err(Refusal { status: 502, retry_after: None });
        };
        pending.evidence = pending.evidence.and(outcome.evidence());
        if outcome.was_sent() {
            pending.attempts_left = pending.attempts_left.saturating_sub(1);
        }
        let (evidence, is_idempotent) = (pending.evidence, pending.is_idempotent);
        let attempts_left = pending.attempts_left;
        let id = pending.attributes.id.clone();
        let refusal =
            promise::Response { status: 503, author: Author::Daemon, evidence, is_idempotent };
        let status = refusal.checked_status();
        let delay_if_not_run = |delay: Duration| evidence.is_proof().then_some(delay);
        if !evidence.is_proof() && !is_idempotent {
            return Err(refuse(&id, Cause::Attempts, status, None));
        }
        let (route, limit) = (
            pending.route.clone(),
            (pending.arrived_at + pending.limit).saturating_duration_since(now),
        );
        let (service, attributes, tried) =
            (pending.service.clone(), pending.attributes.clone(), pending.tried.clone());
        let requirement = match pending.unconfirmed_origin {
            Some(origin) => self.settled_requirement(ticket, origin, outcome, now),
            None => pending.requirement.clone(),
        };
        let suspicion =
            self.requests.get(&ticket).and_then(|it| self.cause_to_end(it, outcome, now));
        if let Some((cause, delay)) = suspicion {
            return Err(refuse(&id, cause, status, delay_if_not_run(delay)));
        }
        if attempts_left == 0 {
            return Err(refuse(&id, Cause::Attempts, status, delay_if_not_run(DECLINED_DELAY)));
        }
        if evidence.is_proof() && !self.ends_before_exit(&route, limit, now) {
            return Err(refuse(&id, Cause::Stopping, status, relay::server::STOPPING.retry_after));
        }
        let choice = self.choose(&service, &attributes, &requirement, &tried, now);
        let target = choice.as_ref().and_then(|it| self.target(&it.id, &requirement));
        let (Some(choice), Some(target)) = (choice, target) else {
            let (cause, delay) = self.explain_no_endpoint(&service, &requirement, &tried, now);
            return Err(refuse(&id, cause, status, delay_if_not_run(delay)));
        };
        // An attempt that never reached its endpoint doesn't count as a retry.
        if outcome.was_sent() && !self.take_retry(&id, &service, now) {
            return Err(refuse(&id, Cause::RetryBudget, status, delay_if_not_run(DECLINED_DELAY)));
        }
        metrics::count("retry", outcome.name());
        spdlog::info!("placed again", kv: {
            request = id,
            after = outcome.name(),
            endpoint = choice.id.as_str(),
            software = self.software(&choice.id),
            requires = requirement.name(),
            predicted_ms = choice.predicted.as_millis() as u64,
        });
        self.place(ticket, choice, now);
        Ok(target)
    }

    fn handle_start(&mut self, ticket: u64, now: Instant) {
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        if pending.has_started {
            return;
        }
        pending.has_started = true;
        pending.began_at = Some(now);
        let (endpoint, instance, sent_at) =
            (pending.endpoint.clone(), pending.instance, pending.sent_at);
        let (service, is_fresh) = (pending.service.clone(), pending.is_fresh);
        self.reach.record_response(&service, is_fresh, now);
        self.record_response(&endpoint, instance, sent_at, now);
        self.rooms.record_start(&endpoint);
        self.count_run(ticket);
        self.bind_to_software(ticket, now);
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        let waited = now.saturating_duration_since(pending.sent_at);
        metrics::observe(
            "first_byte",
            &pending.route,
            now.saturating_duration_since(pending.arrived_at),
        );
        let prefill =
            Load { open_requests: 0, prefill_tokens: pending.load.prefill_tokens, held_tokens: 0 };
        pending.load.prefill_tokens = 0;
        if let Some(member) = self.pool.member_mut(&pending.endpoint) {
            member.own_load = member.own_load.minus(prefill);
            if prefill.prefill_tokens > 0 {
                member.speed.learn(pending.prefill_tokens, waited);
            }
        }
        spdlog::info!("began", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            software = pending.software.as_str(),
            is_confirmed = pending.is_identified(),
            identified_by = pending.identified_by,
            heard_ms = pending.heard_since
                .map_or(-1, |it| now.saturating_duration_since(it).as_millis() as i64),
            waited_ms = waited.as_millis() as u64,
            predicted_ms = pending.predicted.as_millis() as u64,
        });
        self.report_load(&endpoint, prefill.prefill_tokens, &[], now);
    }

    /// Counts a run of the request in the usage of its workspace.
    fn count_run(&mut self, ticket: u64) {
        let workspace = self.requests.get(&ticket).and_then(|it| it.workspace.as_ref());
        if let Some(workspace) = workspace {
            self.usage.count(workspace, self.clock.now_ms(crate::clock::since_boot()));
        }
    }

    fn finish(&mut self, ticket: u64, outcome: Outcome, status: u16, now: Instant) {
        self.release_endpoint(ticket, outcome, now);
        let Some(pending) = self.requests.remove(&ticket) else { return };
        let evidence = pending.evidence.and(outcome.evidence());
        if promise::is_made_by(status) && evidence.is_proof() {
            self.refund(pending.workspace.as_deref(), pending.units);
        }
        let took = now.saturating_duration_since(pending.arrived_at);
        if outcome.is_served() {
            self.durations.record(&pending.route, took);
        }
        metrics::count("over", outcome.name());
        metrics::observe("over", &pending.route, took);
        spdlog::info!("over", kv: {
            request = pending.attributes.id.as_str(),
            route = pending.route.as_str(),
            endpoint = pending.endpoint.as_str(),
            ended = outcome.name(),
            status = status,
            took_ms = took.as_millis() as u64,
        });
    }

    /// Assigns a request to an endpoint.
    fn place(&mut self, ticket: u64, choice: Choice, now: Instant) {
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        let Some(member) = self.pool.member_mut(&choice.id) else { return };
        member.own_load = member.own_load.plus(choice.load);
        for part in &pending.attributes.parts {
            member.record_cached(part.id, now);
        }
        let output_tokens = pending.attributes.size.map_or(0, |it| it.output);
        let speed = member.speed;
        let work_ms = f64::from(choice.load.prefill_tokens) / speed.prefill_tokens_per_ms
            + f64::from(output_tokens) * speed.step_ms * STEP_SHARE;
        *self.work_ms.entry(pending.service.clone()).or_default() += work_ms;
        self.endpoint_limits.take(&choice.id, now);
        self.rooms.record_sent(&choice.id, now);
        pending.tried.push(choice.id.clone());
        pending.endpoint = choice.id;
        pending.address = member.endpoint.address;
        pending.instance = member.instance;
        pending.software.clone_from(&member.endpoint.software);
        pending.confirmed = None;
        pending.identified_by = "";
        pending.heard_since = None;
        pending.load = choice.load;
        pending.prefill_tokens = choice.total_prefill_tokens;
        pending.predicted = choice.predicted;
        pending.sent_at = now;
        pending.began_at = None;
        pending.is_fresh = false;
        let (id, parts) = (pending.endpoint.clone(), pending.attributes.parts.clone());
        self.report_load(&id, choice.load.prefill_tokens, &parts, now);
    }

    /// Removes a request from its endpoint and records the attempt's outcome.
    fn release_endpoint(&mut self, ticket: u64, outcome: Outcome, now: Instant) {
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        if pending.endpoint.is_empty() {
            return;
        }
        let endpoint = pending.endpoint.clone();
        let load = std::mem::take(&mut pending.load);
        if load == Load::default() {
            return;
        }
        if let Some(member) = self.pool.member_mut(&endpoint) {
            member.own_load = member.own_load.minus(load);
            let is_current = member.instance == pending.instance;
            if is_current && matches!(outcome, Outcome::Broken | Outcome::Unreachable) {
                member.broke_at = Some(now);
            }
        }
        // An endpoint's own error counts as a run, and a request whose attempt broke off
        // was most likely being run.
        if matches!(outcome, Outcome::Failed | Outcome::Broken) && !pending.has_started {
            self.count_run(ticket);
        }
        let Some(pending) = self.requests.get(&ticket) else { return };
        self.report_load(&endpoint, pending.prefill_tokens, &[], now);
        let Some(pending) = self.requests.get(&ticket) else { return };
        let health_outcome = match outcome {
            Outcome::Served | Outcome::ServedToClose => Some(health::Outcome::Success),
            Outcome::Failed | Outcome::Broken => Some(health::Outcome::Failure),
            // Nothing was sent, since the request was rejected meanwhile.
            Outcome::Unreachable if self.is_rejected(pending, now) => None,
            Outcome::Unreachable | Outcome::Misdirected => Some(health::Outcome::Unreachable),
            Outcome::Declined => Some(health::Outcome::Overloaded),
            Outcome::TimedOut => (!pending.has_started).then_some(health::Outcome::Failure),
            Outcome::OtherProcess | Outcome::Unverified | Outcome::Abandoned => None,
        };
        if outcome == Outcome::Declined {
            self.record_rejection(&endpoint, now);
        }
        if let Some(outcome) = health_outcome {
            self.pool.record_outcome(&endpoint, outcome, now);
        }
        self.record_reach(ticket, outcome, now);
        self.record_evidence(ticket, outcome, now);
    }

    /// Whether a request can be expected to end before this daemon exits.
    pub(super) fn ends_before_exit(&self, route: &str, limit: Duration, now: Instant) -> bool {
        let Stage::Stopping(drain) = &self.stage else { return true };
        let remaining = Remaining { limit, expected: self.durations.upper(route) };
        drain.admits(remaining, self.context.settings.bounds.grace, now)
    }

    fn choose(
        &mut self,
        service: &str,
        attributes: &Attributes,
        requirement: &Requirement,
        tried: &[String],
        now: Instant,
    ) -> Option<Choice> {
        let engine = self.table.service(service).and_then(|it| it.engine.as_ref());
        let exhausted = exhausted(&self.pool, &self.endpoint_limits, &self.rooms, service, now);
        let query =
            Query { service, engine, attributes, requirement, tried, exhausted: &exhausted };
        let cost = if self.is_large_fleet() { Cost::Shared } else { Cost::Own };
        choose::best(&self.pool, &query, cost, 1, now, &mut self.rng).pop()
    }

    /// Returns the software version of an endpoint for logs.
    fn software(&self, id: &str) -> &str {
        self.pool.member(id).map_or("", |it| &it.endpoint.software)
    }

    fn target(&self, id: &str, requirement: &Requirement) -> Option<Target> {
        let member = self.pool.member(id)?;
        Some(Target {
            id: id.to_owned(),
            address: member.endpoint.address,
            is_bound: *requirement != Requirement::Any,
            is_watchable: !self.is_large_fleet(),
            is_limited: self.endpoint_limits.rate(id).is_some(),
        })
    }
}

/// Returns the endpoints that take no further request of this daemon now.
pub(super) fn exhausted<'a>(
    pool: &'a Pool,
    limits: &'a endpoint::Limits,
    rooms: &Rooms,
    service: &str,
    now: Instant,
) -> BTreeSet<&'a str> {
    let mut exhausted: BTreeSet<&str> = limits.exhausted(now).into_iter().collect();
    exhausted.extend(brittle::closed(pool, rooms, service, now));
    exhausted
}

pub(super) fn time_limit(found: &Match<'_>, attributes: &Attributes) -> Duration {
    let timeout = Duration::from_millis(found.route.timeout_ms);
    attributes.timeout.map_or(timeout, |it| it.min(timeout))
}

fn plan(ticket: u64, found: &Match<'_>, strips_key: bool) -> Plan {
    let route = found.route;
    Plan {
        ticket,
        timeout: Duration::from_millis(route.timeout_ms),
        is_idempotent: route.is_idempotent(),
        is_stream: route.kind == Kind::Stream,
        workspace: found.workspace.map(|it| it.name.clone()),
        priority: found.workspace.and_then(|it| it.priority).or(Some(route.priority)),
        strips_key,
    }
}

/// Formats the ids of a prompt's first parts for logs.
fn part_ids(parts: &[Part]) -> String {
    let ids: Vec<String> =
        parts.iter().take(MAX_LOGGED_PARTS).map(|it| format!("{:x}", it.id)).collect();
    ids.join(",")
}
