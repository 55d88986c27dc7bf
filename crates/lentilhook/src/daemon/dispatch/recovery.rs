//! Recovery of streams whose endpoint is being reclaimed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ::job::call::Body;
use ::job::recompute::Recompute;
use endpoint::attempt::AttemptId;
use endpoint::attempt::Failure;
use endpoint::kv;
use membership::update::State;
use membership::update::Vm;
use policy::recover;
use policy::recover::Action;
use policy::recover::Rates;
use policy::recover::Stream;
use policy::recover::Survivor;
use stakker::CX;
use stakker::after;
use stakker::fwd_to;
use stakker::sync::Channel;
use stakker::sync::ChannelGuard;

use crate::daemon::dispatch::Dispatch;
use crate::daemon::dispatch::job::Job;
use crate::daemon::dispatch::job::JobId;
use crate::daemon::dispatch::job::Stage;
use crate::daemon::lifecycle::request;

/// Time window in which notices are batched into one wave.
const WAVE_WINDOW: Duration = Duration::from_millis(100);
/// Maximum wait for the reclaim notice of an endpoint that is known to be leaving.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Assumed time to the reclaim if no notice was received.
const ASSUMED_NOTICE: Duration = Duration::from_secs(2);
/// Time before the reclaim at which the remaining streams are resumed elsewhere.
const RESUME_MARGIN: Duration = Duration::from_millis(100);
/// Assumed number of sequences that an endpoint runs concurrently.
const ENDPOINT_SLOTS: u32 = 64;
/// Characters of a prompt that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Assumed time between two tokens before the first one was received, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 30.0;
/// Rates assumed before the first measurement.
const INITIAL_RATES: Rates = Rates { computed_per_ms: 10.0, moved_per_ms: 50.0 };
/// Weight of a new measurement in the exponentially weighted average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// A reclaim notice of an endpoint.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation that will be reclaimed.
    pub incarnation: u64,
    /// Time left until the reclaim.
    pub time_left: Duration,
}

/// Announced reclaims, and the measured rates and costs of recovery.
pub struct Recovery {
    reclaims: HashMap<String, Reclaim>,
    is_wave_scheduled: bool,
    last_plan_id: u64,
    rates: Rates,
    total: Recompute,
    transfers: Channel<Transfer>,
    _guard: ChannelGuard,
}

struct Reclaim {
    incarnation: u64,
    deadline: Instant,
}

/// A planned switch of a job to another endpoint.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Identifier of the plan; a newer plan replaces it.
    pub id: u64,
    /// Name of the endpoint to switch to.
    pub to: String,
    /// Attempt to abort.
    pub from: AttemptId,
}

/// Result of a KV cache transfer.
struct Transfer {
    id: JobId,
    plan_id: u64,
    context_tokens: u32,
    result: Result<Duration, kv::Error>,
}

impl Recovery {
    /// Creates the state without announced reclaims.
    pub fn new(cx: CX![Dispatch]) -> Recovery {
        let forward = fwd_to!([cx], kv_moved() as (Transfer));
        let (transfers, guard) = Channel::new(cx, forward);
        Recovery {
            reclaims: HashMap::new(),
            is_wave_scheduled: false,
            last_plan_id: 0,
            rates: INITIAL_RATES,
            total: Recompute::default(),
            transfers,
            _guard: guard,
        }
    }
}

impl Dispatch {
    /// Handles a reclaim notice of an endpoint.
    pub fn reclaim_noticed(&mut self, cx: CX![], notice: Notice) {
        let Notice { vm, incarnation, time_left } = notice;
        let known = self.recovery.reclaims.get(&vm);
        if known.is_some_and(|it| it.incarnation >= incarnation) {
            return;
        }
        let deadline = cx.now() + time_left;
        self.recovery.reclaims.insert(vm.clone(), Reclaim { incarnation, deadline });
        let resume_after = time_left.saturating_sub(RESUME_MARGIN);
        after!(resume_after, [cx], notice_ended(vm, incarnation));
        self.schedule_wave(cx);
    }

    /// Handles a state change of an endpoint. A leaving endpoint is assumed to be
    /// reclaimed if no notice arrives; the streams of one that is gone are resumed
    /// elsewhere.
    pub(super) fn endpoint_changed(&mut self, cx: CX![], vm: &Vm) {
        match vm.state {
            State::Live => {}
            State::Leaving => {
                let (id, incarnation) = (vm.id.clone(), vm.incarnation);
                after!(NOTICE_TIMEOUT, [cx], notice_missing(id, incarnation));
            }
            State::Gone => self.evacuate(cx, &vm.id),
        }
    }

