//! At which software version streams began, for callers that take them up again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::Instance;
use crate::subject::fingerprint;

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 16_384;
/// Maximum number of instances whose versions are remembered.
const MAX_INSTANCES: usize = 8_192;
/// Maximum difference between the clocks of an endpoint and a daemon.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Identifies a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key(pub u128);

impl Key {
    /// Returns the key of the stream whose first event was brought by the request with this
    /// id. It contains the workspace, so that callers can't refer to streams of others.
    pub fn of(workspace: Option<&str>, route: &str, request: &str) -> Key {
        let workspace = workspace.map_or(Vec::new(), |it| format!("={it}").into_bytes());
        Key(fingerprint(&[&workspace, route.as_bytes(), request.as_bytes()]))
    }

    /// Returns the rank of a daemon among those that remember the stream.
    pub fn rank(self, daemon: &str) -> u64 {
        let seed = (self.0 >> 64) as u64 ^ self.0 as u64;
        xxh3_64_with_seed(daemon.as_bytes(), seed)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Origin {
    /// Service name.
    pub service: String,
    /// Software version; `None` if it is in doubt, and empty until the entry of the instance is
    /// read.
    pub software: Option<String>,
    /// Instance of the endpoint. If it is a confirmed one, the version is that of its entry;
    /// otherwise it is the instance that was known when the stream began.
    pub instance: Instance,
}

impl Origin {
    /// Merges what is known of the same stream from elsewhere.
    fn merge(&mut self, other: &Origin) {
        if self.service != other.service {
            self.software = None;
        } else if self.is_unread() && other.software.is_some() {
            self.software.clone_from(&other.software);
        } else if self.software != other.software && !other.is_unread() {
            // Two versions under one id, for example if a caller has used the id twice.
            self.software = None;
        }
    }

    /// Whether the stream began at an instance whose entry was not read yet.
    pub fn is_unread(&self) -> bool {
        self.software.as_deref() == Some("")
    }
}

/// A stream in a message to another daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Notice {
    /// The stream.
    pub key: Key,
    /// Where it began.
    pub origin: Origin,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// Time for which it has to be remembered from now on, in milliseconds.
    pub lifetime_ms: u64,
}

/// How a daemon knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// It began there.
    Own,
    /// From the daemon with this instance id.
    Peer(Rc<str>),
}

/// A stream that is remembered.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Where it began.
    pub origin: Origin,
    /// From whom that is known.
    pub source: Source,
    /// Whether the instance is known to be the one at which the stream began. If not, a later
    /// one may have begun it whose entry was not read yet.
    pub is_settled: bool,
    /// Whether two versions were reported, so that nothing can resolve the doubt.
    is_contradicted: bool,
    /// Whether a doubt was resolved by what its own daemon has told since.
    is_resolved: bool,
    began_at: Instant,
    expires_at: Instant,
}

impl Entry {
    /// Returns when the stream began.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Merges what is known of the same stream from elsewhere. What is settled goes before what
    /// isn't.
    fn merge(&mut self, other: &Entry) {
        match (self.is_settled, other.is_settled) {
            (true, false) => {}
            (false, true) => {
                self.origin.clone_from(&other.origin);
                self.is_settled = true;
            }
            (true, true) | (false, false) => {
                if self.origin.is_unread() && !other.origin.is_unread() {
                    self.origin.instance = other.origin.instance;
                }
                let was_known = self.origin.software.is_some();
                let is_from_elsewhere = other.is_settled && self.source != other.source;
                self.origin.merge(&other.origin);
                self.is_contradicted |= (was_known || is_from_elsewhere)
                    && self.origin.software.is_none()
                    && other.origin.software.is_some();
            }
        }
    }

    /// Whether its version is in doubt, but only since an entry was replaced, and another instance
    /// is known now to have begun it.
    fn is_resolved_by(&self, origin: &Origin) -> bool {
        self.origin.software.is_none()
            && !self.is_contradicted
            && self.origin.service == origin.service
            && self.origin.instance != origin.instance
            && origin.software.as_deref().is_some_and(|it| !it.is_empty())
    }
}

