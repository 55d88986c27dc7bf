//! Requests that wait for accounting daemons.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use front::asking::Asking;
use front::asking::MAX_WAIT;
use front::asking::Waiting;
use relay::admission::Arrival;
use relay::admission::Decision;
use route::request::Attributes;
use tokio::sync::oneshot;

#[test]
fn a_request_waits_for_all_daemons_that_were_asked() {
    let now = Instant::now();
    let mut asking = Asking::default();
    let (waiting, _reply) = waiting(&[1, 2], now);
    let number = asking.add(waiting);

    let first = asking.record_answer(number, daemon(1));
    let repeated = asking.record_answer(number, daemon(1));
    let second = asking.record_answer(number, daemon(2));

    assert!(first.is_none() && repeated.is_none());
    assert!(second.is_some_and(|it| it.unanswered.is_empty()));
    assert_eq!(asking.due_in(now), None);
}

#[test]
fn a_silent_daemon_ends_the_wait_and_is_not_asked_for_a_while() {
    let now = Instant::now();
    let mut asking = Asking::default();
    let (waiting, _reply) = waiting(&[1, 2], now);
    let number = asking.add(waiting);
    assert!(asking.record_answer(number, daemon(1)).is_none());

    assert_eq!(asking.due_in(now), Some(MAX_WAIT));
    let early = asking.take_overdue(now + MAX_WAIT / 2);
    let overdue = asking.take_overdue(now + MAX_WAIT);

    assert!(early.is_empty());
    assert_eq!(overdue.len(), 1);
    assert!(asking.may_ask(daemon(1), now + MAX_WAIT));
    assert!(!asking.may_ask(daemon(2), now + MAX_WAIT));
    assert!(asking.may_ask(daemon(2), now + Duration::from_secs(1)));
    assert!(asking.record_answer(number, daemon(2)).is_none(), "a late answer");
}

#[test]
fn a_daemon_is_asked_again_once_it_answers_or_if_this_one_was_held_up() {
    let now = Instant::now();
    let mut asking = Asking::default();
    let (first, _reply) = waiting(&[1], now);
    let (second, _reply) = waiting(&[2], now);
    asking.add(first);

    asking.take_overdue(now + MAX_WAIT);
    let may_ask_silent = asking.may_ask(daemon(1), now + MAX_WAIT);
    asking.record_response(daemon(1));
    asking.add(second);
    asking.take_overdue(now + MAX_WAIT * 10);

    assert!(!may_ask_silent);
    assert!(asking.may_ask(daemon(1), now + MAX_WAIT));
    assert!(asking.may_ask(daemon(2), now + MAX_WAIT * 10));
}

#[test]
fn few_requests_wait_at_a_time() {
    let now = Instant::now();
    let mut asking = Asking::default();
    let mut replies = Vec::new();

    while asking.has_room() {
        let (waiting, reply) = waiting(&[1], now);
        asking.add(waiting);
        replies.push(reply);
    }

    assert!(replies.len() <= 256, "{}", replies.len());
    assert_eq!(asking.take_overdue(now + MAX_WAIT).len(), replies.len());
}

fn waiting(asked: &[u16], now: Instant) -> (Waiting, oneshot::Receiver<Decision>) {
    let (reply, decision) = oneshot::channel();
    let arrival = Arrival {
        host: "office.example".to_owned(),
        path: "/".to_owned(),
        attributes: Attributes::default(),
        fingerprint: 0,
        waited: Duration::ZERO,
    };
    let unanswered = asked.iter().map(|it| daemon(*it)).collect();
    (Waiting { arrival, reply, parts: Vec::new(), since: now, unanswered }, decision)
}

fn daemon(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
