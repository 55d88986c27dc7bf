//! Request limits that endpoints name, each shared by all daemons.
//!
//! An endpoint's limit may be below one request per second, while hundreds of daemons run. So
//! only a few of them, chosen by rendezvous hashing over the live ones, may send to a limited
//! endpoint; the others pass it over. Each of the senders gains its share of the rate as a
//! credit of at most one request, and begins without any. A daemon that takes the place of
//! another one thus adds no burst, even while some daemons still count the former one.
//!
//! Daemons tell each other of limits and of their end, since those that send nothing to an
//! endpoint get no responses from it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;

/// Senders of an endpoint besides one for each request per second. The users' bound leaves room
/// for five requests more than one and a half times the rate in 4 s.
const BASE_SENDERS: usize = 2;
/// Longest time for which a sender saves up its share, in seconds. It may always save up one
/// request.
const MAX_CREDIT_TIME_S: f64 = 0.25;
/// Lowest rate that is applied, so that the end of a limit of 0 is noticed. In requests per
/// second.
const MIN_RATE: f64 = 0.1;

/// What a response says about the request limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The endpoint names no limit.
    Unlimited,
    /// The endpoint takes this many requests per second from all daemons together.
    PerSecond(f64),
    /// The limit can't be decoded.
    Malformed,
}

impl Statement {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Statement::Unlimited => "unlimited",
            Statement::PerSecond(_) => "limited",
            Statement::Malformed => "malformed",
        }
    }
}

/// What daemons tell each other about the limit of an endpoint.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Notice {
    /// Endpoint identity.
    pub endpoint: String,
    /// Identity of the endpoint's instance.
    pub instance: u64,
    /// Requests per second; `None` after the limit has ended.
    pub rate: Option<f64>,
    /// Number of changes of the limit of this instance, as far as known.
    pub revision: u64,
}

/// The limit of one endpoint.
#[derive(Clone, Debug)]
struct Limit {
    notice: Notice,
    /// When this daemon learned of the latest change.
    changed_at: Instant,
    /// Number of daemons that may send, if this daemon is one of them.
    senders: Option<usize>,
    /// Requests that this daemon may send now.
    credit: f64,
    credited_at: Instant,
}

impl Limit {
    fn new(notice: Notice, now: Instant) -> Limit {
        Limit { notice, changed_at: now, senders: None, credit: 0.0, credited_at: now }
    }

    /// Returns the requests per second that this daemon may send.
    fn share(&self) -> f64 {
        let (Some(rate), Some(senders)) = (self.notice.rate, self.senders) else { return 0.0 };
        rate.max(MIN_RATE) / senders as f64
    }

    fn accrue(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.credited_at).as_secs_f64();
        let max_credit = (self.share() * MAX_CREDIT_TIME_S).max(1.0);
        self.credit = (self.credit + elapsed * self.share()).min(max_credit);
        self.credited_at = now;
    }

    fn change(&mut self, notice: Notice, now: Instant) {
        self.accrue(now);
        self.notice = notice;
        self.changed_at = now;
    }

    /// Returns the time until this daemon may send a request; `None` if it is no sender.
    fn wait(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.credited_at).as_secs_f64();
        self.senders?;
        let missing = 1.0 - self.credit;
        Some(Duration::from_secs_f64((missing / self.share() - elapsed).max(0.0)))
    }
}

/// The limits of all endpoints, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_endpoint: BTreeMap<String, Limit>,
}

impl Limits {
    /// Records what a response to a request sent at `sent_at` says. Returns whether the limit
    /// has changed.
    pub fn observe(
        &mut self,
        endpoint: &str,
        instance: u64,
        statement: Statement,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.by_endpoint.get_mut(endpoint).filter(|it| it.notice.instance == instance);
        let rate = match statement {
            Statement::PerSecond(rate) => Some(rate),
            Statement::Unlimited => None,
            Statement::Malformed => return false,
        };
        let Some(limit) = known else {
            let notice = Notice { endpoint: endpoint.to_owned(), instance, rate, revision: 1 };
            if rate.is_some() {
                self.by_endpoint.insert(endpoint.to_owned(), Limit::new(notice, now));
            }
            return rate.is_some();
        };
        // The response to a request that was sent before may be older than the change.
        if limit.notice.rate == rate || sent_at < limit.changed_at {
            return false;
        }
        let revision = limit.notice.revision + 1;
        limit.change(Notice { rate, revision, ..limit.notice.clone() }, now);
        true
    }

