//! Removed endpoints, remembered so that older descriptions don't bring them back.

use std::time::Instant;

use bincode::Decode;
use bincode::Encode;
use store::position;

use crate::endpoint::Endpoint;
use crate::endpoint::Instance;

/// What daemons tell each other about a removed endpoint.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Notice {
    /// Endpoint identity.
    pub id: String,
    /// Store version of the removal.
    pub version: u64,
    /// Start time of the removed instance, in milliseconds since 1970; 0 if not stated.
    pub started_at_ms: u64,
    /// Whether the instance had announced that it leaves.
    pub was_leaving: bool,
    /// Store version of the description in a copy from which the store has returned since.
    pub restored: Option<u64>,
}

/// The removal of a description.
#[derive(Clone, Debug)]
pub(crate) struct Removal {
    notice: Notice,
    /// The removed instance and its software version; `None` if another daemon has noticed the
    /// removal.
    pub(crate) former: Option<(Instance, String)>,
    pub(crate) at: Instant,
}

impl Removal {
    pub(crate) fn new(
        version: u64,
        endpoint: &Endpoint,
        was_leaving: bool,
        at: Instant,
    ) -> Removal {
        let notice = Notice {
            id: endpoint.id.clone(),
            version,
            started_at_ms: endpoint.started_at_ms,
            was_leaving,
            restored: None,
        };
        let former = Some((endpoint.instance(), endpoint.software.clone()));
        Removal { notice, former, at }
    }

    /// Creates a removal that another daemon has noticed.
    pub(crate) fn remote(notice: Notice, at: Instant) -> Removal {
        Removal { notice, former: None, at }
    }

    /// Adds what another daemon knows of the removal of the same or a later instance.
    pub(crate) fn merge(&mut self, notice: &Notice) {
        if notice.started_at_ms > self.notice.started_at_ms {
            self.notice = notice.clone();
        }
        if notice.started_at_ms == self.notice.started_at_ms {
            self.notice.version = self.notice.version.max(notice.version);
            self.notice.restored = self.notice.restored.max(notice.restored);
            self.notice.was_leaving |= notice.was_leaving;
        }
    }

    /// Returns the notice for other daemons, unless they can't tell the copy's description
    /// from a later one by it.
    pub(crate) fn notice(&self) -> Option<&Notice> {
        let is_final = self.notice.was_leaving && self.notice.started_at_ms > 0;
        (is_final || self.notice.restored.is_some()).then_some(&self.notice)
    }

    /// Whether a description is older than the removal. If the store has returned from an older
    /// copy, the copy's description counts as older until the endpoint writes it again.
    pub(crate) fn outdates(&mut self, endpoint: &Endpoint) -> bool {
        let notice = &mut self.notice;
        if endpoint.version <= notice.version {
            return true;
        }
        // An instance that leaves doesn't come back, whatever a copy says of it.
        let is_same_instance =
            endpoint.started_at_ms > 0 && endpoint.started_at_ms == notice.started_at_ms;
        if notice.was_leaving && is_same_instance {
            return true;
        }
        let era = position::era(endpoint.version);
        if era == position::era(notice.version) || endpoint.started_at_ms > notice.started_at_ms {
            return false;
        }
        let restored = notice.restored.filter(|it| position::era(*it) == era);
        notice.restored = restored.or(Some(endpoint.version));
        restored.is_none_or(|it| endpoint.version <= it)
    }
}
