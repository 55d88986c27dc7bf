//! The endpoints known to a daemon, with their load and health.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Change;
use crate::endpoint::Endpoint;
use crate::endpoint::Roster;
use crate::health::Outcome;
use crate::load::Load;
use crate::member::Member;
use crate::removal::Notice;
use crate::removal::Removal;

/// How long the statement of an accounting daemon goes before what digests say.
const VIEW_LIFETIME: Duration = Duration::from_millis(500);
/// How long removals are remembered; longer than a daemon needs to catch up after a
/// network partition.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Outstanding work at an endpoint as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// Outstanding work of all daemons.
    pub load: Load,
    /// Time since its accounting daemon stated that of the others; `None` if only digests
    /// have.
    pub age: Option<Duration>,
}

/// Effect of a list change on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The endpoint is new, or a new instance of its identity.
    Joined,
    /// The endpoint no longer takes new requests.
    Left,
    /// Another endpoint has its address.
    Superseded,
    /// The entry is missing, but the endpoint stays in use for a grace period.
    Lapsed,
    /// Routing is unaffected.
    Unchanged,
}

impl Effect {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Joined => "joined",
            Effect::Left => "left",
            Effect::Superseded => "superseded",
            Effect::Lapsed => "lapsed",
            Effect::Unchanged => "unchanged",
        }
    }
}

/// Outstanding work that another daemon has reported, by endpoint.
#[derive(Clone, Debug)]
struct Report {
    loads: HashMap<String, Load>,
    received_at: Instant,
}

/// All known endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: BTreeMap<String, Member>,
    /// The endpoint that was described last at each address.
    occupants: HashMap<SocketAddr, String>,
    /// Recently removed descriptions. Daemons that haven't learned of a removal
    /// may still send lists that contain the endpoint.
    removals: HashMap<String, Removal>,
    /// Latest load report of each other daemon.
    reports: HashMap<String, Report>,
    /// Sum of the reports by endpoint, so that a decision doesn't iterate over
    /// all daemons.
    remote_loads: HashMap<String, Load>,
    /// Store version up to which the list is complete.
    pub store_version: u64,
    /// Store version of the last change that affects routing. Daemons compare
    /// this instead of `store_version`, which advances with every heartbeat of an
    /// endpoint.
    pub roster_version: u64,
}

impl Pool {
    /// Applies changes, after which the list is complete up to `version`, and
    /// returns the endpoints for which routing changes.
    ///
    /// Until `settles_at`, endpoints whose entries are missing stay in use.
    pub fn apply(
        &mut self,
        changes: Vec<Change>,
        version: u64,
        settles_at: Instant,
        now: Instant,
    ) -> Vec<(String, Effect)> {
        self.store_version = self.store_version.max(version);
        let mut effects = Vec::new();
        for change in changes {
            match change {
                Change::Updated(endpoint) => self.update_occupant(endpoint, &mut effects),
                Change::Removed { id, version } | Change::Unusable { id, version } => {
                    let effect = self.remove(&id, version, settles_at, now);
                    effects.push((id, effect));
                }
            }
        }
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        if !effects.is_empty() {
            self.roster_version = self.roster_version.max(version);
        }
        effects
    }

    /// Replaces the whole list and returns the endpoints for which routing changes.
    /// Ignores a roster that is older than the current list.
    ///
    /// Until `settles_at`, endpoints whose entries are missing stay in use.
    pub fn replace(
        &mut self,
        roster: Roster,
        settles_at: Instant,
        now: Instant,
    ) -> Vec<(String, Effect)> {
        if roster.version < self.roster_version {
            return Vec::new();
        }
        self.store_version = self.store_version.max(roster.version);
        let listed: HashSet<&str> = roster.endpoints.iter().map(|it| it.id.as_str()).collect();
        let is_removed = |id: &&String| !listed.contains(id.as_str());
        let removed: Vec<String> = self.members.keys().filter(is_removed).cloned().collect();
        let mut effects = Vec::new();
        for id in removed {
            let effect = self.remove(&id, roster.version, settles_at, now);
            effects.push((id, effect));
        }
        for endpoint in roster.endpoints {
            self.update_occupant(endpoint, &mut effects);
        }
        // Adopts the sender's version, so that daemons with the same list have the same
        // version.
        self.roster_version = self.roster_version.max(roster.version);
        effects.retain(|(_, effect)| *effect != Effect::Unchanged);
        effects
    }

