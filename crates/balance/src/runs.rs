//! Which process began a stream at an endpoint that states no start, if it turns out later that
//! another process had started than the one that the endpoint's entry described.
//!
//! The begin of a stream doesn't tell the two apart if it is near to the start. But a process has
//! ended before the next one starts, so that a stream that is still sent after the entry of a later
//! process was read began at that one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Instance;
use crate::origin::Key;
use crate::origin::MAX_CLOCK_SKEW;

/// Maximum number of streams.
const MAX_RUNS: usize = 16_384;
/// Maximum number of instances whose successors are remembered.
const MAX_SUCCESSORS: usize = 8_192;
/// Time after which bytes that an endpoint has sent are received, unless its link is cut.
const MAX_LINK_DELAY: Duration = Duration::from_secs(1);

/// A stream at a process that is not known.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Instance by whose entry it was placed.
    instance: Instance,
    address: SocketAddr,
    began_at: Instant,
    /// A time at which the process was still running.
    running_at: Instant,
    expires_at: Instant,
    /// Whether its process has become known. It still shows for how long that one went on.
    is_known: bool,
}

/// A process whose entry has replaced that of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// Identity of its entry.
    pub described: Instance,
    /// Identity of the process.
    pub confirmed: Instance,
    /// Its software version; empty until its entry is read.
    pub software: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// When it started, by the clock of the endpoint.
    pub started_at: Instant,
    /// When its entry was read.
    pub read_at: Instant,
}

/// Streams that began here at processes that are not known.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    by_key: HashMap<Key, Run>,
    successors: HashMap<Instance, Successor>,
    /// Instances in the order in which their successors became known.
    order: VecDeque<Instance>,
}

impl Runs {
    /// Records that a stream began that was placed by the entry of an instance at an address.
    pub fn begin(
        &mut self,
        key: Key,
        instance: Instance,
        address: SocketAddr,
        lifetime: Duration,
        now: Instant,
    ) {
        // A caller may have used the id of a stream twice.
        if self.by_key.remove(&key).is_some() || self.by_key.len() >= MAX_RUNS {
            return;
        }
        let run = Run {
            instance,
            address,
            began_at: now,
            running_at: now,
            expires_at: now + lifetime,
            is_known: false,
        };
        self.by_key.insert(key, run);
    }

    /// Records a time at which the process that began a stream was still running.
    pub fn extend(&mut self, key: Key, running_at: Instant) {
        if let Some(run) = self.by_key.get_mut(&key) {
            run.running_at = run.running_at.max(running_at);
        }
    }

    /// Records that the process of a stream has become known otherwise.
    pub fn settle(&mut self, key: Key) {
        if let Some(run) = self.by_key.get_mut(&key) {
            run.is_known = true;
        }
    }

    /// Records that the entry of a later process has replaced that of an instance.
    pub fn record_successor(&mut self, instance: Instance, successor: Successor) {
        if self.successors.insert(instance, successor).is_none() {
            self.order.push_back(instance);
        }
        if self.order.len() > MAX_SUCCESSORS
            && let Some(oldest) = self.order.pop_front()
        {
            self.successors.remove(&oldest);
        }
    }

    /// Records the software version of a process, from its entry.
    pub fn learn(&mut self, confirmed: Instance, software: &str) {
        let unread = self.successors.values_mut().filter(|it| it.software.is_empty());
        for successor in unread.filter(|it| it.confirmed == confirmed) {
            software.clone_into(&mut successor.software);
        }
    }

    /// Returns the streams whose processes have become known. A process that has been
    /// running for `registration_time` has written its entry, and all entries that were written
    /// until `complete_until` have been read.
    pub fn take_identified(
        &mut self,
        registration_time: Duration,
        complete_until: Option<Instant>,
    ) -> Vec<(Key, Successor)> {
        let Some(complete_until) = complete_until.filter(|_| !self.successors.is_empty()) else {
            return Vec::new();
        };
        let overlapping = self.overlapping();
        let is_registered =
            |it: &Run| it.began_at + registration_time <= complete_until.min(it.running_at);
        let identified: Vec<(Key, Successor)> = self
            .by_key
            .iter()
            .filter(|(_, it)| !it.is_known && is_registered(it))
            .filter(|(_, it)| !overlapping.contains(&it.instance))
            .filter_map(|(key, run)| Some((*key, self.process(run)?.clone())))
            .collect();
        for (key, _) in &identified {
            self.settle(*key);
        }
        identified
    }

    /// Forgets streams that can't be taken up any more.
    pub fn remove_expired(&mut self, now: Instant) {
        self.by_key.retain(|_, it| now < it.expires_at);
    }

    /// Returns the process of a stream if it is the successor of the one that was known, and the
    /// entries of all processes that may have begun it were read.
    fn process(&self, run: &Run) -> Option<&Successor> {
        let successor = self.successors.get(&run.instance)?;
        let may_have_begun = |it: &Successor| it.started_at <= run.began_at + MAX_CLOCK_SKEW;
        let later = self.successors.get(&successor.described);
        let is_sole = !successor.software.is_empty()
            && successor.address == run.address
            && may_have_begun(successor)
            && successor.read_at + MAX_LINK_DELAY <= run.running_at
            && !later.is_some_and(may_have_begun);
        is_sole.then_some(successor)
    }

    /// Returns the instances that went on beside their successors, so that nothing follows from
    /// the time at which a process was running.
    fn overlapping(&self) -> HashSet<Instance> {
        let overlaps = |it: &&Run| {
            self.successors.get(&it.instance).is_some_and(|successor| {
                it.began_at + MAX_CLOCK_SKEW < successor.started_at
                    && it.running_at >= successor.read_at + MAX_LINK_DELAY
            })
        };
        self.by_key.values().filter(overlaps).map(|it| it.instance).collect()
    }
}
