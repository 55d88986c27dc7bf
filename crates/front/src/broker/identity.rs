//! Which process of an endpoint runs a request: the one that its entry describes, or a later
//! one under the same id whose entry was not read yet.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::member::Member;
use balance::origin::Key;
use balance::origin::Origin;
use balance::runs::Successor;
use balance::software::Requirement;
use relay::admission::Confirmation;
use relay::admission::Outcome;
use relay::identity::Identity;

use super::Broker;
use super::pending::Pending;
use super::pending::Unconfirmed;
use crate::clock;
use crate::metrics;

/// Time after the start of a process within which its entry is in the store and in the lists of
/// all daemons.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// How long a request waits in all until the processes of endpoints that state no start are known.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Maximum time by which the clock of an endpoint is ahead of this daemon's.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Until when this daemon knows all endpoints that there were.
#[derive(Debug, Default)]
pub(super) struct Listing {
    complete_until: Option<Instant>,
    /// When the list could be relied on again after an outage, or this daemon started, as that may
    /// have been after an outage.
    resumed_at: Option<Instant>,
    /// Era of the store.
    era: Option<u64>,
}

impl Listing {
    /// Creates the state of a daemon that starts.
    pub(super) fn new(is_first_start: bool, now: Instant) -> Listing {
        Listing { resumed_at: (!is_first_start).then_some(now), ..Listing::default() }
    }
}

