//! Streams at instances that are not known to be the ones at which they began.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::origin::Key;
use balance::origin::Origin;
use balance::origin::Origins;

use crate::SECOND;
use crate::origin;

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 16_384;

/// At which daemon a stream began.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Begun {
    Here,
    Elsewhere,
    /// At a daemon that has ended since.
    AtEnded,
}

/// What a daemon concludes about a stream.
#[derive(Clone, Copy, Debug)]
enum Conclusion {
    Settle,
    Abandon,
}

/// What is known and passed on after a conclusion.
#[derive(Debug, PartialEq)]
struct Outcome {
    /// Version and whether it is settled; `None` if the stream is forgotten.
    known: Option<(Option<String>, bool)>,
    /// Number of other daemons' notices.
    told: usize,
    /// Number of streams to be written.
    changed: usize,
}

#[test]
fn a_stream_that_cannot_be_settled_is_in_doubt_here_unless_another_daemon_may_know_it() {
    let check = |begun: Begun, conclusion: Conclusion, expected: Outcome| {
        let now = Instant::now();
        let mut origins = begin(begun, now);

        match conclusion {
            Conclusion::Settle => origins.settle(key()),
            Conclusion::Abandon => origins.abandon(key(), |_| begun != Begun::AtEnded),
        }

        assert_eq!(outcome(&mut origins, now), expected, "{begun:?}, {conclusion:?}");
        assert_eq!(origins.unsettled().count(), 0, "{begun:?}, {conclusion:?}");
    };
    let version = || Some((Some("v1".to_owned()), true));

    let settled = Outcome { known: version(), told: 0, changed: 1 };
    check(Begun::Here, Conclusion::Settle, settled);
    let settled = Outcome { known: version(), told: 0, changed: 0 };
    check(Begun::Elsewhere, Conclusion::Settle, settled);
    let doubted = || Outcome { known: Some((None, true)), told: 0, changed: 0 };
    check(Begun::Here, Conclusion::Abandon, doubted());
    check(Begun::Elsewhere, Conclusion::Abandon, Outcome { known: None, told: 0, changed: 0 });
    check(Begun::AtEnded, Conclusion::Abandon, doubted());
}

#[test]
fn a_stream_of_another_daemon_that_was_forgotten_becomes_known_again() {
    let now = Instant::now();
    let mut origins = begin(Begun::Elsewhere, now);
    origins.abandon(key(), |_| true);

    origins.merge_remote(&notice("v1"), &Rc::from("d"), true, now);

    assert_eq!(outcome(&mut origins, now).known, Some((Some("v1".into()), true)));
}

#[test]
fn a_stream_is_settled_once_it_is_settled_for_one_daemon() {
    let check = |notices: &[(&str, bool)], expected: (Option<&str>, bool)| {
        let now = Instant::now();
        let mut origins = Origins::default();

        for (software, is_settled) in notices {
            origins.merge_remote(&notice(software), &Rc::from("d"), *is_settled, now);
        }

        let entry = origins.get(key(), now).unwrap();
        let known = (entry.origin.software.as_deref(), entry.is_settled);
        assert_eq!(known, expected, "{notices:?}");
        assert_eq!(origins.unsettled().count(), usize::from(!expected.1), "{notices:?}");
    };

    check(&[("v1", false)], (Some("v1"), false));
    check(&[("v1", false), ("v1", false)], (Some("v1"), false));
    check(&[("v1", false), ("v1", true)], (Some("v1"), true));
    check(&[("v1", true), ("v1", false)], (Some("v1"), true));
    check(&[("v1", false), ("v2", true)], (Some("v2"), true));
    check(&[("v2", true), ("v1", false)], (Some("v2"), true));
    check(&[("v1", true), ("v2", true)], (None, true));
    check(&[("v1", false), ("v2", false)], (None, false));
    check(&[("", true), ("v1", true)], (Some("v1"), true));
    check(&[("", true), ("", true)], (Some(""), true));
}

/// Guards against a version of which only the entry is evidence, which counts as proven since
/// another daemon knows a process of the stream whose entry was not read.
#[test]
fn a_process_whose_entry_was_not_read_settles_no_version() {
    let check = |notices: [(&str, bool); 2]| {
        let now = Instant::now();
        let mut origins = Origins::default();

        for (software, is_settled) in notices {
            origins.merge_remote(&notice(software), &Rc::from("d"), is_settled, now);
        }

        let entry = origins.get(key(), now).unwrap();
        assert!(entry.origin.is_unread() || !entry.is_settled, "{notices:?}");
    };

    check([("v1", false), ("", true)]);
    check([("", true), ("v1", false)]);
}

/// Guards against conclusions about a stream that was forgotten for want of space, and is known
/// again and settled.
#[test]
fn a_stream_that_was_forgotten_is_not_unsettled_when_it_is_known_again() {
    let now = Instant::now();
    let mut origins = begin(Begun::Here, now);
    let other = |it: usize| Key::of(None, "r", &format!("other-{it}"));
    for it in 0..MAX_STREAMS {
        origins.record(other(it), origin("v1", 1), true, SECOND, now);
    }
    assert!(origins.get(key(), now).is_none());

    origins.record(key(), origin("v1", 1), true, SECOND, now);

    assert_eq!(origins.unsettled().count(), 0);
}

/// Guards against more streams than are remembered, as a forgotten one takes the place of the
/// oldest.
#[test]
fn forgotten_streams_of_other_daemons_do_not_count() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let key = |it: usize| Key::of(None, "r", &format!("{it}"));
    let notice = |it: usize| origin::Notice { key: key(it), ..notice("v1") };
    let daemon: Rc<str> = Rc::from("d");
    for it in 0..MAX_STREAMS / 2 {
        origins.merge_remote(&notice(it), &daemon, false, now);
        origins.abandon(key(it), |_| true);
    }

    for it in 0..2 * MAX_STREAMS {
        origins.merge_remote(&notice(it), &daemon, false, now);
    }

    assert_eq!(origins.count(), MAX_STREAMS);
    assert_eq!(origins.unsettled().count(), MAX_STREAMS);
}

#[test]
fn streams_that_have_expired_are_not_unsettled() {
    let now = Instant::now();
    let mut origins = begin(Begun::Here, now);

    origins.remove_expired(now + SECOND);

    assert_eq!(origins.unsettled().count(), 0);
}

/// Returns what is known of a stream that has begun and is not settled.
fn begin(begun: Begun, now: Instant) -> Origins {
    let mut origins = Origins::default();
    match begun {
        Begun::Here => origins.record(key(), origin("v1", 1), false, SECOND, now),
        Begun::Elsewhere | Begun::AtEnded => {
            origins.merge_remote(&notice("v1"), &Rc::from("d"), false, now)
        }
    }
    origins.take_unsent(10, now);
    origins.take_changed();
    origins
}

fn outcome(origins: &mut Origins, now: Instant) -> Outcome {
    let entry = origins.get(key(), now);
    let known = entry.map(|it| (it.origin.software.clone(), it.is_settled));
    let told = origins.take_unsent(10, now).len();
    Outcome { known, told, changed: origins.take_changed().len() }
}

fn notice(software: &str) -> origin::Notice {
    let origin: Origin = origin(software, 1);
    let lifetime_ms = Duration::from_secs(1).as_millis() as u64;
    origin::Notice { key: key(), origin, age_ms: 0, lifetime_ms }
}

fn key() -> Key {
    Key::of(None, "r", "id")
}
