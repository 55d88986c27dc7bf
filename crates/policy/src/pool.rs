//! The endpoints of a service as one daemon knows them, and the few of them
//! that are worth scoring for a request.

use std::collections::HashMap;
use std::time::Duration;

use crate::blocks::BLOCK_TOKENS;
use crate::hints::Event;
use crate::hints::Hints;
use crate::ring;
use crate::route::Candidate;

/// Points of an endpoint on the ring.
const POINTS: u64 = 8;
/// Pools up to this size are scored whole.
const SCORED_WHOLE: usize = 16;
/// Endpoints taken from a ring for an anchor.
const PER_ANCHOR: usize = 3;
/// Endpoints taken when the nearest ones are full.
const WIDENED: usize = 12;
/// Blocks by which requests with a common beginning meet.
const SHALLOW_BLOCKS: usize = 4;
/// Blocks by which requests on the same long text meet.
const DEEP_BLOCKS: usize = 32;
/// Part of the pool that counts as cheap, as a divisor.
const CHEAP_PART: usize = 4;
/// Time after which what is sent shows in a load report.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Time by which an endpoint without own work is asked later.
const IDLE_POLL_DELAY: Duration = Duration::from_secs(1);
/// Share of a new measurement in the estimate of what other daemons have.
const OTHERS_SHARE: f64 = 0.6;
/// Queueing time from which an endpoint was full.
const QUEUED_MS: f64 = 60.0;
/// Share of a prompt that the endpoint nearest to it has cached, by the sends
/// of all daemons.
const HOME_SHARE: f64 = 0.8;
/// The same of the nearest one at each price, where work goes for its price.
const PRICE_HOME_SHARE: f64 = 0.4;
/// Time in which what is known of other daemons' work loses most of its worth.
const REPORT_LIMIT: Duration = Duration::from_secs(15);
/// Sequences that an endpoint runs at once for the choice between endpoints,
/// as long as it has not said: few, so that none is filled blindly.
const CAPACITY_UNKNOWN: u32 = 8;
/// The same for what all endpoints can take: many, so that none is refused.
const PLACES_UNKNOWN: f64 = 32.0;

/// Load as reported by an endpoint, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Sequences that run at once.
    pub capacity: u32,
}

/// An endpoint and what is known about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the VM.
    pub id: String,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
    usable: bool,
    in_flight: u32,
    capacity: u32,
    /// Own sequences as a report of now would show them.
    reported_own: f64,
    reported_own_at: Duration,
    /// Estimated sequences of other daemons, and when it was made.
    others: Option<(Duration, f64)>,
    polled_at: Duration,
    hints: Hints,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    at: u64,
    member: usize,
}

/// Endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    by_id: HashMap<String, usize>,
    all: Vec<Point>,
    cheap: Vec<Point>,
    mean_price: f64,
    usable: usize,
    changed: bool,
}

/// A request for which candidates are sought.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Chained hashes of its prompt.
    pub blocks: &'a [u64],
    /// Name hashed when the prompt has no whole block.
    pub name: &'a str,
    /// Endpoints not to be chosen.
    pub avoid: &'a [String],
    /// Time.
    pub now: Duration,
}

impl Pool {
    /// Adds an endpoint or changes its price and whether it takes work.
    pub fn set(&mut self, id: &str, price_per_hour: f64, usable: bool) {
        match self.by_id.get(id) {
            Some(at) => {
                self.members[*at].price_per_hour = price_per_hour;
                self.members[*at].usable = usable;
            }
            None => {
                self.by_id.insert(id.to_owned(), self.members.len());
                self.members.push(Member::new(id, price_per_hour, usable));
            }
        }
        self.changed = true;
    }

