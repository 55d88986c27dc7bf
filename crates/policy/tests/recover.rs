//! Plans of reclaim waves, given by arbtest and by hand.

use std::collections::HashMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use policy::recover::Action;
use policy::recover::Decision;
use policy::recover::Rates;
use policy::recover::Reason;
use policy::recover::Stream;
use policy::recover::Survivor;
use policy::recover::plan;

const CI_SEEDS: u64 = 200;
const RATES: Rates = Rates { computed_per_ms: 10.0, moved_per_ms: 50.0 };
const ENDPOINTS: [&str; 3] = ["gone-1", "gone-2", "gone-3"];
const SURVIVORS: [&str; 4] = ["a", "b", "c", "d"];

#[test]
fn every_plan_keeps_its_promises() {
    for seed in 0..seeds() {
        arbtest(keeps_promises).seed((seed.wrapping_mul(0x9e37_79b9) << 32) | 2048);
    }
}

#[test]
fn each_decision_has_its_reason() {
    let long = stream(1, 5000.0, 1000, 20_000, 1.0);

    check(&stream(1, 5000.0, 100, 20_000, 1.0), 1, Some("finish"), Reason::FitsNotice);
    check(&long, 1, Some("move"), Reason::MoveIsCheaper);
    check(&stream(1, 5000.0, 1000, 100, 1.0), 1, Some("resume"), Reason::RecomputeIsCheaper);
    check(&stream(1, 5000.0, 1000, 100, 50.0), 1, Some("move"), Reason::MoveIsCheaper);
    check(&stream(1, 600.0, 1000, 20_000, 1.0), 1, Some("resume"), Reason::NoTimeToMove);
    check(&long, 0, Some("wait"), Reason::NoSurvivor);
}

#[test]
fn dossiers_take_what_time_there_is_to_move() {
    let mut streams: Vec<Stream<'_>> =
        (0..6).map(|it| stream(it, 1500.0, 1000, 20_000, 1.0)).collect();
    streams[4].priority = 0;
    streams[5].priority = 0;

    let decisions = plan(&streams, &survivors(2), RATES);

    let moved: Vec<u64> = decisions.iter().filter(|it| is_move(it)).map(|it| it.job).collect();
    assert_eq!(moved, [4, 5]);
    let delays: Vec<u64> = decisions.iter().skip(2).map(|it| it.delay_ms as u64).collect();
    assert_eq!(delays, [0, 0, 2000, 2000], "resumes must not meet on one survivor");
}

fn keeps_promises(choice: &mut Unstructured<'_>) -> Result<()> {
    let count = choice.int_in_range(0..=30)?;
    let mut streams = Vec::new();
    for job in 0..count {
        let mut stream = stream(
            job,
            f64::from(choice.int_in_range(0..=20_000u32)?),
            choice.int_in_range(0..=4000)?,
            choice.int_in_range(1..=100_000)?,
            f64::from(choice.int_in_range(0..=20u32)?) / 4.0,
        );
        stream.endpoint = ENDPOINTS[choice.choose_index(ENDPOINTS.len())?];
        stream.priority = choice.int_in_range(0..=3)?;
        streams.push(stream);
    }
    let survivors = survivors(choice.int_in_range(0..=SURVIVORS.len())?);

    let decisions = plan(&streams, &survivors, RATES);

    assert_eq!(decisions.len(), streams.len());
    let mut exports_ms: HashMap<&str, f64> = HashMap::new();
    let mut priority = 0;
    for decision in &decisions {
        let Some(stream) = streams.iter().find(|it| it.job == decision.job) else {
            panic!("a decision on an unknown job");
        };
        assert!(stream.priority >= priority, "a dossier comes after others");
        priority = stream.priority;
        match decision.action {
            Action::Finish => {
                assert!(f64::from(stream.tokens_left) * stream.token_ms <= stream.notice_left_ms);
            }
            Action::Move { to } => {
                let busy = exports_ms.entry(stream.endpoint).or_default();
                assert!(decision.delay_ms >= *busy, "exports of one endpoint overlap");
                let took = f64::from(stream.context_tokens) / RATES.moved_per_ms;
                *busy = decision.delay_ms + took;
                assert!(*busy < stream.notice_left_ms, "a move ends after the reclaim");
                assert!(SURVIVORS.contains(&to));
            }
            Action::Resume { to } => assert!(SURVIVORS.contains(&to)),
            Action::Wait => assert!(survivors.is_empty()),
        }
    }
    check_starts(&decisions);
    Ok(())
}

/// Resumes on one survivor begin one after the other.
fn check_starts(decisions: &[Decision<'_>]) {
    let mut free_at: HashMap<&str, f64> = HashMap::new();
    for decision in decisions {
        let Action::Resume { to } = decision.action else { continue };
        let free = free_at.entry(to).or_default();
        assert!(decision.delay_ms >= *free, "two resumes meet on {to}");
        *free = decision.delay_ms + f64::from(decision.recomputed_tokens) / RATES.computed_per_ms;
    }
}

fn check(stream: &Stream<'_>, survive: usize, action: Option<&str>, reason: Reason) {
    let decisions = plan(std::slice::from_ref(stream), &survivors(survive), RATES);

    let found = decisions.first().map(|it| it.action.to_string());
    assert_eq!(found.as_deref(), action);
    assert_eq!(decisions.first().map(|it| it.reason), Some(reason));
}

fn is_move(decision: &Decision<'_>) -> bool {
    matches!(decision.action, Action::Move { .. })
}

fn stream(job: u64, notice_ms: f64, left: u32, context: u32, weight: f64) -> Stream<'static> {
    Stream {
        job,
        endpoint: ENDPOINTS[0],
        service: "assistant",
        notice_left_ms: notice_ms,
        tokens_left: left,
        token_ms: 30.0,
        context_tokens: context,
        priority: 1,
        recompute_weight: weight,
    }
}

fn survivors(count: usize) -> Vec<Survivor<'static>> {
    let survivor =
        |id| Survivor { id, service: "assistant", free_slots: 8, cached: HashMap::new() };
    SURVIVORS[..count].iter().copied().map(survivor).collect()
}

fn seeds() -> u64 {
    let asked = std::env::var("LENTILHOOK_SEEDS").ok().and_then(|it| it.parse().ok());
    asked.unwrap_or(CI_SEEDS)
}
