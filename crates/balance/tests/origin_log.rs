//! Which streams a daemon writes to the store, and when.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::origin::Key;
use balance::origin::Notice;
use balance::origin::Origin;
use balance::origin::Origins;
use balance::origin_log::Log;
use balance::origin_log::MAX_DELETES;
use balance::origin_log::Write;

/// Time for which streams are remembered.
const LIFETIME: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn streams_of_an_interval_share_a_row() {
    let mut fixture = Fixture::new();
    fixture.begin(0..3, "v1");

    let first = fixture.write(1).unwrap();
    fixture.log.finish(true);
    fixture.begin(3..5, "v2");
    let early = fixture.write(1);
    fixture.now += Duration::from_millis(250);
    let second = fixture.write(1).unwrap();

    assert_eq!((first.row, keys(&first)), (Some(0), vec![0, 1, 2]));
    assert_eq!(early, None);
    assert_eq!((second.row, keys(&second)), (Some(1), vec![3, 4]));
}

#[test]
fn all_daemons_together_write_at_most_50_times_a_second() {
    let check = |daemons, expected| check_interval(false, daemons, expected);

    check(2, Duration::from_millis(250));
    check(12, Duration::from_millis(250));
    check(85, Duration::from_millis(1_700));
    check(420, Duration::from_millis(8_400));
}

/// Guards against daemons that take such a stream for one of the only version that they know.
#[test]
fn a_stream_is_written_before_its_version_is_known_and_again_once_it_is() {
    let mut fixture = Fixture::new();
    fixture.begin(0..1, "");

    let unread = fixture.write(1).unwrap();
    fixture.log.finish(true);
    fixture.origins.learn(instance(0), "v2");
    fixture.log.add(fixture.origins.take_changed());
    fixture.now += SECOND;
    let read = fixture.write(1).unwrap();

    assert!(unread.streams[0].origin.is_unread());
    assert_eq!(read.streams[0].origin.software.as_deref(), Some("v2"));
}

/// Guards against a kill of all daemons after which the streams that began before the second
/// version served are known to nobody.
#[test]
fn streams_are_written_also_while_one_version_serves_but_more_seldom() {
    let check = |daemons, expected| check_interval(true, daemons, expected);

    check(2, SECOND);
    check(12, SECOND);
    check(85, Duration::from_millis(1_700));
}

#[test]
fn a_doubt_that_arises_after_the_write_is_written() {
    let mut fixture = Fixture::new();
    fixture.begin(0..1, "v1");
    let first = fixture.write(1).unwrap();
    fixture.log.finish(true);
    fixture.now += SECOND;

    fixture.origins.doubt(instance(0), fixture.now);
    fixture.log.add(fixture.origins.take_changed());
    let second = fixture.write(1).unwrap();

    assert_eq!(second.streams[0].origin.software, None);
    for order in [[&first, &second], [&second, &first]] {
        let mut reader = Origins::default();
        for write in order {
            reader.merge_remote(&write.streams[0], &Rc::from("daemon"), true, fixture.now);
        }
        assert_eq!(reader.get(Key(0), fixture.now).unwrap().origin.software, None);
    }
}

#[test]
fn streams_of_a_failed_write_are_written_again_to_another_row() {
    let mut fixture = Fixture::new();
    fixture.begin(0..2, "v1");
    fixture.write(1).unwrap();
    let in_flight = fixture.write(1);
    fixture.log.finish(false);

    fixture.now += SECOND - Duration::from_millis(1);
    let early = fixture.write(1);
    fixture.now += Duration::from_millis(1);
    let again = fixture.write(1).unwrap();
    fixture.log.finish(true);
    fixture.now += LIFETIME;
    let last = fixture.write(1).unwrap();

    assert_eq!((in_flight, early), (None, None));
    assert_eq!((again.row, keys(&again)), (Some(1), vec![0, 1]));
    assert_eq!((last.row, last.expired), (None, vec![0, 1]), "the failed write may be performed");
}