    /// Returns the list to send to other daemons. It lacks endpoints whose entries are
    /// missing, so that the receivers don't take them for listed.
    pub fn roster(&self) -> Roster {
        let included = self.members.values().filter(|it| it.listed);
        let endpoints = included.map(|it| Endpoint { leaving: it.leaving, ..it.endpoint.clone() });
        Roster { version: self.roster_version, endpoints: endpoints.collect() }
    }

    /// Marks an instance of an endpoint as leaving.
    pub fn mark_leaving(&mut self, id: &str, started_at_ms: u64) -> Effect {
        let Some(member) = self.members.get_mut(id) else { return Effect::Unchanged };
        if member.leaving || member.endpoint.started_at_ms != started_at_ms {
            return Effect::Unchanged;
        }
        member.leaving = true;
        Effect::Left
    }

    /// Records that a later process has answered in the place of the one that an endpoint's entry
    /// describes. Its software version is empty until its own entry is read.
    pub fn record_restart(&mut self, id: &str, started_at_ms: u64) -> Effect {
        let Some(member) = self.members.get_mut(id) else { return Effect::Unchanged };
        if member.leaving || member.endpoint.started_at_ms >= started_at_ms {
            return Effect::Unchanged;
        }
        let software = String::new();
        let later = Endpoint { started_at_ms, software, ..member.endpoint.clone() };
        let (listed, expires_at) = (member.listed, member.expires_at);
        *member = member.replace(later);
        (member.listed, member.expires_at) = (listed, expires_at);
        Effect::Joined
    }

    /// Returns the latest removals that other daemons have to know of after the store has
    /// returned from an older copy, which may contain the endpoints.
    pub fn removal_notices(&self, limit: usize) -> Vec<Notice> {
        let mut notices: Vec<&Notice> =
            self.removals.values().filter_map(Removal::notice).collect();
        notices.sort_unstable_by_key(|it| Reverse(it.version));
        notices.into_iter().take(limit).cloned().collect()
    }

    /// Merges the removal of an endpoint that another daemon has noticed.
    pub fn merge_removal(&mut self, notice: &Notice, now: Instant) -> Effect {
        let known = self.removals.get(&notice.id).cloned();
        let mut removal = known.unwrap_or_else(|| Removal::remote(notice.clone(), now));
        removal.merge(notice);
        let Some(member) = self.members.get_mut(&notice.id) else {
            self.removals.insert(notice.id.clone(), removal);
            return Effect::Unchanged;
        };
        if !removal.outdates(&member.endpoint) {
            return Effect::Unchanged;
        }
        let was_usable = member.is_usable(now);
        member.listed = false;
        member.expires_at = None;
        self.removals.insert(notice.id.clone(), removal);
        if was_usable { Effect::Left } else { Effect::Unchanged }
    }

    /// Sets the outstanding work that another daemon reports, by endpoint.
    pub fn set_remote_loads(&mut self, daemon: &str, loads: HashMap<String, Load>, now: Instant) {
        self.remove_remote_loads(daemon);
        for (id, load) in &loads {
            let sum = self.remote_loads.entry(id.clone()).or_default();
            *sum = sum.plus(*load);
        }
        self.reports.insert(daemon.to_owned(), Report { loads, received_at: now });
    }

    /// Removes the load report of a daemon.
    pub fn remove_remote_loads(&mut self, daemon: &str) {
        let Some(report) = self.reports.remove(daemon) else { return };
        for (id, load) in report.loads {
            let Some(sum) = self.remote_loads.get_mut(&id) else { continue };
            *sum = sum.minus(load);
            if *sum == Load::default() {
                self.remote_loads.remove(&id);
            }
        }
    }

