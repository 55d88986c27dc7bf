//! At most once, and true words, with faults caused for real. The service's
//! own record says what was executed.

mod bench;

use std::io;

use bench::Bench;
use bench::Word;
use nix::sys::signal::Signal;
use serde_json::json;

const NO_FAULTS: &str = "{}";
const FROZEN: &str = r#"{"freeze": true}"#;

#[test]
fn owner_killed_before_intent() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.warm_up()?;
    bench.set_platform(FROZEN)?;
    let first = bench.submit(bench.other(0));
    bench.wait_for_log(bench.other(0), "forwarded")?;

    bench.kill_owner()?;
    bench.set_platform(NO_FAULTS)?;

    let word = first.join()?;
    bench.check(&[word], &[Word::Answered, Word::Unknown])
}

#[test]
fn owner_killed_between_intent_and_call() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.warm_up()?;
    bench.set_platform(r#"{"lose_commits": true}"#)?;
    let first = bench.submit(bench.other(0));
    bench.wait_for_record("\"intent\"")?;

    bench.kill_owner()?;
    bench.set_platform(NO_FAULTS)?;

    let word = first.join()?;
    bench.check(&[word], &[Word::Unknown])
}

#[test]
fn owner_killed_between_call_and_outcome() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.set_service(FROZEN)?;
    let first = bench.submit(bench.other(0));
    bench.wait_for_arrivals(1)?;

    bench.kill_owner()?;
    bench.set_service(NO_FAULTS)?;

    let word = first.join()?;
    bench.wait_for_executions(1)?;
    bench.check(&[word], &[Word::Unknown])
}

#[test]
fn owner_killed_between_answer_and_outcome() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.set_service(FROZEN)?;
    let first = bench.submit(bench.other(0));
    bench.wait_for_arrivals(1)?;
    bench.set_platform(FROZEN)?;
    bench.set_service(NO_FAULTS)?;
    let word = first.join()?;

    bench.kill_owner()?;
    bench.set_platform(NO_FAULTS)?;

    assert_eq!(word, Word::Answered);
    bench.check(&[word], &[Word::Answered, Word::Unknown])
}

#[test]
fn owner_killed_after_outcome() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    let word = bench.submit(bench.other(0)).join()?;
    bench.wait_for_record("\"done\"")?;

    bench.kill_owner()?;

    bench.check(&[word], &[Word::Answered])
}

#[test]
fn owner_frozen_past_its_lease_while_the_call_runs() -> io::Result<()> {
    let bench = Bench::start(&[])?;
    bench.set_service(FROZEN)?;
    let first = bench.submit(bench.other(0));
    bench.wait_for_arrivals(1)?;
    bench.signal_owner(Signal::SIGSTOP)?;
    bench.set_service(NO_FAULTS)?;

    let second = bench.submit(bench.other(1)).join()?;
    bench.signal_owner(Signal::SIGCONT)?;

    let first = first.join()?;
    bench.check(&[first, second], &[Word::Answered, Word::Unknown])
}

#[test]
fn holder_frozen_past_its_lease_claims_the_shard_again() -> io::Result<()> {
    for extra in [&[][..], &["--checks-fence"][..]] {
        let bench = Bench::start(extra)?;
        bench.warm_up()?;
        bench.signal_owner(Signal::SIGSTOP)?;
        let first = bench.submit(bench.other(0)).join()?;

        bench.signal_owner(Signal::SIGCONT)?;
        let woken = bench.submit(bench.owner).join()?;

        bench.check(&[first, woken], &[Word::Answered])?;
    }
    Ok(())
}

#[test]
fn two_daemons_of_one_name_claim_the_shard() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.warm_up()?;
    bench.signal_owner(Signal::SIGSTOP)?;
    let old = bench.replace_owner()?;
    let first = bench.submit(bench.other(0)).join()?;

    old.process.signal(Signal::SIGCONT)?;
    let woken = bench.submit_to(&old.callers).join()?;

    bench.check(&[first, woken], &[Word::Answered])
}

#[test]
fn table_down_or_slow_or_silent_after_the_write() -> io::Result<()> {
    let bench = Bench::start(&[])?;
    let check = |faults: &str, key: &str, expected: &[Word]| -> io::Result<()> {
        bench.set_platform(faults)?;
        let answer = bench.renew(bench.other(0), key)?;
        let word = Word::of(&answer);
        assert!(expected.contains(&word), "{faults}: {answer:?}");
        assert_eq!(answer.retry_after.is_empty(), word == Word::Answered, "{answer:?}");
        bench.set_platform(NO_FAULTS)?;
        bench.check_key(key, &[], &[Word::Answered])
    };

    for round in ["not held", "held"] {
        check(r#"{"down": true}"#, &format!("{round} down"), &[Word::NotRun])?;
        check(FROZEN, &format!("{round} frozen"), &[Word::NotRun])?;
        check(r#"{"lose_commits": true}"#, &format!("{round} silent"), &[Word::NotRun])?;
        check(r#"{"slow_ms": 100}"#, &format!("{round} slow"), &[Word::Answered, Word::NotRun])?;
        bench.warm_up()?;
    }
    Ok(())
}

#[test]
fn connection_cut_or_silent_after_the_call() -> io::Result<()> {
    let mut bench = Bench::start(&[])?;
    bench.set_service(r#"{"lose_answers": 2}"#)?;
    let silent = bench.submit(bench.other(0));
    bench.wait_for_executions(1)?;
    let cut = bench.submit_key(bench.other(0), "cut");
    bench.wait_for_executions(2)?;

    let silent = silent.join()?;
    bench.check(&[silent], &[Word::Unknown])?;
    let executed = bench.restart_service()?;

    let cut = cut.join()?;
    bench.check_key("cut", &[cut], &[Word::Unknown])?;
    assert_eq!(executed, 2, "executions before the service was killed");
    assert_eq!(bench.executions("cut")?, 0, "executed again after the cut");
    Ok(())
}

#[test]
fn no_endpoint_took_the_call() -> io::Result<()> {
    let bench = Bench::start(&[])?;
    bench.set_service(r#"{"down": true}"#)?;

    let refused = bench.renew(bench.other(0), bench::KEY)?;
    bench.set_service(&json!({}).to_string())?;

    assert_eq!(Word::of(&refused), Word::NotRun);
    assert!(!refused.retry_after.is_empty());
    bench.check(&[], &[Word::Answered])
}
