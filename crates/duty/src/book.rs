//! What a lease holder has ordered and for which need, for the next holder.
//!
//! Answers a change of the holder during a reclaim wave: the new holder knows the need and
//! which zones lack capacity before it has measured the load.

use std::time::Duration;
use std::time::Instant;

use crate::order::Kind;
use crate::order::LOAD_SETTLE_TIME;
use crate::order::Placement;
use crate::order::Planner;
use crate::order::SCALE_DOWN_DELAY;

/// Longest age of an entry at which its need may still exist. The holder writes the book more
/// often.
pub const MAX_AGE: Duration = Duration::from_secs(60);

/// Relative change of the need below which an entry is up to date.
const NEED_TOLERANCE: f64 = 0.1;

/// Orders and need of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Name of the service.
    pub service: String,
    /// Number of endpoints needed.
    pub need: f64,
    /// Time since that many were needed, in milliseconds.
    pub need_age_ms: u64,
    /// Latest orders.
    pub orders: Vec<Order>,
}

/// Latest order of a kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Kind of the endpoints.
    pub kind: Kind,
    /// Number of endpoints ordered.
    pub count: u32,
    /// Endpoints of the order that fit within the limits.
    pub granted: u32,
    /// Time since the order, in milliseconds.
    pub age_ms: u64,
    /// Whether no capacity was available at the last try.
    pub is_rejected: bool,
}

impl Entry {
    /// Returns whether the other entry differs by enough to replace this one. Ages don't
    /// count.
    pub fn is_outdated_by(&self, other: &Entry) -> bool {
        let key = |it: &Order| (it.zone.clone(), it.kind, it.count, it.granted, it.is_rejected);
        let is_close = (self.need - other.need).abs() <= self.need.max(1.0) * NEED_TOLERANCE;
        !is_close || !self.orders.iter().map(key).eq(other.orders.iter().map(key))
    }
}

impl Planner {
    /// Returns the entry of this planner's service.
    pub fn entry(&self, service: &str, now: Instant) -> Entry {
        let age_ms = |it: Instant| now.saturating_duration_since(it).as_millis() as u64;
        let order = |((zone, kind), it): (&(String, Kind), &Placement)| Order {
            zone: zone.clone(),
            kind: *kind,
            count: it.count,
            granted: it.granted,
            age_ms: age_ms(it.placed_at),
            is_rejected: it.retry_at.is_some(),
        };
        Entry {
            service: service.to_owned(),
            need: self.peak_need.map_or(0.0, |it| it.0),
            need_age_ms: self.peak_need.map_or(0, |it| age_ms(it.1)),
            orders: self.placements.iter().map(order).collect(),
        }
    }

    /// Continues from the entry of a previous holder. Its need counts for its remaining time, but
    /// at least until this holder has measured the load; rejected orders are tried again at once.
    pub fn restore(&mut self, entry: &Entry, now: Instant) {
        let age = Duration::from_millis(entry.need_age_ms).min(SCALE_DOWN_DELAY - LOAD_SETTLE_TIME);
        self.peak_need = Some((entry.need, now.checked_sub(age).unwrap_or(now)));
        for order in &entry.orders {
            let age = Duration::from_millis(order.age_ms);
            let placement = Placement {
                count: order.count,
                granted: order.granted,
                placed_at: now.checked_sub(age).unwrap_or(now),
                retry_at: order.is_rejected.then_some(now),
            };
            self.placements.insert((order.zone.clone(), order.kind), placement);
        }
    }
}
