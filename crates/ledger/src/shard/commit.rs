//! Group commits under the lease.

use std::time::Instant;

use store::table::Check;
use store::table::Commit;
use store::table::Put;
use store::table::Transaction;

use crate::lifecycle::Event;
use crate::message::Action;
use crate::message::Timestamp;
use crate::message::Verdict;
use crate::message::unavailable;
use crate::queue::Pending;
use crate::record::Batch;
use crate::record::COMMIT_INTERVAL;
use crate::record::Claim;
use crate::record::Head;
use crate::record::Holder;
use crate::record::IDLE_TIMEOUT;
use crate::record::RENEW_INTERVAL;
use crate::record::Record;
use crate::record::Step;
use crate::record::batch_key;
use crate::record::head_key;
use crate::shard::Compaction;
use crate::shard::Group;
use crate::shard::Held;
use crate::shard::LEASE_MOVE_RETRY_S;
use crate::shard::Lease;
use crate::shard::Shard;
use crate::shard::TABLE_RETRY_S;

/// Effect of a commit.
pub(super) enum Effect {
    /// It took effect. Contains the new version of the head row.
    Applied(u64),
    /// It failed because another daemon wrote the head row.
    Lost,
    /// Unknown, because there was no usable reply.
    Unknown,
}

/// Reason for a commit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// There are records to write, or a snapshot to put into the head row.
    Records,
    /// The lease must be renewed.
    Renewal,
    /// The lease can be released.
    Release,
}

impl Shard {
    pub(super) fn committed(
        &mut self,
        now: Timestamp,
        result: Result<Commit, store::Error>,
    ) -> Vec<Action> {
        match std::mem::replace(&mut self.lease, Lease::Unheld { observed: None }) {
            Lease::Claiming(acquisition) => self.claim_committed(acquisition, result),
            Lease::Held(mut held) => {
                let Some(group) = held.commit.take() else {
                    self.lease = Lease::Held(held);
                    return Vec::new();
                };
                match effect_of(&group.head, result) {
                    Effect::Applied(version) => self.commit_applied(now, *held, version, group),
                    Effect::Lost => self.lease_lost(group.batch),
                    Effect::Unknown => self.resend_commit(held, group),
                }
            }
            other => {
                self.lease = other;
                Vec::new()
            }
        }
    }

    /// Sends the same commit again. Its reply shows whether the commit took effect.
    fn resend_commit(&mut self, mut held: Box<Held>, mut group: Group) -> Vec<Action> {
        let transaction = group.transaction.clone();
        group.unresolved = true;
        held.commit = Some(group);
        self.lease = Lease::Held(held);
        // The calls queued behind it are rejected immediately.
        let tickets = self.queue.take_intents().into_iter().filter_map(|it| it.ticket);
        let mut actions: Vec<Action> =
            tickets.map(|ticket| unavailable(ticket, TABLE_RETRY_S)).collect();
        actions.push(Action::Commit(transaction));
        actions
    }

    fn commit_applied(
        &mut self,
        now: Timestamp,
        held: Held,
        version: u64,
        group: Group,
    ) -> Vec<Action> {
        if group.head.holder.daemon.is_empty() {
            return self.lease_released();
        }
        let fence = group.head.fence;
        let mut actions = Vec::new();
        for pending in group.batch {
            if pending.record.step != Step::Intent {
                continue;
            }
            self.index.apply(&pending.record);
            match pending.ticket {
                Some(ticket) => {
                    self.running.insert(pending.record.identity);
                    actions.push(Action::Reply(ticket, Verdict::Granted { fence }));
                }
                // The call was withdrawn while its intent was being written.
                None => self.record_step(now, pending.record.identity, Step::NotRun),
            }
        }
        let head = group.head;
        self.advance_state(Event::Written);
        self.lease = Lease::Held(Box::new(Held {
            head,
            version,
            written_at: now.instant,
            commit: None,
            ..held
        }));
        actions.extend(self.continue_compaction(now));
        actions.extend(self.commit_if_due(now));
        actions
    }

    /// Handles the release of the lease. Calls that arrived meanwhile make the
    /// shard claim it again, unless the daemon is shutting down.
    fn lease_released(&mut self) -> Vec<Action> {
        let intents = self.queue.take_intents();
        self.clear_calls();
        if self.releasing {
            self.advance_state(Event::Leave);
            let tickets = intents.into_iter().filter_map(|it| it.ticket);
            return tickets.map(|ticket| unavailable(ticket, LEASE_MOVE_RETRY_S)).collect();
        }
        self.advance_state(Event::Released);
        let claims = intents.into_iter().filter_map(|it| {
            let Record { identity, request, .. } = it.record;
            Some((it.ticket?, Claim { identity, fingerprint: request }))
        });
        self.waiting.extend(claims);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.advance_state(Event::Asked);
        self.lease = Lease::ReadingHead { observed: None };
        vec![Action::ReadHead(head_key(self.id))]
    }

