//! Accounting daemons: for each endpoint, one daemon that the others tell at once what they
//! send there and ask before they send more.
//!
//! Answers loads at which many daemons choose at the same moment in a fleet too large for
//! a gossip round to reach all of it, where what a digest says of others' work is
//! seconds old. A report states all that its sender has outstanding at an endpoint, so that a
//! lost or repeated one is corrected by the next, and by the next digest.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bincode::Decode;
use bincode::Encode;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint::Instance;
use crate::load::Load;
use crate::pool::Pool;

/// Number of endpoints of which accounting daemons are asked for a request.
pub const CANDIDATES: usize = 2;
/// Uncached prompt tokens, of a request and of those ahead of it, from which accounting daemons
/// are asked and told. Fewer are computed in about the time that asking takes.
pub const MIN_TOKENS: u32 = 500;
/// Maximum number of prompt parts in a message.
pub const MAX_PARTS: usize = 32;

/// A message to or from an accounting daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Asks for the states of endpoints.
    Question(Question),
    /// Response to a question.
    Answer(Answer),
    /// States what its sender has outstanding.
    Report(Report),
}

/// A question about endpoints that the receiver accounts for.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Question {
    /// Instance of the sender.
    pub daemon: String,
    /// Address for the answer.
    pub to: SocketAddr,
    /// Number of the question at its sender.
    pub number: u64,
    /// Ids of the endpoints.
    pub endpoints: Vec<String>,
    /// Ids of the prompt's first parts.
    pub parts: Vec<u64>,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Answer {
    /// Address of the sender for peers.
    pub from: SocketAddr,
    /// Number of the question.
    pub number: u64,
    /// States of those endpoints that the sender knows.
    pub states: Vec<State>,
}

/// State of an endpoint as its accounting daemon knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct State {
    /// Endpoint id.
    pub endpoint: String,
    /// Instance that the state is about.
    pub instance: Instance,
    /// Outstanding work of all daemons except the one that asks.
    pub load: Load,
    /// For each of the prompt's first parts that is cached, the time since it was last sent
    /// there, in milliseconds.
    pub cached_ms: Vec<u32>,
}

/// What a daemon has outstanding at an endpoint.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Report {
    /// Instance of the sender.
    pub daemon: String,
    /// Endpoint id.
    pub endpoint: String,
    /// Instance of the endpoint.
    pub instance: Instance,
    /// All outstanding work of the sender there.
    pub load: Load,
    /// Ids of the prompt parts that it has just sent there.
    pub parts: Vec<u64>,
}

/// Returns the rank of a daemon among those that may account for an endpoint. The daemon of the
/// lowest rank does.
pub fn rank(endpoint: &str, daemon: &str) -> u64 {
    let mut bytes = endpoint.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(daemon.as_bytes());
    xxh3_64(&bytes)
}

/// Returns the answer of the daemon at `from` to a question.
pub fn answer(pool: &Pool, question: &Question, from: SocketAddr, now: Instant) -> Answer {
    let state = |id: &String| {
        let member = pool.member(id)?;
        let parts = question.parts.iter().take(MAX_PARTS);
        let ages = parts.map_while(|it| member.cached_age(*it, now));
        Some(State {
            endpoint: id.clone(),
            instance: member.instance,
            load: pool.load_of_others(id, &question.daemon),
            cached_ms: ages.map(|it| it.as_millis() as u32).collect(),
        })
    };
    let states = question.endpoints.iter().take(CANDIDATES).filter_map(state).collect();
    Answer { from, number: question.number, states }
}

/// Merges the answer to a question about a prompt with these parts.
pub fn merge_answer(pool: &mut Pool, answer: &Answer, parts: &[u64], now: Instant) {
    for state in &answer.states {
        let member = pool.member_mut(&state.endpoint);
        let Some(member) = member.filter(|it| it.instance == state.instance) else { continue };
        member.set_view(state.load, now);
        for (part, age_ms) in parts.iter().zip(&state.cached_ms) {
            if let Some(at) = now.checked_sub(Duration::from_millis(u64::from(*age_ms))) {
                member.record_cached(*part, at);
            }
        }
    }
}

/// Merges another daemon's report.
pub fn merge_report(pool: &mut Pool, report: &Report, now: Instant) {
    let member = pool.member_mut(&report.endpoint);
    let Some(member) = member.filter(|it| it.instance == report.instance) else { return };
    for part in report.parts.iter().take(MAX_PARTS) {
        member.record_cached(*part, now);
    }
    pool.set_remote_load(&report.daemon, &report.endpoint, report.load, now);
}
