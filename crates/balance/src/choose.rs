//! Selection of an endpoint for a request.
//!
//! Balances prefix-cache affinity against queueing: a prompt goes to the
//! endpoint that caches its shared parts, as long as waiting for the prompts
//! queued there costs less than computing the shared parts again elsewhere.
//! Designed for loads at which engines have spare capacity. All daemons agree on
//! the preferred endpoint of a part.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use route::config::Engine;
use route::request::Attributes;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::CANDIDATES;
use crate::load::Load;
use crate::member::Member;
use crate::pool::Pool;
use crate::software::Requirement;

/// Cost factor added at a failure rate of 1.
const FAILURE_WEIGHT: f64 = 30.0;
/// Assumed time of a request to a service without an engine; used only to rank
/// endpoints.
const PLAIN_MS: f64 = 30.0;
/// Cost factor of a paused endpoint; it is chosen only when all are paused.
const PAUSED_WEIGHT: f64 = 100.0;
/// Cost factor for a stream that needs one software version, of an endpoint whose connections
/// broke. It may run another version, which shows only when a connection to it is open.
const REPLACED_WEIGHT: f64 = 100.0;
/// Maximum random increase of a cost, as a share. Endpoints whose costs differ by
/// less count as equal.
const JITTER: f64 = 0.05;

/// A request for which an endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service name.
    pub service: &'a str,
    /// Engine of the service, if it has one.
    pub engine: Option<&'a Engine>,
    /// Attributes of the request.
    pub attributes: &'a Attributes,
    /// Software version that it needs.
    pub requirement: &'a Requirement,
    /// Endpoints that were already tried and are skipped.
    pub tried: &'a [String],
    /// Endpoints that take no further request of this daemon now.
    pub exhausted: &'a BTreeSet<&'a str>,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Endpoint identity.
    pub id: String,
    /// Predicted time until the response or its first event.
    pub predicted: Duration,
    /// Load that the request adds to the endpoint.
    pub load: Load,
    /// Uncached prompt tokens that the endpoint computes before the first token:
    /// those of outstanding requests and those of this request.
    pub total_prefill_tokens: u32,
    /// Time since its accounting daemon stated what others have outstanding there; `None` if
    /// only digests have.
    pub known_age: Option<Duration>,
}

/// What makes an endpoint a good choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cost {
    /// The predicted time until the response.
    Own,
    /// That time, and the time for which the request's uncached tokens keep others waiting.
    /// Daemons that know each other's work would otherwise avoid each short queue by
    /// computing shared parts again elsewhere, which makes all queues longer.
    Shared,
}

/// Chooses the endpoint with the earliest predicted response.
///
/// Returns `None` if the service has no usable endpoint that wasn't tried.
pub fn choose(pool: &Pool, query: &Query<'_>, now: Instant, rng: &mut impl Rng) -> Option<Choice> {
    best(pool, query, Cost::Own, 1, now, rng).pop()
}

/// Returns the endpoints of which accounting daemons are asked for a request: the preferred
/// one, and others of the least cost.
pub fn candidates(pool: &Pool, query: &Query<'_>, now: Instant, rng: &mut impl Rng) -> Vec<Choice> {
    let eligible = eligible(pool, query, now);
    let preferred = preferred_endpoint(&eligible, query.attributes);
    let member = preferred.and_then(|it| pool.member(it));
    let mut choices: Vec<Choice> =
        member.map(|it| predict(pool, query, it, preferred, now)).into_iter().collect();
    for choice in best(pool, query, Cost::Shared, CANDIDATES, now, rng) {
        if choices.len() < CANDIDATES && choices.iter().all(|it| it.id != choice.id) {
            choices.push(choice);
        }
    }
    choices
}

