//! Counters and histograms in the form of Prometheus.

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

/// Upper bounds of times, in seconds.
const SECONDS: [f64; 11] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.67, 1.0, 2.0, 4.0, 8.0, 16.0];

static METRICS: OnceLock<Option<Metrics>> = OnceLock::new();

static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);

struct Metrics {
    registry: Registry,
    counters: IntCounterVec,
    times: HistogramVec,
    states: IntGaugeVec,
}

impl Metrics {
    fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counters = IntCounterVec::new(
            Opts::new("lentilhook_front_total", "Events by what happened and its cause"),
            &["event", "cause"],
        )?;
        let times = HistogramVec::new(
            HistogramOpts::new("lentilhook_front_seconds", "Times by what was measured")
                .buckets(SECONDS.to_vec()),
            &["what", "route"],
        )?;
        let states =
            IntGaugeVec::new(Opts::new("lentilhook_front_state", "States by name"), &["name"])?;
        registry.register(Box::new(counters.clone()))?;
        registry.register(Box::new(times.clone()))?;
        registry.register(Box::new(states.clone()))?;
        Ok(Metrics { registry, counters, times, states })
    }
}

/// Counts an event.
pub fn count(event: &str, cause: &str) {
    if let Some(metrics) = metrics() {
        metrics.counters.with_label_values(&[event, cause]).inc();
    }
}

/// Counts a log line that was dropped as nobody read those before it.
pub fn line_dropped() {
    LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
    count("log_line", "dropped");
}

/// Log lines dropped since the start.
pub fn lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Notes a time.
pub fn time(what: &str, route: &str, time: Duration) {
    if let Some(metrics) = metrics() {
        metrics.times.with_label_values(&[what, route]).observe(time.as_secs_f64());
    }
}

/// Sets a state.
pub fn state(name: &str, value: i64) {
    if let Some(metrics) = metrics() {
        metrics.states.with_label_values(&[name]).set(value);
    }
}

/// All metrics as text.
pub fn text() -> String {
    let Some(metrics) = metrics() else { return String::new() };
    let families = metrics.registry.gather();
    TextEncoder::new().encode_to_string(&families).unwrap_or_else(|error| {
        spdlog::error!("metrics can't be encoded", kv: { cause = error.to_string() });
        String::new()
    })
}

fn metrics() -> Option<&'static Metrics> {
    let made = METRICS.get_or_init(|| {
        Metrics::new()
            .inspect_err(|error| {
                spdlog::error!("metrics clash", kv: { cause = error.to_string() });
            })
            .ok()
    });
    made.as_ref()
}
