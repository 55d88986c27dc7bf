//! Taking the lease and reading what earlier holders wrote.

use store::table::Commit;
use store::table::Row;

use crate::Error;
use crate::book::Book;
use crate::lifecycle::Event;
use crate::message::Action;
use crate::message::Moment;
use crate::message::Verdict;
use crate::record::Head;
use crate::record::LEASE;
use crate::record::batch_prefix;
use crate::record::decode_batches;
use crate::record::decode_head;
use crate::record::head_key;
use crate::shard::Compaction;
use crate::shard::Held;
use crate::shard::Lease;
use crate::shard::Loading;
use crate::shard::MOVE_RETRY_S;
use crate::shard::Seen;
use crate::shard::Shard;
use crate::shard::TABLE_RETRY_S;
use crate::shard::Taking;
use crate::shard::commit::Effect;
use crate::shard::commit::outcome;
use crate::snapshot;

impl Shard {
    pub(super) fn head_read(
        &mut self,
        now: Moment,
        result: Result<Row, store::Error>,
    ) -> Vec<Action> {
        if let Lease::Loading(Loading { version, doubt: Some(error), .. }) = &self.lease {
            let (version, error) = (*version, error.clone());
            return self.settle_doubt(version, error, result);
        }
        let Lease::Looking { seen } = &self.lease else { return Vec::new() };
        let seen = seen.clone();
        let Ok(row) = result else {
            self.step(Event::Refused);
            self.lease = Lease::Away { seen };
            return self.turn_away(TABLE_RETRY_S);
        };
        let head = match decode_head(&row) {
            Ok(head) => head,
            Err(error) => return self.refuse(error),
        };
        let seen = match seen {
            Some(seen) if seen.version == row.version => seen,
            _ => Seen { version: row.version, since: now.instant, holder: head.holder.clone() },
        };
        let lapsed = now.instant.duration_since(seen.since) >= LEASE;
        let free = head.holder.daemon.is_empty() || head.holder == self.me;
        let replaced =
            head.holder.daemon == self.me.daemon && head.holder.incarnation < self.me.incarnation;
        if !(free || replaced || lapsed) {
            return self.send_elsewhere(seen);
        }
        self.take(head, row.version)
    }

    fn take(&mut self, head: Head, version: u64) -> Vec<Action> {
        let next = Head {
            fence: head.fence + 1,
            holder: self.me.clone(),
            token: self.take_token(),
            ..head
        };
        let transaction = self.transaction(&next, version, None, Vec::new());
        let taking = Taking { head: next, transaction: transaction.clone(), unresolved: false };
        self.step(Event::Free);
        self.lease = Lease::Taking(taking);
        vec![Action::Commit(transaction)]
    }

    pub(super) fn taken(
        &mut self,
        taking: Taking,
        result: Result<Commit, store::Error>,
    ) -> Vec<Action> {
        match outcome(&taking.head, result) {
            Effect::Took(version) => self.load(taking.head, version),
            Effect::Lost => {
                self.step(Event::Refused);
                self.turn_away(MOVE_RETRY_S)
            }
            Effect::Open => {
                let again = taking.transaction.clone();
                self.lease = Lease::Taking(Taking { unresolved: true, ..taking });
                let mut actions = self.turn_away(TABLE_RETRY_S);
                actions.push(Action::Commit(again));
                actions
            }
        }
    }

    fn load(&mut self, head: Head, version: u64) -> Vec<Action> {
        let first = match &head.snapshot {
            Some(named) => Action::ReadSnapshot(named.name.clone()),
            None => Action::ReadBatches(batch_prefix(self.id)),
        };
        self.step(Event::Claimed);
        self.lease = Lease::Loading(Loading { head, version, book: Book::default(), doubt: None });
        vec![first]
    }

    pub(super) fn snapshot_read(
        &mut self,
        result: Result<Option<Vec<u8>>, store::Error>,
    ) -> Vec<Action> {
        let Lease::Loading(loading) = &mut self.lease else { return Vec::new() };
        let Some(named) = &loading.head.snapshot else { return Vec::new() };
        let Ok(bytes) = result else { return self.give_up_loading() };
        match snapshot::decode(self.id, named, bytes.as_deref()) {
            Ok(records) => loading.book.replay(&records),
            Err(error) => return self.doubt(error),
        }
        vec![Action::ReadBatches(batch_prefix(self.id))]
    }

    pub(super) fn batches_read(
        &mut self,
        now: Moment,
        result: Result<Vec<Row>, store::Error>,
    ) -> Vec<Action> {
        let Lease::Loading(loading) = &mut self.lease else { return Vec::new() };
        let Ok(rows) = result else { return self.give_up_loading() };
        let records = match decode_batches(self.id, &loading.head, &rows) {
            Ok(records) => records,
            Err(error) => return self.doubt(error),
        };
        let (head, version) = (loading.head.clone(), loading.version);
        let mut book = std::mem::take(&mut loading.book);
        book.replay(&records);
        book.close_open();
        book.expire(now.wall_s);
        self.forget();
        self.book = book;
        let mut actions: Vec<Action> =
            head.spare.iter().map(|name| Action::DeleteSnapshot(name.clone())).collect();
        self.step(Event::Loaded);
        self.lease = Lease::Held(Box::new(Held {
            head: Head { spare: Vec::new(), ..head },
            version,
            committed_at: None,
            written_at: now.instant,
            commit: None,
            compaction: Compaction::Idle { not_before: None },
            wakes_at: None,
        }));
        self.used_at = Some(now.instant);
        for (ticket, claim) in std::mem::take(&mut self.asking) {
            actions.extend(self.decide(now, ticket, claim));
        }
        actions.extend(self.pump(now));
        actions
    }

    /// What was read is wrong, or a newer holder has changed it meanwhile.
    fn doubt(&mut self, error: Error) -> Vec<Action> {
        if let Lease::Loading(loading) = &mut self.lease {
            loading.doubt = Some(error);
        }
        vec![Action::ReadHead(head_key(self.id))]
    }

    fn settle_doubt(
        &mut self,
        version: u64,
        error: Error,
        result: Result<Row, store::Error>,
    ) -> Vec<Action> {
        match result {
            Ok(row) if row.version == version => self.refuse(error),
            _ => self.give_up_loading(),
        }
    }

    fn give_up_loading(&mut self) -> Vec<Action> {
        self.step(Event::Refused);
        self.lease = Lease::Away { seen: None };
        self.turn_away(TABLE_RETRY_S)
    }

    /// What is written can't be read: it may hold intents, so nothing leaves.
    fn refuse(&mut self, error: Error) -> Vec<Action> {
        let mut actions = vec![Action::Report(error)];
        actions.extend(self.give_up_loading());
        actions
    }

    fn send_elsewhere(&mut self, seen: Seen) -> Vec<Action> {
        let holder = seen.holder.clone();
        self.step(Event::Refused);
        self.lease = Lease::Away { seen: Some(seen) };
        let asking = std::mem::take(&mut self.asking).into_iter();
        let tell = |(ticket, _)| Action::Tell(ticket, Verdict::Elsewhere(holder.clone()));
        asking.map(tell).collect()
    }
}
