//! Token bucket of a workspace, shared by all daemons.
//!
//! Each daemon counts the units that it admits and receives the totals of its
//! peers with a delay. Between two reports it assumes that a peer continues to
//! admit at its recent rate. A peer whose reports stop arriving is assumed to use
//! its even share of rate and burst, so that daemons on both sides of a network
//! partition stay within the limit together.
//!
//! Units that come free are seen by all daemons before they hear which of them took
//! these units. So each daemon admits no more than its even share while fewer units are
//! left than the others may have taken unheard. A daemon that has just started takes the
//! burst for used until a peer reports what is left of it, and peers for using their even
//! share until it hears them.
//!
//! While a workspace asks for more than its limit, [`Bucket::admit`] keeps the level near a reserve
//! that covers what the others may have taken unheard. The units that come free are then spent
//! evenly over time, by rank and size ([`crate::scarcity`]), rather than by even shares and in
//! order of arrival.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::scarcity;
use crate::scarcity::Demand;
use crate::scarcity::Request;
use crate::scarcity::Supply;

/// Default time without a report after which a peer is assumed to use its even
/// share: several gossip periods.
const DEFAULT_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time over which a peer's rate is averaged, so that the average covers several
/// of its requests.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Time without a report after which a peer is assumed to have ended. Exceeds the
/// longest pause or partition after which it may still admit requests of the same
/// window.
pub const PEER_EXPIRY: Duration = Duration::from_secs(12);

/// Maximum fraction of the burst that counts as scarce, however late daemons hear of each
/// other.
const MAX_SCARCE_FRACTION: f64 = 0.8;
/// Part of the burst by which the reserve exceeds what counts as scarce, so that a few requests
/// more than usual don't make units scarce.
const RESERVE_FRACTION: f64 = 0.1;
/// Part of the rate that is supplied whatever the level, so that a deep debt or a burst of many
/// seconds doesn't stop all requests at once.
const MIN_SUPPLY: f64 = 0.5;
/// Part of the burst that is kept when demand peaks for a moment.
const PEAK_RESERVE_FRACTION: f64 = 0.5;
/// Time for which the rest of the burst has to last in a peak.
const PEAK_TIME: Duration = Duration::from_secs(1);
/// Time over which the level returns to the reserve. Exceeds the delay of reports, after which a
/// daemon sees the effect of what all of them do.
const LEVELLING_TIME: Duration = Duration::from_secs(4);

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units at once.
    pub burst: f64,
}

/// What a daemon reports about its bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Units that it has admitted since its start.
    pub admitted: f64,
    /// Available units. `None` if it started too recently to know.
    pub level: Option<f64>,
    /// Time since its start.
    pub age: Duration,
}

/// Rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Time until a request of this rank and size is expected to be admitted.
    pub wait: Duration,
    /// Why it was rejected.
    pub reason: Reason,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// More urgent or smaller requests, or earlier ones of its kind, need the units.
    Outranked(scarcity::Rejection),
    /// Fewer units are available than it takes.
    Level,
    /// Few units are available, and this daemon has used its even share.
    Share,
}

impl Reason {
    /// Returns the name used in metrics and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::Outranked(_) => "outranked",
            Reason::Level => "level",
            Reason::Share => "share",
        }
    }
}

/// What decisions depend on besides the level and the share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Units that are kept while the workspace asks for more than its limit.
    pub reserve: f64,
    /// Units per second that the other daemons admit, as far as known.
    pub others: f64,
    /// Time since the report of the peer that was heard longest ago.
    pub oldest_report: Duration,
}

/// The shared bucket as seen by one daemon.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    report_timeout: Duration,
    /// Available units. Negative if daemons admitted too much before they
    /// received each other's totals.
    level: f64,
    filled_at: Instant,
    /// Units that this daemon has admitted since its start.
    admitted: f64,
    /// Units of this daemon's even share that it has not used. Negative if it used more.
    share: f64,
    /// Daemons that share the limit, including this one, if they are known.
    daemons: Option<usize>,
    /// Set while it isn't known what was used before the start.
    joining: Option<Joining>,
    /// Since when the level contains what other daemons admitted.
    complete_since: Instant,
    peers: HashMap<String, Peer>,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct Joining {
    since: Instant,
    /// Units taken from the level for each daemon that was not heard yet.
    estimated: f64,
}

