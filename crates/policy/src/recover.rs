//! Recovery of the streams of endpoints that are being reclaimed, planned for
//! a whole wave at once.

use std::collections::HashMap;

/// Part of the notice that is left unused, in milliseconds.
const MARGIN_MS: f64 = 300.0;
/// Time to set up an export and an import, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 50.0;

/// A stream on an endpoint that is being reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream<'a> {
    /// Number of the job.
    pub job: u64,
    /// Endpoint that is being reclaimed.
    pub endpoint: &'a str,
    /// Service.
    pub service: &'a str,
    /// Milliseconds until the reclaim.
    pub notice_left_ms: f64,
    /// Most tokens still to come.
    pub tokens_left: u32,
    /// Milliseconds between two of its tokens.
    pub token_ms: f64,
    /// Tokens of prompt and answer so far: what a resume has to compute.
    pub context_tokens: u32,
    /// Priority class, 0 first.
    pub priority: u8,
    /// How much more a recomputed token weighs than a moved one.
    pub recompute_weight: f64,
}

/// An endpoint that stays.
#[derive(Clone, Debug, PartialEq)]
pub struct Survivor<'a> {
    /// Name of the VM.
    pub id: &'a str,
    /// Service.
    pub service: &'a str,
    /// Sequences that it can start at once.
    pub free_slots: u32,
    /// Tokens of the beginning of a job's context that it has cached.
    pub cached: HashMap<u64, u32>,
}

/// What computing and moving cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens that an endpoint computes in a millisecond.
    pub computed_per_ms: f64,
    /// Tokens whose KV cache an endpoint moves in a millisecond.
    pub moved_per_ms: f64,
}

/// What is done with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// It goes on where it is.
    Finish,
    /// Its KV cache is moved and it goes on there.
    Move {
        /// Survivor.
        to: &'a str,
    },
    /// It is resumed there from its tokens.
    Resume {
        /// Survivor.
        to: &'a str,
    },
    /// It waits for an endpoint.
    Wait,
}

/// Why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It ends before the reclaim.
    FitsNotice,
    /// Moving takes less time, weighed, than computing again.
    MoveIsCheaper,
    /// Computing again takes less time, weighed, than moving.
    RecomputeIsCheaper,
    /// The KV cache can't be moved before the reclaim.
    NoTimeToMove,
    /// No endpoint of the service stays.
    NoSurvivor,
}

/// The plan for one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Number of the job.
    pub job: u64,
    /// What is done.
    pub action: Action<'a>,
    /// Milliseconds after which it is begun, so that survivors are not
    /// stampeded.
    pub delay_ms: f64,
    /// Tokens that the survivor has to compute again.
    pub recomputed_tokens: u32,
    /// Why.
    pub reason: Reason,
}

/// Plans a wave; the decisions come in the order in which they are begun.
pub fn plan<'a>(
    streams: &[Stream<'a>],
    survivors: &[Survivor<'a>],
    rates: Rates,
) -> Vec<Decision<'a>> {
    let mut ordered: Vec<&Stream<'a>> = streams.iter().collect();
    // Dossiers first; among equals the one with the most to lose.
    ordered.sort_by_key(|it| (it.priority, u32::MAX - it.context_tokens, it.job));
    let mut wave = Wave { rates, starts: Vec::new(), exports_ms: HashMap::new() };
    wave.starts =
        survivors.iter().map(|it| Start { survivor: it, busy_ms: 0.0, taken: 0 }).collect();
    ordered.into_iter().map(|stream| wave.decide(stream)).collect()
}

struct Wave<'a, 'b> {
    rates: Rates,
    starts: Vec<Start<'a, 'b>>,
    /// Time for which each reclaimed endpoint is busy with exports.
    exports_ms: HashMap<&'a str, f64>,
}

/// What the plan has given a survivor so far.
struct Start<'a, 'b> {
    survivor: &'b Survivor<'a>,
    busy_ms: f64,
    taken: u32,
}

impl<'a> Wave<'a, '_> {
    fn decide(&mut self, stream: &Stream<'a>) -> Decision<'a> {
        let job = stream.job;
        let usable_ms = stream.notice_left_ms - MARGIN_MS;
        if f64::from(stream.tokens_left) * stream.token_ms <= usable_ms {
            let (action, reason) = (Action::Finish, Reason::FitsNotice);
            return Decision { job, action, delay_ms: 0.0, recomputed_tokens: 0, reason };
        }
        let Some(at) = self.best_start(stream) else {
            let (action, reason) = (Action::Wait, Reason::NoSurvivor);
            let recomputed_tokens = stream.context_tokens;
            return Decision { job, action, delay_ms: 0.0, recomputed_tokens, reason };
        };
        let missing = self.starts[at].missing_tokens(stream);
        let compute_ms = f64::from(missing) / self.rates.computed_per_ms;
        let move_ms =
            TRANSFER_SETUP_MS + f64::from(stream.context_tokens) / self.rates.moved_per_ms;
        let exports_ms = self.exports_ms.entry(stream.endpoint).or_default();
        let moved_at_ms = *exports_ms + move_ms;
        let start = &mut self.starts[at];
        let to = start.survivor.id;
        start.taken += 1;
        if move_ms < compute_ms * stream.recompute_weight && moved_at_ms <= usable_ms {
            let delay_ms = *exports_ms;
            *exports_ms = moved_at_ms;
            let (action, reason) = (Action::Move { to }, Reason::MoveIsCheaper);
            return Decision { job, action, delay_ms, recomputed_tokens: 0, reason };
        }
        let delay_ms = start.busy_ms;
        start.busy_ms += compute_ms;
        let too_late = moved_at_ms > usable_ms;
        let reason = if too_late { Reason::NoTimeToMove } else { Reason::RecomputeIsCheaper };
        let action = Action::Resume { to };
        Decision { job, action, delay_ms, recomputed_tokens: missing, reason }
    }

    /// The survivor where the stream goes on soonest, one with a free slot first.
    fn best_start(&self, stream: &Stream<'_>) -> Option<usize> {
        let usable =
            (0..self.starts.len()).filter(|at| self.starts[*at].survivor.service == stream.service);
        usable.min_by(|one, other| {
            let key = |at: usize| {
                let start = &self.starts[at];
                let compute_ms =
                    f64::from(start.missing_tokens(stream)) / self.rates.computed_per_ms;
                (start.is_full(), start.busy_ms + compute_ms, start.taken)
            };
            let (one, other) = (key(*one), key(*other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)).then(one.2.cmp(&other.2))
        })
    }
}

impl Start<'_, '_> {
    fn is_full(&self) -> bool {
        self.taken >= self.survivor.free_slots
    }

    fn missing_tokens(&self, stream: &Stream<'_>) -> u32 {
        let cached = self.survivor.cached.get(&stream.job).copied().unwrap_or(0);
        stream.context_tokens.saturating_sub(cached)
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::FitsNotice => "fits_notice",
            Reason::MoveIsCheaper => "move_is_cheaper",
            Reason::RecomputeIsCheaper => "recompute_is_cheaper",
            Reason::NoTimeToMove => "no_time_to_move",
            Reason::NoSurvivor => "no_survivor",
        })
    }
}

impl std::fmt::Display for Action<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Action::Finish => "finish",
            Action::Move { .. } => "move",
            Action::Resume { .. } => "resume",
            Action::Wait => "wait",
        })
    }
}
