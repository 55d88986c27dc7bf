//! Streams of a simulation, from their begin to where they go on.

use std::rc::Rc;
use std::time::Duration;

use balance::endpoint::Endpoint;
use balance::endpoint::Instance;
use balance::member::Member;
use balance::origin;
use balance::origin::Key;
use balance::origin::Origin;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Message;
use super::SMALL_FLEET;
use super::Stream;
use super::WINDOW;
use super::Waiting;
use super::World;

/// Longest stream.
const MAX_LENGTH_MS: u64 = 6_000;
/// Number of endpoints to which a request is sent at most.
const ATTEMPTS: usize = 3;
/// How long a caller that takes up a stream waits for the entry of the process that began it.
const ENTRY_WAIT: Duration = Duration::from_millis(2_500);
/// Share of streams that break in each step.
const BREAK_SHARE: f64 = 0.01;
/// Time after which a running daemon counts as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of daemons that remember a stream, in a small and in a large fleet.
const REMEMBERING: [usize; 2] = [7, 3];
/// Number of daemons that are asked, likewise.
const QUERIED: [usize; 2] = [7, 5];

impl World {
    pub(super) fn begin_stream(&mut self) {
        let index = self.rng.random_range(0..self.daemons.len());
        self.next_id += 1;
        let key = Key::of(None, "r", &self.next_id.to_string());
        self.run(index, key, None);
    }

    /// Sends a stream's request to endpoints of the required version, as far as the daemon
    /// knows, until one is up. Returns the version that serves it.
    pub(super) fn run(&mut self, index: usize, key: Key, required: Option<&str>) -> Option<String> {
        let now = self.instant();
        for _ in 0..ATTEMPTS {
            let described = self.choose(index, required)?;
            let daemon = &mut self.daemons[index];
            let member = daemon.pool.member_mut(&described.id)?;
            let up_by_ms = self.now.as_millis() as u64 + 2;
            let is_up = |it: &&Endpoint| it.id == described.id && it.started_at_ms <= up_by_ms;
            let Some(actual) = self.endpoints.iter().find(is_up) else {
                member.broke_at = Some(now);
                continue;
            };
            let is_described = actual.started_at_ms == described.started_at_ms;
            daemon.pool.record_restart(&described.id, actual.started_at_ms);
            daemon.history.observe(&daemon.pool, now);
            if !is_described && required.is_some() {
                continue;
            }
            let origin = Origin {
                service: "pool".into(),
                software: Some(if is_described { described.software } else { String::new() }),
                instance: Instance::confirmed(&described.id, actual.started_at_ms),
            };
            daemon.origins.record(key, origin, true, WINDOW, now);
            let length = Duration::from_millis(self.rng.random_range(500..MAX_LENGTH_MS));
            self.streams.push(Stream {
                key,
                software: actual.software.clone(),
                daemon: daemon.id.clone(),
                endpoint: (described.id, actual.started_at_ms),
                ends_at: self.now + length,
            });
            return Some(actual.software.clone());
        }
        None
    }

    /// Chooses an endpoint, preferably one that can't have been replaced. Returns its entry.
    pub(super) fn choose(&mut self, index: usize, required: Option<&str>) -> Option<Endpoint> {
        let now = self.instant();
        let fits = |it: &&Member| {
            it.is_usable(now) && required.is_none_or(|software| it.endpoint.software == software)
        };
        let candidates = || self.daemons[index].pool.members().filter(fits);
        let has_sound = candidates().any(|it| !it.may_be_replaced(now));
        let candidates: Vec<&Member> =
            candidates().filter(|it| !has_sound || !it.may_be_replaced(now)).collect();
        if candidates.is_empty() {
            return None;
        }
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        Some(chosen.endpoint.clone())
    }

    pub(super) fn break_streams(&mut self) {
        let now = self.now;
        self.streams.retain(|it| now < it.ends_at);
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        self.break_where(|_| rng.random_bool(BREAK_SHARE));
    }

    pub(super) fn break_where(&mut self, mut breaks: impl FnMut(&Stream) -> bool) {
        let now = self.instant();
        for stream in self.streams.extract_if(.., |it| breaks(it)) {
            let daemon = self.daemons.iter_mut().find(|it| it.id == stream.daemon);
            if let Some(member) = daemon.and_then(|it| it.pool.member_mut(&stream.endpoint.0)) {
                member.broke_at = Some(now);
            }
            let pause = Duration::from_millis(self.rng.random_range(5..1_500));
            self.broken.push((self.now + pause, stream));
        }
    }

