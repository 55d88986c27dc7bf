//! Responses and requests in transfer while a daemon stops.

use std::io;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::caller::Draft;
use harness::caller::renew;
use harness::cluster;
use harness::cluster::Cluster;
use nix::sys::signal::Signal;
use serde_json::json;
use standins::service::Execution;

use crate::EXIT_TIMEOUT;
use crate::connection::Connection;
use crate::deployment;

/// More than the sockets of both sides hold, so that the daemon keeps a part.
const LARGE_BODY_BYTES: usize = 4_000_000;
/// More than the daemon reads of a second request while it sends the first response.
const UNREAD_BYTES: usize = 200_000;
/// Long enough for the draft to be open after the drain has begun.
const LONG_DRAFT_TOKENS: u32 = 500;
/// Time after a signal for which a daemon still accepts requests.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Limit on the time in which callers have to receive the rest of their responses.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Enough for some keys to belong to each of two daemons.
const RENEWALS: usize = 6;
/// Time after which the service answers.
const SERVICE_TIME: Duration = Duration::from_millis(1000);
/// Longer than the service needs, shorter than the time after which peers drop a connection.
const FREEZE: Duration = Duration::from_millis(1800);
/// Too slow for the response to be received in time.
const SLOW_READ_BYTES: usize = 3000;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Long enough that nothing but the caller keeps the daemon.
const CALLER_PAUSE: Duration = Duration::from_secs(8);

#[test]
fn the_end_of_a_response_reaches_a_caller_that_reads_late() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut caller = call_and_wait(&cluster, LARGE_BODY_BYTES)?;

    stop(&cluster)?;
    thread::sleep(CALLER_PAUSE);
    let response = caller.read_to_end();

    check_echo(&response, LARGE_BODY_BYTES);
    check_exit(&mut cluster)
}

#[test]
fn unread_bytes_of_a_caller_do_not_cut_its_response() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut caller = call_and_wait(&cluster, LARGE_BODY_BYTES)?;
    caller.send_head(LARGE_BODY_BYTES)?;
    caller.send_body(&"y".repeat(UNREAD_BYTES))?;

    stop(&cluster)?;
    thread::sleep(CALLER_PAUSE);
    let response = caller.read_response();

    check_echo(&response, LARGE_BODY_BYTES);
    drop(caller);
    check_exit(&mut cluster)
}

#[test]
fn a_request_whose_body_arrives_during_the_drain_is_answered() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut caller = Connection::open(&cluster.daemons[0].callers)?;
    caller.send_head(8)?;
    caller.send_body("half")?;
    thread::sleep(Duration::from_millis(100));

    stop(&cluster)?;
    thread::sleep(Duration::from_secs(3));
    caller.send_body("rest")?;
    let response = caller.read_to_end();

    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(response.contains("not_run") && response.contains("draining"), "{response:?}");
    check_exit(&mut cluster)
}

#[test]
fn a_request_that_arrives_during_the_drain_is_rejected_as_not_run() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut kept = Connection::open(&cluster.daemons[0].callers)?;
    kept.send_head(5)?;
    kept.send_body("early")?;
    check_echo(&kept.read_response(), 5);
    let address = cluster.daemons[0].callers.clone();
    let (started, is_started) = channel();
    let draft = thread::spawn(move || {
        Draft::new(&address, "a long question", LONG_DRAFT_TOKENS).stream(|_| {
            let _ = started.send(());
        })
    });
    is_started.recv().map_err(io::Error::other)?;

    stop(&cluster)?;
    thread::sleep(DRAIN_DELAY * 2);
    let mut fresh = Connection::open(&cluster.daemons[0].callers)?;
    let responses = [&mut fresh, &mut kept].map(|caller| {
        let sent = caller.send_head(4).and_then(|()| caller.send_body("late"));
        sent.map(|()| caller.read_response())
    });

    for response in responses {
        let response = response?;
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("not_run") && response.contains("draining"), "{response:?}");
        assert!(response.to_lowercase().contains("connection: close"), "{response:?}");
    }
    assert_eq!(executions(&cluster)?.len(), 1);
    let draft = draft.join().map_err(|_| io::Error::other("the caller panicked"))??;
    assert!(draft.complete, "{:?}", draft.problem);
    check_exit(&mut cluster)
}

