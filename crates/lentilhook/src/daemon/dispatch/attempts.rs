//! Attempts of jobs at endpoints.

use std::time::Duration;

use ::job::call::Body;
use ::job::progress::Attempt;
use ::job::progress::Delivery;
use ::job::progress::End;
use ::job::reply::Reply;
use ::job::reply::Response;
use ::job::reply::Usage;
use endpoint::attempt;
use endpoint::attempt::AttemptId;
use endpoint::attempt::Event;
use endpoint::attempt::Failure;
use endpoint::attempt::Order;
use endpoint::chat;
use endpoint::plain;
use ledger::record::Answer;
use ledger::record::Step;
use stakker::CX;
use stakker::call;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::Endpoint;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Running;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;
use crate::daemon::dispatch::recorded::ledger_identity;
use crate::daemon::dispatch::routing::Choice;
use crate::daemon::dispatch::routing::Routing;
use crate::daemon::dispatch::waiting::Waiting;
use crate::daemon::identity::Identity;
use crate::daemon::lifecycle::request;
use crate::daemon::metrics;

/// Most attempts at one job that may fail.
pub(super) const TRIES: u32 = 4;
/// Longest time of a plain service to answer.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(10);

impl Dispatch {
    /// Starts the next attempt at a job, or ends it when there is none.
    pub(super) fn attempt(&mut self, cx: CX![], id: JobId) {
        self.attempt_at(cx, id, None);
    }

    /// Starts the next attempt, at the preferred endpoint if there is one.
    pub(super) fn attempt_at(&mut self, cx: CX![], id: JobId, preferred: Option<&str>) {
        if self.is_busy(id) || self.refuse_suspect(cx, id) {
            return;
        }
        let choice = self.choose(cx, id, preferred);
        let target = choice.as_ref().and_then(|it| self.endpoints.get(&it.endpoint));
        let (Some(address), Some(choice)) = (target.map(|it| it.vm.address.clone()), choice) else {
            if self.wait(cx, id) == Waiting::GiveUp {
                self.give_up(cx, id);
            }
            return;
        };
        if !self.advance(id, request::Event::Sent) {
            return;
        }
        let endpoint = choice.endpoint.clone();
        let uncached = choice.uncached_tokens;
        let Some(job) = self.jobs.get(&id) else { return };
        let service = job.call.service.clone();
        let attempt = AttemptId(self.take_number());
        self.routing.sent(attempt, &service, choice, cx.now());
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.tries += 1;
        metrics::attempted(&service, job.tries, uncached);
        let number = job.progress.start_attempt();
        let request = name(&self.me, id, job);
        let order = order(request.clone(), job);
        let events = self.events.clone();
        let sink = move |attempt: AttemptId, event: Event| {
            events.send(Endpoint { attempt, event });
        };
        let cancel = attempt::start(attempt, &address, order, std::sync::Arc::new(sink));
        if let Some(target) = self.endpoints.get_mut(&endpoint) {
            target.in_flight += 1;
        }
        job.stage =
            Stage::Running(Running { attempt, number, endpoint, request, since: cx.now(), cancel });
        self.by_attempt.insert(attempt, id);
    }

    /// An event of an attempt.
    pub(super) fn endpoint_event(&mut self, cx: CX![], message: Endpoint) {
        let Endpoint { attempt, event } = message;
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        // Invariant: only the open attempt of a job is heard.
        if running.attempt != attempt {
            return;
        }
        let number = running.number;
        match event {
            Event::Token { index, text } => {
                self.routing.token(attempt, cx.now());
                self.token(cx, id, number, index, &text);
            }
            Event::Finished(usage) => self.finished(cx, id, number, usage),
            Event::Answered(whole) => {
                self.admission.succeeded();
                self.close(cx, attempt);
                self.answered(cx, id, whole);
            }
            Event::Failed(failure) => {
                self.close(cx, attempt);
                self.failed(cx, id, failure);
            }
        }
    }

