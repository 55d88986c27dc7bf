//! Prometheus metrics of the daemon.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 11] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.67, 1.0, 2.0, 4.0, 8.0, 16.0];

static METRICS: OnceLock<Option<Metrics>> = OnceLock::new();

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

struct Metrics {
    registry: Registry,
    counters: IntCounterVec,
    durations: HistogramVec,
    states: IntGaugeVec,
}

impl Metrics {
    fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counters = IntCounterVec::new(
            Opts::new("lentilhook_front_total", "Events by what happened and its cause"),
            &["event", "cause"],
        )?;
        let durations = HistogramVec::new(
            HistogramOpts::new("lentilhook_front_seconds", "Times by what was measured")
                .buckets(BUCKETS_S.to_vec()),
            &["what", "route"],
        )?;
        let states =
            IntGaugeVec::new(Opts::new("lentilhook_front_state", "States by name"), &["name"])?;
        registry.register(Box::new(counters.clone()))?;
        registry.register(Box::new(durations.clone()))?;
        registry.register(Box::new(states.clone()))?;
        Ok(Metrics { registry, counters, durations, states })
    }
}

/// Increments the counter of an event.
pub fn count(event: &str, cause: &str) {
    if let Some(metrics) = metrics() {
        metrics.counters.with_label_values(&[event, cause]).inc();
    }
}

/// Adds to the counter of an event.
pub fn count_many(event: &str, cause: &str, number: u64) {
    if let Some(metrics) = metrics().filter(|_| number > 0) {
        metrics.counters.with_label_values(&[event, cause]).inc_by(number);
    }
}

/// Counts a log line that was dropped because the reader of the log is too slow.
pub fn record_dropped_line() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    count("log_line", "dropped");
}

/// Returns the number of log lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Records a duration in the histogram.
pub fn observe(what: &str, route: &str, duration: Duration) {
    if let Some(metrics) = metrics() {
        metrics.durations.with_label_values(&[what, route]).observe(duration.as_secs_f64());
    }
}

/// Sets a state gauge.
pub fn set_state(name: &str, value: i64) {
    if let Some(metrics) = metrics() {
        metrics.states.with_label_values(&[name]).set(value);
    }
}

/// Encodes all metrics in the Prometheus text format.
pub fn encode() -> String {
    let Some(metrics) = metrics() else { return String::new() };
    let families = metrics.registry.gather();
    TextEncoder::new().encode_to_string(&families).unwrap_or_else(|error| {
        spdlog::error!("failed to encode the metrics", kv: { cause = error.to_string() });
        String::new()
    })
}

fn metrics() -> Option<&'static Metrics> {
    let registered = METRICS.get_or_init(|| {
        Metrics::new()
            .inspect_err(|error| {
                spdlog::error!("failed to register the metrics", kv: { cause = error.to_string() });
            })
            .ok()
    });
    registered.as_ref()
}
