//! Handover of completions from a daemon that is shutting down to the daemons that will
//! own their keys.

use std::net::SocketAddr;
use std::time::Duration;

use ::job::call::Body;
use ::job::call::Call;
use ::job::reply::Reply;
use membership::update::State;
use membership::update::Vm;
use peer::transport::Command;
use peer::transport::StreamId;
use peer::wire::Copy;
use peer::wire::Frame;
use peer::wire::Handover;
use policy::handover::Completion;
use policy::handover::Daemon;
use policy::handover::Decision;
use policy::handover::decide;
use policy::handover::successors;
use stakker::CX;
use stakker::after;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Sink;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;
use crate::daemon::lifecycle::request;

/// Time before the reclaim at which the remaining callers are redirected to other
/// daemons.
const REDIRECT_MARGIN: Duration = Duration::from_millis(800);

/// A handover that its successor has not confirmed yet.
pub struct Pending {
    job: JobId,
    successor: String,
    copy: Copy,
    /// Daemons that did not accept it.
    rejected_by: Vec<String>,
}

impl Dispatch {
    /// Handles the reclaim notice of this daemon's own VM, which is reclaimed after
    /// `time_left`.
    pub fn own_reclaim_noticed(&mut self, cx: CX![], time_left: Duration) {
        self.draining = true;
        let mut ids: Vec<JobId> = self.jobs.keys().copied().collect();
        // Jobs with a smaller priority number, such as dossiers, are handed over first.
        ids.sort_by_key(|id| self.jobs.get(id).map(|job| (job.service.priority, *id)));
        for id in ids {
            self.decide_handover(cx, id, time_left);
        }
        after!(time_left.saturating_sub(REDIRECT_MARGIN), [cx], redirect_callers());
    }