    /// Handles the loss of the lease to a new holder. None of the calls in the
    /// batch has been sent.
    fn lease_lost(&mut self, batch: Vec<Pending>) -> Vec<Action> {
        let intents = batch.iter().filter(|it| it.record.step == Step::Intent);
        self.losses.intents += intents.count() as u64;
        let rejected = batch.into_iter().chain(self.queue.take_intents());
        let tickets = rejected.filter_map(|it| it.ticket);
        let mut actions: Vec<Action> =
            tickets.map(|ticket| unavailable(ticket, LEASE_MOVE_RETRY_S)).collect();
        self.advance_state(Event::TakenOver);
        self.clear_calls();
        actions.extend(self.reject_waiting(LEASE_MOVE_RETRY_S));
        actions
    }

    /// Starts the next commit if there is a reason for one and none is in flight.
    /// Commits are spaced by [`COMMIT_INTERVAL`].
    pub(super) fn commit_if_due(&mut self, now: Timestamp) -> Vec<Action> {
        let Lease::Held(held) = &self.lease else { return Vec::new() };
        if held.commit.is_some() {
            return Vec::new();
        }
        let Some(reason) = self.commit_reason(now, held) else { return Vec::new() };
        let earliest = held.commit_started_at.map(|it| it + COMMIT_INTERVAL);
        match earliest.filter(|it| *it > now.instant) {
            Some(until) => self.schedule_tick(now, until),
            None => self.start_commit(now, reason),
        }
    }

    fn commit_reason(&self, now: Timestamp, held: &Held) -> Option<Reason> {
        if !self.queue.is_empty() || matches!(held.compaction, Compaction::Written(_)) {
            return Some(Reason::Records);
        }
        let idle =
            self.last_used_at.is_none_or(|it| now.instant.duration_since(it) >= IDLE_TIMEOUT);
        let writing = matches!(held.compaction, Compaction::Writing(_));
        if (self.releasing || idle) && self.running.is_empty() && !writing {
            return Some(Reason::Release);
        }
        (now.instant.duration_since(held.written_at) >= RENEW_INTERVAL).then_some(Reason::Renewal)
    }

    fn schedule_tick(&mut self, now: Timestamp, until: Instant) -> Vec<Action> {
        let Lease::Held(held) = &mut self.lease else { return Vec::new() };
        if held.next_tick_at.is_some_and(|it| it > now.instant) {
            return Vec::new();
        }
        held.next_tick_at = Some(until);
        vec![Action::ScheduleTick(until - now.instant)]
    }

    fn start_commit(&mut self, now: Timestamp, reason: Reason) -> Vec<Action> {
        let token = self.issue_token();
        let batch = self.queue.take_batch();
        let deletes = self.advance_compaction(now, reason != Reason::Release);
        let Lease::Held(held) = &self.lease else { return Vec::new() };
        let version = held.version;
        let mut head = Head { token, ..held.head.clone() };
        if reason == Reason::Release {
            head.holder = Holder::default();
        }
        let mut put = None;
        if !batch.is_empty() {
            let records: Vec<Record> = batch.iter().map(|it| it.record.clone()).collect();
            let value = serde_json::to_string(&Batch { records }).unwrap_or_default();
            put = Some(Put { key: batch_key(self.id, head.next_batch), value });
            head.next_batch += 1;
        }
        let transaction = self.build_transaction(&head, version, put, deletes);
        let group = Group { head, transaction: transaction.clone(), batch, unresolved: false };
        if let Lease::Held(held) = &mut self.lease {
            held.commit_started_at = Some(now.instant);
            held.next_tick_at = None;
            held.commit = Some(group);
        }
        vec![Action::Commit(transaction)]
    }

    /// Builds the transaction that writes the head row if it still has the given
    /// version.
    pub(super) fn build_transaction(
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

/// Determines the effect of a commit that writes `head`. After a lost reply the
/// commit is sent again; it then conflicts with itself, which the token shows.
pub(super) fn effect_of(head: &Head, result: Result<Commit, store::Error>) -> Effect {
    match result {
        Ok(Commit::Done { version }) => Effect::Applied(version),
        Ok(Commit::Conflict { rows }) => {
            let Some(row) = rows.first() else { return Effect::Lost };
            // A row that can't be decoded was not written by this commit.
            let found = serde_json::from_str::<Head>(&row.value).ok();
            let is_ours = found.is_some_and(|it| it.token == head.token && it.fence == head.fence);
            if is_ours { Effect::Applied(row.version) } else { Effect::Lost }
        }
        Err(_) => Effect::Unknown,
    }
}
