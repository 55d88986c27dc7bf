//! Who gets the units of a workspace that asks for more than its limit, when, and how many in
//! all.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use quota::scarcity::Request;
use quota::workspace::Bucket;
use quota::workspace::Limit;
use quota::workspace::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const STEP: Duration = Duration::from_millis(10);
const LARGE: Request = Request { rank: 2, kind: 1, units: 17_000.0 };
const MEDIUM: Request = Request { rank: 1, kind: 2, units: 9_200.0 };
const SMALL: Request = Request { rank: 0, kind: 3, units: 1_800.0 };
const TINY: Request = Request { rank: 1, kind: 4, units: 200.0 };
const MIX: [(Request, f64); 4] = [(LARGE, 0.35), (MEDIUM, 0.21), (SMALL, 0.24), (TINY, 0.2)];

/// Time after which a load that has changed is known to all daemons and earlier debts are paid.
const SETTLED_S: f64 = 10.0;

/// Load on daemons that share a limit, in phases.
#[derive(Clone, Copy)]
struct Load {
    daemons: usize,
    limit: Limit,
    /// Daemons that get requests.
    loaded: usize,
    /// Whether rank and size count, rather than the order of arrival.
    is_ranked: bool,
    /// Units asked for per second, as a multiple of the rate, from each second on.
    demand: &'static [(f64, f64)],
    until_s: f64,
}

/// Guards against a workspace at seven times its limit whose units went to the first to ask: all
/// kinds were admitted alike, 0.17 of the most urgent and smallest requests.
#[test]
fn most_urgent_and_smallest_requests_go_first() {
    for seed in 1..4 {
        let outcome = simulate(&contended(&[(0.0, 0.6), (4.0, 7.0)]), seed);

        let served = |of: Request| outcome.served(Some(of), SETTLED_S);
        let all = outcome.served(None, SETTLED_S);
        assert!(served(SMALL) > 0.8, "seed {seed}: {:.3} of small", served(SMALL));
        assert!(served(TINY) > served(MEDIUM), "seed {seed}: {:.3} of tiny", served(TINY));
        for it in [LARGE, MEDIUM, SMALL, TINY] {
            let ratio = served(it) / all;
            assert!(ratio >= 0.25, "seed {seed}: {it:?} at {ratio:.3} of all");
        }
    }
}

#[test]
fn units_are_spent_evenly_while_they_are_short() {
    let check = |demand: &'static [(f64, f64)]| {
        for seed in 1..4 {
            let load = contended(demand);

            let outcome = simulate(&load, seed);

            let seconds = outcome.by_second();
            let rates = seconds[SETTLED_S as usize..].iter().map(|it| it / load.limit.rate);
            let rates: Vec<f64> = rates.collect();
            let mean = rates.iter().sum::<f64>() / rates.len() as f64;
            assert!(rates.iter().all(|it| (0.6..1.4).contains(it)), "seed {seed}: {rates:?}");
            assert!(mean > 0.9, "seed {seed}: {rates:?}");
        }
    };

    check(&[(0.0, 0.6), (4.0, 7.0)]);
    check(&[(0.0, 0.6), (4.0, 3.0)]);
}

/// Guards against units that are left unused because only some daemons get requests.
#[test]
fn few_daemons_use_as_much_as_in_order_of_arrival() {
    let load = Load { loaded: 7, ..contended(&[(0.0, 0.6), (4.0, 3.0)]) };
    let arrival = Load { is_ranked: false, ..load };

    let [ranked, unranked] = [load, arrival].map(|it| {
        let seconds = simulate(&it, 1).by_second();
        seconds[SETTLED_S as usize..].iter().sum::<f64>()
    });

    assert!(ranked > 0.95 * unranked, "{ranked} and {unranked}");
}

/// A load below the limit is not taken for scarcity.
#[test]
fn no_request_of_a_workspace_below_its_limit_is_outranked() {
    let check = |rate: f64, demand: &'static [(f64, f64)]| {
        let limit = Limit { rate, burst: rate };
        for seed in 1..3 {
            let load =
                Load { daemons: 67, limit, loaded: 67, is_ranked: true, demand, until_s: 40.0 };

            let outcome = simulate(&load, seed);

            let outranked = outcome.reasons.get("outranked").copied().unwrap_or(0);
            let asked = outcome.tries.len();
            assert!(outranked * 200 <= asked, "{outranked} of {asked}, rate {rate}, {demand:?}");
        }
    };

    check(140_000.0, &[(0.0, 0.55)]);
    check(140_000.0, &[(0.0, 0.75)]);
    check(300_000.0, &[(0.0, 0.75)]);
    check(1_590_000.0, &[(0.0, 0.55), (5.0, 0.9)]);
}

fn contended(demand: &'static [(f64, f64)]) -> Load {
    let limit = Limit { rate: 1_590_000.0, burst: 1_590_000.0 };
    Load { daemons: 67, limit, loaded: 67, is_ranked: true, demand, until_s: 20.0 }
}

