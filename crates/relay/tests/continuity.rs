//! What is known of the process at the other end of a connection.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use relay::continuity::Continuities;
use relay::continuity::Link;
use relay::continuity::Place;
use tokio::runtime::Builder;
use tokio::time::Instant;
use tokio::time::advance;

use self::Step::Answer;
use self::Step::End;
use self::Step::Part;

/// Something that happens on one of two connections to an endpoint, a second after the other.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A process answers, and states its start if it is a number.
    Answer(usize, Option<u64>),
    /// A part of a response is received.
    Part(usize),
    /// The connection ends.
    End(usize),
}

#[test]
fn a_connection_without_an_answer_proves_nothing() {
    assert_eq!(known(&[]), None);
    assert_eq!(known(&[Part(1)]), None);
    assert_eq!(known(&[Answer(0, Some(7)), Part(0)]), None);
}

#[test]
fn a_connection_on_which_nothing_is_heard_any_more_does_not_vouch_for_another() {
    assert_eq!(known(&[Answer(0, Some(7)), Answer(1, None)]), Some((1, None)));
    assert_eq!(known(&[Answer(0, Some(7)), Part(0), Answer(1, None)]), Some((2, None)));
}

#[test]
fn processes_that_answer_at_the_same_time_are_one() {
    let answered_before_and_after = [Answer(0, Some(7)), Answer(1, None), Part(0)];
    let answered_later = [Answer(1, None), Answer(0, Some(7)), Part(1)];

    assert_eq!(known(&answered_before_and_after), Some((0, Some(7))));
    assert_eq!(known(&answered_later), Some((0, Some(7))));
}

#[test]
fn a_process_with_another_start_is_another_one() {
    let on_two = [Answer(0, Some(7)), Answer(1, Some(8)), Part(0)];
    let on_one = [Answer(1, Some(7)), Part(1), Answer(1, Some(8))];

    assert_eq!(known(&on_two), Some((1, Some(8))));
    assert_eq!(known(&on_one), Some((2, Some(8))));
}

#[test]
fn a_connection_that_has_ended_says_nothing() {
    assert_eq!(known(&[Answer(1, Some(7)), End(1)]), None);
    assert_eq!(known(&[Answer(1, Some(7)), End(1), Answer(1, None)]), Some((2, None)));
}

/// Returns what is known on connection 1 after the steps: the step since which its process has been
/// answering, and when it started.
fn known(steps: &[Step]) -> Option<(u64, Option<u64>)> {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let (began, continuities) = (Instant::now(), Continuities::default());
        let place: Place = ("i-0".to_owned(), SocketAddr::from((Ipv4Addr::LOCALHOST, 80)));
        let links = [Link::default(), Link::default()];
        for step in steps {
            match *step {
                Answer(link, start) => continuities.record_answer(&place, &links[link], start),
                Part(link) => links[link].touch(),
                End(link) => links[link].end(),
            }
            advance(Duration::from_secs(1)).await;
        }
        let (since, started_at_ms) = continuities.find(&place, &links[1])?;
        Some(((since - began).as_secs(), started_at_ms))
    })
}
