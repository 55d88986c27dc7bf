//! Which daemons read the store while the first readers can't, with messages that take a while
//! on links and in queues.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use membership::digest::FANOUT;
use membership::reads::Feed;
use membership::reads::Notice;
use membership::reads::Position;
use membership::reads::Reads;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;

const TICK: Duration = Duration::from_millis(10);
const ROUND: Duration = Duration::from_millis(250);
/// Interval between reads of the endpoints, which change all the time.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a changed configuration has to be in force in the users' larger deployments.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time in which a change spreads from a reader to all daemons.
const SPREAD_TIME: Duration = Duration::from_millis(500);
/// Time after a cut in which the rule of the users' deployments doesn't hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);

#[test]
fn another_daemon_reads_soon_after_the_readers_have_lost_the_store_whatever_messages_take() {
    for (daemons, delay_ms) in [(63, 2), (63, 30), (63, 60), (85, 60), (295, 30)] {
        for seed in 0..3 {
            let mut fleet = Fleet::start(daemons, delay_ms, seed);
            fleet.run_for(Duration::from_secs(8));

            fleet.cut_off(2);
            let gap = fleet.longest_gap(Duration::from_secs(20));

            assert!(gap <= APPLY_TIME, "{daemons} daemons, {delay_ms} ms, seed {seed}: {gap:?}");
        }
    }
}

#[test]
fn a_daemon_that_has_taken_over_reads_without_a_pause() {
    for seed in 0..3 {
        let mut fleet = Fleet::start(63, 30, seed);
        fleet.run_for(Duration::from_secs(8));
        fleet.cut_off(2);
        fleet.run_for(CONTACT_TIME);

        let gap = fleet.longest_gap(Duration::from_secs(20));

        assert!(gap <= APPLY_TIME - SPREAD_TIME * 2, "seed {seed}: {gap:?}");
    }
}

#[test]
fn few_daemons_read_while_the_readers_can() {
    for seed in 0..3 {
        let mut fleet = Fleet::start(63, 30, seed);
        fleet.run_for(Duration::from_secs(8));

        let readers = fleet.readers_within(Duration::from_secs(20));

        assert_eq!(readers, 2, "seed {seed}");
    }
}

#[test]
fn the_readers_read_again_alone_after_a_cut() {
    for seed in 0..3 {
        let mut fleet = Fleet::start(63, 30, seed);
        fleet.run_for(Duration::from_secs(8));
        fleet.cut_off(10);
        fleet.run_for(Duration::from_secs(10));

        fleet.cut_off(0);
        fleet.run_for(CONTACT_TIME);
        let readers = fleet.readers_within(Duration::from_secs(10));

        assert_eq!(readers, 2, "seed {seed}");
    }
}

#[test]
fn a_message_that_was_held_up_does_not_make_an_old_read_recent() {
    let start = Instant::now();
    let mut reader = Reads::default();
    reader.record(1, Feed::Endpoints, start);
    let notices = reader.notices(start);
    let mut other = Reads::default();
    other.merge(&notices, start);

    other.merge(&notices, start + Duration::from_secs(3));

    assert_eq!(other.latest_of_others(9, Feed::Endpoints), Some(start));
}

#[test]
fn reads_of_the_endpoints_do_not_stand_for_reads_of_the_configuration() {
    let start = Instant::now();
    let mut reads = Reads::default();
    reads.merge(&[Notice { reader: 1, config: 1, endpoints: 1 }], start);
    let position = Position { rank: 5, preceding: 2 };
    let seconds = |it: u64| start + Duration::from_secs(it);

    let is_reader: Vec<bool> = (1..=8)
        .map(|second| {
            let endpoints = 1 + second;
            reads.merge(&[Notice { reader: 1, config: 1, endpoints }], seconds(second));
            reads.is_reader(position, None, seconds(second))
        })
        .collect();

    assert_eq!(is_reader, [false, false, false, false, true, true, true, true]);
}

/// Daemons in the order of their ranks.
struct Fleet {
    now: Instant,
    daemons: Vec<Daemon>,
    /// Receivers and messages by the time of their arrival and their number.
    messages: BTreeMap<(Instant, u64), (usize, Vec<Notice>)>,
    sent: u64,
    delay_ms: u64,
    cut_off: usize,
    rng: SmallRng,
}

struct Daemon {
    reads: Reads,
    read_at: Option<Instant>,
    config_read_at: Option<Instant>,
    next_round: Instant,
}

impl Fleet {
    /// Starts a fleet whose messages take `delay_ms` on average.
    fn start(daemons: usize, delay_ms: u64, seed: u64) -> Fleet {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemons = (0..daemons).map(|_| Daemon {
            reads: Reads::default(),
            read_at: None,
            config_read_at: None,
            next_round: now + Duration::from_millis(rng.random_range(0..250)),
        });
        let daemons = daemons.collect();
        Fleet { now, daemons, messages: BTreeMap::new(), sent: 0, delay_ms, cut_off: 0, rng }
    }

    /// Cuts the first daemons off from the store, and no others.
    fn cut_off(&mut self, daemons: usize) {
        self.cut_off = daemons;
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the longest time without a read by any daemon.
    fn longest_gap(&mut self, time: Duration) -> Duration {
        let end = self.now + time;
        let mut longest = Duration::ZERO;
        while self.now < end {
            self.step();
            let latest = self.daemons.iter().filter_map(|it| it.read_at).max();
            longest = longest.max(latest.map_or(time, |it| self.now - it));
        }
        longest
    }

    /// Returns the number of daemons that read.
    fn readers_within(&mut self, time: Duration) -> usize {
        let start = self.now;
        self.run_for(time);
        self.daemons.iter().filter(|it| it.read_at.is_some_and(|at| at > start)).count()
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for rank in 0..self.daemons.len() {
            self.read(rank);
            if self.daemons[rank].next_round <= self.now {
                self.daemons[rank].next_round += ROUND;
                self.gossip(rank);
            }
        }
    }

    fn deliver(&mut self) {
        let pending = self.messages.split_off(&(self.now, u64::MAX));
        for (to, notices) in std::mem::replace(&mut self.messages, pending).into_values() {
            self.daemons[to].reads.merge(&notices, self.now);
        }
    }

    fn read(&mut self, rank: usize) {
        let now = self.now;
        let position = Position { rank: rank as u64, preceding: rank };
        let daemon = &mut self.daemons[rank];
        let is_due = |at: Option<Instant>, interval| at.is_none_or(|it| now >= it + interval);
        if rank < self.cut_off || !daemon.reads.is_reader(position, None, now) {
            return;
        }
        if is_due(daemon.read_at, READ_INTERVAL) {
            daemon.read_at = Some(now);
            daemon.reads.record(rank as u64, Feed::Endpoints, now);
        }
        if is_due(daemon.config_read_at, CONTACT_TIME) {
            daemon.config_read_at = Some(now);
            daemon.reads.record(rank as u64, Feed::Config, now);
        }
    }

    fn gossip(&mut self, from: usize) {
        let notices = self.daemons[from].reads.notices(self.now);
        let others = sample(&mut self.rng, self.daemons.len() - 1, FANOUT);
        // Skips the sender.
        for to in others.into_iter().map(|it| if it < from { it } else { it + 1 }) {
            let delay = self.rng.random_range(0..=2 * self.delay_ms);
            let at = self.now + Duration::from_millis(delay);
            self.sent += 1;
            self.messages.insert((at, self.sent), (to, notices.clone()));
        }
    }
}