#[test]
fn answers_of_a_stopping_daemon_reach_the_daemon_that_forwarded_the_calls() -> io::Result<()> {
    let mut cluster = deployment(2)?;
    let slow = json!({ "slow_ms": SERVICE_TIME.as_millis() as u64 });
    cluster::set_switches(&cluster.services[0].address, &slow)?;
    let address = cluster.daemons[0].callers.clone();
    let callers: Vec<_> = (0..RENEWALS)
        .map(|number| {
            let address = address.clone();
            let body = "x".repeat(LARGE_BODY_BYTES / 2);
            thread::spawn(move || renew(&address, &format!("renewal-{number}"), &body))
        })
        .collect();
    cluster::wait_for("the calls", || calls(&cluster).is_ok_and(|it| it == RENEWALS))?;

    cluster.daemons[1].process.signal(Signal::SIGTERM)?;
    cluster.daemons[0].process.signal(Signal::SIGSTOP)?;
    thread::sleep(FREEZE);
    cluster.daemons[0].process.signal(Signal::SIGCONT)?;

    for caller in callers {
        let response = caller.join().map_err(|_| io::Error::other("a caller panicked"))??;
        let body: String = response.body.to_string().chars().take(300).collect();
        assert_eq!(response.status, 200, "{body}");
    }
    let status = cluster.daemons[1].process.wait(EXIT_TIMEOUT)?;
    assert!(status.is_some_and(|it| it.success()), "exited with {status:?}");
    assert_eq!(calls(&cluster)?, RENEWALS, "a call was sent twice");
    Ok(())
}

#[test]
fn a_caller_that_never_reads_delays_the_exit_up_to_the_write_timeout() -> io::Result<()> {
    check_slow_caller(|_| {})
}

#[test]
fn a_caller_that_reads_very_slowly_delays_the_exit_up_to_the_write_timeout() -> io::Result<()> {
    check_slow_caller(|caller| {
        caller.read_some(SLOW_READ_BYTES);
    })
}

#[test]
fn an_idle_connection_does_not_delay_the_exit() -> io::Result<()> {
    let mut cluster = deployment(1)?;
    let mut idle = Connection::open(&cluster.daemons[0].callers)?;
    idle.send_head(4)?;
    idle.send_body("idle")?;
    check_echo(&idle.read_response(), 4);
    let unused = Connection::open(&cluster.daemons[0].callers)?;

    let stopped_at = Instant::now();
    stop(&cluster)?;
    check_exit(&mut cluster)?;

    let duration = stopped_at.elapsed();
    println!("exited after {duration:?}");
    assert!(duration < Duration::from_secs(5), "{duration:?}");
    drop((idle, unused));
    Ok(())
}

/// Stops a daemon while a caller, which calls `read` regularly, has not received its response.
fn check_slow_caller(read: fn(&mut Connection)) -> io::Result<()> {
    let mut cluster = Cluster::start()?;
    cluster.add_service("registry-1", &[])?;
    cluster.limits = json!({ "write_timeout_ms": WRITE_TIMEOUT.as_millis() as u64 });
    cluster.add_daemon("entry-1", "tema-a")?;
    cluster.configure()?;
    let mut caller = call_and_wait(&cluster, LARGE_BODY_BYTES)?;

    let stopped_at = Instant::now();
    stop(&cluster)?;
    let mut status = None;
    while status.is_none() && stopped_at.elapsed() < WRITE_TIMEOUT * 2 {
        read(&mut caller);
        status = cluster.daemons[0].process.wait(SLOW_READ_INTERVAL)?;
    }

    println!("exited after {:?}", stopped_at.elapsed());
    assert!(status.is_some_and(|it| it.success()), "exited with {status:?}: {}", cluster.logs()?);
    Ok(())
}

/// Sends a call and waits until the service has executed it and the daemon has its answer.
fn call_and_wait(cluster: &Cluster, body_bytes: usize) -> io::Result<Connection> {
    let mut caller = Connection::open(&cluster.daemons[0].callers)?;
    caller.send_head(body_bytes)?;
    caller.send_body(&"x".repeat(body_bytes))?;
    cluster::wait_for("the execution", || executions(cluster).is_ok_and(|it| !it.is_empty()))?;
    thread::sleep(Duration::from_millis(500));
    Ok(caller)
}

fn executions(cluster: &Cluster) -> io::Result<Vec<Execution>> {
    cluster::get(&cluster.services[0].address, "/fake/record")
}

/// Returns the number of calls that the service has received.
fn calls(cluster: &Cluster) -> io::Result<usize> {
    cluster::get(&cluster.services[0].address, "/fake/arrived")
}

fn stop(cluster: &Cluster) -> io::Result<()> {
    cluster.daemons[0].process.signal(Signal::SIGTERM)
}

fn check_echo(response: &str, body_bytes: usize) {
    let head: String = response.chars().take(200).collect();
    assert!(response.starts_with("HTTP/1.1 200"), "{head:?}");
    assert!(response.ends_with('}'), "{} bytes of {body_bytes} arrived", response.len());
    assert!(response.len() > body_bytes, "{} bytes of {body_bytes} arrived", response.len());
}

fn check_exit(cluster: &mut Cluster) -> io::Result<()> {
    let status = cluster.daemons[0].process.wait(EXIT_TIMEOUT)?;
    let log = cluster.logs()?;
    assert!(status.is_some_and(|it| it.success()), "exited with {status:?}: {log}");
    Ok(())
}
