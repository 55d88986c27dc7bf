//! Validated charts and their interpretation.

use std::collections::BTreeMap;

use crate::check::check;
use crate::error::Error;
use crate::file::File;
use crate::lifecycle::Label;

/// A validated chart.
#[derive(Clone, Debug)]
pub struct Chart {
    file: String,
    initial: State,
    events: Vec<String>,
    /// Target states by source state and event.
    transitions: BTreeMap<State, BTreeMap<String, State>>,
}

/// Name of a state of a chart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct State(String);

impl Chart {
    /// Parses and validates the text of a chart file.
    ///
    /// `file` is the name of the file, which must match the name of the chart.
    /// Errors mention it. Returns an error if the text is malformed or the chart
    /// is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Chart, Error> {
        let malformed = |it: serde_json::Error| Error::Malformed {
            file: file.to_owned(),
            detail: it.to_string(),
        };
        let parsed: File = serde_json::from_str(text).map_err(malformed)?;
        check(file, &parsed)?;
        let transitions = parsed.states.into_iter().map(|state| {
            let targets = state.on.0.into_iter().map(|it| (it.event, State(it.target)));
            (State(state.name), targets.collect())
        });
        Ok(Chart {
            file: file.to_owned(),
            initial: State(parsed.initial),
            events: parsed.events,
            transitions: transitions.collect(),
        })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> &State {
        &self.initial
    }

    /// Returns the state after an event, or an error if the chart lacks the state
    /// or the state doesn't expect the event.
    pub fn step(&self, state: &State, event: &str) -> Result<State, Error> {
        let Some(targets) = self.transitions.get(state) else {
            return Err(Error::UnknownState { file: self.file.clone(), state: state.0.clone() });
        };
        targets.get(event).cloned().ok_or_else(|| Error::UnexpectedEvent {
            file: self.file.clone(),
            state: state.0.clone(),
            event: event.to_owned(),
        })
    }

    /// Returns the states that are reached from a state by one event.
    pub fn successors(&self, state: &State) -> impl Iterator<Item = &State> {
        self.transitions.get(state).into_iter().flat_map(BTreeMap::values)
    }

    /// Checks that the state and event types of the code have exactly the names of
    /// the chart.
    ///
    /// Returns an error for a name that exists on one side only.
    pub fn check_names<S: Label, E: Label>(&self) -> Result<(), Error> {
        let states: Vec<&str> = self.transitions.keys().map(State::as_str).collect();
        let events: Vec<&str> = self.events.iter().map(String::as_str).collect();
        self.check_set::<S>("state", &states)?;
        self.check_set::<E>("event", &events)
    }

    fn check_set<N: Label>(&self, kind: &'static str, chart_names: &[&str]) -> Result<(), Error> {
        let code_names: Vec<&str> = N::ALL.iter().map(|it| it.name()).collect();
        if let Some(name) = chart_names.iter().find(|it| !code_names.contains(it)) {
            return Err(self.mismatch(kind, name, IN_CHART));
        }
        match code_names.iter().find(|it| !chart_names.contains(it)) {
            Some(name) => Err(self.mismatch(kind, name, "code")),
            None => Ok(()),
        }
    }

    pub(crate) fn mismatch(&self, kind: &'static str, name: &str, side: &'static str) -> Error {
        Error::Mismatch { file: self.file.clone(), kind, name: name.to_owned(), side }
    }
}

impl State {
    /// Creates a state name, which doesn't have to exist in a chart.
    pub fn new(name: &str) -> State {
        State(name.to_owned())
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Side of [`Error::Mismatch`] for a name that only the chart has.
pub(crate) const IN_CHART: &str = "chart";
