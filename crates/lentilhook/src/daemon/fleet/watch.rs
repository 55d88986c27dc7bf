//! Platform calls about VMs, and the handling of their results.

use std::time::Duration;

use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use membership::view::Change;
use policy::ring;
use stakker::CX;
use stakker::call;
use store::table::Put;
use store::table::Table;
use store::table::Transaction;
use store::vm::Cloud;
use store::vm::Notice;

use crate::daemon::dispatch::recovery;
use crate::daemon::fleet::Fleet;
use crate::daemon::fleet::Response;
use crate::daemon::identity::Identity;

/// Prefix of the rows through which daemons discover each other.
const DAEMON_PREFIX: &str = "daemon/";
/// Maximum number of daemon rows read by a scan.
const MAX_DAEMON_ROWS: usize = 1000;
/// Number of rounds between reads of the daemon rows.
const ROUNDS_PER_SCAN: u64 = 120;
/// Number of rounds after the start in which the daemon rows are read every time.
const STARTUP_ROUNDS: u64 = 5;

impl Fleet {
    /// Queues the platform calls that are due in this round.
    pub(super) fn poll_platform(&mut self) {
        if self.poll.is_due(self.is_designated_reader()) {
            self.read_vm_list();
        }
        let is_starting = self.rounds < STARTUP_ROUNDS;
        if !self.registered || is_starting || self.rounds.is_multiple_of(ROUNDS_PER_SCAN) {
            self.sync_daemon_rows();
        }
    }

    /// Whether this daemon is the one in its zone that reads the VM list in every
    /// round.
    fn is_designated_reader(&self) -> bool {
        let same_zone = self.view.live(Role::Daemon).filter(|vm| vm.zone == self.me.zone);
        let name = format!("vm-list/{}", self.me.zone);
        ring::owner(&name, same_zone.map(|vm| vm.id.as_str())) == Some(&self.me.daemon)
    }

    /// Reads the changes of the VM list and the new reclaim notices.
    fn read_vm_list(&self) {
        let responses = self.responses.clone();
        let (revision, last_notice) = (self.list_revision, self.last_notice);
        self.worker.queue(move |client| {
            if let Ok(page) = client.list(revision) {
                responses.send(Response::Listed(page));
            }
            if let Ok(notices) = client.notices(last_notice) {
                responses.send(Response::Noticed(notices));
            }
        });
    }

    /// Reads the new reclaim notices after an endpoint has become known to be
    /// leaving, for example from a peer. Only the platform knows when it will be
    /// reclaimed.
    pub(super) fn read_notices(&mut self, _cx: CX![]) {
        self.is_notice_read_scheduled = false;
        let responses = self.responses.clone();
        let last_notice = self.last_notice;
        self.worker.queue(move |client| {
            if let Ok(notices) = client.notices(last_notice) {
                responses.send(Response::Noticed(notices));
            }
        });
    }

    /// Writes this daemon's row unless that has succeeded before, and reads the rows
    /// of all daemons.
    fn sync_daemon_rows(&self) {
        let responses = self.responses.clone();
        let is_registered = self.registered;
        let put = daemon_put(&self.me);
        self.worker.queue(move |client| {
            if !is_registered {
                let transaction = Transaction { puts: vec![put], ..Transaction::default() };
                responses.send(Response::Registered(client.commit(&transaction).is_ok()));
            }
            if let Ok(rows) = client.scan(DAEMON_PREFIX, "", MAX_DAEMON_ROWS) {
                let parsed = rows.iter().filter_map(|row| parse_daemon(&row.value));
                responses.send(Response::Daemons(parsed.collect()));
            }
        });
    }

    /// Applies the result of a platform call.
    pub(super) fn handle_response(&mut self, cx: CX![], response: Response) {
        match response {
            Response::Registered(succeeded) => self.registered = succeeded,
            Response::Daemons(daemons) => {
                daemons.iter().for_each(|vm| self.merge_initial(cx, vm));
            }
            Response::Listed(page) => {
                let is_first = !self.poll.has_read();
                self.list_revision = self.list_revision.max(page.revision);
                self.poll.record_read();
                for vm in &page.vms {
                    let vm = to_member(vm);
                    if is_first { self.merge_initial(cx, &vm) } else { self.merge(cx, &vm) }
                }
            }
            Response::Noticed(notices) => {
                for notice in notices {
                    self.last_notice = self.last_notice.max(notice.sequence);
                    self.receive_notice(cx, &notice);
                }
            }
        }
    }

    /// Handles a reclaim notice of this daemon's VM or of an endpoint.
    fn receive_notice(&mut self, cx: CX![], notice: &Notice) {
        if notice.vm == self.me.daemon {
            self.receive_own_notice(notice);
            return;
        }
        let (vm, incarnation) = (notice.vm.clone(), notice.incarnation);
        let left = Duration::from_millis(notice.left_ms);
        call!(
            [self.subscribers.dispatch],
            reclaim_noticed(recovery::Notice { vm, incarnation, time_left: left })
        );
        if self.view.merge_notice(&notice.vm, notice.incarnation) == Change::Changed {
            self.publish_change(cx, &notice.vm);
        }
    }
}

/// Converts the platform's record of a VM to the membership record.
fn to_member(vm: &store::vm::Vm) -> Vm {
    Vm {
        id: vm.id.clone(),
        incarnation: vm.incarnation,
        role: match vm.role {
            store::vm::Role::Daemon => Role::Daemon,
            store::vm::Role::Endpoint => Role::Endpoint,
        },
        service: vm.service.clone(),
        zone: vm.zone.clone(),
        address: vm.address.clone(),
        price_per_hour: vm.price_per_hour,
        state: match vm.state {
            store::vm::State::Live => State::Live,
            store::vm::State::Leaving => State::Leaving,
            store::vm::State::Gone => State::Gone,
        },
    }
}

/// Creates the write of this daemon's row.
fn daemon_put(me: &Identity) -> Put {
    let vm = store::vm::Vm {
        id: me.daemon.clone(),
        incarnation: me.incarnation,
        role: store::vm::Role::Daemon,
        service: String::new(),
        zone: me.zone.clone(),
        class: String::new(),
        address: me.peer_address.clone(),
        price_per_hour: 0.0,
        reclaimable: true,
        state: store::vm::State::Live,
    };
    let value = serde_json::to_string(&vm).unwrap_or_default();
    Put { key: format!("{DAEMON_PREFIX}{}", me.daemon), value }
}

/// Parses the row of a daemon. Returns `None` if it is malformed.
fn parse_daemon(value: &str) -> Option<Vm> {
    serde_json::from_str(value).ok().map(|vm| to_member(&vm))
}
