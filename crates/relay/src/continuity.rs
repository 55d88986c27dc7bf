//! Times in which a process of an endpoint has been answering on a connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use tokio::time::Instant;

/// Identity and address of an endpoint.
pub type Place = (String, SocketAddr);

/// A time in which one process has been answering on a connection.
#[derive(Debug)]
struct Continuity {
    /// When the process first answered, on this connection or on one on which it answered at the
    /// same time.
    since: Cell<Instant>,
    /// When it last answered on this connection.
    until: Cell<Instant>,
    /// When the process started, in milliseconds since 1970, if it has stated that.
    started_at_ms: Cell<Option<u64>>,
}

impl Continuity {
    /// Merges what is known from another connection to the same endpoint, if a process has
    /// answered on each after it had answered on the other one. A connection that only appears to
    /// be open, as nothing is heard on it any more, doesn't count.
    fn merge(&self, other: &Continuity) {
        let overlaps =
            self.since.get() <= other.until.get() && other.since.get() <= self.until.get();
        if !overlaps {
            return;
        }
        let (own, others) = (self.started_at_ms.get(), other.started_at_ms.get());
        if own.is_some() && others.is_some() && own != others {
            return;
        }
        self.since.set(self.since.get().min(other.since.get()));
        self.started_at_ms.set(own.or(others));
    }
}

/// The part of a connection in this, shared with the task that drives the connection.
#[derive(Clone, Debug, Default)]
pub struct Link(Rc<RefCell<Option<Rc<Continuity>>>>);

impl Link {
    /// Records that the connection has ended.
    pub fn end(&self) {
        self.0.borrow_mut().take();
    }

    /// Whether a process has answered on the connection, which is open, as far as known.
    pub fn has_answered(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Whether the process has stated its start.
    pub fn has_stated(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|it| it.started_at_ms.get().is_some())
    }

    /// Records that a part of a response was received.
    pub fn touch(&self) {
        if let Some(continuity) = &*self.0.borrow() {
            continuity.until.set(Instant::now());
        }
    }
}

/// The continuities of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Continuities(Rc<RefCell<HashMap<Place, Vec<Weak<Continuity>>>>>);

impl Continuities {
    /// Records that a process has answered on a connection, and when it started, in milliseconds
    /// since 1970, if it has stated that.
    pub fn record_answer(&self, place: &Place, link: &Link, started_at_ms: Option<u64>) {
        let now = Instant::now();
        let mut current = link.0.borrow_mut();
        // Something between may keep the connection open while another process takes over.
        let is_other = |it: &Rc<Continuity>| {
            let known = it.started_at_ms.get();
            known.is_some() && started_at_ms.is_some() && known != started_at_ms
        };
        if current.as_ref().is_some_and(is_other) {
            current.take();
        }
        let continuity = current.get_or_insert_with(|| {
            let continuity = Rc::new(Continuity {
                since: Cell::new(now),
                until: Cell::new(now),
                started_at_ms: Cell::new(started_at_ms),
            });
            let mut by_place = self.0.borrow_mut();
            by_place.entry(place.clone()).or_default().push(Rc::downgrade(&continuity));
            continuity
        });
        continuity.until.set(now);
        if started_at_ms.is_some() {
            continuity.started_at_ms.set(started_at_ms);
        }
    }

    /// Returns since when the process at the other end of a connection has been answering, and
    /// when it started if it has stated that; `None` if it has not answered on the connection.
    pub fn find(&self, place: &Place, link: &Link) -> Option<(Instant, Option<u64>)> {
        let continuity = link.0.borrow().clone()?;
        for other in self.0.borrow().get(place).into_iter().flatten() {
            if let Some(other) = other.upgrade() {
                continuity.merge(&other);
            }
        }
        Some((continuity.since.get(), continuity.started_at_ms.get()))
    }

    /// Returns since when a process at a place has been answering on any connection; `None` if
    /// none has within some time.
    pub fn heard_since(&self, place: &Place, within: Duration) -> Option<Instant> {
        let now = Instant::now();
        let by_place = self.0.borrow();
        let open = by_place.get(place).into_iter().flatten().filter_map(Weak::upgrade);
        open.filter(|it| now <= it.until.get() + within).map(|it| it.since.get()).min()
    }

    /// Forgets the continuities of connections that have ended.
    pub fn remove_ended(&self) {
        self.0.borrow_mut().retain(|_, continuities| {
            continuities.retain(|it| it.strong_count() > 0);
            !continuities.is_empty()
        });
    }
}
