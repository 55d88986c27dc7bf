//! Services whose endpoints fall over if they have to reject many requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use balance::member::Member;
use balance::pool::Pool;
use membership::digest::Peer;
use quota::room;
use quota::room::Notice;
use quota::room::Rooms;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use super::Broker;
use super::endpoint_limits::rank;
use super::reach::MAX_HOPS;
use crate::metrics;

impl Broker {
    /// Handles that the response to a request says how many rejections its endpoint survives.
    pub(super) fn handle_brittle_statement(&mut self, ticket: u64, survived: u32, now: Instant) {
        let Some(pending) = self.requests.get(&ticket) else { return };
        let service = pending.service.clone();
        if self.rooms.state(&service, survived, now) {
            self.has_urgent_changes = true;
            self.handle_brittle_change(&service, survived, "endpoint", now);
        }
    }

    /// Merges the brittle services that another daemon knows.
    pub(super) fn merge_brittle(&mut self, notices: &[Notice], now: Instant) {
        for notice in notices {
            if self.rooms.merge_remote(notice, now) {
                self.handle_brittle_change(&notice.service, notice.survived, "peer", now);
            }
        }
    }

    /// Records that an endpoint has rejected a request.
    pub(super) fn record_rejection(&mut self, id: &str, now: Instant) {
        let Some(member) = self.pool.member(id) else { return };
        let own = member.own_load.open_requests;
        let Some(pause) = self.rooms.record_rejection(endpoint(member), own, now) else { return };
        metrics::count("endpoint", "brittle_rejected");
        spdlog::info!("brittle endpoint rejected a request", kv: {
            endpoint = id,
            open = own,
            reported = self.pool.load(id).open_requests,
            pause_ms = pause.as_millis() as u64,
        });
    }

    /// Returns how long the endpoints of a service have no room for a request of this daemon,
    /// for all that is known; `None` if the service isn't brittle.
    pub(super) fn room_wait(&self, service: &str, now: Instant) -> Option<Duration> {
        self.rooms.survived(service, now)?;
        let waits =
            of_service(&self.pool, service).filter_map(|it| self.rooms.wait(&it.endpoint.id, now));
        Some(waits.min().unwrap_or_default())
    }

    /// Returns callers' addresses of daemons that may send to endpoints of a brittle service
    /// which have room, if this daemon may send to none of them.
    pub(super) fn daemons_with_room(&mut self, service: &str, now: Instant) -> Vec<SocketAddr> {
        let (pool, rooms) = (&self.pool, &self.rooms);
        if rooms.survived(service, now).is_none() {
            return Vec::new();
        }
        let usable: Vec<&Member> =
            of_service(pool, service).filter(|it| it.is_usable(now)).collect();
        if usable.iter().any(|it| is_open(pool, rooms, it, now)) {
            return Vec::new();
        }
        let has_room = |it: &Member| pool.load(&it.endpoint.id).open_requests < it.endpoint.slots;
        let with_room: Vec<&Member> = usable.into_iter().filter(|it| has_room(it)).collect();
        let is_running = |it: &Peer| it.digest.as_ref().is_some_and(|it| !it.stopping);
        let addresses: BTreeMap<&str, SocketAddr> = self
            .peers
            .live(now)
            .filter(|(_, it)| is_running(it))
            .map(|(id, it)| (id.as_str(), it.address))
            .collect();
        let ids: Vec<&str> = addresses.keys().copied().collect();
        let port = self.context.settings.callers.port();
        let mut daemons: Vec<SocketAddr> = with_room
            .sample(&mut self.rng, MAX_HOPS)
            .flat_map(|it| rooms.senders(&ids, endpoint(it), rank, now))
            .filter_map(|sender| addresses.get(sender))
            .map(|address| SocketAddr::new(address.ip(), port))
            .collect();
        daemons.shuffle(&mut self.rng);
        daemons.truncate(MAX_HOPS);
        daemons
    }

    fn handle_brittle_change(
        &mut self,
        service: &str,
        survived: u32,
        source: &'static str,
        now: Instant,
    ) {
        self.choose_senders(now);
        metrics::count("endpoint", "brittle");
        spdlog::info!("endpoints survive few rejections", kv: {
            service = service,
            survived = survived,
            source = source,
            heard = self.peers.live(now).count(),
        });
    }
}

/// Returns what decides on the room at an endpoint.
pub(super) fn endpoint(member: &Member) -> room::Endpoint<'_> {
    let it = &member.endpoint;
    room::Endpoint { id: &it.id, service: &it.service, slots: it.slots }
}

/// Returns the endpoints of a brittle service that have no room for a request of this daemon.
pub(super) fn closed<'a>(
    pool: &'a Pool,
    rooms: &Rooms,
    service: &str,
    now: Instant,
) -> Vec<&'a str> {
    if rooms.survived(service, now).is_none() {
        return Vec::new();
    }
    let closed = of_service(pool, service).filter(|it| !is_open(pool, rooms, it, now));
    closed.map(|it| it.endpoint.id.as_str()).collect()
}

fn of_service<'a>(pool: &'a Pool, service: &str) -> impl Iterator<Item = &'a Member> {
    pool.members().filter(move |it| it.endpoint.service == service)
}

fn is_open(pool: &Pool, rooms: &Rooms, member: &Member, now: Instant) -> bool {
    let total = pool.load(&member.endpoint.id).open_requests;
    rooms.is_open(endpoint(member), member.own_load.open_requests, total, now)
}
