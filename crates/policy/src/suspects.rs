//! Requests that crash endpoints: deaths counted by content, on all daemons.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_128;

/// Points at which a request is refused.
pub const LIMIT: u32 = 4;
/// Points of a death before the first token of the request.
const EARLY_DEATH: u32 = 2;
/// Points of a death after it: another request may be the cause.
const LATE_DEATH: u32 = 1;
/// Time after the last death at which a request is forgotten.
const KEEP: Duration = Duration::from_secs(900);
/// Most requests remembered.
const CAPACITY: usize = 1024;

/// Names a request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request to a service.
    pub fn of(service: &str, content: &[&[u8]]) -> Fingerprint {
        let mut bytes = service.as_bytes().to_vec();
        for part in content {
            bytes.extend((part.len() as u64).to_be_bytes());
            bytes.extend_from_slice(part);
        }
        Fingerprint(xxh3_128(&bytes))
    }
}

/// When an endpoint died under an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Death {
    /// Before the first token of the request.
    Early,
    /// After it.
    Late,
}

/// Requests under suspicion.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: BTreeMap<Fingerprint, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Points counted by each daemon; a daemon's own count only grows.
    points: BTreeMap<String, u32>,
    forget_at: Instant,
}

impl Suspects {
    /// Counts a death seen by `daemon`; gives the points that it has counted.
    pub fn count(&mut self, now: Instant, daemon: &str, print: Fingerprint, death: Death) -> u32 {
        let points = match death {
            Death::Early => EARLY_DEATH,
            Death::Late => LATE_DEATH,
        };
        let suspect = self.entry(now, print);
        let counted = suspect.points.entry(daemon.to_owned()).or_default();
        *counted += points;
        *counted
    }

    /// Takes what another daemon has counted.
    pub fn merge(&mut self, now: Instant, daemon: &str, print: Fingerprint, points: u32) {
        let suspect = self.entry(now, print);
        let counted = suspect.points.entry(daemon.to_owned()).or_default();
        *counted = points.max(*counted);
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, now: Instant, print: Fingerprint) -> bool {
        let suspect = self.by_fingerprint.get(&print).filter(|it| it.forget_at > now);
        suspect.is_some_and(|it| it.points.values().sum::<u32>() >= LIMIT)
    }

    fn entry(&mut self, now: Instant, print: Fingerprint) -> &mut Suspect {
        self.by_fingerprint.retain(|_, it| it.forget_at > now);
        if self.by_fingerprint.len() >= CAPACITY && !self.by_fingerprint.contains_key(&print) {
            let oldest = self.by_fingerprint.iter().min_by_key(|(_, it)| it.forget_at);
            if let Some(oldest) = oldest.map(|(print, _)| *print) {
                self.by_fingerprint.remove(&oldest);
            }
        }
        let fresh = Suspect { points: BTreeMap::new(), forget_at: now + KEEP };
        let suspect = self.by_fingerprint.entry(print).or_insert(fresh);
        suspect.forget_at = now + KEEP;
        suspect
    }
}
