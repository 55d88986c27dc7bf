//! Choice of the endpoint for an attempt.

use crate::ring;

/// An endpoint that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the VM.
    pub id: &'a str,
    /// Attempts of this daemon that are open there.
    pub in_flight: u32,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
}

/// What is routed.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// Beginning of the prompt, by which requests that share a prefix meet.
    pub affinity: &'a str,
    /// Endpoints not to be chosen, because an earlier attempt failed there.
    pub avoid: &'a [String],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has the fewest open attempts.
    LeastLoaded,
    /// Among equally loaded ones, its hash is nearest to the prefix.
    Prefix,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Endpoint chosen.
    pub chosen: &'a str,
    /// Endpoint that would have been next.
    pub runner_up: Option<&'a str>,
    /// Why.
    pub reason: Reason,
}

/// Chooses an endpoint; `None` when there is no candidate left.
pub fn choose<'a>(request: &Request<'_>, candidates: &[Candidate<'a>]) -> Option<Decision<'a>> {
    let allowed = candidates.iter().filter(|it| !request.avoid.iter().any(|id| id == it.id));
    let mut ranked: Vec<&Candidate<'a>> = allowed.collect();
    ranked.sort_by_key(|it| (it.in_flight, u64::MAX - ring::weight(request.affinity, it.id)));
    let chosen = ranked.first()?;
    let runner_up = ranked.get(1);
    let tied = runner_up.is_some_and(|it| it.in_flight == chosen.in_flight);
    let reason = if tied { Reason::Prefix } else { Reason::LeastLoaded };
    Some(Decision { chosen: chosen.id, runner_up: runner_up.map(|it| it.id), reason })
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::LeastLoaded => "least_loaded",
            Reason::Prefix => "prefix",
        })
    }
}
