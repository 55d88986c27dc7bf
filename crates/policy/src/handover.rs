//! Decides what a daemon that is about to be reclaimed does with the completions
//! it serves, and which daemons receive copies.

use std::time::Duration;

/// Share of the remaining time that a completion may need to finish locally.
const FINISH_SHARE: f64 = 0.6;

/// A completion in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Number of tokens delivered so far.
    pub tokens: u32,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Time since the completion was accepted.
    pub age: Duration,
}

/// How to proceed with a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The completion is expected to finish before the reclaim.
    Finish,
    /// The completion would not finish in time, so another daemon continues it.
    HandOver,
}

/// Decides by the token rate so far. A completion without any token has no known
/// rate and is handed over.
pub fn decide(completion: &Completion, left: Duration) -> Decision {
    if completion.tokens == 0 {
        return Decision::HandOver;
    }
    let seconds_per_token = completion.age.as_secs_f64() / f64::from(completion.tokens);
    let remaining_tokens = completion.max_tokens.saturating_sub(completion.tokens);
    let needed_s = seconds_per_token * f64::from(remaining_tokens);
    if needed_s <= left.as_secs_f64() * FINISH_SHARE {
        return Decision::Finish;
    }
    Decision::HandOver
}

/// A daemon that can take over completions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Daemon<'a> {
    /// Name of the daemon.
    pub id: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// Returns the daemons that receive a copy; the first one continues the completion.
///
/// Keys are served by the first daemon in rendezvous order, which gets the first
/// copy. The second copy goes to the next daemon in order, which serves the key
/// if only the first daemon is lost. The third copy goes to the next daemon in
/// another availability zone, which serves the key if the first daemon's whole
/// zone is lost.
pub fn successors<'a>(name: &str, daemons: &[Daemon<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<&Daemon<'a>> = daemons.iter().collect();
    ranked.sort_by_key(|it| std::cmp::Reverse((crate::ring::weight(name, it.id), it.id)));
    let Some(first) = ranked.first() else { return Vec::new() };
    let second = ranked.get(1);
    let in_other_zone = ranked.iter().find(|it| it.zone != first.zone);
    let mut chosen = vec![first.id];
    for copy in second.into_iter().chain(in_other_zone) {
        if !chosen.contains(&copy.id) {
            chosen.push(copy.id);
        }
    }
    chosen
}
