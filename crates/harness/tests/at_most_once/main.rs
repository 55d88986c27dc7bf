//! Calls are executed at most once and their reported outcomes are true, even if
//! processes are killed or paused or the platform's table fails. The service's
//! own record shows what was executed.

mod fixture;

use std::io;

use fixture::Fixture;
use fixture::Outcome;
use nix::sys::signal::Signal;
use serde_json::json;

const NO_FAULTS: &str = "{}";
const UNRESPONSIVE: &str = r#"{"freeze": true}"#;

#[test]
fn owner_killed_before_intent() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.acquire_lease()?;
    fixture.set_platform(UNRESPONSIVE)?;
    let first = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_log(fixture.non_owner(0), "forwarded")?;

    fixture.kill_owner()?;
    fixture.set_platform(NO_FAULTS)?;

    let outcome = first.join()?;
    fixture.check(&[outcome], &[Outcome::Answered, Outcome::Unknown])
}

#[test]
fn owner_killed_between_intent_and_call() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.acquire_lease()?;
    fixture.set_platform(r#"{"lose_commits": true}"#)?;
    let first = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_record("\"intent\"")?;

    fixture.kill_owner()?;
    fixture.set_platform(NO_FAULTS)?;

    let outcome = first.join()?;
    fixture.check(&[outcome], &[Outcome::Unknown])
}

#[test]
fn owner_killed_between_call_and_outcome() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.set_service(UNRESPONSIVE)?;
    let first = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_arrivals(1)?;

    fixture.kill_owner()?;
    fixture.set_service(NO_FAULTS)?;

    let outcome = first.join()?;
    fixture.wait_for_executions(1)?;
    fixture.check(&[outcome], &[Outcome::Unknown])
}

#[test]
fn owner_killed_between_answer_and_outcome() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.set_service(UNRESPONSIVE)?;
    let first = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_arrivals(1)?;
    fixture.set_platform(UNRESPONSIVE)?;
    fixture.set_service(NO_FAULTS)?;
    let outcome = first.join()?;

    fixture.kill_owner()?;
    fixture.set_platform(NO_FAULTS)?;

    assert_eq!(outcome, Outcome::Answered);
    fixture.check(&[outcome], &[Outcome::Answered, Outcome::Unknown])
}

#[test]
fn owner_killed_after_outcome() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    let outcome = fixture.submit(fixture.non_owner(0)).join()?;
    fixture.wait_for_record("\"done\"")?;

    fixture.kill_owner()?;

    fixture.check(&[outcome], &[Outcome::Answered])
}

#[test]
fn owner_paused_past_its_lease_while_the_call_runs() -> io::Result<()> {
    let fixture = Fixture::start(&[])?;
    fixture.set_service(UNRESPONSIVE)?;
    let first = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_arrivals(1)?;
    fixture.signal_owner(Signal::SIGSTOP)?;
    fixture.set_service(NO_FAULTS)?;

    let second = fixture.submit(fixture.non_owner(1)).join()?;
    fixture.signal_owner(Signal::SIGCONT)?;

    let first = first.join()?;
    fixture.check(&[first, second], &[Outcome::Answered, Outcome::Unknown])
}

#[test]
fn lease_holder_paused_past_its_lease_claims_the_shard_again() -> io::Result<()> {
    for extra in [&[][..], &["--checks-fence"][..]] {
        let fixture = Fixture::start(extra)?;
        fixture.acquire_lease()?;
        fixture.signal_owner(Signal::SIGSTOP)?;
        let first = fixture.submit(fixture.non_owner(0)).join()?;

        fixture.signal_owner(Signal::SIGCONT)?;
        let after_resume = fixture.submit(fixture.owner).join()?;

        fixture.check(&[first, after_resume], &[Outcome::Answered])?;
    }
    Ok(())
}

#[test]
fn two_daemons_with_the_same_name_claim_the_shard() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.acquire_lease()?;
    fixture.signal_owner(Signal::SIGSTOP)?;
    let old = fixture.replace_owner()?;
    let first = fixture.submit(fixture.non_owner(0)).join()?;

    old.process.signal(Signal::SIGCONT)?;
    let after_resume = fixture.submit_to(&old.callers).join()?;

    fixture.check(&[first, after_resume], &[Outcome::Answered])
}