    /// Takes changes of endpoints into account; call it before candidates
    /// are sought.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut usable: Vec<usize> =
            (0..self.members.len()).filter(|at| self.members[*at].usable).collect();
        self.usable = usable.len();
        self.all = self.ring(&usable);
        let price = |at: &usize| self.members[*at].price_per_hour;
        usable.sort_by(|one, other| price(one).total_cmp(&price(other)));
        self.mean_price = usable.iter().map(price).sum::<f64>() / usable.len().max(1) as f64;
        usable.truncate(usable.len().div_ceil(CHEAP_PART));
        self.cheap = self.ring(&usable);
    }

    /// Forgets what was known about an endpoint that was replaced.
    pub fn reset(&mut self, id: &str) {
        if let Some(member) = self.member(id) {
            let fresh = Member::new(id, member.price_per_hour, member.usable);
            *member = Member { in_flight: member.in_flight, ..fresh };
        }
    }

    /// A request was sent.
    pub fn sent(&mut self, id: &str, blocks: &[u64], now: Duration) {
        let Some(member) = self.member(id) else { return };
        member.settle_own(now);
        member.in_flight += 1;
        member.hints.predict(blocks, now);
    }

    /// A request ended.
    pub fn closed(&mut self, id: &str, now: Duration) {
        if let Some(member) = self.member(id) {
            member.settle_own(now);
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// A load report came.
    pub fn reported(&mut self, id: &str, report: Report, now: Duration) {
        let Some(member) = self.member(id) else { return };
        member.settle_own(now);
        member.capacity = report.capacity;
        let others = f64::from(report.running + report.waiting) - member.reported_own;
        member.estimate_others(others.max(0.0), now);
    }

    /// A first token showed that its request queued between two bounds;
    /// `hold_ms` is the time for which a sequence holds its place.
    pub fn queued(&mut self, id: &str, least_ms: f64, most_ms: f64, hold_ms: f64, now: Duration) {
        let Some(member) = self.member(id) else { return };
        let capacity = member.capacity();
        let own = f64::from(member.in_flight);
        let known = member.others_now(now);
        if least_ms > QUEUED_MS {
            let waiting = least_ms * capacity / hold_ms.max(1.0);
            member.estimate_others((capacity + waiting - own).max(known), now);
        } else if most_ms < QUEUED_MS {
            member.estimate_others((capacity - own).clamp(0.0, known), now);
        }
    }

    /// Cache events came.
    pub fn cache_events(&mut self, id: &str, events: &[Event], now: Duration) {
        if let Some(member) = self.member(id) {
            member.hints.take(events, now);
        }
    }

    /// Blocks are cached at an endpoint, the generated ones among them.
    pub fn cached(&mut self, id: &str, blocks: &[u64], now: Duration) {
        if let Some(member) = self.member(id) {
            member.hints.predict(blocks, now);
        }
    }

    /// The endpoint to ask next for its load: the one longest not asked, those
    /// in use twice as often as others.
    pub fn next_poll(&mut self, now: Duration) -> Option<(String, u64)> {
        let usable = self.members.iter_mut().filter(|it| it.usable);
        let next = usable.min_by_key(|it| it.poll_due())?;
        next.polled_at = now;
        Some((next.id.clone(), next.hints.sequence()))
    }

    /// Endpoints that take work.
    pub fn len(&self) -> usize {
        self.usable
    }

    /// Whether no endpoint takes work.
    pub fn is_empty(&self) -> bool {
        self.usable == 0
    }

    /// Estimated places that are free, and all places.
    pub fn places(&self, now: Duration) -> (f64, f64) {
        let query = Query { blocks: &[], name: "", avoid: &[], now };
        let usable = self.members.iter().filter(|it| it.usable);
        usable.fold((0.0, 0.0), |(free, all), it| {
            let capacity = if it.capacity > 0 { it.capacity() } else { PLACES_UNKNOWN };
            (free + (capacity - it.busy(&query)).max(0.0), all + capacity)
        })
    }

    /// Every endpoint that takes work, nearest to the prompt first.
    pub fn everyone<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        let mut found = Found::new(self.members.len());
        self.walk(&self.all, query, query.anchor(), usize::MAX, &mut found);
        self.view(&found.order, query)
    }

    /// The endpoints worth scoring, nearest to the prompt first.
    pub fn candidates<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        if self.usable <= SCORED_WHOLE {
            return self.everyone(query);
        }
        let mut found = Found::new(self.members.len());
        let anchor = query.anchor();
        self.walk(&self.all, query, anchor, PER_ANCHOR, &mut found);
        self.walk(&self.cheap, query, anchor, PER_ANCHOR, &mut found);
        self.walk(&self.all, query, query.second_anchor(), PER_ANCHOR, &mut found);
        let is_full = |at: &usize| {
            let member = &self.members[*at];
            member.busy(query) >= member.capacity()
        };
        if found.order.iter().all(is_full) {
            self.walk(&self.all, query, anchor, WIDENED, &mut found);
        }
        self.view(&found.order, query)
    }

    fn walk(&self, ring: &[Point], query: &Query<'_>, anchor: u64, most: usize, found: &mut Found) {
        let start = ring.partition_point(|it| it.at < anchor);
        let mut taken = 0;
        for point in ring[start..].iter().chain(&ring[..start]) {
            if taken == most {
                return;
            }
            let member = &self.members[point.member];
            if query.avoid.contains(&member.id) || !found.add(point.member) {
                continue;
            }
            taken += 1;
        }
    }

    fn view<'a>(&'a self, order: &[usize], query: &Query<'_>) -> Vec<Candidate<'a>> {
        let mut prices_seen: Vec<f64> = Vec::new();
        let mut candidates = Vec::with_capacity(order.len());
        for (place, at) in order.iter().enumerate() {
            let member = &self.members[*at];
            let is_first_at_price = !prices_seen.contains(&member.price_per_hour);
            if is_first_at_price {
                prices_seen.push(member.price_per_hour);
            }
            let home = match (place, is_first_at_price) {
                (0, _) => HOME_SHARE,
                (_, true) => PRICE_HOME_SHARE,
                _ => 0.0,
            };
            let cached = member.hints.cached(query.blocks, query.now);
            candidates.push(Candidate {
                id: &member.id,
                price: self.relative_price(member),
                busy: member.busy(query),
                capacity: member.capacity(),
                cached_tokens: (cached * BLOCK_TOKENS) as u32,
                home,
            });
        }
        candidates
    }

    fn relative_price(&self, member: &Member) -> f64 {
        if self.mean_price > 0.0 { member.price_per_hour / self.mean_price } else { 1.0 }
    }

    fn member(&mut self, id: &str) -> Option<&mut Member> {
        self.by_id.get(id).map(|at| &mut self.members[*at])
    }

    fn ring(&self, members: &[usize]) -> Vec<Point> {
        let points = |at: &usize| {
            let member = *at;
            let id = &self.members[member].id;
            (0..POINTS).map(move |number| Point { at: ring::point(id, number), member })
        };
        let mut ring: Vec<Point> = members.iter().flat_map(points).collect();
        ring.sort_by_key(|it| it.at);
        ring
    }
}

