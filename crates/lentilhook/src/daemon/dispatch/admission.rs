//! Lets completions start by class and share when places are short, turns
//! away those that would start too late, and paces retries.

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

/// Completions that wait for a place, and retries for their turn.
pub struct Admission {
    lines: BTreeMap<String, Line>,
    held_retries: VecDeque<JobId>,
    allowance: Budget,
    started: Instant,
}

/// Completions of one service.
struct Line {
    queue: Queue,
    supply: Supply,
}

impl Admission {
    /// Nothing waits.
    pub fn new(started: Instant) -> Admission {
        Admission {
            lines: BTreeMap::new(),
            held_retries: VecDeque::new(),
            allowance: Budget::default(),
            started,
        }
    }

    /// A job succeeded.
    pub fn succeeded(&mut self) {
        self.allowance.record_success();
    }
}

impl Dispatch {
    /// Starts a job, lets it wait for its turn or turns it away.
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
        if !self.admission.lines.contains_key(&service) {
            let daemons = self.live_daemons();
            let Some(supply) = self.routing.supply(&service, daemons, cx.now()) else {
                self.attempt(cx, id);
                return;
            };
            let line = Line { queue: Queue::default(), supply };
            self.admission.lines.insert(service.clone(), line);
        }
        let Some(line) = self.admission.lines.get_mut(&service) else { return };
        let verdict = line.queue.offer(&entry, &line.supply);
        spdlog::info!("admission", kv: {
            job = id.0,
            workspace = entry.workspace,
            service = service.as_str(),
            class: ? = entry.class,
            verdict: ? = verdict,
            waiting = line.queue.len(),
            free = line.supply.free,
        });
        match verdict {
            Verdict::Start => {
                line.supply.free -= 1.0;
                self.attempt(cx, id);
            }
            Verdict::Wait => self.start_waiting(cx),
            Verdict::Refuse { retry_after_s } => {
                self.end_unkept(id, Reply::Problem(problems::too_late(retry_after_s)));
            }
        }
    }

    /// Tries a job again, now or when retries are allowed.
    pub(super) fn retry(&mut self, cx: CX![], id: JobId) {
        let now = cx.now().saturating_duration_since(self.admission.started);
        if self.admission.allowance.try_take(now) {
            self.attempt(cx, id);
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        match job.call.body {
            Body::Chat(_) => self.admission.held_retries.push_back(id),
            Body::Plain(_) => self.give_up(cx, id),
        }
    }

    /// Looks at what the endpoints can take and starts what waits.
    pub(super) fn admission_turn(&mut self, cx: CX![]) {
        let daemons = self.live_daemons();
        let now = cx.now();
        let routing = &mut self.routing;
        for (service, line) in &mut self.admission.lines {
            // Without endpoints the jobs start, and are answered so at once.
            let none = Supply { free: line.queue.len() as f64, starts_per_second: 1.0 };
            line.supply = routing.supply(service, daemons, now).unwrap_or(none);
        }
        self.start_waiting(cx);
        self.retry_held(cx);
    }

    /// A place became free at an endpoint of a service.
    pub(super) fn place_freed(&mut self, cx: CX![], service: String) {
        if let Some(line) = self.admission.lines.get_mut(&service) {
            line.supply.free += 1.0;
        }
        self.start_waiting(cx);
    }

    fn start_waiting(&mut self, cx: CX![]) {
        let mut due = Vec::new();
        for line in self.admission.lines.values_mut() {
            while line.supply.free >= 1.0 {
                let Some(ticket) = line.queue.pop() else { break };
                let id = JobId(ticket);
                let waits = self.jobs.get(&id).is_some_and(is_waiting);
                if waits {
                    line.supply.free -= 1.0;
                    due.push(id);
                }
            }
        }
        due.into_iter().for_each(|id| self.attempt(cx, id));
    }

    fn retry_held(&mut self, cx: CX![]) {
        let now = cx.now().saturating_duration_since(self.admission.started);
        while !self.admission.held_retries.is_empty() && self.admission.allowance.try_take(now) {
            let Some(id) = self.admission.held_retries.pop_front() else { return };
            if self.is_held(id) {
                self.attempt(cx, id);
            }
        }
    }

    /// Whether a job still waits here after an attempt that failed.
    fn is_held(&self, id: JobId) -> bool {
        match self.jobs.get(&id).map(|it| &it.stage) {
            Some(Stage::Running(running)) => !self.by_attempt.contains_key(&running.attempt),
            _ => false,
        }
    }

    /// Daemons that take work, this one included.
    pub(super) fn live_daemons(&self) -> usize {
        self.daemons.values().filter(|it| it.state == State::Live).count()
    }
}

fn is_waiting(job: &Job) -> bool {
    matches!(job.stage, Stage::Recording)
}

fn wait_limit(job: &Job) -> Option<Duration> {
    (job.call.time_left_ms > 0).then(|| Duration::from_millis(job.call.time_left_ms))
}
