//! Choice of the requests that get a workspace's units while it asks for more than its limit.
//!
//! Answers a workspace whose callers ask for a multiple of its limit at all daemons at once. If
//! the first to ask got the units, large requests of low urgency would use nearly all of them,
//! and all daemons would use a second's units in a moment and then reject everything. So each
//! daemon admits a part of what it is asked for: its part of the supply over its part of the
//! demand. The most urgent kinds come first, and small requests before large ones, but each kind
//! and each size is served at a minimum ratio to the others.
//!
//! A daemon hears what others admit with a delay, and doesn't hear what they are asked for. It
//! assumes that demand has grown elsewhere as it has grown here. Where most requests arrive at a
//! few daemons, this isn't so, and these serve them in the order of arrival.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::queue::Group;
use crate::queue::Queue;

/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time over which admitted units are averaged, like the rates of other daemons.
const ADMITTED_TIME: Duration = Duration::from_secs(2);
/// Delay of the average, like that with which other daemons are heard.
const REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// Requests of any kind are served at least this often, relative to all requests. Callers need a
/// quarter, which chance must not undercut.
const MIN_KIND_RATIO: f64 = 0.3;
/// Requests of any size are served at least this often, relative to all of their kind. Callers
/// need half.
const MIN_SIZE_RATIO: f64 = 0.6;
/// Standard errors by which the demand must exceed the supply before any request is rejected.
const CONFIDENCE: f64 = 1.5;
/// Multiple of the other daemons' mean rate beyond which requests arrive mostly here.
const CONCENTRATION: f64 = 2.0;
/// Part of the mean of the other daemons that this one must have admitted for its growth to say
/// something about theirs.
const MIN_COMPARABLE: f64 = 0.25;
/// Classes that are told apart. Beyond it, requests count by their rank and size only.
const MAX_CLASSES: usize = 256;
/// Flows below this number of units per second are forgotten.
const MIN_FLOW: f64 = 1e-3;
/// Rounding error of fractions.
const TOLERANCE: f64 = 1e-9;
/// Longest time after which a rejected caller is asked to come back.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// A request for units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Priority of its route; 0 is the most urgent.
    pub rank: u8,
    /// Identity of its route. Requests of one route are of one kind.
    pub kind: u64,
    /// Units that it takes.
    pub units: f64,
}

/// Units that daemons may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Units per second over all daemons.
    pub total: f64,
    /// Units per second that they may be asked for before any request is rejected: all that
    /// comes free, and a part of what is left.
    pub peak: f64,
    /// Units per second that the other daemons admit, as far as known.
    pub others: f64,
    /// Number of daemons, including this one.
    pub daemons: usize,
}

/// Rejection of a request, with the figures that it depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Time until a request of this rank and size is expected to be admitted.
    pub wait: Duration,
    /// Units per second that this daemon is asked for.
    pub asked: f64,
    /// Units per second of it that this daemon may admit.
    pub granted: f64,
    /// Fraction of requests of this rank and size that is admitted.
    pub fraction: f64,
}

/// Part of the supply that a request gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Units by which the request may exceed the daemon's share: while units are short, requests
    /// that are served in full use what a larger one might, so that they needn't wait until the
    /// share of one is paid.
    pub headroom: f64,
    /// Whether it took credit of its class.
    is_charged: bool,
}

/// Requests of one kind and similar size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    rank: u8,
    kind: u64,
    /// Binary logarithm of the units.
    size: u8,
}

impl Class {
    fn new(request: &Request) -> Class {
        let size = request.units.max(1.0).log2() as u8;
        Class { rank: request.rank, kind: request.kind, size }
    }
}

/// A sum that decays over time.
#[derive(Clone, Copy, Debug)]
struct Average {
    sum: f64,
    time: Duration,
    updated_at: Instant,
}

impl Average {
    fn new(time: Duration, now: Instant) -> Average {
        Average { sum: 0.0, time, updated_at: now }
    }

    fn add(&mut self, units: f64, now: Instant) {
        self.sum = self.sum(now) + units;
        self.updated_at = now;
    }

    fn sum(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.sum * (-elapsed / self.time.as_secs_f64()).exp()
    }

    fn rate(&self, now: Instant) -> f64 {
        self.sum(now) / self.time.as_secs_f64()
    }
}

