//! An endpoint and its state as seen by one daemon.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::endpoint::Instance;
use crate::health::Health;
use crate::load::Load;
use crate::model::Speed;

/// How long a prompt part is assumed to stay in an engine's cache.
const CACHE_LIFETIME: Duration = Duration::from_secs(30);
/// Time after a broken connection within which the entry of an endpoint that has ended is
/// removed or replaced: three heartbeats and a margin.
const REPLACEMENT_TIME: Duration = Duration::from_secs(4);
/// Maximum number of cached parts remembered per endpoint.
const MAX_CACHED_PARTS: usize = 1_024;

/// An endpoint and its state as seen by this daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Latest description.
    pub endpoint: Endpoint,
    /// The instance that it describes.
    pub instance: Instance,
    /// The instance whose description this one has replaced, and its software version.
    pub replaced: Option<(Instance, String)>,
    /// Whether the list contains its entry.
    pub listed: bool,
    /// Whether the endpoint is known to be leaving, from its description or from
    /// another daemon. Invariant: never reset within an instance of the endpoint.
    pub leaving: bool,
    /// Whether an endpoint of another identity has been described later at the same address,
    /// so that this one has ended although its entry remains.
    pub is_superseded: bool,
    /// End of the time in which the endpoint is used without an entry.
    pub expires_at: Option<Instant>,
    /// End of the time in which the endpoint wants nothing from this daemon.
    pub declines_until: Option<Instant>,
    /// Outstanding work that this daemon has sent.
    pub own_load: Load,
    /// Health, derived from request outcomes.
    pub health: Health,
    /// Learned engine speed.
    pub speed: Speed,
    /// When this daemon last received a response from this instance.
    pub responded_at: Option<Instant>,
    /// When a connection of this daemon to this instance last broke or could not be opened.
    pub broke_at: Option<Instant>,
    /// Prompt parts that were sent, as far as this daemon knows, with the time of the last
    /// send.
    cached: HashMap<u64, Instant>,
    /// Outstanding work of the other daemons as the accounting daemon stated it last.
    pub(crate) view: Option<View>,
}

/// Outstanding work of the other daemons at an endpoint, as stated at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    pub load: Load,
    pub at: Instant,
}

impl Member {
    pub(crate) fn new(endpoint: Endpoint) -> Member {
        let leaving = endpoint.leaving;
        Member {
            instance: endpoint.instance(),
            replaced: None,
            endpoint,
            listed: true,
            leaving,
            is_superseded: false,
            expires_at: None,
            declines_until: None,
            own_load: Load::default(),
            health: Health::default(),
            speed: Speed::default(),
            responded_at: None,
            broke_at: None,
            cached: HashMap::new(),
            view: None,
        }
    }

    /// Returns the state of a later instance, which has the requests that are outstanding.
    pub(crate) fn replace(&self, endpoint: Endpoint) -> Member {
        let replaced = Some((self.instance, self.endpoint.software.clone()));
        Member { own_load: self.own_load, replaced, ..Member::new(endpoint) }
    }

    /// Whether the entry of the process was not read yet, so that its software version is not
    /// known.
    pub fn is_unread(&self) -> bool {
        self.endpoint.software.is_empty()
    }

    /// Whether the endpoint may receive new requests.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.leaving
            && !self.is_superseded
            && (self.listed || self.expires_at.is_some_and(|it| now < it))
    }

    /// Returns how long the endpoint still wants nothing from this daemon, if it said so.
    pub fn declines_for(&self, now: Instant) -> Option<Duration> {
        self.declines_until.map(|it| it.saturating_duration_since(now)).filter(|it| !it.is_zero())
    }

    /// Whether the process may have been replaced by one that its entry doesn't describe yet.
    pub fn may_be_replaced(&self, now: Instant) -> bool {
        self.broke_at.is_some_and(|it| now < it + REPLACEMENT_TIME)
    }

    /// Whether the prompt part was recently sent to the endpoint.
    pub fn has_cached(&self, part: u64, now: Instant) -> bool {
        self.cached_age(part, now).is_some()
    }

    /// Returns the time since the prompt part was last sent to the endpoint, if that is recent.
    pub fn cached_age(&self, part: u64, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(*self.cached.get(&part)?);
        (age < CACHE_LIFETIME).then_some(age)
    }

    /// Records that a prompt part was sent to the endpoint.
    pub fn record_cached(&mut self, part: u64, at: Instant) {
        if self.cached.len() >= MAX_CACHED_PARTS {
            self.cached.retain(|_, it| at.saturating_duration_since(*it) < CACHE_LIFETIME);
        }
        let latest = self.cached.entry(part).or_insert(at);
        *latest = at.max(*latest);
    }

    /// Sets the outstanding work of the other daemons as its accounting daemon states it.
    pub fn set_view(&mut self, load: Load, now: Instant) {
        self.view = Some(View { load, at: now });
    }
}
