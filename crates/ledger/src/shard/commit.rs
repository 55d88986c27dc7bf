//! Group commits under the lease.

use std::time::Instant;

use store::table::Check;
use store::table::Commit;
use store::table::Put;
use store::table::Transaction;

use crate::lifecycle::Event;
use crate::message::Action;
use crate::message::Moment;
use crate::message::Verdict;
use crate::message::not_now;
use crate::queue::Pending;
use crate::record::Batch;
use crate::record::COMMIT_PACE;
use crate::record::Claim;
use crate::record::Head;
use crate::record::Holder;
use crate::record::IDLE_AFTER;
use crate::record::RENEW_AFTER;
use crate::record::Record;
use crate::record::Step;
use crate::record::batch_key;
use crate::record::head_key;
use crate::shard::Compaction;
use crate::shard::Held;
use crate::shard::Lease;
use crate::shard::MOVE_RETRY_S;
use crate::shard::Shard;
use crate::shard::TABLE_RETRY_S;
use crate::shard::Under;

/// What became of a commit.
pub(super) enum Effect {
    /// It took effect; version of the head row.
    Took(u64),
    /// Another daemon wrote the head row.
    Lost,
    /// Not known.
    Open,
}

/// Why to commit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Due {
    Records,
    Renewal,
    GiveUp,
}

impl Shard {
    pub(super) fn committed(
        &mut self,
        now: Moment,
        result: Result<Commit, store::Error>,
    ) -> Vec<Action> {
        match std::mem::replace(&mut self.lease, Lease::Away { seen: None }) {
            Lease::Taking(taking) => self.taken(taking, result),
            Lease::Held(mut held) => {
                let Some(under) = held.commit.take() else {
                    self.lease = Lease::Held(held);
                    return Vec::new();
                };
                match outcome(&under.head, result) {
                    Effect::Took(version) => self.written(now, *held, version, under),
                    Effect::Lost => self.lost(under.batch),
                    Effect::Open => self.commit_again(held, under),
                }
            }
            other => {
                self.lease = other;
                Vec::new()
            }
        }
    }

    /// Sending the same commit again settles whether it took effect.
    fn commit_again(&mut self, mut held: Box<Held>, mut under: Under) -> Vec<Action> {
        let again = under.transaction.clone();
        under.unresolved = true;
        held.commit = Some(under);
        self.lease = Lease::Held(held);
        // Who waits behind it gets the final word at once.
        let waiting = self.queue.take_intents().into_iter().filter_map(|it| it.ticket);
        let mut actions: Vec<Action> =
            waiting.map(|ticket| not_now(ticket, TABLE_RETRY_S)).collect();
        actions.push(Action::Commit(again));
        actions
    }

    fn written(&mut self, now: Moment, held: Held, version: u64, under: Under) -> Vec<Action> {
        if under.head.holder.daemon.is_empty() {
            return self.released();
        }
        let fence = under.head.fence;
        let mut actions = Vec::new();
        for pending in under.batch {
            if pending.record.step != Step::Intent {
                continue;
            }
            self.book.note(&pending.record);
            match pending.ticket {
                Some(ticket) => {
                    self.running.insert(pending.record.identity);
                    actions.push(Action::Tell(ticket, Verdict::Granted { fence }));
                }
                // Withdrawn while it was written.
                None => self.record(now, pending.record.identity, Step::NotRun),
            }
        }
        let head = under.head;
        self.step(Event::Written);
        self.lease = Lease::Held(Box::new(Held {
            head,
            version,
            written_at: now.instant,
            commit: None,
            ..held
        }));
        actions.extend(self.continue_compaction(now));
        actions.extend(self.pump(now));
        actions
    }

    /// The lease is given up; who asked meanwhile asks again.
    fn released(&mut self) -> Vec<Action> {
        let waiting = self.queue.take_intents();
        self.forget();
        if self.releasing {
            self.step(Event::Leave);
            let tickets = waiting.into_iter().filter_map(|it| it.ticket);
            return tickets.map(|ticket| not_now(ticket, MOVE_RETRY_S)).collect();
        }
        self.step(Event::Released);
        let again = waiting.into_iter().filter_map(|it| {
            let Record { identity, request, .. } = it.record;
            Some((it.ticket?, Claim { identity, request }))
        });
        self.asking.extend(again);
        if self.asking.is_empty() {
            return Vec::new();
        }
        self.step(Event::Asked);
        self.lease = Lease::Looking { seen: None };
        vec![Action::ReadHead(head_key(self.id))]
    }

