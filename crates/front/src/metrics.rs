//! Counters and histograms in the form of Prometheus.

use std::sync::OnceLock;
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
