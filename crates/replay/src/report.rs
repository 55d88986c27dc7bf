//! Replay report: cost, latency, recomputed tokens, refusals and platform calls.

use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use policy::admission::Class;
use policy::blocks;
use serde::Serialize;

use crate::answer::Answer;
use crate::answer::Status;
use crate::drive::Run;
use crate::targets::Targets;
use crate::trace::Chat;
use crate::verdict::Verdict;

/// Microseconds per millisecond.
const US_PER_MS: f64 = 1000.0;
/// Seconds per hour.
const S_PER_HOUR: f64 = 3600.0;
/// Significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// Summary of a replay.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// Seconds from the start of the replay to the last answer.
    pub seconds: f64,
    /// Number of requested completions.
    pub completions: usize,
    /// Completions answered completely.
    pub whole: usize,
    /// Completions refused and reported as not run.
    pub refused: usize,
    /// Completions reported as failed or as having an unknown outcome.
    pub failed: usize,
    /// Completions that ended without a final status or with an incorrect answer.
    pub broken: usize,
    /// Number of times that callers resent a completion.
    pub resent: u32,
    /// Time to the first token, in milliseconds.
    pub first_token: Percentiles,
    /// Time to the first token of drafts, in milliseconds.
    pub first_token_drafts: Percentiles,
    /// Time to the first token of questions, in milliseconds.
    pub first_token_questions: Percentiles,
    /// Time between tokens, in milliseconds.
    pub between_tokens: Percentiles,
    /// Share of completions answered completely with the first token within the target.
    pub within_target: f64,
    /// Prompt and resumed tokens computed by engines.
    pub computed_tokens: u64,
    /// Computed tokens in excess of computing each distinct prompt block once.
    pub recomputed_tokens: u64,
    /// Ratio of generated tokens to delivered tokens.
    pub offered_to_useful: f64,
    /// Number of executions of completions on engines.
    pub executions: usize,
    /// Price of the engine slots for the time they were occupied, per thousand
    /// completions within the target.
    pub held_cost: f64,
    /// Price of all engines for the duration of the replay, per thousand completions
    /// within the target.
    pub fleet_cost: f64,
    /// Number of calls of plain services.
    pub calls: usize,
    /// Number of these calls that were answered completely.
    pub calls_answered: usize,
    /// Table and list reads per second.
    pub reads_per_second: f64,
    /// Commits per second.
    pub commits_per_second: f64,
    /// Verdicts on the expected outcomes.
    pub verdicts: Vec<Verdict>,
}

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Report {
    /// Summarizes a run.
    pub fn new(trace: &str, run: &Run, targets: &Targets, verdicts: Vec<Verdict>) -> Report {
        let count = |status: Status| run.chats.iter().filter(|(_, it)| it.status == status).count();
        let first_token = |class: Option<Class>| {
            let whole = run.chats.iter().filter(|(_, it)| it.status == Status::Whole);
            let matching = whole.filter(|(chat, _)| class.is_none_or(|it| it == class_of(chat)));
            percentiles(matching.filter_map(|(_, it)| it.latency))
        };
        let within = run.chats.iter().filter(|(_, it)| is_within_target(it, targets)).count();
        let computed_tokens = executions(run).map(|it| it.computed_tokens).sum();
        let generated: u64 = executions(run).map(|it| u64::from(it.generated)).sum();
        let delivered: u64 = run.chats.iter().map(|(_, it)| u64::from(it.tokens)).sum();
        let seconds = run.elapsed.as_secs_f64();
        let per_thousand = |cost: f64| cost * 1000.0 / within.max(1) as f64;
        Report {
            trace: trace.to_owned(),
            seconds,
            completions: run.chats.len(),
            whole: count(Status::Whole),
            refused: count(Status::NotRun),
            failed: count(Status::Failed) + count(Status::Unknown),
            broken: count(Status::Broken),
            resent: run.chats.iter().map(|(_, it)| it.attempts - 1).sum(),
            first_token: first_token(None),
            first_token_drafts: first_token(Some(Class::Draft)),
            first_token_questions: first_token(Some(Class::Question)),
            between_tokens: percentiles(run.chats.iter().flat_map(|(_, it)| it.token_gaps.clone())),
            within_target: within as f64 / run.chats.len().max(1) as f64,
            computed_tokens,
            recomputed_tokens: computed_tokens.saturating_sub(distinct_tokens(run)),
            offered_to_useful: generated as f64 / delivered.max(1) as f64,
            executions: executions(run).count(),
            held_cost: per_thousand(held_cost(run, targets)),
            fleet_cost: per_thousand(
                targets.engines.iter().map(|it| it.price_per_hour).sum::<f64>() * seconds
                    / S_PER_HOUR,
            ),
            calls: run.calls.len(),
            calls_answered: run.calls.iter().filter(|(_, it)| it.status == Status::Whole).count(),
            reads_per_second: run.platform_calls.reads as f64 / seconds,
            commits_per_second: run.platform_calls.commits as f64 / seconds,
            verdicts,
        }
    }

    /// Whether all expected outcomes were met.
    pub fn is_met(&self) -> bool {
        self.verdicts.iter().all(|it| it.met)
    }
}