/// Returns up to `count` endpoints of the least costs, the best first.
pub fn best(
    pool: &Pool,
    query: &Query<'_>,
    cost: Cost,
    count: usize,
    now: Instant,
    rng: &mut impl Rng,
) -> Vec<Choice> {
    let eligible = eligible(pool, query, now);
    let preferred = preferred_endpoint(&eligible, query.attributes);
    let is_bound = *query.requirement != Requirement::Any;
    let mut best: Vec<(f64, Choice)> = Vec::with_capacity(count + 1);
    for member in eligible {
        let choice = predict(pool, query, member, preferred, now);
        let mut seconds = choice.predicted.as_secs_f64();
        if cost == Cost::Shared {
            seconds += member.speed.prefill_time(choice.load.prefill_tokens).as_secs_f64();
        }
        seconds *= 1.0 + member.health.failure_rate * FAILURE_WEIGHT;
        seconds *= if member.health.is_paused(now) { PAUSED_WEIGHT } else { 1.0 };
        seconds *= if is_bound && member.may_be_replaced(now) { REPLACED_WEIGHT } else { 1.0 };
        seconds *= 1.0 + rng.random::<f64>() * JITTER;
        let position = best.partition_point(|(it, _)| *it <= seconds);
        if position < count {
            best.insert(position, (seconds, choice));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, choice)| choice).collect()
}

/// Returns the endpoints that may be sent the request.
fn eligible<'a>(pool: &'a Pool, query: &Query<'_>, now: Instant) -> Vec<&'a Member> {
    let is_eligible = |it: &&Member| {
        it.endpoint.service == query.service
            && it.is_usable(now)
            && it.declines_for(now).is_none()
            && query.requirement.admits(&it.endpoint.software)
            && !query.tried.contains(&it.endpoint.id)
            && !query.exhausted.contains(it.endpoint.id.as_str())
    };
    pool.members().filter(is_eligible).collect()
}

fn predict(
    pool: &Pool,
    query: &Query<'_>,
    member: &Member,
    preferred: Option<&str>,
    now: Instant,
) -> Choice {
    let endpoint = &member.endpoint;
    let known = pool.outstanding(&endpoint.id, now);
    let outstanding = known.load;
    let Some(engine) = query.engine else {
        let rounds = f64::from(outstanding.open_requests + 1) / f64::from(endpoint.slots.max(1));
        return Choice {
            id: endpoint.id.clone(),
            predicted: Duration::from_secs_f64(PLAIN_MS * rounds.max(0.2) / 1e3),
            load: Load { open_requests: 1, prefill_tokens: 0, held_tokens: 0 },
            total_prefill_tokens: 0,
            known_age: known.age,
        };
    };
    let is_preferred = preferred.is_some_and(|it| it == endpoint.id);
    let prefill_tokens = uncached_tokens(query.attributes, member, is_preferred, now);
    let size = query.attributes.size;
    let held_tokens = size.map_or(0, |it| it.prompt.saturating_add(it.output));
    let predicted = member.speed.time_to_first_token(
        outstanding,
        prefill_tokens,
        endpoint.slots,
        engine.memory_tokens,
    );
    Choice {
        id: endpoint.id.clone(),
        predicted,
        load: Load { open_requests: 1, prefill_tokens, held_tokens },
        total_prefill_tokens: outstanding.prefill_tokens.saturating_add(prefill_tokens),
        known_age: known.age,
    }
}

/// Returns the prompt tokens that the endpoint doesn't have cached. A cached
/// part only helps if all parts before it are cached too.
fn uncached_tokens(
    attributes: &Attributes,
    member: &Member,
    is_preferred: bool,
    now: Instant,
) -> u32 {
    let total = attributes.size.map_or(0, |it| it.prompt);
    let mut cached = 0;
    for (index, part) in attributes.parts.iter().enumerate() {
        let is_shared = index + 1 < attributes.parts.len();
        let is_cached = member.has_cached(part.id, now) || is_shared && is_preferred;
        if !is_cached {
            break;
        }
        cached += part.tokens;
    }
    total.saturating_sub(cached)
}

/// Returns the endpoint preferred for the last shared part of a prompt, and so
/// for all parts before it.
///
/// Uses the last shared part rather than the first: every prompt of a route may
/// share the first one, which can be more load than one endpoint can serve.
fn preferred_endpoint<'a>(candidates: &[&'a Member], attributes: &Attributes) -> Option<&'a str> {
    let last_shared = attributes.parts.len().checked_sub(2)?;
    let part = attributes.parts.get(last_shared)?.id;
    let preferred = candidates.iter().max_by_key(|it| rendezvous_hash(&it.endpoint.id, part))?;
    Some(&preferred.endpoint.id)
}

fn rendezvous_hash(endpoint: &str, part: u64) -> u64 {
    let mut bytes = endpoint.as_bytes().to_vec();
    bytes.extend(part.to_be_bytes());
    xxh3_64(&bytes)
}
