//! Admission control for completions. Under load, completions are started by class and
//! workspace share, and those that would start too late are rejected. Retries are
//! limited by a budget.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::reply::Reply;
use membership::update::State;
use policy::admission::Class;
use policy::admission::Entry;
use policy::admission::Queue;
use policy::admission::Supply;
use policy::admission::Verdict;
use policy::blocks;
use policy::retry::Budget;
use stakker::CX;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::dispatch::problems;

/// Completions that wait for a free slot, and retries that wait for the retry budget.
pub struct Admission {
    backlogs: BTreeMap<String, Backlog>,
    delayed_retries: VecDeque<JobId>,
    retry_budget: Budget,
    started: Instant,
}

/// Queued completions of one service and its estimated supply of slots.
struct Backlog {
    queue: Queue,
    supply: Supply,
}

impl Admission {
    /// Creates empty queues.
    pub fn new(started: Instant) -> Admission {
        Admission {
            backlogs: BTreeMap::new(),
            delayed_retries: VecDeque::new(),
            retry_budget: Budget::default(),
            started,
        }
    }

    /// Credits the retry budget with a success.
    pub fn record_success(&mut self) {
        self.retry_budget.record_success();
    }
}

impl Dispatch {
    /// Starts, queues or rejects a job.
    pub(super) fn admit(&mut self, cx: CX![], id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Body::Chat(chat) = &job.call.body else {
            self.attempt(cx, id);
            return;
        };
        let service = job.call.service.clone();
        let entry = Entry {
            ticket: id.0,
            class: Class::from_max_tokens(chat.max_tokens),
            workspace: &job.call.workspace,
            share: self.catalog.share(&job.call.workspace),
            tokens: blocks::token_count(&chat.prompt) as u32 + chat.max_tokens,
            wait_limit: wait_limit(job),
        };
        if !self.admission.backlogs.contains_key(&service) {
            let daemons = self.live_daemons();
            let Some(supply) = self.routing.supply(&service, daemons, cx.now()) else {
                self.attempt(cx, id);
                return;
            };
            let backlog = Backlog { queue: Queue::default(), supply };
            self.admission.backlogs.insert(service.clone(), backlog);
        }
        let Some(backlog) = self.admission.backlogs.get_mut(&service) else { return };
        let verdict = backlog.queue.offer(&entry, &backlog.supply);
        spdlog::info!("admission", kv: {
            job = id.0,
            workspace = entry.workspace,
            service = service.as_str(),
            class: ? = entry.class,
            verdict: ? = verdict,
            waiting = backlog.queue.len(),
            free = backlog.supply.free,
        });
        match verdict {
            Verdict::Start => {
                backlog.supply.free -= 1.0;
                self.attempt(cx, id);
            }
            Verdict::Wait => self.start_waiting(cx),
            Verdict::Refuse { retry_after_s } => {
                self.end_and_remove(id, Reply::Problem(problems::too_late(retry_after_s)));
            }
        }
    }

    /// Retries a job now or, for a completion, as soon as the retry budget allows it.
    /// Other calls are given up when the budget is exhausted.
    pub(super) fn retry(&mut self, cx: CX![], id: JobId) {
        let now = cx.now().saturating_duration_since(self.admission.started);
        if self.admission.retry_budget.try_take(now) {
            self.attempt(cx, id);
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        match job.call.body {
            Body::Chat(_) => self.admission.delayed_retries.push_back(id),
            Body::Plain(_) => self.give_up(cx, id),
        }
    }

    /// Updates the supply of free slots and starts queued jobs and delayed retries.
    pub(super) fn refresh_admission(&mut self, cx: CX![]) {
        let daemons = self.live_daemons();
        let now = cx.now();
        let routing = &mut self.routing;
        for (service, backlog) in &mut self.admission.backlogs {
            // Without endpoints all jobs are started, so that each is answered
            // immediately instead of waiting in the queue.
            let unlimited = Supply { free: backlog.queue.len() as f64, starts_per_second: 1.0 };
            backlog.supply = routing.supply(service, daemons, now).unwrap_or(unlimited);
        }
        self.start_waiting(cx);
        self.start_delayed_retries(cx);
    }

    /// Handles a slot that became free at an endpoint of a service.
    pub(super) fn slot_freed(&mut self, cx: CX![], service: String) {
        if let Some(backlog) = self.admission.backlogs.get_mut(&service) {
            backlog.supply.free += 1.0;
        }
        self.start_waiting(cx);
    }

    fn start_waiting(&mut self, cx: CX![]) {
        let mut startable = Vec::new();
        for backlog in self.admission.backlogs.values_mut() {
            while backlog.supply.free >= 1.0 {
                let Some(ticket) = backlog.queue.pop() else { break };
                let id = JobId(ticket);
                let still_queued = self.jobs.get(&id).is_some_and(is_queued);
                if still_queued {
                    backlog.supply.free -= 1.0;
                    startable.push(id);
                }
            }
        }
        startable.into_iter().for_each(|id| self.attempt(cx, id));
    }

    fn start_delayed_retries(&mut self, cx: CX![]) {
        let now = cx.now().saturating_duration_since(self.admission.started);
        while !self.admission.delayed_retries.is_empty()
            && self.admission.retry_budget.try_take(now)
        {
            let Some(id) = self.admission.delayed_retries.pop_front() else { return };
            if self.awaits_retry(id) {
                self.attempt(cx, id);
            }
        }
    }

    /// Whether a job still waits for a retry after a failed attempt.
    fn awaits_retry(&self, id: JobId) -> bool {
        match self.jobs.get(&id).map(|it| &it.stage) {
            Some(Stage::Running(running)) => !self.by_attempt.contains_key(&running.attempt),
            _ => false,
        }
    }

    /// Returns the number of live daemons, including this one.
    pub(super) fn live_daemons(&self) -> usize {
        self.daemons.values().filter(|it| it.state == State::Live).count()
    }
}

fn is_queued(job: &Job) -> bool {
    matches!(job.stage, Stage::Pending)
}

fn wait_limit(job: &Job) -> Option<Duration> {
    (job.call.time_left_ms > 0).then(|| Duration::from_millis(job.call.time_left_ms))
}
