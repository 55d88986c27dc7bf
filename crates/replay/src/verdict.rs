//! Verdicts on the expected outcomes of a trace.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use policy::admission::Class;
use serde::Serialize;

use crate::answer::Answer;
use crate::answer::Status;
use crate::drive::Run;
use crate::report;
use crate::targets::Targets;
use crate::trace::Chat;
use crate::trace::Outcome;

/// Verdict on an expected outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Description of the expected outcome.
    pub stated: String,
    /// Whether the outcome was met.
    pub met: bool,
    /// Observed values.
    pub seen: String,
}

/// Judges an expected outcome by the observations of a run.
///
/// Completions that crash endpoints are not counted in shares of completions.
pub fn judge(outcome: &Outcome, run: &Run, targets: &Targets) -> Verdict {
    let ordinary: Vec<&(Chat, Answer)> = run.chats.iter().filter(|(it, _)| !it.crashes).collect();
    match outcome {
        Outcome::Answered { least_share } => {
            let accepted = ordinary.iter().filter(|(_, it)| it.status != Status::NotRun);
            let (count, whole) = tally(accepted.map(|(_, it)| it.status == Status::Whole));
            let stated = "accepted completions are answered whole";
            let failed = ordinary
                .iter()
                .find(|(_, it)| !matches!(it.status, Status::Whole | Status::NotRun));
            let example = failed.map_or("", |(_, it)| it.detail.as_str());
            let verdict = at_least(stated, whole, count, *least_share);
            Verdict { seen: format!("{} {example}", verdict.seen).trim().to_owned(), ..verdict }
        }
        Outcome::Refused { most_share } => {
            let (count, refused) =
                tally(ordinary.iter().map(|(_, it)| it.status == Status::NotRun));
            at_most("completions refused", refused, count, *most_share)
        }
        Outcome::RefusedAtOnce { most_ms } => {
            let limit = Duration::from_millis(*most_ms);
            let refused = ordinary.iter().filter(|(_, it)| it.status == Status::NotRun);
            let is_prompt = |it: &Answer| it.elapsed <= limit && it.has_retry_after;
            let (count, met) = tally(refused.map(|(_, it)| is_prompt(it)));
            at_least(&format!("refused within {most_ms} ms with Retry-After"), met, count, 1.0)
        }
        Outcome::WithinTarget { class, least_share } => {
            let is_in_class = |chat: &Chat| match class.as_str() {
                "draft" => report::class_of(chat) == Class::Draft,
                "question" => report::class_of(chat) == Class::Question,
                _ => true,
            };
            let accepted = ordinary
                .iter()
                .filter(|(chat, it)| is_in_class(chat) && it.status != Status::NotRun);
            let (count, met) = tally(accepted.map(|(_, it)| report::is_within_target(it, targets)));
            at_least(&format!("first token within target ({class})"), met, count, *least_share)
        }
        Outcome::AtMostOnce => {
            let mut invocations_by_key: HashMap<&str, u32> = HashMap::new();
            let keyed = run.invocations.iter().filter(|it| !it.key.is_empty());
            keyed.for_each(|it| *invocations_by_key.entry(&it.key).or_default() += 1);
            let repeated = invocations_by_key.values().filter(|it| **it > 1).count();
            at_most("keys executed more than once", repeated, invocations_by_key.len(), 0.0)
        }
        Outcome::NotRunIsTrue => {
            let refused = run.calls.iter().filter(|(_, it)| it.status == Status::NotRun);
            let was_executed = |key: &Option<String>| {
                key.as_ref().is_some_and(|key| run.invocations.iter().any(|it| it.key == *key))
            };
            let (count, executed) = tally(refused.map(|(call, _)| was_executed(&call.key)));
            at_most("calls said not run that were run", executed, count, 0.0)
        }
        Outcome::OfferedToUseful { most } => {
            let generated: u64 =
                run.executions.values().flatten().map(|it| u64::from(it.generated)).sum();
            let delivered: u64 = run.chats.iter().map(|(_, it)| u64::from(it.tokens)).sum();
            let ratio = generated as f64 / delivered.max(1) as f64;
            Verdict {
                stated: format!("offered to useful work at most {most}"),
                met: ratio <= *most,
                seen: format!("{ratio:.3}"),
            }
        }
        Outcome::Crashed { most } => Verdict {
            stated: format!("at most {most} endpoints crashed by a request"),
            met: run.crashed_vms.len() <= *most,
            seen: format!("{} {}", run.crashed_vms.len(), run.crashed_vms.join(" ")),
        },
        Outcome::WorkspaceAnswered { workspace, least_share } => {
            let requests = ordinary.iter().filter(|(chat, _)| chat.workspace == *workspace);
            let (count, whole) = tally(requests.map(|(_, it)| it.status == Status::Whole));
            at_least(&format!("completions of {workspace} answered"), whole, count, *least_share)
        }
    }
}

/// Returns the number of items and the number of those that are true.
fn tally(items: impl Iterator<Item = bool>) -> (usize, usize) {
    items.fold((0, 0), |(count, matching), it| (count + 1, matching + usize::from(it)))
}

fn at_least(stated: &str, met: usize, count: usize, least_share: f64) -> Verdict {
    Verdict {
        stated: format!("{stated}, at least {least_share}"),
        met: met as f64 >= least_share * count as f64,
        seen: format!("{met} of {count}"),
    }
}

fn at_most(stated: &str, matching: usize, count: usize, most_share: f64) -> Verdict {
    Verdict {
        stated: format!("{stated}, at most {most_share}"),
        met: matching as f64 <= most_share * count as f64,
        seen: format!("{matching} of {count}"),
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.met { "met   " } else { "MISSED" };
        write!(f, "{word}  {}: {}", self.stated, self.seen)
    }
}