    /// Whether a reclaim of the endpoint's current incarnation was announced, or the
    /// endpoint is not live.
    pub(super) fn is_reclaimed(&self, endpoint: &str) -> bool {
        let target = self.endpoints.get(endpoint);
        target.is_some_and(|it| {
            let reclaim = self.recovery.reclaims.get(endpoint);
            let reclaim_noticed =
                reclaim.is_some_and(|known| known.incarnation >= it.vm.incarnation);
            reclaim_noticed || it.vm.state != State::Live
        })
    }

    /// Records the recomputation cost of an attempt that continued a previous one.
    pub(super) fn record_recomputed(&mut self, id: JobId, moved: bool, cached_tokens: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let mut cost = Recompute::default();
        cost.add(moved, prompt_tokens(job) + job.progress.resumed_at(), cached_tokens);
        job.recompute.merge(cost);
        self.recovery.total.merge(cost);
        spdlog::info!("recomputed", kv: {
            job = id.0,
            resumes = job.recompute.resumes,
            moves = job.recompute.moves,
            tokens = job.recompute.tokens,
            tokens_of_all_jobs = self.recovery.total.tokens,
        });
    }

    fn notice_missing(&mut self, cx: CX![], vm: String, incarnation: u64) {
        let target = self.endpoints.get(&vm);
        if target.is_some_and(|it| it.vm.incarnation == incarnation) {
            self.reclaim_noticed(cx, Notice { vm, incarnation, time_left: ASSUMED_NOTICE });
        }
    }

    fn notice_ended(&mut self, cx: CX![], vm: String, incarnation: u64) {
        let target = self.endpoints.get(&vm);
        if target.is_some_and(|it| it.vm.incarnation <= incarnation) {
            self.evacuate(cx, &vm);
        }
    }

    /// Aborts the completions that are still open on an endpoint, so that they are
    /// resumed elsewhere.
    fn evacuate(&mut self, cx: CX![], endpoint: &str) {
        let runs_here = |job: &Job| match &job.stage {
            Stage::Running(it) => {
                it.endpoint == endpoint && self.by_attempt.contains_key(&it.attempt)
            }
            _ => false,
        };
        let chats = self.jobs.iter().filter(|(_, job)| matches!(job.call.body, Body::Chat(_)));
        let open: Vec<JobId> = chats.filter(|(_, job)| runs_here(job)).map(|(id, _)| *id).collect();
        for id in open {
            self.abort(cx, id, Failure::Broken("the endpoint was reclaimed".to_owned()));
        }
    }

    fn schedule_wave(&mut self, cx: CX![]) {
        if !self.recovery.is_wave_scheduled {
            self.recovery.is_wave_scheduled = true;
            after!(WAVE_WINDOW, [cx], plan_wave());
        }
    }

    fn plan_wave(&mut self, cx: CX![]) {
        self.recovery.is_wave_scheduled = false;
        let now = cx.now();
        let streams: Vec<Stream<'_>> =
            self.jobs.iter().filter_map(|(id, job)| self.stream(now, *id, job)).collect();
        let survivors = self.survivors();
        let decisions = recover::plan(&streams, &survivors, self.recovery.rates);
        let mut tasks = Vec::new();
        for decision in &decisions {
            let stream = streams.iter().find(|it| it.job == decision.job);
            let to = match decision.action {
                Action::Move { to } | Action::Resume { to } => to,
                Action::Finish | Action::Wait => "none",
            };
            spdlog::info!("recovered", kv: {
                job = decision.job,
                endpoint = stream.map_or("none", |it| it.endpoint),
                action = decision.action.to_string(),
                to = to,
                reason = decision.reason.to_string(),
                delay_ms = decision.delay_ms as u64,
                recomputed_tokens = decision.recomputed_tokens,
                notice_left_ms = stream.map_or(0, |it| it.notice_left_ms as u64),
            });
            let task = match decision.action {
                Action::Move { to } => Task::Move(to.to_owned()),
                Action::Resume { to } => Task::Resume(to.to_owned()),
                Action::Finish | Action::Wait => continue,
            };
            let delay = Duration::from_millis(decision.delay_ms as u64);
            tasks.push((JobId(decision.job), task, delay));
        }
        for (id, task, delay) in tasks {
            self.schedule(cx, id, task, delay);
        }
    }

    /// Returns the planner's view of a stream whose endpoint is being reclaimed. `None`
    /// for other streams, and for those that already have a plan with a usable
    /// endpoint.
    fn stream<'a>(&'a self, now: Instant, id: JobId, job: &'a Job) -> Option<Stream<'a>> {
        let Body::Chat(chat) = &job.call.body else { return None };
        let Stage::Running(running) = &job.stage else { return None };
        let plan = job.plan.as_ref();
        if plan.is_some_and(|it| !self.is_reclaimed(&it.to)) {
            return None;
        }
        if !self.is_reclaimed(&running.endpoint) {
            return None;
        }
        let reclaim = self.recovery.reclaims.get(&running.endpoint)?;
        let time_left = reclaim.deadline.saturating_duration_since(now);
        let generated = job.progress.len() - job.progress.resumed_at();
        let open_ms = now.saturating_duration_since(running.started_at).as_secs_f64() * 1000.0;
        let token_ms =
            if generated == 0 { DEFAULT_TOKEN_MS } else { open_ms / f64::from(generated) };
        Some(Stream {
            job: id.0,
            endpoint: &running.endpoint,
            service: &job.call.service,
            notice_left_ms: time_left.as_secs_f64() * 1000.0,
            tokens_left: chat.max_tokens.saturating_sub(job.progress.len()),
            token_ms,
            context_tokens: prompt_tokens(job) + job.progress.len(),
            priority: job.service.priority,
            recompute_weight: job.service.recompute_weight,
        })
    }

