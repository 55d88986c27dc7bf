//! Exchange between replicas, which spreads changes while the table is slow or
//! down.

use std::rc::Rc;
use std::time::Instant;

use crate::catalog::Catalog;
use crate::log::Entry;
use crate::replica::Action;
use crate::replica::Freshness;
use crate::replica::RELAY_FANOUT;
use crate::replica::Replica;
use crate::replica::Stream;
use crate::replica::message::Content;
use crate::replica::message::Message;

impl Replica {
    pub(super) fn message_received(&mut self, now: Instant, stream: Stream, message: Message) {
        match message {
            Message::Entries(entries) => self.entries_received(entries),
            Message::Query { number, after } => {
                let content = self.content_after(after);
                let response = Message::Response { number, content };
                self.actions.push(Action::Reply(stream, response));
            }
            Message::Response { number, content } => self.response_received(now, number, content),
        }
    }

    pub(super) fn peer_revision_received(&mut self, revision: u64, peer: String) {
        if revision > self.peer_revision.max(self.catalog.revision) {
            self.peer_revision = revision;
            self.query(Some(peer));
        }
    }

    /// Queries the peer at this address, or some peers, for later entries.
    pub(super) fn query(&mut self, peer: Option<String>) {
        self.query_count += 1;
        let message = Message::Query { number: self.query_count, after: self.catalog.revision };
        self.actions.push(Action::Query(peer, message));
    }

    pub(super) fn install_catalog(&mut self, catalog: Catalog) {
        if catalog.revision <= self.catalog.revision {
            return;
        }
        self.catalog = Rc::new(catalog);
        self.recent.clear();
        let out_of_order = std::mem::take(&mut self.out_of_order);
        out_of_order.values().for_each(|entry| {
            self.apply(entry);
        });
    }

    /// Applies entries sent by a peer. New ones are forwarded, so that they reach
    /// all daemons even while the table is down.
    fn entries_received(&mut self, entries: Vec<Entry>) {
        let mut applied = Vec::new();
        for entry in entries {
            self.peer_revision = self.peer_revision.max(entry.revision);
            if self.apply(&entry) {
                applied.push(entry);
            }
        }
        if !applied.is_empty() {
            self.actions.push(Action::Push(Message::Entries(applied), RELAY_FANOUT));
        }
        if self.peer_revision > self.catalog.revision {
            self.query(None);
        }
    }

    fn content_after(&self, after: u64) -> Content {
        if !self.is_ready() {
            return Content::Unconfirmed;
        }
        if after >= self.catalog.revision {
            return Content::Entries(Vec::new());
        }
        let later: Vec<Entry> =
            self.recent.iter().filter(|it| it.revision > after).cloned().collect();
        let is_complete = later.first().is_some_and(|it| it.revision == after + 1);
        if is_complete {
            Content::Entries(later)
        } else {
            Content::Catalog(Catalog::clone(&self.catalog))
        }
    }

    fn response_received(&mut self, now: Instant, number: u64, content: Content) {
        match content {
            Content::Unconfirmed => return,
            Content::Entries(entries) => entries.iter().for_each(|entry| {
                self.apply(entry);
            }),
            Content::Catalog(catalog) => self.install_catalog(catalog),
        }
        match self.freshness {
            Freshness::Starting { first_response_at: None } => {
                self.freshness = Freshness::Starting { first_response_at: Some(now) };
            }
            Freshness::Stale if number >= self.confirming_query => self.confirm(),
            _ => {}
        }
    }
}
