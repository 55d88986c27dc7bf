//! Endpoints that don't state their start in time before a stream. They are asked again and again
//! on a connection of their own, so that their processes are known when a stream has to go on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::connection::Connection;
use crate::connection::Pool;
use crate::continuity::Place;
use crate::identity::Failure;

/// Maximum number of endpoints that are watched.
const MAX_WATCHED: usize = 64;
/// How long an endpoint is watched after streams were last sent there.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// How long a process may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of connections in a row without an answer after which an endpoint isn't watched.
const MAX_FAILURES: u32 = 3;
/// Pause between questions.
const PAUSE: Duration = Duration::from_secs(1);

/// Endpoints that are watched, and until when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watched(Rc<RefCell<HashMap<Place, Instant>>>);

impl Watched {
    /// Extends the time for which the endpoint is watched, if it is.
    pub(crate) fn extend(&self, place: &Place) {
        if let Some(until) = self.0.borrow_mut().get_mut(place) {
            *until = Instant::now() + WATCH_TIME;
        }
    }

    /// Adds an endpoint. Returns whether it is new and there is room for it.
    fn add(&self, place: &Place) -> bool {
        self.extend(place);
        let mut watched = self.0.borrow_mut();
        if watched.len() >= MAX_WATCHED || watched.contains_key(place) {
            return false;
        }
        watched.insert(place.clone(), Instant::now() + WATCH_TIME);
        true
    }

    fn remove(&self, place: &Place) {
        self.0.borrow_mut().remove(place);
    }

    /// Whether the endpoint has still to be watched.
    pub(crate) fn is_due(&self, place: &Place) -> bool {
        self.0.borrow().get(place).is_some_and(|it| Instant::now() < *it)
    }
}

/// Watches an endpoint for some time from now on.
pub(crate) fn watch(pool: &Pool, place: &Place) {
    if !pool.watched().add(place) {
        return;
    }
    let (pool, place) = (pool.clone(), place.clone());
    spawn_local(async move {
        let mut failures = 0;
        while failures < MAX_FAILURES && pool.watched().is_due(&place) {
            failures += 1;
            if let Ok(connection) = pool.connect(&place.0, place.1).await
                && question(&pool, &place, connection).await
            {
                failures = 0;
            }
            sleep(PAUSE).await;
        }
        pool.watched().remove(&place);
    });
}

/// Asks on a connection until it ends or its endpoint needn't be watched any more. Returns whether
/// there was an answer that left it open.
async fn question(pool: &Pool, place: &Place, mut connection: Connection) -> bool {
    let mut has_answered = false;
    while pool.watched().is_due(place) {
        let answer = pool.ask_within(&mut connection, ANSWER_TIMEOUT).await;
        has_answered |= answer != Err(Failure::Unanswered);
        if !connection.is_ready() {
            if answer == Err(Failure::NotStated)
                && let Ok(mut connection) = pool.connect(&place.0, place.1).await
            {
                pool.listen(&mut connection).await;
            }
            return has_answered;
        }
        sleep(PAUSE).await;
    }
    has_answered
}
