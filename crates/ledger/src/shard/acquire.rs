//! Claiming the lease and loading the records of previous holders.

use store::table::Commit;
use store::table::Row;

use crate::Error;
use crate::index::Index;
use crate::lifecycle::Event;
use crate::message::Action;
use crate::message::Timestamp;
use crate::message::Verdict;
use crate::record::Head;
use crate::record::LEASE_DURATION;
use crate::record::batch_prefix;
use crate::record::decode_batches;
use crate::record::decode_head;
use crate::record::head_key;
use crate::shard::Acquisition;
use crate::shard::Compaction;
use crate::shard::Held;
use crate::shard::LEASE_MOVE_RETRY_S;
use crate::shard::Lease;
use crate::shard::Loading;
use crate::shard::Observation;
use crate::shard::Shard;
use crate::shard::TABLE_RETRY_S;
use crate::shard::commit::Effect;
use crate::shard::commit::effect_of;
use crate::snapshot;

impl Shard {
    pub(super) fn head_read(
        &mut self,
        now: Timestamp,
        result: Result<Row, store::Error>,
    ) -> Vec<Action> {
        if let Lease::Loading(Loading { version, load_error: Some(error), .. }) = &self.lease {
            let (version, error) = (*version, error.clone());
            return self.resolve_load_error(version, error, result);
        }
        let Lease::ReadingHead { observed } = &self.lease else { return Vec::new() };
        let observed = observed.clone();
        let Ok(row) = result else {
            self.advance_state(Event::Refused);
            self.lease = Lease::Unheld { observed };
            return self.reject_waiting(TABLE_RETRY_S);
        };
        let head = match decode_head(&row) {
            Ok(head) => head,
            Err(error) => return self.reject_stored_state(error),
        };
        let observed = match observed {
            Some(observed) if observed.version == row.version => observed,
            _ => Observation {
                version: row.version,
                since: now.instant,
                holder: head.holder.clone(),
            },
        };
        let expired = now.instant.duration_since(observed.since) >= LEASE_DURATION;
        let free = head.holder.daemon.is_empty() || head.holder == self.this_daemon;
        let is_previous_incarnation = head.holder.daemon == self.this_daemon.daemon
            && head.holder.incarnation < self.this_daemon.incarnation;
        if !(free || is_previous_incarnation || expired) {
            return self.redirect_waiting(observed);
        }
        self.claim_lease(head, row.version)
    }

    fn claim_lease(&mut self, head: Head, version: u64) -> Vec<Action> {
        let next = Head {
            fence: head.fence + 1,
            holder: self.this_daemon.clone(),
            token: self.issue_token(),
            ..head
        };
        let transaction = self.build_transaction(&next, version, None, Vec::new());
        let acquisition =
            Acquisition { head: next, transaction: transaction.clone(), unresolved: false };
        self.advance_state(Event::Free);
        self.lease = Lease::Claiming(acquisition);
        vec![Action::Commit(transaction)]
    }

    pub(super) fn claim_committed(
        &mut self,
        acquisition: Acquisition,
        result: Result<Commit, store::Error>,
    ) -> Vec<Action> {
        match effect_of(&acquisition.head, result) {
            Effect::Applied(version) => self.start_loading(acquisition.head, version),
            Effect::Lost => {
                self.advance_state(Event::Refused);
                self.reject_waiting(LEASE_MOVE_RETRY_S)
            }
            Effect::Unknown => {
                let transaction = acquisition.transaction.clone();
                self.lease = Lease::Claiming(Acquisition { unresolved: true, ..acquisition });
                let mut actions = self.reject_waiting(TABLE_RETRY_S);
                actions.push(Action::Commit(transaction));
                actions
            }
        }
    }

