//! Validation of charts, its error messages, and interpretation of charts.

use statechart::Chart;
use statechart::Label;
use statechart::Lifecycle;
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
enum IncompleteEvent {
    Open,
    Close,
}

impl Label for Door {
    const ALL: &'static [Door] = &[Door::Shut, Door::Ajar, Door::Locked];

    fn name(self) -> &'static str {
        ["shut", "ajar", "locked"][self as usize]
    }
}

impl Label for Event {
    const ALL: &'static [Event] = &[Event::Open, Event::Close, Event::Lock];

    fn name(self) -> &'static str {
        ["open", "close", "lock"][self as usize]
    }
}

impl Label for IncompleteEvent {
    const ALL: &'static [IncompleteEvent] = &[IncompleteEvent::Open, IncompleteEvent::Close];

    fn name(self) -> &'static str {
        ["open", "close"][self as usize]
    }
}

/// Checks that the chart is invalid after `old` is replaced by `new`, and that the
/// error message contains each of `parts`.
fn check(old: &str, new: &str, parts: &[&str]) {
    let text = DOOR.replacen(old, new, 1);
    assert_ne!(text, DOOR);

    let error = Chart::parse("door.json", &text).expect_err(new).to_string();

    for part in parts.iter().chain(&["door.json", "; "]) {
        assert!(error.contains(part), "{error:?} lacks {part:?}");
    }
}

#[test]
fn invalid_charts_are_rejected() {
    check("\"ajar\", \"lock\"", "\"open\", \"lock\"", &["shut", "\"open\"", "define it"]);
    check("\"open\": \"ajar\", ", "", &["\"open\"", "remove it from events"]);
    check("\"open\": \"ajar\"", "\"open\": \"shut\"", &["ajar", "can't be reached"]);
    check("\"close\": \"shut\"", "\"close\": \"ajar\"", &["ajar", "no path to a final state"]);
    check("\"name\": \"ajar\"", "\"name\": \"shut\"", &["state \"shut\"", "defined twice"]);
    check("\"close\", \"lock\"]", "\"close\", \"close\"]", &["event \"close\"", "defined twice"]);
    check("\"lock\": \"locked\"", "\"open\": \"locked\"", &["event", "defined twice"]);
    check("\"lock\": \"locked\"", "\"bolt\": \"locked\"", &["shut", "bolt", "add it to events"]);
    check("\"initial\": \"shut\"", "\"initial\": \"none\"", &["none", "the initial state"]);
    check("[\"locked\"]", "[\"locked\", \"gone\"]", &["gone", "a final state"]);
    check("[\"locked\"]", "[\"locked\", \"ajar\"]", &["ajar", "has transitions"]);
    check("[\"locked\"]", "[]", &["no path to a final state"]);
    check("\"name\": \"door\"", "\"name\": \"gate\"", &["gate", "name it after its file"]);
    check("\"final\"", "\"ends\"", &["unknown field", "JSON"]);
}

#[test]
fn unexpected_events_and_unknown_states_are_rejected() {
    let chart = Chart::parse("door.json", DOOR).expect("a valid chart");

    let ajar = chart.step(chart.initial(), "open").expect("expected event");
    let unexpected = chart.step(&ajar, "lock").expect_err("unexpected event").to_string();
    let unknown = chart.step(&State::new("burnt"), "open").expect_err("no state").to_string();

    assert_eq!(ajar.as_str(), "ajar");
    assert!(unexpected.contains("\"lock\" is not expected in state \"ajar\""), "{unexpected}");
    assert!(unknown.contains("no state \"burnt\""), "{unknown}");
}

#[test]
fn names_in_code_and_chart_must_match() {
    let door = Lifecycle::<Door, Event>::parse("door.json", DOOR).expect("the names match");
    let missing =
        Lifecycle::<Door, IncompleteEvent>::parse("door.json", DOOR).expect_err("lock").to_string();

    assert_eq!(door.next(door.initial(), Event::Lock), Ok(Door::Locked));
    assert!(door.next(Door::Locked, Event::Open).is_err());
    assert!(
        door.is_reachable(Door::Ajar, Door::Locked) && !door.is_reachable(Door::Locked, Door::Shut)
    );
    assert!(door.is_reachable(Door::Shut, Door::Shut));
    assert!(missing.contains("event \"lock\" is only in the chart"), "{missing}");
}
