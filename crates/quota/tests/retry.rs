//! Retry budgets stay within the limit shared by all daemons.

use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use quota::fleet::Fleet;
use quota::retry::Budget;
use quota::retry::Limit;

const LIMIT: Limit = Limit { ratio: 0.2, extra: 54.0, window: Duration::from_secs(10) };

#[test]
fn daemons_together_stay_within_the_limit() {
    let check = |daemons: usize, requests: usize| {
        let now = Instant::now();
        let mut retries = 0;
        for _ in 0..daemons {
            let mut budget = Budget::new(LIMIT);
            (0..requests).for_each(|_| budget.count_request(now));
            while budget.take_retry(&Fleet::settled(daemons), now).is_granted {
                retries += 1;
            }
        }

        let limit = LIMIT.ratio * (daemons * requests) as f64 + LIMIT.extra;
        assert!(f64::from(retries) <= limit, "{retries} of {limit}");
        assert!(f64::from(retries) >= limit * 0.6 - daemons as f64, "{retries} of {limit}");
    };

    check(1, 0);
    check(7, 0);
    check(7, 100);
    check(85, 20);
}

#[test]
fn requests_and_retries_outside_the_window_are_evicted() {
    let start = Instant::now();
    let mut budget = Budget::new(LIMIT);
    while budget.take_retry(&Fleet::settled(1), start).is_granted {}

    let later = start + LIMIT.window + Duration::from_millis(1);

    assert!(!budget.take_retry(&Fleet::settled(1), start + LIMIT.window).is_granted);
    assert!(budget.take_retry(&Fleet::settled(1), later).is_granted);
}

/// Guards against daemons that take the limit anew after each start.
#[test]
fn restarts_do_not_extend_the_limit() {
    let all = |daemons: usize| (0..daemons).collect::<Vec<_>>();
    let check = |daemons: usize, requests_per_s: f64, restarts: &[(f64, Vec<usize>)]| {
        let mut run = Run::start(daemons);

        run.play(30.0, requests_per_s, restarts);

        run.assert_within_limit();
    };

    for (daemons, requests_per_s) in [(1, 5.0), (1, 100.0), (4, 40.0), (8, 200.0), (63, 300.0)] {
        check(daemons, requests_per_s, &[(12.0, vec![0])]);
        check(daemons, requests_per_s, &[(12.0, all(daemons))]);
        let series: Vec<_> = (0..8).map(|it| (10.0 + f64::from(it), all(daemons))).collect();
        check(daemons, requests_per_s, &series);
        let series: Vec<_> = (0..8).map(|it| (10.0 + f64::from(it), vec![0])).collect();
        check(daemons, requests_per_s, &series);
        let rolling: Vec<_> =
            (0..daemons).map(|it| (10.0 + 10.0 * it as f64 / daemons as f64, vec![it])).collect();
        check(daemons, requests_per_s, &rolling);
    }
}

#[test]
fn random_restarts_and_bursts_do_not_extend_the_limit() {
    for seed in 0..60 {
        arbtest(|random| {
            let daemons = random.int_in_range(1..=12)?;
            let mut run = Run::start(daemons);
            for _ in 0..random.int_in_range(1..=8)? {
                let restarts = random_restarts(random, daemons)?;
                let requests_per_s = f64::from(random.int_in_range(0..=300u16)?);
                let length_s = f64::from(random.int_in_range(1..=60u8)?) / 10.0;
                run.play(length_s, requests_per_s, &[(0.0, restarts)]);
            }
            run.assert_within_limit();
            Ok(())
        })
        .seed((seed << 32) | 512)
        .run();
    }
}

#[test]
fn a_daemon_that_does_not_know_the_others_uses_no_extra_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(LIMIT);
    let age = Duration::from_secs(5);
    let unknown = Fleet { daemons: None, recent: 1, age };

    let without_requests = budget.take_retry(&unknown, now);
    (0..40).for_each(|_| budget.count_request(now));
    let with_requests = budget.take_retry(&unknown, now);

    assert!(!without_requests.is_granted, "{without_requests:?}");
    assert!(with_requests.is_granted, "{with_requests:?}");
}

#[test]
fn a_daemon_that_restarts_alone_gains_its_share_within_the_window() {
    let check = |daemons: usize, age: Duration, least: f64| {
        let fleet = Fleet { daemons: Some(daemons), recent: 1, age };
        let mut budget = Budget::new(LIMIT);
        let now = Instant::now();
        (0..100).for_each(|_| budget.count_request(now));

        let allowed = budget.take_retry(&fleet, now).allowed;

        assert!(allowed >= least, "{allowed} of {daemons} daemons at {age:?}");
    };

    check(1, Duration::from_secs(1), 6.0);
    check(1, Duration::from_secs(10), 50.0);
    check(8, Duration::from_secs(1), 14.0);
    check(8, Duration::from_secs(10), 18.0);
}

