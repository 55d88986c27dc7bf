//! Progress of the exchanges on callers' connections.

use std::rc::Rc;

use arbtest::arbtest;
use relay::admission::Message;
use relay::exchange::Cause;
use relay::exchange::Counts;
use relay::exchange::End;
use relay::exchange::Exchanges;
use relay::exchange::Progress;
use relay::exchange::Stage;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;

#[test]
fn an_exchange_lasts_from_the_first_byte_until_the_response_is_flushed() {
    let (exchanges, progress, mut messages) = connect();
    let stage = |action: fn(&Progress)| {
        action(&progress);
        assert_eq!(exchanges.counts().at(progress.stage()), 1);
        (progress.stage(), exchanges.counts().in_progress())
    };

    assert_eq!(stage(Progress::record_flush), (Stage::Idle, 0));
    assert_eq!(stage(Progress::record_read), (Stage::Head, 1));
    assert_eq!(stage(|it| it.begin("r")), (Stage::Body, 1));
    assert_eq!(stage(Progress::record_read), (Stage::Body, 1));
    assert_eq!(stage(Progress::record_received), (Stage::Running, 1));
    assert_eq!(stage(Progress::record_flush), (Stage::Running, 1));
    assert_eq!(stage(|it| it.end_body(0)), (Stage::Sending, 1));
    assert_eq!(ends(&mut messages), []);
    assert_eq!(stage(Progress::record_flush), (Stage::Idle, 0));
    assert_eq!(ends(&mut messages), [End::Sent]);
}

#[test]
fn bytes_after_a_request_begin_the_next_exchange() {
    let (_, progress, _messages) = connect();
    progress.begin("r1");
    progress.record_received();

    progress.record_read();
    progress.end_body(0);
    progress.record_flush();

    assert_eq!(progress.stage(), Stage::Head);
}

#[test]
fn a_connection_reports_how_its_last_exchange_ended() {
    let check = |actions: fn(&Progress), expected: &[End]| {
        let (exchanges, progress, mut messages) = connect();
        actions(&progress);
        progress.set_cause(Cause::Caller);

        drop(progress);

        assert_eq!(ends(&mut messages), expected);
        assert_eq!(exchanges.counts(), Counts::default());
    };

    check(|_| {}, &[]);
    check(Progress::record_read, &[]);
    check(|it| it.begin("r"), &[End::Incomplete]);
    check(received, &[End::Cut]);
    check(sending, &[End::Cut]);
    check(sent, &[End::Sent]);
    check(closed, &[End::Sent]);
}

#[test]
fn any_sequence_leaves_no_connection_counted() {
    arbtest(|u| {
        let (exchanges, progress, _messages) = connect();
        for _ in 0..u.int_in_range(0..=20)? {
            match u.int_in_range(0..=6)? {
                0 => progress.record_read(),
                1 => progress.begin("r"),
                2 => progress.record_received(),
                3 => progress.end_body(u.arbitrary()?),
                4 => progress.record_written(usize::from(u.arbitrary::<u16>()?)),
                5 => progress.record_flush(),
                _ => progress.close(),
            }
            assert_eq!(exchanges.counts().connections(), 1);
        }
        drop(progress);
        assert_eq!(exchanges.counts(), Counts::default());
        Ok(())
    });
}

fn connect() -> (Exchanges, Rc<Progress>, UnboundedReceiver<Message>) {
    let (sender, messages) = unbounded_channel();
    let exchanges = Exchanges::default();
    let progress = Progress::new(&exchanges, &sender);
    (exchanges, progress, messages)
}

fn received(progress: &Progress) {
    progress.begin("r");
    progress.record_received();
}

fn sending(progress: &Progress) {
    received(progress);
    progress.end_body(10);
}

fn sent(progress: &Progress) {
    sending(progress);
    progress.record_flush();
}

fn closed(progress: &Progress) {
    sent(progress);
    progress.close();
}

fn ends(messages: &mut UnboundedReceiver<Message>) -> Vec<End> {
    let messages = std::iter::from_fn(|| messages.try_recv().ok());
    let ends = messages.filter_map(|it| match it {
        Message::Exchanged { end } => Some(end),
        _ => None,
    });
    ends.collect()
}
