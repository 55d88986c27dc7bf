//! Software versions of streams that callers take up again, of which other daemons may know.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::origin;
use balance::origin::Entry;
use balance::origin::Key;
use balance::origin::Origin;
use balance::origin::Source;
use balance::software;
use balance::software::Requirement;
use membership::digest::Message;
use relay::admission::Arrival;
use relay::admission::Decision;
use relay::admission::Refusal;
use route::config::Kind;
use route::config::Route;
use route::request::Attributes;
use route::table::Match;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use super::Broker;
use super::origin_log::READ_TIMEOUT;
use super::pending::Pending;
use super::refusal::Cause;
use super::refusal::refuse;
use crate::clock;
use crate::metrics;

/// Retry delay for callers whose stream has no endpoint of its software version; endpoints
/// that crashed are back after some seconds.
pub(super) const NO_SOFTWARE_DELAY: Duration = Duration::from_secs(1);
/// Time after a stream broke off in which its caller may take it up again.
const TAKE_UP_TIME: Duration = Duration::from_secs(10);
/// How long an arrival waits for other daemons that may know its stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of streams of which other daemons are asked at the same time.
const MAX_QUERIES: usize = 1_024;
/// Number of daemons that remember a stream in a large fleet.
const REMEMBERING: usize = 3;
/// Number of daemons that are asked in a large fleet; more than remember a stream, as some of
/// these may have ended.
const QUERIED: usize = 5;
/// Number of daemons that hand their knowledge over to a new one.
const SPONSORS: usize = 2;
/// Maximum number of streams that each of them hands over.
const MAX_HANDED_OVER: usize = 4_096;
/// Maximum number of streams in a message.
const MAX_STREAMS_PER_MESSAGE: usize = 512;

/// An arrival that waits until it is known where its stream began.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) arrival: Arrival,
    pub(super) reply: oneshot::Sender<Decision>,
    pub(super) since: Instant,
}

/// A request with the service and software version that it needs.
#[derive(Debug)]
pub(super) struct Bound<'a> {
    pub(super) found: Match<'a>,
    pub(super) requirement: Requirement,
    /// How the version is known, for logs.
    pub(super) known_from: &'static str,
}

