//! Usage reports of changing lease holders while the store returns from older copies.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use duty::clock::Clock;
use duty::horizon::Horizon;
use duty::horizon::Start;
use duty::lease;
use duty::usage::Counts;
use duty::usage::Usage;
use store::position;

const SEEDS: u64 = 100;
const ENTROPY_BYTES: u64 = 16 * 1024;
const DAEMONS: usize = 3;
const WINDOW: Duration = Duration::from_secs(5);
/// Deviation of a daemon's clock from the median of all.
const MAX_DEVIATION_MS: i64 = 300;
/// Longest age of a copy.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);
/// Longest time after which a call without a response is executed.
const MAX_DELAY: Duration = Duration::from_secs(6);

/// What the store holds.
#[derive(Clone, Default)]
struct Content {
    windows: BTreeMap<u64, Counts>,
    start: Option<Start>,
}

struct Daemon {
    usage: Usage,
    horizon: Horizon,
    clock: Clock,
    /// Latest era that a client of the store has seen. The horizon follows later.
    client_era: u64,
    /// A window to be recorded, as the daemon's other calls come first.
    queued: Option<Call>,
    /// A response that the daemon has not handled yet.
    answer: Option<Answer>,
}

/// A call that records a window.
struct Call {
    window: u64,
    counts: Counts,
    /// Version of the row that the call expects.
    absent: u64,
}

/// Response to a call, with the counts that the store holds.
struct Answer {
    window: u64,
    counts: Counts,
    version: u64,
}

impl Daemon {
    fn new(deviation_ms: i64) -> Daemon {
        Daemon {
            usage: Usage::new(WINDOW),
            horizon: Horizon::default(),
            clock: Clock::new(deviation_ms, Duration::ZERO),
            client_era: 0,
            queued: None,
            answer: None,
        }
    }

    /// Returns the window to be reported next and its counts.
    fn next_report(&mut self, now: Duration) -> Option<(u64, Counts)> {
        self.usage.next_report(&[], self.clock.now_ms(now))
    }

    /// Sees the era that the store states.
    fn observe(&mut self, era: u64, now: Duration) {
        self.client_era = self.client_era.max(era);
        self.horizon.observe(self.client_era, now);
    }
}

/// How a call to the store ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Done,
    /// Executed without a response, at once or later.
    Lost(Duration),
}

struct World {
    now: Duration,
    era: u64,
    content: Content,
    copies: Vec<(Duration, Content)>,
    delayed: Vec<(Duration, u64, Counts)>,
    daemons: Vec<Daemon>,
    /// The lease holder, and from when on it may act.
    holder: (usize, Duration),
    /// When the holder stops, if it hasn't noticed that a new era began.
    holds_until: Option<Duration>,
    reports: Vec<(u64, Counts)>,
    restored: usize,
}

/// Guards against two reports of a window with different counts.
#[test]
fn no_window_is_reported_with_two_counts() {
    let (mut reports, mut restored) = (0, 0);
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let mut world = World::new(u)?;
            while !u.is_empty() {
                world.step(u)?;
            }
            world.check();
            reports += world.reports.len() as u64;
            restored += world.restored as u64;
            Ok(())
        })
        .seed(seed << 32 | ENTROPY_BYTES);
    }

    assert!(reports > 3 * SEEDS, "too few reports were simulated: {reports}");
    assert!(restored > SEEDS, "too few returns were simulated: {restored}");
}

/// Guards against windows that are never reported: without a return, a lease holder that has
/// just started takes the reports over.
#[test]
fn a_restarted_holder_reports_the_windows_since_the_era_began() {
    let clock = Clock::new(0, Duration::ZERO);
    let mut first = Horizon::default();
    first.observe(1, Duration::from_secs(100));
    let start = first.merge_stored(None, &clock).expect("nothing was stored");
    first.record_stored(position::join(1, 7));
    let mut second = Horizon::default();
    second.observe(1, Duration::from_secs(203));

    let outdated = second.merge_stored(Some(start), &clock);

    assert!(first.is_known() && second.is_known());
    assert_eq!(outdated, None);
    assert_eq!(second.ends_ms(&clock), first.ends_ms(&clock));
}

