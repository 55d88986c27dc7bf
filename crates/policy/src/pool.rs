//! One daemon's view of the endpoints of a service, and the selection of the few
//! that are worth scoring for a request.

use std::collections::HashMap;
use std::time::Duration;

use crate::blocks::BLOCK_TOKENS;
use crate::hints::Event;
use crate::hints::Hints;
use crate::ring;
use crate::route::Candidate;

/// Number of points of an endpoint on a hash ring.
const POINTS_PER_MEMBER: u64 = 8;
/// Pools of up to this size are scored completely.
const FULLY_SCORED_SIZE: usize = 16;
/// Number of endpoints taken from a ring per anchor.
const PER_ANCHOR: usize = 3;
/// Number of further endpoints taken when the nearest ones are full.
const PER_ANCHOR_WHEN_FULL: usize = 12;
/// Prefix length, in blocks, by which requests with a common beginning are
/// grouped.
const SHALLOW_BLOCKS: usize = 4;
/// Prefix length, in blocks, by which requests on the same long text are grouped.
const DEEP_BLOCKS: usize = 32;
/// One in this many endpoints, those with the lowest prices, counts as cheap.
const CHEAP_DIVISOR: usize = 4;
/// Time constant with which sent requests show up in load reports.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Delay added to the poll of an endpoint that runs none of this daemon's requests.
const IDLE_POLL_DELAY: Duration = Duration::from_secs(1);
/// Weight of a new measurement in the estimate of other daemons' sequences.
const OTHERS_SMOOTHING: f64 = 0.6;
/// Queueing time from which an endpoint counts as having been full.
const QUEUED_MS: f64 = 60.0;
/// Assumed share of a prompt that its preferred endpoint has cached through
/// requests from all daemons.
const PREFERRED_CACHED_SHARE: f64 = 0.8;
/// The same share for the nearest endpoint at each price, which receives requests
/// because of its price.
const PREFERRED_AT_PRICE_CACHED_SHARE: f64 = 0.4;
/// Time constant with which the estimate of other daemons' sequences decays.
const OTHERS_DECAY: Duration = Duration::from_secs(15);
/// Concurrent sequences assumed for routing until an endpoint reports its
/// capacity; low, so that no endpoint is filled blindly.
const DEFAULT_ROUTING_CAPACITY: u32 = 8;
/// The same for the total capacity of the pool; high, so that no request is
/// rejected.
const DEFAULT_ADMISSION_CAPACITY: f64 = 32.0;

/// Load reported by an endpoint, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of running sequences.
    pub running: u32,
    /// Number of waiting sequences.
    pub waiting: u32,
    /// Maximum number of concurrent sequences.
    pub capacity: u32,
}

/// An endpoint and its estimated state.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the VM.
    pub id: String,
    /// Price in currency units per hour.
    pub price_per_hour: f64,
    usable: bool,
    in_flight: u32,
    capacity: u32,
    /// This daemon's sequences as a report made at `visible_own_at` would show them.
    visible_own: f64,
    visible_own_at: Duration,
    /// This daemon's sequences at the last report.
    own_at_report: f64,
    /// Estimated sequences of other daemons, and the time of the estimate.
    others: Option<(Duration, f64)>,
    polled_at: Duration,
    hints: Hints,
}

/// Point of a member on a hash ring.
#[derive(Clone, Copy, Debug)]
struct Point {
    position: u64,
    member: usize,
}

/// The endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    by_id: HashMap<String, usize>,
    /// Ring of the endpoints that accept requests.
    full_ring: Vec<Point>,
    /// Ring of the cheap ones among them.
    cheap_ring: Vec<Point>,
    mean_price: f64,
    usable_count: usize,
    is_stale: bool,
}

/// A search for candidates for a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Chained block hashes of the prompt.
    pub blocks: &'a [u64],
    /// Name to hash if the prompt has no complete block.
    pub name: &'a str,
    /// Endpoints to exclude.
    pub avoid: &'a [String],
    /// Current time.
    pub now: Duration,
}

impl Pool {
    /// Adds an endpoint, or updates its price and whether it accepts requests.
    pub fn set(&mut self, id: &str, price_per_hour: f64, usable: bool) {
        match self.by_id.get(id) {
            Some(index) => {
                self.members[*index].price_per_hour = price_per_hour;
                self.members[*index].usable = usable;
            }
            None => {
                self.by_id.insert(id.to_owned(), self.members.len());
                self.members.push(Member::new(id, price_per_hour, usable));
            }
        }
        self.is_stale = true;
    }