/// A question to other daemons.
#[derive(Debug)]
pub(super) struct Query {
    waiting: Vec<Waiting>,
    /// Number of daemons that have not replied, and the store's row if it was not read.
    unanswered: usize,
    until: Instant,
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
        let is_answerable = unanswered > 0 || self.may_be_stored(now);
        if !is_answerable || self.queries.len() >= MAX_QUERIES {
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

    /// Returns which service and software version a request needs, and how that is known; a
    /// refusal if it takes up a stream and that is not known.
    pub(super) fn bind<'a>(
        &self,
        found: Match<'a>,
        attributes: &Attributes,
        now: Instant,
    ) -> Result<Bound<'a>, Refusal> {
        if !takes_up(&found, attributes) {
            return Ok(Bound { found, requirement: Requirement::Any, known_from: "" });
        }
        let known = self.origin(&found, attributes, now);
        let began_at = known.and_then(|it| found.with_service(&it.origin.service));
        let bound = match (known, began_at) {
            (Some(entry), Some(found)) => {
                let source = match &entry.source {
                    Source::Own => "own",
                    Source::Peer(_) => "peer",
                };
                let software = entry.origin.software.clone();
                software.filter(|_| !self.awaits_entry(entry)).map(|it| (found, it, source))
            }
            (Some(_), None) => None,
            (None, _) => {
                let sole = self.sole_version(&found, now);
                sole.map(|it| (found, it.to_owned(), "sole_version"))
            }
        };
        if let Some((found, software, known_from)) = bound {
            metrics::count("origin", known_from);
            let requirement = Requirement::Exactly(software);
            return Ok(Bound { found, requirement, known_from });
        }
        let from = match known.map(|it| &it.source) {
            Some(Source::Peer(daemon)) => daemon,
            Some(Source::Own) => self.context.instance_id.as_str(),
            None => "",
        };
        spdlog::info!("software version of the stream not known", kv: {
            request = attributes.id.as_str(),
            resumes = attributes.resumes.as_deref().unwrap_or(""),
            service = known.map_or("", |it| it.origin.service.as_str()),
            is_routed = began_at.is_some(),
            in_doubt = known.is_some_and(|it| it.origin.software.is_none()),
            awaits_entry = known.is_some_and(|it| self.awaits_entry(it)),
            is_list_fresh = self.freshness.is_fresh(
                self.pool.roster_version,
                self.read_age(now),
                clock::since_boot(),
            ),
            from = from,
            streams = self.origins.count(),
        });
        let delay = Some(NO_SOFTWARE_DELAY);
        Err(refuse(&attributes.id, Cause::UnknownOrigin, 503, delay))
    }

    /// Returns the match with the service that began the stream that a request takes up, if
    /// that is known. The weights of the route may have changed since.
    pub(super) fn at_origin<'a>(
        &self,
        found: Match<'a>,
        attributes: &Attributes,
        now: Instant,
    ) -> Match<'a> {
        let known = self.origin(&found, attributes, now);
        known.and_then(|it| found.with_service(&it.origin.service)).unwrap_or(found)
    }

    fn origin(&self, found: &Match<'_>, attributes: &Attributes, now: Instant) -> Option<&Entry> {
        let key = takes_up(found, attributes).then(|| stream_key(found, attributes))?;
        self.origins.get(key?, now)
    }

    /// Records at which software version a stream has begun, so that it goes on only there.
    pub(super) fn bind_to_software(&mut self, ticket: u64, now: Instant) {
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        if !pending.is_stream {
            return;
        }
        if pending.requirement == Requirement::Any {
            pending.requirement = match pending.is_unread() {
                true => Requirement::Unknown,
                false => Requirement::Exactly(pending.software.clone()),
            };
        }
        if pending.confirmed.is_none() {
            pending.unconfirmed_origin = Some((pending.instance, now));
        }
        let Some(key) = pending.stream else { return };
        let origin = Origin {
            service: pending.service.clone(),
            software: Some(pending.software.clone()),
            instance: pending.confirmed.unwrap_or(pending.instance),
        };
        let lifetime = pending.limit + TAKE_UP_TIME;
        self.origins.record(key, origin, lifetime, now);
    }

    /// Casts doubt on the version of streams at the former instance of an endpoint, if it
    /// had restarted with another one before its entry said so.
    pub(super) fn doubt_software(&mut self, id: &str, now: Instant) {
        let Some(member) = self.pool.member_mut(id) else { return };
        let Some((instance, software)) = member.replaced.take() else { return };
        if software == member.endpoint.software {
            return;
        }
        let started_at_ms = i64::try_from(member.endpoint.started_at_ms).unwrap_or(i64::MAX);
        let age_ms = self.clock.now_ms(clock::since_boot()).saturating_sub(started_at_ms).max(0);
        let replaced_at =
            now.checked_sub(Duration::from_millis(age_ms as u64)).unwrap_or(self.started_at);
        let doubted = self.origins.doubt(instance, replaced_at);
        let is_affected = |it: &&mut Pending| {
            it.is_stream
                && it.instance == instance
                && it.confirmed.is_none()
                && it.sent_at + origin::MAX_CLOCK_SKEW >= replaced_at
        };
        for pending in self.requests.values_mut().filter(is_affected) {
            pending.requirement = Requirement::Unknown;
        }
        spdlog::info!("endpoint restarted with another software version", kv: {
            endpoint = id,
            before = software,
            age_ms = age_ms,
            streams_in_doubt = doubted,
        });
    }

    /// Returns the streams to be sent to other daemons, by address.
    pub(super) fn unsent_streams(
        &mut self,
        now: Instant,
    ) -> HashMap<SocketAddr, Vec<origin::Notice>> {
        let mut by_address: HashMap<SocketAddr, Vec<origin::Notice>> = HashMap::new();
        if self.peers.live(now).next().is_none() {
            return by_address;
        }
        for notice in self.origins.take_unsent(MAX_STREAMS_PER_MESSAGE, now) {
            for address in self.peers.remembering(notice.key, REMEMBERING, now) {
                by_address.entry(address).or_default().push(notice.clone());
            }
        }
        by_address
    }

    pub(super) fn send_streams(
        &mut self,
        to: SocketAddr,
        streams: Vec<origin::Notice>,
        now: Instant,
    ) {
        let daemon = self.context.instance_id.clone();
        let message = Message::Origins { daemon, streams, history: None };
        self.context.streams.send(to, &message, now);
    }

    /// Hands streams and software versions over to a daemon that was not heard before.
    pub(super) fn hand_over(&mut self, id: &str, to: SocketAddr, now: Instant) {
        let rank = |daemon: &str| xxh3_64(format!("{id} {daemon}").as_bytes());
        let own = rank(&self.context.instance_id);
        let others = self.peers.live(now).filter(|(it, _)| *it != id);
        let (mut count, mut preceding) = (0, 0);
        for (other, _) in others {
            count += 1;
            preceding += usize::from(rank(other) < own);
        }
        if preceding >= SPONSORS {
            return;
        }
        let is_small = count < membership::digest::FANOUT;
        let streams = self.origins.latest(if is_small { MAX_HANDED_OVER } else { 0 }, now);
        let (daemon, history) = (self.context.instance_id.clone(), Some(self.history.notice(now)));
        let message = Message::Origins { daemon, streams, history };
        self.context.streams.send(to, &message, now);
    }

    pub(super) fn merge_streams(&mut self, daemon: &str, streams: &[origin::Notice], now: Instant) {
        if streams.is_empty() {
            return;
        }
        let daemon: Rc<str> = Rc::from(daemon);
        for notice in streams {
            self.origins.merge_remote(notice, &daemon, now);
        }
    }

    pub(super) fn merge_history(&mut self, notice: &software::Notice, now: Instant) {
        self.history.merge_remote(notice, now);
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

    /// Ends the queries that have taken too long, and forgets old streams.
    pub(super) fn sweep_origins(&mut self, now: Instant) {
        let overdue = self.queries.iter().filter(|(_, it)| now >= it.until);
        let overdue: Vec<Key> = overdue.map(|(key, _)| *key).collect();
        for key in overdue {
            metrics::count("origin", "timed_out");
            self.end_query(key, now);
        }
        if now >= self.origins_swept_at + TAKE_UP_TIME / 10 {
            self.origins_swept_at = now;
            self.origins.remove_expired(now);
            self.history.remove_expired(self.stream_window(), now);
            metrics::set_state("streams_remembered", self.origins.count() as i64);
        }
    }

    /// Records which routes get other back ends, so that streams of the former ones can't be
    /// told from those of the new ones.
    pub(super) fn note_rerouted(&mut self, routes: &[Route], now: Instant) {
        let before = &self.table.config.routes;
        let is_moved = |it: &&Route| {
            before.iter().any(|other| other.name == it.name && other.backends != it.backends)
        };
        let moved = routes.iter().filter(is_moved).map(|it| (it.name.clone(), now));
        self.rerouted.extend(moved);
        self.rerouted.retain(|name, _| routes.iter().any(|it| it.name == *name));
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

    /// Decides on an arrival, after the entry was read that describes the process that began its
    /// stream.
    fn decide_read(&mut self, arrival: Arrival, reply: oneshot::Sender<Decision>, now: Instant) {
        let Some(key) = self.unread_stream(&arrival, now) else {
            return self.decide_informed(arrival, reply, now);
        };
        if let Some(waiting) = self.await_entry(key, Waiting { arrival, reply, since: now }) {
            self.resume_arrival(waiting, now);
        }
    }

    /// Returns the stream that a request takes up if the entry of the process that began it was
    /// not read yet.
    fn unread_stream(&self, arrival: &Arrival, now: Instant) -> Option<Key> {
        let key = self.taken_up_stream(arrival)?;
        self.origins.get(key, now).is_some_and(|it| self.awaits_entry(it)).then_some(key)
    }

    /// Returns the stream that a request takes up, if it names it.
    fn taken_up_stream(&self, arrival: &Arrival) -> Option<Key> {
        let attributes = &arrival.attributes;
        attributes.resumes.as_ref()?;
        let key = attributes.key.as_deref();
        let found =
            self.table.find(&arrival.host, &arrival.path, key, attributes.stream_id()).ok()?;
        takes_up(&found, attributes).then(|| stream_key(&found, attributes))?
    }

    /// Returns the stream that a request takes up if other daemons have to be asked of it.
    fn unknown_stream(&self, arrival: &Arrival, now: Instant) -> Option<Key> {
        let attributes = &arrival.attributes;
        attributes.resumes.as_ref()?;
        let key = attributes.key.as_deref();
        let found =
            self.table.find(&arrival.host, &arrival.path, key, attributes.stream_id()).ok()?;
        if !takes_up(&found, attributes) {
            return None;
        }
        let stream = stream_key(&found, attributes)?;
        self.origins.get(stream, now).is_none().then_some(stream)
    }

    /// Returns the only software version that can have begun a stream of the route. `None` as
    /// well if this daemon may not know of endpoints that others use.
    fn sole_version(&self, found: &Match<'_>, now: Instant) -> Option<&str> {
        let version = self.pool.roster_version;
        if !self.freshness.is_fresh(version, self.read_age(now), clock::since_boot()) {
            return None;
        }
        let window = self.stream_window();
        // A stream that nobody knows may have begun at a process of another version whose entry
        // was not read yet.
        let of_service = self.pool.members().filter(|it| it.endpoint.service == found.service);
        let may_be_unread = of_service.into_iter().any(|it| it.may_be_replaced(now));
        if may_be_unread || self.origins.has_unread(found.service) {
            return None;
        }
        let moved_at = self.rerouted.get(&found.route.name);
        if moved_at.is_some_and(|it| now < *it + window) {
            return None;
        }
        self.history.sole(found.service, window, now)
    }

    /// Returns how long ago a stream may have begun that a caller takes up now.
    pub(super) fn stream_window(&self) -> Duration {
        let streams = self.table.config.routes.iter().filter(|it| it.kind == Kind::Stream);
        let longest_ms = streams.map(|it| it.timeout_ms).max().unwrap_or(0);
        Duration::from_millis(longest_ms) + TAKE_UP_TIME
    }
}

/// Returns the key of the stream that a request begins or takes up; `None` if the request
/// doesn't say which.
pub(super) fn stream_key(found: &Match<'_>, attributes: &Attributes) -> Option<Key> {
    if attributes.last_event.is_some() && attributes.resumes.is_none() {
        return None;
    }
    let workspace = found.workspace.map(|it| it.name.as_str());
    let id = Some(attributes.stream_id()).filter(|it| !it.is_empty())?;
    Some(Key::of(workspace, &found.route.name, id))
}

/// Whether a request takes up a stream that has begun.
fn takes_up(found: &Match<'_>, attributes: &Attributes) -> bool {
    let names_stream = attributes.resumes.is_some() || attributes.last_event.is_some();
    found.route.kind == Kind::Stream && names_stream
}