    pub(super) fn take_up(&mut self) {
        let now = self.now;
        let due: Vec<Stream> =
            self.broken.extract_if(.., |(at, _)| now >= *at).map(|(_, it)| it).collect();
        for stream in due {
            let index = self.rng.random_range(0..self.daemons.len());
            let serving = self.endpoints.iter().filter(|it| it.software == stream.software).count();
            let is_in_touch = now >= self.daemons[index].started_at + CONTACT_TIME;
            let counts = is_in_touch && serving >= 2;
            let version = self.known_version(index, stream.key);
            if version.as_deref() == Some("") {
                let (daemon, until) = (self.daemons[index].id.clone(), now + ENTRY_WAIT);
                self.waiting.push(Waiting { daemon, until, counts, stream });
            } else {
                self.go_on(index, &stream, version, counts);
            }
        }
    }

    /// Ends the waits for entries that were read, and those that have taken too long. If the
    /// daemon has ended, the caller takes the stream up elsewhere.
    pub(super) fn end_waits(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let index = self.daemons.iter().position(|it| it.id == waiting.daemon);
            let Some(index) = index else {
                self.broken.push((self.now, waiting.stream));
                continue;
            };
            let version = self.daemons[index].version(waiting.stream.key, self.instant());
            if version.as_deref() == Some("") && self.now < waiting.until {
                self.waiting.push(waiting);
            } else {
                self.go_on(index, &waiting.stream, version, waiting.counts);
            }
        }
    }

    /// Lets a stream go on at its version, if that is known and was read.
    pub(super) fn go_on(
        &mut self,
        index: usize,
        stream: &Stream,
        version: Option<String>,
        counts: bool,
    ) {
        self.record.taken_up += usize::from(counts);
        let Some(required) = version.filter(|it| !it.is_empty()) else { return };
        let Some(actual) = self.run(index, stream.key, Some(&required)) else { return };
        self.record.mixed += usize::from(actual != stream.software);
        self.record.went_on += usize::from(counts);
    }

    /// Returns the version at which a daemon lets a stream go on, as `Daemon::version`.
    pub(super) fn known_version(&mut self, index: usize, key: Key) -> Option<String> {
        let now = self.instant();
        let daemon = &self.daemons[index];
        if daemon.origins.get(key, now).is_none() {
            if self.now >= self.outage_until
                && let Some(sole) = daemon.history.sole("pool", WINDOW, now)
            {
                return Some(sole.to_owned());
            }
            let asked = self.ranked(index, key, QUERIED);
            let replies: Vec<(Rc<str>, origin::Notice)> = asked
                .into_iter()
                .filter_map(|it| {
                    let it = &self.daemons[it];
                    Some((Rc::from(it.id.as_str()), it.origins.notice(key, now)?))
                })
                .collect();
            for (from, notice) in replies.into_iter().take(1) {
                self.daemons[index].origins.merge_remote(&notice, &from, true, now);
            }
        }
        self.daemons[index].version(key, now)
    }

    /// Returns the daemons that rank first for a stream, in a small and in a large fleet.
    pub(super) fn ranked(&self, own: usize, key: Key, limits: [usize; 2]) -> Vec<usize> {
        let others = (0..self.daemons.len()).filter(|it| *it != own);
        let mut ranked: Vec<(u64, usize)> =
            others.map(|it| (key.rank(&self.daemons[it].id), it)).collect();
        ranked.sort_unstable();
        let limit = limits[usize::from(self.daemons.len() > SMALL_FLEET)];
        ranked.into_iter().take(limit).map(|(_, it)| it).collect()
    }

    pub(super) fn tell(&mut self) {
        let now = self.instant();
        for index in 0..self.daemons.len() {
            let from: Rc<str> = Rc::from(self.daemons[index].id.as_str());
            for notice in self.daemons[index].origins.take_unsent(512, now) {
                for to in self.ranked(index, notice.key, REMEMBERING) {
                    let max_ms = self.plan.max_delay.as_millis() as u64;
                    let delay = Duration::from_millis(self.rng.random_range(1..=max_ms));
                    let to = self.daemons[to].id.clone();
                    let streams = vec![notice.clone()];
                    self.messages.push(Message {
                        at: self.now + delay,
                        to,
                        from: Rc::clone(&from),
                        streams,
                    });
                }
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let instant = self.instant();
        for message in self.messages.extract_if(.., |it| now >= it.at) {
            let Some(to) = self.daemons.iter_mut().find(|it| it.id == message.to) else { continue };
            for notice in &message.streams {
                to.origins.merge_remote(notice, &message.from, true, instant);
            }
        }
    }
}