/// Streams that began recently, here or at other daemons.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    by_key: HashMap<Key, Entry>,
    /// Streams in the order in which they became known.
    order: VecDeque<Key>,
    /// Streams to be sent to other daemons.
    unsent: Vec<Key>,
    /// Streams that began here, or whose version came into doubt, since they were last taken.
    changed: Vec<Key>,
    /// Software versions of confirmed instances, from their entries.
    versions: HashMap<Instance, String>,
    /// Instances in the order in which their entries were read.
    instances: VecDeque<Instance>,
    /// Streams that began, also according to only one daemon, at instances whose entries were
    /// not read yet.
    unread: HashMap<Instance, HashSet<Key>>,
    /// Streams that are not settled.
    unsettled: HashSet<Key>,
    /// Instances of entries that others have replaced. If these have another software version,
    /// with the time of that.
    replaced: HashMap<Instance, Option<Instant>>,
    /// These instances in the order in which that became known.
    replaced_order: VecDeque<Instance>,
}

impl Origins {
    /// Records that a stream began, or went on after its caller took it up, at an endpoint.
    pub fn record(
        &mut self,
        key: Key,
        origin: Origin,
        is_settled: bool,
        lifetime: Duration,
        now: Instant,
    ) {
        let entry = Entry {
            origin,
            source: Source::Own,
            is_settled,
            is_contradicted: false,
            is_resolved: false,
            began_at: now,
            expires_at: now + lifetime,
        };
        if self.insert(key, entry) {
            self.add_unsent(key);
        }
        self.add_changed(key);
    }

    /// Merges what another daemon knows of a stream.
    pub fn merge_remote(
        &mut self,
        notice: &Notice,
        daemon: &Rc<str>,
        is_settled: bool,
        now: Instant,
    ) {
        let age = Duration::from_millis(notice.age_ms);
        let entry = Entry {
            origin: notice.origin.clone(),
            source: Source::Peer(Rc::clone(daemon)),
            is_settled,
            is_contradicted: false,
            is_resolved: false,
            began_at: now.checked_sub(age).unwrap_or(now),
            expires_at: now + Duration::from_millis(notice.lifetime_ms),
        };
        if let Some(known) = self.by_key.get_mut(&notice.key)
            && known.source == entry.source
        {
            if known.is_resolved && known.origin.instance != entry.origin.instance {
                // It is older than what has resolved the doubt, for example in a row.
                return;
            }
            if is_settled && known.is_resolved_by(&entry.origin) {
                known.origin.clone_from(&entry.origin);
                known.is_resolved = true;
            }
        }
        self.insert(notice.key, entry);
    }

    /// Records the software version of a confirmed instance, from its entry.
    pub fn learn(&mut self, instance: Instance, software: &str) {
        if self.versions.insert(instance, software.to_owned()).is_none() {
            self.instances.push_back(instance);
        }
        if self.instances.len() > MAX_INSTANCES
            && let Some(oldest) = self.instances.pop_front()
        {
            self.versions.remove(&oldest);
        }
        for key in self.unread.remove(&instance).unwrap_or_default() {
            let Some(entry) = self.by_key.get_mut(&key) else { continue };
            let service = entry.origin.service.clone();
            entry.origin.merge(&Origin { service, software: Some(software.to_owned()), instance });
            if entry.source == Source::Own {
                self.add_changed(key);
            }
        }
    }

    /// Records at which instance a stream began here that was not known then.
    pub fn identify(&mut self, key: Key, origin: Origin, now: Instant) {
        let Some(entry) = self.by_key.get_mut(&key).filter(|it| now < it.expires_at) else {
            return;
        };
        if entry.is_resolved_by(&origin) {
            entry.origin.clone_from(&origin);
            entry.is_resolved = true;
        }
        let entry = Entry { origin, is_settled: true, ..entry.clone() };
        self.insert(key, entry);
        self.add_unsent(key);
        self.add_changed(key);
    }

