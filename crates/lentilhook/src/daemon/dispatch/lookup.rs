//! Callers who ask what became of a job by its key.
//!
//! The daemon that serves the key knows; which one that is depends on whether
//! the call was recorded, so that up to two are asked, one after the other.

use std::net::SocketAddr;

use ::job::problem::Problem;
use ::job::reply::Reply;
use ::job::reply::Response;
use gateway::arrival::Arrival;
use ledger::record::Identity;
use membership::update::State;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Frame;
use serde_json::json;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::check;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::job::Waiter;
use crate::daemon::dispatch::job::Way;

/// HTTP status of a job that has not ended.
const ACCEPTED: u16 = 202;
/// HTTP status of a key that nobody knows.
const NOT_FOUND: u16 = 404;

/// A question that other daemons are asked.
pub struct Lookup {
    way: Way,
    identity: String,
    /// Daemons still to ask.
    left: Vec<SocketAddr>,
}

impl Dispatch {
    /// A caller asks for a job.
    pub(super) fn look_up(&mut self, arrival: Arrival) {
        let identity = check::job_identity(&self.catalog, &arrival);
        let way = Way::Gateway { id: arrival.id, replies: arrival.replies };
        match identity {
            Ok(identity) if self.by_identity.contains_key(&identity) => {
                self.tell_job(&identity, way);
            }
            Ok(identity) => {
                let left = self.job_owners(&identity);
                self.ask_next(Lookup { way, identity, left });
            }
            Err(problem) => way.send(&self.transport, Reply::Problem(problem)),
        }
    }

    /// Tells what became of a job of this daemon.
    pub(super) fn tell_job(&mut self, identity: &str, way: Way) {
        let id = self.by_identity.get(identity);
        let Some(job) = id.and_then(|it| self.jobs.get(it)) else {
            way.send(&self.transport, Reply::Problem(unknown_job()));
            return;
        };
        let Stage::Ended(reply) = &job.stage else {
            let state = json!({ "state": "running", "tokens": job.progress.len() });
            let body = state.to_string().into_bytes();
            let media_type = "application/json".to_owned();
            let whole = Response { status: ACCEPTED, media_type, body };
            way.send(&self.transport, Reply::Response(whole));
            return;
        };
        let mut waiter = Waiter { way, next_index: 0 };
        waiter.catch_up(&self.transport, &job.progress);
        waiter.way.send(&self.transport, reply.clone());
    }

    /// A piece of an answer to a question; says whether the stream was one.
    pub(super) fn looked_up(&mut self, stream: StreamId, reply: &Reply) -> bool {
        let Some(lookup) = self.lookups.get(&stream) else { return false };
        let unknown = matches!(reply, Reply::Problem(problem) if problem.status == NOT_FOUND);
        if unknown {
            self.lookup_ended(stream);
            return true;
        }
        lookup.way.send(&self.transport, reply.clone());
        if reply.is_last() {
            self.lookups.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
        true
    }

    /// A daemon that was asked knows nothing or is gone.
    pub(super) fn lookup_ended(&mut self, stream: StreamId) {
        let Some(lookup) = self.lookups.remove(&stream) else { return };
        self.transport.command(Command::Finish { stream });
        self.ask_next(lookup);
    }

    fn ask_next(&mut self, mut lookup: Lookup) {
        let Some(peer) = lookup.left.pop() else {
            lookup.way.send(&self.transport, Reply::Problem(unknown_job()));
            return;
        };
        let stream = StreamId(self.take_number());
        let frame = Frame::Lookup(lookup.identity.clone());
        self.transport.command(Command::Open { stream, peer, frame });
        self.lookups.insert(stream, lookup);
    }

    /// Other daemons that may serve the key.
    fn job_owners(&self, identity: &str) -> Vec<SocketAddr> {
        let shard = format!("shard/{}", Identity::from_name(identity).shard().0);
        let live = || self.daemons.values().filter(|vm| vm.state == State::Live);
        let owners = [shard.as_str(), identity].map(|name| {
            policy::ring::owner(name, live().map(|vm| vm.id.as_str())).map(str::to_owned)
        });
        let others = owners.into_iter().flatten().filter(|id| *id != self.me.daemon);
        let mut addresses: Vec<SocketAddr> =
            others.filter_map(|id| self.daemons.get(&id)?.address.parse().ok()).collect();
        addresses.dedup();
        addresses
    }
}

fn unknown_job() -> Problem {
    let detail = "no job with this key is kept here; send the request again under the same key";
    Problem::not_run(NOT_FOUND, "no such job", detail)
}