#[derive(Clone, Debug)]
struct Peer {
    /// Units that the peer has admitted since its start, by its latest report.
    admitted: f64,
    received_at: Instant,
    /// Units that the peer admits per second. Its even share is assumed while this
    /// is unknown.
    rate: Option<f64>,
    /// Units taken from the level for the peer since its latest report.
    estimated: f64,
    estimated_at: Instant,
    /// Whether the peer's share of the burst was taken since its latest report.
    burst_taken: bool,
}

impl Peer {
    /// Returns the units per second that the peer is assumed to admit: at least its even share
    /// while its reports don't arrive.
    fn rate(&self, even_share: f64, report_timeout: Duration, now: Instant) -> f64 {
        // Refunds may make the rate negative.
        let rate = self.rate.unwrap_or(even_share).max(0.0);
        if now < self.received_at + report_timeout { rate } else { rate.max(even_share) }
    }

    /// Whether the peer has admitted nothing for some time and reports so again. With hundreds
    /// of daemons and dozens of workspaces, this holds for most reports.
    fn is_idle(&self, report: &Report) -> bool {
        report.admitted == self.admitted && self.rate == Some(0.0) && self.estimated == 0.0
    }
}

impl Bucket {
    /// Creates a full bucket, for a limit of which nothing was used before.
    pub fn new(limit: Limit, now: Instant) -> Bucket {
        Bucket {
            limit,
            report_timeout: DEFAULT_REPORT_TIMEOUT,
            level: limit.burst,
            filled_at: now,
            admitted: 0.0,
            share: limit.burst,
            daemons: None,
            joining: None,
            complete_since: now,
            peers: HashMap::new(),
            demand: Demand::new(now),
        }
    }

    /// Creates the bucket of a daemon that joins others, which may have used all units.
    pub fn joining(limit: Limit, now: Instant) -> Bucket {
        let joining = Some(Joining { since: now, estimated: 0.0 });
        Bucket { level: 0.0, share: 0.0, joining, ..Bucket::new(limit, now) }
    }

    /// Sets the number of daemons that share the limit, including this one. While it
    /// isn't known, a bucket that joins others gains no units.
    pub fn set_daemons(&mut self, daemons: Option<usize>, now: Instant) {
        self.refill(now);
        self.daemons = daemons;
    }

    /// Changes the limit. Units already used stay used.
    pub fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit == limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Sets the time without a report after which a peer is assumed to use at least
    /// its even share.
    pub fn set_report_timeout(&mut self, report_timeout: Duration) {
        self.report_timeout = report_timeout;
    }

    /// Sets a number in [0, 1) that differs between daemons, so that they don't all admit and
    /// invite callers at the same moment.
    pub fn set_phase(&mut self, phase: f64) {
        self.demand.set_phase(phase);
    }

    /// Takes units for a request by its rank and size.
    ///
    /// # Errors
    ///
    /// If other requests go before it, or too few units are available.
    pub fn admit(&mut self, request: &Request, now: Instant) -> Result<(), Rejection> {
        self.refill(now);
        let supply = self.supply(now);
        // A request larger than the burst is admitted from a full bucket, whatever its size.
        let counted = Request { units: request.units.min(self.limit.burst), ..*request };
        let decision = self.demand.request(&counted, &supply, now);
        let grant =
            decision.map_err(|it| Rejection { wait: it.wait, reason: Reason::Outranked(it) })?;
        let is_share_used = self.is_share_used(grant.headroom, now);
        self.take_within(request.units, grant.headroom, now).map_err(|wait| {
            self.demand.give_back(&counted, &grant);
            let reason = if is_share_used { Reason::Share } else { Reason::Level };
            Rejection { wait: self.demand.spread(wait), reason }
        })?;
        self.demand.admit(&counted, now);
        Ok(())
    }

    /// Takes units for a request in order of arrival, whatever its rank.
    ///
    /// # Errors
    ///
    /// If too few units are available.
    pub fn admit_in_order(&mut self, request: &Request, now: Instant) -> Result<(), Rejection> {
        self.refill(now);
        let reason = if self.is_share_used(0.0, now) { Reason::Share } else { Reason::Level };
        self.take_within(request.units, 0.0, now).map_err(|wait| Rejection { wait, reason })
    }

