//! Streams at endpoints that state no start, whose processes show by how long they go on which
//! ones they are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::origin::Key;
use balance::origin::Origin;
use balance::origin::Origins;
use balance::runs::Runs;
use balance::runs::Successor;

/// Time for which a process runs until its entry has been read.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);

/// A stream, and a restart of its endpoint. Times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Case {
    began_at: u64,
    running_at: u64,
    complete_until: u64,
    /// Start of the next process.
    started_at: u64,
    /// Start of the one after that.
    restarted_at: Option<u64>,
    /// Time at which another stream was still running that began long before.
    earlier_running_at: Option<u64>,
    /// Time at which the entry of the next process was read.
    read_at: u64,
    /// Whether the next process is at the same address.
    is_same_address: bool,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            began_at: 10_000,
            running_at: 12_000,
            complete_until: 12_000,
            started_at: 9_900,
            restarted_at: None,
            earlier_running_at: None,
            read_at: 11_000,
            is_same_address: true,
        }
    }
}

/// Guards against a version that is concluded although another process may have begun the stream.
#[test]
fn a_stream_that_goes_on_after_a_start_began_at_the_later_process() {
    let check = |case: Case, expected: bool| {
        let mut runs = play(case);

        let complete_until = Some(at(case.complete_until));
        let identified = runs.take_identified(REGISTRATION_TIME, complete_until);

        let expected: Vec<(Key, Successor)> =
            expected.then(|| (Key(1), next(case))).into_iter().collect();
        assert_eq!(identified, expected, "{case:?}");
    };
    let case = Case::default();

    check(case, true);
    check(Case { started_at: 10_900, ..case }, true);
    check(Case { started_at: 11_100, ..case }, false);
    check(Case { running_at: 11_900, ..case }, false);
    check(Case { complete_until: 11_900, ..case }, false);
    check(Case { restarted_at: Some(10_500), ..case }, false);
    check(Case { restarted_at: Some(11_500), ..case }, true);
    check(Case { earlier_running_at: Some(11_900), ..case }, true);
    check(Case { earlier_running_at: Some(12_000), ..case }, false);
    check(Case { read_at: 11_100, ..case }, false);
    check(Case { is_same_address: false, ..case }, false);
}

#[test]
fn a_doubt_is_resolved_for_the_daemons_that_were_told_of_the_stream() {
    let check = |resolving: &str, expected: Option<&str>| {
        let now = Instant::now();
        let (mut own, mut other) = (Origins::default(), Origins::default());
        own.record(Key(1), origin("v1", 1), false, Duration::from_secs(20), now);
        let daemon: Rc<str> = Rc::from("d");
        other.merge_remote(&own.notice(Key(1), now).unwrap(), &daemon, false, now);
        own.doubt(Instance(1), now);
        other.doubt(Instance(1), now);
        let doubt = own.notice(Key(1), now).unwrap();

        own.identify(Key(1), origin("v2", 2), now);
        let notice = own.notice(Key(1), now).unwrap();
        other.merge_remote(&notice, &Rc::from(resolving), true, now);
        other.merge_remote(&doubt, &daemon, true, now);

        assert_eq!(own.get(Key(1), now).unwrap().origin, origin("v2", 2));
        let known = &other.get(Key(1), now).unwrap().origin;
        assert_eq!(known.software.as_deref(), expected, "told by {resolving}");
    };

    check("d", Some("v2"));
    check("e", None);
}

/// Guards against a doubt that is resolved although two streams have the same id.
#[test]
fn a_contradiction_is_not_resolved() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let lifetime = Duration::from_secs(20);
    origins.record(Key(1), origin("v1", 1), true, lifetime, now);
    origins.record(Key(1), origin("v2", 2), true, lifetime, now);

    origins.identify(Key(1), origin("v2", 2), now);

    assert_eq!(origins.get(Key(1), now).unwrap().origin.software, None);
}

fn play(case: Case) -> Runs {
    let mut runs = Runs::default();
    let lifetime = Duration::from_secs(20);
    runs.begin(Key(1), Instance(1), address(1), lifetime, at(case.began_at));
    runs.extend(Key(1), at(case.running_at));
    if let Some(running_at) = case.earlier_running_at {
        runs.begin(Key(2), Instance(1), address(1), lifetime, at(0));
        runs.extend(Key(2), at(running_at));
    }
    runs.record_successor(Instance(1), next(case));
    if let Some(restarted_at) = case.restarted_at {
        runs.record_successor(Instance(2), successor(3, restarted_at));
    }
    runs
}

fn next(case: Case) -> Successor {
    let address = address(if case.is_same_address { 1 } else { 2 });
    Successor { address, read_at: at(case.read_at), ..successor(2, case.started_at) }
}

fn successor(number: u64, started_at: u64) -> Successor {
    Successor {
        described: Instance(number),
        confirmed: Instance(100 + number),
        software: format!("v{number}"),
        address: address(1),
        started_at: at(started_at),
        read_at: at(started_at),
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn origin(software: &str, instance: u64) -> Origin {
    Origin {
        service: "s".to_owned(),
        software: Some(software.to_owned()),
        instance: Instance(instance),
    }
}

/// Returns a time, in milliseconds since a fixed one.
fn at(milliseconds: u64) -> Instant {
    thread_local!(static START: Instant = Instant::now());
    START.with(|it| *it) + Duration::from_millis(milliseconds)
}
