//! Admitted requests that have not finished.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::load::Load;
use balance::origin::Key;
use balance::software::Requirement;
use balance::subject::Subject;
use policy::promise::Evidence;
use route::config::Kind;
use route::request::Attributes;
use route::table::Match;

use super::origins::stream_key;

/// An admitted request that has not finished.
#[derive(Debug)]
pub struct Pending {
    pub(super) route: String,
    pub(super) service: String,
    pub(super) is_stream: bool,
    /// The stream that it begins or takes up, if callers may take it up again.
    pub(super) stream: Option<Key>,
    /// The software version that it needs.
    pub(super) requirement: Requirement,
    pub(super) attributes: Attributes,
    /// What may be the cause of a crash of its endpoint.
    pub(super) subjects: Vec<Subject>,
    /// Whether it tries a subject again that was rejected.
    pub(super) is_trial: bool,
    pub(super) workspace: Option<String>,
    /// Quota units charged to the workspace.
    pub(super) units: f64,
    pub(super) is_idempotent: bool,
    pub(super) attempts_left: u32,
    /// Ids of the endpoints that the request was sent to.
    pub(super) tried: Vec<String>,
    /// Id, address and instance of the current endpoint.
    pub(super) endpoint: String,
    pub(super) address: SocketAddr,
    pub(super) instance: Instance,
    /// Software version of the current endpoint; empty until the entry of its process is read.
    pub(super) software: String,
    /// The current endpoint's process, if it has itself stated when it started.
    pub(super) confirmed: Option<Instance>,
    /// How it is known which process runs the request, for logs.
    pub(super) identified_by: &'static str,
    /// Since when that process has been answering this daemon.
    pub(super) heard_since: Option<Instant>,
    /// End of the time in which the processes of its endpoints may become known.
    pub(super) confirm_until: Option<Instant>,
    /// When it began, and since when the process there had been answering, if that is not known
    /// to be the one that the entry described.
    pub(super) unconfirmed_origin: Option<Unconfirmed>,
    pub(super) load: Load,
    /// Prompt tokens that the endpoint computes before the request's first token: those
    /// already queued and those of this request.
    pub(super) prefill_tokens: u32,
    pub(super) predicted: Duration,
    pub(super) arrived_at: Instant,
    /// Time limit of the route or the caller, counted from `arrived_at`.
    pub(super) limit: Duration,
    pub(super) sent_at: Instant,
    /// Whether a connection was opened for the current attempt.
    pub(super) is_fresh: bool,
    pub(super) has_started: bool,
    /// Whether it was recorded that an endpoint has made progress with the request.
    pub(super) is_progress_known: bool,
    /// When the current endpoint began to respond.
    pub(super) began_at: Option<Instant>,
    /// What the attempts that have ended show about whether the request has run.
    pub(super) evidence: Evidence,
}

/// A process that is not known to be the one that its endpoint's entry described.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unconfirmed {
    pub(super) instance: Instance,
    pub(super) began_at: Instant,
    pub(super) heard_since: Instant,
}

impl Pending {
    /// Whether the current endpoint's process is known: it has stated its start, or a list of
    /// endpoints was complete for long enough.
    pub(super) fn is_identified(&self) -> bool {
        !self.identified_by.is_empty()
    }

    /// Whether it is still sent by the process that began it, which is not known.
    pub(super) fn is_where_it_began(&self) -> bool {
        self.unconfirmed_origin.is_some_and(|it| it.instance == self.instance)
    }

    /// Whether the entry of the process that runs the request was not read yet.
    pub(super) fn is_unread(&self) -> bool {
        self.software.is_empty()
    }

    /// Creates a request that is not assigned to an endpoint yet.
    pub(super) fn new(
        found: &Match<'_>,
        attributes: Attributes,
        subjects: Vec<Subject>,
        units: f64,
        limit: Duration,
        now: Instant,
    ) -> Pending {
        Pending {
            route: found.route.name.clone(),
            service: found.service.to_owned(),
            is_stream: found.route.kind == Kind::Stream,
            stream: stream_key(found, &attributes).filter(|_| found.route.is_idempotent()),
            requirement: Requirement::Any,
            attributes,
            subjects,
            is_trial: false,
            workspace: found.workspace.map(|it| it.name.clone()),
            units,
            is_idempotent: found.route.is_idempotent(),
            attempts_left: found.route.attempts,
            tried: Vec::new(),
            endpoint: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            instance: Instance(0),
            software: String::new(),
            confirmed: None,
            identified_by: "",
            heard_since: None,
            confirm_until: None,
            unconfirmed_origin: None,
            load: Load::default(),
            prefill_tokens: 0,
            predicted: Duration::ZERO,
            arrived_at: now,
            limit,
            sent_at: now,
            is_fresh: false,
            has_started: false,
            is_progress_known: false,
            began_at: None,
            evidence: Evidence::Unsent,
        }
    }
}