/// Returns the admission class of a completion.
pub fn class_of(chat: &Chat) -> Class {
    Class::from_max_tokens(chat.max_tokens)
}

/// Whether an answer is complete and its first token arrived within the target.
pub fn is_within_target(answer: &Answer, targets: &Targets) -> bool {
    let target = Duration::from_millis(targets.first_token_target_ms);
    answer.status == Status::Whole && answer.latency.is_some_and(|it| it <= target)
}

fn executions(run: &Run) -> impl Iterator<Item = &crate::drive::Execution> {
    run.executions.values().flatten()
}

/// Returns the price of the engine slots for the time they were occupied.
fn held_cost(run: &Run, targets: &Targets) -> f64 {
    let mut cost = 0.0;
    for engine in &targets.engines {
        let executions = run.executions.get(&engine.vm).into_iter().flatten();
        let occupied_us = executions.map(|it| {
            it.computed_tokens * engine.prefill_us + u64::from(it.generated) * engine.token_us
        });
        let occupied_s = occupied_us.sum::<u64>() as f64 / 1e6;
        cost += occupied_s * engine.price_per_hour / S_PER_HOUR / f64::from(engine.slots);
    }
    cost
}

/// Returns the tokens of all prompts that produced output, counting each block once.
fn distinct_tokens(run: &Run) -> u64 {
    let mut blocks_seen = HashSet::new();
    let mut tail_tokens = 0;
    for (chat, answer) in &run.chats {
        if answer.tokens == 0 {
            continue;
        }
        let prompt = chat.prompt();
        let chain = blocks::chain(&prompt);
        tail_tokens += (blocks::token_count(&prompt) - chain.len() * blocks::BLOCK_TOKENS) as u64;
        blocks_seen.extend(chain);
    }
    tail_tokens + (blocks_seen.len() * blocks::BLOCK_TOKENS) as u64
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(HISTOGRAM_DIGITS) else {
        return Percentiles::default();
    };
    for time in times {
        // The histogram resizes itself, and durations of hours do not occur.
        let _ = histogram.record(time.as_micros() as u64);
    }
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
    Percentiles { p50: quantile_ms(0.5), p95: quantile_ms(0.95), p99: quantile_ms(0.99) }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p50 {:.0}  p95 {:.0}  p99 {:.0} ms", self.p50, self.p95, self.p99)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for verdict in &self.verdicts {
            writeln!(f, "{verdict}")?;
        }
        writeln!(f, "trace            {} in {:.1} s", self.trace, self.seconds)?;
        writeln!(
            f,
            "completions      {}: {} whole, {} refused, {} failed, {} broken, {} resent",
            self.completions, self.whole, self.refused, self.failed, self.broken, self.resent
        )?;
        writeln!(f, "calls            {}: {} answered", self.calls, self.calls_answered)?;
        writeln!(f, "first token      {}", self.first_token)?;
        writeln!(f, "  drafts         {}", self.first_token_drafts)?;
        writeln!(f, "  questions      {}", self.first_token_questions)?;
        writeln!(f, "between tokens   {}", self.between_tokens)?;
        writeln!(f, "within target    {:.3}", self.within_target)?;
        writeln!(
            f,
            "prompt tokens    {} computed, {} of them again",
            self.computed_tokens, self.recomputed_tokens
        )?;
        writeln!(
            f,
            "offered/useful   {:.3} in {} executions",
            self.offered_to_useful, self.executions
        )?;
        writeln!(
            f,
            "cost             {:.4} held, {:.4} fleet, per 1000 within target",
            self.held_cost, self.fleet_cost
        )?;
        write!(
            f,
            "platform         {:.1} reads/s, {:.1} commits/s",
            self.reads_per_second, self.commits_per_second
        )
    }
}
