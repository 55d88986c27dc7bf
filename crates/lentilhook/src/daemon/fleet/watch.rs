//! What the platform is asked about VMs, and what its answers say.

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
use crate::daemon::fleet::Answer;
use crate::daemon::fleet::Fleet;
use crate::daemon::identity::Identity;

/// Prefix of the rows by which daemons find each other.
const DAEMON_PREFIX: &str = "daemon/";
/// Most daemons read at the start.
const DAEMON_ROWS: usize = 1000;
/// Rounds between two reads of the daemons' rows.
const ROUNDS_PER_SCAN: u64 = 120;
/// Rounds after the start in which the rows are read more often.
const FIRST_ROUNDS: u64 = 5;

impl Fleet {
    pub(super) fn ask_platform(&mut self) {
        if self.poll.is_due(self.is_chosen()) {
            self.ask_cloud();
        }
        let early = self.rounds < FIRST_ROUNDS;
        if !self.registered || early || self.rounds.is_multiple_of(ROUNDS_PER_SCAN) {
            self.register();
        }
    }

    /// One daemon of each zone reads the list in every round.
    fn is_chosen(&self) -> bool {
        let mine = self.view.live(Role::Daemon).filter(|vm| vm.zone == self.me.zone);
        let name = format!("vm-list/{}", self.me.zone);
        ring::owner(&name, mine.map(|vm| vm.id.as_str())) == Some(&self.me.daemon)
    }

    fn ask_cloud(&self) {
        let answers = self.answers.clone();
        let (revision, notice) = (self.list_revision, self.notice);
        self.worker.queue(move |client| {
            if let Ok(page) = client.list(revision) {
                answers.send(Answer::Listed(page));
            }
            if let Ok(notices) = client.notices(notice) {
                answers.send(Answer::Noticed(notices));
            }
        });
    }

    /// A peer knows that an endpoint leaves; the platform says when.
    pub(super) fn ask_notices(&mut self, _cx: CX![]) {
        self.asks_notices = false;
        let answers = self.answers.clone();
        let notice = self.notice;
        self.worker.queue(move |client| {
            if let Ok(notices) = client.notices(notice) {
                answers.send(Answer::Noticed(notices));
            }
        });
    }

    fn register(&self) {
        let answers = self.answers.clone();
        let registered = self.registered;
        let put = daemon_put(&self.me);
        self.worker.queue(move |client| {
            if !registered {
                let transaction = Transaction { puts: vec![put], ..Transaction::default() };
                answers.send(Answer::Registered(client.commit(&transaction).is_ok()));
            }
            if let Ok(rows) = client.scan(DAEMON_PREFIX, "", DAEMON_ROWS) {
                let parsed = rows.iter().filter_map(|row| parse_daemon(&row.value));
                answers.send(Answer::Daemons(parsed.collect()));
            }
        });
    }

    pub(super) fn answered(&mut self, cx: CX![], answer: Answer) {
        match answer {
            Answer::Registered(done) => self.registered = done,
            Answer::Daemons(daemons) => daemons.iter().for_each(|vm| self.load(cx, vm)),
            Answer::Listed(page) => {
                let is_first = !self.poll.has_read();
                self.list_revision = self.list_revision.max(page.revision);
                self.poll.record_read();
                for vm in &page.vms {
                    let vm = from_list(vm);
                    if is_first { self.load(cx, &vm) } else { self.learn(cx, &vm) }
                }
            }
            Answer::Noticed(notices) => {
                for notice in notices {
                    self.notice = self.notice.max(notice.sequence);
                    self.take_notice(cx, &notice);
                }
            }
        }
    }

    fn take_notice(&mut self, cx: CX![], notice: &Notice) {
        if notice.vm == self.me.daemon {
            self.take_own_notice(notice);
            return;
        }
        let (vm, incarnation) = (notice.vm.clone(), notice.incarnation);
        let left = Duration::from_millis(notice.left_ms);
        call!(
            [self.links.dispatch],
            reclaim_noticed(recovery::Notice { vm, incarnation, time_left: left })
        );
        if self.view.merge_notice(&notice.vm, notice.incarnation) == Change::Changed {
            self.changed(cx, &notice.vm);
        }
    }
}

fn from_list(vm: &store::vm::Vm) -> Vm {
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

fn parse_daemon(value: &str) -> Option<Vm> {
    serde_json::from_str(value).ok().map(|vm| from_list(&vm))
}
