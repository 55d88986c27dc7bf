//! Requests that crash endpoints. Crashes are counted by the request's fingerprint and
//! sent to the peers; requests over the limit are rejected.

use std::net::SocketAddr;

use ::job::call::Body;
use ::job::call::Call;
use ::job::reply::Reply;
use ledger::record::Step;
use membership::update::State;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Frame;
use peer::wire::Suspect;
use policy::suspects::Crash;
use policy::suspects::Fingerprint;
use stakker::CX;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::problems;

impl Dispatch {
    /// Ends a job whose content has crashed too many endpoints. Returns whether it was
    /// rejected.
    pub(super) fn reject_suspect(&mut self, cx: CX![], id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !self.suspects.is_rejected(cx.now(), fingerprint(&job.call)) {
            return false;
        }
        spdlog::warn!("refused", kv: { job = id.0, reason = "crashes_endpoints" });
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
        // A request that has produced tokens is running normally, so another one may be
        // the cause.
        let crash = if job.progress.is_empty() { Crash::Early } else { Crash::Late };
        let fingerprint = fingerprint(&job.call);
        let points = self.suspects.record_crash(cx.now(), &self.me.daemon, fingerprint, crash);
        spdlog::warn!("endpoint died", kv: {
            job = id.0,
            fingerprint = format!("{:032x}", fingerprint.0),
            points = points,
        });
        let daemon = self.me.daemon.clone();
        let frame = Frame::Suspect(Suspect { fingerprint: fingerprint.0, daemon, points });
        let others = self.daemons.values().filter(|it| it.state == State::Live);
        let peers: Vec<SocketAddr> = others
            .filter(|it| it.id != self.me.daemon)
            .filter_map(|it| it.address.parse().ok())
            .collect();
        for peer in peers {
            let stream = StreamId(self.next_number());
            self.transport.command(Command::Open { stream, peer, frame: frame.clone() });
            self.transport.command(Command::Finish { stream });
        }
    }

    /// Merges the crash points counted by a peer.
    pub(super) fn merge_suspect(&mut self, cx: CX![], stream: StreamId, suspect: &Suspect) {
        let fingerprint = Fingerprint(suspect.fingerprint);
        self.suspects.merge_remote(cx.now(), &suspect.daemon, fingerprint, suspect.points);
        self.transport.command(Command::Finish { stream });
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    match &call.body {
        Body::Chat(chat) => {
            let max_tokens = chat.max_tokens.to_be_bytes();
            Fingerprint::of(&call.service, &[chat.messages.as_bytes(), &max_tokens])
        }
        Body::Plain(plain) => {
            let content = [plain.method.as_bytes(), plain.target.as_bytes(), &plain.body];
            Fingerprint::of(&call.service, &content)
        }
    }
}