/// Guards against a window that ended on the clock of the daemon that recorded it, but not yet
/// on this one's.
#[test]
fn a_window_that_ends_when_the_era_begins_may_have_been_recorded() {
    let clock = Clock::new(-MAX_DEVIATION_MS, Duration::ZERO);
    let ahead = Clock::new(MAX_DEVIATION_MS, Duration::ZERO);
    let mut usage = Usage::new(WINDOW);
    let mut horizon = Horizon::default();
    let returned_at = Duration::from_millis(99_900);
    horizon.observe(2, returned_at);

    let ended = usage.settled(ahead.now_ms(returned_at));
    usage.set_first(usage.window_at(horizon.ends_ms(&clock).unwrap()));
    let reported = usage.next_report(&[], clock.now_ms(Duration::from_secs(110)));

    assert!(reported.is_some_and(|(window, _)| window > ended), "window {ended} ended");
}

#[test]
fn a_start_that_was_stored_in_an_earlier_era_is_replaced() {
    let clock = Clock::new(0, Duration::ZERO);
    let mut horizon = Horizon::default();
    horizon.observe(2, Duration::from_secs(100));

    let outdated = horizon.merge_stored(Some(Start { era: 1, begun_by_ms: 5 }), &clock);
    horizon.record_stored(position::join(3, 7));

    assert_eq!(outdated, Some(Start { era: 2, begun_by_ms: 100_000 }));
    assert!(!horizon.is_known(), "it was stored in a later era");
}

impl World {
    fn new(u: &mut Unstructured<'_>) -> Result<World> {
        let mut daemons = Vec::new();
        for _ in 0..DAEMONS {
            daemons.push(Daemon::new(u.int_in_range(-MAX_DEVIATION_MS..=MAX_DEVIATION_MS)?));
        }
        Ok(World {
            now: Duration::from_secs(1_000),
            era: 1,
            content: Content::default(),
            copies: Vec::new(),
            delayed: Vec::new(),
            daemons,
            holder: (0, Duration::ZERO),
            holds_until: None,
            reports: Vec::new(),
            restored: 0,
        })
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.advance(Duration::from_millis(u.int_in_range(10..=600)?));
        let index = u.choose_index(DAEMONS)?;
        let (now, era) = (self.now, self.era);
        match u.int_in_range(0..=29)? {
            0 => self.restore(u)?,
            1 => {
                let deviation_ms = u.int_in_range(-MAX_DEVIATION_MS..=MAX_DEVIATION_MS)?;
                self.daemons[index] = Daemon::new(deviation_ms);
                if self.holder.0 == index {
                    self.hand_over(u)?;
                }
            }
            2 => self.hand_over(u)?,
            3..=5 => self.daemons[index].observe(era, now),
            24 => self.daemons[index].client_era = era,
            25 | 26 => self.decide(),
            27 => self.send(self.holder.0, u.ratio(1, 4)?),
            28 | 29 => self.handle(self.holder.0),
            6..=8 => self.send_counts(index, u)?,
            9..=11 => {
                let result = match u.int_in_range(0..=3)? {
                    0 => CallResult::Lost(Duration::ZERO),
                    1 => CallResult::Lost(millis(u, MAX_DELAY)?),
                    _ => CallResult::Done,
                };
                self.act(result, u.ratio(1, 4)?);
            }
            12..=14 => self.act(CallResult::Done, false),
            _ => {
                let now_ms = self.daemons[index].clock.now_ms(self.now);
                self.daemons[index].usage.count("acme", now_ms);
            }
        }
        Ok(())
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.copies.push((self.now, self.content.clone()));
        self.copies.retain(|(at, _)| *at + MAX_COPY_AGE >= self.now);
        let (due, delayed) = self.delayed.drain(..).partition(|(at, ..)| *at <= self.now);
        self.delayed = delayed;
        let due: Vec<(Duration, u64, Counts)> = due;
        for (_, window, counts) in due {
            self.write(window, counts);
        }
    }

    /// The store returns from one of its copies. A holder that doesn't notice keeps its lease
    /// until the end of its term; others acquire it later.
    fn restore(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.copies.is_empty() {
            return Ok(());
        }
        let copy = u.choose_index(self.copies.len())?;
        self.copies.truncate(copy + 1);
        self.content = self.copies[copy].1.clone();
        self.era += 1;
        self.restored += 1;
        self.holds_until = Some(self.now + millis(u, lease::DURATION)?);
        if u.ratio(1, 2)? {
            // The call was made while the store was away.
            self.send(self.holder.0, false);
        }
        Ok(())
    }

    fn hand_over(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.holder = (u.choose_index(DAEMONS)?, self.now + lease::DURATION);
        self.holds_until = None;
        Ok(())
    }

