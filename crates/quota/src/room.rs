//! Room at the endpoints of brittle services, which fall over if they have to reject more than
//! a few requests within a second.
//!
//! Answers bursts at many daemons that know each other's open requests only with a delay: the
//! slot that becomes free would get a request of each of them. So no more daemons send to an
//! endpoint than it survives rejections per second, chosen like the senders of
//! [request limits](crate::endpoint). Each has at most its share of the slots in use, begins
//! with one, takes one more for each request that begins, and pauses after a rejection.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::endpoint;

/// Time after the latest statement of a service's endpoints for which it counts as brittle.
const RETENTION: Duration = Duration::from_secs(5);
/// Time in which a rejection arrives, after which a sender may send the next request.
const RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Time after a rejection in which a sender sends nothing more, if the endpoint survives as many
/// rejections per second as it has senders.
const PAUSE: Duration = Duration::from_millis(1_200);

/// What daemons tell each other about a brittle service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Service name.
    pub service: String,
    /// Number of rejections within a second that each endpoint survives.
    pub survived: u32,
    /// Time since an endpoint said so, in milliseconds.
    pub age_ms: u64,
}

/// An endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Endpoint identity.
    pub id: &'a str,
    /// Service name.
    pub service: &'a str,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Brittle {
    survived: u32,
    stated_at: Instant,
}

/// What this daemon may send to an endpoint of a brittle service.
#[derive(Clone, Copy, Debug)]
struct Room {
    slots: u32,
    /// Number of daemons that may send, if this daemon is one of them.
    senders: Option<u32>,
    /// Number of open requests that this daemon may have.
    window: u32,
    /// End of the time in which this daemon sends nothing.
    closed_until: Option<Instant>,
}

impl Room {
    fn share(&self, senders: u32) -> u32 {
        (self.slots / senders).max(1)
    }
}

/// The brittle services and their endpoints, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Rooms {
    services: BTreeMap<String, Brittle>,
    endpoints: BTreeMap<String, Room>,
}

impl Rooms {
    /// Records that a response at `at` said how many rejections an endpoint of the service
    /// survives. Returns whether that is new.
    pub fn state(&mut self, service: &str, survived: u32, at: Instant) -> bool {
        let known = self.services.get(service).copied();
        if known.is_some_and(|it| it.stated_at >= at) {
            return false;
        }
        self.services.insert(service.to_owned(), Brittle { survived, stated_at: at });
        known.is_none_or(|it| it.survived != survived || at >= it.stated_at + RETENTION)
    }

    /// Merges what another daemon knows. Returns whether it is new.
    pub fn merge_remote(&mut self, notice: &Notice, now: Instant) -> bool {
        let at = now.checked_sub(Duration::from_millis(notice.age_ms));
        let Some(at) = at.filter(|it| now < *it + RETENTION) else { return false };
        self.state(&notice.service, notice.survived, at)
    }

    /// Returns what to tell other daemons.
    pub fn notices(&self, now: Instant) -> Vec<Notice> {
        let age = |it: &Brittle| now.saturating_duration_since(it.stated_at);
        let brittle = self.services.iter().filter(|(_, it)| age(it) < RETENTION);
        let notice = |(service, it): (&String, &Brittle)| Notice {
            service: service.clone(),
            survived: it.survived,
            age_ms: age(it).as_millis() as u64,
        };
        brittle.map(notice).collect()
    }

    /// Whether any service is brittle.
    pub fn is_any_brittle(&self, now: Instant) -> bool {
        self.services.values().any(|it| now < it.stated_at + RETENTION)
    }

    /// Returns the number of rejections within a second that the service's endpoints survive,
    /// if it is brittle.
    pub fn survived(&self, service: &str, now: Instant) -> Option<u32> {
        let brittle = self.services.get(service)?;
        (now < brittle.stated_at + RETENTION).then_some(brittle.survived)
    }