#[test]
fn table_down_or_slow_or_silent_after_a_commit() -> io::Result<()> {
    let fixture = Fixture::start(&[])?;
    let check = |faults: &str, key: &str, expected: &[Outcome]| -> io::Result<()> {
        fixture.set_platform(faults)?;
        let response = fixture.renew(fixture.non_owner(0), key)?;
        let outcome = Outcome::from_response(&response);
        assert!(expected.contains(&outcome), "{faults}: {response:?}");
        assert_eq!(response.retry_after.is_empty(), outcome == Outcome::Answered, "{response:?}");
        fixture.set_platform(NO_FAULTS)?;
        fixture.check_key(key, &[], &[Outcome::Answered])
    };

    for round in ["not held", "held"] {
        check(r#"{"down": true}"#, &format!("{round} down"), &[Outcome::NotRun])?;
        check(UNRESPONSIVE, &format!("{round} frozen"), &[Outcome::NotRun])?;
        check(r#"{"lose_commits": true}"#, &format!("{round} silent"), &[Outcome::NotRun])?;
        check(
            r#"{"slow_ms": 100}"#,
            &format!("{round} slow"),
            &[Outcome::Answered, Outcome::NotRun],
        )?;
        fixture.acquire_lease()?;
    }
    Ok(())
}

#[test]
fn connection_broken_or_silent_after_the_call() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.set_service(r#"{"lose_answers": 2}"#)?;
    let silent = fixture.submit(fixture.non_owner(0));
    fixture.wait_for_executions(1)?;
    let broken = fixture.submit_key(fixture.non_owner(0), "cut");
    fixture.wait_for_executions(2)?;

    let silent = silent.join()?;
    fixture.check(&[silent], &[Outcome::Unknown])?;
    let executed = fixture.restart_service()?;

    let broken = broken.join()?;
    fixture.check_key("cut", &[broken], &[Outcome::Unknown])?;
    assert_eq!(executed, 2, "executions before the service was killed");
    assert_eq!(fixture.executions("cut")?, 0, "executed again after the connection broke");
    Ok(())
}

/// Guards against an error of the service that callers take for the promise that the call was not
/// executed, so that they send it again under another key.
#[test]
fn the_service_executed_the_call_and_failed_it() -> io::Result<()> {
    let fixture = Fixture::start(&[])?;
    let check = |status: u16, expected: u16, outcome: Option<&str>| -> io::Result<()> {
        let key = format!("failed {status}");
        fixture.set_service(&json!({ "fail_status": status }).to_string())?;

        // The owner, and daemons that forward the call to it.
        for daemon in [fixture.non_owner(0), fixture.non_owner(1), fixture.owner] {
            let response = fixture.renew(daemon, &key)?;

            assert_eq!(response.status, expected, "{response:?}");
            assert_eq!(response.body["outcome"].as_str(), outcome, "{response:?}");
            assert!(response.retry_after.is_empty(), "{response:?}");
        }
        assert_eq!(fixture.executions(&key)?, 1);
        Ok(())
    };

    for status in [408, 421, 429, 503] {
        check(status, 502, Some("unknown"))?;
    }
    for status in [400, 500, 504] {
        check(status, status, None)?;
    }
    Ok(())
}

/// Guards against "not run" of a daemon that knows nothing of what the lost owner had begun.
#[test]
fn owner_of_a_lookup_killed_while_the_service_runs_it() -> io::Result<()> {
    let mut fixture = Fixture::start(&[])?;
    fixture.set_service(UNRESPONSIVE)?;
    let owner = fixture.owner_of("lookup");
    let caller = fixture.look_up((owner + 1) % 3, "lookup");
    fixture.wait_for_arrivals(1)?;
    fixture.remove_service()?;

    fixture.kill(owner)?;

    let response = caller.join_response()?;
    assert_eq!(Outcome::from_response(&response), Outcome::Unknown, "{response:?}");
    assert_eq!(response.status, 502, "{response:?}");
    Ok(())
}

#[test]
fn no_endpoint_accepted_the_call() -> io::Result<()> {
    let fixture = Fixture::start(&[])?;
    fixture.set_service(r#"{"down": true}"#)?;

    let rejected = fixture.renew(fixture.non_owner(0), fixture::KEY)?;
    fixture.set_service(&json!({}).to_string())?;

    assert_eq!(Outcome::from_response(&rejected), Outcome::NotRun);
    assert!(!rejected.retry_after.is_empty());
    fixture.check(&[], &[Outcome::Answered])
}
