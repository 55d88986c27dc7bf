//! Questions to other daemons about streams that callers take up.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::origin;
use balance::origin::Key;
use membership::digest::Message;
use relay::admission::Arrival;
use relay::admission::Decision;
use route::table::Match;
use tokio::sync::oneshot;

use super::Broker;
use super::origin_log::READ_TIMEOUT;
use super::origins::stream_key;
use super::origins::takes_up;
use crate::metrics;

/// How long an arrival waits for other daemons that may know its stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of streams of which other daemons are asked at the same time.
const MAX_QUERIES: usize = 1_024;
/// Number of daemons that are asked in a large fleet; more than remember a stream, as some of
/// these may have ended.
const QUERIED: usize = 5;

/// An arrival that waits until it is known where its stream began.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    pub(super) reply: oneshot::Sender<Decision>,
    pub(super) since: Instant,
}

/// A question to other daemons.
#[derive(Debug)]
pub(super) struct Query {
    waiting: Vec<Waiting>,
    /// Number of daemons that have not replied, and the store's row if it was not read.
    unanswered: usize,
    pub(super) until: Instant,
    /// Since when the query waits for the store's rows of streams, as no daemon has answered it.
    pub(super) stored_since: Option<Instant>,
}

impl Broker {
    /// Handles a new request. If it takes up a stream that this daemon doesn't know, asks
    /// other daemons first.
    pub(super) fn handle_arrival(
        &mut self,
        arrival: Arrival,
        reply: oneshot::Sender<Decision>,
        now: Instant,
    ) {
        if let Some(admission) = self.forward(&arrival, now) {
            // A caller that has disconnected needs no response.
            let _ = reply.send(Ok(admission));
            return;
        }
        let Some(key) = self.unknown_stream(&arrival, now) else {
            return self.decide_read(arrival, reply, now);
        };
        let daemons = self.peers.remembering(key, QUERIED, now);
        // The row of software versions may hold the answer as well.
        let unanswered = daemons.len() + usize::from(!self.stored_history.has_read);
        if self.queries.len() >= MAX_QUERIES {
            return self.decide_read(arrival, reply, now);
        }
        let waiting = Waiting { arrival, reply, since: now };
        if let Some(query) = self.queries.get_mut(&key) {
            return query.waiting.push(waiting);
        }
        metrics::count("origin", "asked");
        let message = Message::OriginQuery { to: self.context.settings.peers, key };
        for daemon in &daemons {
            self.context.streams.send(*daemon, &message, now);
        }
        let until = now + QUERY_TIMEOUT;
        let query = Query { waiting: vec![waiting], unanswered, until, stored_since: None };
        self.queries.insert(key, query);
        if unanswered == 0 {
            self.end_query(key, now);
        }
    }

    pub(super) fn reply_to_query(&mut self, to: SocketAddr, key: Key, now: Instant) {
        let daemon = self.context.instance_id.clone();
        let known = self.origins.notice(key, now);
        self.context.streams.send(to, &Message::OriginReply { daemon, key, known }, now);
    }

    pub(super) fn handle_query_reply(
        &mut self,
        daemon: &str,
        key: Key,
        known: Option<&origin::Notice>,
        now: Instant,
    ) {
        let Some(query) = self.queries.get_mut(&key) else { return };
        query.unanswered = query.unanswered.saturating_sub(1);
        if known.is_none() && (query.unanswered > 0 || query.stored_since.is_some()) {
            return;
        }
        if let Some(notice) = known {
            self.merge_streams(daemon, std::slice::from_ref(notice), now);
        }
        self.end_query(key, now);
    }

    /// Ends the queries that only the row of software versions was left to answer.
    pub(super) fn settle_queries(&mut self, now: Instant) {
        let mut settled = Vec::new();
        for (key, query) in self.queries.iter_mut().filter(|(_, it)| it.stored_since.is_none()) {
            query.unanswered = query.unanswered.saturating_sub(1);
            if query.unanswered == 0 {
                settled.push(*key);
            }
        }
        settled.into_iter().for_each(|it| self.end_query(it, now));
    }

    /// Lets the arrivals of a query go on, unless the store's rows may hold the answer.
    pub(super) fn end_query(&mut self, key: Key, now: Instant) {
        if self.await_rows(key, now) {
            return;
        }
        let Some(query) = self.queries.remove(&key) else { return };
        for Waiting { mut arrival, reply, since } in query.waiting {
            arrival.waited += now.saturating_duration_since(since);
            self.decide_read(arrival, reply, now);
        }
    }

    /// Lets a query of which no daemon knows the stream wait for the store's rows, once. Returns
    /// whether it waits.
    fn await_rows(&mut self, key: Key, now: Instant) -> bool {
        if self.origins.get(key, now).is_some() || !self.may_be_stored(now) {
            return false;
        }
        let Some(query) = self.queries.get_mut(&key) else { return false };
        if query.stored_since.is_some() {
            return false;
        }
        query.stored_since = Some(now);
        query.until = now + READ_TIMEOUT;
        metrics::count("origin", "awaits_rows");
        self.request_streams(now);
        true
    }

    /// Decides on an arrival that has waited.
    pub(super) fn resume_arrival(&mut self, waiting: Waiting, now: Instant) {
        let Waiting { mut arrival, reply, since } = waiting;
        arrival.waited += now.saturating_duration_since(since);
        self.decide(arrival, reply, now);
    }

    /// Decides on an arrival, after the entries were read that say at which version its stream
    /// began.
    fn decide_read(&mut self, arrival: Arrival, reply: oneshot::Sender<Decision>, now: Instant) {
        if !self.awaits_entries(&arrival, now, now) {
            return self.decide_informed(arrival, reply, now);
        }
        if let Some(waiting) = self.await_entries(Waiting { arrival, reply, since: now }) {
            self.resume_arrival(waiting, now);
        }
    }

    /// Returns the route of a request that takes up a stream.
    pub(super) fn take_up(&self, arrival: &Arrival) -> Option<Match<'_>> {
        let attributes = &arrival.attributes;
        let key = attributes.key.as_deref();
        let found = self.table.find(&arrival.host, &arrival.path, key, attributes.stream_id());
        found.ok().filter(|it| takes_up(it, attributes))
    }

    /// Returns the stream that a request takes up if other daemons have to be asked of it.
    fn unknown_stream(&self, arrival: &Arrival, now: Instant) -> Option<Key> {
        arrival.attributes.resumes.as_ref()?;
        let stream = stream_key(&self.take_up(arrival)?, &arrival.attributes)?;
        self.origins.get(stream, now).is_none().then_some(stream)
    }
}
