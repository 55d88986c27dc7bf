//! Actor that starts and stops the VMs of services while it holds the placement
//! lease.
//!
//! Each round reads the whole state again and orders only the differences. A lost
//! response, a late order of a previous lease holder or an engine that ignores
//! fencing tokens is therefore corrected by a later round.

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

/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(5);
/// Key in the hash ring whose owner should hold the placement lease.
const RING_NAME: &str = "placement";

/// Placement of the VMs of all services.
pub struct Placement {
    me: Identity,
    catalog: Rc<Catalog>,
    worker: Worker,
    fleet: Actor<Fleet>,
    started: Instant,
    observation: Option<Observation>,
    fence: Option<u64>,
    last_fence: Option<u64>,
    planners: BTreeMap<String, Planner>,
    load_orders: BTreeSet<Target>,
    start_count: u64,
    releasing: Option<Ret<()>>,
    responses: Channel<Response>,
    _guard: ChannelGuard,
}

/// Incarnation of a VM that has been ordered to load its model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    vm: String,
    incarnation: u64,
}

/// Result of calls to the platform or to endpoints.
enum Response {
    /// The lease row was read and, if required, written.
    LeaseRead {
        /// Version read.
        version: u64,
        /// Row to write and the result of its commit.
        written: Option<(Row, Result<Commit, store::Error>)>,
    },
    /// The lease row could not be read.
    LeaseReadFailed,
    /// The platform's offers and the endpoints' loads.
    Snapshot(round::Snapshot),
    /// A start order has completed.
    Started {
        /// Service.
        service: String,
        /// Offer that was requested.
        offer: Offer,
        /// Whether a VM was started.
        succeeded: bool,
    },
    /// An engine was ordered to load its model.
    ModelOrdered {
        /// VM that received the order.
        target: Target,
        /// Whether it accepted the order.
        accepted: bool,
    },
}

impl Placement {
    /// Creates the actor without the lease.
    pub fn init(cx: CX![], me: Identity, worker: Worker, fleet: Actor<Fleet>) -> Option<Placement> {
        let forward = fwd_to!([cx], handle_response() as (Response));
        let (responses, guard) = Channel::new(cx, forward);
        after!(ROUND_INTERVAL, [cx], round());
        Some(Placement {
            me,
            catalog: Rc::default(),
            worker,
            fleet,
            started: cx.now(),
            observation: None,
            fence: None,
            last_fence: None,
            planners: BTreeMap::new(),
            load_orders: BTreeSet::new(),
            start_count: 0,
            releasing: None,
            responses,
            _guard: guard,
        })
    }

    /// Applies a new configuration.
    pub fn configured(&mut self, _cx: CX![], catalog: Rc<Catalog>) {
        self.catalog = catalog;
    }

    /// Releases the lease and completes `ret` afterwards.
    pub fn release(&mut self, cx: CX![], ret: Ret<()>) {
        self.releasing = Some(ret);
        if self.fence.is_none() {
            self.complete_release();
            return;
        }
        self.update_lease(cx, false);
    }

    fn round(&mut self, cx: CX![]) {
        after!(ROUND_INTERVAL, [cx], round());
        if self.releasing.is_some() || !self.has_placed_services() {
            return;
        }
        let vms = ret_some_to!([cx], vms_read() as (Vec<Vm>));
        call!([self.fleet], read(vms));
    }

    /// Whether any service needs placement.
    fn has_placed_services(&self) -> bool {
        self.catalog.services.values().any(|it| it.object.max_vms > 0)
    }

    fn vms_read(&mut self, cx: CX![], vms: Vec<Vm>) {
        let is_candidate = round::candidate(&vms) == Some(self.me.daemon.as_str());
        self.update_lease(cx, is_candidate);
        if self.fence.is_some() {
            self.read_snapshot(vms);
        }
    }

    /// Reads the lease row and writes it if required.
    fn update_lease(&mut self, cx: CX![], is_candidate: bool) {
        let responses = self.responses.clone();
        let (now, observation) = (self.now(cx), self.observation);
        let me = format!("{}/{}", self.me.daemon, self.me.incarnation);
        let is_releasing = self.releasing.is_some();
        self.worker.queue(move |client| {
            let response = round::lease(client, now, observation, &me, is_candidate, is_releasing);
            responses.send(response.unwrap_or(Response::LeaseReadFailed));
        });
    }

    fn handle_response(&mut self, cx: CX![], response: Response) {
        match response {
            Response::LeaseRead { version, written } => self.lease_read(cx, version, written),
            Response::LeaseReadFailed => self.set_fence(None),
            Response::Snapshot(snapshot) => self.place(cx, &snapshot),
            Response::Started { service, offer, succeeded } => {
                let now = self.now(cx);
                let planner = self.planners.entry(service).or_default();
                if succeeded {
                    planner.record_start(&offer)
                } else {
                    planner.record_rejection(now, &offer)
                }
            }
            Response::ModelOrdered { target, accepted } => {
                if !accepted {
                    self.load_orders.remove(&target);
                }
            }
        }
    }

    fn lease_read(
        &mut self,
        cx: CX![],
        version: u64,
        written: Option<(Row, Result<Commit, store::Error>)>,
    ) {
        let now = self.now(cx);
        self.observation = Some(lease::observe(now, self.observation, version));
        let fence = match written {
            Some((row, Ok(Commit::Done { .. }))) if !row.holder.is_empty() => Some(row.fence),
            // If the commit's result is unknown, the next round reads the row again.
            _ => None,
        };
        self.set_fence(fence);
    }

    /// Records the fencing token under which this daemon holds the lease, or `None`
    /// if it isn't known to hold it. A new token discards the plans and load orders
    /// made under the previous one.
    fn set_fence(&mut self, fence: Option<u64>) {
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
            self.load_orders.clear();
        }
        if self.releasing.is_some() {
            self.complete_release();
        }
    }

    fn complete_release(&mut self) {
        if let Some(ret) = self.releasing.take() {
            ret!([ret]);
        }
    }

    fn start(&mut self, service: &str, offer: Offer) {
        let Some(fence) = self.fence else { return };
        self.start_count += 1;
        let order = Start {
            token: format!("{}-{fence}-{}", self.me.daemon, self.start_count),
            service: service.to_owned(),
            zone: offer.zone.clone(),
            class: offer.class.clone(),
            reclaimable: offer.reclaimable,
        };
        let responses = self.responses.clone();
        let service = service.to_owned();
        self.worker.queue(move |client| {
            let succeeded = round::start(client, &order);
            responses.send(Response::Started { service, offer, succeeded });
        });
    }

    fn now(&self, cx: CX![]) -> Duration {
        cx.now().saturating_duration_since(self.started)
    }
}
