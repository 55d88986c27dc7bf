//! Which interrupted attempts count as crashes of their endpoints.

use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Instance;
use crate::member::Member;

/// Minimum time without any response from an endpoint for an attempt to count that a
/// timeout or the caller has ended.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// How an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection broke after the request was sent.
    Broken,
    /// A timeout or the caller ended it.
    GivenUp,
}

/// An attempt without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Instance that executed the request.
    pub instance: Instance,
    /// How it ended.
    pub end: End,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// Why an interrupted attempt doesn't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The endpoint had announced its end, at which it breaks off what it can't finish.
    EndpointLeaving,
    /// The endpoint has responded since, so it may only be slow.
    EndpointResponds,
}

impl Reason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::EndpointLeaving => "endpoint_leaving",
            Reason::EndpointResponds => "endpoint_responds",
        }
    }
}

/// Returns why the attempt doesn't count, or `None` if it does. `member` is what is known
/// of its endpoint now, if anything.
pub fn reason_not_to_count(
    attempt: &Attempt,
    member: Option<&Member>,
    now: Instant,
) -> Option<Reason> {
    // What a later instance of the endpoint does says nothing about this one.
    let member = member.filter(|it| it.instance == attempt.instance)?;
    if member.leaving {
        return Some(Reason::EndpointLeaving);
    }
    let is_silent = now >= attempt.sent_at + MIN_SILENCE
        && member.responded_at.is_none_or(|it| it < attempt.sent_at);
    (attempt.end == End::GivenUp && !is_silent).then_some(Reason::EndpointResponds)
}