    fn start_loading(&mut self, head: Head, version: u64) -> Vec<Action> {
        let first_read = match &head.snapshot {
            Some(descriptor) => Action::ReadSnapshot(descriptor.name.clone()),
            None => Action::ReadBatches(batch_prefix(self.id)),
        };
        self.advance_state(Event::Claimed);
        self.lease =
            Lease::Loading(Loading { head, version, index: Index::default(), load_error: None });
        vec![first_read]
    }

    pub(super) fn snapshot_read(
        &mut self,
        result: Result<Option<Vec<u8>>, store::Error>,
    ) -> Vec<Action> {
        let Lease::Loading(loading) = &mut self.lease else { return Vec::new() };
        let Some(descriptor) = &loading.head.snapshot else { return Vec::new() };
        let Ok(bytes) = result else { return self.abort_loading() };
        match snapshot::decode(self.id, descriptor, bytes.as_deref()) {
            Ok(records) => loading.index.replay(&records),
            Err(error) => return self.recheck_head(error),
        }
        vec![Action::ReadBatches(batch_prefix(self.id))]
    }

    pub(super) fn batches_read(
        &mut self,
        now: Timestamp,
        result: Result<Vec<Row>, store::Error>,
    ) -> Vec<Action> {
        let Lease::Loading(loading) = &mut self.lease else { return Vec::new() };
        let Ok(rows) = result else { return self.abort_loading() };
        let records = match decode_batches(self.id, &loading.head, &rows) {
            Ok(records) => records,
            Err(error) => return self.recheck_head(error),
        };
        let (head, version) = (loading.head.clone(), loading.version);
        let mut index = std::mem::take(&mut loading.index);
        index.replay(&records);
        index.mark_running_unknown();
        index.expire(now.wall_s);
        self.clear_calls();
        self.index = index;
        let mut actions: Vec<Action> =
            head.spare.iter().map(|name| Action::DeleteSnapshot(name.clone())).collect();
        self.advance_state(Event::Loaded);
        self.lease = Lease::Held(Box::new(Held {
            head: Head { spare: Vec::new(), ..head },
            version,
            commit_started_at: None,
            written_at: now.instant,
            commit: None,
            compaction: Compaction::Idle { not_before: None },
            next_tick_at: None,
        }));
        self.last_used_at = Some(now.instant);
        for (ticket, claim) in std::mem::take(&mut self.waiting) {
            actions.extend(self.decide(now, ticket, claim));
        }
        actions.extend(self.commit_if_due(now));
        actions
    }

    /// Handles invalid stored state. Reads the head row again to find out whether
    /// it is really invalid, or a new holder has changed it meanwhile.
    fn recheck_head(&mut self, error: Error) -> Vec<Action> {
        if let Lease::Loading(loading) = &mut self.lease {
            loading.load_error = Some(error);
        }
        vec![Action::ReadHead(head_key(self.id))]
    }

    fn resolve_load_error(
        &mut self,
        version: u64,
        error: Error,
        result: Result<Row, store::Error>,
    ) -> Vec<Action> {
        match result {
            Ok(row) if row.version == version => self.reject_stored_state(error),
            _ => self.abort_loading(),
        }
    }

    fn abort_loading(&mut self) -> Vec<Action> {
        self.advance_state(Event::Refused);
        self.lease = Lease::Unheld { observed: None };
        self.reject_waiting(TABLE_RETRY_S)
    }

    /// Reports stored state that can't be read. It may contain intents, so no call
    /// is granted.
    fn reject_stored_state(&mut self, error: Error) -> Vec<Action> {
        let mut actions = vec![Action::Report(error)];
        actions.extend(self.abort_loading());
        actions
    }

    fn redirect_waiting(&mut self, observed: Observation) -> Vec<Action> {
        let holder = observed.holder.clone();
        self.advance_state(Event::Refused);
        self.lease = Lease::Unheld { observed: Some(observed) };
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let redirect = |(ticket, _)| Action::Reply(ticket, Verdict::Redirect(holder.clone()));
        waiting.map(redirect).collect()
    }
}
