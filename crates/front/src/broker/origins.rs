//! Software versions of streams that callers take up again, of which other daemons may know.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::origin;
use balance::origin::Entry;
use balance::origin::Key;
use balance::origin::Origin;
use balance::origin::Source;
use balance::runs::Successor;
use balance::software;
use balance::software::Requirement;
use membership::digest::Message;
use relay::admission::Refusal;
use route::config::Kind;
use route::config::Route;
use route::request::Attributes;
use route::table::Match;
use xxhash_rust::xxh3::xxh3_64;

use super::Broker;
use super::pending::Pending;
use super::pending::Unconfirmed;
use super::refusal::Cause;
use super::refusal::refuse;
use crate::clock;
use crate::metrics;

/// Retry delay for callers whose stream has no endpoint of its software version; endpoints
/// that crashed are back after some seconds.
pub(super) const NO_SOFTWARE_DELAY: Duration = Duration::from_secs(1);
/// Time after a stream broke off in which its caller may take it up again.
const TAKE_UP_TIME: Duration = Duration::from_secs(10);
/// Time after a stream began within which the daemon at which it did settles where that was.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Number of daemons that remember a stream in a large fleet.
const REMEMBERING: usize = 3;
/// Number of daemons that hand their knowledge over to a new one.
const SPONSORS: usize = 2;
/// Maximum number of streams that each of them hands over.
const MAX_HANDED_OVER: usize = 4_096;
/// Maximum number of streams in a message.
const MAX_STREAMS_PER_MESSAGE: usize = 512;

/// A request with the service and software version that it needs.
#[derive(Debug)]
pub(super) struct Bound<'a> {
    pub(super) found: Match<'a>,
    pub(super) requirement: Requirement,
    /// How the version is known, for logs.
    pub(super) known_from: &'static str,
}

impl Broker {
    /// Returns which service and software version a request needs, and how that is known; a
    /// refusal if it takes up a stream and that is not known.
    pub(super) fn bind<'a>(
        &self,
        found: Match<'a>,
        attributes: &Attributes,
        arrived_at: Instant,
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
                // Otherwise it may have begun at a process whose entry nobody has read.
                let sole = sole.filter(|_| self.is_registered(arrived_at));
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
        if !pending.is_identified() {
            pending.unconfirmed_origin = Some(Unconfirmed {
                instance: pending.instance,
                began_at: now,
                heard_since: pending.heard_since.unwrap_or(now),
            });
        }
        let Some(key) = pending.stream else { return };
        let origin = Origin {
            service: pending.service.clone(),
            software: Some(pending.software.clone()),
            instance: pending.confirmed.unwrap_or(pending.instance),
        };
        let (is_settled, lifetime) = (pending.is_identified(), pending.limit + TAKE_UP_TIME);
        if !is_settled {
            self.runs.begin(key, pending.instance, pending.address, lifetime, now);
        }
        self.origins.record(key, origin, is_settled, lifetime, now);
    }

    /// Casts doubt on the version of streams at the former instance of an endpoint, if it
    /// had restarted with another one before its entry said so.
    pub(super) fn doubt_software(&mut self, id: &str, now: Instant) {
        let Some(member) = self.pool.member_mut(id) else { return };
        let Some((instance, software)) = member.replaced.take() else { return };
        let is_told_apart = instance != member.instance;
        let started_at_ms = i64::try_from(member.endpoint.started_at_ms).unwrap_or(i64::MAX);
        let age_ms = self.clock.now_ms(clock::since_boot()).saturating_sub(started_at_ms).max(0);
        let replaced_at =
            now.checked_sub(Duration::from_millis(age_ms as u64)).unwrap_or(self.started_at);
        if is_told_apart && started_at_ms > 0 {
            let successor = Successor {
                described: member.instance,
                confirmed: member.endpoint.confirmed(),
                software: member.endpoint.software.clone(),
                address: member.endpoint.address,
                started_at: replaced_at,
                read_at: now,
            };
            self.runs.record_successor(instance, successor);
        }
        if software == member.endpoint.software {
            return self.origins.record_replacement(instance);
        }
        let doubted = match is_told_apart {
            true => self.origins.doubt(instance, replaced_at),
            false => self.origins.doubt_all(instance),
        };
        // One that begins later is recorded at the former instance, and is in doubt from then on.
        let is_affected = |it: &&mut Pending| {
            it.is_stream
                && it.has_started
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
        let described = self.described_instances();
        for notice in streams {
            let is_settled = self.is_settled_elsewhere(notice, &described);
            self.origins.merge_remote(notice, &daemon, is_settled, now);
        }
    }

    /// Whether another daemon that tells of a stream knows at which instance it began.
    fn is_settled_elsewhere(&self, notice: &origin::Notice, described: &HashSet<Instance>) -> bool {
        let Origin { instance, software, .. } = &notice.origin;
        if notice.origin.is_unread() || software.is_none() || self.origins.is_described(*instance) {
            return true;
        }
        // Only instances that have not stated their start have the identity of an entry, which
        // may be missing here.
        let age = Duration::from_millis(notice.age_ms);
        !described.contains(instance) && age >= SETTLING_TIME
    }

    /// Returns the instances that the entries of endpoints describe.
    fn described_instances(&self) -> HashSet<Instance> {
        self.pool.members().map(|it| it.instance).collect()
    }

    /// Settles where streams began once the entry of any process has been read that was running
    /// by then.
    pub(super) fn settle_origins(&mut self, now: Instant) {
        self.identify_by_progress(now);
        let due = self.origins.unsettled().filter(|(_, it)| self.is_registered(it.began_at()));
        let mut due = due.peekable();
        if due.peek().is_none() {
            return;
        }
        // An endpoint that states no start may have another version under the same identity.
        let members = self.pool.members();
        let described: HashMap<Instance, &str> =
            members.map(|it| (it.instance, it.endpoint.software.as_str())).collect();
        let is_known = |it: &Origin| {
            let software = described.get(&it.instance).copied();
            software.is_some_and(|known| it.software.as_deref() == Some(known))
                || self.origins.is_replaced(it.instance)
                || self.origins.is_described(it.instance)
        };
        let due: Vec<(Key, bool)> = due.map(|(key, it)| (key, is_known(&it.origin))).collect();
        let live: HashSet<&str> = self.peers.live(now).map(|(id, _)| id.as_str()).collect();
        let mut abandoned = 0;
        for (key, is_known) in due {
            if is_known {
                self.runs.settle(key);
                self.origins.settle(key);
            } else {
                self.origins.abandon(key, |daemon| live.contains(daemon));
                abandoned += 1;
            }
        }
        if abandoned > 0 {
            metrics::count_many("origin", "removed_instance", abandoned);
            spdlog::info!("streams whose endpoints' entries were removed before they were settled",
                kv: { streams = abandoned });
        }
    }

    pub(super) fn merge_history(&mut self, notice: &software::Notice, now: Instant) {
        self.history.merge_remote(notice, now);
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
            self.runs.remove_expired(now);
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

    /// Returns the only software version that can have begun a stream of the route. `None` as
    /// well if this daemon may not know of endpoints that others use.
    pub(super) fn sole_version(&self, found: &Match<'_>, now: Instant) -> Option<&str> {
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
pub(super) fn takes_up(found: &Match<'_>, attributes: &Attributes) -> bool {
    let names_stream = attributes.resumes.is_some() || attributes.last_event.is_some();
    found.route.kind == Kind::Stream && names_stream
}
