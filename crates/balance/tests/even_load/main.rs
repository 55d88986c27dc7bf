//! Many daemons choose at the same moment: how evenly designs load engines.
//!
//! `cargo test -p balance --test even_load -- --nocapture` prints the figures.

mod fleet;

use crate::fleet::Design;
use crate::fleet::Figures;
use crate::fleet::Scene;

#[test]
fn sixty_engines_are_loaded_evenly() {
    check(&Scene { endpoints: 60, per_second: 230, ..Scene::default() });
}

#[test]
fn a_hundred_and_forty_engines_are_loaded_evenly() {
    check(&Scene { endpoints: 140, per_second: 540, ..Scene::default() });
}

#[test]
fn a_burst_with_a_hot_key_is_spread() {
    check(&Scene { burst: 3, hot_percent: 30, ..Scene::default() });
}

#[test]
fn the_engines_that_remain_after_a_wave_are_shared() {
    let scene = Scene { has_wave: true, ..Scene::default() };

    let [present, _, _, accounts] = play(&scene);

    assert!(accounts.wait_ms[0] < present.wait_ms[0], "{accounts:?} {present:?}");
    assert!(accounts.wait_ms[1] < present.wait_ms[1], "{accounts:?} {present:?}");
    assert!(accounts.reread_percent <= present.reread_percent / 2.0, "{accounts:?} {present:?}");
}

#[test]
fn a_cut_of_some_daemons_is_no_worse_than_no_accounts() {
    let scene = Scene { cut_daemons: 20, ..Scene::default() };

    let [present, _, _, accounts] = play(&scene);

    assert!(accounts.blind_percent < present.blind_percent, "{accounts:?} {present:?}");
    assert!(accounts.wait_ms[1] <= present.wait_ms[1], "{accounts:?} {present:?}");
}

fn check(scene: &Scene) {
    let [present, _, _, accounts] = play(scene);

    assert!(accounts.wait_ms[0] < present.wait_ms[0], "{accounts:?} {present:?}");
    assert!(accounts.wait_ms[1] < present.wait_ms[1], "{accounts:?} {present:?}");
    assert!(accounts.excess_ms[1] <= present.excess_ms[1] / 2.0, "{accounts:?} {present:?}");
    assert!(accounts.reread_percent <= present.reread_percent / 2.0, "{accounts:?} {present:?}");
    assert!(accounts.messages <= 6.0, "{accounts:?}");
}

fn play(scene: &Scene) -> [Figures; 4] {
    println!("{scene:?}");
    [Design::Present, Design::WeightedRandom, Design::Weighed, Design::Accounts].map(|design| {
        let figures = fleet::play(scene, design);
        println!("  {design:?} busiest {:.1} {figures:.1?}", figures.busiest);
        figures
    })
}