    /// The shard has a newer holder. Nothing of the batch has left.
    fn lost(&mut self, batch: Vec<Pending>) -> Vec<Action> {
        let intents = batch.iter().filter(|it| it.record.step == Step::Intent);
        self.counts.intents_lost += intents.count() as u64;
        let waiting = batch.into_iter().chain(self.queue.take_intents());
        let tickets = waiting.filter_map(|it| it.ticket);
        let mut actions: Vec<Action> =
            tickets.map(|ticket| not_now(ticket, MOVE_RETRY_S)).collect();
        self.step(Event::TakenOver);
        self.forget();
        actions.extend(self.turn_away(MOVE_RETRY_S));
        actions
    }

    /// Starts the next commit, if one is due and none is under way.
    pub(super) fn pump(&mut self, now: Moment) -> Vec<Action> {
        let Lease::Held(held) = &self.lease else { return Vec::new() };
        if held.commit.is_some() {
            return Vec::new();
        }
        let Some(due) = self.due(now, held) else { return Vec::new() };
        let paced_until = held.committed_at.map(|it| it + COMMIT_PACE);
        match paced_until.filter(|it| *it > now.instant) {
            Some(until) => self.wake_at(now, until),
            None => self.start_commit(now, due),
        }
    }

    fn due(&self, now: Moment, held: &Held) -> Option<Due> {
        if !self.queue.is_empty() || matches!(held.compaction, Compaction::Written(_)) {
            return Some(Due::Records);
        }
        let idle = self.used_at.is_none_or(|it| now.instant.duration_since(it) >= IDLE_AFTER);
        let writing = matches!(held.compaction, Compaction::Writing(_));
        if (self.releasing || idle) && self.running.is_empty() && !writing {
            return Some(Due::GiveUp);
        }
        (now.instant.duration_since(held.written_at) >= RENEW_AFTER).then_some(Due::Renewal)
    }

    fn wake_at(&mut self, now: Moment, until: Instant) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        if held.wakes_at.is_some_and(|it| it > now.instant) {
            return Vec::new();
        }
        held.wakes_at = Some(until);
        vec![Action::Wake(until - now.instant)]
    }

    fn start_commit(&mut self, now: Moment, due: Due) -> Vec<Action> {
        let token = self.take_token();
        let batch = self.queue.take_batch();
        let deletes = self.advance_compaction(now, due != Due::GiveUp);
        let Lease::Held(held) = &self.lease else { return Vec::new() };
        let version = held.version;
        let mut head = Head { token, ..held.head.clone() };
        if due == Due::GiveUp {
            head.holder = Holder::default();
        }
        let mut put = None;
        if !batch.is_empty() {
            let records: Vec<Record> = batch.iter().map(|it| it.record.clone()).collect();
            let value = serde_json::to_string(&Batch { records }).unwrap_or_default();
            put = Some(Put { key: batch_key(self.id, head.next_batch), value });
            head.next_batch += 1;
        }
        let transaction = self.transaction(&head, version, put, deletes);
        let under = Under { head, transaction: transaction.clone(), batch, unresolved: false };
        if let Lease::Held(held) = &mut self.lease {
            held.committed_at = Some(now.instant);
            held.wakes_at = None;
            held.commit = Some(under);
        }
        vec![Action::Commit(transaction)]
    }

    pub(super) fn transaction(
        &self,
        head: &Head,
        version: u64,
        batch: Option<Put>,
        deletes: Vec<String>,
    ) -> Transaction {
        let key = head_key(self.id);
        let value = serde_json::to_string(head).unwrap_or_default();
        let mut puts = vec![Put { key: key.clone(), value }];
        puts.extend(batch);
        Transaction { checks: vec![Check { key, version }], puts, deletes }
    }
}

/// Whether a commit that wrote `head` took effect.
pub(super) fn outcome(head: &Head, result: Result<Commit, store::Error>) -> Effect {
    match result {
        Ok(Commit::Done { version }) => Effect::Took(version),
        Ok(Commit::Conflict { rows }) => {
            let Some(row) = rows.first() else { return Effect::Lost };
            // A row that can't be decoded is not the one that was written here.
            let found = serde_json::from_str::<Head>(&row.value).ok();
            let mine = found.is_some_and(|it| it.token == head.token && it.fence == head.fence);
            if mine { Effect::Took(row.version) } else { Effect::Lost }
        }
        Err(_) => Effect::Open,
    }
}
