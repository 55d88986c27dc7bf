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

/// Time for which notices are collected into a wave.
const WAVE_WINDOW: Duration = Duration::from_millis(100);
/// Longest wait for the notice of an endpoint that is known to be leaving.
const NOTICE_WAIT: Duration = Duration::from_millis(1500);
/// Time to the reclaim that is assumed when no notice came.
const ASSUMED_NOTICE: Duration = Duration::from_secs(2);
/// Time before the reclaim at which what is still there is resumed elsewhere.
const LAST_CALL: Duration = Duration::from_millis(100);
/// Sequences that an endpoint runs at once.
const SLOTS: u32 = 64;
/// Characters of a prompt that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Time between two tokens before any was seen, in milliseconds.
const TOKEN_MS: f64 = 30.0;
/// Rates assumed before any was measured.
const RATES: Rates = Rates { computed_per_ms: 10.0, moved_per_ms: 50.0 };
/// Part of a new measurement in a rate.
const RATE_SHARE: f64 = 0.3;

/// A reclaim notice of an endpoint.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation that will be reclaimed.
    pub incarnation: u64,
    /// Time left.
    pub left: Duration,
}

/// What is known of coming reclaims and of what recovery costs.
pub struct Recovery {
    reclaims: HashMap<String, Reclaim>,
    wave_due: bool,
    plans: u64,
    rates: Rates,
    total: Recompute,
    moves: Channel<Moved>,
    _guard: ChannelGuard,
}

struct Reclaim {
    incarnation: u64,
    at: Instant,
}

/// A planned change of endpoint.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Number of the plan; an older one is void.
    pub plan: u64,
    /// Survivor.
    pub to: String,
    /// Attempt that is left.
    pub from: AttemptId,
}

/// The end of a move of a KV cache.
struct Moved {
    id: JobId,
    plan: u64,
    context_tokens: u32,
    result: Result<Duration, kv::Error>,
}

impl Recovery {
    /// Starts with nothing to recover.
    pub fn new(cx: CX![Dispatch]) -> Recovery {
        let forward = fwd_to!([cx], kv_moved() as (Moved));
        let (moves, guard) = Channel::new(cx, forward);
        Recovery {
            reclaims: HashMap::new(),
            wave_due: false,
            plans: 0,
            rates: RATES,
            total: Recompute::default(),
            moves,
            _guard: guard,
        }
    }
}

impl Dispatch {
    /// An endpoint will be reclaimed.
    pub fn noticed(&mut self, cx: CX![], notice: Notice) {
        let Notice { vm, incarnation, left } = notice;
        let known = self.recovery.reclaims.get(&vm);
        if known.is_some_and(|it| it.incarnation >= incarnation) {
            return;
        }
        let at = cx.now() + left;
        self.recovery.reclaims.insert(vm.clone(), Reclaim { incarnation, at });
        let last_call = left.saturating_sub(LAST_CALL);
        after!(last_call, [cx], notice_ended(vm, incarnation));
        self.plan_soon(cx);
    }

    /// An endpoint takes no new work from now on.
    pub(super) fn endpoint_leaves(&mut self, cx: CX![], vm: &Vm) {
        match vm.state {
            State::Live => {}
            State::Leaving => {
                let (id, incarnation) = (vm.id.clone(), vm.incarnation);
                after!(NOTICE_WAIT, [cx], notice_missing(id, incarnation));
            }
            State::Gone => self.leave_endpoint(cx, &vm.id),
        }
    }

    /// Whether a reclaim of this incarnation was announced.
    pub(super) fn is_reclaimed(&self, endpoint: &str) -> bool {
        let target = self.endpoints.get(endpoint);
        target.is_some_and(|it| {
            let reclaim = self.recovery.reclaims.get(endpoint);
            let noticed = reclaim.is_some_and(|known| known.incarnation >= it.vm.incarnation);
            noticed || it.vm.state != State::Live
        })
    }

