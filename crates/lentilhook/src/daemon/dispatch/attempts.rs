//! Attempts to run jobs at endpoints.

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
use endpoint::attempt::Request;
use endpoint::chat;
use endpoint::plain;
use ledger::record::Answer;
use ledger::record::Step;
use stakker::CX;
use stakker::call;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::Update;
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

/// Maximum number of failed attempts of a job.
pub(super) const MAX_FAILURES: u32 = 4;
/// Lowest status with which a service reports an error of its own.
const FIRST_SERVER_ERROR: u16 = 500;
/// Response timeout of a plain service.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(10);

impl Dispatch {
    /// Starts the next attempt of a job. Without a usable endpoint the job waits or is
    /// given up.
    pub(super) fn attempt(&mut self, cx: CX![], id: JobId) {
        self.attempt_at(cx, id, None);
    }

    /// Starts the next attempt, at the `preferred` endpoint if one is given.
    pub(super) fn attempt_at(&mut self, cx: CX![], id: JobId, preferred: Option<&str>) {
        if self.is_busy(id) || self.reject_suspect(cx, id) {
            return;
        }
        let choice = self.choose(cx, id, preferred);
        let target = choice.as_ref().and_then(|it| self.endpoints.get(&it.endpoint));
        let (Some(address), Some(choice)) = (target.map(|it| it.vm.address.clone()), choice) else {
            if self.wait_for_endpoint(cx, id) == Waiting::GiveUp {
                self.give_up(cx, id);
            }
            return;
        };
        if !self.advance(id, request::Event::Sent) {
            return;
        }
        self.record_trial(cx, id);
        let endpoint = choice.endpoint.clone();
        let uncached = choice.uncached_tokens;
        let Some(job) = self.jobs.get(&id) else { return };
        let service = job.call.service.clone();
        let attempt = AttemptId(self.next_number());
        self.routing.attempt_started(attempt, &service, choice, cx.now());
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.attempts += 1;
        metrics::record_attempt(&service, job.attempts, uncached);
        let number = job.progress.start_attempt();
        let request_id = request_id(&self.me, id, job);
        let request = endpoint_request(request_id.clone(), job);
        let events = self.events.clone();
        let on_event = move |attempt: AttemptId, event: Event| {
            events.send(Update { attempt, event });
        };
        let cancel = attempt::start(attempt, &address, request, std::sync::Arc::new(on_event));
        if let Some(target) = self.endpoints.get_mut(&endpoint) {
            target.in_flight += 1;
        }
        job.stage = Stage::Running(Running {
            attempt,
            number,
            endpoint,
            request_id,
            started_at: cx.now(),
            cancel,
        });
        self.by_attempt.insert(attempt, id);
    }

    /// Handles an event of an attempt.
    pub(super) fn attempt_event(&mut self, cx: CX![], update: Update) {
        let Update { attempt, event } = update;
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        // Invariant: only events of the job's open attempt have an effect.
        if running.attempt != attempt {
            return;
        }
        let number = running.number;
        match event {
            Event::Token { index, text } => {
                self.routing.token_received(attempt, cx.now());
                self.append_token(cx, id, number, index, &text);
            }
            Event::Finished(usage) => self.complete(cx, id, number, usage),
            Event::Answered(response) => {
                self.admission.record_success();
                if response.status < FIRST_SERVER_ERROR {
                    self.record_service(cx, id);
                }
                self.close_attempt(cx, attempt);
                self.end_with_response(cx, id, response);
            }
            Event::Failed(failure) => {
                self.close_attempt(cx, attempt);
                self.handle_failure(cx, id, failure);
            }
        }
    }

