//! Cost of gossip: rounds until a change reaches all daemons, and bytes per second.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use membership::update::Gossip;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use membership::view::CHANGES_PER_MESSAGE;
use membership::view::View;

use crate::chart;
use crate::vm;

/// Peers to which each daemon sends gossip in a round of one second.
const PEERS_PER_ROUND: usize = 2;
/// Rounds of 100 ms.
const ROUNDS_PER_SECOND: usize = 10;
/// Limit in rounds of 100 ms. The users' bound for a leaving VM is "a few seconds".
const MAX_ROUNDS: usize = 30;
/// Overhead of an HTTP/2 exchange: headers and frame headers of both sides, and
/// the TCP and IP headers of six packets.
const EXCHANGE_OVERHEAD_BYTES: usize = 9 * 6 + 2 * 40 + 6 * 52;
/// Length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
const MAX_BYTES_PER_SECOND: usize = 3000;

fn gossip(vms: Vec<Vm>) -> Gossip {
    let sender = Vm { role: Role::Daemon, ..vm("daemon-417", 1_796_300_000_000, State::Live) };
    Gossip {
        sender,
        config_revision: 1_000_000,
        list_age: Some(3),
        digest: u64::MAX,
        vms,
        suspects: Vec::new(),
    }
}

fn encoded_bytes(gossip: &Gossip) -> usize {
    let encoded = bincode::encode_to_vec(gossip, bincode::config::standard());
    LENGTH_PREFIX_BYTES + encoded.expect("encodable").len()
}

/// Returns the number of rounds until all daemons know that VMs are leaving, or
/// `None` if gossip alone does not reach all of them.
fn rounds_until_known(
    u: &mut Unstructured<'_>,
    daemons: usize,
    leaving: usize,
) -> Result<Option<usize>> {
    let mut first = View::new(chart());
    let ids: Vec<String> = (0..leaving).map(|it| format!("vm-{it:03}")).collect();
    for id in &ids {
        first.merge(&vm(id, 1, State::Live));
    }
    while !first.take_changes().is_empty() {}
    let mut views = vec![first; daemons];
    for id in &ids {
        views[0].merge_notice(id, 1);
    }
    rounds_until_converged(u, &mut views)
}

fn rounds_until_converged(u: &mut Unstructured<'_>, views: &mut [View]) -> Result<Option<usize>> {
    let daemons = views.len();
    for round in 0..2 * MAX_ROUNDS {
        let is_outdated = |it: &View| it.live(Role::Endpoint).next().is_some();
        if !views.iter().any(is_outdated) {
            return Ok(Some(round));
        }
        // All messages of a round are sent before the first one is received.
        let mut messages = Vec::new();
        for from in 0..daemons {
            // Without urgent changes a daemon sends only once per second.
            let sends = views[from].has_urgent_changes() || (round + from) % ROUNDS_PER_SECOND == 0;
            for _ in 0..if sends { PEERS_PER_ROUND } else { 0 } {
                let to = u.choose_index(daemons)?;
                messages.push((from, to, views[from].digest(), views[from].take_changes()));
                messages.push((to, from, views[to].digest(), views[to].take_changes()));
            }
        }
        for (from, to, digest, changes) in messages {
            changes.iter().for_each(|it| {
                views[to].merge(it);
            });
            let repair = views[to].repair(digest, (round / ROUNDS_PER_SECOND) as u64);
            repair.iter().for_each(|it| {
                views[from].merge(it);
            });
        }
    }
    Ok(None)
}

#[test]
fn a_change_reaches_all_daemons_in_a_few_rounds() {
    for (daemons, leaving, runs, limit) in [
        (7, 1, 20, MAX_ROUNDS),
        (70, 1, 20, MAX_ROUNDS),
        (420, 1, 5, MAX_ROUNDS),
        // All endpoints of an availability zone at once.
        (420, 158, 1, MAX_ROUNDS),
    ] {
        let mut rounds = Vec::new();
        for seed in 1..=runs {
            let random_bytes = daemons as u64 * 2 * 8 * 2 * MAX_ROUNDS as u64;
            arbtest(|u| {
                rounds.push(rounds_until_known(u, daemons, leaving)?);
                Ok(())
            })
            .seed((seed << 32) | random_bytes)
            .run();
        }
        let incomplete = rounds.iter().filter(|it| it.is_none()).count();
        let worst = rounds.iter().flatten().max().copied().unwrap_or(0);

        println!(
            "{daemons} daemons, {leaving} leaving: all know after at most {worst} rounds; {incomplete} of {runs} runs did not reach all daemons"
        );
        assert!(worst <= limit, "{worst} rounds with {daemons} daemons");
        assert!(incomplete <= 1, "{incomplete} of {runs} runs did not reach all daemons");
    }
}

#[test]
fn a_daemon_that_gossip_missed_is_repaired() {
    let mut rounds = None;
    arbtest(|u| {
        let mut informed = View::new(chart());
        informed.merge(&vm("vm-a", 1, State::Leaving));
        while !informed.take_changes().is_empty() {}
        let mut views = vec![informed; 420];
        views[7] = View::new(chart());
        views[7].merge(&vm("vm-a", 1, State::Live));

        rounds = rounds_until_converged(u, &mut views)?;
        Ok(())
    })
    .seed((1 << 32) | 500_000)
    .run();

    println!("missed daemon repaired after {rounds:?} rounds");
    assert!(rounds.is_some_and(|it| it <= MAX_ROUNDS), "{rounds:?}");
}

#[test]
fn gossip_stays_within_its_bandwidth_limit() {
    let idle = 2 * encoded_bytes(&gossip(Vec::new())) + EXCHANGE_OVERHEAD_BYTES;
    let change = vm("runner-zone-11-0143", 1_796_300_000_000, State::Leaving);
    let full = gossip(vec![change.clone(); CHANGES_PER_MESSAGE]);
    // Sent and received: each daemon opens as many exchanges as it accepts.
    let per_second = 2 * PEERS_PER_ROUND * idle;

    println!(
        "an exchange without changes: {idle} bytes; {per_second} bytes/s per daemon at any fleet size; \
         a change: {} bytes; a full message: {} bytes",
        encoded_bytes(&gossip(vec![change])) - encoded_bytes(&gossip(Vec::new())),
        encoded_bytes(&full)
    );
    assert!(per_second < MAX_BYTES_PER_SECOND, "{per_second} bytes/s");
    assert!(encoded_bytes(&full) < MAX_BYTES_PER_SECOND);
}
