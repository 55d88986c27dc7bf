//! Delivers the events of several attempts out of order, duplicated, truncated
//! and late.

use std::collections::VecDeque;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use job::progress::Attempt;
use job::progress::Delivery;
use job::progress::End;
use job::progress::Progress;

const CI_SEEDS: u64 = 200;

#[derive(Clone, Copy, Debug)]
enum Event {
    Token(u32),
    End { generated: u32 },
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    Incomplete,
}

#[test]
fn each_token_is_appended_once_or_the_completion_stays_incomplete() {
    for seed in 0..seeds() {
        arbtest(|it| run(it).map(|_| ())).seed(arbtest_seed(seed));
    }
}

#[test]
fn events_of_an_older_attempt_are_ignored() {
    let mut progress = Progress::default();
    let old = progress.start_attempt();
    progress.append(old, 0, "a");
    let new = progress.start_attempt();

    let late = progress.append(old, 1, "late");
    let completed = progress.finish(old, 1);
    let delivery = progress.append(new, 1, "b");

    assert_eq!((late, completed, delivery), (Delivery::Ignored, End::Ignored, Delivery::Appended));
    assert_eq!(progress.text(), "ab");
    assert_eq!(progress.finish(new, 1), End::Complete);
    assert_eq!(progress.finish(new, 2), End::Incomplete);
}

fn run(input: &mut Unstructured<'_>) -> Result<Outcome> {
    let total = input.int_in_range(1..=12)?;
    let attempts = input.int_in_range(1..=5)?;
    let mut progress = Progress::default();
    let mut late: Vec<(Attempt, Event)> = Vec::new();
    let mut expected: Vec<String> = Vec::new();
    for _ in 0..attempts {
        let attempt = progress.start_attempt();
        let mut events = perturbed_events(input, progress.len(), total)?;
        while let Some(event) = events.pop_front() {
            if !late.is_empty() && input.ratio(1, 3)? {
                let at = input.choose_index(late.len())?;
                let (old, event) = late[at];
                assert!(
                    !deliver(&mut progress, old, event).completed,
                    "an older attempt completed the job"
                );
            }
            let result = deliver(&mut progress, attempt, event);
            expected.extend(result.token);
            check(&progress, total, &expected);
            if result.completed {
                assert_eq!(
                    progress.len(),
                    total,
                    "reported as complete although tokens are missing"
                );
                return Ok(Outcome::Complete);
            }
            if result.unusable {
                break;
            }
        }
        late.extend(events.into_iter().map(|event| (attempt, event)));
    }
    Ok(Outcome::Incomplete)
}

struct Effect {
    token: Option<String>,
    completed: bool,
    unusable: bool,
}

fn deliver(progress: &mut Progress, attempt: Attempt, event: Event) -> Effect {
    match event {
        Event::Token(index) => {
            // Each attempt may generate a different text.
            let text = format!("{}/{index} ", attempt.0);
            let delivery = progress.append(attempt, index, &text);
            let token = (delivery == Delivery::Appended).then_some(text);
            Effect { token, completed: false, unusable: delivery == Delivery::Gap }
        }
        Event::End { generated } => {
            let end = progress.finish(attempt, generated);
            let unusable = end == End::Incomplete;
            Effect { token: None, completed: end == End::Complete, unusable }
        }
    }
}

/// Returns the events that an engine sends after a resume, some of them
/// duplicated, swapped, lost or cut off.
fn perturbed_events(
    input: &mut Unstructured<'_>,
    from: u32,
    total: u32,
) -> Result<VecDeque<Event>> {
    let mut events: Vec<Event> = (from..total).map(Event::Token).collect();
    events.push(Event::End { generated: total - from });
    for _ in 0..input.int_in_range(0..=4)? {
        if events.is_empty() {
            break;
        }
        let at = input.choose_index(events.len())?;
        let to = input.choose_index(events.len())?;
        match input.int_in_range(0..=3)? {
            0 => events.insert(to, events[at]),
            1 => events.swap(at, to),
            2 => drop(events.remove(at)),
            _ => events.truncate(at),
        }
    }
    Ok(events.into())
}

fn check(progress: &Progress, total: u32, expected: &[String]) {
    assert!(progress.len() <= total);
    assert_eq!(progress.text(), expected.concat());
    let indices: Vec<u32> = progress.tokens_from(0).map(|it| it.index).collect();
    assert_eq!(indices, (0..expected.len() as u32).collect::<Vec<_>>());
}

/// Returns an arbtest seed: the low half is the input size in bytes, the high
/// half identifies the run.
fn arbtest_seed(number: u64) -> u64 {
    (number.wrapping_mul(0x9e37_79b9) << 32) | 1024
}

fn seeds() -> u64 {
    let requested = std::env::var("LENTILHOOK_SEEDS").ok().and_then(|it| it.parse().ok());
    requested.unwrap_or(CI_SEEDS)
}
