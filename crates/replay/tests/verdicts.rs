//! Tests verdicts, report figures and reading of trace files.

use std::collections::BTreeMap;
use std::time::Duration;

use replay::answer::Answer;
use replay::answer::Status;
use replay::drive::Execution;
use replay::drive::Invocation;
use replay::drive::Run;
use replay::error::Error;
use replay::report::Report;
use replay::targets::Engine;
use replay::targets::Targets;
use replay::trace::Call;
use replay::trace::Chat;
use replay::trace::Outcome;
use replay::trace::Text;
use replay::trace::Trace;
use replay::verdict::judge;

#[test]
fn each_outcome_is_met_or_missed_according_to_the_answers() {
    let whole = (chat("a", 200), answer(Status::Whole, 100));
    let late = (chat("b", 200), answer(Status::Whole, 900));
    let refused = (chat("c", 20), answer(Status::NotRun, 10));
    let broken = (chat("d", 20), answer(Status::Broken, 10));
    let check = |chats: &[&(Chat, Answer)], outcome: Outcome, met: bool| {
        let chats = chats.iter().map(|it| (*it).clone()).collect();
        let run = Run { chats, ..Run::default() };
        assert_eq!(judge(&outcome, &run, &targets()).met, met, "{outcome:?}");
    };
    let within = |class: &str| Outcome::WithinTarget { class: class.to_owned(), least_share: 1.0 };
    let answered = Outcome::Answered { least_share: 1.0 };
    let of_b = Outcome::WorkspaceAnswered { workspace: "b".to_owned(), least_share: 1.0 };

    check(&[&whole, &late, &refused], answered.clone(), true);
    check(&[&whole, &broken], answered, false);
    check(&[&whole], within("draft"), true);
    check(&[&whole, &late], within("draft"), false);
    check(&[&late], within("question"), true);
    check(&[&whole, &refused], Outcome::Refused { most_share: 0.5 }, true);
    check(&[&whole, &refused], Outcome::Refused { most_share: 0.4 }, false);
    check(&[&refused], Outcome::RefusedAtOnce { most_ms: 20 }, true);
    check(&[&refused], Outcome::RefusedAtOnce { most_ms: 5 }, false);
    check(&[&late], of_b.clone(), true);
    check(&[&(chat("b", 20), answer(Status::NotRun, 1))], of_b, false);
}

#[test]
fn execution_guarantees_are_judged_by_the_service_record() {
    let check = |keys: &[&str], status: Status, at_most_once: bool, not_run_is_true: bool| {
        let invocation = |key: &&str| Invocation { key: (*key).to_owned(), body: String::new() };
        let run = Run {
            calls: vec![(call("k1"), answer(status, 1))],
            invocations: keys.iter().map(invocation).collect(),
            ..Run::default()
        };
        assert_eq!(judge(&Outcome::AtMostOnce, &run, &targets()).met, at_most_once);
        assert_eq!(judge(&Outcome::NotRunIsTrue, &run, &targets()).met, not_run_is_true);
    };

    check(&["k1"], Status::Whole, true, true);
    check(&["k1", "k1"], Status::Whole, false, true);
    check(&["", ""], Status::Whole, true, true);
    check(&["k1"], Status::NotRun, true, false);
    check(&["k2"], Status::NotRun, true, true);
}

#[test]
fn the_report_counts_cost_and_recomputed_tokens() {
    let executions = vec![Execution { generated: 100, computed_tokens: 64 }; 2];
    let run = Run {
        chats: vec![(chat("a", 100), answer(Status::Whole, 100)); 2],
        executions: BTreeMap::from([("vm".to_owned(), executions)]),
        elapsed: Duration::from_secs(3600),
        ..Run::default()
    };

    let report = Report::new("trace", &run, &targets(), Vec::new());

    assert_eq!((report.computed_tokens, report.recomputed_tokens), (128, 64));
    assert_eq!(report.fleet_cost, 2.0 * 1000.0 / 2.0);
    let occupied_s = 2.0 * (64.0 * 0.001 + 100.0 * 0.010);
    let held_cost = occupied_s / 4.0 * 2.0 / 3600.0 * 1000.0 / 2.0;
    assert!((report.held_cost - held_cost).abs() < 1e-9, "{}", report.held_cost);
    assert!((99.0..101.0).contains(&report.first_token.p95), "{}", report.first_token.p95);
}

#[test]
fn an_invalid_trace_line_is_reported_with_its_line_number() {
    let path = std::env::temp_dir().join(format!("trace-{}.jsonl", std::process::id()));
    let valid = r#"{"kind":"fault","at_ms":5,"fault":{"kill":{"vm":"engine-1"}}}"#;
    std::fs::write(&path, format!("{valid}\n\n{{\"kind\":\"chat\"}}\n")).unwrap();

    let read = Trace::read(&path);

    std::fs::remove_file(&path).unwrap();
    assert!(matches!(read, Err(Error::Line { line: 3, .. })), "{read:?}");
}

fn chat(workspace: &str, max_tokens: u32) -> Chat {
    Chat {
        at_ms: 0,
        workspace: workspace.to_owned(),
        service: "assistant".to_owned(),
        daemon: 0,
        prompt: vec![Text { name: "same".to_owned(), bytes: 256 }],
        max_tokens,
        key: None,
        wait_s: None,
        answer_hash: None,
        crashes: false,
    }
}

fn call(key: &str) -> Call {
    Call {
        at_ms: 0,
        workspace: "a".to_owned(),
        service: "registry".to_owned(),
        daemon: 0,
        method: "POST".to_owned(),
        path: "/renewals".to_owned(),
        key: Some(key.to_owned()),
        body: String::new(),
    }
}

fn answer(status: Status, ms: u64) -> Answer {
    let elapsed = Duration::from_millis(ms);
    Answer {
        status,
        http_status: 200,
        has_retry_after: true,
        latency: Some(elapsed),
        token_gaps: Vec::new(),
        tokens: 100,
        elapsed,
        attempts: 1,
        detail: String::new(),
    }
}

fn targets() -> Targets {
    let engine = Engine {
        vm: "vm".to_owned(),
        address: String::new(),
        price_per_hour: 2.0,
        slots: 4,
        token_us: 10_000,
        prefill_us: 1000,
    };
    Targets { engines: vec![engine], first_token_target_ms: 670, ..Targets::default() }
}
