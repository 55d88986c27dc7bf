//! Choice of the endpoint for an attempt.

use serde::Deserialize;
use serde::Serialize;

/// Part of the target within which a first token counts as on time.
const ON_TIME_SHARE: f64 = 0.75;
/// Weight of a second of lateness against a second of an endpoint of mean
/// price; a late answer is what cost is bound by.
const LATE_WEIGHT: f64 = 50.0;
/// Weight of a second of waiting within the target.
const WAIT_WEIGHT: f64 = 0.2;
/// Weight of a recomputed second of prompt.
const RECOMPUTE_WEIGHT: f64 = 4.0;
/// Sequences by which the estimate of those at an endpoint is uncertain.
const UNCERTAINTY: f64 = 1.2;
/// Sequences that may have come to an endpoint since it was heard of.
const UNSEEN: f64 = 8.0;
/// Score by which a later place in the order of affinity is worse.
const PLACE_WEIGHT: f64 = 0.002;

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// By predicted wait, recomputed tokens and price.
    #[default]
    Scored,
    /// At random.
    Random,
    /// By load only.
    LeastLoaded,
    /// By the hash of the prompt's beginning only.
    PrefixHash,
}

/// An endpoint that may be chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate<'a> {
    /// Name of the VM.
    pub id: &'a str,
    /// Price as a multiple of the mean of the service's endpoints.
    pub price: f64,
    /// Sequences estimated there.
    pub busy: f64,
    /// Sequences that run at once.
    pub capacity: f64,
    /// Tokens of the prompt that are probably cached there, by own sends.
    pub cached_tokens: u32,
    /// Share of the prompt that is probably cached there, by the sends of all
    /// daemons.
    pub home: f64,
}

/// What is routed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// How to choose.
    pub mode: Mode,
    /// Number that a random choice is made from.
    pub seed: u64,
    /// Tokens of the prompt and of what was generated elsewhere.
    pub prompt_tokens: u32,
    /// Tokens still to generate.
    pub output_tokens: u32,
    /// Target for the first token, in milliseconds.
    pub target_ms: f64,
    /// Weight of latency-bound cost.
    pub cost_weight: f64,
    /// Weight of recomputed tokens.
    pub recompute_weight: f64,
    /// Pace of the service's endpoints.
    pub pace: Pace,
}

/// Pace of endpoints, learned from answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Milliseconds to compute a token of a prompt.
    pub prefill_ms: f64,
    /// Milliseconds between two generated tokens.
    pub token_ms: f64,
    /// Milliseconds for which the sequences that are met hold their places.
    pub hold_ms: f64,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is the only one.
    Only,
    /// It has most of the prompt cached.
    Cached,
    /// It answers earlier than others.
    Sooner,
    /// It is cheaper than others.
    Cheaper,
    /// Its hash is nearest to the prompt.
    Prefix,
    /// It has the fewest sequences.
    LeastLoaded,
    /// By chance.
    Random,
}

/// A choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision<'a> {
    /// Endpoint chosen.
    pub chosen: &'a str,
    /// Endpoint that would have been next.
    pub runner_up: Option<&'a str>,
    /// Why.
    pub reason: Reason,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
    /// Tokens of the prompt that are expected to be cached.
    pub cached_tokens: u32,
}

/// Chooses among candidates in order of affinity; `None` when there is none.
pub fn choose<'a>(request: &Request, candidates: &[Candidate<'a>]) -> Option<Decision<'a>> {
    let (chosen, runner_up) = match request.mode {
        Mode::Scored => best(candidates, |place, it| score(request, place, it))?,
        Mode::LeastLoaded => best(candidates, |_, it| it.busy / it.capacity)?,
        Mode::PrefixHash => best(candidates, |place, _| place as f64)?,
        Mode::Random => best(candidates, |place, _| shuffled(request.seed, place))?,
    };
    let reason = match (request.mode, runner_up) {
        (_, None) => Reason::Only,
        (Mode::Scored, Some(other)) => reason(request, chosen, other),
        (Mode::LeastLoaded, _) => Reason::LeastLoaded,
        (Mode::PrefixHash, _) => Reason::Prefix,
        (Mode::Random, _) => Reason::Random,
    };
    Some(Decision {
        chosen: chosen.id,
        runner_up: runner_up.map(|it| it.id),
        reason,
        predicted_ms: predicted_ms(request, chosen),
        cached_tokens: chosen.cached_tokens,
    })
}

