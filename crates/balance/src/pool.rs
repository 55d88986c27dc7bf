//! The endpoints that a daemon knows, with load and health.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Roster;
use crate::health::Health;
use crate::health::Outcome;
use crate::load::Load;
use crate::model::Speed;

/// Time for which an endpoint whose entry lapsed while the store was away is
/// still used after the store's return. Endpoints that live write themselves
/// again within two seconds of it.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which a part of a prompt is taken to be in an engine's cache.
const CACHED_FOR: Duration = Duration::from_secs(30);
/// Time for which removals are remembered; above that in which a daemon that
/// was cut off learns what it missed.
const GONE_KEPT: Duration = Duration::from_secs(60);
/// Most cached parts remembered for an endpoint.
const CACHED_PARTS: usize = 1_024;

/// An endpoint with what is known of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its newest description.
    pub endpoint: Endpoint,
    /// Whether its entry stands in the list.
    pub listed: bool,
    /// Whether it has said, or its missing entry says, that it is leaving.
    /// Invariant: does not turn false for a life of the endpoint.
    pub leaving: bool,
    /// Until when it is used without an entry.
    pub lapses_at: Option<Instant>,
    /// Work that this daemon has sent.
    pub own: Load,
    /// Health by outcomes.
    pub health: Health,
    /// Speeds.
    pub speed: Speed,
    /// Parts of prompts that this daemon has sent, by identity.
    cached: HashMap<u64, Instant>,
}

impl Member {
    fn new(endpoint: Endpoint) -> Member {
        let leaving = endpoint.leaving;
        Member {
            endpoint,
            listed: true,
            leaving,
            lapses_at: None,
            own: Load::default(),
            health: Health::default(),
            speed: Speed::default(),
            cached: HashMap::new(),
        }
    }

    /// Whether new requests may go to it.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && (self.listed || self.lapses_at.is_some_and(|it| now < it))
    }

    /// Whether the part was sent here lately.
    pub fn has_cached(&self, part: u64, now: Instant) -> bool {
        self.cached.get(&part).is_some_and(|at| now - *at < CACHED_FOR)
    }

    /// Notes a part that was sent here.
    pub fn note_cached(&mut self, part: u64, now: Instant) {
        if self.cached.len() >= CACHED_PARTS {
            self.cached.retain(|_, at| now - *at < CACHED_FOR);
        }
        self.cached.insert(part, now);
    }
}

/// What a change of the list did to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is new, or a new life of its identity.
    Joined,
    /// It takes no new requests any more.
    Left,
    /// Nothing that matters for requests.
    Unchanged,
}

/// The removal of a description.
#[derive(Clone, Copy, Debug)]
struct Gone {
    /// Version of the store at which it was gone.
    version: u64,
    at: Instant,
}

/// Work that another daemon has told of.
#[derive(Clone, Debug)]
struct Told {
    loads: HashMap<String, Load>,
    at: Instant,
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<String, Member>,
    /// Descriptions that were removed lately; lists of daemons that have not
    /// heard of it may still hold them.
    gone: HashMap<String, Gone>,
    /// Work that other daemons have sent, by daemon and endpoint.
    others: HashMap<String, Told>,
    /// Their sum by endpoint, so that a decision does not add up all daemons.
    others_sum: HashMap<String, Load>,
    /// Version of the store up to which the list is complete.
    pub version: u64,
    /// Version of the last change that matters for requests. Daemons compare
    /// it, since endpoints write heartbeats all the time.
    pub stamp: u64,
}

impl Pool {
    /// Applies changes of the list, complete up to `version`. `was_away` tells
    /// whether the store has just been out of reach, so that entries may have
    /// lapsed meanwhile.
    pub fn apply(
        &mut self,
        changes: Vec<Change>,
        version: u64,
        was_away: bool,
        now: Instant,
    ) -> Vec<(String, Effect)> {
        self.version = self.version.max(version);
        let mut effects = Vec::new();
        for change in changes {
            match change {
                Change::Is(endpoint) => {
                    let id = endpoint.id.clone();
                    effects.push((id, self.set(endpoint)));
                }
                Change::Gone { id, version } => {
                    let effect = self.remove(&id, version, was_away, now);
                    effects.push((id, effect));
                }
            }
        }
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        if !effects.is_empty() {
            self.stamp = self.stamp.max(version);
        }
        effects
    }

    /// Replaces the whole list.
    pub fn replace(
        &mut self,
        roster: Roster,
        was_away: bool,
        now: Instant,
    ) -> Vec<(String, Effect)> {
        if roster.version < self.stamp {
            return Vec::new();
        }
        self.version = self.version.max(roster.version);
        let listed = |id: &String| roster.endpoints.iter().any(|it| it.id == *id);
        let gone: Vec<String> = self.members.keys().filter(|it| !listed(it)).cloned().collect();
        let mut effects = Vec::new();
        for id in gone {
            let effect = self.remove(&id, roster.version, was_away, now);
            effects.push((id, effect));
        }
        for endpoint in roster.endpoints {
            let id = endpoint.id.clone();
            let effect = self.set(endpoint);
            effects.push((id, effect));
        }
        // Not a version of its own: whoever has the same list has the same stamp.
        self.stamp = self.stamp.max(roster.version);
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        effects
    }

