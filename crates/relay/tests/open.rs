//! Tests of the bound on callers' connections.

use std::rc::Rc;

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
    let check = |used: &[usize], closed: Option<usize>| {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let connections = Connections::new(CAPACITY);
            let (sender, _messages) = unbounded_channel();
            let exchanges = Exchanges::default();
            let open = [0; CAPACITY].map(|_| {
                let progress = Progress::new(&exchanges, &sender);
                let task = spawn_local(std::future::pending::<()>()).abort_handle();
                assert!(connections.make_room());
                connections.add(Rc::downgrade(&progress), task.clone(), Instant::now());
                (progress, task)
            });
            used.iter().for_each(|it| open[*it].0.begin("r"));

            assert_eq!(connections.make_room(), closed.is_some());
            tokio::task::yield_now().await;

            let finished = (0..CAPACITY).find(|it| open[*it].1.is_finished());
            assert_eq!(finished, closed, "{used:?}");
        });
    };

    check(&[], Some(0));
    check(&[0], Some(1));
    check(&[0, 2], Some(1));
    check(&[0, 1, 2], None);
}

#[test]
fn descriptors_are_left_for_others() {
    assert_eq!(capacity(3_075, 512_000_000), 1_437);
    assert!(capacity(10_000, 120_000_000) < 2_000);
    assert_eq!(capacity(0, 0), 64);
}
