//! Prompt parts to which endpoints have responded, and responses that may yet turn out to be
//! crashes.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Instance;
use crate::subject::Subject;

/// Number of parts after which the older half of the memory is dropped.
const MAX_RECENT_PARTS: usize = 4_096;
/// How long a response waits for a sign that its endpoint is alive.
const CONFIRMATION_TIME: Duration = Duration::from_secs(10);
/// Maximum number of responses that wait.
const MAX_UNCONFIRMED: usize = 1_024;

/// Parts to which endpoints have responded, with the time of the last complete response. The
/// least recently used ones are forgotten.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    current: HashMap<u64, Option<Instant>>,
    previous: HashMap<u64, Option<Instant>>,
}

impl Recent {
    /// Records a complete response, or one that makes progress if there is no time.
    pub fn record(&mut self, part: u64, completed_at: Option<Instant>) {
        let latest = self.completed_at(part).max(completed_at);
        self.current.insert(part, latest);
        if self.current.len() >= MAX_RECENT_PARTS {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Whether an endpoint has responded to the part.
    pub fn contains(&self, part: u64) -> bool {
        self.current.contains_key(&part) || self.previous.contains_key(&part)
    }

    /// Returns when the latest response to the part was complete.
    pub fn completed_at(&self, part: u64) -> Option<Instant> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied().flatten()
    }
}

/// Responses of which only the end of the connection marks the end. They count as complete
/// once their endpoint has responded to a later request.
#[derive(Clone, Debug, Default)]
pub struct Unconfirmed {
    by_instance: HashMap<Instance, Vec<Response>>,
    count: usize,
}

/// A response that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// When it ended.
    pub at: Instant,
    /// Subjects of its request.
    pub subjects: Vec<Subject>,
}

impl Unconfirmed {
    /// Adds a response. Drops it if too many wait.
    pub fn push(&mut self, instance: Instance, response: Response) {
        self.remove_expired(response.at);
        if self.count < MAX_UNCONFIRMED {
            self.count += 1;
            self.by_instance.entry(instance).or_default().push(response);
        }
    }

    /// Returns the responses that are confirmed by a response of the instance to a request
    /// sent at `sent_at`.
    pub fn confirm(&mut self, instance: Instance, sent_at: Instant) -> Vec<Response> {
        let Some(waiting) = self.by_instance.remove(&instance) else { return Vec::new() };
        let (confirmed, left): (Vec<Response>, Vec<Response>) =
            waiting.into_iter().partition(|it| it.at <= sent_at);
        self.count -= confirmed.len();
        if !left.is_empty() {
            self.by_instance.insert(instance, left);
        }
        confirmed
    }

    fn remove_expired(&mut self, now: Instant) {
        if self.count < MAX_UNCONFIRMED {
            return;
        }
        self.by_instance.retain(|_, waiting| {
            waiting.retain(|it| now < it.at + CONFIRMATION_TIME);
            !waiting.is_empty()
        });
        self.count = self.by_instance.values().map(Vec::len).sum();
    }
}
