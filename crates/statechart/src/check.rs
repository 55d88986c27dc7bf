//! Validation of chart files.

use std::collections::BTreeSet;

use crate::error::Error;
use crate::file::File;
use crate::file::State;

/// Validates a chart read from `file`. Returns the first violation.
pub fn check(file: &str, chart: &File) -> Result<(), Error> {
    check_name(file, &chart.name)?;
    check_unique(file, "event", chart.events.iter())?;
    check_unique(file, "state", chart.states.iter().map(|it| &it.name))?;
    check_unique(file, "final state", chart.final_states.iter())?;
    check_defined(file, chart, &chart.initial, "the initial state")?;
    for state in &chart.final_states {
        check_defined(file, chart, state, "a final state")?;
    }
    for state in &chart.states {
        check_transitions(file, chart, state)?;
    }
    check_events_used(file, chart)?;
    check_reachable(file, chart)?;
    check_termination(file, chart)
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
            return Err(Error::DuplicateName { file: file.to_owned(), kind, name: name.clone() });
        }
    }
    Ok(())
}

fn check_defined(file: &str, chart: &File, state: &str, place: &'static str) -> Result<(), Error> {
    if is_defined(chart, state) {
        return Ok(());
    }
    Err(Error::UndefinedState { file: file.to_owned(), state: state.to_owned(), place })
}

fn check_transitions(file: &str, chart: &File, state: &State) -> Result<(), Error> {
    let transitions = &state.on.0;
    check_unique(file, "event of a state", transitions.iter().map(|it| &it.event))?;
    for it in transitions {
        if !chart.events.contains(&it.event) {
            return Err(Error::UndeclaredEvent {
                file: file.to_owned(),
                state: state.name.clone(),
                event: it.event.clone(),
            });
        }
        if !is_defined(chart, &it.target) {
            return Err(Error::UndefinedTarget {
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
    let is_used = |event: &String| {
        chart.states.iter().any(|state| state.on.0.iter().any(|it| it.event == *event))
    };
    match chart.events.iter().find(|it| !is_used(it)) {
        Some(event) => Err(Error::UnusedEvent { file: file.to_owned(), event: event.clone() }),
        None => Ok(()),
    }
}

fn check_reachable(file: &str, chart: &File) -> Result<(), Error> {
    let mut reachable = BTreeSet::from([chart.initial.as_str()]);
    loop {
        let previous_len = reachable.len();
        for state in &chart.states {
            if reachable.contains(state.name.as_str()) {
                reachable.extend(state.on.0.iter().map(|it| it.target.as_str()));
            }
        }
        if reachable.len() == previous_len {
            break;
        }
    }
    match chart.states.iter().find(|it| !reachable.contains(it.name.as_str())) {
        Some(it) => Err(Error::UnreachableState { file: file.to_owned(), state: it.name.clone() }),
        None => Ok(()),
    }
}

fn check_termination(file: &str, chart: &File) -> Result<(), Error> {
    let mut terminating: BTreeSet<&str> = chart.final_states.iter().map(String::as_str).collect();
    let final_with_transitions = chart
        .states
        .iter()
        .find(|it| terminating.contains(it.name.as_str()) && !it.on.0.is_empty());
    if let Some(state) = final_with_transitions {
        return Err(Error::FinalWithTransitions {
            file: file.to_owned(),
            state: state.name.clone(),
        });
    }
    loop {
        let previous_len = terminating.len();
        for state in &chart.states {
            if state.on.0.iter().any(|it| terminating.contains(it.target.as_str())) {
                terminating.insert(&state.name);
            }
        }
        if terminating.len() == previous_len {
            break;
        }
    }
    match chart.states.iter().find(|it| !terminating.contains(it.name.as_str())) {
        Some(it) => Err(Error::NoPathToFinal { file: file.to_owned(), state: it.name.clone() }),
        None => Ok(()),
    }
}

fn is_defined(chart: &File, state: &str) -> bool {
    chart.states.iter().any(|it| it.name == state)
}