    /// Returns the outstanding work of all daemons at an endpoint.
    pub fn load(&self, id: &str) -> Load {
        let own_load = self.members.get(id).map_or(Load::default(), |it| it.own_load);
        own_load.plus(self.remote_loads.get(id).copied().unwrap_or_default())
    }

    /// Returns the outstanding work of all daemons at an endpoint, from the latest statement
    /// of its accounting daemon if that is recent.
    pub fn outstanding(&self, id: &str, now: Instant) -> Outstanding {
        let member = self.members.get(id);
        let view = member.and_then(|it| it.view);
        let Some((member, view)) = member.zip(view) else {
            return Outstanding { load: self.load(id), age: None };
        };
        let age = now.saturating_duration_since(view.at);
        if age >= VIEW_LIFETIME {
            return Outstanding { load: self.load(id), age: None };
        }
        Outstanding { load: member.own_load.plus(view.load), age: Some(age) }
    }

    /// Returns the mean time since other daemons last reported their outstanding work; zero if
    /// none has.
    pub fn mean_report_age(&self, now: Instant) -> Duration {
        let age = |it: &Report| now.saturating_duration_since(it.received_at);
        let sum: Duration = self.reports.values().map(age).sum();
        sum / self.reports.len().max(1) as u32
    }

    /// Returns the outstanding work at an endpoint of all daemons except one.
    pub fn load_of_others(&self, id: &str, daemon: &str) -> Load {
        let report = self.reports.get(daemon).and_then(|it| it.loads.get(id));
        self.load(id).minus(report.copied().unwrap_or_default())
    }

    /// Sets the outstanding work that another daemon reports at one endpoint.
    pub fn set_remote_load(&mut self, daemon: &str, id: &str, load: Load, now: Instant) {
        let report = self.reports.entry(daemon.to_owned());
        let report = report.or_insert_with(|| Report { loads: HashMap::new(), received_at: now });
        let before = report.loads.insert(id.to_owned(), load).unwrap_or_default();
        let sum = self.remote_loads.entry(id.to_owned()).or_default();
        *sum = sum.minus(before).plus(load);
        if *sum == Load::default() {
            self.remote_loads.remove(id);
        }
    }