    /// Returns the streams that are not settled, with the instances at which they are believed to
    /// have begun.
    pub fn unsettled(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.unsettled.iter().filter_map(|key| Some((*key, self.by_key.get(key)?)))
    }

    /// Records that a stream began at the instance at which it is believed to have begun.
    pub fn settle(&mut self, key: Key) {
        self.unsettled.remove(&key);
        let Some(entry) = self.by_key.get_mut(&key) else { return };
        entry.is_settled = true;
        if entry.source == Source::Own {
            self.add_changed(key);
        }
    }

    /// Records that the instance at which a stream began can't become known here any more. One
    /// that another daemon has told of is forgotten if that daemon is live, as it may know better.
    pub fn abandon(&mut self, key: Key, is_live: impl Fn(&str) -> bool) {
        let Some(entry) = self.by_key.get_mut(&key) else { return };
        self.unsettled.remove(&key);
        let may_be_known = matches!(&entry.source, Source::Peer(daemon) if is_live(daemon));
        if may_be_known {
            self.by_key.remove(&key);
            self.order.retain(|it| *it != key);
        } else {
            entry.is_settled = true;
            entry.origin.software = None;
        }
    }

    /// Casts doubt on the version of a stream, as the instance at which it began can't become
    /// known any more.
    pub fn doubt_stream(&mut self, key: Key) {
        self.settle(key);
        if let Some(entry) = self.by_key.get_mut(&key) {
            entry.origin.software = None;
            self.add_unsent(key);
            self.add_changed(key);
        }
    }

    /// Records that an instance was replaced by one of the same software version.
    pub fn record_replacement(&mut self, instance: Instance) {
        self.add_replaced(instance, None);
    }

    /// Whether it is known that another instance has replaced the one of an entry.
    pub fn is_replaced(&self, instance: Instance) -> bool {
        self.replaced.contains_key(&instance)
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: Key, now: Instant) -> Option<&Entry> {
        self.by_key.get(&key).filter(|it| now < it.expires_at)
    }

    /// Casts doubt on the version of streams at an instance of an endpoint that has turned
    /// out to have been replaced at `replaced_at` or somewhat earlier, by another version.
    /// Returns their number.
    pub fn doubt(&mut self, instance: Instance, replaced_at: Instant) -> usize {
        self.add_replaced(instance, Some(replaced_at));
        self.doubt_where(|it| {
            it.origin.instance == instance && it.began_at + MAX_CLOCK_SKEW >= replaced_at
        })
    }

    /// Casts doubt on the version of the streams that have begun at an instance whose entry states
    /// another version now. An endpoint that states no start keeps its identity when it restarts
    /// at its address, so that streams may begin there at the other version. Returns their number.
    pub fn doubt_all(&mut self, instance: Instance) -> usize {
        self.doubt_where(|it| it.origin.instance == instance)
    }

