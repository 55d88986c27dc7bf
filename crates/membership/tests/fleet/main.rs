//! Views of the fleet under random interleavings, and the cost of gossip.

mod cost;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use membership::lifecycle::Chart;
use membership::liveness::Liveness;
use membership::liveness::Verdict;
use membership::poll::Poll;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;
use membership::view::TRANSMISSIONS_PER_CHANGE;
use membership::view::View;

const SEEDS: u64 = 200;
const RANDOM_BYTES: u64 = 1024;
const NAMES: [&str; 3] = ["vm-a", "vm-b", "vm-c"];

/// Runs a property with fixed seeds. The variable `SEEDS` overrides their number.
fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    let seeds = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        arbtest(property).seed((seed << 32) | RANDOM_BYTES).run();
    }
}

/// Loads the daemon's VM chart.
fn chart() -> Chart {
    let text = include_str!("../../../lentilhook/charts/vm.json");
    Chart::parse("charts/vm.json", text).expect("a valid chart")
}

/// Creates an endpoint. All incarnations of a name have the same address.
fn vm(id: &str, incarnation: u64, state: State) -> Vm {
    Vm {
        id: id.to_owned(),
        incarnation,
        role: Role::Endpoint,
        service: "assistant".to_owned(),
        zone: "tema-a".to_owned(),
        address: format!("10.0.0.1:{}", 1000 + id.len()),
        price_per_hour: 1.0,
        state,
    }
}

#[test]
fn views_converge_and_never_regress() {
    check(|u| {
        let mut views = vec![View::new(chart()); 4];
        // Actual incarnation and state of each VM.
        let mut actual = [(1, State::Live); 3];
        let mut listed: Vec<Vm> = NAMES.iter().map(|id| vm(id, 1, State::Live)).collect();
        let mut noticed: Vec<(usize, u64)> = Vec::new();

        while !u.is_empty() {
            let at = u.choose_index(views.len())?;
            let name = u.choose_index(NAMES.len())?;
            let before: Vec<Option<Vm>> =
                NAMES.iter().map(|id| views[at].get(id).cloned()).collect();
            match u.int_in_range(0..=9)? {
                // Only this daemon reads the notice, and the list does not show it yet.
                0 if actual[name].1 == State::Live => {
                    actual[name].1 = State::Leaving;
                    views[at].merge_notice(NAMES[name], actual[name].0);
                    noticed.push((at, name as u64));
                }
                // The VM is replaced, and the list shows the new one first.
                1 if actual[name].1 == State::Leaving => {
                    actual[name] = (actual[name].0 + 1, State::Live);
                    listed.push(vm(NAMES[name], actual[name].0, State::Live));
                }
                // The list lags and is read in any order.
                2..=4 => {
                    let row = u.choose(&listed)?.clone();
                    views[at].merge(&row);
                }
                _ => {
                    let other = u.choose_index(views.len())?;
                    let changes = views[other].take_changes();
                    let is_lost = u.ratio(1, 4)?;
                    changes.iter().filter(|_| !is_lost).for_each(|it| {
                        views[at].merge(it);
                    });
                }
            }
            for (known, id) in before.iter().zip(NAMES) {
                let Some(known) = known else { continue };
                let now = views[at].get(id).expect("the view keeps known VMs");
                assert!((known.incarnation, known.state) <= (now.incarnation, now.state));
            }
        }
        settle(&mut views, &listed);

        for (name, id) in NAMES.iter().enumerate() {
            for view in &views {
                let known = view.get(id).map(|it| (it.incarnation, it.state));
                assert_eq!(known, Some(actual[name]), "{id}");
            }
        }
        Ok(())
    });
}

/// Lets each view read the whole list and receive the VMs of all views.
fn settle(views: &mut [View], listed: &[Vm]) {
    for view in views.iter_mut() {
        listed.iter().for_each(|row| {
            view.merge(row);
        });
    }
    for from in 0..views.len() {
        let known: Vec<Vm> = views[from].present(Role::Endpoint).cloned().collect();
        views.iter_mut().for_each(|view| {
            known.iter().for_each(|it| {
                view.merge(it);
            });
        });
    }
}

#[test]
fn a_notice_is_kept_until_the_list_shows_the_vm() {
    let mut view = View::new(chart());

    view.merge_notice("vm-a", 2);
    view.merge(&vm("vm-a", 1, State::Live));
    let old = view.get("vm-a").map(|it| it.state);
    view.merge(&vm("vm-a", 2, State::Live));
    let noticed = view.get("vm-a").map(|it| it.state);
    view.merge(&vm("vm-a", 3, State::Live));

    assert_eq!(old, Some(State::Live));
    assert_eq!(noticed, Some(State::Leaving));
    assert_eq!(view.get("vm-a").map(|it| it.state), Some(State::Live));
}

