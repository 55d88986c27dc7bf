//! Prometheus metrics. They can be updated from any thread.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use config::object::Service;
use endpoint::attempt::Failure;
use job::problem::Outcome;
use job::reply::Reply;
use prometheus::Error;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use store::client::Call;

/// Upper bounds of the histogram buckets for the first token, in seconds.
const FIRST_TOKEN_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.67, 1.0, 2.0, 5.0, 10.0, 30.0];
/// Upper bounds of the histogram buckets for the time between tokens, in seconds.
const TOKEN_GAP_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.3, 1.0, 5.0];
/// Upper bounds of the histogram buckets for platform calls, in seconds.
const PLATFORM_CALL_BUCKETS_S: [f64; 8] = [0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

static METRICS: OnceLock<Metrics> = OnceLock::new();

struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    target_checks: IntCounterVec,
    tokens: IntCounterVec,
    recomputed_tokens: IntCounterVec,
    retries: IntCounterVec,
    attempt_failures: IntCounterVec,
    platform_calls: HistogramVec,
    platform_failures: IntCounterVec,
    control_bytes: IntCounter,
    held_leases: IntGauge,
    revision: IntGauge,
    open_requests: IntGauge,
    open_counter: OnceLock<Arc<AtomicUsize>>,
    draining: IntGauge,
}

impl Metrics {
    fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, Error>(counters)
        };
        let histograms = |name: &str, help: &str, labels: &[&str], bounds: &[f64]| {
            let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histograms = HistogramVec::new(opts, labels)?;
            registry.register(Box::new(histograms.clone()))?;
            Ok::<_, Error>(histograms)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        let control_bytes = IntCounter::new(
            "lentilhook_control_sent_bytes_total",
            "Bytes of gossip and configuration sent to other daemons.",
        )?;
        registry.register(Box::new(control_bytes.clone()))?;
        let service: &[&str] = &["service"];
        Ok(Metrics {
            requests: counters(
                "lentilhook_requests_total",
                "Requests answered, by outcome.",
                &["outcome"],
            )?,
            refusals: counters(
                "lentilhook_refusals_total",
                "Requests answered with a problem, by cause.",
                &["cause"],
            )?,
            first_token: histograms(
                "lentilhook_first_token_seconds",
                "Time from accepting a completion to its first token.",
                service,
                &FIRST_TOKEN_BUCKETS_S,
            )?,
            token_gap: histograms(
                "lentilhook_token_gap_seconds",
                "Time between two tokens of a completion.",
                service,
                &TOKEN_GAP_BUCKETS_S,
            )?,
            target_checks: counters(
                "lentilhook_targets_total",
                "First tokens and gaps, by whether the service's target was met.",
                &["service", "target", "met"],
            )?,
            tokens: counters("lentilhook_tokens_total", "Tokens taken from engines.", service)?,
            recomputed_tokens: counters(
                "lentilhook_recomputed_tokens_total",
                "Tokens that later attempts at a completion had to compute again, as predicted.",
                service,
            )?,
            retries: counters(
                "lentilhook_retries_total",
                "Attempts after the first at a request.",
                service,
            )?,
            attempt_failures: counters(
                "lentilhook_attempt_failures_total",
                "Attempts that failed, by cause.",
                &["cause"],
            )?,
            platform_calls: histograms(
                "lentilhook_platform_call_seconds",
                "Time of calls of the platform, by operation.",
                &["operation"],
                &PLATFORM_CALL_BUCKETS_S,
            )?,
            platform_failures: counters(
                "lentilhook_platform_call_failures_total",
                "Calls of the platform that failed, by operation.",
                &["operation"],
            )?,
            control_bytes,
            held_leases: gauge("lentilhook_leases_held", "Shards whose lease the daemon holds.")?,
            revision: gauge("lentilhook_config_revision", "Revision in force.")?,
            open_requests: gauge("lentilhook_open_requests", "Callers' requests being served.")?,
            open_counter: OnceLock::new(),
            draining: gauge("lentilhook_draining", "1 while the daemon shuts down.")?,
            registry,
        })
    }
}

/// Creates and registers the metrics. Until then, updates are ignored. Fails if a
/// metric can't be registered.
pub fn init() -> Result<(), Error> {
    let metrics = Metrics::new()?;
    for outcome in ["done", "not_run", "failed", "unknown"] {
        metrics.requests.with_label_values(&[outcome]);
    }
    let _ = METRICS.set(metrics);
    Ok(())
}

