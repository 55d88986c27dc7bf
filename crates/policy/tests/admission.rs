//! Admission: bounds on waiting, workspace shares and rejections. Also the retry budget.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbitrary;
use policy::admission::Class;
use policy::admission::Entry;
use policy::admission::QUESTION_INTERVAL;
use policy::admission::Queue;
use policy::admission::Supply;
use policy::admission::Verdict;
use policy::retry::Budget;

const FULL: Supply = Supply { free: 0.0, starts_per_second: 10.0 };
const SEEDS: [u64; 2] = [0x5eed_0000_0400, 0x5eed_0001_0800];

#[test]
fn a_request_is_started_queued_or_rejected_immediately() {
    let check = |free: f64, waiting: u64, class: Class, limit_s: Option<u64>, expected: Verdict| {
        let mut queue = Queue::default();
        (0..waiting).for_each(|ticket| {
            queue.offer(&entry(ticket, class, "office"), &FULL);
        });
        let supply = Supply { free, ..FULL };
        let wait_limit = limit_s.map(Duration::from_secs);
        let offered = Entry { wait_limit, ..entry(1000, class, "office") };
        assert_eq!(queue.offer(&offered, &supply), expected);
    };

    check(1.0, 0, Class::Question, None, Verdict::Start);
    check(1.0, 1, Class::Question, None, Verdict::Wait);
    check(0.0, 49, Class::Question, None, Verdict::Wait);
    check(0.0, 51, Class::Question, None, Verdict::Refuse { retry_after_s: 1 });
    check(0.0, 100, Class::Draft, None, Verdict::Wait);
    check(0.0, 100, Class::Draft, Some(2), Verdict::Refuse { retry_after_s: 9 });
}

#[test]
fn drafts_start_first_and_overtake_a_waiting_question_a_bounded_number_of_times() {
    let properties = |input: &mut arbitrary::Unstructured<'_>| {
        let mut queue = Queue::default();
        let mut classes = HashMap::new();
        let mut overtaken = 0;
        for ticket in 0..200 {
            let class = if input.ratio(3, 4)? { Class::Draft } else { Class::Question };
            if queue.offer(&entry(ticket, class, "office"), &FULL) == Verdict::Wait {
                classes.insert(ticket, class);
            }
            if input.ratio(1, 2)? {
                continue;
            }
            let questions_wait = classes.values().any(|it| *it == Class::Question);
            let Some(started) = queue.pop() else { continue };
            match classes.remove(&started) {
                Some(Class::Draft) if questions_wait => overtaken += 1,
                _ => overtaken = 0,
            }
            assert!(
                overtaken < QUESTION_INTERVAL,
                "{overtaken} drafts overtook a waiting question"
            );
        }
        Ok(())
    };
    SEEDS.iter().for_each(|seed| arbtest::arbtest(properties).seed(*seed).run());
}

#[test]
fn a_small_workspace_is_not_delayed_by_a_heavy_one() {
    let mut queue = Queue::default();
    (0..100).for_each(|ticket| {
        queue.offer(&entry(ticket, Class::Draft, "heavy"), &FULL);
    });
    queue.offer(&entry(500, Class::Draft, "small"), &FULL);

    let order: Vec<u64> = std::iter::from_fn(|| queue.pop()).collect();

    assert!(order.iter().position(|it| *it == 500).unwrap() <= 1, "{order:?}");
}

#[test]
fn a_workspace_gets_no_credit_for_idle_time() {
    let mut queue = Queue::default();
    (0..100).for_each(|ticket| {
        queue.offer(&entry(ticket, Class::Draft, "early"), &FULL);
    });
    (0..40).for_each(|_| assert!(queue.pop().is_some()));

    (500..540).for_each(|ticket| {
        queue.offer(&entry(ticket, Class::Draft, "late"), &FULL);
    });

    let next: Vec<u64> = (0..20).filter_map(|_| queue.pop()).collect();
    let late = next.iter().filter(|it| **it >= 500).count();
    assert!((9..=11).contains(&late), "{late} of 20 with half of the shares");
}

#[test]
fn starts_follow_the_shares_of_workspaces() {
    let mut queue = Queue::default();
    for ticket in 0..200 {
        let (workspace, share) = if ticket % 2 == 0 { ("large", 3) } else { ("small", 1) };
        let offered = Entry { share, ..entry(ticket, Class::Draft, workspace) };
        queue.offer(&offered, &FULL);
    }

    let first: Vec<u64> = (0..80).filter_map(|_| queue.pop()).collect();

    let large = first.iter().filter(|it| *it % 2 == 0).count();
    assert!((59..=61).contains(&large), "{large} of 80 with three quarters of the shares");
}

#[test]
fn every_queued_completion_starts_exactly_once() {
    let properties = |input: &mut arbitrary::Unstructured<'_>| {
        let mut queue = Queue::default();
        let mut queued = Vec::new();
        let mut started = Vec::new();
        for ticket in 0..100 {
            let class = Class::from_max_tokens(input.int_in_range(0..=400)?);
            let workspace = ["a", "b", "c"][input.choose_index(3)?];
            let offered = Entry {
                share: input.int_in_range(0..=4)?,
                tokens: input.int_in_range(0..=9000)?,
                ..entry(ticket, class, workspace)
            };
            if queue.offer(&offered, &FULL) == Verdict::Wait {
                queued.push(ticket);
            }
            if input.ratio(1, 3)? {
                started.extend(queue.pop());
            }
        }
        started.extend(std::iter::from_fn(|| queue.pop()));
        started.sort_unstable();
        assert_eq!(started, queued);
        Ok(())
    };
    SEEDS.iter().for_each(|seed| arbtest::arbtest(properties).seed(*seed).run());
}

#[test]
fn retries_stay_within_the_budget() {
    let properties = |input: &mut arbitrary::Unstructured<'_>| {
        let mut budget = Budget::default();
        let (mut now, mut successes, mut retries) = (Duration::ZERO, 0, 0);
        for _ in 0..500 {
            now += Duration::from_millis(input.int_in_range(0..=20)?);
            if input.ratio(1, 4)? {
                budget.record_success();
                successes += 1;
            }
            retries += u32::from(budget.try_take(now));
        }
        assert!(f64::from(retries) <= Budget::upper_bound(successes, now), "{retries} retries");
        assert!(retries >= 32, "a burst is allowed");
        Ok(())
    };
    SEEDS.iter().for_each(|seed| arbtest::arbtest(properties).seed(*seed).run());
}

#[test]
fn a_started_daemon_has_few_retries_until_time_has_passed() {
    let mut started = Budget::default();
    let mut quiet = Budget::default();

    let at_start = (0..100).filter(|_| started.try_take(Duration::ZERO)).count();
    let after_a_minute = (0..100).filter(|_| quiet.try_take(Duration::from_secs(60))).count();

    assert_eq!(at_start, 4);
    assert_eq!(after_a_minute, 32);
}

fn entry(ticket: u64, class: Class, workspace: &str) -> Entry<'_> {
    Entry { ticket, class, workspace, share: 1, tokens: 100, wait_limit: None }
}
