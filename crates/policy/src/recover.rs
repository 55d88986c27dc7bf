//! Plans how the streams of endpoints that are being reclaimed are recovered, for
//! a whole wave of reclaims at once.

use std::collections::HashMap;

/// Safety margin kept before the reclaim, in milliseconds.
const MARGIN_MS: f64 = 300.0;
/// Time to set up the export and import of a KV cache, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 50.0;

/// A stream on an endpoint that is being reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream<'a> {
    /// Number of the job.
    pub job: u64,
    /// Endpoint that is being reclaimed.
    pub endpoint: &'a str,
    /// Service the job belongs to.
    pub service: &'a str,
    /// Milliseconds until the reclaim.
    pub notice_left_ms: f64,
    /// Maximum number of tokens still to generate.
    pub tokens_left: u32,
    /// Milliseconds between two generated tokens.
    pub token_ms: f64,
    /// Tokens of the prompt and the answer so far, which a resume has to compute.
    pub context_tokens: u32,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Weight of a recomputed token relative to a moved one.
    pub recompute_weight: f64,
}

/// An endpoint that is not being reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct Survivor<'a> {
    /// Name of the VM.
    pub id: &'a str,
    /// Service the endpoint serves.
    pub service: &'a str,
    /// Number of sequences that it can start immediately.
    pub free_slots: u32,
    /// Number of leading context tokens that it has cached, by job.
    pub cached: HashMap<u64, u32>,
}

/// Throughput of recomputing and moving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens that an endpoint computes per millisecond.
    pub computed_per_ms: f64,
    /// Tokens whose KV cache an endpoint moves per millisecond.
    pub moved_per_ms: f64,
}

/// How a stream is recovered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// The stream continues on its endpoint.
    Finish,
    /// Its KV cache is moved and the stream continues on a survivor.
    Move {
        /// Name of the survivor.
        to: &'a str,
    },
    /// The stream is resumed on a survivor by recomputing its tokens.
    Resume {
        /// Name of the survivor.
        to: &'a str,
    },
    /// The stream waits for an endpoint.
    Wait,
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The stream ends before the reclaim.
    FitsNotice,
    /// Moving takes less weighted time than recomputing.
    MoveIsCheaper,
    /// Recomputing takes less weighted time than moving.
    RecomputeIsCheaper,
    /// The KV cache cannot be moved before the reclaim.
    NoTimeToMove,
    /// No endpoint of the service remains.
    NoSurvivor,
}

/// The plan for one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Number of the job.
    pub job: u64,
    /// How the stream is recovered.
    pub action: Action<'a>,
    /// Delay before the action starts, in milliseconds; staggers the load on
    /// survivors.
    pub delay_ms: f64,
    /// Number of tokens that the survivor has to recompute.
    pub recomputed_tokens: u32,
    /// Reason for the decision.
    pub reason: Reason,
}

/// Plans the recovery of a wave. Returns one decision per stream, ordered by priority
/// and then by context size, largest first.
pub fn plan<'a>(
    streams: &[Stream<'a>],
    survivors: &[Survivor<'a>],
    rates: Rates,
) -> Vec<Decision<'a>> {
    let mut ordered: Vec<&Stream<'a>> = streams.iter().collect();
    // Dossiers come first; within a priority, the longest context, which would lose the most.
    ordered.sort_by_key(|it| (it.priority, u32::MAX - it.context_tokens, it.job));
    let mut wave = Wave { rates, loads: Vec::new(), exports_ms: HashMap::new() };
    wave.loads =
        survivors.iter().map(|it| Load { survivor: it, busy_ms: 0.0, assigned: 0 }).collect();
    ordered.into_iter().map(|stream| wave.decide(stream)).collect()
}

/// State of the planning of a wave.
struct Wave<'a, 'b> {
    rates: Rates,
    loads: Vec<Load<'a, 'b>>,
    /// How long each reclaimed endpoint is busy with the exports planned so far, in
    /// milliseconds.
    exports_ms: HashMap<&'a str, f64>,
}

/// The load that the plan has assigned to a survivor so far.
struct Load<'a, 'b> {
    survivor: &'b Survivor<'a>,
    busy_ms: f64,
    assigned: u32,
}

impl<'a> Wave<'a, '_> {
    fn decide(&mut self, stream: &Stream<'a>) -> Decision<'a> {
        let job = stream.job;
        let usable_ms = stream.notice_left_ms - MARGIN_MS;
        if f64::from(stream.tokens_left) * stream.token_ms <= usable_ms {
            let (action, reason) = (Action::Finish, Reason::FitsNotice);
            return Decision { job, action, delay_ms: 0.0, recomputed_tokens: 0, reason };
        }
        let Some(index) = self.best_survivor(stream) else {
            let (action, reason) = (Action::Wait, Reason::NoSurvivor);
            let recomputed_tokens = stream.context_tokens;
            return Decision { job, action, delay_ms: 0.0, recomputed_tokens, reason };
        };
        let recomputed_tokens = self.loads[index].uncached_tokens(stream);
        let compute_ms = f64::from(recomputed_tokens) / self.rates.computed_per_ms;
        let move_ms =
            TRANSFER_SETUP_MS + f64::from(stream.context_tokens) / self.rates.moved_per_ms;
        let exports_ms = self.exports_ms.entry(stream.endpoint).or_default();
        let move_end_ms = *exports_ms + move_ms;
        let load = &mut self.loads[index];
        let to = load.survivor.id;
        load.assigned += 1;
        if move_ms < compute_ms * stream.recompute_weight && move_end_ms <= usable_ms {
            let delay_ms = *exports_ms;
            *exports_ms = move_end_ms;
            let (action, reason) = (Action::Move { to }, Reason::MoveIsCheaper);
            return Decision { job, action, delay_ms, recomputed_tokens: 0, reason };
        }
        let delay_ms = load.busy_ms;
        load.busy_ms += compute_ms;
        let is_too_late = move_end_ms > usable_ms;
        let reason = if is_too_late { Reason::NoTimeToMove } else { Reason::RecomputeIsCheaper };
        let action = Action::Resume { to };
        Decision { job, action, delay_ms, recomputed_tokens, reason }
    }

    /// Returns the index of the survivor where the stream can continue soonest, preferring
    /// survivors with a free slot.
    fn best_survivor(&self, stream: &Stream<'_>) -> Option<usize> {
        let usable = (0..self.loads.len())
            .filter(|index| self.loads[*index].survivor.service == stream.service);
        usable.min_by(|a, b| {
            let key = |index: usize| {
                let load = &self.loads[index];
                let compute_ms =
                    f64::from(load.uncached_tokens(stream)) / self.rates.computed_per_ms;
                (load.is_full(), load.busy_ms + compute_ms, load.assigned)
            };
            let (a, b) = (key(*a), key(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        })
    }
}

impl Load<'_, '_> {
    fn is_full(&self) -> bool {
        self.assigned >= self.survivor.free_slots
    }

    fn uncached_tokens(&self, stream: &Stream<'_>) -> u32 {
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