    /// Ends a job that nobody waits for.
    pub(super) fn cancel(&mut self, cx: CX![], id: JobId) {
        if let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) {
            let attempt = running.attempt;
            running.cancel.cancel();
            self.close(cx, attempt);
        }
        self.forget(id);
    }

    fn choose(&mut self, cx: CX![], id: JobId, preferred: Option<&str>) -> Option<Choice> {
        let job = self.jobs.get(&id)?;
        if let Some(endpoint) = preferred {
            return Some(Routing::planned(endpoint, job));
        }
        if job.failures >= TRIES {
            return None;
        }
        self.routing.choose(id, job, cx.now())
    }

    fn token(&mut self, cx: CX![], id: JobId, number: Attempt, index: u32, text: &str) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.progress.append(number, index, text) {
            Delivery::Appended => {
                job.accepted = true;
                job.waiting_since = None;
                job.timing.token(&job.service, job.opened, cx.now());
                let transport = &self.transport;
                let progress = &job.progress;
                job.waiters.iter_mut().for_each(|it| it.catch_up(transport, progress));
            }
            Delivery::Ignored => {}
            Delivery::Gap => self.leave(cx, id, Failure::Broken("a token is missing".to_owned())),
        }
    }

    fn finished(&mut self, cx: CX![], id: JobId, number: Attempt, usage: Usage) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.progress.finish(number, usage.completion_tokens) {
            End::Complete => {
                let cached_tokens = usage.cached_tokens;
                let usage = Usage { completion_tokens: job.progress.len(), ..usage };
                if number.0 > 1 {
                    let moved = job.moved;
                    self.count_recomputed(id, moved, cached_tokens);
                }
                self.remember_cached(cx, id, &usage);
                self.admission.succeeded();
                self.close_running(cx, id);
                self.end(cx, id, Reply::Finished(usage));
            }
            End::Ignored => {}
            End::Incomplete => {
                let detail = "the last event came before the last token".to_owned();
                self.leave(cx, id, Failure::Broken(detail));
            }
        }
    }

    /// Leaves the open attempt of a job, which can't be used further.
    pub(super) fn leave(&mut self, cx: CX![], id: JobId, failure: Failure) {
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        running.cancel.cancel();
        self.close_running(cx, id);
        self.failed(cx, id, failure);
    }

    /// Stops hearing the open attempt of a job.
    pub(super) fn close_running(&mut self, cx: CX![], id: JobId) {
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        let attempt = running.attempt;
        self.close(cx, attempt);
    }

    fn answered(&mut self, cx: CX![], id: JobId, whole: Response) {
        self.record(id, Step::Done(Answer::from(&whole)));
        self.end(cx, id, Reply::Response(whole));
    }

    fn failed(&mut self, cx: CX![], id: JobId, failure: Failure) {
        let reclaimed = self.runs_on_reclaimed(id);
        let started = !matches!(failure, Failure::NotSent(_) | Failure::Refused(_));
        if !reclaimed && matches!(failure, Failure::Died(_)) {
            self.count_death(cx, id);
        }
        metrics::attempt_failed(&failure);
        self.advance(id, request::Event::AttemptLost);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.accepted |= started;
        // What was lost in a reclaim, or never began at an endpoint, does not
        // count against an accepted job.
        if !reclaimed && (started || !job.accepted) {
            job.failures += 1;
        }
        if let Stage::Running(running) = &job.stage {
            spdlog::warn!("attempt failed", kv: {
                job = id.0,
                endpoint = running.endpoint.as_str(),
                failure: ? = failure,
                tokens = job.progress.len(),
            });
            job.avoid.push(running.endpoint.clone());
        }
        if started && job.call.is_non_idempotent() {
            self.record(id, Step::Unknown);
            let detail = match failure {
                Failure::Silent(_) => "the service gave no answer in time",
                _ => "the connection broke",
            };
            self.end(cx, id, Reply::Problem(problems::unknown(detail)));
            return;
        }
        if job.planned.is_some() {
            // The plan says when and where it goes on.
            job.stage = Stage::Waiting;
            return;
        }
        match reclaimed {
            true => self.attempt(cx, id),
            false => self.retry(cx, id),
        }
    }

    /// Whether a job has an open attempt or has ended.
    ///
    /// Invariant: a job has at most one open attempt.
    fn is_busy(&self, id: JobId) -> bool {
        match self.jobs.get(&id).map(|job| &job.stage) {
            Some(Stage::Running(running)) => self.by_attempt.contains_key(&running.attempt),
            Some(Stage::Ended(_)) => true,
            _ => false,
        }
    }

    fn runs_on_reclaimed(&self, id: JobId) -> bool {
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else {
            return false;
        };
        self.is_reclaimed(&running.endpoint)
    }

    /// No endpoint is left to try.
    pub(super) fn give_up(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let service = job.call.service.clone();
        if job.call.is_non_idempotent() || job.tries == 0 {
            // Every attempt so far was refused before it started.
            self.record(id, Step::NotRun);
            self.end_unkept(id, Reply::Problem(problems::no_endpoint(&service)));
            return;
        }
        let problem = problems::exhausted(job.tries);
        self.end(cx, id, Reply::Problem(problem));
    }

    pub(super) fn record(&self, id: JobId, step: Step) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(identity) = ledger_identity(&job.call)
            && job.fence.is_some()
        {
            call!([self.shards], end(identity, step));
        }
    }

    /// The engine has the finished completion cached.
    fn remember_cached(&mut self, cx: CX![], id: JobId, usage: &Usage) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let (Body::Chat(chat), Stage::Running(running)) = (&job.call.body, &job.stage) {
            let text = format!("{}{}", chat.prompt, job.progress.text());
            self.routing.finished(running.attempt, &text, usage, cx.now());
        }
    }

    pub(super) fn close(&mut self, cx: CX![], attempt: AttemptId) {
        self.routing.closed(attempt, cx.now());
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        if let Some(target) = self.endpoints.get_mut(&running.endpoint) {
            target.in_flight = target.in_flight.saturating_sub(1);
            let service = target.vm.service.clone();
            call!([cx], place_freed(service));
        }
    }
}

/// Names an attempt at its endpoint, where attempts of all daemons meet.
fn name(me: &Identity, id: JobId, job: &Job) -> String {
    format!("{}-{}-{}-{}", me.daemon, me.incarnation, id.0, job.tries)
}

fn order(request: String, job: &Job) -> Order {
    match &job.call.body {
        Body::Chat(chat) => Order::Chat(chat::Order {
            request,
            fresh_connection: job.tries > 1,
            messages: chat.messages.clone(),
            max_tokens: chat.max_tokens,
            priority: job.service.priority,
            resume_tokens: job.progress.len(),
            resume_text: job.progress.text().to_owned(),
        }),
        Body::Plain(call) => Order::Plain(plain::Order {
            call: call.clone(),
            key: job.call.key.clone(),
            fence: job.fence,
            fresh_connection: job.tries > 1,
            timeout: PLAIN_TIMEOUT,
        }),
    }
}