    fn send_counts(&mut self, from: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let to = u.choose_index(DAEMONS)?;
        if from == to {
            return Ok(());
        }
        let daemon = &self.daemons[from];
        let now_ms = daemon.clock.now_ms(self.now);
        let (windows, settled) =
            (daemon.usage.recent_windows(5, now_ms), daemon.usage.settled(now_ms));
        self.daemons[to].usage.merge_remote(&from.to_string(), &windows, settled);
        Ok(())
    }

    /// Lets the lease holder record or report a window.
    fn act(&mut self, result: CallResult, is_report_lost: bool) {
        if self.holds_until.is_some_and(|it| self.now >= it) {
            self.holder = (self.holder.0, self.now + lease::DURATION);
            self.holds_until = None;
        }
        let (index, from) = self.holder;
        if self.now < from {
            return;
        }
        if !self.prepare(index) {
            return;
        }
        let now = self.now;
        let Some((window, counts)) = self.daemons[index].next_report(now) else { return };
        if !self.daemons[index].usage.is_recorded(window) {
            if let CallResult::Lost(delay) = result {
                self.delayed.push((now + delay, window, counts));
                return;
            }
            self.decide();
            self.send(index, false);
            self.handle(index);
        }
        let daemon = &mut self.daemons[index];
        let Some((window, counts)) = daemon.next_report(now) else { return };
        if !daemon.usage.is_recorded(window) {
            return;
        }
        if !is_report_lost {
            daemon.usage.mark_reported(window);
        }
        self.reports.push((window, counts));
    }

    /// Lets a lease holder learn which windows may be recorded. Returns whether it knows that.
    fn prepare(&mut self, index: usize) -> bool {
        let daemon = &mut self.daemons[index];
        if self.holds_until.is_none() {
            // The lease was acquired in this era.
            daemon.observe(self.era, self.now);
            if let Some(start) = daemon.horizon.merge_stored(self.content.start, &daemon.clock) {
                self.content.start = Some(start);
                daemon.horizon.record_stored(position::join(self.era, 1));
            }
        }
        let first = daemon.horizon.ends_ms(&daemon.clock).map(|it| daemon.usage.window_at(it));
        let Some(first) = first else { return false };
        daemon.usage.set_first(first);
        true
    }

    /// Lets the lease holder decide which window it records next.
    fn decide(&mut self) {
        let (index, from) = self.holder;
        if self.now < from || !self.prepare(index) {
            return;
        }
        let daemon = &mut self.daemons[index];
        let Some((window, counts)) = daemon.next_report(self.now) else { return };
        if daemon.usage.is_recorded(window) || daemon.queued.is_some() || daemon.answer.is_some() {
            return;
        }
        daemon.queued = Some(Call { window, counts, absent: daemon.horizon.absent() });
    }

    /// Makes a queued call as the client of the store does. If `times_out`, its response is lost.
    fn send(&mut self, index: usize, times_out: bool) {
        let store_era = self.era;
        let daemon = &mut self.daemons[index];
        let Some(Call { window, counts, absent }) = daemon.queued.take() else { return };
        let sent_in = daemon.client_era;
        if position::era(absent) != sent_in {
            return;
        }
        let counts = self.write(window, counts);
        if times_out {
            return;
        }
        let daemon = &mut self.daemons[index];
        daemon.client_era = store_era;
        if store_era == sent_in {
            let version = position::join(store_era, 1);
            daemon.answer = Some(Answer { window, counts, version });
        }
    }

    /// Lets a daemon handle the response to its call.
    fn handle(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let Some(Answer { window, counts, version }) = daemon.answer.take() else { return };
        if daemon.horizon.covers(version) {
            daemon.usage.record(window, counts);
        }
    }

    /// Records a window unless it is recorded. Returns the counts that the store holds.
    fn write(&mut self, window: u64, counts: Counts) -> Counts {
        self.content.windows.entry(window).or_insert(counts).clone()
    }

    fn check(&self) {
        let mut first: BTreeMap<u64, &Counts> = BTreeMap::new();
        for (window, counts) in &self.reports {
            let reported = first.entry(*window).or_insert(counts);
            assert_eq!(*reported, counts, "window {window}");
        }
    }
}

fn millis(u: &mut Unstructured<'_>, max: Duration) -> Result<Duration> {
    Ok(Duration::from_millis(u.int_in_range(0..=max.as_millis() as u64)?))
}
