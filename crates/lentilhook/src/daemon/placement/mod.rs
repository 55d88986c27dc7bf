//! Actor that places the VMs of services, as long as it holds the lease.
//!
//! Each round reads everything anew and orders the difference, so that a lost
//! answer, a late order of an earlier holder or an engine that ignores fencing
//! numbers is put right in a later round.

mod round;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use ::placement::lease;
use ::placement::lease::Observation;
use ::placement::lease::Row;
use ::placement::plan::Planner;
use config::catalog::Catalog;
use membership::update::Vm;
use stakker::Actor;
use stakker::CX;
use stakker::Ret;
use stakker::after;
use stakker::call;
use stakker::fwd_to;
use stakker::ret;
use stakker::ret_some_to;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;
use store::table::Commit;
use store::vm::Offer;
use store::vm::Start;

use crate::daemon::fleet::Fleet;
use crate::daemon::identity::Identity;
use crate::daemon::worker::Worker;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(5);
/// Name under which the daemon that should hold the lease is found.
const RING_NAME: &str = "placement";

/// Placement of the VMs of all services.
pub struct Placement {
    me: Identity,
    catalog: Rc<Catalog>,
    worker: Worker,
    fleet: Actor<Fleet>,
    started: Instant,
    seen: Option<Observation>,
    fence: Option<u64>,
    last_fence: Option<u64>,
    planners: BTreeMap<String, Planner>,
    ordered: BTreeSet<Ordered>,
    orders: u64,
    releasing: Option<Ret<()>>,
    answers: Channel<Answer>,
    _guard: ChannelGuard,
}

/// An incarnation of a VM that was ordered to load its model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ordered {
    vm: String,
    incarnation: u64,
}

/// An answer of the platform or of endpoints.
enum Answer {
    /// The lease's row was read and, if it was to be written, written.
    Leased {
        /// Version read.
        version: u64,
        /// Row written and the answer to it.
        written: Option<(Row, Result<Commit, store::Error>)>,
    },
    /// The lease's row could not be read.
    LeaseUnread,
    /// What the platform offers and the endpoints' loads.
    Gathered(round::Gathered),
    /// A start was answered.
    Started {
        /// Service.
        service: String,
        /// Offer asked for.
        offer: Offer,
        /// Whether a VM was started.
        done: bool,
    },
    /// An engine was ordered to load its model.
    Loaded {
        /// VM.
        vm: Ordered,
        /// Whether it took the order.
        done: bool,
    },
}

impl Placement {
    /// Starts without the lease.
    pub fn init(cx: CX![], me: Identity, worker: Worker, fleet: Actor<Fleet>) -> Option<Placement> {
        let forward = fwd_to!([cx], answered() as (Answer));
        let (answers, guard) = Channel::new(cx, forward);
        after!(ROUND, [cx], round());
        Some(Placement {
            me,
            catalog: Rc::default(),
            worker,
            fleet,
            started: cx.now(),
            seen: None,
            fence: None,
            last_fence: None,
            planners: BTreeMap::new(),
            ordered: BTreeSet::new(),
            orders: 0,
            releasing: None,
            answers,
            _guard: guard,
        })
    }

    /// A new configuration is in force.
    pub fn configured(&mut self, _cx: CX![], catalog: Rc<Catalog>) {
        self.catalog = catalog;
    }

    /// Gives the lease up and answers then.
    pub fn release(&mut self, cx: CX![], ret: Ret<()>) {
        self.releasing = Some(ret);
        if self.fence.is_none() {
            self.answer_release();
            return;
        }
        self.lease(cx, false);
    }

    fn round(&mut self, cx: CX![]) {
        after!(ROUND, [cx], round());
        if self.releasing.is_some() || !self.is_wanted() {
            return;
        }
        let vms = ret_some_to!([cx], vms_read() as (Vec<Vm>));
        call!([self.fleet], read(vms));
    }

    /// Whether any service is to be placed.
    fn is_wanted(&self) -> bool {
        self.catalog.services.values().any(|it| it.object.max_vms > 0)
    }

    fn vms_read(&mut self, cx: CX![], vms: Vec<Vm>) {
        let candidate = round::candidate(&vms) == Some(self.me.daemon.as_str());
        self.lease(cx, candidate);
        if self.fence.is_some() {
            self.gather(vms);
        }
    }

    /// Reads the lease's row and writes it when that is due.
    fn lease(&mut self, cx: CX![], candidate: bool) {
        let answers = self.answers.clone();
        let (now, seen) = (self.now(cx), self.seen);
        let me = format!("{}/{}", self.me.daemon, self.me.incarnation);
        let releasing = self.releasing.is_some();
        self.worker.queue(move |client| {
            let leased = round::lease(client, now, seen, &me, candidate, releasing);
            answers.send(leased.unwrap_or(Answer::LeaseUnread));
        });
    }

    fn answered(&mut self, cx: CX![], answer: Answer) {
        match answer {
            Answer::Leased { version, written } => self.leased(cx, version, written),
            Answer::LeaseUnread => self.hold(None),
            Answer::Gathered(gathered) => self.place(cx, &gathered),
            Answer::Started { service, offer, done } => {
                let now = self.now(cx);
                let planner = self.planners.entry(service).or_default();
                if done {
                    planner.record_start(&offer)
                } else {
                    planner.record_refusal(now, &offer)
                }
            }
            Answer::Loaded { vm, done } => {
                if !done {
                    self.ordered.remove(&vm);
                }
            }
        }
    }

    fn leased(
        &mut self,
        cx: CX![],
        version: u64,
        written: Option<(Row, Result<Commit, store::Error>)>,
    ) {
        let now = self.now(cx);
        self.seen = Some(lease::observe(now, self.seen, version));
        let fence = match written {
            Some((row, Ok(Commit::Done { .. }))) if !row.holder.is_empty() => Some(row.fence),
            // Without an answer the next round reads the row again.
            _ => None,
        };
        self.hold(fence);
    }

    /// The lease is held under this fencing number, or not known to be held.
    fn hold(&mut self, fence: Option<u64>) {
        if fence != self.fence {
            spdlog::info!("placement lease", kv: {
                held = fence.is_some(),
                fence = fence.unwrap_or(0),
            });
        }
        self.fence = fence;
        if fence.is_some() && fence != self.last_fence {
            self.last_fence = fence;
            self.planners.clear();
            self.ordered.clear();
        }
        if self.releasing.is_some() {
            self.answer_release();
        }
    }

    fn answer_release(&mut self) {
        if let Some(ret) = self.releasing.take() {
            ret!([ret]);
        }
    }

    fn start(&mut self, service: &str, offer: Offer) {
        let Some(fence) = self.fence else { return };
        self.orders += 1;
        let order = Start {
            token: format!("{}-{fence}-{}", self.me.daemon, self.orders),
            service: service.to_owned(),
            zone: offer.zone.clone(),
            class: offer.class.clone(),
            reclaimable: offer.reclaimable,
        };
        let answers = self.answers.clone();
        let service = service.to_owned();
        self.worker.queue(move |client| {
            let done = round::start(client, &order);
            answers.send(Answer::Started { service, offer, done });
        });
    }

    fn now(&self, cx: CX![]) -> Duration {
        cx.now().saturating_duration_since(self.started)
    }
}
