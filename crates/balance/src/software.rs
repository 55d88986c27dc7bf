//! Software versions of endpoints: which one a request needs, and which ones have served.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

use crate::pool::Pool;

/// Maximum number of versions of all services that are remembered.
const MAX_VERSIONS: usize = 256;

/// Which software version may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Requirement {
    /// Any, as nothing of the response was delivered yet.
    #[default]
    Any,
    /// The one that began the stream.
    Exactly(String),
    /// None, as it is not known which one began the stream.
    Unknown,
}

impl Requirement {
    /// Returns the version for logs.
    pub fn name(&self) -> &str {
        match self {
            Requirement::Any => "",
            Requirement::Exactly(required) => required,
            Requirement::Unknown => "unknown",
        }
    }

    /// Whether an endpoint of this version may serve the request.
    pub fn admits(&self, software: &str) -> bool {
        match self {
            Requirement::Any => true,
            Requirement::Exactly(required) => required == software,
            Requirement::Unknown => false,
        }
    }
}

/// Since when a history is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Since the first start of the deployment.
    Whole,
    /// Since a moment.
    Since(Instant),
}

/// A history in a message to another daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Notice {
    /// How long the history has been complete, in milliseconds; `None` for the whole
    /// time since the first start of the deployment.
    pub covered_ms: Option<u64>,
    /// Versions by service.
    pub versions: Vec<Version>,
}

/// A version that serves or has served.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Version {
    /// Service name.
    pub service: String,
    /// Software version.
    pub software: String,
    /// Time since its last endpoint left, in milliseconds; 0 if it serves.
    pub age_ms: u64,
}

/// The versions that serve, and when others left.
#[derive(Clone, Debug)]
pub struct History {
    coverage: Coverage,
    serving: BTreeSet<(String, String)>,
    /// When the last endpoint of a service and version left.
    left: BTreeMap<(String, String), Instant>,
}

impl History {
    /// Creates a history without versions.
    pub fn new(coverage: Coverage) -> History {
        History { coverage, serving: BTreeSet::new(), left: BTreeMap::new() }
    }

    /// Records which versions the usable endpoints have. Returns whether that has changed.
    pub fn observe(&mut self, pool: &Pool, now: Instant) -> bool {
        let usable = pool.members().filter(|it| it.is_usable(now));
        let serving: BTreeSet<(String, String)> =
            usable.map(|it| (it.endpoint.service.clone(), it.endpoint.software.clone())).collect();
        if serving == self.serving {
            return false;
        }
        let before = std::mem::replace(&mut self.serving, serving);
        // The version of a process whose entry was not read, which is empty, turns out later.
        let is_known = |(_, software): &&(String, String)| !software.is_empty();
        for version in before.difference(&self.serving).filter(is_known) {
            self.left.insert(version.clone(), now);
        }
        self.limit_size();
        true
    }

    /// Returns the only version of a service that has served within `window`. `None` if
    /// there were several, or if that is not known.
    pub fn sole(&self, service: &str, window: Duration, now: Instant) -> Option<&str> {
        if let Coverage::Since(since) = self.coverage
            && now < since + window
        {
            return None;
        }
        let mut serving = self.serving.iter().filter(|(it, _)| it == service);
        let (_, sole) = serving.next().filter(|(_, software)| !software.is_empty())?;
        let has_left = |(name, software): &(String, String), at: Instant| {
            name == service && software != sole && now < at + window
        };
        let others = self.left.iter().any(|(version, at)| has_left(version, *at));
        (serving.next().is_none() && !others).then_some(sole)
    }

    /// Returns the services of which several versions have served within `window`.
    pub fn mixed(&self, window: Duration, now: Instant) -> BTreeSet<&str> {
        let left = self.left.iter().filter(|(_, at)| now < **at + window).map(|(it, _)| it);
        let mut versions: BTreeMap<&str, &str> = BTreeMap::new();
        let mut mixed = BTreeSet::new();
        let known = self.serving.iter().filter(|(_, software)| !software.is_empty());
        for (service, software) in known.chain(left) {
            if *versions.entry(service).or_insert(software) != software {
                mixed.insert(service.as_str());
            }
        }
        mixed
    }

    /// Merges what another daemon knows, or knew when it stored it. What served then may
    /// have served until now.
    pub fn merge_remote(&mut self, notice: &Notice, now: Instant) {
        let earlier = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms));
        for version in &notice.versions {
            let key = (version.service.clone(), version.software.clone());
            let Some(at) = earlier(version.age_ms) else { continue };
            let latest = self.left.entry(key).or_insert(at);
            *latest = at.max(*latest);
        }
        let remote = match notice.covered_ms {
            None => Coverage::Whole,
            Some(age_ms) => earlier(age_ms).map_or(Coverage::Whole, Coverage::Since),
        };
        self.coverage = match (self.coverage, remote) {
            (Coverage::Since(own), Coverage::Since(remote)) => Coverage::Since(own.min(remote)),
            _ => Coverage::Whole,
        };
        self.limit_size();
    }

    /// Returns what other daemons have to know.
    pub fn notice(&self, now: Instant) -> Notice {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let covered_ms = match self.coverage {
            Coverage::Whole => None,
            Coverage::Since(since) => Some(age_ms(since)),
        };
        let version = |(service, software): &(String, String), age_ms: u64| Version {
            service: service.clone(),
            software: software.clone(),
            age_ms,
        };
        let serving = self.serving.iter().filter(|(_, software)| !software.is_empty());
        let serving = serving.map(|it| version(it, 0));
        let left = self.left.iter().filter(|(it, _)| !self.serving.contains(*it));
        let left = left.map(|(it, at)| version(it, age_ms(*at).max(1)));
        Notice { covered_ms, versions: serving.chain(left).collect() }
    }

    /// Forgets versions that left before `window`.
    pub fn remove_expired(&mut self, window: Duration, now: Instant) {
        self.left.retain(|_, at| now < *at + window);
    }

    fn limit_size(&mut self) {
        while self.left.len() > MAX_VERSIONS {
            let oldest = self.left.iter().min_by_key(|(_, at)| **at);
            let Some((version, at)) = oldest.map(|(it, at)| (it.clone(), *at)) else { return };
            self.left.remove(&version);
            // Invariant: a version that is missing left before the coverage begins.
            self.coverage = match self.coverage {
                Coverage::Since(since) => Coverage::Since(since.max(at)),
                Coverage::Whole => Coverage::Since(at),
            };
        }
    }
}