/// Renders all metrics in the Prometheus text format.
pub fn render() -> String {
    let Some(metrics) = METRICS.get() else { return String::new() };
    let previous = metrics.control_bytes.get();
    metrics.control_bytes.inc_by(peer::traffic::control_bytes_sent().saturating_sub(previous));
    let open = metrics.open_counter.get().map_or(0, |it| it.load(Ordering::Acquire));
    metrics.open_requests.set(open as i64);
    TextEncoder::new().encode_to_string(&metrics.registry.gather()).unwrap_or_default()
}

/// Sets the counter from which the number of open requests of callers is read.
pub fn set_open_counter(counter: Arc<AtomicUsize>) {
    with(|it| {
        let _ = it.open_counter.set(counter);
    });
}

/// Sets the number of shard leases that this daemon holds.
pub fn set_leases(held: usize) {
    with(|it| it.held_leases.set(held as i64));
}

/// Sets the revision of the configuration in force.
pub fn set_revision(revision: u64) {
    with(|it| it.revision.set(revision as i64));
}

/// Marks the daemon as shutting down.
pub fn set_draining() {
    with(|it| it.draining.set(1));
}

/// Counts an answered request, given the last part of its answer.
pub fn record_answer(reply: &Reply) {
    let problem = match reply {
        Reply::Problem(problem) => Some(problem),
        _ => None,
    };
    let outcome = match problem.map(|it| it.outcome) {
        None => "done",
        Some(Outcome::NotRun) => "not_run",
        Some(Outcome::Failed) => "failed",
        Some(Outcome::Unknown) => "unknown",
    };
    with(|it| {
        it.requests.with_label_values(&[outcome]).inc();
        if let Some(problem) = problem {
            it.refusals.with_label_values(&[problem.title.as_str()]).inc();
        }
    });
}

/// Counts an attempt if it is a retry. `number` counts the attempts at the request
/// from 1. `uncached` is the number of tokens that the engine is expected to compute.
pub fn record_attempt(service: &str, number: u32, uncached: u32) {
    if number <= 1 {
        return;
    }
    with(|it| {
        it.retries.with_label_values(&[service]).inc();
        it.recomputed_tokens.with_label_values(&[service]).inc_by(u64::from(uncached));
    });
}

/// Counts a failed attempt.
pub fn record_attempt_failure(failure: &Failure) {
    let cause = match failure {
        Failure::NotSent(_) => "not_sent",
        Failure::Refused(_) => "refused",
        Failure::Broken(_) => "broken",
        Failure::Silent(_) => "silent",
        Failure::Died(_) => "died",
    };
    with(|it| it.attempt_failures.with_label_values(&[cause]).inc());
}

/// Records the duration and the result of a platform call.
pub fn record_platform_call(call: &Call) {
    with(|it| {
        let seconds = call.elapsed.as_secs_f64();
        it.platform_calls.with_label_values(&[call.operation]).observe(seconds);
        if !call.succeeded {
            it.platform_failures.with_label_values(&[call.operation]).inc();
        }
    });
}

/// Measures the token times of one completion.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    last_token_at: Option<Instant>,
}

impl Timing {
    /// Records a token of a completion that this daemon received at `received_at`.
    pub fn record_token(&mut self, service: &Service, received_at: Instant, now: Instant) {
        let (since, target_ms) = match self.last_token_at {
            None => (received_at, service.first_token_target_ms),
            Some(last) => (last, service.token_target_ms),
        };
        let elapsed = now.saturating_duration_since(since);
        let is_met = target_ms == 0 || elapsed <= Duration::from_millis(target_ms);
        let name = service.name.as_str();
        with(|it| {
            let (histograms, target) = match self.last_token_at {
                None => (&it.first_token, "first_token"),
                Some(_) => (&it.token_gap, "token_gap"),
            };
            histograms.with_label_values(&[name]).observe(elapsed.as_secs_f64());
            let met = if is_met { "true" } else { "false" };
            it.target_checks.with_label_values(&[name, target, met]).inc();
            it.tokens.with_label_values(&[name]).inc();
        });
        self.last_token_at = Some(now);
    }
}

/// Updates the metrics if they exist.
fn with(update: impl FnOnce(&Metrics)) {
    if let Some(metrics) = METRICS.get() {
        update(metrics);
    }
}