    /// Cancels and removes a job that has no waiters.
    pub(super) fn cancel(&mut self, cx: CX![], id: JobId) {
        if let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) {
            let attempt = running.attempt;
            running.cancel.cancel();
            self.close_attempt(cx, attempt);
        }
        self.remove_job(id);
    }

    fn choose(&mut self, cx: CX![], id: JobId, preferred: Option<&str>) -> Option<Choice> {
        let job = self.jobs.get(&id)?;
        if let Some(endpoint) = preferred {
            return Some(Routing::planned_choice(endpoint, job));
        }
        if job.failures >= MAX_FAILURES {
            return None;
        }
        self.routing.choose(id, job, cx.now())
    }

    fn append_token(&mut self, cx: CX![], id: JobId, number: Attempt, index: u32, text: &str) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.progress.append(number, index, text) {
            Delivery::Appended => {
                job.accepted = true;
                job.waiting_since = None;
                job.timing.record_token(&job.service, job.received_at, cx.now());
                let transport = &self.transport;
                let progress = &job.progress;
                job.waiters.iter_mut().for_each(|it| it.catch_up(transport, progress));
            }
            Delivery::Ignored => {}
            Delivery::Gap => self.abort(cx, id, Failure::Broken("a token is missing".to_owned())),
        }
    }

    fn complete(&mut self, cx: CX![], id: JobId, number: Attempt, usage: Usage) {
        let Some(job) = self.jobs.get(&id) else { return };
        match job.progress.finish(number, usage.completion_tokens) {
            End::Complete => {
                let cached_tokens = usage.cached_tokens;
                let usage = Usage { completion_tokens: job.progress.len(), ..usage };
                if number.0 > 1 {
                    let moved = job.moved;
                    self.record_recomputed(id, moved, cached_tokens);
                }
                self.record_cached(cx, id, &usage);
                self.admission.record_success();
                self.record_service(cx, id);
                self.close_running(cx, id);
                self.end(cx, id, Reply::Finished(usage));
            }
            End::Ignored => {}
            End::Incomplete => {
                let detail = "the last event came before the last token".to_owned();
                self.abort(cx, id, Failure::Broken(detail));
            }
        }
    }

    /// Aborts the open attempt of a job and handles it as failed.
    pub(super) fn abort(&mut self, cx: CX![], id: JobId, failure: Failure) {
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        running.cancel.cancel();
        self.close_running(cx, id);
        self.handle_failure(cx, id, failure);
    }

    /// Closes the open attempt of a job; its later events are ignored.
    pub(super) fn close_running(&mut self, cx: CX![], id: JobId) {
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        let attempt = running.attempt;
        self.close_attempt(cx, attempt);
    }

    fn end_with_response(&mut self, cx: CX![], id: JobId, response: Response) {
        self.record(id, Step::Done(Answer::from(&response)));
        self.end(cx, id, Reply::Response(response));
    }

    fn handle_failure(&mut self, cx: CX![], id: JobId, failure: Failure) {
        let was_reclaimed = self.runs_on_reclaimed(id);
        let started = !matches!(failure, Failure::NotSent(_) | Failure::Refused(_));
        if !was_reclaimed && matches!(failure, Failure::Died(_)) {
            self.record_crash(cx, id);
        }
        metrics::record_attempt_failure(&failure);
        self.advance(id, request::Event::AttemptLost);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.accepted |= started;
        // Attempts that a reclaim interrupted, or that never started at an endpoint, do
        // not count against an accepted job.
        if !was_reclaimed && (started || !job.accepted) {
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
        if job.plan.is_some() {
            // The recovery plan determines when and where the job continues.
            job.stage = Stage::Waiting;
            return;
        }
        match was_reclaimed {
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

    /// Ends a job that no endpoint can run.
    pub(super) fn give_up(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let service = job.call.service.clone();
        if job.call.is_non_idempotent() || job.attempts == 0 {
            // Every attempt so far was rejected before it started.
            self.record(id, Step::NotRun);
            self.end_and_remove(id, Reply::Problem(problems::no_endpoint(&service)));
            return;
        }
        let problem = problems::exhausted(job.attempts);
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

    /// Records that the engine has cached the finished completion.
    fn record_cached(&mut self, cx: CX![], id: JobId, usage: &Usage) {
        let Some(job) = self.jobs.get(&id) else { return };
        if let (Body::Chat(chat), Stage::Running(running)) = (&job.call.body, &job.stage) {
            let text = format!("{}{}", chat.prompt, job.progress.text());
            self.routing.attempt_finished(running.attempt, &text, usage, cx.now());
        }
    }

    pub(super) fn close_attempt(&mut self, cx: CX![], attempt: AttemptId) {
        self.routing.attempt_closed(attempt, cx.now());
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        let Some(Job { stage: Stage::Running(running), .. }) = self.jobs.get(&id) else { return };
        if let Some(target) = self.endpoints.get_mut(&running.endpoint) {
            target.in_flight = target.in_flight.saturating_sub(1);
            let service = target.vm.service.clone();
            call!([cx], slot_freed(service));
        }
    }
}

/// Returns the request identifier of an attempt. It is unique across daemons, since an
/// endpoint receives attempts from all of them.
fn request_id(me: &Identity, id: JobId, job: &Job) -> String {
    format!("{}-{}-{}-{}", me.daemon, me.incarnation, id.0, job.attempts)
}

fn endpoint_request(request_id: String, job: &Job) -> Request {
    match &job.call.body {
        Body::Chat(chat) => Request::Chat(chat::Request {
            request_id,
            fresh_connection: job.attempts > 1,
            messages: chat.messages.clone(),
            max_tokens: chat.max_tokens,
            priority: job.service.priority,
            resume_tokens: job.progress.len(),
            resume_text: job.progress.text().to_owned(),
        }),
        Body::Plain(call) => Request::Plain(plain::Request {
            call: call.clone(),
            key: job.call.key.clone(),
            fence: job.fence,
            fresh_connection: job.attempts > 1,
            timeout: PLAIN_TIMEOUT,
        }),
    }
}