    /// Hands over the retained jobs, whose results may still be requested.
    pub(super) fn hand_over_retained(&mut self) {
        let is_retained = |job: &Job| matches!(job.stage, Stage::Ended(_) | Stage::Standby);
        let ids: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| is_retained(job)).map(|(id, _)| *id).collect();
        for id in ids {
            self.hand_over(id, Copy::Keep, &[]);
            // No retry, since no caller waits for it here.
            self.remove_job(id);
        }
    }

    /// Handles a completion that a daemon hands over before it stops.
    pub(super) fn receive_handover(&mut self, cx: CX![], stream: StreamId, handover: Handover) {
        let is_accepted = self.insert_handover(cx, handover);
        if is_accepted {
            let frame = Frame::HandoverAccepted;
            self.transport.command(Command::Send { stream, frame });
        }
        self.transport.command(Command::Finish { stream });
    }

    /// Handles a successor's confirmation.
    pub(super) fn handover_accepted(&mut self, cx: CX![], stream: StreamId) {
        self.transport.command(Command::Finish { stream });
        let Some(pending) = self.handovers.remove(&stream) else { return };
        if pending.copy == Copy::Keep {
            return;
        }
        let Some(successor) = self.daemons.get(&pending.successor).cloned() else { return };
        self.relay_waiters(cx, pending.job, &successor);
    }

    /// Handles a missing confirmation: a completion that has to be served goes to the
    /// next successor.
    pub(super) fn handover_failed(&mut self, _cx: CX![], stream: StreamId) {
        let Some(pending) = self.handovers.remove(&stream) else { return };
        if pending.copy == Copy::Serve {
            let mut rejected_by = pending.rejected_by;
            rejected_by.push(pending.successor);
            self.hand_over(pending.job, Copy::Serve, &rejected_by);
        }
    }

    fn decide_handover(&mut self, cx: CX![], id: JobId, time_left: Duration) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Body::Chat(chat) = &job.call.body else { return };
        if matches!(job.stage, Stage::Ended(_) | Stage::Standby) {
            self.hand_over(id, Copy::Keep, &[]);
            return;
        }
        let completion = Completion {
            tokens: job.progress.len(),
            max_tokens: chat.max_tokens,
            age: cx.now().saturating_duration_since(job.received_at),
        };
        let decision = decide(&completion, time_left);
        spdlog::info!("leaving", kv: {
            job = id.0,
            workspace = job.call.workspace.as_str(),
            decision: ? = decision,
            tokens = completion.tokens,
            max_tokens = completion.max_tokens,
            left_ms = time_left.as_millis() as u64,
        });
        self.assign_key(id);
        match decision {
            Decision::HandOver => self.hand_over(id, Copy::Serve, &[]),
            Decision::Finish => {
                // A backup copy, in case this process ends before the reclaim.
                self.hand_over(id, Copy::Keep, &[]);
                self.send_key(id);
            }
        }
    }

    /// Sends the callers of a completion the key with which they can continue at
    /// another daemon.
    fn send_key(&self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(key) = &job.call.key else { return };
        for waiter in &job.waiters {
            waiter.sink.send(&self.transport, Reply::Moved(key.clone()));
        }
    }

    /// Assigns a key to a completion that has none, so that callers can request it
    /// elsewhere.
    fn assign_key(&mut self, id: JobId) {
        let me = &self.me;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.call.key.is_none() {
            job.call.key = Some(format!("moved-{}-{}-{}", me.daemon, me.incarnation, id.0));
        }
    }

    /// Sends copies to the daemons that will own the key. The first one gets `copy` as
    /// its instruction, the others keep a backup.
    fn hand_over(&mut self, id: JobId, copy: Copy, rejected_by: &[String]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(identity) = job.call.identity() else { return };
        if !matches!(job.call.body, Body::Chat(_)) {
            return;
        }
        let handover = handover(job);
        let successors = self.successors(&identity, rejected_by);
        for (rank, vm) in successors.into_iter().enumerate() {
            let Ok(peer) = vm.address.parse::<SocketAddr>() else { continue };
            let copy = if rank == 0 { copy } else { Copy::Keep };
            let stream = StreamId(self.next_number());
            let frame = Frame::Handover(Box::new(Handover { copy, ..handover.clone() }));
            self.transport.command(Command::Open { stream, peer, frame });
            let rejected_by = rejected_by.to_vec();
            self.handovers.insert(stream, Pending { job: id, successor: vm.id, copy, rejected_by });
        }
    }

    fn successors(&self, identity: &str, rejected_by: &[String]) -> Vec<Vm> {
        let eligible = self.daemons.values().filter(|vm| {
            vm.state == State::Live && vm.id != self.me.daemon && !rejected_by.contains(&vm.id)
        });
        let daemons: Vec<Daemon<'_>> =
            eligible.map(|vm| Daemon { id: &vm.id, zone: &vm.zone }).collect();
        let ids = successors(identity, &daemons);
        ids.into_iter().filter_map(|id| self.daemons.get(id).cloned()).collect()
    }

    fn insert_handover(&mut self, cx: CX![], handover: Handover) -> bool {
        let Some(identity) = handover.call.identity() else { return false };
        if let Some(existing) = self.by_identity.get(&identity) {
            self.refresh_standby(*existing, handover);
            return true;
        }
        let Some(service) = self.catalog.service(&handover.call.service).cloned() else {
            return false;
        };
        let id = JobId(self.next_number());
        let ended = handover.ended.is_some();
        spdlog::info!("taken over", kv: {
            job = id.0,
            workspace = handover.call.workspace.as_str(),
            tokens = handover.progress.len(),
            copy: ? = handover.copy,
        });
        let job = Job {
            progress: handover.progress,
            stage: handover.ended.map_or(Stage::Standby, Stage::Ended),
            state: if ended { request::State::Done } else { request::State::Accepted },
            accepted: true,
            ..Job::new(handover.call, service, cx.now())
        };
        self.jobs.insert(id, job);
        self.by_identity.insert(identity, id);
        if handover.copy == Copy::Serve && !ended {
            self.attempt(cx, id);
        }
        after!(super::ENDED_RETENTION, [cx], remove_idle(id));
        true
    }

    /// Replaces a backup that no caller has requested by a later copy.
    fn refresh_standby(&mut self, id: JobId, handover: Handover) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Standby) || handover.progress.len() < job.progress.len() {
            return;
        }
        job.progress = handover.progress;
        if let Some(reply) = handover.ended {
            job.stage = Stage::Ended(reply);
        }
    }

    fn remove_idle(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.stage {
            Stage::Ended(_) | Stage::Standby => self.remove_job(id),
            _ => {
                after!(super::ENDED_RETENTION, [cx], remove_idle(id));
            }
        }
    }

    /// Relays the callers of a handed-over completion to the daemon that serves it now.
    fn relay_waiters(&mut self, cx: CX![], id: JobId, successor: &Vm) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        self.by_identity.retain(|_, existing| *existing != id);
        if let Stage::Running(running) = &job.stage {
            running.cancel.cancel();
            self.close_attempt(cx, running.attempt);
        }
        let key = job.call.key.clone().unwrap_or_default();
        for waiter in job.waiters.drain(..) {
            waiter.sink.send(&self.transport, Reply::Moved(key.clone()));
            let call = from_index(&job.call, waiter.next_index);
            self.relay(cx, successor.clone(), call, job.service.clone(), waiter.sink, 0);
        }
    }

    /// Redirects the callers that are still connected shortly before the reclaim.
    fn redirect_callers(&mut self, _cx: CX![]) {
        let streams: Vec<StreamId> = self.relays.keys().copied().collect();
        for stream in streams {
            let Some(relay) = self.relays.remove(&stream) else { continue };
            self.transport.command(Command::Finish { stream });
            let key = relay.call.key.unwrap_or_default();
            relay.sink.send(&self.transport, Reply::Problem(problems::moved(&key)));
        }
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in open {
            self.redirect_waiters(id);
        }
    }

    fn redirect_waiters(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Body::Chat(_), Some(key)) = (&job.call.body, &job.call.key) else { return };
        let problem = problems::moved(key);
        let is_local = |sink: &Sink| matches!(sink.underlying(), Sink::Gateway { .. });
        for waiter in job.waiters.drain(..).filter(|it| is_local(&it.sink)) {
            waiter.sink.send(&self.transport, Reply::Problem(problem.clone()));
        }
    }
}

fn handover(job: &Job) -> Handover {
    let ended = match &job.stage {
        Stage::Ended(reply) => Some(reply.clone()),
        _ => None,
    };
    let call = from_index(&job.call, 0);
    Handover { call, progress: job.progress.clone(), ended, copy: Copy::Keep }
}

fn from_index(call: &Call, index: u32) -> Call {
    let mut call = call.clone();
    if let Body::Chat(chat) = &mut call.body {
        chat.from_index = index;
    }
    call
}
