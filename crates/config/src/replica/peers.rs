//! What replicas tell each other when the table is slow or down.

use std::rc::Rc;
use std::time::Instant;

use crate::catalog::Catalog;
use crate::log::Entry;
use crate::replica::Action;
use crate::replica::RELAY_FANOUT;
use crate::replica::Replica;
use crate::replica::ReplyTo;
use crate::replica::Standing;
use crate::replica::message::Content;
use crate::replica::message::Message;

impl Replica {
    pub(super) fn received(&mut self, now: Instant, from: ReplyTo, message: Message) {
        match message {
            Message::Entries(entries) => self.pushed(entries),
            Message::Ask { number, after } => {
                let content = self.content_after(after);
                let answer = Message::Answer { number, content };
                self.actions.push(Action::Reply(from, answer));
            }
            Message::Answer { number, content } => self.answered(now, number, content),
        }
    }

    pub(super) fn heard(&mut self, revision: u64, peer: String) {
        if revision > self.heard.max(self.catalog.revision) {
            self.heard = revision;
            self.ask(Some(peer));
        }
    }

    /// Asks the peer at this address, or some peers, for what is newer.
    pub(super) fn ask(&mut self, peer: Option<String>) {
        self.asks += 1;
        let message = Message::Ask { number: self.asks, after: self.catalog.revision };
        self.actions.push(Action::Ask(peer, message));
    }

    pub(super) fn take_catalog(&mut self, catalog: Catalog) {
        if catalog.revision <= self.catalog.revision {
            return;
        }
        self.catalog = Rc::new(catalog);
        self.recent.clear();
        let early = std::mem::take(&mut self.early);
        early.values().for_each(|entry| {
            self.apply(entry);
        });
    }

    /// An entry that is new here is passed on, so that it reaches everyone
    /// while the table is down.
    fn pushed(&mut self, entries: Vec<Entry>) {
        let mut news = Vec::new();
        for entry in entries {
            self.heard = self.heard.max(entry.revision);
            if self.apply(&entry) {
                news.push(entry);
            }
        }
        if !news.is_empty() {
            self.actions.push(Action::Spread(Message::Entries(news), RELAY_FANOUT));
        }
        if self.heard > self.catalog.revision {
            self.ask(None);
        }
    }

    fn content_after(&self, after: u64) -> Content {
        if !self.is_ready() {
            return Content::Unconfirmed;
        }
        if after >= self.catalog.revision {
            return Content::Entries(Vec::new());
        }
        let newer: Vec<Entry> =
            self.recent.iter().filter(|it| it.revision > after).cloned().collect();
        let whole = newer.first().is_some_and(|it| it.revision == after + 1);
        if whole {
            Content::Entries(newer)
        } else {
            Content::Catalog(Catalog::clone(&self.catalog))
        }
    }

    fn answered(&mut self, now: Instant, number: u64, content: Content) {
        match content {
            Content::Unconfirmed => return,
            Content::Entries(entries) => entries.iter().for_each(|entry| {
                self.apply(entry);
            }),
            Content::Catalog(catalog) => self.take_catalog(catalog),
        }
        match self.standing {
            Standing::Starting { answered_at: None } => {
                self.standing = Standing::Starting { answered_at: Some(now) };
            }
            Standing::Frozen if number >= self.confirming_ask => self.confirm(),
            _ => {}
        }
    }
}
