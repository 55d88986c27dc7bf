//! Lookups of a job's result by its key.
//!
//! The daemon that owns the key knows the job. The owner depends on whether the call
//! was recorded in the ledger, so up to two daemons are queried, one after the other.

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
use crate::daemon::dispatch::job::Sink;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::job::Waiter;

/// HTTP status of a job that has not ended.
const ACCEPTED: u16 = 202;
/// HTTP status of an unknown key.
const NOT_FOUND: u16 = 404;

/// A lookup that is in progress at other daemons.
pub struct Lookup {
    sink: Sink,
    identity: String,
    /// Addresses of the daemons not queried yet.
    remaining: Vec<SocketAddr>,
}

impl Dispatch {
    /// Handles a caller's lookup of a job.
    pub(super) fn look_up(&mut self, arrival: Arrival) {
        let identity = check::job_identity(&self.catalog, &arrival);
        let sink = Sink::Gateway { id: arrival.id, replies: arrival.replies };
        match identity {
            Ok(identity) if self.by_identity.contains_key(&identity) => {
                self.report_job(&identity, sink);
            }
            Ok(identity) => {
                let remaining = self.job_owners(&identity);
                self.query_next(Lookup { sink, identity, remaining });
            }
            Err(problem) => sink.send(&self.transport, Reply::Problem(problem)),
        }
    }

    /// Sends the state or the result of a job of this daemon.
    pub(super) fn report_job(&mut self, identity: &str, sink: Sink) {
        let id = self.by_identity.get(identity);
        let Some(job) = id.and_then(|it| self.jobs.get(it)) else {
            sink.send(&self.transport, Reply::Problem(unknown_job()));
            return;
        };
        let Stage::Ended(reply) = &job.stage else {
            let state = json!({ "state": "running", "tokens": job.progress.len() });
            let body = state.to_string().into_bytes();
            let media_type = "application/json".to_owned();
            let response = Response { status: ACCEPTED, media_type, body };
            sink.send(&self.transport, Reply::Response(response));
            return;
        };
        let mut waiter = Waiter { sink, next_index: 0 };
        waiter.catch_up(&self.transport, &job.progress);
        waiter.sink.send(&self.transport, reply.clone());
    }

    /// Handles a reply to a lookup. Returns whether the stream belongs to a lookup.
    pub(super) fn lookup_reply(&mut self, stream: StreamId, reply: &Reply) -> bool {
        let Some(lookup) = self.lookups.get(&stream) else { return false };
        let unknown = matches!(reply, Reply::Problem(problem) if problem.status == NOT_FOUND);
        if unknown {
            self.lookup_failed(stream);
            return true;
        }
        lookup.sink.send(&self.transport, reply.clone());
        if reply.is_last() {
            self.lookups.remove(&stream);
            self.transport.command(Command::Finish { stream });
        }
        true
    }

    /// Handles a daemon that does not know the job or was lost: queries the next one.
    pub(super) fn lookup_failed(&mut self, stream: StreamId) {
        let Some(lookup) = self.lookups.remove(&stream) else { return };
        self.transport.command(Command::Finish { stream });
        self.query_next(lookup);
    }

    fn query_next(&mut self, mut lookup: Lookup) {
        let Some(peer) = lookup.remaining.pop() else {
            lookup.sink.send(&self.transport, Reply::Problem(unknown_job()));
            return;
        };
        let stream = StreamId(self.next_number());
        let frame = Frame::Lookup(lookup.identity.clone());
        self.transport.command(Command::Open { stream, peer, frame });
        self.lookups.insert(stream, lookup);
    }

    /// Returns the addresses of the other daemons that may own the key.
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
