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
/// Time over which the own rate of sends is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Age at which a load report no longer counts.
const REPORT_LIMIT: Duration = Duration::from_secs(15);
/// Sequences that an endpoint runs at once, as long as it has not said.
const CAPACITY_UNKNOWN: u32 = 32;

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
    report: Option<(Duration, Report)>,
    sent_since: u32,
    send_rate: f64,
    sent_at: Duration,
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
    /// Daemons that send to the same endpoints, this one included.
    pub daemons: usize,
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
        member.in_flight += 1;
        member.sent_since += 1;
        member.send_rate = member.rate(now) + 1.0 / RATE_WINDOW.as_secs_f64();
        member.sent_at = now;
        member.hints.predict(blocks, now);
    }

    /// A request ended.
    pub fn closed(&mut self, id: &str) {
        if let Some(member) = self.member(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// A load report came.
    pub fn reported(&mut self, id: &str, report: Report, now: Duration) {
        if let Some(member) = self.member(id) {
            member.report = Some((now, report));
            member.sent_since = 0;
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

    /// The endpoint to ask next for its load: one in use, longest not asked.
    pub fn next_poll(&mut self, now: Duration) -> Option<(String, u64)> {
        let usable = self.members.iter_mut().filter(|it| it.usable);
        let next = usable.min_by_key(|it| (it.in_flight == 0, it.polled_at))?;
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
    pub fn places(&self, daemons: usize, now: Duration) -> (f64, f64) {
        let query = Query { blocks: &[], name: "", avoid: &[], daemons, now };
        let usable = self.members.iter().filter(|it| it.usable);
        usable.fold((0.0, 0.0), |(free, all), it| {
            let capacity = it.capacity();
            (free + (capacity - it.busy(&query)).max(0.0), all + capacity)
        })
    }

    /// Every endpoint that takes work, nearest to the prompt first.
    pub fn everyone<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        let mut found = Found::new(self.members.len());
        self.walk(&self.all, query, query.anchor(SHALLOW_BLOCKS), usize::MAX, &mut found);
        self.view(&found.order, query)
    }

    /// The endpoints worth scoring, nearest to the prompt first.
    pub fn candidates<'a>(&'a self, query: &Query<'_>) -> Vec<Candidate<'a>> {
        if self.usable <= SCORED_WHOLE {
            return self.everyone(query);
        }
        let mut found = Found::new(self.members.len());
        let (deep, shallow) = (query.anchor(DEEP_BLOCKS), query.anchor(SHALLOW_BLOCKS));
        self.walk(&self.cheap, query, deep, PER_ANCHOR, &mut found);
        self.walk(&self.all, query, deep, PER_ANCHOR, &mut found);
        self.walk(&self.all, query, shallow, PER_ANCHOR, &mut found);
        let is_full = |at: &usize| {
            let member = &self.members[*at];
            member.busy(query) >= member.capacity()
        };
        if found.order.iter().all(is_full) {
            self.walk(&self.all, query, deep, WIDENED, &mut found);
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
        let view = |at: &usize| {
            let member = &self.members[*at];
            let cached = member.hints.cached(query.blocks, query.now);
            Candidate {
                id: &member.id,
                price: if self.mean_price > 0.0 {
                    member.price_per_hour / self.mean_price
                } else {
                    1.0
                },
                busy: member.busy(query),
                capacity: member.capacity(),
                cached_tokens: (cached * BLOCK_TOKENS) as u32,
            }
        };
        order.iter().map(view).collect()
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
            report: None,
            sent_since: 0,
            send_rate: 0.0,
            sent_at: Duration::ZERO,
            polled_at: Duration::ZERO,
            hints: Hints::default(),
        }
    }

    fn rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.sent_at).as_secs_f64();
        self.send_rate * (-idle / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn capacity(&self) -> f64 {
        let reported = self.report.map(|(_, report)| report.capacity);
        f64::from(reported.filter(|it| *it > 0).unwrap_or(CAPACITY_UNKNOWN))
    }

    /// Sequences there now: the last report and what was sent since, by this
    /// daemon and, at the same rate, by the others.
    fn busy(&self, query: &Query<'_>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = query.daemons.saturating_sub(1) as f64;
        let Some((at, report)) = self.report else { return own };
        let age = query.now.saturating_sub(at);
        if age > REPORT_LIMIT {
            return own;
        }
        let reported = f64::from(report.running + report.waiting);
        let unseen = self.rate(query.now) * age.min(RATE_WINDOW).as_secs_f64() * others;
        own.max(reported + f64::from(self.sent_since) + unseen)
    }
}

impl Query<'_> {
    /// Hash by which requests meet that share this many first blocks.
    fn anchor(&self, blocks: usize) -> u64 {
        let end = self.blocks.len().min(blocks);
        match end.checked_sub(1) {
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