    /// Returns what decisions depend on besides the level and the share.
    pub fn state(&self, now: Instant) -> State {
        let ages = self.peers.values().map(|it| now.saturating_duration_since(it.received_at));
        State {
            reserve: self.reserve(now),
            others: self.others(now),
            oldest_report: ages.max().unwrap_or_default(),
        }
    }

    /// Returns what all daemons may admit, so that the level stays near its reserve.
    fn supply(&self, now: Instant) -> Supply {
        let excess = self.level - self.reserve(now);
        // Units beyond the burst are lost, so that an excess is used at once.
        let time = if excess > 0.0 { PEAK_TIME } else { LEVELLING_TIME };
        let total = self.limit.rate + excess / time.as_secs_f64();
        let spare = self.level - self.limit.burst * PEAK_RESERVE_FRACTION;
        let peak = self.limit.rate + spare.max(0.0) / PEAK_TIME.as_secs_f64();
        let (others, daemons) = (self.others(now), self.daemons());
        let total = total.max(self.limit.rate * MIN_SUPPLY);
        Supply { total, peak, others, daemons }
    }

    /// Returns the level that is kept while the workspace asks for more than its limit.
    fn reserve(&self, now: Instant) -> f64 {
        let unheard = 1.0 - 1.0 / self.daemons() as f64;
        self.scarce_level(now) + self.limit.burst * RESERVE_FRACTION * unheard
    }

    /// Returns the units per second that the other daemons admit, as far as known.
    fn others(&self, now: Instant) -> f64 {
        let even_share = self.limit.rate / self.daemons() as f64;
        let unheard = (self.daemons() - 1 - self.peers.len()) as f64;
        let heard = self.peers.values().map(|it| it.rate(even_share, self.report_timeout, now));
        even_share * unheard + heard.sum::<f64>()
    }

    /// Takes units for a request in order of arrival.
    ///
    /// # Errors
    ///
    /// If too few units are available, returns the time until they will be, at
    /// most one hour.
    pub fn take(&mut self, units: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        self.take_within(units, 0.0, now)
    }

    /// Takes units, unless they are scarce and this daemon has exceeded its share by `headroom`.
    fn take_within(&mut self, units: f64, headroom: f64, now: Instant) -> Result<(), Duration> {
        // A request larger than the burst is admitted from a full bucket.
        let required = units.min(self.limit.burst);
        let is_share_used = self.is_share_used(headroom, now);
        if self.level >= required && !is_share_used {
            self.level -= units;
            // A request may exceed the share; all together may exceed it by one request.
            self.share = (self.share - units).max(-units - headroom);
            self.admitted += units;
            return Ok(());
        }
        let missing_share = match is_share_used {
            true => -(self.share + headroom) * self.daemons() as f64,
            false => 0.0,
        };
        let missing = missing_share.max(required - self.level);
        let wait = if self.limit.rate > 0.0 { missing / self.limit.rate } else { f64::MAX };
        Err(Duration::from_secs_f64(wait.clamp(0.0, 3_600.0)))
    }

    /// Whether units are scarce and this daemon has exceeded its even share of them by `headroom`.
    fn is_share_used(&self, headroom: f64, now: Instant) -> bool {
        self.share <= -headroom && self.level < self.scarce_level(now)
    }

    /// Returns the level below which units are scarce: what the others use since they were
    /// heard if all use their even shares. Of a silent one, these are taken from the level.
    fn scarce_level(&self, now: Instant) -> f64 {
        let since =
            |at: Instant| now.saturating_duration_since(at).min(self.report_timeout).as_secs_f64();
        let heard: f64 = self.peers.values().map(|it| since(it.received_at)).sum();
        let unheard = self.daemons() - 1 - self.peers.len();
        let joining = self.joining.map_or(0.0, |it| since(it.since) * unheard as f64);
        let even_share = self.limit.rate / self.daemons() as f64;
        let unknown = even_share * (heard + joining);
        unknown.min(self.limit.burst * MAX_SCARCE_FRACTION)
    }

