//! Compares the cost of the sizing rules on a simulated queue, each with the
//! cheapest setting by which 95% of the requests begin within the target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use placement::size::Demand;
use placement::size::Rule;
use placement::size::vms_needed;

/// Concurrent sequences per VM.
const SLOTS: u32 = 16;
/// Mean duration of a sequence, in milliseconds.
const SEQUENCE_MS: f64 = 12_000.0;
/// Prefill time on an idle VM.
const PREFILL: Duration = Duration::from_millis(200);
const TARGET: Duration = Duration::from_millis(670);
/// Time from an order until the VM runs, in milliseconds.
const START_MS: u64 = 45_000;
const ROUND_MS: u64 = 5_000;
/// Weight of a round in the exponentially weighted load; averages over about a
/// minute.
const SMOOTHING: f64 = 1.0 / 12.0;
const DAY_MS: u64 = 40 * 60_000;
const SEEDS: [u64; 3] = [11, 12, 13];

/// Cost of a simulation, and the share of requests that began within the target.
#[derive(Clone, Copy, Debug)]
struct Summary {
    vm_hours: f64,
    on_time: f64,
}

#[test]
fn square_root_staffing_costs_no_more_than_headroom() {
    let guard = |percent: u32| Rule::Queue { target: TARGET, guard: f64::from(percent) / 100.0 };
    let share = |percent: u32| Rule::Headroom { share: f64::from(percent) / 100.0 };
    let factor = |percent: u32| Rule::SquareRoot { factor: f64::from(percent) / 25.0 };
    for (name, rate) in [("small", 2.0), ("large", 24.0)] {
        let cost = |rule: &dyn Fn(u32) -> Rule| {
            SEEDS.map(|seed| cheapest(rate, seed, rule).map(|it| it.vm_hours))
        };

        let (headroom, root, queue) = (cost(&share), cost(&factor), cost(&guard));

        println!("{name}: headroom {headroom:.2?}, square root {root:.2?}, queue {queue:.2?}");
        assert!(headroom.iter().chain(&root).all(Option::is_some), "{name}");
        let pairs = root.iter().flatten().zip(headroom.iter().flatten());
        assert!(pairs.clone().map(|(a, b)| a / b).sum::<f64>() / 3.0 < 1.05, "{name}");
    }
}

/// Returns the cheapest setting of a rule by which 95% of the requests begin within
/// the target.
fn cheapest(rate: f64, seed: u64, rule: &dyn Fn(u32) -> Rule) -> Option<Summary> {
    let settings = (10..=150).step_by(5);
    let summaries = settings.map(|percent| simulate(rate, seed, rule(percent)));
    let on_target = summaries.filter(|it| it.on_time >= 0.95);
    on_target.min_by(|left, right| left.vm_hours.total_cmp(&right.vm_hours))
}

fn simulate(rate: f64, seed: u64, rule: Rule) -> Summary {
    let arrivals = arrivals(rate, seed);
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut queue: VecDeque<(u64, u64)> = VecDeque::new();
    let mut starting: Vec<u64> = Vec::new();
    let mut vms = vms_needed(rule, &demand(rate * SEQUENCE_MS / 1000.0, rate), SLOTS).max(1);
    let (mut on_time, mut vm_ms, mut next) = (0_u32, 0_u64, 0);
    let (mut mean_in_system, mut mean_rate) = (rate * SEQUENCE_MS / 1000.0, rate);
    let mut counted = 0;
    for now in (0..DAY_MS).step_by(10) {
        while next < arrivals.len() && arrivals[next].0 <= now {
            queue.push_back(arrivals[next]);
            next += 1;
        }
        while ends.peek().is_some_and(|end| end.0 <= now) {
            ends.pop();
        }
        while ends.len() < (vms * SLOTS) as usize
            && let Some((arrived, length)) = queue.pop_front()
        {
            let limit = (TARGET - PREFILL).as_millis() as u64;
            on_time += u32::from(now - arrived <= limit);
            ends.push(Reverse(now + length));
        }
        if now % ROUND_MS == 0 {
            let ready = starting.iter().filter(|at| **at <= now).count();
            starting.retain(|at| *at > now);
            vms += ready as u32;
            let in_system = (ends.len() + queue.len()) as f64;
            mean_in_system += (in_system - mean_in_system) * SMOOTHING;
            let arrived = (next - counted) as f64 * 1000.0 / ROUND_MS as f64;
            counted = next;
            mean_rate += (arrived - mean_rate) * SMOOTHING;
            let load = demand(mean_in_system.max(in_system), mean_rate);
            let target = vms_needed(rule, &load, SLOTS).max(1);
            let current = vms + starting.len() as u32;
            let idle = vms.saturating_sub((ends.len() as u32).div_ceil(SLOTS));
            (current..target).for_each(|_| starting.push(now + START_MS));
            vms -= current.saturating_sub(target).min(1).min(idle);
            vm_ms += u64::from(vms + starting.len() as u32) * ROUND_MS;
        }
    }
    let vm_hours = vm_ms as f64 / 3_600_000.0;
    Summary { vm_hours, on_time: f64::from(on_time) / arrivals.len() as f64 }
}

fn demand(in_system: f64, rate: f64) -> Demand {
    let starts_per_second = 1.0 / PREFILL.as_secs_f64();
    Demand { in_system, arrivals_per_second: rate, starts_per_second }
}

/// Generates arrival times and durations, in milliseconds, over a compressed day
/// with a morning peak.
fn arrivals(rate: f64, seed: u64) -> Vec<(u64, u64)> {
    let mut state = seed;
    let bytes: Vec<u8> = std::iter::repeat_with(|| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) as u8
    })
    .take(2 << 20)
    .collect();
    let mut random = Unstructured::new(&bytes);
    let mut unit = || f64::from(random.int_in_range(1..=65_535_u32).unwrap_or(1)) / 65_536.0;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < DAY_MS as f64 {
        let phase = at / DAY_MS as f64 * std::f64::consts::TAU;
        let rate_now = rate * (1.0 + 0.5 * phase.sin());
        at -= unit().ln() / rate_now * 1000.0;
        arrivals.push((at as u64, (-unit().ln() * SEQUENCE_MS) as u64));
    }
    arrivals
}