    /// Returns an endpoint.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns a mutable reference to an endpoint.
    pub fn member_mut(&mut self, id: &str) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// Returns all endpoints, ordered by identity.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Records the outcome of an attempt at an endpoint.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.health.record(outcome, now);
        }
    }

    /// Removes endpoints that have left and have no open requests of this daemon,
    /// load reports older than `report_timeout`, and old removals. Returns the
    /// endpoints whose entries weren't written again within the grace period.
    pub fn sweep(&mut self, report_timeout: Duration, now: Instant) -> Vec<(String, Effect)> {
        let is_stale = |it: &Report| now >= it.received_at + report_timeout;
        let stale: Vec<String> = self
            .reports
            .iter()
            .filter(|(_, it)| is_stale(it))
            .map(|(name, _)| name.clone())
            .collect();
        for daemon in &stale {
            self.remove_remote_loads(daemon);
        }
        let mut expired = Vec::new();
        for member in self.members.values_mut() {
            if member.expires_at.is_some_and(|it| now >= it) {
                member.expires_at = None;
                let id = member.endpoint.id.clone();
                let removal = Removal::new(member.endpoint.version, &member.endpoint, false, now);
                self.removals.insert(id.clone(), removal);
                expired.push((id, Effect::Left));
            }
        }
        let known = self.members.len();
        self.members
            .retain(|_, it| it.listed || it.own_load.open_requests > 0 || it.is_usable(now));
        if self.members.len() < known {
            self.occupants.retain(|_, it| self.members.contains_key(it));
        }
        self.removals.retain(|_, it| now < it.at + REMOVAL_RETENTION);
        if !expired.is_empty() {
            self.roster_version = self.store_version.max(self.roster_version + 1);
        }
        expired
    }

    /// Updates an endpoint, and which of those with its address is the present one.
    fn update_occupant(&mut self, endpoint: Endpoint, effects: &mut Vec<(String, Effect)>) {
        let (id, address) = (endpoint.id.clone(), endpoint.address);
        let effect = self.update(endpoint);
        effects.push((id.clone(), effect));
        let Some(version) = self.version_at(&id, address) else { return };
        let other = self.occupants.get(&address).filter(|it| **it != id).cloned();
        let other_version = other.as_ref().and_then(|it| self.version_at(it, address));
        let is_superseded = other_version.is_some_and(|it| it > version);
        if let Some(member) = self.members.get_mut(&id) {
            member.is_superseded = is_superseded;
        }
        if is_superseded {
            return;
        }
        self.occupants.insert(address, id);
        if other_version.is_some_and(|it| it < version)
            && let Some(other) = other
            && let Some(member) = self.members.get_mut(&other)
            && !std::mem::replace(&mut member.is_superseded, true)
        {
            effects.push((other, Effect::Superseded));
        }
    }

    /// Returns the store version of an endpoint's description if it has this address.
    fn version_at(&self, id: &str, address: SocketAddr) -> Option<u64> {
        let endpoint = &self.members.get(id)?.endpoint;
        (endpoint.address == address).then_some(endpoint.version)
    }

    fn update(&mut self, endpoint: Endpoint) -> Effect {
        // Invariant: a description older than its removal has no effect.
        if self.removals.get_mut(&endpoint.id).is_some_and(|it| it.outdates(&endpoint)) {
            return Effect::Unchanged;
        }
        let removal = self.removals.remove(&endpoint.id);
        let Some(member) = self.members.get_mut(&endpoint.id) else {
            let effect = if endpoint.leaving { Effect::Left } else { Effect::Joined };
            let former = removal.and_then(|it| it.former);
            let mut member = Member::new(endpoint);
            member.replaced = former.filter(|(instance, software)| {
                // An endpoint that states no start keeps its identity.
                let is_same = software.is_empty() || *software == member.endpoint.software;
                *instance != member.instance || !is_same
            });
            self.members.insert(member.endpoint.id.clone(), member);
            return effect;
        };
        if endpoint.started_at_ms < member.endpoint.started_at_ms {
            return Effect::Unchanged;
        }
        let is_read = member.is_unread() && !endpoint.software.is_empty();
        let is_new_instance = endpoint.started_at_ms > member.endpoint.started_at_ms
            || endpoint.address != member.endpoint.address
            || endpoint.service != member.endpoint.service
            || endpoint.software != member.endpoint.software && !is_read;
        if is_new_instance {
            *member = member.replace(endpoint);
            return if member.leaving { Effect::Left } else { Effect::Joined };
        }
        let was_usable = !member.leaving && member.listed && !is_read;
        member.listed = true;
        member.expires_at = None;
        member.leaving |= endpoint.leaving;
        member.endpoint = endpoint;
        match (was_usable, member.leaving) {
            (true, true) => Effect::Left,
            (false, false) => Effect::Joined,
            _ => Effect::Unchanged,
        }
    }

    fn remove(&mut self, id: &str, version: u64, settles_at: Instant, now: Instant) -> Effect {
        let Some(member) = self.members.get_mut(id) else { return Effect::Unchanged };
        if member.endpoint.version > version {
            return Effect::Unchanged;
        }
        let was_in_use = member.listed || member.expires_at.is_some();
        if was_in_use && !member.leaving && now < settles_at {
            let has_lapsed = std::mem::replace(&mut member.listed, false);
            let expires_at = member.expires_at.map_or(settles_at, |it| it.min(settles_at));
            member.expires_at = Some(expires_at);
            return if has_lapsed { Effect::Lapsed } else { Effect::Unchanged };
        }
        member.listed = false;
        member.expires_at = None;
        let removal = Removal::new(version, &member.endpoint, member.leaving, now);
        self.removals.insert(id.to_owned(), removal);
        if was_in_use && !member.leaving { Effect::Left } else { Effect::Unchanged }
    }
}