/// Predicted time to the first token at an endpoint, in milliseconds.
pub fn predicted_ms(request: &Request, candidate: &Candidate<'_>) -> f64 {
    first_token_ms(request, candidate, 0.0)
}

/// Time to the first token when `more` sequences are there than estimated.
fn first_token_ms(request: &Request, candidate: &Candidate<'_>, more: f64) -> f64 {
    let ahead = candidate.busy + more - candidate.capacity + 1.0;
    // A soft maximum: an endpoint that is nearly full may be full.
    let expected = UNCERTAINTY * (ahead / UNCERTAINTY).exp().ln_1p();
    let expected = if expected.is_finite() { expected } else { ahead };
    let queue = expected * request.pace.hold_ms / candidate.capacity.max(1.0);
    queue + uncached(request, candidate) * request.pace.prefill_ms + request.pace.token_ms
}

fn uncached(request: &Request, candidate: &Candidate<'_>) -> f64 {
    let prompt = f64::from(request.prompt_tokens);
    let cached = f64::from(candidate.cached_tokens).max(candidate.home * prompt);
    (prompt - cached).max(0.0)
}

/// Seconds of an endpoint of mean price that the choice is worth; less is better.
fn score(request: &Request, place: usize, candidate: &Candidate<'_>) -> f64 {
    let predicted_s = first_token_ms(request, candidate, UNSEEN) / 1000.0;
    let prefill_s = uncached(request, candidate) * request.pace.prefill_ms / 1000.0;
    let generate_s = f64::from(request.output_tokens) * request.pace.token_ms / 1000.0;
    let late_s = (predicted_s - ON_TIME_SHARE * request.target_ms / 1000.0).max(0.0);
    let money = request.cost_weight * candidate.price * (prefill_s + generate_s);
    let recompute = request.recompute_weight * RECOMPUTE_WEIGHT * prefill_s;
    let wait = WAIT_WEIGHT * predicted_s + LATE_WEIGHT * request.cost_weight * late_s;
    money + recompute + wait + PLACE_WEIGHT * place as f64
}

fn reason(request: &Request, chosen: &Candidate<'_>, other: &Candidate<'_>) -> Reason {
    let earlier = predicted_ms(request, other) - predicted_ms(request, chosen);
    if chosen.cached_tokens > other.cached_tokens {
        return Reason::Cached;
    }
    if chosen.price < other.price {
        return Reason::Cheaper;
    }
    if earlier > 1.0 { Reason::Sooner } else { Reason::Prefix }
}

/// The candidates with the smallest and second smallest score.
fn best<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    score: impl Fn(usize, &Candidate<'a>) -> f64,
) -> Option<(&'c Candidate<'a>, Option<&'c Candidate<'a>>)> {
    let mut first: Option<(f64, &Candidate<'a>)> = None;
    let mut second: Option<(f64, &Candidate<'a>)> = None;
    for (place, candidate) in candidates.iter().enumerate() {
        let scored = (score(place, candidate), candidate);
        if first.is_none_or(|(best, _)| scored.0 < best) {
            second = first;
            first = Some(scored);
        } else if second.is_none_or(|(best, _)| scored.0 < best) {
            second = Some(scored);
        }
    }
    first.map(|(_, chosen)| (chosen, second.map(|(_, it)| it)))
}

fn shuffled(seed: u64, place: usize) -> f64 {
    let mixed = crate::ring::mix(seed, place as u64);
    (mixed >> 11) as f64
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::Only => "only",
            Reason::Cached => "cached",
            Reason::Sooner => "sooner",
            Reason::Cheaper => "cheaper",
            Reason::Prefix => "prefix",
            Reason::LeastLoaded => "least_loaded",
            Reason::Random => "random",
        })
    }
}
