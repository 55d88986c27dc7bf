//! Asks endpoints by turns for their load, within a budget of bytes.
//!
//! The whole of a daemon's control traffic may take 3 KB a second, whatever
//! the number of endpoints: endpoints in use are asked first, load before
//! cache events, and in between own sends stand in for a fresh report.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use endpoint::load;
use policy::budget::Budget;
use policy::budget::Remainder;
use stakker::CX;
use stakker::after;
use stakker::sync::Channel;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::routing::Poll;

/// Time between two questions.
const TURN: Duration = Duration::from_millis(125);
/// Bytes a second for all control traffic.
const CONTROL_BYTES_PER_SECOND: f64 = 2800.0;
/// Bytes a second for load reports, whatever gossip takes.
const LEAST_LOAD_BYTES_PER_SECOND: f64 = 200.0;
/// Bytes a second for load reports when gossip takes little.
const LOAD_BYTES_PER_SECOND: f64 = 1800.0;
/// Bytes a second for cache events.
const EVENT_BYTES_PER_SECOND: f64 = 200.0;

/// Questions to endpoints.
pub struct Poller {
    questions: Sender<Question>,
    rest: Remainder,
    load: Budget,
    events: Budget,
    started: Instant,
    turn: usize,
    is_waiting: bool,
}

/// An answer, or nothing when the endpoint did not give one.
pub struct Answer {
    poll: Poll,
    told: load::Report,
}

struct Question {
    poll: Poll,
    address: String,
    with_events: bool,
}

impl Poller {
    /// Starts the thread that asks.
    pub fn start(answers: Channel<Answer>, started: Instant) -> Poller {
        let (questions, received) = channel();
        thread::spawn(move || ask_all(&received, &answers));
        Poller {
            questions,
            rest: Remainder::new(
                CONTROL_BYTES_PER_SECOND - EVENT_BYTES_PER_SECOND,
                LEAST_LOAD_BYTES_PER_SECOND,
                LOAD_BYTES_PER_SECOND,
            ),
            load: Budget::new(LOAD_BYTES_PER_SECOND),
            events: Budget::new(EVENT_BYTES_PER_SECOND),
            started,
            turn: 0,
            is_waiting: false,
        }
    }
}

impl Dispatch {
    /// Asks the next endpoint when the budget allows it.
    pub(super) fn poll_turn(&mut self, cx: CX![]) {
        after!(TURN, [cx], poll_turn());
        self.admission_turn(cx);
        let now = cx.now();
        let since = now.saturating_duration_since(self.poller.started);
        self.poller.rest.observe(since, peer::traffic::control_bytes_sent());
        self.poller.load.set_rate(self.poller.rest.per_second());
        if self.poller.is_waiting || !self.poller.load.is_open(since) {
            return;
        }
        self.poller.turn += 1;
        let Some(poll) = self.routing.next_poll(self.poller.turn, now) else { return };
        let Some(target) = self.endpoints.get(&poll.endpoint) else { return };
        let address = target.vm.address.clone();
        let with_events = self.poller.events.is_open(since);
        self.poller.is_waiting = true;
        let _ = self.poller.questions.send(Question { poll, address, with_events });
    }

    /// An endpoint was asked.
    pub(super) fn polled(&mut self, cx: CX![], answer: Answer) {
        self.poller.is_waiting = false;
        self.poller.load.spend(answer.told.load_bytes as f64);
        self.poller.events.spend(answer.told.event_bytes as f64);
        self.routing.polled(&answer.poll, &answer.told, cx.now());
    }
}

fn ask_all(questions: &Receiver<Question>, answers: &Channel<Answer>) {
    while let Ok(question) = questions.recv() {
        let after = question.with_events.then_some(question.poll.after);
        let told = load::poll(&question.address, after);
        answers.send(Answer { poll: question.poll, told });
    }
}