    /// Refunds units that a request took and didn't use.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.limit.burst);
        self.share = (self.share + units).min(self.limit.burst / self.daemons() as f64);
        self.admitted -= units;
        self.demand.refund(units);
    }

    /// Returns the units available at the last update. Negative if too many were
    /// admitted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the units of this daemon's even share that it has not used. Negative if it
    /// used more.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the number of daemons that share the limit, as far as known.
    pub fn daemons(&self) -> usize {
        self.daemons.unwrap_or(1).max(self.peers.len() + 1)
    }

    /// Returns the units that this daemon has admitted since its start.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the level to report to the other daemons, if it is known.
    pub fn known_level(&self) -> Option<f64> {
        self.joining.is_none().then_some(self.level)
    }

    /// Merges the report of another daemon instance.
    pub fn merge_remote(&mut self, daemon: &str, report: &Report, now: Instant) {
        if let Some(peer) = self.peers.get_mut(daemon)
            && peer.is_idle(report)
        {
            peer.received_at = now;
            peer.estimated_at = now;
            return;
        }
        self.refill(now);
        let mut rate = None;
        if let Some(peer) = self.peers.get(daemon) {
            let newly_admitted = report.admitted - peer.admitted;
            self.level += peer.estimated - newly_admitted;
            let elapsed = now.saturating_duration_since(peer.received_at).as_secs_f64();
            let weight = (elapsed / RATE_AVERAGING_TIME.as_secs_f64()).min(1.0);
            let previous = peer.rate.unwrap_or(0.0);
            rate = if elapsed > 0.0 {
                Some(previous + (newly_admitted / elapsed - previous) * weight)
            } else {
                peer.rate
            };
        } else {
            self.merge_first(report, now);
        }
        self.level = self.level.min(self.limit.burst);
        let peer = Peer {
            admitted: report.admitted,
            received_at: now,
            rate,
            estimated: 0.0,
            estimated_at: now,
            burst_taken: false,
        };
        self.peers.insert(daemon.to_owned(), peer);
    }

    /// Merges the first report of another daemon instance.
    fn merge_first(&mut self, report: &Report, now: Instant) {
        let own_age = now.saturating_duration_since(self.complete_since);
        match (self.joining, report.level) {
            (Some(_), Some(level)) => {
                self.level = level - self.admitted;
                self.joining = None;
                self.complete_since = now;
            }
            (Some(joining), None) => {
                // A daemon that started earlier has used a part since this one started.
                let part = own_age.as_secs_f64() / report.age.max(own_age).as_secs_f64();
                let admitted = if own_age.is_zero() { 0.0 } else { report.admitted * part };
                self.level += joining.estimated - admitted;
            }
            // The level contains what earlier instances admitted, or it was refilled since.
            (None, _) if report.age < own_age => self.level -= report.admitted,
            (None, _) => {}
        }
    }

    /// Adds the units accrued since the last update and takes those that peers are
    /// estimated to have used.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let daemons = self.daemons() as f64;
        let even_share = self.limit.rate / daemons;
        let share_burst = self.limit.burst / daemons;
        if self.joining.is_none() || self.daemons.is_some() {
            self.level += elapsed * self.limit.rate;
            self.share = (self.share + elapsed * even_share).min(share_burst);
        }
        if let Some(joining) = &mut self.joining
            && self.daemons.is_some()
        {
            let unheard = daemons - (self.peers.len() + 1) as f64;
            self.level -= elapsed * even_share * unheard;
            joining.estimated += elapsed * even_share;
        }
        self.joining.take_if(|it| now >= it.since + PEER_EXPIRY);
        for peer in self.peers.values_mut() {
            let until = now.min(peer.received_at + PEER_EXPIRY);
            let is_silent = now >= peer.received_at + self.report_timeout;
            let rate = peer.rate.unwrap_or(even_share).min(self.limit.rate);
            let rate = if is_silent { rate.max(even_share) } else { rate };
            let elapsed = until.saturating_duration_since(peer.estimated_at).as_secs_f64();
            let mut units = elapsed * rate;
            if is_silent && !peer.burst_taken {
                peer.burst_taken = true;
                units += share_burst;
            }
            peer.estimated += units;
            peer.estimated_at = peer.estimated_at.max(until);
            self.level -= units;
        }
        self.peers.retain(|_, it| now < it.received_at + PEER_EXPIRY);
        self.level = self.level.min(self.limit.burst);
    }
}
