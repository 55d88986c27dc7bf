//! Times in which the process at an endpoint's address has been answering.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use tokio::time::Instant;

/// Identity and address of an endpoint.
pub type Place = (String, SocketAddr);

/// A time in which one process has been answering. Held by the connections on which it has
/// answered, as these end with it.
#[derive(Debug)]
pub struct Continuity {
    since: Instant,
    /// When the process started, in milliseconds since 1970, if it has stated that.
    started_at_ms: Cell<Option<u64>>,
    /// Whether the endpoint has ended one of the connections, as at the end of its process.
    has_ended: Cell<bool>,
}

/// The part of a connection in a continuity, shared with the task that drives the connection.
#[derive(Clone, Debug, Default)]
pub struct Link(Rc<RefCell<Option<Rc<Continuity>>>>);

impl Link {
    /// Records that the endpoint has ended the connection.
    pub fn end(&self) {
        if let Some(continuity) = &*self.0.borrow() {
            continuity.has_ended.set(true);
        }
    }

    /// Whether the process has answered on the connection and goes on, as far as known.
    pub fn is_continuous(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|it| !it.has_ended.get())
    }
}

/// The present continuities of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Continuities(Rc<RefCell<HashMap<Place, Weak<Continuity>>>>);

impl Continuities {
    /// Records that a process has answered on a connection. If it was answering on others that
    /// are open still, it is the same process.
    pub fn record_answer(&self, place: &Place, link: &Link) {
        if link.is_continuous() {
            return;
        }
        let continuity = self.find(place).unwrap_or_else(|| {
            let continuity = Rc::new(Continuity {
                since: Instant::now(),
                started_at_ms: Cell::new(None),
                has_ended: Cell::new(false),
            });
            self.0.borrow_mut().insert(place.clone(), Rc::downgrade(&continuity));
            continuity
        });
        *link.0.borrow_mut() = Some(continuity);
    }

    /// Records that a process has stated on a connection when it started.
    pub fn record_start(&self, place: &Place, link: &Link, started_at_ms: u64) {
        self.record_answer(place, link);
        let is_other = |it: &Rc<Continuity>| {
            it.started_at_ms.get().is_some_and(|known| known != started_at_ms)
        };
        if link.0.borrow().as_ref().is_some_and(is_other) {
            // Another process has taken its place without ending the connections.
            link.end();
            self.record_answer(place, link);
        }
        if let Some(continuity) = &*link.0.borrow() {
            continuity.started_at_ms.set(Some(started_at_ms));
        }
    }

    /// Returns since when the process at a place has been answering, and when it started if it
    /// has stated that; `None` if no connection is open on which it has answered.
    pub fn present(&self, place: &Place) -> Option<(Instant, Option<u64>)> {
        self.find(place).map(|it| (it.since, it.started_at_ms.get()))
    }

    /// Forgets the continuities that have ended.
    pub fn remove_ended(&self) {
        self.0.borrow_mut().retain(|_, it| it.strong_count() > 0);
    }

    fn find(&self, place: &Place) -> Option<Rc<Continuity>> {
        let continuity = self.0.borrow().get(place).and_then(Weak::upgrade);
        continuity.filter(|it| !it.has_ended.get())
    }
}