    fn survivors(&self) -> Vec<Survivor<'_>> {
        let live = self.endpoints.values().filter(|it| !self.is_reclaimed(&it.vm.id));
        live.map(|it| Survivor {
            id: &it.vm.id,
            service: &it.vm.service,
            free_slots: ENDPOINT_SLOTS.saturating_sub(it.in_flight),
            cached: HashMap::new(),
        })
        .collect()
    }

    fn schedule(&mut self, cx: CX![], id: JobId, task: Task, delay: Duration) {
        self.recovery.last_plan_id += 1;
        let plan_id = self.recovery.last_plan_id;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Stage::Running(running) = &job.stage else { return };
        let from = running.attempt;
        match task {
            Task::Move(to) => {
                job.plan = Some(Plan { id: plan_id, to, from });
                after!(delay, [cx], move_kv(id, plan_id));
            }
            Task::Resume(to) => {
                job.plan = Some(Plan { id: plan_id, to, from });
                after!(delay, [cx], switch(id, plan_id, false));
            }
        }
    }

    fn move_kv(&mut self, cx: CX![], id: JobId, plan_id: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(plan) = job.plan.as_ref().filter(|it| it.id == plan_id) else { return };
        let Stage::Running(running) = &job.stage else {
            self.switch(cx, id, plan_id, false);
            return;
        };
        let reclaim = self.recovery.reclaims.get(&running.endpoint);
        let time_left = reclaim.map(|it| it.deadline.saturating_duration_since(cx.now()));
        let from = self.endpoints.get(&running.endpoint).map(|it| it.vm.address.clone());
        let to = self.endpoints.get(&plan.to).map(|it| it.vm.address.clone());
        let (Some(timeout), Some(from), Some(to)) = (time_left, from, to) else {
            self.switch(cx, id, plan_id, false);
            return;
        };
        let context_tokens = prompt_tokens(job) + job.progress.len();
        let transfer = kv::Transfer { request_id: running.request_id.clone(), from, to, timeout };
        let transfers = self.recovery.transfers.clone();
        let sink = move |result: Result<Duration, kv::Error>| {
            transfers.send(Transfer { id, plan_id, context_tokens, result });
        };
        kv::start(transfer, Arc::new(sink));
    }

    fn kv_moved(&mut self, cx: CX![], transfer: Transfer) {
        let Transfer { id, plan_id, context_tokens, result } = transfer;
        match result {
            Ok(took) => {
                let took_ms = took.as_secs_f64() * 1000.0;
                let measured = f64::from(context_tokens) / took_ms.max(1.0);
                let rate = &mut self.recovery.rates.moved_per_ms;
                *rate = *rate * (1.0 - SMOOTHING_FACTOR) + measured * SMOOTHING_FACTOR;
                self.switch(cx, id, plan_id, true);
            }
            Err(error) => {
                spdlog::warn!("KV cache transfer failed", kv: { job = id.0, error = error.to_string() });
                self.switch(cx, id, plan_id, false);
            }
        }
    }

    /// Continues a job at the planned endpoint.
    fn switch(&mut self, cx: CX![], id: JobId, plan_id: u64, moved: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(plan) = job.plan.take_if(|it| it.id == plan_id) else { return };
        match &job.stage {
            Stage::Running(running) if running.attempt == plan.from => {
                running.cancel.cancel();
            }
            Stage::Waiting => {}
            _ => return,
        }
        job.moved = moved;
        if job.state == request::State::Running {
            self.advance(id, request::Event::AttemptLost);
        }
        self.close_running(cx, id);
        let live = !self.is_reclaimed(&plan.to);
        let preferred = live.then_some(plan.to.as_str());
        self.attempt_at(cx, id, preferred);
    }
}

/// A planned action, started after a delay; contains the name of the new endpoint.
enum Task {
    Move(String),
    Resume(String),
}

fn prompt_tokens(job: &Job) -> u32 {
    match &job.call.body {
        Body::Chat(chat) => chat.prompt.len().div_ceil(CHARACTERS_PER_TOKEN) as u32,
        Body::Plain(_) => 0,
    }
}
