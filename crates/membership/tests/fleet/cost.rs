//! How many rounds a change needs to reach every daemon, and bytes a second.

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

/// Peers that each daemon tells in a round of one second.
const PEERS_PER_ROUND: usize = 2;
/// The users' bound for a leaving VM is "a few seconds".
const ROUNDS: usize = 8;
/// Bytes of an h2 exchange besides the frames: headers and frame heads of
/// both sides, TCP and IP heads of six packets.
const EXCHANGE_BYTES: usize = 9 * 6 + 2 * 40 + 6 * 52;
/// Frames have a length of four bytes.
const LENGTH_BYTES: usize = 4;
const BYTES_PER_SECOND: usize = 3000;

fn gossip(vms: Vec<Vm>) -> Gossip {
    let sender = Vm { role: Role::Daemon, ..vm("daemon-417", 1_796_300_000_000, State::Live) };
    Gossip { sender, config_revision: 1_000_000, list_age: Some(3), vms, suspects: Vec::new() }
}

fn encoded_bytes(gossip: &Gossip) -> usize {
    let encoded = bincode::encode_to_vec(gossip, bincode::config::standard());
    LENGTH_BYTES + encoded.expect("encodable").len()
}

/// Rounds until all daemons know that a VM is leaving; `None` when some never
/// do by gossip alone.
fn rounds_until_known(u: &mut Unstructured<'_>, daemons: usize) -> Result<Option<usize>> {
    let mut first = View::new(chart());
    first.merge(&vm("vm-a", 1, State::Live));
    while !first.take_changes().is_empty() {}
    let mut views = vec![first; daemons];
    views[0].notice("vm-a", 1);
    for round in 0..4 * ROUNDS {
        let unaware = |it: &View| it.get("vm-a").is_some_and(|it| it.state == State::Live);
        if !views.iter().any(unaware) {
            return Ok(Some(round));
        }
        // All messages of a round leave before the first one arrives.
        let mut messages = Vec::new();
        for from in 0..daemons {
            for _ in 0..PEERS_PER_ROUND {
                let to = u.choose_index(daemons)?;
                messages.push((to, views[from].take_changes()));
                messages.push((from, views[to].take_changes()));
            }
        }
        for (to, changes) in messages {
            changes.iter().for_each(|it| {
                views[to].merge(it);
            });
        }
    }
    Ok(None)
}

#[test]
fn a_change_is_known_to_all_in_a_few_rounds() {
    for daemons in [7, 70, 420] {
        let mut rounds = Vec::new();
        for seed in 1..=20 {
            let needed = daemons as u64 * 2 * 8 * 4 * ROUNDS as u64;
            arbtest(|u| {
                rounds.push(rounds_until_known(u, daemons)?);
                Ok(())
            })
            .seed((seed << 32) | needed)
            .run();
        }
        let left_out = rounds.iter().filter(|it| it.is_none()).count();
        let worst = rounds.iter().flatten().max().copied().unwrap_or(0);

        println!(
            "{daemons} daemons: all know after {worst} rounds at most; {left_out} of 20 runs left one out"
        );
        assert!(worst <= ROUNDS, "{worst} rounds with {daemons} daemons");
        assert!(left_out <= 1, "{left_out} of 20 runs left a daemon out");
    }
}

#[test]
fn gossip_fits_its_share_of_bytes() {
    let idle = 2 * encoded_bytes(&gossip(Vec::new())) + EXCHANGE_BYTES;
    let change = vm("runner-zone-11-0143", 1_796_300_000_000, State::Leaving);
    let full = gossip(vec![change.clone(); CHANGES_PER_MESSAGE]);
    // Sent and received: each daemon opens as many exchanges as reach it.
    let per_second = 2 * PEERS_PER_ROUND * idle;

    println!(
        "an exchange without changes: {idle} bytes; {per_second} bytes/s for each daemon at any size; \
         a change: {} bytes; a full message: {} bytes",
        encoded_bytes(&gossip(vec![change])) - encoded_bytes(&gossip(Vec::new())),
        encoded_bytes(&full)
    );
    assert!(per_second < BYTES_PER_SECOND, "{per_second} bytes/s");
    assert!(encoded_bytes(&full) < BYTES_PER_SECOND);
}
