//! Requests that crash endpoints: counted here, told to peers, refused.

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
    /// Ends a job whose content has crashed too many endpoints.
    pub(super) fn refuse_suspect(&mut self, cx: CX![], id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !self.suspects.is_blocked(cx.now(), fingerprint(&job.call)) {
            return false;
        }
        spdlog::warn!("refused", kv: { job = id.0, reason = "crashes_endpoints" });
        if job.tries == 0 {
            self.record(id, Step::NotRun);
        }
        self.end(cx, id, Reply::Problem(problems::crashes_endpoints()));
        true
    }

    /// The endpoint of a job's attempt died without a reclaim.
    pub(super) fn count_death(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        // A request that has had tokens runs; another one may be the cause.
        let death = if job.progress.is_empty() { Crash::Early } else { Crash::Late };
        let print = fingerprint(&job.call);
        let points = self.suspects.record_crash(cx.now(), &self.me.daemon, print, death);
        spdlog::warn!("endpoint died", kv: {
            job = id.0,
            fingerprint = format!("{:032x}", print.0),
            points = points,
        });
        let daemon = self.me.daemon.clone();
        let frame = Frame::Suspect(Suspect { fingerprint: print.0, daemon, points });
        let others = self.daemons.values().filter(|it| it.state == State::Live);
        let peers: Vec<SocketAddr> = others
            .filter(|it| it.id != self.me.daemon)
            .filter_map(|it| it.address.parse().ok())
            .collect();
        for peer in peers {
            let stream = StreamId(self.take_number());
            self.transport.command(Command::Open { stream, peer, frame: frame.clone() });
            self.transport.command(Command::Finish { stream });
        }
    }

    /// A peer counted deaths.
    pub(super) fn suspected(&mut self, cx: CX![], stream: StreamId, suspect: &Suspect) {
        let print = Fingerprint(suspect.fingerprint);
        self.suspects.merge_remote(cx.now(), &suspect.daemon, print, suspect.points);
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
