//! What a chart file must fulfil.

use std::collections::BTreeSet;

use crate::error::Error;
use crate::file::File;
use crate::file::State;

/// Checks a chart read from `file`.
pub fn check(file: &str, chart: &File) -> Result<(), Error> {
    check_name(file, &chart.name)?;
    check_unique(file, "event", chart.events.iter())?;
    check_unique(file, "state", chart.states.iter().map(|it| &it.name))?;
    check_unique(file, "final state", chart.ends.iter())?;
    check_defined(file, chart, &chart.initial, "the initial state")?;
    for end in &chart.ends {
        check_defined(file, chart, end, "a final state")?;
    }
    for state in &chart.states {
        check_transitions(file, chart, state)?;
    }
    check_events_used(file, chart)?;
    check_reachable(file, chart)?;
    check_ending(file, chart)
}

fn check_name(file: &str, name: &str) -> Result<(), Error> {
    if file.rsplit('/').next() == Some(&format!("{name}.json")) {
        return Ok(());
    }
    Err(Error::Misnamed { file: file.to_owned(), name: name.to_owned() })
}

fn check_unique<'a>(
    file: &str,
    kind: &'static str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Error::Duplicate { file: file.to_owned(), kind, name: name.clone() });
        }
    }
    Ok(())
}

fn check_defined(file: &str, chart: &File, state: &str, place: &'static str) -> Result<(), Error> {
    if is_defined(chart, state) {
        return Ok(());
    }
    Err(Error::Undefined { file: file.to_owned(), state: state.to_owned(), place })
}

fn check_transitions(file: &str, chart: &File, state: &State) -> Result<(), Error> {
    let transitions = &state.on.0;
    check_unique(file, "event of a state", transitions.iter().map(|it| &it.event))?;
    for it in transitions {
        if !chart.events.contains(&it.event) {
            return Err(Error::Undeclared {
                file: file.to_owned(),
                state: state.name.clone(),
                event: it.event.clone(),
            });
        }
        if !is_defined(chart, &it.target) {
            return Err(Error::Target {
                file: file.to_owned(),
                state: state.name.clone(),
                event: it.event.clone(),
                target: it.target.clone(),
            });
        }
    }
    Ok(())
}

fn check_events_used(file: &str, chart: &File) -> Result<(), Error> {
    let used = |event: &String| {
        chart.states.iter().any(|state| state.on.0.iter().any(|it| it.event == *event))
    };
    match chart.events.iter().find(|it| !used(it)) {
        Some(event) => Err(Error::Unused { file: file.to_owned(), event: event.clone() }),
        None => Ok(()),
    }
}

fn check_reachable(file: &str, chart: &File) -> Result<(), Error> {
    let mut reached = BTreeSet::from([chart.initial.as_str()]);
    loop {
        let known = reached.len();
        for state in &chart.states {
            if reached.contains(state.name.as_str()) {
                reached.extend(state.on.0.iter().map(|it| it.target.as_str()));
            }
        }
        if reached.len() == known {
            break;
        }
    }
    match chart.states.iter().find(|it| !reached.contains(it.name.as_str())) {
        Some(it) => Err(Error::Unreachable { file: file.to_owned(), state: it.name.clone() }),
        None => Ok(()),
    }
}

fn check_ending(file: &str, chart: &File) -> Result<(), Error> {
    let mut ending: BTreeSet<&str> = chart.ends.iter().map(String::as_str).collect();
    let with_exit =
        chart.states.iter().find(|it| ending.contains(it.name.as_str()) && !it.on.0.is_empty());
    if let Some(state) = with_exit {
        return Err(Error::NotFinal { file: file.to_owned(), state: state.name.clone() });
    }
    loop {
        let known = ending.len();
        for state in &chart.states {
            if state.on.0.iter().any(|it| ending.contains(it.target.as_str())) {
                ending.insert(&state.name);
            }
        }
        if ending.len() == known {
            break;
        }
    }
    match chart.states.iter().find(|it| !ending.contains(it.name.as_str())) {
        Some(it) => Err(Error::Stuck { file: file.to_owned(), state: it.name.clone() }),
        None => Ok(()),
    }
}

fn is_defined(chart: &File, state: &str) -> bool {
    chart.states.iter().any(|it| it.name == state)
}
