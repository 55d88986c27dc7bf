//! What a daemon that will be reclaimed does with a completion that it serves.

use std::time::Duration;

/// Share of the time left that a completion may need to be finished here.
const FINISH_SHARE: f64 = 0.6;

/// A completion in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Tokens delivered so far.
    pub tokens: u32,
    /// Largest number of tokens.
    pub max_tokens: u32,
    /// Time since it was accepted.
    pub age: Duration,
}

/// What to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It will end before the reclaim.
    Finish,
    /// It would not end in time: another daemon goes on with it.
    HandOver,
}

/// Decides by the pace so far. A completion without a token has no known pace.
pub fn decide(completion: &Completion, left: Duration) -> Decision {
    if completion.tokens == 0 {
        return Decision::HandOver;
    }
    let pace = completion.age.as_secs_f64() / f64::from(completion.tokens);
    let missing = completion.max_tokens.saturating_sub(completion.tokens);
    let needed = pace * f64::from(missing);
    if needed <= left.as_secs_f64() * FINISH_SHARE {
        return Decision::Finish;
    }
    Decision::HandOver
}

/// A daemon that may take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Daemon<'a> {
    /// Name.
    pub id: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// The daemons that get a copy, the one that goes on with it first.
///
/// Keys are served by the first daemon in rendezvous order. The first copy
/// goes there, the second to the next in order, which serves the key if the
/// first one ends alone, and the third to the next of another zone, which
/// serves it if the first one's whole zone ends.
pub fn successors<'a>(name: &str, daemons: &[Daemon<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<&Daemon<'a>> = daemons.iter().collect();
    ranked.sort_by_key(|it| std::cmp::Reverse((crate::ring::weight(name, it.id), it.id)));
    let Some(first) = ranked.first() else { return Vec::new() };
    let second = ranked.get(1);
    let elsewhere = ranked.iter().find(|it| it.zone != first.zone);
    let mut chosen = vec![first.id];
    for copy in second.into_iter().chain(elsewhere) {
        if !chosen.contains(&copy.id) {
            chosen.push(copy.id);
        }
    }
    chosen
}
