//! Charts: what is refused, with which words, and how they are interpreted.

use statechart::Chart;
use statechart::Lifecycle;
use statechart::Names;
use statechart::chart::State;

const DOOR: &str = r#"{
    "name": "door", "events": ["open", "close", "lock"], "initial": "shut",
    "states": [
        { "name": "shut", "on": { "open": "ajar", "lock": "locked" } },
        { "name": "ajar", "on": { "close": "shut" } },
        { "name": "locked" }
    ],
    "final": ["locked"]
}"#;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Door {
    Shut,
    Ajar,
    Locked,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Open,
    Close,
    Lock,
}

#[derive(Clone, Copy, Debug)]
enum Short {
    Open,
    Close,
}

impl Names for Door {
    const ALL: &'static [Door] = &[Door::Shut, Door::Ajar, Door::Locked];

    fn name(self) -> &'static str {
        ["shut", "ajar", "locked"][self as usize]
    }
}

impl Names for Event {
    const ALL: &'static [Event] = &[Event::Open, Event::Close, Event::Lock];

    fn name(self) -> &'static str {
        ["open", "close", "lock"][self as usize]
    }
}

impl Names for Short {
    const ALL: &'static [Short] = &[Short::Open, Short::Close];

    fn name(self) -> &'static str {
        ["open", "close"][self as usize]
    }
}

/// Refuses the chart in which `old` is replaced by `new`, with `words`.
fn check(old: &str, new: &str, words: &[&str]) {
    let text = DOOR.replacen(old, new, 1);
    assert_ne!(text, DOOR);

    let error = Chart::parse("door.json", &text).expect_err(new).to_string();

    for word in words.iter().chain(&["door.json", "; "]) {
        assert!(error.contains(word), "{error:?} lacks {word:?}");
    }
}

#[test]
fn wrong_charts_are_refused() {
    check("\"ajar\", \"lock\"", "\"open\", \"lock\"", &["shut", "\"open\"", "define it"]);
    check("\"open\": \"ajar\", ", "", &["\"open\"", "remove it from events"]);
    check("\"open\": \"ajar\"", "\"open\": \"shut\"", &["ajar", "can't be reached"]);
    check("\"close\": \"shut\"", "\"close\": \"ajar\"", &["ajar", "no way to a final state"]);
    check("\"name\": \"ajar\"", "\"name\": \"shut\"", &["state \"shut\"", "given twice"]);
    check("\"close\", \"lock\"]", "\"close\", \"close\"]", &["event \"close\"", "given twice"]);
    check("\"lock\": \"locked\"", "\"open\": \"locked\"", &["event", "given twice"]);
    check("\"lock\": \"locked\"", "\"bolt\": \"locked\"", &["shut", "bolt", "add it to events"]);
    check("\"initial\": \"shut\"", "\"initial\": \"none\"", &["none", "the initial state"]);
    check("[\"locked\"]", "[\"locked\", \"gone\"]", &["gone", "a final state"]);
    check("[\"locked\"]", "[\"locked\", \"ajar\"]", &["ajar", "has transitions"]);
    check("[\"locked\"]", "[]", &["no way to a final state"]);
    check("\"name\": \"door\"", "\"name\": \"gate\"", &["gate", "name it after its file"]);
    check("\"final\"", "\"ends\"", &["unknown field", "JSON"]);
}

#[test]
fn events_lead_on_or_are_refused() {
    let chart = Chart::parse("door.json", DOOR).expect("a sound chart");

    let ajar = chart.step(chart.initial(), "open").expect("expected event");
    let refused = chart.step(&ajar, "lock").expect_err("unexpected event").to_string();
    let absent = chart.step(&State::new("burnt"), "open").expect_err("no state").to_string();

    assert_eq!(ajar.as_str(), "ajar");
    assert!(refused.contains("\"lock\" is not expected in state \"ajar\""), "{refused}");
    assert!(absent.contains("no state \"burnt\""), "{absent}");
}

#[test]
fn the_code_has_the_names_of_the_chart() {
    let door = Lifecycle::<Door, Event>::parse("door.json", DOOR).expect("equal names");
    let missing = Lifecycle::<Door, Short>::parse("door.json", DOOR).expect_err("lock").to_string();

    assert_eq!(door.next(door.initial(), Event::Lock), Ok(Door::Locked));
    assert!(door.next(Door::Locked, Event::Open).is_err());
    assert!(door.leads(Door::Ajar, Door::Locked) && !door.leads(Door::Locked, Door::Shut));
    assert!(door.leads(Door::Shut, Door::Shut));
    assert!(missing.contains("event \"lock\" is only in the chart"), "{missing}");
}