    /// The list for another daemon, with entries that have just lapsed.
    pub fn roster(&self) -> Roster {
        let told = self.members.values().filter(|it| it.listed || it.lapses_at.is_some());
        let described = told.map(|it| Endpoint { leaving: it.leaving, ..it.endpoint.clone() });
        Roster { version: self.stamp, endpoints: described.collect() }
    }

    /// Hears that an endpoint's life is leaving.
    pub fn note_leaving(&mut self, id: &str, born_ms: u64) -> Effect {
        let Some(member) = self.members.get_mut(id) else { return Effect::Unchanged };
        if member.leaving || member.endpoint.born_ms != born_ms {
            return Effect::Unchanged;
        }
        member.leaving = true;
        Effect::Left
    }

    /// Sets what another daemon has sent.
    pub fn hear_loads(&mut self, daemon: &str, loads: HashMap<String, Load>, now: Instant) {
        self.forget_daemon(daemon);
        for (id, load) in &loads {
            let sum = self.others_sum.entry(id.clone()).or_default();
            *sum = sum.plus(*load);
        }
        self.others.insert(daemon.to_owned(), Told { loads, at: now });
    }

    /// Forgets a daemon that has ended.
    pub fn forget_daemon(&mut self, daemon: &str) {
        let Some(told) = self.others.remove(daemon) else { return };
        for (id, load) in told.loads {
            let Some(sum) = self.others_sum.get_mut(&id) else { continue };
            *sum = sum.minus(load);
            if *sum == Load::default() {
                self.others_sum.remove(&id);
            }
        }
    }

    /// Work at an endpoint, of all daemons.
    pub fn load(&self, id: &str) -> Load {
        let own = self.members.get(id).map_or(Load::default(), |it| it.own);
        own.plus(self.others_sum.get(id).copied().unwrap_or_default())
    }

    /// An endpoint.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// An endpoint, to change.
    pub fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// All endpoints in the order of their identities.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Notes an outcome of a request.
    pub fn note(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.note(outcome, now);
        }
    }

    /// Forgets endpoints that have left and to which nothing is open, and work
    /// of daemons that were not heard for `silence`; gives endpoints whose
    /// entries did not come back in time.
    pub fn sweep(&mut self, silence: Duration, now: Instant) -> Vec<(String, Effect)> {
        let is_old = |it: &Told| now >= it.at + silence;
        let silent: Vec<String> =
            self.others.iter().filter(|(_, it)| is_old(it)).map(|(name, _)| name.clone()).collect();
        for daemon in &silent {
            self.forget_daemon(daemon);
        }
        let mut lapsed = Vec::new();
        for member in self.members.values_mut() {
            if member.lapses_at.is_some_and(|it| now >= it) {
                member.lapses_at = None;
                let id = member.endpoint.id.clone();
                self.gone.insert(id.clone(), Gone { version: member.endpoint.version, at: now });
                lapsed.push((id, Effect::Left));
            }
        }
        self.members.retain(|_, it| it.listed || it.own.open > 0 || it.is_usable(now));
        self.gone.retain(|_, it| now < it.at + GONE_KEPT);
        if !lapsed.is_empty() {
            self.stamp = self.version.max(self.stamp + 1);
        }
        lapsed
    }

    fn set(&mut self, endpoint: Endpoint) -> Effect {
        // Invariant: a description that is older than its removal changes nothing.
        if self.gone.get(&endpoint.id).is_some_and(|it| endpoint.version <= it.version) {
            return Effect::Unchanged;
        }
        self.gone.remove(&endpoint.id);
        let Some(member) = self.members.get_mut(&endpoint.id) else {
            let effect = if endpoint.leaving { Effect::Left } else { Effect::Joined };
            self.members.insert(endpoint.id.clone(), Member::new(endpoint));
            return effect;
        };
        if endpoint.born_ms < member.endpoint.born_ms {
            return Effect::Unchanged;
        }
        let is_new_life = endpoint.born_ms > member.endpoint.born_ms
            || endpoint.address != member.endpoint.address
            || endpoint.service != member.endpoint.service;
        if is_new_life {
            let own = member.own;
            *member = Member::new(endpoint);
            member.own = own;
            return if member.leaving { Effect::Left } else { Effect::Joined };
        }
        let was_usable = !member.leaving && member.listed;
        member.listed = true;
        member.lapses_at = None;
        member.leaving |= endpoint.leaving;
        member.endpoint = endpoint;
        match (was_usable, member.leaving) {
            (true, true) => Effect::Left,
            (false, false) => Effect::Joined,
            _ => Effect::Unchanged,
        }
    }

    fn remove(&mut self, id: &str, version: u64, was_away: bool, now: Instant) -> Effect {
        let Some(member) = self.members.get_mut(id) else { return Effect::Unchanged };
        if member.endpoint.version > version {
            return Effect::Unchanged;
        }
        let was_used = member.listed || member.lapses_at.is_some();
        if was_away && member.listed && !member.leaving {
            member.listed = false;
            member.lapses_at = Some(now + LAPSE_GRACE);
            return Effect::Unchanged;
        }
        if was_away && member.lapses_at.is_some() {
            return Effect::Unchanged;
        }
        member.listed = false;
        member.lapses_at = None;
        self.gone.insert(id.to_owned(), Gone { version, at: now });
        if was_used && !member.leaving { Effect::Left } else { Effect::Unchanged }
    }
}