/// Daemons that retry each of their requests as often as their budgets allow.
struct Run {
    start: Instant,
    now_ms: u64,
    daemons: Vec<Daemon>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

struct Daemon {
    budget: Budget,
    /// `None` if it started together with the whole fleet.
    started_ms: Option<u64>,
}

impl Run {
    /// How long it takes until daemons hear of each other's starts.
    const LAG_MS: u64 = 300;
    const STEP_MS: u64 = 20;

    fn start(daemons: usize) -> Run {
        let daemon = || Daemon { budget: Budget::new(LIMIT), started_ms: None };
        Run {
            start: Instant::now(),
            now_ms: 100_000,
            daemons: (0..daemons).map(|_| daemon()).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Sends requests to all daemons in turn and restarts some at times from the start
    /// of this play.
    fn play(&mut self, length_s: f64, requests_per_s: f64, restarts: &[(f64, Vec<usize>)]) {
        let started_ms = self.now_ms;
        let mut sent = 0.0;
        for step in 0..(length_s * 1e3) as u64 / Run::STEP_MS {
            let elapsed_ms = step * Run::STEP_MS;
            self.now_ms = started_ms + elapsed_ms;
            let due = |at: f64| (at * 1e3) as u64 / Run::STEP_MS == step;
            for (_, daemons) in restarts.iter().filter(|(at, _)| due(*at)) {
                for daemon in daemons {
                    let budget = Budget::new(LIMIT);
                    self.daemons[*daemon] = Daemon { budget, started_ms: Some(self.now_ms) };
                }
            }
            while sent < requests_per_s * elapsed_ms as f64 / 1e3 {
                let daemon = sent as usize % self.daemons.len();
                sent += 1.0;
                self.requests.push(self.now_ms);
                let now = self.now();
                self.daemons[daemon].budget.count_request(now);
            }
            (0..self.daemons.len()).for_each(|it| self.retry(it));
        }
        self.now_ms = started_ms + (length_s * 1e3) as u64;
    }

    fn retry(&mut self, daemon: usize) {
        let (fleet, now) = (self.fleet(daemon), self.now());
        while self.daemons[daemon].budget.take_retry(&fleet, now).is_granted {
            self.retries.push(self.now_ms);
        }
    }

    fn fleet(&self, own: usize) -> Fleet {
        let window_ms = LIMIT.window.as_millis() as u64;
        let age_ms = |it: &Daemon| it.started_ms.map_or(u64::MAX, |at| self.now_ms - at);
        let own_age_ms = age_ms(&self.daemons[own]);
        // A daemon that has just started has heard nobody, and takes all for recent.
        let is_recent = |it: &Daemon| {
            let age_ms = age_ms(it);
            own_age_ms < Run::LAG_MS || (Run::LAG_MS..window_ms).contains(&age_ms)
        };
        let others = self.daemons.iter().enumerate().filter(|(index, _)| *index != own);
        let recent = others.filter(|(_, it)| is_recent(it)).count();
        Fleet {
            daemons: Some(self.daemons.len()),
            recent: recent + usize::from(own_age_ms < window_ms),
            age: Duration::from_millis(own_age_ms),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Checks each window that begins with a retry, as the users do: the requests are
    /// those of this window, the one before it or the one half a window before it.
    fn assert_within_limit(&self) {
        let window_ms = LIMIT.window.as_millis() as u64;
        let count = |times: &[u64], from: u64| {
            let end = times.partition_point(|it| *it < from + window_ms);
            end - times.partition_point(|it| *it < from)
        };
        for from in &self.retries {
            let starts = [*from, from - window_ms / 2, from - window_ms];
            let requests = starts.map(|it| count(&self.requests, it)).into_iter().max();
            let limit = LIMIT.ratio * requests.unwrap_or(0) as f64 + LIMIT.extra;
            let retries = count(&self.retries, *from);
            assert!(retries as f64 <= limit, "{retries} of {limit} from {from} ms");
        }
    }
}

fn random_restarts(
    random: &mut Unstructured<'_>,
    daemons: usize,
) -> arbtest::arbitrary::Result<Vec<usize>> {
    if random.ratio(1, 3)? {
        return Ok((0..daemons).collect());
    }
    let count = random.int_in_range(0..=daemons.min(4))?;
    (0..count).map(|_| random.choose_index(daemons)).collect()
}
