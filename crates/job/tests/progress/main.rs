//! Events of several attempts in any order, doubled, cut and late.

use std::collections::VecDeque;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use job::progress::Attempt;
use job::progress::End;
use job::progress::Progress;
use job::progress::Taken;

const CI_SEEDS: u64 = 200;

#[derive(Clone, Copy, Debug)]
enum Event {
    Token(u32),
    End { generated: u32 },
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    Open,
}

#[test]
fn a_caller_gets_each_token_once_or_an_open_end() {
    for seed in 0..seeds() {
        arbtest(|it| run(it).map(|_| ())).seed(seed_of(seed));
    }
}

#[test]
fn an_older_attempt_is_not_heard() {
    let mut progress = Progress::default();
    let old = progress.start_attempt();
    progress.take(old, 0, "a");
    let new = progress.start_attempt();

    let late = progress.take(old, 1, "late");
    let ended = progress.finish(old, 1);
    let taken = progress.take(new, 1, "b");

    assert_eq!((late, ended, taken), (Taken::Ignored, End::Ignored, Taken::Next));
    assert_eq!(progress.text(), "ab");
    assert_eq!(progress.finish(new, 1), End::Complete);
    assert_eq!(progress.finish(new, 2), End::Incomplete);
}

fn run(choice: &mut Unstructured<'_>) -> Result<Outcome> {
    let total = choice.int_in_range(1..=12)?;
    let attempts = choice.int_in_range(1..=5)?;
    let mut progress = Progress::default();
    let mut late: Vec<(Attempt, Event)> = Vec::new();
    let mut expected: Vec<String> = Vec::new();
    for _ in 0..attempts {
        let attempt = progress.start_attempt();
        let mut events = disturbed(choice, progress.len(), total)?;
        while let Some(event) = events.pop_front() {
            if !late.is_empty() && choice.ratio(1, 3)? {
                let at = choice.choose_index(late.len())?;
                let (old, event) = late[at];
                assert!(!deliver(&mut progress, old, event).ended, "an old attempt ended it");
            }
            let delivered = deliver(&mut progress, attempt, event);
            expected.extend(delivered.token);
            check(&progress, total, &expected);
            if delivered.ended {
                assert_eq!(progress.len(), total, "called complete with tokens missing");
                return Ok(Outcome::Complete);
            }
            if delivered.unusable {
                break;
            }
        }
        late.extend(events.into_iter().map(|event| (attempt, event)));
    }
    Ok(Outcome::Open)
}

struct Delivered {
    token: Option<String>,
    ended: bool,
    unusable: bool,
}

fn deliver(progress: &mut Progress, attempt: Attempt, event: Event) -> Delivered {
    match event {
        Event::Token(index) => {
            // Another attempt may well generate another text.
            let text = format!("{}/{index} ", attempt.0);
            let taken = progress.take(attempt, index, &text);
            let token = (taken == Taken::Next).then_some(text);
            Delivered { token, ended: false, unusable: taken == Taken::Gap }
        }
        Event::End { generated } => {
            let end = progress.finish(attempt, generated);
            let unusable = end == End::Incomplete;
            Delivered { token: None, ended: end == End::Complete, unusable }
        }
    }
}

/// What an engine sends after a resume, with events doubled, swapped, lost and cut off.
fn disturbed(choice: &mut Unstructured<'_>, from: u32, total: u32) -> Result<VecDeque<Event>> {
    let mut events: Vec<Event> = (from..total).map(Event::Token).collect();
    events.push(Event::End { generated: total - from });
    for _ in 0..choice.int_in_range(0..=4)? {
        if events.is_empty() {
            break;
        }
        let at = choice.choose_index(events.len())?;
        let to = choice.choose_index(events.len())?;
        match choice.int_in_range(0..=3)? {
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

/// Low half: size of the input in bytes; high half: number of the seed.
fn seed_of(number: u64) -> u64 {
    (number.wrapping_mul(0x9e37_79b9) << 32) | 1024
}

fn seeds() -> u64 {
    let asked = std::env::var("LENTILHOOK_SEEDS").ok().and_then(|it| it.parse().ok());
    asked.unwrap_or(CI_SEEDS)
}