/// Demand of one class.
#[derive(Clone, Copy, Debug)]
struct Flow {
    asked: Average,
    requests: Average,
    /// Units due to the class that no request has taken yet. Negative if one took more.
    credit: f64,
    /// Whether a request of the class was admitted recently.
    is_admitted: bool,
}

/// Recent demand for the units of a workspace at one daemon.
#[derive(Clone, Debug)]
pub struct Demand {
    flows: BTreeMap<Class, Flow>,
    /// Squares of the units of requests, for the error of the demand.
    squares: Average,
    admitted: Average,
    /// Units per second that were admitted when those of other daemons were that are known now.
    formerly_admitted: f64,
    formerly_at: Instant,
    /// Spreads what daemons do alike: in [0, 1), different on each.
    phase: f64,
    rejected: u32,
}

impl Demand {
    /// Creates the demand of a daemon that was asked for nothing yet.
    pub fn new(now: Instant) -> Demand {
        Demand {
            flows: BTreeMap::new(),
            squares: Average::new(DEMAND_TIME / 2, now),
            admitted: Average::new(ADMITTED_TIME, now),
            formerly_admitted: 0.0,
            formerly_at: now,
            phase: 0.5,
            rejected: 0,
        }
    }

    /// Sets where in the sequence of requests this daemon begins to admit: in [0, 1), different on
    /// each daemon.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase;
    }

    /// Counts a request and decides whether it gets a part of the supply.
    ///
    /// # Errors
    ///
    /// If requests that go before it, or earlier ones of its kind, need the supply.
    pub fn request(
        &mut self,
        request: &Request,
        supply: &Supply,
        now: Instant,
    ) -> Result<Grant, Rejection> {
        // Callers may ask for nothing, which would have no fraction.
        if request.units.is_nan() || request.units <= 0.0 {
            return Ok(Grant::default());
        }
        let class = self.class(request);
        self.follow_admitted(now);
        self.count(class, request.units, now);
        let asked: f64 = self.flows.values().map(|it| it.asked.rate(now)).sum();
        if self.is_concentrated(supply) || !self.is_scarce(asked, supply, now) {
            return Ok(Grant::default());
        }
        let granted = supply.total * asked / (asked + self.others(asked, supply));
        let fraction = self.fraction(class, granted.min(asked), now);
        let largest = self.largest_admitted();
        let Some(flow) = self.flows.get_mut(&class) else { return Ok(Grant::default()) };
        flow.credit += fraction * request.units;
        let is_served_in_full = fraction > 1.0 - TOLERANCE;
        if is_served_in_full || flow.credit >= request.units / 2.0 {
            flow.credit = (flow.credit - request.units).max(-request.units);
            let headroom = if is_served_in_full { (largest - request.units).max(0.0) } else { 0.0 };
            return Ok(Grant { headroom, is_charged: true });
        }
        let rate = fraction * flow.asked.rate(now);
        let wait = wait(request.units / 2.0 - flow.credit, rate);
        Err(Rejection { wait: self.spread(wait), asked, granted, fraction })
    }

    /// Counts a request that was admitted.
    pub fn admit(&mut self, request: &Request, now: Instant) {
        self.admitted.add(request.units, now);
        let class = self.class(request);
        if let Some(flow) = self.flows.get_mut(&class) {
            flow.is_admitted = true;
        }
    }

    /// Returns the credit of a request that the bucket rejected.
    pub fn give_back(&mut self, request: &Request, grant: &Grant) {
        let class = self.class(request);
        if let Some(flow) = self.flows.get_mut(&class).filter(|_| grant.is_charged) {
            flow.credit = (flow.credit + request.units).min(request.units);
        }
    }

    /// Takes back units that admitted requests did not use.
    pub fn refund(&mut self, units: f64) {
        self.admitted.sum = (self.admitted.sum - units).max(0.0);
    }

    /// Extends a wait, so that callers rejected at the same time come back one after the other.
    pub fn spread(&mut self, wait: Duration) -> Duration {
        const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
        self.rejected = self.rejected.wrapping_add(1);
        let position = (self.phase + f64::from(self.rejected) * GOLDEN_RATIO).fract();
        wait.mul_f64(1.0 + position / 2.0)
    }

    /// Returns the least units of the class of the largest requests that were admitted.
    fn largest_admitted(&self) -> f64 {
        let sizes = self.flows.iter().filter(|(_, it)| it.is_admitted).map(|(it, _)| it.size);
        sizes.max().map_or(0.0, |it| f64::from(it).exp2())
    }

    fn class(&self, request: &Request) -> Class {
        let class = Class::new(request);
        if self.flows.len() < MAX_CLASSES || self.flows.contains_key(&class) {
            return class;
        }
        Class { kind: 0, ..class }
    }

    fn follow_admitted(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.formerly_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / REPORT_DELAY.as_secs_f64()).exp();
        self.formerly_admitted += (self.admitted.rate(now) - self.formerly_admitted) * weight;
        self.formerly_at = now;
    }

    fn count(&mut self, class: Class, units: f64, now: Instant) {
        let phase = self.phase;
        self.flows.retain(|it, flow| *it == class || flow.asked.rate(now) > MIN_FLOW);
        let flow = self.flows.entry(class).or_insert_with(|| Flow {
            asked: Average::new(DEMAND_TIME, now),
            requests: Average::new(DEMAND_TIME, now),
            credit: (phase - 0.5) * units,
            is_admitted: false,
        });
        flow.asked.add(units, now);
        flow.requests.add(1.0, now);
        self.squares.add(units * units, now);
    }

    /// Whether the demand exceeds the supply beyond what chance explains. A daemon that gets a
    /// request of a small workspace now and then can't tell.
    fn is_scarce(&self, asked: f64, supply: &Supply, now: Instant) -> bool {
        let error = self.squares.sum(now).sqrt() / DEMAND_TIME.as_secs_f64();
        let certain = asked - CONFIDENCE * error;
        certain > 0.0 && certain + self.others(certain, supply) > supply.peak.max(supply.total)
    }

    /// Whether this daemon admits far more than the others, so that demand here says nothing about
    /// demand there. It then serves requests in the order of arrival.
    fn is_concentrated(&self, supply: &Supply) -> bool {
        let others = supply.daemons.saturating_sub(1).max(1) as f64;
        supply.daemons > 1 && self.formerly_admitted > CONCENTRATION * supply.others / others
    }

    /// Returns the units per second that the other daemons are asked for, if demand has grown
    /// there as much as it has here. Load that has moved here from other daemons says nothing
    /// about theirs.
    fn others(&self, asked: f64, supply: &Supply) -> f64 {
        let others = supply.daemons.saturating_sub(1) as f64;
        if self.formerly_admitted * others < MIN_COMPARABLE * supply.others {
            return supply.others;
        }
        let alike = asked * others;
        let admitted = self.formerly_admitted.max(MIN_FLOW);
        supply.others.max((supply.others * asked / admitted).min(alike))
    }

    /// Returns the fraction of a class that is admitted if `granted` units per second are.
    fn fraction(&self, class: Class, granted: f64, now: Instant) -> f64 {
        let mut kinds: Vec<Kind> = Vec::new();
        let mut sizes = Queue::new();
        for (it, flow) in &self.flows {
            let group = Group { units: flow.asked.rate(now), requests: flow.requests.rate(now) };
            match kinds.last_mut().filter(|last| (last.rank, last.id) == (it.rank, it.kind)) {
                Some(last) => last.group.join(&group),
                None => kinds.push(Kind { rank: it.rank, id: it.kind, group }),
            }
            if (it.rank, it.kind) == (class.rank, class.kind) {
                sizes.push(it.size, group);
            }
        }
        kinds.sort_by(Kind::order);
        let mut queue = Queue::new();
        kinds.iter().for_each(|it| queue.push((it.rank, it.id), it.group));
        let of_kind = queue.fraction((class.rank, class.kind), granted, MIN_KIND_RATIO);
        sizes.fraction(class.size, of_kind * sizes.units(), MIN_SIZE_RATIO)
    }
}

/// Demand of one kind of requests.
#[derive(Clone, Copy, Debug)]
struct Kind {
    rank: u8,
    id: u64,
    group: Group,
}

impl Kind {
    /// Orders kinds by urgency, and those of equal urgency by their mean size.
    fn order(&self, other: &Kind) -> Ordering {
        let mean = |it: &Kind| it.group.units / it.group.requests;
        self.rank.cmp(&other.rank).then(mean(self).total_cmp(&mean(other)))
    }
}

fn wait(units: f64, rate: f64) -> Duration {
    let seconds = if rate > 0.0 { units / rate } else { f64::MAX };
    // A clamp would keep a value that is not a number, from which no duration can be made.
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_WAIT.as_secs_f64()))
}
