//! The choice of an endpoint for a request.
//!
//! Answers loads in which engines have room: prompts go where their shared
//! parts are cached, as long as the prompts ahead of them cost less than
//! reading the parts again. Homes of parts are the same on all daemons.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use route::config::Engine;
use route::request::Asked;
use xxhash_rust::xxh3::xxh3_64;

use crate::load::Load;
use crate::pool::Member;
use crate::pool::Pool;

/// Factor on the predicted time of an endpoint that fails all requests.
const FAILING_WEIGHT: f64 = 30.0;
/// Time that a request takes at a plain service, for the order of endpoints.
const PLAIN_MS: f64 = 30.0;
/// Factor for an endpoint that is paused; used only when all are.
const PAUSED_WEIGHT: f64 = 100.0;
/// Spread of predictions below which endpoints count as equal.
const JITTER: f64 = 0.05;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Its engine, if it has one.
    pub engine: Option<&'a Engine>,
    /// The request.
    pub asked: &'a Asked,
    /// Endpoints that are not asked again.
    pub tried: &'a [String],
}

/// An endpoint for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identity of the endpoint.
    pub id: String,
    /// Time until the answer or first event, as predicted.
    pub predicted: Duration,
    /// Work that the request puts on the endpoint.
    pub load: Load,
    /// Tokens that are to be read ahead of the request's answer.
    pub unread_ahead: u32,
}

/// Chooses the endpoint with the earliest predicted answer.
pub fn choose(pool: &Pool, need: &Need<'_>, now: Instant, rng: &mut impl Rng) -> Option<Choice> {
    let of_service = |it: &&Member| {
        it.endpoint.service == need.service
            && it.is_usable(now)
            && !need.tried.contains(&it.endpoint.id)
    };
    let usable: Vec<&Member> = pool.members().filter(of_service).collect();
    let home = home(&usable, need.asked);
    let mut best: Option<(f64, Choice)> = None;
    for member in usable {
        let choice = predict(pool, need, member, home, now);
        let mut cost = choice.predicted.as_secs_f64();
        cost *= 1.0 + member.health.failing * FAILING_WEIGHT;
        cost *= if member.health.is_paused(now) { PAUSED_WEIGHT } else { 1.0 };
        cost *= 1.0 + rng.random::<f64>() * JITTER;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn predict(
    pool: &Pool,
    need: &Need<'_>,
    member: &Member,
    home: Option<&str>,
    now: Instant,
) -> Choice {
    let endpoint = &member.endpoint;
    let ahead = pool.load(&endpoint.id);
    let Some(engine) = need.engine else {
        let rounds = f64::from(ahead.open + 1) / f64::from(endpoint.slots.max(1));
        return Choice {
            id: endpoint.id.clone(),
            predicted: Duration::from_secs_f64(PLAIN_MS * rounds.max(0.2) / 1e3),
            load: Load { open: 1, unread: 0, held: 0 },
            unread_ahead: 0,
        };
    };
    let is_home = home.is_some_and(|it| it == endpoint.id);
    let unread = unread_tokens(need.asked, member, is_home, now);
    let size = need.asked.size;
    let held = size.map_or(0, |it| it.prompt.saturating_add(it.output));
    let predicted = member.speed.first_token(ahead, unread, endpoint.slots, engine.memory_tokens);
    Choice {
        id: endpoint.id.clone(),
        predicted,
        load: Load { open: 1, unread, held },
        unread_ahead: ahead.unread.saturating_add(unread),
    }
}

/// Tokens of a prompt that the endpoint does not have in its cache. A part is
/// of use only behind all parts before it.
fn unread_tokens(asked: &Asked, member: &Member, is_home: bool, now: Instant) -> u32 {
    let total = asked.size.map_or(0, |it| it.prompt);
    let mut cached = 0;
    for (at, part) in asked.parts.iter().enumerate() {
        let is_shared = at + 1 < asked.parts.len();
        let is_cached = member.has_cached(part.id, now) || is_shared && is_home;
        if !is_cached {
            break;
        }
        cached += part.tokens;
    }
    total.saturating_sub(cached)
}

/// Endpoint that is home to the last shared part of a prompt, and so to all
/// before it. A first part may be that of every prompt of a route, more than one
/// endpoint can serve.
fn home<'a>(usable: &[&'a Member], asked: &Asked) -> Option<&'a str> {
    let last_shared = asked.parts.len().checked_sub(2)?;
    let part = asked.parts.get(last_shared)?.id;
    let home = usable.iter().max_by_key(|it| rank(&it.endpoint.id, part))?;
    Some(&home.endpoint.id)
}

/// Rendezvous hash of an endpoint for a part.
fn rank(endpoint: &str, part: u64) -> u64 {
    let mut bytes = endpoint.as_bytes().to_vec();
    bytes.extend(part.to_be_bytes());
    xxh3_64(&bytes)
}
