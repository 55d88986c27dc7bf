//! Requests that wait for what the accounting daemons of the best endpoints know.
//!
//! A request waits before anything is decided on it, so that limits, rules and the
//! configuration are those of the moment at which it is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::account;
use balance::account::Answer;
use balance::account::MAX_PARTS;
use balance::account::MIN_TOKENS;
use balance::account::Message;
use balance::account::Question;
use balance::choose;
use balance::choose::Query;
use balance::software::Requirement;
use membership::digest;
use membership::protocol::Protocol;
use relay::admission::Arrival;
use relay::admission::Decision;
use stakker::CX;
use stakker::after;
use tokio::sync::oneshot;

use super::Broker;
use super::requests::exhausted;
use crate::metrics;

/// How long a request waits for accounting daemons.
const MAX_WAIT: Duration = Duration::from_millis(8);
/// How long a daemon that didn't answer in time isn't asked again.
const SILENCE: Duration = Duration::from_millis(500);
/// Maximum number of requests that wait at the same time.
const MAX_WAITING: usize = 256;

/// Requests that wait for accounting daemons.
#[derive(Debug, Default)]
pub(super) struct Placing {
    waiting: HashMap<u64, Waiting>,
    last_number: u64,
    /// Daemons that didn't answer in time, and when they are asked again.
    silent_until: HashMap<SocketAddr, Instant>,
    is_timer_set: bool,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    reply: oneshot::Sender<Decision>,
    parts: Vec<u64>,
    since: Instant,
    /// Daemons that have not answered.
    unanswered: Vec<SocketAddr>,
}

impl Broker {
    /// Decides on a new request, after the accounting daemons of the endpoints that suit it
    /// best have said what is outstanding there.
    pub(super) fn decide_informed(
        &mut self,
        arrival: Arrival,
        reply: oneshot::Sender<Decision>,
        now: Instant,
    ) {
        let daemons = self.daemons_to_ask(&arrival, now);
        if daemons.is_empty() {
            return self.decide(arrival, reply, now);
        }
        let parts = arrival.attributes.parts.iter().take(MAX_PARTS).map(|it| it.id);
        let parts: Vec<u64> = parts.collect();
        self.placing.last_number += 1;
        let number = self.placing.last_number;
        for (to, endpoints) in &daemons {
            metrics::count("account", "asked");
            let question = Question {
                daemon: self.context.instance_id.clone(),
                to: self.context.settings.peers,
                number,
                endpoints: endpoints.clone(),
                parts: parts.clone(),
            };
            let message = digest::Message::Accounts(Message::Question(question));
            self.context.streams.send(*to, &message, now);
        }
        let unanswered = daemons.into_keys().collect();
        let waiting = Waiting { arrival, reply, parts, since: now, unanswered };
        self.placing.waiting.insert(number, waiting);
    }

    pub(super) fn handle_answer(&mut self, answer: &Answer, now: Instant) {
        let Some(waiting) = self.placing.waiting.get_mut(&answer.number) else {
            metrics::count("account", "late");
            return;
        };
        account::merge_answer(&mut self.pool, answer, &waiting.parts, now);
        waiting.unanswered.retain(|it| *it != answer.from);
        if waiting.unanswered.is_empty() {
            self.end_wait(answer.number, now);
        }
    }

    /// Sets the timer that ends the waits, if there are any.
    pub(super) fn set_placing_timer(&mut self, cx: CX![]) {
        if self.placing.waiting.is_empty() || self.placing.is_timer_set {
            return;
        }
        self.placing.is_timer_set = true;
        after!(MAX_WAIT, [cx], end_overdue_waits());
    }

    fn end_overdue_waits(&mut self, cx: CX![]) {
        let now = cx.now();
        self.placing.is_timer_set = false;
        let is_overdue = |it: &Waiting| now >= it.since + MAX_WAIT;
        let waiting = self.placing.waiting.iter();
        let mut overdue: Vec<u64> =
            waiting.filter(|(_, it)| is_overdue(it)).map(|(number, _)| *number).collect();
        overdue.sort_unstable();
        for number in overdue {
            self.end_wait(number, now);
        }
        self.set_placing_timer(cx);
    }

    fn end_wait(&mut self, number: u64, now: Instant) {
        let Some(waiting) = self.placing.waiting.remove(&number) else { return };
        let Waiting { mut arrival, reply, since, unanswered, .. } = waiting;
        for daemon in unanswered {
            self.note_silence(daemon, now);
        }
        arrival.waited += now.saturating_duration_since(since);
        self.decide(arrival, reply, now);
    }

    fn note_silence(&mut self, daemon: SocketAddr, now: Instant) {
        metrics::count("account", "silent");
        self.placing.silent_until.retain(|_, until| now < *until);
        if self.placing.silent_until.insert(daemon, now + SILENCE).is_none() {
            let daemon = daemon.to_string();
            spdlog::info!("accounting daemon silent", kv: { daemon = daemon });
        }
    }

    /// Returns the daemons that account for the endpoints that suit a request best, with these
    /// endpoints; none if the request is placed without asking.
    fn daemons_to_ask(
        &mut self,
        arrival: &Arrival,
        now: Instant,
    ) -> HashMap<SocketAddr, Vec<String>> {
        let mut daemons: HashMap<SocketAddr, Vec<String>> = HashMap::new();
        let attributes = &arrival.attributes;
        // A stream that is taken up has few endpoints, which are told apart later.
        if !self.uses_accounts()
            || self.placing.waiting.len() >= MAX_WAITING
            || attributes.resumes.is_some()
        {
            return daemons;
        }
        let key = attributes.key.as_deref();
        let table = Rc::clone(&self.table);
        let found = table.find(&arrival.host, &arrival.path, key, attributes.stream_id());
        let Ok(found) = found else { return daemons };
        let service = found.service;
        let engine = table.service(service).and_then(|it| it.engine.as_ref());
        if engine.is_none() {
            return daemons;
        }
        let requirement = &Requirement::Any;
        let exhausted = exhausted(&self.pool, &self.endpoint_limits, &self.rooms, service, now);
        let query =
            Query { service, engine, attributes, requirement, tried: &[], exhausted: &exhausted };
        let candidates = choose::candidates(&self.pool, &query, now, &mut self.rng);
        if candidates.iter().all(|it| it.total_prefill_tokens < MIN_TOKENS) {
            return daemons;
        }
        for choice in candidates {
            let accounting = self.peers.accounting(&choice.id, &self.context.instance_id, now);
            let Some(to) = accounting.filter(|it| self.may_ask(*it, now)) else { continue };
            daemons.entry(to).or_default().push(choice.id);
        }
        daemons
    }

    fn may_ask(&self, daemon: SocketAddr, now: Instant) -> bool {
        let is_silent = self.placing.silent_until.get(&daemon).is_some_and(|it| now < *it);
        !is_silent && self.context.streams.speaks(daemon, Protocol::Accounts)
    }
}
