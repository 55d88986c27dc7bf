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
use crate::asking::Waiting;
use crate::metrics;

/// Minimum interval between log lines about silent accounting daemons.
const SILENCE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

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
        let unanswered = daemons.keys().copied().collect();
        let waiting = Waiting { arrival, reply, parts: parts.clone(), since: now, unanswered };
        let number = self.asking.add(waiting);
        for (to, endpoints) in daemons {
            metrics::count("account", "asked");
            let question = Question {
                daemon: self.context.instance_id.clone(),
                to: self.context.settings.peers,
                number,
                endpoints,
                parts: parts.clone(),
            };
            let message = digest::Message::Accounts(Message::Question(question));
            self.context.streams.send(to, &message, now);
        }
    }

    pub(super) fn handle_answer(&mut self, answer: &Answer, now: Instant) {
        // What a late answer says of the load holds for the next requests.
        let parts = self.asking.parts(answer.number).unwrap_or_default();
        account::merge_answer(&mut self.pool, answer, parts, now);
        self.asking.record_response(answer.from);
        if let Some(waiting) = self.asking.record_answer(answer.number, answer.from) {
            self.end_wait(waiting, now);
        }
    }

    /// Sets the timer that ends the waits, if there are any.
    pub(super) fn set_asking_timer(&mut self, cx: CX![]) {
        let Some(due_in) = self.asking.due_in(cx.now()).filter(|_| !self.is_asking_timer_set)
        else {
            return;
        };
        self.is_asking_timer_set = true;
        after!(due_in, [cx], end_overdue_waits());
    }

    fn end_overdue_waits(&mut self, cx: CX![]) {
        let now = cx.now();
        self.is_asking_timer_set = false;
        for waiting in self.asking.take_overdue(now) {
            for daemon in &waiting.unanswered {
                metrics::count("account", "silent");
                self.report_silence(*daemon, &waiting.arrival.attributes.id, now);
            }
            self.end_wait(waiting, now);
        }
        self.set_asking_timer(cx);
    }

    /// Logs that a daemon did not answer in time; one line in an interval, with the number of
    /// those that were not logged.
    fn report_silence(&mut self, daemon: SocketAddr, request: &str, now: Instant) {
        self.unreported_silences += 1;
        if now < self.silence_reported_at + SILENCE_REPORT_INTERVAL {
            return;
        }
        let count = std::mem::take(&mut self.unreported_silences);
        self.silence_reported_at = now;
        spdlog::info!("accounting daemon silent", kv: {
            daemon = daemon.to_string(),
            request = request,
            count = count,
        });
    }

    fn end_wait(&mut self, waiting: Waiting, now: Instant) {
        let Waiting { mut arrival, reply, since, .. } = waiting;
        if reply.is_closed() {
            metrics::count("account", "caller_left");
            return;
        }
        arrival.waited += now.saturating_duration_since(since);
        self.decide(arrival, reply, now);
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
        if !self.is_large_fleet() || !self.asking.has_room() || attributes.resumes.is_some() {
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
            let Some(to) = accounting.filter(|it| {
                self.asking.may_ask(*it, now)
                    && self.context.streams.speaks(*it, Protocol::Accounts)
            }) else {
                continue;
            };
            daemons.entry(to).or_default().push(choice.id);
        }
        daemons
    }
}
