//! Verdicts on stated outcomes.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use policy::admission::Class;
use serde::Serialize;

use crate::answer::Answer;
use crate::answer::End;
use crate::drive::Run;
use crate::report;
use crate::targets::Targets;
use crate::trace::Chat;
use crate::trace::Outcome;

/// Whether a stated outcome came.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What was stated.
    pub stated: String,
    /// Whether it came.
    pub met: bool,
    /// What was seen.
    pub seen: String,
}

/// Judges a stated outcome.
pub fn judge(outcome: &Outcome, run: &Run, targets: &Targets) -> Verdict {
    let ordinary: Vec<&(Chat, Answer)> = run.chats.iter().filter(|(it, _)| !it.crashes).collect();
    match outcome {
        Outcome::Answered { least_share } => {
            let taken = ordinary.iter().filter(|(_, it)| it.end != End::NotRun);
            let (count, whole) = tally(taken.map(|(_, it)| it.end == End::Whole));
            let stated = "accepted completions are answered whole";
            let wrong = ordinary.iter().find(|(_, it)| !matches!(it.end, End::Whole | End::NotRun));
            let example = wrong.map_or("", |(_, it)| it.detail.as_str());
            let verdict = at_least(stated, whole, count, *least_share);
            Verdict { seen: format!("{} {example}", verdict.seen).trim().to_owned(), ..verdict }
        }
        Outcome::Refused { most_share } => {
            let (count, refused) = tally(ordinary.iter().map(|(_, it)| it.end == End::NotRun));
            at_most("completions refused", refused, count, *most_share)
        }
        Outcome::RefusedAtOnce { most_ms } => {
            let limit = Duration::from_millis(*most_ms);
            let refused = ordinary.iter().filter(|(_, it)| it.end == End::NotRun);
            let at_once = |it: &Answer| it.took <= limit && it.has_retry_after;
            let (count, met) = tally(refused.map(|(_, it)| at_once(it)));
            at_least(&format!("refused within {most_ms} ms with Retry-After"), met, count, 1.0)
        }
        Outcome::WithinTarget { class, least_share } => {
            let wanted = |chat: &Chat| match class.as_str() {
                "draft" => report::class_of(chat) == Class::Draft,
                "question" => report::class_of(chat) == Class::Question,
                _ => true,
            };
            let asked = ordinary.iter().filter(|(chat, it)| wanted(chat) && it.end != End::NotRun);
            let (count, met) = tally(asked.map(|(_, it)| report::is_within(it, targets)));
            at_least(&format!("first token within target ({class})"), met, count, *least_share)
        }
        Outcome::AtMostOnce => {
            let mut times: HashMap<&str, u32> = HashMap::new();
            let keyed = run.executed.iter().filter(|it| !it.key.is_empty());
            keyed.for_each(|it| *times.entry(&it.key).or_default() += 1);
            let twice = times.values().filter(|it| **it > 1).count();
            at_most("keys executed more than once", twice, times.len(), 0.0)
        }
        Outcome::NotRunIsTrue => {
            let refused = run.calls.iter().filter(|(_, it)| it.end == End::NotRun);
            let ran = |key: &Option<String>| {
                key.as_ref().is_some_and(|key| run.executed.iter().any(|it| it.key == *key))
            };
            let (count, lies) = tally(refused.map(|(call, _)| ran(&call.key)));
            at_most("calls said not run that were run", lies, count, 0.0)
        }
        Outcome::OfferedToUseful { most } => {
            let generated: u64 =
                run.engines.values().flatten().map(|it| u64::from(it.generated)).sum();
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
            met: run.crashed.len() <= *most,
            seen: format!("{} {}", run.crashed.len(), run.crashed.join(" ")),
        },
        Outcome::WorkspaceAnswered { workspace, least_share } => {
            let asked = ordinary.iter().filter(|(chat, _)| chat.workspace == *workspace);
            let (count, whole) = tally(asked.map(|(_, it)| it.end == End::Whole));
            at_least(&format!("completions of {workspace} answered"), whole, count, *least_share)
        }
    }
}

/// Number of items, and of those that hold.
fn tally(items: impl Iterator<Item = bool>) -> (usize, usize) {
    items.fold((0, 0), |(count, held), it| (count + 1, held + usize::from(it)))
}

fn at_least(stated: &str, met: usize, count: usize, least_share: f64) -> Verdict {
    Verdict {
        stated: format!("{stated}, at least {least_share}"),
        met: met as f64 >= least_share * count as f64,
        seen: format!("{met} of {count}"),
    }
}

fn at_most(stated: &str, hit: usize, count: usize, most_share: f64) -> Verdict {
    Verdict {
        stated: format!("{stated}, at most {most_share}"),
        met: hit as f64 <= most_share * count as f64,
        seen: format!("{hit} of {count}"),
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.met { "met   " } else { "MISSED" };
        write!(f, "{word}  {}: {}", self.stated, self.seen)
    }
}