impl Member {
    fn new(id: &str, price_per_hour: f64, usable: bool) -> Member {
        Member {
            id: id.to_owned(),
            price_per_hour,
            usable,
            in_flight: 0,
            capacity: 0,
            reported_own: 0.0,
            reported_own_at: Duration::ZERO,
            others: None,
            polled_at: Duration::ZERO,
            hints: Hints::default(),
        }
    }

    /// Order in which endpoints are asked; idle ones come later, never last.
    fn poll_due(&self) -> Duration {
        self.polled_at + if self.in_flight == 0 { IDLE_POLL_DELAY } else { Duration::ZERO }
    }

    /// Brings the own part of a report up to now.
    fn settle_own(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.reported_own_at).as_secs_f64();
        let left = (-passed / REPORT_LAG.as_secs_f64()).exp();
        let own = f64::from(self.in_flight);
        self.reported_own = own + (self.reported_own - own) * left;
        self.reported_own_at = now;
    }

    fn estimate_others(&mut self, others: f64, now: Duration) {
        let before = self.others.map_or(others, |(_, before)| before);
        self.others = Some((now, before + (others - before) * OTHERS_SHARE));
    }

    fn others_now(&self, now: Duration) -> f64 {
        let Some((at, others)) = self.others else { return 0.0 };
        let age = now.saturating_sub(at).as_secs_f64();
        others * (-age / REPORT_LIMIT.as_secs_f64()).exp()
    }

    fn capacity(&self) -> f64 {
        f64::from(if self.capacity > 0 { self.capacity } else { CAPACITY_UNKNOWN })
    }

    /// Sequences there now: the own ones, and what the last reports and first
    /// tokens showed of other daemons'.
    fn busy(&self, query: &Query<'_>) -> f64 {
        f64::from(self.in_flight) + self.others_now(query.now)
    }
}

impl Query<'_> {
    /// Hash by which requests meet: by a deep block when they are long, so
    /// that a common introduction does not bring everything to one place.
    fn anchor(&self) -> u64 {
        if self.blocks.len() >= 2 * DEEP_BLOCKS {
            return self.blocks[DEEP_BLOCKS - 1];
        }
        self.second_anchor()
    }

    fn second_anchor(&self) -> u64 {
        match self.blocks.len().min(SHALLOW_BLOCKS).checked_sub(1) {
            Some(last) => self.blocks[last],
            None => ring::point(self.name, 0),
        }
    }
}

struct Found {
    order: Vec<usize>,
    taken: Vec<u64>,
}

impl Found {
    fn new(members: usize) -> Found {
        Found { order: Vec::with_capacity(SCORED_WHOLE), taken: vec![0; members.div_ceil(64)] }
    }

    fn add(&mut self, member: usize) -> bool {
        let (word, bit) = (member / 64, 1 << (member % 64));
        if self.taken[word] & bit != 0 {
            return false;
        }
        self.taken[word] |= bit;
        self.order.push(member);
        true
    }
}
