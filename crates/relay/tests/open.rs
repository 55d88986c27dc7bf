//! Tests of the bound on callers' connections.

use std::rc::Rc;
use std::time::Duration;

use relay::exchange::Exchanges;
use relay::exchange::Progress;
use relay::open::Connections;
use relay::open::capacity;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;

const CAPACITY: usize = 3;

#[test]
fn the_connection_that_is_unused_for_the_longest_time_is_closed() {
    check(&[], 0, Some(0));
    check(&[(0, BODY)], 0, Some(1));
    check(&[(0, BODY), (2, BODY)], 0, Some(1));
    check(&[(0, BODY), (1, BODY), (2, BODY)], 0, None);
}

#[test]
fn the_body_that_is_silent_for_the_longest_time_is_closed() {
    let read: Step = Progress::record_read;
    let run: Step = Progress::record_received;
    let bodies = [(2, BODY), (1, BODY), (0, BODY)];

    check(&bodies, 499, None);
    check(&bodies, 10_000, Some(2));
    check(&[&bodies[..], &[(2, read)]].concat(), 10_000, Some(1));
    check(&[&bodies[..], &[(2, run)]].concat(), 10_000, Some(1));
    check(&[&bodies[..], &[(0, run), (1, run), (2, run)]].concat(), 60_000, None);
    check(&bodies[..2], 10_000, Some(0));
    check(&[&bodies[..2], &[(0, read)]].concat(), 10_000, Some(0));
}

type Step = fn(&Progress);

/// Receives the head of a request.
const BODY: Step = |it| it.begin("r");

/// Opens as many connections as fit, takes steps on them in this order, and checks which one is
/// closed for a further one some time after the first step.
fn check(steps: &[(usize, Step)], after_ms: u64, closed: Option<usize>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let connections = Connections::new(CAPACITY);
        let (sender, _messages) = unbounded_channel();
        let exchanges = Exchanges::default();
        let open = [0; CAPACITY].map(|_| {
            let progress = Progress::new(&exchanges, &sender);
            let task = spawn_local(std::future::pending::<()>()).abort_handle();
            assert!(connections.make_room(Instant::now()));
            connections.add(Rc::downgrade(&progress), task.clone(), Instant::now());
            (progress, task)
        });
        let now = Instant::now() + Duration::from_millis(after_ms);
        for (at, step) in steps {
            step(&open[*at].0);
            // The next step is at a later time.
            std::thread::sleep(Duration::from_millis(1));
        }

        assert_eq!(connections.make_room(now), closed.is_some());
        tokio::task::yield_now().await;

        let finished = (0..CAPACITY).find(|it| open[*it].1.is_finished());
        assert_eq!(finished, closed, "{after_ms} ms");
    });
}

#[test]
fn descriptors_are_left_for_others() {
    assert_eq!(capacity(3_075, 512_000_000), 1_437);
    assert!(capacity(10_000, 120_000_000) < 2_000);
    assert_eq!(capacity(0, 0), 64);
}