    /// Rebuilds the rings after endpoints have changed. Call this before
    /// searching for candidates.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let mut usable: Vec<usize> =
            (0..self.members.len()).filter(|index| self.members[*index].usable).collect();
        self.usable_count = usable.len();
        self.full_ring = self.build_ring(&usable);
        let price = |index: &usize| self.members[*index].price_per_hour;
        usable.sort_by(|a, b| price(a).total_cmp(&price(b)));
        self.mean_price = usable.iter().map(price).sum::<f64>() / usable.len().max(1) as f64;
        usable.truncate(usable.len().div_ceil(CHEAP_DIVISOR));
        self.cheap_ring = self.build_ring(&usable);
    }

    /// Resets the estimated state of an endpoint that was replaced. Requests in
    /// flight stay counted.
    pub fn reset(&mut self, id: &str) {
        if let Some(member) = self.member(id) {
            let new = Member::new(id, member.price_per_hour, member.usable);
            *member = Member { in_flight: member.in_flight, ..new };
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&mut self, id: &str, blocks: &[u64], now: Duration) {
        let Some(member) = self.member(id) else { return };
        member.advance_visible_own(now);
        member.in_flight += 1;
        member.hints.predict(blocks, now);
    }

    /// Records that a request to an endpoint ended.
    pub fn record_ended(&mut self, id: &str, now: Duration) {
        if let Some(member) = self.member(id) {
            member.advance_visible_own(now);
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// Records a load report of an endpoint.
    pub fn record_report(&mut self, id: &str, report: Report, now: Duration) {
        let Some(member) = self.member(id) else { return };
        member.advance_visible_own(now);
        member.capacity = report.capacity;
        member.own_at_report = f64::from(member.in_flight);
        let others = f64::from(report.running + report.waiting) - member.visible_own;
        member.estimate_others(others.max(0.0), now);
    }

    /// Records bounds on the queueing time of a request, derived from the time of
    /// its first token. `hold_ms` says how long a sequence occupies a slot.
    pub fn record_queueing(
        &mut self,
        id: &str,
        min_ms: f64,
        max_ms: f64,
        hold_ms: f64,
        now: Duration,
    ) {
        let Some(member) = self.member(id) else { return };
        let capacity = member.capacity();
        let own = f64::from(member.in_flight);
        let known_others = member.others_now(now);
        if min_ms > QUEUED_MS {
            let waiting = min_ms * capacity / hold_ms.max(1.0);
            member.estimate_others((capacity + waiting - own).max(known_others), now);
        } else if max_ms < QUEUED_MS {
            member.estimate_others((capacity - own).clamp(0.0, known_others), now);
        }
    }

    /// Applies cache events of an endpoint.
    pub fn apply_cache_events(&mut self, id: &str, events: &[Event], now: Duration) {
        if let Some(member) = self.member(id) {
            member.hints.apply(events, now);
        }
    }

    /// Records that an endpoint has cached these blocks, including generated ones.
    pub fn record_cached(&mut self, id: &str, blocks: &[u64], now: Duration) {
        if let Some(member) = self.member(id) {
            member.hints.predict(blocks, now);
        }
    }

    /// Returns the endpoint whose load to poll next and the sequence number of its
    /// last cache event. Picks the endpoint polled least recently, but delays endpoints
    /// that run none of this daemon's requests: the others are polled about twice as
    /// often.
    pub fn next_poll(&mut self, now: Duration) -> Option<(String, u64)> {
        let usable = self.members.iter_mut().filter(|it| it.usable);
        let next = usable.min_by_key(|it| it.poll_order())?;
        next.polled_at = now;
        Some((next.id.clone(), next.hints.sequence()))
    }

    /// Returns the number of endpoints that accept requests.
    pub fn len(&self) -> usize {
        self.usable_count
    }

    /// Whether no endpoint accepts requests.
    pub fn is_empty(&self) -> bool {
        self.usable_count == 0
    }

    /// Returns the estimated number of free slots and the total number of slots.
    /// Assumes that each other daemon has started as many sequences since the last
    /// reports as this one.
    pub fn slots(&self, daemons: usize, now: Duration) -> (f64, f64) {
        let query = Query { blocks: &[], name: "", avoid: &[], now };
        let (mut free, mut total, mut started) = (0.0, 0.0, 0.0);
        for member in self.members.iter().filter(|it| it.usable) {
            let capacity =
                if member.capacity > 0 { member.capacity() } else { DEFAULT_ADMISSION_CAPACITY };
            free += (capacity - member.busy(&query)).max(0.0);
            total += capacity;
            started += f64::from(member.in_flight) - member.own_at_report;
        }
        let unreported = f64::max(started, 0.0) * daemons.saturating_sub(1) as f64;
        (f64::max(free - unreported, 0.0), total)
    }

    /// Returns all endpoints that accept requests, nearest to the prompt first.
    pub fn all_candidates<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        let mut selection = Selection::new(self.members.len());
        self.walk(&self.full_ring, query, query.anchor(), usize::MAX, &mut selection);
        self.build_candidates(&selection.order, query)
    }

    /// Returns the endpoints worth scoring, nearest to the prompt first.
    pub fn candidates<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        if self.usable_count <= FULLY_SCORED_SIZE {
            return self.all_candidates(query);
        }
        let mut selection = Selection::new(self.members.len());
        let anchor = query.anchor();
        self.walk(&self.full_ring, query, anchor, PER_ANCHOR, &mut selection);
        self.walk(&self.cheap_ring, query, anchor, PER_ANCHOR, &mut selection);
        self.walk(&self.full_ring, query, query.shallow_anchor(), PER_ANCHOR, &mut selection);
        let is_full = |index: &usize| {
            let member = &self.members[*index];
            member.busy(query) >= member.capacity()
        };
        if selection.order.iter().all(is_full) {
            self.walk(&self.full_ring, query, anchor, PER_ANCHOR_WHEN_FULL, &mut selection);
        }
        self.build_candidates(&selection.order, query)
    }

    /// Adds up to `limit` members to the selection, walking the ring from `anchor`.
    fn walk(
        &self,
        ring: &[Point],
        query: &Query<'_>,
        anchor: u64,
        limit: usize,
        selection: &mut Selection,
    ) {
        let start = ring.partition_point(|it| it.position < anchor);
        let mut added = 0;
        for point in ring[start..].iter().chain(&ring[..start]) {
            if added == limit {
                return;
            }
            let member = &self.members[point.member];
            if query.avoid.contains(&member.id) || !selection.add(point.member) {
                continue;
            }
            added += 1;
        }
    }

    /// Builds the candidates for the selected members.
    fn build_candidates<'a>(&'a self, order: &[usize], query: &Query<'_>) -> Vec<Candidate<'a>> {
        let mut prices_seen: Vec<f64> = Vec::new();
        let mut candidates = Vec::with_capacity(order.len());
        for (rank, index) in order.iter().enumerate() {
            let member = &self.members[*index];
            let is_first_at_price = !prices_seen.contains(&member.price_per_hour);
            if is_first_at_price {
                prices_seen.push(member.price_per_hour);
            }
            let home = match (rank, is_first_at_price) {
                (0, _) => PREFERRED_CACHED_SHARE,
                (_, true) => PREFERRED_AT_PRICE_CACHED_SHARE,
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
        self.by_id.get(id).map(|index| &mut self.members[*index])
    }

    fn build_ring(&self, members: &[usize]) -> Vec<Point> {
        let points = |index: &usize| {
            let member = *index;
            let id = &self.members[member].id;
            (0..POINTS_PER_MEMBER)
                .map(move |number| Point { position: ring::point(id, number), member })
        };
        let mut ring: Vec<Point> = members.iter().flat_map(points).collect();
        ring.sort_by_key(|it| it.position);
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
            visible_own: 0.0,
            visible_own_at: Duration::ZERO,
            own_at_report: 0.0,
            others: None,
            polled_at: Duration::ZERO,
            hints: Hints::default(),
        }
    }

    /// Returns the key by which polls are ordered. Idle endpoints come later but are
    /// never starved.
    fn poll_order(&self) -> Duration {
        self.polled_at + if self.in_flight == 0 { IDLE_POLL_DELAY } else { Duration::ZERO }
    }

    /// Advances the estimate of this daemon's sequences visible in reports to `now`.
    fn advance_visible_own(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.visible_own_at).as_secs_f64();
        let remaining = (-elapsed / REPORT_LAG.as_secs_f64()).exp();
        let own = f64::from(self.in_flight);
        self.visible_own = own + (self.visible_own - own) * remaining;
        self.visible_own_at = now;
    }

    fn estimate_others(&mut self, others: f64, now: Duration) {
        let previous = self.others.map_or(others, |(_, previous)| previous);
        self.others = Some((now, previous + (others - previous) * OTHERS_SMOOTHING));
    }

    fn others_now(&self, now: Duration) -> f64 {
        let Some((at, others)) = self.others else { return 0.0 };
        let age = now.saturating_sub(at).as_secs_f64();
        others * (-age / OTHERS_DECAY.as_secs_f64()).exp()
    }

    fn capacity(&self) -> f64 {
        f64::from(if self.capacity > 0 { self.capacity } else { DEFAULT_ROUTING_CAPACITY })
    }

    /// Returns the estimated number of sequences at the endpoint: this daemon's own
    /// plus those of other daemons, as shown by reports and first-token times.
    fn busy(&self, query: &Query<'_>) -> f64 {
        f64::from(self.in_flight) + self.others_now(query.now)
    }
}