impl Broker {
    /// Whether a request may be sent on a connection to this process of its endpoint.
    pub(super) fn confirm(
        &mut self,
        ticket: u64,
        identity: Option<Identity>,
        is_fresh: bool,
        now: Instant,
    ) -> Confirmation {
        let Some(pending) = self.requests.get_mut(&ticket) else { return Confirmation::Unsound };
        pending.is_fresh |= is_fresh;
        let confirmation = self.confirm_endpoint(ticket, now);
        if confirmation != Confirmation::Sound {
            return confirmation;
        }
        let Some(Identity { started_at_ms, heard_since, .. }) = identity else {
            return Confirmation::Sound;
        };
        let heard_since = heard_since.map(Instant::from);
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.heard_since = heard_since;
        }
        match started_at_ms.filter(|_| self.is_start_described(ticket)) {
            Some(started_at_ms) => self.confirm_stated(ticket, started_at_ms, now),
            None => self.confirm_heard(ticket, heard_since, now),
        }
    }

    /// Updates until when the list of endpoints is known to be complete. After an outage of the
    /// store, entries are written again within [`REGISTRATION_TIME`].
    pub(super) fn track_list(&mut self, now: Instant) {
        let (version, age) = (self.pool.roster_version, self.read_age(now));
        let era = self.context.eras.latest();
        let is_fresh = self.freshness.is_fresh(version, age, clock::since_boot());
        let listing = &mut self.listing;
        if !is_fresh || listing.era != era {
            listing.resumed_at = listing.complete_until.map(|_| now).or(listing.resumed_at);
            listing.era = era;
        }
        let has_settled = listing.resumed_at.is_none_or(|it| now >= it + REGISTRATION_TIME);
        // The age may be that of another daemon's read.
        let is_complete = is_fresh && has_settled && !self.freshness.knows_newer(version);
        if let Some(age) = age.filter(|_| is_complete) {
            listing.complete_until = listing.complete_until.max(now.checked_sub(age));
        }
    }

    /// Whether the entry of a process that had started by then has been read.
    pub(super) fn is_registered(&self, started_by: Instant) -> bool {
        self.listing.complete_until.is_some_and(|it| started_by + REGISTRATION_TIME <= it)
    }

    /// Records the software version of an endpoint's instance, for streams that began there
    /// before its entry was read.
    pub(super) fn learn_software(&mut self, id: &str) {
        let Some(member) = self.pool.member(id).filter(|it| !it.is_unread()) else { return };
        let (instance, software) = (member.endpoint.confirmed(), &member.endpoint.software);
        self.origins.learn(instance, software);
        self.runs.learn(instance, software);
        let is_unread = |it: &&mut Pending| it.confirmed == Some(instance) && it.is_unread();
        for pending in self.requests.values_mut().filter(is_unread) {
            pending.software.clone_from(software);
            if pending.is_stream && pending.has_started {
                pending.requirement = Requirement::Exactly(software.clone());
            }
        }
    }

    /// Returns which version a stream needs that began at a process that is not known to be the one
    /// of its endpoint's entry, after an attempt has ended with `outcome`.
    pub(super) fn settled_requirement(
        &mut self,
        ticket: u64,
        origin: Unconfirmed,
        outcome: Outcome,
        now: Instant,
    ) -> Requirement {
        let Some(pending) = self.requests.get_mut(&ticket) else { return Requirement::Unknown };
        let Unconfirmed { instance, began_at, heard_since } = origin;
        // A process that ends so soon may never write an entry.
        let is_short_lived = outcome == Outcome::Broken && now < heard_since + REGISTRATION_TIME;
        if is_short_lived {
            pending.requirement = Requirement::Unknown;
            metrics::count("origin", "short_lived");
            spdlog::info!("stream in doubt, as its process may have ended without an entry", kv: {
                request = pending.attributes.id.as_str(),
                endpoint = pending.endpoint.as_str(),
                heard_ms = now.saturating_duration_since(heard_since).as_millis() as u64,
            });
            if let Some(key) = pending.stream {
                self.origins.doubt_stream(key);
            }
            return Requirement::Unknown;
        }
        let (requirement, stream) = (pending.requirement.clone(), pending.stream);
        let known = stream.and_then(|it| self.origins.get(it, now));
        let is_settled = match known {
            Some(entry) => entry.is_settled && entry.origin.software.is_some(),
            None => {
                let is_described = |it: &Member| {
                    it.instance == instance && requirement.admits(&it.endpoint.software)
                };
                self.is_registered(began_at) && self.pool.members().any(is_described)
            }
        };
        if is_settled { requirement } else { Requirement::Unknown }
    }

    /// Records what has become known of the process that began a stream.
    pub(super) fn identify_origin(&mut self, ticket: u64, identity: Identity, now: Instant) {
        let Identity { started_at_ms, heard_since, running_at } = identity;
        // Where a stream goes on says nothing about where it began.
        let pending = self.requests.get(&ticket).filter(|it| it.is_where_it_began());
        if let (Some(key), Some(at)) = (pending.and_then(|it| it.stream), running_at) {
            self.runs.extend(key, at.into_std());
        }
        match (started_at_ms, heard_since) {
            (Some(started_at_ms), _) => self.identify_by_start(ticket, started_at_ms, now),
            (None, Some(since)) => self.identify_by_list(ticket, since.into_std()),
            (None, None) => {}
        }
    }

    fn identify_by_list(&mut self, ticket: u64, heard_since: Instant) {
        let is_registered = self.is_registered(heard_since);
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        let Some(origin) = &mut pending.unconfirmed_origin else { return };
        origin.heard_since = heard_since;
        let member = self.pool.member(&pending.endpoint);
        let is_described = member.is_some_and(|it| it.instance == origin.instance);
        if is_registered && is_described {
            pending.unconfirmed_origin = None;
            if let Some(key) = pending.stream {
                self.origins.settle(key);
                self.runs.settle(key);
            }
        }
    }

    /// Records which processes began streams that have gone on for long enough since their
    /// endpoints started again.
    pub(super) fn identify_by_progress(&mut self, now: Instant) {
        let complete_until = self.listing.complete_until;
        let identified = self.runs.take_identified(REGISTRATION_TIME, complete_until);
        for (key, successor) in identified {
            let Some(entry) = self.origins.get(key, now) else { continue };
            let service = entry.origin.service.clone();
            let Successor { confirmed, software, .. } = successor;
            self.origins.learn(confirmed, &software);
            let origin = Origin { service, software: Some(software), instance: confirmed };
            self.origins.identify(key, origin.clone(), now);
            self.continue_at(key, &origin);
        }
    }

    /// Lets a stream that has begun go on at the version that has become known.
    fn continue_at(&mut self, key: Key, origin: &Origin) {
        let Some(software) = &origin.software else { return };
        for pending in self.requests.values_mut().filter(|it| it.stream == Some(key)) {
            if !pending.is_where_it_began() {
                continue;
            }
            pending.unconfirmed_origin = None;
            pending.confirmed = Some(origin.instance);
            pending.requirement = Requirement::Exactly(software.clone());
            pending.software.clone_from(software);
            spdlog::info!("process of the stream identified", kv: {
                request = pending.attributes.id.as_str(),
                endpoint = pending.endpoint.as_str(),
                software = software.as_str(),
                identified_by = "progress",
            });
        }
    }

    fn identify_by_start(&mut self, ticket: u64, started_at_ms: u64, now: Instant) {
        let Some(pending) = self.requests.get_mut(&ticket) else { return };
        if !pending.has_started || pending.unconfirmed_origin.take().is_none() {
            return;
        }
        let instance = Instance::confirmed(&pending.endpoint, started_at_ms);
        let described = self.pool.member(&pending.endpoint).map(|it| &it.endpoint);
        let described = described.filter(|it| it.started_at_ms == started_at_ms);
        let software = described.map_or(String::new(), |it| it.software.clone());
        pending.confirmed = Some(instance);
        pending.requirement = match software.is_empty() {
            true => Requirement::Unknown,
            false => Requirement::Exactly(software.clone()),
        };
        pending.software.clone_from(&software);
        spdlog::info!("process of the stream identified", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            software = software.as_str(),
            started_at_ms = started_at_ms,
        });
        if let Some(key) = pending.stream {
            let service = pending.service.clone();
            let origin = Origin { service, software: Some(software), instance };
            self.runs.settle(key);
            self.origins.identify(key, origin, now);
        }
    }

    /// Whether a request may still be sent to the endpoint to which it was assigned.
    fn confirm_endpoint(&self, ticket: u64, now: Instant) -> Confirmation {
        let Some(pending) = self.requests.get(&ticket) else { return Confirmation::Unsound };
        if self.is_rejected(pending, now) {
            metrics::count("crash", "rejected_before_send");
            spdlog::info!("request rejected before it was sent",
                kv: { request = pending.attributes.id.as_str() });
            return Confirmation::Unsound;
        }
        let is_current = |it: &Member| {
            it.instance == pending.instance && it.endpoint.software == pending.software
        };
        let member = self.pool.member(&pending.endpoint);
        let confirmation = match member.filter(|it| it.is_usable(now)) {
            Some(member) if is_current(member) => return Confirmation::Sound,
            Some(_) => Confirmation::OtherProcess,
            None => Confirmation::Unsound,
        };
        metrics::count("endpoint", "left_before_send");
        spdlog::info!("endpoint left before the request was sent", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            waited_ms = now.saturating_duration_since(pending.sent_at).as_millis() as u64,
        });
        confirmation
    }

    /// Whether the entry of a request's endpoint states when the process started.
    fn is_start_described(&self, ticket: u64) -> bool {
        let pending = self.requests.get(&ticket);
        let member = pending.and_then(|it| self.pool.member(&it.endpoint));
        member.is_some_and(|it| it.endpoint.started_at_ms > 0)
    }

    /// Compares the start that the process has stated with its endpoint's entry.
    fn confirm_stated(&mut self, ticket: u64, started_at_ms: u64, now: Instant) -> Confirmation {
        let Some(pending) = self.requests.get_mut(&ticket) else { return Confirmation::Unsound };
        let Some(member) = self.pool.member(&pending.endpoint) else {
            return Confirmation::Unsound;
        };
        let described_ms = member.endpoint.started_at_ms;
        let is_bound = pending.requirement != Requirement::Any;
        if described_ms == started_at_ms {
            pending.confirmed = Some(member.endpoint.confirmed());
            pending.identified_by = "stated";
            return Confirmation::Sound;
        }
        metrics::count("identity", "not_described");
        spdlog::info!("the endpoint's process is not the one that its entry describes", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            started_at_ms = started_at_ms,
            described_ms = described_ms,
            requires = pending.requirement.name(),
            entry = member.endpoint.version,
        });
        let (id, address) = (pending.endpoint.clone(), pending.address);
        if !is_bound {
            pending.confirmed = Some(Instance::confirmed(&id, started_at_ms));
            pending.identified_by = "stated";
            pending.instance = Instance::described(&id, started_at_ms, address);
            pending.software.clear();
        }
        let now_ms = self.clock.now_ms(clock::since_boot());
        let latest_ms = now_ms.saturating_add(MAX_CLOCK_LEAD.as_millis() as i64);
        if i64::try_from(started_at_ms).is_ok_and(|it| it <= latest_ms) {
            let effect = self.pool.record_restart(&id, started_at_ms);
            self.handle_effects(vec![(id, effect)], "endpoint", now);
        }
        if is_bound { Confirmation::OtherProcess } else { Confirmation::Sound }
    }

    /// Concludes from a list that was complete some time after a process began to answer whether
    /// it is the one that its endpoint's entry describes. Nothing is concluded if it hasn't
    /// answered.
    fn confirm_heard(
        &mut self,
        ticket: u64,
        heard_since: Option<Instant>,
        now: Instant,
    ) -> Confirmation {
        let is_described = heard_since.is_some_and(|it| self.is_registered(it));
        let Some(pending) = self.requests.get_mut(&ticket) else { return Confirmation::Unsound };
        if is_described {
            pending.identified_by = "list";
            return Confirmation::Sound;
        }
        if pending.requirement == Requirement::Any {
            return Confirmation::Sound;
        }
        let until = *pending.confirm_until.get_or_insert(now + MAX_WAIT);
        if heard_since.is_some() && now < until {
            return Confirmation::Later;
        }
        metrics::count("identity", "not_known");
        spdlog::info!("the endpoint's process is not known to be the one that its entry describes",
        kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            heard_ms = heard_since
                .map_or(-1, |it| now.saturating_duration_since(it).as_millis() as i64),
            list_age_ms = self.listing.complete_until
                .map_or(-1, |it| now.saturating_duration_since(it).as_millis() as i64),
            requires = pending.requirement.name(),
        });
        Confirmation::OtherProcess
    }
}