    /// Forgets services that are no longer brittle. Chooses the senders of the endpoints of the
    /// others, as [`endpoint::Limits::choose_senders`] does.
    pub fn choose_senders<'a>(
        &mut self,
        own: Option<&str>,
        others: &[&str],
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        rank: impl Fn(&str, &str) -> u64,
        now: Instant,
    ) {
        self.services.retain(|_, it| now < it.stated_at + RETENTION);
        let before = std::mem::take(&mut self.endpoints);
        if self.services.is_empty() {
            return;
        }
        for Endpoint { id, service, slots } in endpoints {
            let Some(brittle) = self.services.get(service) else { continue };
            let count = sender_count(brittle.survived, others.len() + 1);
            let is_sender = |own: &&str| endpoint::preceding(own, others, id, &rank) < count;
            let senders = own.filter(is_sender).map(|_| count as u32);
            let slots = slots.max(1);
            let new = Room { slots, senders, window: 1, closed_until: None };
            let known = before.get(id).map(|it| Room { slots, senders, ..*it });
            self.endpoints.insert(id.to_owned(), known.unwrap_or(new));
        }
    }

    /// Returns those of the other daemons that may send to an endpoint of a brittle service.
    pub fn senders<'a>(
        &self,
        others: &[&'a str],
        endpoint: Endpoint<'_>,
        rank: impl Fn(&str, &str) -> u64,
        now: Instant,
    ) -> Vec<&'a str> {
        let Some(survived) = self.survived(endpoint.service, now) else { return Vec::new() };
        let mut ranked: Vec<&str> = others.to_vec();
        ranked.sort_by_cached_key(|it| rank(it, endpoint.id));
        ranked.truncate(sender_count(survived, others.len() + 1));
        ranked
    }

    /// Whether this daemon may send a request to the endpoint, at which it has `own` open
    /// requests and all daemons `total`, as far as known.
    pub fn is_open(&self, endpoint: Endpoint<'_>, own: u32, total: u32, now: Instant) -> bool {
        if self.survived(endpoint.service, now).is_none() {
            return true;
        }
        // The senders of an endpoint that has just joined were not chosen yet.
        let Some(room) = self.endpoints.get(endpoint.id) else { return false };
        let Some(senders) = room.senders else { return false };
        let is_closed = room.closed_until.is_some_and(|it| now < it);
        !is_closed && total < room.slots && own < room.window.min(room.share(senders))
    }

    /// Returns the time until this daemon may send to the endpoint again, for all that is known
    /// here; `None` if other daemons do, or if its service isn't brittle.
    pub fn wait(&self, endpoint: &str, now: Instant) -> Option<Duration> {
        let room = self.endpoints.get(endpoint)?;
        room.senders?;
        Some(room.closed_until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now)))
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(room) = self.endpoints.get_mut(endpoint) {
            room.closed_until = room.closed_until.max(Some(now + RESPONSE_TIME));
        }
    }

    /// Records that the endpoint has begun to respond to a request.
    pub fn record_start(&mut self, endpoint: &str) {
        if let Some(room) = self.endpoints.get_mut(endpoint) {
            room.window = room.window.saturating_add(1).min(room.slots.max(1));
        }
    }

    /// Records that the endpoint has rejected a request while this daemon had `own` others open
    /// there. Returns the time for which this daemon sends nothing more to it.
    pub fn record_rejection(
        &mut self,
        endpoint: Endpoint<'_>,
        own: u32,
        now: Instant,
    ) -> Option<Duration> {
        let survived = self.survived(endpoint.service, now)?;
        let room = self.endpoints.get_mut(endpoint.id)?;
        let senders = room.senders.unwrap_or(1);
        let pause = PAUSE.mul_f64(f64::from(senders) / f64::from(survived.max(1)));
        room.window = own.max(1);
        room.closed_until = room.closed_until.max(Some(now + pause));
        Some(pause)
    }
}

/// Returns the number of daemons that send to an endpoint.
fn sender_count(survived: u32, daemons: usize) -> usize {
    (survived as usize).clamp(1, daemons)
}
