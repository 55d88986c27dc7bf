//! Requests that crash endpoints: crashes are counted by request content across
//! all daemons.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_128;

/// Number of points at which a request is rejected.
pub const POINT_LIMIT: u32 = 4;
/// Points for a crash before the first token of the request.
const EARLY_CRASH_POINTS: u32 = 2;
/// Points for a later crash: another request may be the cause.
const LATE_CRASH_POINTS: u32 = 1;
/// How long a request is remembered after its last crash or report.
const RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of requests remembered. A further one replaces the one that
/// expires first.
const MAX_REQUESTS: usize = 1024;

/// Identifies a request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request to a service.
    pub fn of(service: &str, content: &[&[u8]]) -> Fingerprint {
        let mut bytes = service.as_bytes().to_vec();
        for part in content {
            bytes.extend((part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        Fingerprint(xxh3_128(&bytes))
    }
}

/// When an endpoint crashed during an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Before the first token of the request.
    Early,
    /// After the first token.
    Late,
}

/// Requests suspected of crashing endpoints.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: BTreeMap<Fingerprint, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Points counted by each daemon; a daemon's count only grows.
    points: BTreeMap<String, u32>,
    expires_at: Instant,
}

impl Suspects {
    /// Records a crash that `daemon` observed and returns the points that it has
    /// counted for the request so far.
    pub fn record_crash(
        &mut self,
        now: Instant,
        daemon: &str,
        fingerprint: Fingerprint,
        crash: Crash,
    ) -> u32 {
        let points = match crash {
            Crash::Early => EARLY_CRASH_POINTS,
            Crash::Late => LATE_CRASH_POINTS,
        };
        let suspect = self.entry(now, fingerprint);
        let counted = suspect.points.entry(daemon.to_owned()).or_default();
        *counted += points;
        *counted
    }

    /// Merges the points counted by another daemon. Idempotent, and the order of
    /// reports does not matter.
    pub fn merge_remote(
        &mut self,
        now: Instant,
        daemon: &str,
        fingerprint: Fingerprint,
        points: u32,
    ) {
        let suspect = self.entry(now, fingerprint);
        let counted = suspect.points.entry(daemon.to_owned()).or_default();
        *counted = points.max(*counted);
    }

    /// Whether the request must be rejected.
    pub fn is_rejected(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let suspect = self.by_fingerprint.get(&fingerprint).filter(|it| it.expires_at > now);
        suspect.is_some_and(|it| it.points.values().sum::<u32>() >= POINT_LIMIT)
    }

    fn entry(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Suspect {
        self.by_fingerprint.retain(|_, it| it.expires_at > now);
        if self.by_fingerprint.len() >= MAX_REQUESTS
            && !self.by_fingerprint.contains_key(&fingerprint)
        {
            let oldest = self.by_fingerprint.iter().min_by_key(|(_, it)| it.expires_at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.by_fingerprint.remove(&oldest);
            }
        }
        let new = Suspect { points: BTreeMap::new(), expires_at: now + RETENTION };
        let suspect = self.by_fingerprint.entry(fingerprint).or_insert(new);
        suspect.expires_at = now + RETENTION;
        suspect
    }
}
