//! Requests, and messages of prompts, that crash endpoints. Crashes are counted and sent to
//! the peers; requests over a limit are rejected.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::call::Call;
use ::job::reply::Reply;
use balance::endpoint::Instance;
use balance::subject::Subject;
use balance::subject::fingerprint;
use balance::suspect;
use balance::suspect::CRASH_POINTS;
use balance::suspect::Evidence;
use balance::suspect::Limit;
use balance::suspect::Verdict;
use balance::suspects::Report;
use ledger::record::Step;
use membership::update::State;
use membership::update::Vm;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Frame;
use serde_json::value::RawValue;
use stakker::CX;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;

/// Limit of crashes of a request: an endpoint is known to have crashed when it no longer
/// listens.
pub(super) const REQUEST_LIMIT: Limit = Limit {
    points: 2 * CRASH_POINTS,
    rejection_time: Duration::from_secs(900),
    growth: 2,
    min_interval: Duration::ZERO,
};
/// Maximum number of subjects sent to a daemon that has joined.
const MAX_REPORTS: usize = 64;

/// The latest crash of an endpoint as observed by this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Number of crashes before it.
    number: u64,
    at: Instant,
}

impl Dispatch {
    /// Ends a job that has crashed too many endpoints, or that has a message in common with
    /// jobs that did. Returns whether it was rejected.
    pub(super) fn reject_suspect(&mut self, cx: CX![], id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let subjects = subjects(&job.call);
        let Some(rejected) = subjects.iter().find(|it| !self.may_send(**it, &subjects, cx.now()))
        else {
            return false;
        };
        spdlog::warn!("refused", kv: {
            job = id.0,
            reason = "crashes_endpoints",
            subject = rejected.to_string(),
            crashes = self.suspects.count(*rejected),
        });
        if job.attempts == 0 {
            self.record(id, Step::NotRun);
        }
        self.end(cx, id, Reply::Problem(problems::crashes_endpoints()));
        true
    }

    /// Records that a job is sent, which may try subjects again that were rejected.
    pub(super) fn record_trial(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let subjects = subjects(&job.call);
        for subject in subjects.iter().copied() {
            if self.suspects.record_trial(subject, &subjects, cx.now()) {
                spdlog::info!("rejected subject tried again",
                    kv: { job = id.0, subject = subject.to_string() });
                self.publish(cx, subject);
            }
        }
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
        let accused = self.suspects.accused(&subjects(&job.call));
        let (endpoint, started_at) = (running.endpoint.clone(), running.started_at);
        let instance = self.crashed_instance(&endpoint, started_at, cx.now());
        self.suspects.remove_expired(cx.now());
        for subject in accused {
            if !self.suspects.record(subject, instance, evidence, cx.now()) {
                continue;
            }
            spdlog::warn!("endpoint died", kv: {
                job = id.0,
                endpoint = endpoint.as_str(),
                subject = subject.to_string(),
                evidence:? = evidence,
                crashes = self.suspects.count(subject),
            });
            self.publish(cx, subject);
        }
    }

    /// Records that an endpoint completed a job, so that neither it nor its messages crash
    /// endpoints.
    pub(super) fn record_service(&mut self, cx: CX![], id: JobId) {
        let Some(Job { call, .. }) = self.jobs.get(&id) else { return };
        for subject in subjects(call) {
            if !self.suspects.record_service(subject, cx.now()) {
                continue;
            }
            spdlog::info!("suspected subject served",
                kv: { job = id.0, subject = subject.to_string() });
            self.publish(cx, subject);
        }
    }

    /// Merges what a peer knows about subjects that may crash endpoints. Tells the peers if
    /// an endpoint has served them since.
    pub(super) fn merge_suspects(&mut self, cx: CX![], stream: StreamId, reports: &[Report]) {
        for report in reports {
            let subject = report.subject;
            let before = self.suspects.count(subject);
            self.suspects.merge_remote(report, cx.now());
            let crashes = self.suspects.count(subject);
            if crashes > before {
                spdlog::info!("crashes heard",
                    kv: { subject = subject.to_string(), crashes = crashes });
            }
            if crashes < report.interruptions.iter().filter(|it| it.evidence.counts()).count() {
                self.publish(cx, subject);
            }
        }
        self.transport.command(Command::Finish { stream });
    }

    /// Sends the most suspected subjects to a daemon that has joined or is live again.
    pub(super) fn report_suspects(&mut self, cx: CX![], daemon: &Vm) {
        let suspected = self.suspects.most_suspected(MAX_REPORTS);
        let reports: Vec<Report> =
            suspected.iter().filter_map(|it| self.suspects.report(*it, cx.now())).collect();
        if !reports.is_empty() {
            self.send_suspects(std::slice::from_ref(daemon), &reports);
        }
    }

    /// Whether a job with these subjects may be sent, as far as one of them is concerned. Once
    /// a rejection has ended, one daemon after the other may try the subject again.
    fn may_send(&self, subject: Subject, subjects: &[Subject], now: Instant) -> bool {
        match self.suspects.verdict(subject, subjects, now) {
            Verdict::Admitted => true,
            Verdict::Rejected { .. } => false,
            Verdict::Expired { since } => {
                let own = subject.rank(&self.me.daemon);
                let live = self.daemons.values().filter(|it| it.state == State::Live);
                let preceding = live.filter(|it| subject.rank(&it.id) < own).count();
                now >= since + suspect::trial_delay(preceding)
            }
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

    /// Sends what is known about a subject to all peers.
    fn publish(&mut self, cx: CX![], subject: Subject) {
        let peers: Vec<Vm> = self
            .daemons
            .values()
            .filter(|it| it.state == State::Live && it.id != self.me.daemon)
            .cloned()
            .collect();
        if let Some(report) = self.suspects.report(subject, cx.now()) {
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

/// Returns what may be the cause of a crash: the call, and its messages but the last.
fn subjects(call: &Call) -> Vec<Subject> {
    let service = call.service.as_bytes();
    match &call.body {
        Body::Chat(chat) => {
            let max_tokens = chat.max_tokens.to_be_bytes();
            let content = [service, chat.messages.as_bytes(), &max_tokens];
            // The gateway has parsed the messages, so they are a JSON array.
            let messages: Vec<&RawValue> = serde_json::from_str(&chat.messages).unwrap_or_default();
            let part = |it: &&RawValue| fingerprint(&[service, it.get().as_bytes()]) as u64;
            Subject::of_request(fingerprint(&content), messages.iter().map(part))
        }
        Body::Plain(plain) => {
            let (method, target) = (plain.method.as_bytes(), plain.target.as_bytes());
            let content = [service, method, target, &plain.body];
            Subject::of_request(fingerprint(&content), std::iter::empty())
        }
    }
}
