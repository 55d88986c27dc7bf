//! Which process of an endpoint runs a request: the one that its entry describes, or a later
//! one under the same id whose entry was not read yet.

use std::time::Duration;
use std::time::Instant;

use balance::endpoint::Instance;
use balance::pool::Member;
use balance::software::Requirement;
use relay::admission::Confirmation;
use relay::identity::Identity;

use super::Broker;
use super::pending::Pending;
use crate::clock;
use crate::metrics;

/// Time after the start of a process within which its entry is in the store and in the lists of
/// all daemons.
pub(super) const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// How long a request waits until the process of an endpoint that states no start is known.
const MAX_WAIT: Duration = Duration::from_secs(4);

impl Broker {
    /// Whether a request may be sent on a connection to this process of its endpoint.
    pub(super) fn confirm(
        &mut self,
        ticket: u64,
        identity: Option<Identity>,
        is_fresh: bool,
        now: Instant,
    ) -> Confirmation {
        let Some(pending) = self.requests.get_mut(&ticket) else { return Confirmation::Unsound };
        pending.is_fresh |= is_fresh;
        if !self.may_be_sent(ticket, now) {
            return Confirmation::Unsound;
        }
        let Some(Identity { started_at_ms, since }) = identity else { return Confirmation::Sound };
        match started_at_ms.filter(|_| self.is_start_described(ticket)) {
            Some(started_at_ms) => self.confirm_stated(ticket, started_at_ms),
            None => self.confirm_unstated(ticket, since.into_std(), now),
        }
    }

    /// Updates until when the list of endpoints is known to be complete.
    pub(super) fn track_list(&mut self, now: Instant) {
        let Some(age) = self.read_age(now) else { return };
        let version = self.pool.roster_version;
        if self.freshness.is_fresh(version, Some(age), clock::since_boot()) {
            self.list_complete_until = self.list_complete_until.max(now.checked_sub(age));
        }
    }

    /// Records the software version of an endpoint's instance, for streams that began there
    /// before its entry was read.
    pub(super) fn learn_software(&mut self, id: &str) {
        let Some(member) = self.pool.member(id) else { return };
        let (instance, software) = (member.endpoint.confirmed(), &member.endpoint.software);
        self.origins.learn(instance, software);
        let is_unread = |it: &&mut Pending| it.confirmed == Some(instance) && it.is_unread();
        for pending in self.requests.values_mut().filter(is_unread) {
            pending.software.clone_from(software);
            if pending.is_stream && pending.has_started {
                pending.requirement = Requirement::Exactly(software.clone());
            }
        }
    }

    /// Whether a request may still be sent to the endpoint to which it was assigned.
    fn may_be_sent(&self, ticket: u64, now: Instant) -> bool {
        let Some(pending) = self.requests.get(&ticket) else { return false };
        if self.is_rejected(pending, now) {
            metrics::count("crash", "rejected_before_send");
            spdlog::info!("request rejected before it was sent",
                kv: { request = pending.attributes.id.as_str() });
            return false;
        }
        let is_current = |it: &Member| {
            it.instance == pending.instance && it.endpoint.software == pending.software
        };
        let member = self.pool.member(&pending.endpoint);
        if member.is_some_and(|it| is_current(it) && it.is_usable(now)) {
            return true;
        }
        metrics::count("endpoint", "left_before_send");
        spdlog::info!("endpoint left before the request was sent", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            waited_ms = now.saturating_duration_since(pending.sent_at).as_millis() as u64,
        });
        false
    }

    /// Whether the entry of a request's endpoint states when the process started.
    fn is_start_described(&self, ticket: u64) -> bool {
        let pending = self.requests.get(&ticket);
        let member = pending.and_then(|it| self.pool.member(&it.endpoint));
        member.is_some_and(|it| it.endpoint.started_at_ms > 0)
    }

    /// Compares the start that the process has stated with its endpoint's entry.
    fn confirm_stated(&mut self, ticket: u64, started_at_ms: u64) -> Confirmation {
        let Some(pending) = self.requests.get_mut(&ticket) else { return Confirmation::Unsound };
        let Some(member) = self.pool.member_mut(&pending.endpoint) else {
            return Confirmation::Unsound;
        };
        let described_ms = member.endpoint.started_at_ms;
        let is_described = described_ms == started_at_ms;
        let is_bound = pending.requirement != Requirement::Any;
        if is_described || !is_bound {
            pending.confirmed = Some(Instance::confirmed(&pending.endpoint, started_at_ms));
        }
        if is_described {
            return Confirmation::Sound;
        }
        member.has_restarted |= started_at_ms > described_ms;
        metrics::count("identity", "not_described");
        spdlog::info!("the endpoint's process is not the one that its entry describes", kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            started_at_ms = started_at_ms,
            described_ms = described_ms,
            requires = pending.requirement.name(),
            entry = member.endpoint.version,
        });
        if is_bound {
            return Confirmation::OtherProcess;
        }
        pending.instance = Instance::described(&pending.endpoint, started_at_ms, pending.address);
        pending.software.clear();
        Confirmation::Sound
    }

    /// Concludes from a list that was complete some time after the first connection to a process
    /// whether it is the one that its endpoint's entry describes.
    fn confirm_unstated(&self, ticket: u64, since: Instant, now: Instant) -> Confirmation {
        let Some(pending) = self.requests.get(&ticket) else { return Confirmation::Unsound };
        let registered_at = since + REGISTRATION_TIME;
        if pending.requirement == Requirement::Any
            || self.list_complete_until.is_some_and(|it| registered_at <= it)
        {
            return Confirmation::Sound;
        }
        if now < pending.sent_at + MAX_WAIT {
            return Confirmation::Later;
        }
        metrics::count("identity", "not_known");
        spdlog::info!("the endpoint's process is not known to be the one that its entry describes",
        kv: {
            request = pending.attributes.id.as_str(),
            endpoint = pending.endpoint.as_str(),
            connected_ms = now.saturating_duration_since(since).as_millis() as u64,
            list_age_ms = self.list_complete_until
                .map_or(-1, |it| now.saturating_duration_since(it).as_millis() as i64),
            requires = pending.requirement.name(),
        });
        Confirmation::OtherProcess
    }
}
