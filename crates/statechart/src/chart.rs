//! A checked chart and its interpretation.

use std::collections::BTreeMap;

use crate::check::check;
use crate::error::Error;
use crate::file::File;
use crate::lifecycle::Names;

/// A checked chart.
#[derive(Clone, Debug)]
pub struct Chart {
    file: String,
    initial: State,
    events: Vec<String>,
    states: BTreeMap<State, BTreeMap<String, State>>,
}

/// Name of a state of a chart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct State(String);

impl Chart {
    /// Reads and checks the text of a chart file; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Chart, Error> {
        let malformed = |it: serde_json::Error| Error::Malformed {
            file: file.to_owned(),
            detail: it.to_string(),
        };
        let parsed: File = serde_json::from_str(text).map_err(malformed)?;
        check(file, &parsed)?;
        let states = parsed.states.into_iter().map(|state| {
            let on = state.on.0.into_iter().map(|it| (it.event, State(it.target)));
            (State(state.name), on.collect())
        });
        Ok(Chart {
            file: file.to_owned(),
            initial: State(parsed.initial),
            events: parsed.events,
            states: states.collect(),
        })
    }

    /// First state.
    pub fn initial(&self) -> &State {
        &self.initial
    }

    /// State after an event.
    pub fn step(&self, state: &State, event: &str) -> Result<State, Error> {
        let Some(on) = self.states.get(state) else {
            return Err(Error::NoState { file: self.file.clone(), state: state.0.clone() });
        };
        on.get(event).cloned().ok_or_else(|| Error::Unexpected {
            file: self.file.clone(),
            state: state.0.clone(),
            event: event.to_owned(),
        })
    }

    /// States that one event leads to.
    pub fn successors(&self, state: &State) -> impl Iterator<Item = &State> {
        self.states.get(state).into_iter().flat_map(BTreeMap::values)
    }

    /// Checks that the closed sets of the code have exactly the names of the
    /// chart.
    pub fn check_names<S: Names, E: Names>(&self) -> Result<(), Error> {
        let states: Vec<&str> = self.states.keys().map(State::as_str).collect();
        let events: Vec<&str> = self.events.iter().map(String::as_str).collect();
        self.check_set::<S>("state", &states)?;
        self.check_set::<E>("event", &events)
    }

    fn check_set<N: Names>(&self, kind: &'static str, names: &[&str]) -> Result<(), Error> {
        let coded: Vec<&str> = N::ALL.iter().map(|it| it.name()).collect();
        if let Some(name) = names.iter().find(|it| !coded.contains(it)) {
            return Err(self.mismatch(kind, name, IN_CHART));
        }
        match coded.iter().find(|it| !names.contains(it)) {
            Some(name) => Err(self.mismatch(kind, name, "code")),
            None => Ok(()),
        }
    }

    pub(crate) fn mismatch(&self, kind: &'static str, name: &str, side: &'static str) -> Error {
        Error::Mismatch { file: self.file.clone(), kind, name: name.to_owned(), side }
    }
}

impl State {
    /// Names a state, which need not be one of a chart.
    pub fn new(name: &str) -> State {
        State(name.to_owned())
    }

    /// Name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Side of a name that only the chart has.
pub(crate) const IN_CHART: &str = "chart";
