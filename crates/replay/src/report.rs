//! The report: cost, latency, recomputed tokens, refusals, platform calls.

use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use policy::admission::Class;
use policy::blocks;
use serde::Serialize;

use crate::answer::Answer;
use crate::answer::End;
use crate::drive::Run;
use crate::targets::Targets;
use crate::trace::Chat;
use crate::verdict::Verdict;

/// Microseconds of a millisecond.
const US_PER_MS: f64 = 1000.0;
/// Seconds of an hour.
const S_PER_HOUR: f64 = 3600.0;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// What a replay showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Trace.
    pub trace: String,
    /// Seconds from the first arrival to the last answer.
    pub seconds: f64,
    /// Completions asked for.
    pub completions: usize,
    /// Completions answered whole.
    pub whole: usize,
    /// Completions refused as not run.
    pub refused: usize,
    /// Completions said to have failed.
    pub failed: usize,
    /// Completions that ended without a last word or wrongly.
    pub broken: usize,
    /// Times that callers sent a completion again.
    pub resent: u32,
    /// Time to the first token, in milliseconds.
    pub first_token: Percentiles,
    /// The same of drafts.
    pub first_token_drafts: Percentiles,
    /// The same of questions.
    pub first_token_questions: Percentiles,
    /// Time between tokens, in milliseconds.
    pub between_tokens: Percentiles,
    /// Share of completions answered whole with the first token in time.
    pub within_target: f64,
    /// Tokens of prompts that engines computed.
    pub computed_tokens: u64,
    /// Computed tokens beyond what the prompts hold when none is computed twice.
    pub recomputed_tokens: u64,
    /// Tokens generated for each token delivered.
    pub offered_to_useful: f64,
    /// Runs of completions on engines.
    pub executions: usize,
    /// Price of the engines' places for the time they were held, per thousand
    /// completions within the target.
    pub held_cost: f64,
    /// Price of all engines for the whole time, per thousand completions
    /// within the target.
    pub fleet_cost: f64,
    /// Calls of plain services.
    pub calls: usize,
    /// Of these, answered.
    pub calls_answered: usize,
    /// Table and list reads a second.
    pub reads_per_second: f64,
    /// Commits a second.
    pub commits_per_second: f64,
    /// Verdicts on the stated outcomes.
    pub verdicts: Vec<Verdict>,
}

/// Percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Half are shorter.
    pub p50: f64,
    /// 95 in 100 are shorter.
    pub p95: f64,
    /// 99 in 100 are shorter.
    pub p99: f64,
}

impl Report {
    /// Sums up a run.
    pub fn new(trace: &str, run: &Run, targets: &Targets, verdicts: Vec<Verdict>) -> Report {
        let ended = |end: End| run.chats.iter().filter(|(_, it)| it.end == end).count();
        let firsts = |class: Option<Class>| {
            let whole = run.chats.iter().filter(|(_, it)| it.end == End::Whole);
            let asked = whole.filter(|(chat, _)| class.is_none_or(|it| it == class_of(chat)));
            percentiles(asked.filter_map(|(_, it)| it.first))
        };
        let within = run.chats.iter().filter(|(_, it)| is_within(it, targets)).count();
        let computed_tokens = executions(run).map(|it| it.computed_tokens).sum();
        let generated: u64 = executions(run).map(|it| u64::from(it.generated)).sum();
        let delivered: u64 = run.chats.iter().map(|(_, it)| u64::from(it.tokens)).sum();
        let seconds = run.took.as_secs_f64();
        let per_thousand = |cost: f64| cost * 1000.0 / within.max(1) as f64;
        Report {
            trace: trace.to_owned(),
            seconds,
            completions: run.chats.len(),
            whole: ended(End::Whole),
            refused: ended(End::NotRun),
            failed: ended(End::Failed) + ended(End::Unknown),
            broken: ended(End::Broken),
            resent: run.chats.iter().map(|(_, it)| it.sends - 1).sum(),
            first_token: firsts(None),
            first_token_drafts: firsts(Some(Class::Draft)),
            first_token_questions: firsts(Some(Class::Question)),
            between_tokens: percentiles(run.chats.iter().flat_map(|(_, it)| it.gaps.clone())),
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
            calls_answered: run.calls.iter().filter(|(_, it)| it.end == End::Whole).count(),
            reads_per_second: run.platform.reads as f64 / seconds,
            commits_per_second: run.platform.commits as f64 / seconds,
            verdicts,
        }
    }

    /// Whether every stated outcome came.
    pub fn is_met(&self) -> bool {
        self.verdicts.iter().all(|it| it.met)
    }
}

/// Class of a completion.
pub fn class_of(chat: &Chat) -> Class {
    Class::from_max_tokens(chat.max_tokens)
}

/// Whether an answer is whole and its first token came in time.
pub fn is_within(answer: &Answer, targets: &Targets) -> bool {
    let target = Duration::from_millis(targets.first_token_target_ms);
    answer.end == End::Whole && answer.first.is_some_and(|it| it <= target)
}

fn executions(run: &Run) -> impl Iterator<Item = &crate::drive::Execution> {
    run.engines.values().flatten()
}

fn held_cost(run: &Run, targets: &Targets) -> f64 {
    let mut cost = 0.0;
    for engine in &targets.engines {
        let executions = run.engines.get(&engine.vm).into_iter().flatten();
        let held_us = executions.map(|it| {
            it.computed_tokens * engine.prefill_us + u64::from(it.generated) * engine.token_us
        });
        let held_s = held_us.sum::<u64>() as f64 / 1e6;
        cost += held_s * engine.price_per_hour / S_PER_HOUR / f64::from(engine.slots);
    }
    cost
}

/// Tokens of all prompts that were run, each block counted once.
fn distinct_tokens(run: &Run) -> u64 {
    let mut seen = HashSet::new();
    let mut tails = 0;
    for (chat, answer) in &run.chats {
        if answer.tokens == 0 {
            continue;
        }
        let prompt = chat.prompt();
        let chain = blocks::chain(&prompt);
        tails += (blocks::token_count(&prompt) - chain.len() * blocks::BLOCK_TOKENS) as u64;
        seen.extend(chain);
    }
    tails + (seen.len() * blocks::BLOCK_TOKENS) as u64
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else { return Percentiles::default() };
    for time in times {
        // Resizes itself; a time of hours does not occur.
        let _ = histogram.record(time.as_micros() as u64);
    }
    let at = |share: f64| histogram.value_at_quantile(share) as f64 / US_PER_MS;
    Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
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