/// What was asked for and what was admitted, with times in seconds.
#[derive(Default)]
struct Outcome {
    tries: Vec<(f64, Request, bool)>,
    reasons: BTreeMap<&'static str, usize>,
}

impl Outcome {
    /// Returns the fraction of requests, or of those of one kind, that were admitted from a time
    /// on.
    fn served(&self, of: Option<Request>, from_s: f64) -> f64 {
        let is_counted = |it: &Request| of.is_none_or(|of| of == *it);
        let tries = self.tries.iter().filter(|(at, it, _)| *at >= from_s && is_counted(it));
        let (asked, admitted) =
            tries.fold((0, 0), |(asked, sum), it| (asked + 1, sum + u32::from(it.2)));
        f64::from(admitted) / f64::from(asked.max(1))
    }

    fn by_second(&self) -> Vec<f64> {
        let mut seconds = Vec::new();
        for (at, request, _) in self.tries.iter().filter(|it| it.2) {
            let second = *at as usize;
            seconds.resize(seconds.len().max(second + 1), 0.0);
            seconds[second] += request.units;
        }
        seconds
    }
}

fn simulate(load: &Load, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut buckets: Vec<Bucket> = (0..load.daemons).map(|it| bucket(load, it, start)).collect();
    let mut outcome = Outcome::default();
    let mean: f64 = MIX.iter().map(|(it, part)| it.units * part).sum();
    let steps = (load.until_s / STEP.as_secs_f64()) as u32;
    for step in 0..steps {
        let now = start + STEP * step;
        let at = f64::from(step) * STEP.as_secs_f64();
        let demand = load.demand.iter().rfind(|(from, _)| *from <= at).map_or(0.0, |it| it.1);
        let due = demand * load.limit.rate / mean * STEP.as_secs_f64();
        for _ in 0..due as u32 + u32::from(rng.random_bool(due.fract())) {
            let request = pick(&mut rng);
            let target = rng.random_range(0..load.loaded);
            let is_admitted = if load.is_ranked {
                let result = buckets[target].admit(&request, now);
                if let Err(it) = result {
                    *outcome.reasons.entry(it.reason.name()).or_default() += 1;
                }
                result.is_ok()
            } else {
                buckets[target].take(request.units, now).is_ok()
            };
            outcome.tries.push((at, request, is_admitted));
        }
        gossip(&mut buckets, step, now, &mut rng);
    }
    outcome
}

fn bucket(load: &Load, index: usize, now: Instant) -> Bucket {
    let mut bucket = Bucket::new(load.limit, now);
    let rounds = (load.daemons - 1).div_ceil(7).max(1) as u32;
    bucket.set_report_timeout(match rounds {
        1 => Duration::from_millis(1_500),
        _ => Duration::from_millis(500) * (rounds + 3),
    });
    bucket.set_daemons(Some(load.daemons), now);
    bucket.set_phase(index as f64 / load.daemons as f64);
    bucket
}

fn pick(rng: &mut SmallRng) -> Request {
    let mut rest = rng.random::<f64>();
    for (request, part) in MIX {
        rest -= part;
        if rest < 0.0 {
            return request;
        }
    }
    TINY
}

/// Sends reports of daemons to seven random peers, at the intervals that the daemons use for
/// fleets of this size.
fn gossip(buckets: &mut [Bucket], step: u32, now: Instant, rng: &mut SmallRng) {
    let interval = if buckets.len() > 8 { 25 } else { 10 };
    for sender in 0..buckets.len() {
        if !(step + sender as u32).is_multiple_of(interval) {
            continue;
        }
        let bucket = &buckets[sender];
        let level = bucket.known_level();
        let report = Report { admitted: bucket.admitted(), level, age: Duration::MAX };
        for _ in 0..7 {
            let receiver = rng.random_range(0..buckets.len());
            if receiver != sender {
                buckets[receiver].merge_remote(&sender.to_string(), &report, now);
            }
        }
    }
}

/// Guards against a division by nothing: callers choose the sizes that they state.
#[test]
fn requests_of_odd_sizes_change_nothing_for_others() {
    let now = Instant::now();
    let rate = 10_000.0;
    let mut bucket = Bucket::new(Limit { rate, burst: rate }, now);
    let mut admitted = 0.0;

    for step in 1..2_000u32 {
        let at = now + STEP * step;
        for units in [0.0, 1.0, 1e9, f64::from(u32::MAX) * 2.0] {
            let odd = Request { units, ..LARGE };
            if let Err(rejection) = bucket.admit(&odd, at) {
                assert!(rejection.wait > Duration::ZERO, "{units}: {rejection:?}");
            }
        }
        admitted += bucket.admit(&TINY, at).map_or(0.0, |()| TINY.units);
    }

    let elapsed_s = (STEP * 2_000).as_secs_f64();
    assert!(admitted > 0.0, "none of {} asked", elapsed_s / STEP.as_secs_f64());
    assert!(admitted <= rate * (elapsed_s + 1.0), "{admitted}");
}