    /// Merges what another daemon knows. Returns whether the limit has changed.
    pub fn merge_remote(&mut self, notice: &Notice, now: Instant) -> bool {
        let known = self.by_endpoint.get_mut(&notice.endpoint);
        let Some(limit) = known.filter(|it| it.notice.instance == notice.instance) else {
            let limit = Limit::new(notice.clone(), now);
            self.by_endpoint.insert(notice.endpoint.clone(), limit);
            return true;
        };
        // Of concurrent changes, the lowest rate counts until the next response.
        let rate = |it: &Notice| it.rate.unwrap_or(f64::INFINITY);
        let is_newer = notice.revision > limit.notice.revision
            || notice.revision == limit.notice.revision && rate(notice) < rate(&limit.notice);
        if is_newer {
            limit.change(notice.clone(), now);
        }
        is_newer
    }

    /// Returns what to tell other daemons, limits in force first.
    pub fn notices(&self, count: usize) -> Vec<Notice> {
        let mut notices: Vec<&Notice> = self.by_endpoint.values().map(|it| &it.notice).collect();
        notices.sort_by_key(|it| it.rate.is_none());
        notices.into_iter().take(count).cloned().collect()
    }

    /// Chooses the senders of each limited endpoint among the live daemons. `rank` orders
    /// daemons for an endpoint, the same way on all of them; the lowest ranks send. `own` is
    /// `None` while this daemon must not send.
    pub fn choose_senders(
        &mut self,
        own: Option<&str>,
        others: &[&str],
        rank: impl Fn(&str, &str) -> u64,
        now: Instant,
    ) {
        for (endpoint, limit) in &mut self.by_endpoint {
            limit.accrue(now);
            let (Some(own), Some(rate)) = (own, limit.notice.rate) else {
                limit.senders = None;
                limit.credit = 0.0;
                continue;
            };
            let senders = (BASE_SENDERS + rate as usize).min(others.len() + 1);
            limit.senders = (preceding(own, others, endpoint, &rank) < senders).then_some(senders);
            if limit.senders.is_none() {
                limit.credit = 0.0;
            }
        }
    }

    /// Returns the endpoint's limit in requests per second, if it has one.
    pub fn rate(&self, endpoint: &str) -> Option<f64> {
        self.by_endpoint.get(endpoint)?.notice.rate
    }

    /// Returns the limited endpoints to which this daemon must not send now.
    pub fn exhausted(&self, now: Instant) -> Vec<&str> {
        let limited = self.by_endpoint.iter().filter(|(_, it)| it.notice.rate.is_some());
        let exhausted = limited.filter(|(_, it)| it.wait(now).is_none_or(|it| !it.is_zero()));
        exhausted.map(|(endpoint, _)| endpoint.as_str()).collect()
    }

    /// Returns the time until this daemon may send to the endpoint again; `None` if other
    /// daemons do, or if it has no limit.
    pub fn wait(&self, endpoint: &str, now: Instant) -> Option<Duration> {
        self.by_endpoint.get(endpoint).filter(|it| it.notice.rate.is_some())?.wait(now)
    }

    /// Counts a request that is sent to the endpoint.
    pub fn take(&mut self, endpoint: &str, now: Instant) {
        if let Some(limit) = self.by_endpoint.get_mut(endpoint) {
            limit.accrue(now);
            limit.credit -= 1.0;
        }
    }

    /// Removes the limits of endpoints and instances that don't satisfy a condition.
    pub fn retain(&mut self, is_known: impl Fn(&str, u64) -> bool) {
        self.by_endpoint.retain(|endpoint, it| is_known(endpoint, it.notice.instance));
    }
}

/// Returns the number of other daemons that rank before this one as senders to an endpoint.
pub(crate) fn preceding(
    own: &str,
    others: &[&str],
    endpoint: &str,
    rank: &impl Fn(&str, &str) -> u64,
) -> usize {
    let own_rank = rank(own, endpoint);
    others.iter().filter(|it| rank(it, endpoint) < own_rank).count()
}