impl Query<'_> {
    /// Returns the hash by which requests are grouped. Long prompts use a deep block,
    /// so that a common introduction does not send all of them to one endpoint.
    fn anchor(&self) -> u64 {
        if self.blocks.len() >= 2 * DEEP_BLOCKS {
            return self.blocks[DEEP_BLOCKS - 1];
        }
        self.shallow_anchor()
    }

    fn shallow_anchor(&self) -> u64 {
        match self.blocks.len().min(SHALLOW_BLOCKS).checked_sub(1) {
            Some(last) => self.blocks[last],
            None => ring::point(self.name, 0),
        }
    }
}

/// Members selected so far, in order and as a bit set.
struct Selection {
    order: Vec<usize>,
    selected: Vec<u64>,
}

impl Selection {
    fn new(members: usize) -> Selection {
        Selection {
            order: Vec::with_capacity(FULLY_SCORED_SIZE),
            selected: vec![0; members.div_ceil(64)],
        }
    }

    /// Adds a member; returns false if it was already selected.
    fn add(&mut self, member: usize) -> bool {
        let (word, bit) = (member / 64, 1 << (member % 64));
        if self.selected[word] & bit != 0 {
            return false;
        }
        self.selected[word] |= bit;
        self.order.push(member);
        true
    }
}
