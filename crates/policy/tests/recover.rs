//! Recovery plans for generated and hand-written reclaim waves.

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
fn every_plan_upholds_its_invariants() {
    for seed in 0..seeds() {
        arbtest(check_invariants).seed((seed.wrapping_mul(0x9e37_79b9) << 32) | 2048);
    }
}

#[test]
fn each_decision_states_its_reason() {
    let long = stream(1, 5000.0, 1000, 20_000, 1.0);

    check(&stream(1, 5000.0, 100, 20_000, 1.0), 1, Some("finish"), Reason::FitsNotice);
    check(&long, 1, Some("move"), Reason::MoveIsCheaper);
    check(&stream(1, 5000.0, 1000, 100, 1.0), 1, Some("resume"), Reason::RecomputeIsCheaper);
    check(&stream(1, 5000.0, 1000, 100, 50.0), 1, Some("move"), Reason::MoveIsCheaper);
    check(&stream(1, 600.0, 1000, 20_000, 1.0), 1, Some("resume"), Reason::NoTimeToMove);
    check(&long, 0, Some("wait"), Reason::NoSurvivor);
}

#[test]
fn dossiers_are_moved_first_when_time_is_short() {
    let mut streams: Vec<Stream<'_>> =
        (0..6).map(|it| stream(it, 1500.0, 1000, 20_000, 1.0)).collect();
    streams[4].priority = 0;
    streams[5].priority = 0;

    let decisions = plan(&streams, &survivors(2), RATES);

    let moved: Vec<u64> = decisions.iter().filter(|it| is_move(it)).map(|it| it.job).collect();
    assert_eq!(moved, [4, 5]);
    let delays: Vec<u64> = decisions.iter().skip(2).map(|it| it.delay_ms as u64).collect();
    assert_eq!(delays, [0, 0, 2000, 2000], "resumes on one survivor must not overlap");
}

fn check_invariants(choice: &mut Unstructured<'_>) -> Result<()> {
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
        assert!(stream.priority >= priority, "decisions are not ordered by priority");
        priority = stream.priority;
        match decision.action {
            Action::Finish => {
                assert!(f64::from(stream.tokens_left) * stream.token_ms <= stream.notice_left_ms);
            }
            Action::Move { to } => {
                let export_end_ms = exports_ms.entry(stream.endpoint).or_default();
                assert!(decision.delay_ms >= *export_end_ms, "exports of one endpoint overlap");
                let move_ms = f64::from(stream.context_tokens) / RATES.moved_per_ms;
                *export_end_ms = decision.delay_ms + move_ms;
                assert!(*export_end_ms < stream.notice_left_ms, "a move ends after the reclaim");
                assert!(SURVIVORS.contains(&to));
            }
            Action::Resume { to } => assert!(SURVIVORS.contains(&to)),
            Action::Wait => assert!(survivors.is_empty()),
        }
    }
    check_resumes(&decisions);
    Ok(())
}

/// Checks that resumes on one survivor run one after the other.
fn check_resumes(decisions: &[Decision<'_>]) {
    let mut free_at_ms: HashMap<&str, f64> = HashMap::new();
    for decision in decisions {
        let Action::Resume { to } = decision.action else { continue };
        let free_ms = free_at_ms.entry(to).or_default();
        assert!(decision.delay_ms >= *free_ms, "two resumes overlap on {to}");
        *free_ms =
            decision.delay_ms + f64::from(decision.recomputed_tokens) / RATES.computed_per_ms;
    }
}

fn check(stream: &Stream<'_>, survivor_count: usize, action: Option<&str>, reason: Reason) {
    let decisions = plan(std::slice::from_ref(stream), &survivors(survivor_count), RATES);

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
    let configured = std::env::var("LENTILHOOK_SEEDS").ok().and_then(|it| it.parse().ok());
    configured.unwrap_or(CI_SEEDS)
}
