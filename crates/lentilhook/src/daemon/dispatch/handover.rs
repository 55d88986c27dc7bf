//! Completions handed over by a daemon that will end to those that will serve
//! their keys.

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
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::job::Way;
use crate::daemon::dispatch::problems;
use crate::daemon::lifecycle::request;

/// Time before the reclaim at which callers are told to go elsewhere.
const LAST_WORD: Duration = Duration::from_millis(800);

/// A completion sent to a successor that has not confirmed it.
pub struct Sent {
    job: JobId,
    successor: String,
    copy: Copy,
    /// Daemons that did not take it.
    refused_by: Vec<String>,
}

impl Dispatch {
    /// This daemon's VM will be reclaimed after `left`.
    pub fn reclaimed(&mut self, cx: CX![], left: Duration) {
        self.draining = true;
        let mut ids: Vec<JobId> = self.jobs.keys().copied().collect();
        // Dossiers first: a smaller priority number goes over earlier.
        ids.sort_by_key(|id| self.jobs.get(id).map(|job| (job.service.priority, *id)));
        for id in ids {
            self.decide_handover(cx, id, left);
        }
        after!(left.saturating_sub(LAST_WORD), [cx], last_word());
    }

    /// Hands over what has ended and may still be asked for.
    pub(super) fn hand_over_ended(&mut self) {
        let is_kept = |job: &Job| matches!(job.stage, Stage::Ended(_) | Stage::Kept);
        let ids: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| is_kept(job)).map(|(id, _)| *id).collect();
        for id in ids {
            self.hand_over(id, Copy::Keep, &[]);
            // One try: nobody waits for it here.
            self.forget(id);
        }
    }

    /// A daemon that will end hands a completion over.
    pub(super) fn take_over(&mut self, cx: CX![], stream: StreamId, handover: Handover) {
        let taken = self.insert_handover(cx, handover);
        if taken {
            let frame = Frame::HandoverAccepted;
            self.transport.command(Command::Send { stream, frame });
        }
        self.transport.command(Command::Finish { stream });
    }

    /// A successor confirmed a completion.
    pub(super) fn handover_taken(&mut self, cx: CX![], stream: StreamId) {
        self.transport.command(Command::Finish { stream });
        let Some(sent) = self.handovers.remove(&stream) else { return };
        if sent.copy == Copy::Keep {
            return;
        }
        let Some(successor) = self.daemons.get(&sent.successor).cloned() else { return };
        self.follow(cx, sent.job, &successor);
    }

    /// A successor did not confirm a completion: the next one is tried.
    pub(super) fn handover_failed(&mut self, _cx: CX![], stream: StreamId) {
        let Some(sent) = self.handovers.remove(&stream) else { return };
        if sent.copy == Copy::Serve {
            let mut refused_by = sent.refused_by;
            refused_by.push(sent.successor);
            self.hand_over(sent.job, Copy::Serve, &refused_by);
        }
    }

    fn decide_handover(&mut self, cx: CX![], id: JobId, left: Duration) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Body::Chat(chat) = &job.call.body else { return };
        if matches!(job.stage, Stage::Ended(_) | Stage::Kept) {
            self.hand_over(id, Copy::Keep, &[]);
            return;
        }
        let completion = Completion {
            tokens: job.progress.len(),
            max_tokens: chat.max_tokens,
            age: cx.now().saturating_duration_since(job.opened),
        };
        let decision = decide(&completion, left);
        spdlog::info!("leaving", kv: {
            job = id.0,
            workspace = job.call.workspace.as_str(),
            decision: ? = decision,
            tokens = completion.tokens,
            max_tokens = completion.max_tokens,
            left_ms = left.as_millis() as u64,
        });
        self.give_key(id);
        match decision {
            Decision::HandOver => self.hand_over(id, Copy::Serve, &[]),
            Decision::Finish => {
                // A copy in case that this process ends before the reclaim.
                self.hand_over(id, Copy::Keep, &[]);
                self.name_key(id);
            }
        }
    }

    /// Tells callers of a completion the key under which to go on elsewhere.
    fn name_key(&self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(key) = &job.call.key else { return };
        for waiter in &job.waiters {
            waiter.way.send(&self.transport, Reply::Moved(key.clone()));
        }
    }

    /// A completion without a key gets one, by which it can be asked for.
    fn give_key(&mut self, id: JobId) {
        let me = &self.me;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.call.key.is_none() {
            job.call.key = Some(format!("moved-{}-{}-{}", me.daemon, me.incarnation, id.0));
        }
    }

    /// Sends copies to the daemons that will serve the key. The first one does
    /// as `copy` says, the others keep theirs.
    fn hand_over(&mut self, id: JobId, copy: Copy, refused_by: &[String]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(identity) = job.call.identity() else { return };
        if !matches!(job.call.body, Body::Chat(_)) {
            return;
        }
        let handover = handover(job);
        let chosen = self.successors(&identity, refused_by);
        for (rank, vm) in chosen.into_iter().enumerate() {
            let Ok(peer) = vm.address.parse::<SocketAddr>() else { continue };
            let copy = if rank == 0 { copy } else { Copy::Keep };
            let stream = StreamId(self.take_number());
            let frame = Frame::Handover(Box::new(Handover { copy, ..handover.clone() }));
            self.transport.command(Command::Open { stream, peer, frame });
            let refused_by = refused_by.to_vec();
            self.handovers.insert(stream, Sent { job: id, successor: vm.id, copy, refused_by });
        }
    }

    fn successors(&self, identity: &str, refused_by: &[String]) -> Vec<Vm> {
        let usable = self.daemons.values().filter(|vm| {
            vm.state == State::Live && vm.id != self.me.daemon && !refused_by.contains(&vm.id)
        });
        let daemons: Vec<Daemon<'_>> =
            usable.map(|vm| Daemon { id: &vm.id, zone: &vm.zone }).collect();
        let ids = successors(identity, &daemons);
        ids.into_iter().filter_map(|id| self.daemons.get(id).cloned()).collect()
    }

    fn insert_handover(&mut self, cx: CX![], handover: Handover) -> bool {
        let Some(identity) = handover.call.identity() else { return false };
        if let Some(known) = self.by_identity.get(&identity) {
            self.refresh_kept(*known, handover);
            return true;
        }
        let Some(service) = self.catalog.service(&handover.call.service).cloned() else {
            return false;
        };
        let id = JobId(self.take_number());
        let ended = handover.ended.is_some();
        spdlog::info!("taken over", kv: {
            job = id.0,
            workspace = handover.call.workspace.as_str(),
            tokens = handover.progress.len(),
            copy: ? = handover.copy,
        });
        let job = Job {
            progress: handover.progress,
            stage: handover.ended.map_or(Stage::Kept, Stage::Ended),
            state: if ended { request::State::Done } else { request::State::Accepted },
            accepted: true,
            ..Job::new(handover.call, service, cx.now())
        };
        self.jobs.insert(id, job);
        self.by_identity.insert(identity, id);
        if handover.copy == Copy::Serve && !ended {
            self.attempt(cx, id);
        }
        after!(super::KEEP_ENDED, [cx], forget_idle(id));
        true
    }

    /// A later copy of a completion that is kept here and was not asked for.
    fn refresh_kept(&mut self, id: JobId, handover: Handover) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !matches!(job.stage, Stage::Kept) || handover.progress.len() < job.progress.len() {
            return;
        }
        job.progress = handover.progress;
        if let Some(reply) = handover.ended {
            job.stage = Stage::Ended(reply);
        }
    }

    fn forget_idle(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.stage {
            Stage::Ended(_) | Stage::Kept => self.forget(id),
            _ => {
                after!(super::KEEP_ENDED, [cx], forget_idle(id));
            }
        }
    }

    /// Callers of a completion that was taken over are carried on from the
    /// daemon that serves it now.
    fn follow(&mut self, cx: CX![], id: JobId, successor: &Vm) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        self.by_identity.retain(|_, known| *known != id);
        if let Stage::Running(running) = &job.stage {
            running.cancel.cancel();
            self.close(cx, running.attempt);
        }
        let key = job.call.key.clone().unwrap_or_default();
        for waiter in job.waiters.drain(..) {
            waiter.way.send(&self.transport, Reply::Moved(key.clone()));
            let call = from_index(&job.call, waiter.next_index);
            self.relay(cx, successor.clone(), call, job.service.clone(), waiter.way, 0);
        }
    }

    /// The reclaim is near: callers still connected are told where to go on.
    fn last_word(&mut self, _cx: CX![]) {
        let streams: Vec<StreamId> = self.relays.keys().copied().collect();
        for stream in streams {
            let Some(relay) = self.relays.remove(&stream) else { continue };
            self.transport.command(Command::Finish { stream });
            let key = relay.call.key.unwrap_or_default();
            relay.way.send(&self.transport, Reply::Problem(problems::moved(&key)));
        }
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in open {
            self.tell_moved(id);
        }
    }

    fn tell_moved(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (Body::Chat(_), Some(key)) = (&job.call.body, &job.call.key) else { return };
        let problem = problems::moved(key);
        let is_here = |way: &Way| matches!(way, Way::Gateway { .. });
        for waiter in job.waiters.drain(..).filter(|it| is_here(&it.way)) {
            waiter.way.send(&self.transport, Reply::Problem(problem.clone()));
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