#[test]
fn leaving_vms_are_sent_before_other_changes() {
    let mut view = View::new(chart());
    for number in 0..100 {
        view.merge(&vm(&format!("new-{number:03}"), 1, State::Live));
    }
    view.merge(&vm("zone-1", 1, State::Live));
    view.merge_notice("zone-1", 1);

    let sent = view.take_changes();

    assert_eq!(sent[0], vm("zone-1", 1, State::Leaving));
}

#[test]
fn a_change_is_sent_again_to_a_peer_that_does_not_know_it() {
    let mut view = View::new(chart());
    view.merge(&vm("vm-a", 1, State::Gone));
    let messages = (0..100).take_while(|_| !view.take_changes().is_empty()).count();
    let repair = view.repair(1, 0);
    let repeated = [1, 2, 3, 6].map(|round| !view.repair(1, round).is_empty());
    let repair_of_equal_view = view.repair(view.digest(), 100);

    view.republish("vm-a");
    view.republish("vm-z");

    assert_eq!(messages as u32, TRANSMISSIONS_PER_CHANGE);
    assert_eq!(repair, [vm("vm-a", 1, State::Gone)]);
    assert_eq!(repeated, [false, true, false, true], "repairs must back off");
    assert!(repair_of_equal_view.is_empty());
    assert_eq!(view.take_changes(), [vm("vm-a", 1, State::Gone)]);
}

#[test]
fn an_initial_read_is_not_gossiped() {
    let mut view = View::new(chart());

    view.merge_initial(&vm("vm-a", 1, State::Live));
    let sent = view.take_changes();
    let repair = view.repair(0, 0);
    view.merge(&vm("vm-a", 1, State::Leaving));

    assert_eq!(sent, []);
    assert_eq!(repair, [vm("vm-a", 1, State::Live)]);
    assert_eq!(view.take_changes(), [vm("vm-a", 1, State::Leaving)]);
}

#[test]
fn equal_views_have_equal_digests() {
    let mut one = View::new(chart());
    let mut other = View::new(chart());
    one.merge(&vm("vm-a", 1, State::Live));
    one.merge(&vm("vm-b", 1, State::Live));
    one.merge_notice("vm-b", 1);
    other.merge(&vm("vm-b", 1, State::Leaving));
    let different = other.digest();
    other.merge(&vm("vm-a", 1, State::Live));
    other.merge(&vm("vm-c", 1, State::Gone));

    assert_ne!(one.digest(), different);
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn a_peer_is_gone_only_after_others_have_probed_it() {
    let mut liveness = Liveness::default();
    let verdicts: Vec<Verdict> = (0..7).map(|_| liveness.record_miss("a", 1)).collect();

    let probe = Verdict::Probe("a".to_owned());
    let suspect = Verdict::Suspect("a".to_owned(), 1);
    let expected = [&probe, &probe, &suspect, &probe, &probe, &probe];
    assert!(verdicts[..6].iter().eq(expected));
    assert_eq!(verdicts[6], Verdict::Gone("a".to_owned(), 1));
}

#[test]
fn a_newer_incarnation_or_a_response_ends_the_suspicion() {
    for is_response in [true, false] {
        let mut liveness = Liveness::default();
        (0..5).for_each(|_| {
            liveness.record_miss("a", 1);
        });

        if is_response {
            liveness.record_response("a")
        } else {
            liveness.observe_incarnation("a", 2)
        }

        // The count of misses starts over.
        let verdicts: Vec<Verdict> = (0..3).map(|_| liveness.record_miss("a", 2)).collect();
        let probe = Verdict::Probe("a".to_owned());
        assert_eq!(verdicts, [probe.clone(), probe, Verdict::Suspect("a".to_owned(), 2)]);
    }
}

#[test]
fn the_others_read_the_list_when_the_designated_daemon_does_not() {
    let mut designated = Poll::default();
    let mut other = Poll::default();
    other.record_read();
    let mut reads = Vec::new();
    for round in 0..40 {
        designated.advance_round();
        other.advance_round();
        if round < 20 {
            designated.record_read();
        }
        other.merge_remote(designated.age());
        if other.is_due(false) {
            other.record_read();
            reads.push(round);
        }
    }

    assert!(designated.is_due(true));
    assert_eq!(reads, [25, 31, 37]);
}