    /// Returns the streams that began here, or whose version came into doubt, since the last
    /// call.
    pub fn take_changed(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.changed)
    }

    /// Marks the streams that began here as changed, as rows of them may have been lost.
    pub fn mark_own_changed(&mut self) {
        let is_own = |it: &&Key| self.by_key.get(it).is_some_and(|it| it.source == Source::Own);
        let own: Vec<Key> = self.order.iter().filter(is_own).copied().collect();
        own.into_iter().for_each(|it| self.add_changed(it));
    }

    /// Whether the entry of a confirmed instance was read. False for an instance that has not
    /// stated its start.
    pub fn is_described(&self, instance: Instance) -> bool {
        self.versions.contains_key(&instance)
    }

    /// Returns up to `limit` streams to be sent to other daemons.
    pub fn take_unsent(&mut self, limit: usize, now: Instant) -> Vec<Notice> {
        let keys: Vec<Key> = self.unsent.drain(..self.unsent.len().min(limit)).collect();
        keys.into_iter().filter_map(|it| self.notice(it, now)).collect()
    }

    /// Returns up to `limit` streams, those that became known last, for a daemon that knows
    /// none.
    pub fn latest(&self, limit: usize, now: Instant) -> Vec<Notice> {
        let keys = self.order.iter().rev().take(limit);
        keys.filter_map(|it| self.notice(*it, now)).collect()
    }

    /// Returns what other daemons have to know of a stream.
    pub fn notice(&self, key: Key, now: Instant) -> Option<Notice> {
        let entry = self.get(key, now)?;
        let millis = |it: Duration| it.as_millis() as u64;
        Some(Notice {
            key,
            origin: entry.origin.clone(),
            age_ms: millis(now.saturating_duration_since(entry.began_at)),
            lifetime_ms: millis(entry.expires_at.saturating_duration_since(now)),
        })
    }

    /// Forgets streams that can't be taken up any more.
    pub fn remove_expired(&mut self, now: Instant) {
        let by_key = &mut self.by_key;
        by_key.retain(|_, it| now < it.expires_at);
        self.order.retain(|it| by_key.contains_key(it));
        self.unread.retain(|_, keys| {
            keys.retain(|it| by_key.contains_key(it));
            !keys.is_empty()
        });
        self.unsettled.retain(|it| by_key.contains_key(it));
    }

    /// Whether a stream of the service began at a process whose entry was not read yet.
    pub fn has_unread(&self, service: &str) -> bool {
        let mut origins = self.unread.values().flatten().filter_map(|it| self.by_key.get(it));
        origins.any(|it| it.origin.is_unread() && it.origin.service == service)
    }

    /// Returns the number of streams.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    fn add_unsent(&mut self, key: Key) {
        if self.unsent.len() < MAX_STREAMS {
            self.unsent.push(key);
        }
    }

    fn doubt_where(&mut self, is_affected: impl Fn(&Entry) -> bool) -> usize {
        let affected = self.by_key.iter().filter(|(_, it)| is_affected(it));
        let affected: Vec<Key> = affected.map(|(key, _)| *key).collect();
        affected.iter().for_each(|it| self.doubt_stream(*it));
        affected.len()
    }

    fn add_changed(&mut self, key: Key) {
        if self.changed.len() < MAX_STREAMS {
            self.changed.push(key);
        }
    }

    /// Adds an entry or merges it with what is known. Returns whether it is new.
    fn insert(&mut self, key: Key, mut entry: Entry) -> bool {
        if entry.origin.is_unread()
            && let Some(software) = self.versions.get(&entry.origin.instance)
        {
            entry.origin.software = Some(software.clone());
        }
        if entry.origin.is_unread() {
            self.unread.entry(entry.origin.instance).or_default().insert(key);
        }
        let replaced_at = self.replaced.get(&entry.origin.instance).copied().flatten();
        if replaced_at.is_some_and(|it| entry.began_at + MAX_CLOCK_SKEW >= it) {
            entry.origin.software = None;
        }
        if let Some(known) = self.by_key.get_mut(&key) {
            known.merge(&entry);
            match known.is_settled {
                true => self.unsettled.remove(&key),
                false => self.unsettled.insert(key),
            };
            let is_later = entry.expires_at > known.expires_at;
            known.expires_at = known.expires_at.max(entry.expires_at);
            return is_later;
        }
        // The oldest ones may have been forgotten already.
        while self.by_key.len() >= MAX_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_key.remove(&oldest);
            self.unsettled.remove(&oldest);
        }
        if !entry.is_settled {
            self.unsettled.insert(key);
        }
        self.order.push_back(key);
        self.by_key.insert(key, entry);
        true
    }

    fn add_replaced(&mut self, instance: Instance, at: Option<Instant>) {
        let known = self.replaced.get(&instance).copied();
        if known.is_none() {
            self.replaced_order.push_back(instance);
        }
        let earliest = known.flatten().into_iter().chain(at).min();
        self.replaced.insert(instance, earliest);
        if self.replaced_order.len() > MAX_INSTANCES
            && let Some(oldest) = self.replaced_order.pop_front()
        {
            self.replaced.remove(&oldest);
        }
    }
}
