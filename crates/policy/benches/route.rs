//! Measures one routing decision on pools of increasing size.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use policy::blocks;
use policy::pool::Pool;
use policy::pool::Query;
use policy::pool::Report;
use policy::route;
use policy::route::Mode;
use policy::route::Pace;
use policy::route::Request;

/// Size of the prompt: 2,048 tokens.
const PROMPT_BYTES: usize = 8192;

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    let prompt = "0123456789abcdef".repeat(PROMPT_BYTES / 16);
    let now = Duration::from_secs(10);
    for size in [16, 500, 3000] {
        let pool = pool(size, now);
        let run = |bencher: &mut criterion::Bencher<'_>| {
            bencher.iter(|| {
                let blocks = blocks::chain(black_box(&prompt));
                let query = Query { blocks: &blocks, name: "assistant", avoid: &[], now };
                let candidates = pool.candidates(&query);
                route::choose(&request(), &candidates).map(|it| it.predicted_ms)
            });
        };
        group.bench_function(BenchmarkId::from_parameter(size), run);
    }
    group.finish();
}

fn pool(size: u32, now: Duration) -> Pool {
    let mut pool = Pool::default();
    let prices = [1.0, 1.3, 0.7, 1.6];
    for number in 0..size {
        let id = format!("vm-{number}");
        pool.set(&id, prices[number as usize % 4], true);
        let report = Report { running: number % 64, waiting: 0, capacity: 64 };
        pool.record_report(&id, report, now);
    }
    pool.refresh();
    pool
}

fn request() -> Request {
    Request {
        mode: Mode::Scored,
        seed: 7,
        prompt_tokens: (PROMPT_BYTES / blocks::BYTES_PER_TOKEN) as u32,
        output_tokens: 200,
        target_ms: 670.0,
        cost_weight: 1.0,
        recompute_weight: 1.0,
        pace: Pace { prefill_ms: 0.1, token_ms: 10.0, hold_ms: 2000.0 },
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
