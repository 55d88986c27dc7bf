//! Requests that crash endpoints. Crashes are counted by the request's fingerprint and
//! sent to the peers; requests over the limit are rejected.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::call::Call;
use ::job::reply::Reply;
use balance::endpoint::Instance;
use balance::suspects;
use balance::suspects::CRASH_POINTS;
use balance::suspects::Evidence;
use balance::suspects::Limit;
use balance::suspects::Report;
use ledger::record::Step;
use membership::update::State;
use membership::update::Vm;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Frame;
use stakker::CX;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;

/// Limit of two crashes: an endpoint is known to have crashed when it no longer listens.
pub(super) const LIMIT: Limit =
    Limit { points: 2 * CRASH_POINTS, rejection_time: Duration::from_secs(900) };
/// Maximum number of requests sent to a daemon that has joined.
const MAX_REPORTS: usize = 64;

/// The latest crash of an endpoint as observed by this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Number of crashes before it.
    number: u64,
    at: Instant,
}

impl Dispatch {
    /// Ends a job whose content has crashed too many endpoints. Returns whether it was
    /// rejected.
    pub(super) fn reject_suspect(&mut self, cx: CX![], id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let fingerprint = fingerprint(&job.call);
        if !self.suspects.is_rejected(fingerprint, cx.now()) {
            return false;
        }
        spdlog::warn!("refused", kv: {
            job = id.0,
            reason = "crashes_endpoints",
            fingerprint = hex(fingerprint),
            crashes = self.suspects.count(fingerprint),
        });
        if job.attempts == 0 {
            self.record(id, Step::NotRun);
        }
        self.end(cx, id, Reply::Problem(problems::crashes_endpoints()));
        true
    }

    /// Records a crash of the endpoint that ran a job, other than by a reclaim, and
    /// sends it to all peers.
    pub(super) fn record_crash(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Stage::Running(running) = &job.stage else { return };
        // A request that has produced tokens is running normally, so another one may be
        // the cause.
        let is_early = job.progress.is_empty();
        let evidence = if is_early { Evidence::Interrupted } else { Evidence::Progressed };
        let fingerprint = fingerprint(&job.call);
        let (endpoint, started_at) = (running.endpoint.clone(), running.started_at);
        let instance = self.crashed_instance(&endpoint, started_at, cx.now());
        self.suspects.remove_expired(cx.now());
        if !self.suspects.record(fingerprint, instance, evidence, cx.now()) {
            return;
        }
        spdlog::warn!("endpoint died", kv: {
            job = id.0,
            endpoint = endpoint.as_str(),
            fingerprint = hex(fingerprint),
            evidence:? = evidence,
            crashes = self.suspects.count(fingerprint),
        });
        self.publish(cx, fingerprint);
    }

    /// Records that an endpoint completed a job, so that it crashes none.
    pub(super) fn record_service(&mut self, cx: CX![], id: JobId) {
        let Some(Job { call, .. }) = self.jobs.get(&id) else { return };
        let fingerprint = fingerprint(call);
        if !self.suspects.record_service(fingerprint) {
            return;
        }
        spdlog::info!("suspected request served",
            kv: { job = id.0, fingerprint = hex(fingerprint) });
        self.publish(cx, fingerprint);
    }

    /// Merges what a peer knows about requests that may crash endpoints.
    pub(super) fn merge_suspects(&mut self, cx: CX![], stream: StreamId, reports: &[Report]) {
        for report in reports {
            let before = self.suspects.count(report.fingerprint);
            self.suspects.merge_remote(report, cx.now());
            let crashes = self.suspects.count(report.fingerprint);
            if crashes > before {
                spdlog::info!("crashes heard",
                    kv: { fingerprint = hex(report.fingerprint), crashes = crashes });
            }
        }
        self.transport.command(Command::Finish { stream });
    }

    /// Sends the most suspected requests to a daemon that has joined or is live again.
    pub(super) fn report_suspects(&mut self, cx: CX![], daemon: &Vm) {
        let suspected = self.suspects.most_suspected(MAX_REPORTS);
        let reports: Vec<Report> =
            suspected.iter().filter_map(|it| self.suspects.report(*it, cx.now())).collect();
        if !reports.is_empty() {
            self.send_suspects(std::slice::from_ref(daemon), &reports);
        }
    }

    /// Returns the identity of the instance that an attempt ran on. An endpoint that
    /// restarts in place keeps its id, so an attempt that started after its latest crash
    /// ran on another instance.
    fn crashed_instance(&mut self, endpoint: &str, started_at: Instant, now: Instant) -> Instance {
        let crash = self
            .crashes
            .entry(endpoint.to_owned())
            .and_modify(|it| {
                if started_at >= it.at {
                    *it = Crash { number: it.number + 1, at: now };
                }
            })
            .or_insert(Crash { number: 0, at: now });
        let incarnation = self.endpoints.get(endpoint).map_or(0, |it| it.vm.incarnation);
        let me = &self.me;
        Instance::of(&format!(
            "{} {} {endpoint} {incarnation} {}",
            me.daemon, me.incarnation, crash.number
        ))
    }

    /// Sends what is known about a request to all peers.
    fn publish(&mut self, cx: CX![], fingerprint: u128) {
        let peers: Vec<Vm> = self
            .daemons
            .values()
            .filter(|it| it.state == State::Live && it.id != self.me.daemon)
            .cloned()
            .collect();
        if let Some(report) = self.suspects.report(fingerprint, cx.now()) {
            self.send_suspects(&peers, &[report]);
        }
    }

    fn send_suspects(&mut self, peers: &[Vm], reports: &[Report]) {
        let addresses = peers.iter().filter_map(|it| it.address.parse::<SocketAddr>().ok());
        for peer in addresses {
            let stream = StreamId(self.next_number());
            let frame = Frame::Suspects(reports.to_vec());
            self.transport.command(Command::Open { stream, peer, frame });
            self.transport.command(Command::Finish { stream });
        }
    }
}

fn fingerprint(call: &Call) -> u128 {
    let service = call.service.as_bytes();
    match &call.body {
        Body::Chat(chat) => {
            let max_tokens = chat.max_tokens.to_be_bytes();
            suspects::fingerprint(&[service, chat.messages.as_bytes(), &max_tokens])
        }
        Body::Plain(plain) => {
            let (method, target) = (plain.method.as_bytes(), plain.target.as_bytes());
            suspects::fingerprint(&[service, method, target, &plain.body])
        }
    }
}

/// Formats a fingerprint for logs.
fn hex(fingerprint: u128) -> String {
    format!("{fingerprint:032x}")
}
