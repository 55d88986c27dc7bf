//! Handover decisions and placement of copies.

use std::time::Duration;

use policy::handover::Completion;
use policy::handover::Daemon;
use policy::handover::Decision;
use policy::handover::decide;
use policy::handover::successors;
use policy::ring;

#[test]
fn a_completion_is_finished_only_when_its_token_rate_allows() {
    let check = |tokens: u32, age_s: u64, left_s: u64, expected: Decision| {
        let age = Duration::from_secs(age_s);
        let completion = Completion { tokens, max_tokens: 100, age };

        let decision = decide(&completion, Duration::from_secs(left_s));

        assert_eq!(decision, expected, "{tokens} tokens in {age_s} s, {left_s} s left");
    };

    check(0, 1, 1000, Decision::HandOver);
    check(50, 5, 10, Decision::Finish);
    check(50, 5, 8, Decision::HandOver);
    check(99, 99, 2, Decision::Finish);
    check(100, 10, 0, Decision::Finish);
}

#[test]
fn the_key_owner_has_a_copy_after_the_loss_of_a_daemon_or_zone() {
    let daemons: Vec<(String, &str)> =
        (0..7).map(|it| (format!("entry-{it}"), ["a", "a", "b", "c"][it % 4])).collect();
    let all: Vec<Daemon<'_>> = daemons.iter().map(|(id, zone)| Daemon { id, zone }).collect();
    let owner = |name: &str, lost: &dyn Fn(&Daemon<'_>) -> bool| {
        let remaining = all.iter().filter(|it| !lost(it)).map(|it| it.id);
        ring::owner(name, remaining).map(str::to_owned)
    };

    for number in 0..200 {
        let name = format!("workspace/service/key-{number}");
        let copies = successors(&name, &all);
        let zone = all.iter().find(|it| it.id == copies[0]).map(|it| it.zone);

        assert_eq!(owner(&name, &|_| false).as_deref(), Some(copies[0]));
        let after_daemon_loss = owner(&name, &|it| it.id == copies[0]);
        assert!(
            copies.iter().any(|it| Some(*it) == after_daemon_loss.as_deref()),
            "{name}: {copies:?}"
        );
        let after_zone_loss = owner(&name, &|it| Some(it.zone) == zone);
        assert!(
            copies.iter().any(|it| Some(*it) == after_zone_loss.as_deref()),
            "{name}: {copies:?}"
        );
    }
}