    /// Counts the cost of an attempt that went on after another one.
    pub(super) fn count_recomputed(&mut self, id: JobId, moved: bool, cached_tokens: u32) {
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
            self.noticed(cx, Notice { vm, incarnation, left: ASSUMED_NOTICE });
        }
    }

    fn notice_ended(&mut self, cx: CX![], vm: String, incarnation: u64) {
        let target = self.endpoints.get(&vm);
        if target.is_some_and(|it| it.vm.incarnation <= incarnation) {
            self.leave_endpoint(cx, &vm);
        }
    }

    /// Resumes elsewhere what is still open on an endpoint.
    fn leave_endpoint(&mut self, cx: CX![], endpoint: &str) {
        let on_it = |job: &Job| match &job.stage {
            Stage::Running(it) => {
                it.endpoint == endpoint && self.by_attempt.contains_key(&it.attempt)
            }
            _ => false,
        };
        let chats = self.jobs.iter().filter(|(_, job)| matches!(job.call.body, Body::Chat(_)));
        let left: Vec<JobId> = chats.filter(|(_, job)| on_it(job)).map(|(id, _)| *id).collect();
        for id in left {
            self.leave(cx, id, Failure::Broken("the endpoint was reclaimed".to_owned()));
        }
    }

    fn plan_soon(&mut self, cx: CX![]) {
        if !self.recovery.wave_due {
            self.recovery.wave_due = true;
            after!(WAVE_WINDOW, [cx], plan_wave());
        }
    }

    fn plan_wave(&mut self, cx: CX![]) {
        self.recovery.wave_due = false;
        let now = cx.now();
        let streams: Vec<Stream<'_>> =
            self.jobs.iter().filter_map(|(id, job)| self.stream(now, *id, job)).collect();
        let survivors = self.survivors();
        let decisions = recover::plan(&streams, &survivors, self.recovery.rates);
        let mut begun = Vec::new();
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
            let begin = match decision.action {
                Action::Move { to } => Begin::Move(to.to_owned()),
                Action::Resume { to } => Begin::Resume(to.to_owned()),
                Action::Finish | Action::Wait => continue,
            };
            let delay = Duration::from_millis(decision.delay_ms as u64);
            begun.push((JobId(decision.job), begin, delay));
        }
        for (id, begin, delay) in begun {
            self.begin(cx, id, begin, delay);
        }
    }

    /// The view of a stream that has to leave its endpoint, or whose planned
    /// one leaves as well.
    fn stream<'a>(&'a self, now: Instant, id: JobId, job: &'a Job) -> Option<Stream<'a>> {
        let Body::Chat(chat) = &job.call.body else { return None };
        let Stage::Running(running) = &job.stage else { return None };
        let planned = job.planned.as_ref();
        if planned.is_some_and(|it| !self.is_reclaimed(&it.to)) {
            return None;
        }
        if !self.is_reclaimed(&running.endpoint) {
            return None;
        }
        let reclaim = self.recovery.reclaims.get(&running.endpoint)?;
        let left = reclaim.at.saturating_duration_since(now);
        let generated = job.progress.len() - job.progress.resumed_at();
        let open_ms = now.saturating_duration_since(running.since).as_secs_f64() * 1000.0;
        let token_ms = if generated == 0 { TOKEN_MS } else { open_ms / f64::from(generated) };
        Some(Stream {
            job: id.0,
            endpoint: &running.endpoint,
            service: &job.call.service,
            notice_left_ms: left.as_secs_f64() * 1000.0,
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
            free_slots: SLOTS.saturating_sub(it.in_flight),
            cached: HashMap::new(),
        })
        .collect()
    }

    fn begin(&mut self, cx: CX![], id: JobId, begin: Begin, delay: Duration) {
        self.recovery.plans += 1;
        let plan = self.recovery.plans;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Stage::Running(running) = &job.stage else { return };
        let from = running.attempt;
        match begin {
            Begin::Move(to) => {
                job.planned = Some(Planned { plan, to, from });
                after!(delay, [cx], move_kv(id, plan));
            }
            Begin::Resume(to) => {
                job.planned = Some(Planned { plan, to, from });
                after!(delay, [cx], switch(id, plan, false));
            }
        }
    }

    fn move_kv(&mut self, cx: CX![], id: JobId, plan: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(planned) = job.planned.as_ref().filter(|it| it.plan == plan) else { return };
        let Stage::Running(running) = &job.stage else {
            self.switch(cx, id, plan, false);
            return;
        };
        let reclaim = self.recovery.reclaims.get(&running.endpoint);
        let left = reclaim.map(|it| it.at.saturating_duration_since(cx.now()));
        let from = self.endpoints.get(&running.endpoint).map(|it| it.vm.address.clone());
        let to = self.endpoints.get(&planned.to).map(|it| it.vm.address.clone());
        let (Some(timeout), Some(from), Some(to)) = (left, from, to) else {
            self.switch(cx, id, plan, false);
            return;
        };
        let context_tokens = prompt_tokens(job) + job.progress.len();
        let order = kv::Transfer { request_id: running.request.clone(), from, to, timeout };
        let moves = self.recovery.moves.clone();
        let sink = move |result: Result<Duration, kv::Error>| {
            moves.send(Moved { id, plan, context_tokens, result });
        };
        kv::start(order, Arc::new(sink));
    }

    fn kv_moved(&mut self, cx: CX![], moved: Moved) {
        let Moved { id, plan, context_tokens, result } = moved;
        match result {
            Ok(took) => {
                let took_ms = took.as_secs_f64() * 1000.0;
                let measured = f64::from(context_tokens) / took_ms.max(1.0);
                let rate = &mut self.recovery.rates.moved_per_ms;
                *rate = *rate * (1.0 - RATE_SHARE) + measured * RATE_SHARE;
                self.switch(cx, id, plan, true);
            }
            Err(error) => {
                spdlog::warn!("move failed", kv: { job = id.0, error = error.to_string() });
                self.switch(cx, id, plan, false);
            }
        }
    }

    /// Goes on at the planned endpoint.
    fn switch(&mut self, cx: CX![], id: JobId, plan: u64, moved: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(planned) = job.planned.take_if(|it| it.plan == plan) else { return };
        match &job.stage {
            Stage::Running(running) if running.attempt == planned.from => {
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
        let live = !self.is_reclaimed(&planned.to);
        let preferred = live.then_some(planned.to.as_str());
        self.attempt_at(cx, id, preferred);
    }
}

/// What is begun after a delay.
enum Begin {
    Move(String),
    Resume(String),
}

fn prompt_tokens(job: &Job) -> u32 {
    match &job.call.body {
        Body::Chat(chat) => chat.prompt.len().div_ceil(CHARACTERS_PER_TOKEN) as u32,
        Body::Plain(_) => 0,
    }
}
