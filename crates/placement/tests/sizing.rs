//! Sizing rules on one queue: what each costs when 95 in 100 requests begin
//! within the target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use placement::size::Demand;
use placement::size::Rule;
use placement::size::vms_needed;

/// Sequences that a VM runs at once.
const SLOTS: u32 = 16;
/// Mean time of a sequence, in milliseconds.
const SEQUENCE_MS: f64 = 12_000.0;
/// Time to compute a prompt on an idle VM.
const PREFILL: Duration = Duration::from_millis(200);
const TARGET: Duration = Duration::from_millis(670);
/// Time from an order to a VM that runs, in milliseconds.
const START_MS: u64 = 45_000;
const ROUND_MS: u64 = 5_000;
/// Weight of a round in the smoothed load; a minute in all.
const SMOOTHING: f64 = 1.0 / 12.0;
const DAY_MS: u64 = 40 * 60_000;
const SEEDS: [u64; 3] = [11, 12, 13];

/// Cost and share of requests that began in time.
#[derive(Clone, Copy, Debug)]
struct Ran {
    vm_hours: f64,
    in_time: f64,
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

/// The cheapest setting of a rule by which 95 in 100 begin in time.
fn cheapest(rate: f64, seed: u64, rule: &dyn Fn(u32) -> Rule) -> Option<Ran> {
    let settings = (10..=150).step_by(5);
    let ran = settings.map(|percent| run(rate, seed, rule(percent)));
    let met = ran.filter(|it| it.in_time >= 0.95);
    met.min_by(|one, other| one.vm_hours.total_cmp(&other.vm_hours))
}

fn run(rate: f64, seed: u64, rule: Rule) -> Ran {
    let arrivals = arrivals(rate, seed);
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut waiting: std::collections::VecDeque<(u64, u64)> = Default::default();
    let mut starting: Vec<u64> = Vec::new();
    let mut vms = vms_needed(rule, &demand(rate * SEQUENCE_MS / 1000.0, rate), SLOTS).max(1);
    let (mut in_time, mut vm_ms, mut next) = (0_u32, 0_u64, 0);
    let (mut smooth_system, mut smooth_rate) = (rate * SEQUENCE_MS / 1000.0, rate);
    let mut counted = 0;
    for now in (0..DAY_MS).step_by(10) {
        while next < arrivals.len() && arrivals[next].0 <= now {
            waiting.push_back(arrivals[next]);
            next += 1;
        }
        while ends.peek().is_some_and(|end| end.0 <= now) {
            ends.pop();
        }
        while ends.len() < (vms * SLOTS) as usize
            && let Some((arrived, length)) = waiting.pop_front()
        {
            let limit = (TARGET - PREFILL).as_millis() as u64;
            in_time += u32::from(now - arrived <= limit);
            ends.push(Reverse(now + length));
        }
        if now % ROUND_MS == 0 {
            let ready = starting.iter().filter(|at| **at <= now).count();
            starting.retain(|at| *at > now);
            vms += ready as u32;
            let in_system = (ends.len() + waiting.len()) as f64;
            smooth_system += (in_system - smooth_system) * SMOOTHING;
            let arrived = (next - counted) as f64 * 1000.0 / ROUND_MS as f64;
            counted = next;
            smooth_rate += (arrived - smooth_rate) * SMOOTHING;
            let load = demand(smooth_system.max(in_system), smooth_rate);
            let wanted = vms_needed(rule, &load, SLOTS).max(1);
            let there = vms + starting.len() as u32;
            let idle = vms.saturating_sub((ends.len() as u32).div_ceil(SLOTS));
            (there..wanted).for_each(|_| starting.push(now + START_MS));
            vms -= there.saturating_sub(wanted).min(1).min(idle);
            vm_ms += u64::from(vms + starting.len() as u32) * ROUND_MS;
        }
    }
    let vm_hours = vm_ms as f64 / 3_600_000.0;
    Ran { vm_hours, in_time: f64::from(in_time) / arrivals.len() as f64 }
}

fn demand(in_system: f64, rate: f64) -> Demand {
    let begun_per_second = 1.0 / PREFILL.as_secs_f64();
    Demand { in_system, arrivals_per_second: rate, begun_per_second }
}

/// Arrival times and lengths over a compressed day with a morning peak.
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