/// Guards against streams that are known to nobody once all daemons were killed, as the store had
/// returned from a copy without their rows.
#[test]
fn streams_that_began_here_are_written_again_after_their_rows_were_lost() {
    let mut fixture = Fixture::new();
    fixture.begin(0..2, "v1");
    let remote = fixture.write(1).unwrap().streams.remove(0);
    fixture.log.finish(true);
    let notice = Notice { key: Key(7), ..remote };
    fixture.origins.merge_remote(&notice, &Rc::from("daemon"), true, fixture.now);
    fixture.now += SECOND;
    let before = fixture.write(1);

    fixture.origins.mark_own_changed();
    fixture.log.add(fixture.origins.take_changed());
    let after = fixture.write(1).unwrap();

    assert_eq!(before, None);
    assert_eq!((after.row, keys(&after)), (Some(1), vec![0, 1]));
}

#[test]
fn rows_are_deleted_once_their_streams_have_expired() {
    let mut fixture = Fixture::new();
    for index in 0..60 {
        fixture.begin(index..index + 1, "v1");
        fixture.write(1).unwrap();
        fixture.log.finish(true);
        fixture.now += Duration::from_millis(250);
    }

    fixture.now += LIFETIME;
    let first = fixture.write(1).unwrap();
    fixture.log.finish(true);
    fixture.begin(60..61, "v1");
    fixture.now += SECOND;
    let second = fixture.write(1).unwrap();
    fixture.log.finish(true);

    assert_eq!((first.row, first.expired.len()), (None, MAX_DELETES));
    assert_eq!((keys(&second), second.expired.len()), (vec![60], 60 - MAX_DELETES));
    assert_eq!(fixture.log.count(), 1);
}

#[test]
fn nothing_is_written_while_nothing_was_added() {
    let mut fixture = Fixture::new();
    fixture.begin(0..1, "v1");
    fixture.write(1).unwrap();
    fixture.log.finish(true);

    fixture.now += LIFETIME / 2;

    assert_eq!(fixture.write(1), None);
}

#[test]
fn rows_are_bounded() {
    let mut fixture = Fixture::new();
    fixture.begin(0..1_000, &"v".repeat(200));

    let mut rows = 0;
    let mut streams = Vec::new();
    while let Some(write) = fixture.write(1) {
        let size = |it: &String| it.len();
        let bytes: usize =
            write.streams.iter().map(|it| 160 + it.origin.software.as_ref().map_or(0, size)).sum();
        assert!(bytes < 41_000, "{bytes}");
        rows += 1;
        streams.extend(keys(&write));
        fixture.log.finish(true);
        fixture.now += Duration::from_millis(250);
    }

    assert!(rows > 1);
    assert_eq!(streams, (0..1_000).collect::<Vec<u128>>());
}

/// Checks after which time the next write is due.
fn check_interval(is_calm: bool, daemons: usize, expected: Duration) {
    let mut fixture = Fixture::new();
    fixture.log.set_calm(is_calm);
    fixture.begin(0..1, "v1");
    fixture.write(daemons).unwrap();
    fixture.log.finish(true);
    fixture.begin(1..2, "v1");

    fixture.now += expected - Duration::from_millis(1);
    let early = fixture.write(daemons);
    fixture.now += Duration::from_millis(1);

    assert!(early.is_none() && fixture.write(daemons).is_some(), "{daemons}");
}

struct Fixture {
    origins: Origins,
    log: Log,
    now: Instant,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { origins: Origins::default(), log: Log::default(), now: Instant::now() }
    }

    /// Lets streams begin at endpoints of this software version, each at one of its own.
    fn begin(&mut self, keys: std::ops::Range<u64>, software: &str) {
        for key in keys {
            let origin = Origin {
                service: "pool".to_owned(),
                software: Some(software.to_owned()),
                instance: instance(key),
            };
            self.origins.record(Key(key.into()), origin, true, LIFETIME, self.now);
        }
        self.log.add(self.origins.take_changed());
    }

    fn write(&mut self, daemons: usize) -> Option<Write> {
        self.log.next_write(&self.origins, daemons, self.now)
    }
}

fn instance(index: u64) -> Instance {
    Instance(index)
}

fn keys(write: &Write) -> Vec<u128> {
    write.streams.iter().map(|it| it.key.0).collect()
}
