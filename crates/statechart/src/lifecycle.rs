//! Charts with typed states and events.

use std::marker::PhantomData;

use crate::chart::Chart;
use crate::chart::IN_CHART;
use crate::chart::State;
use crate::error::Error;

/// A type whose values are all states or all events of a chart.
pub trait Label: Copy + 'static {
    /// All values.
    const ALL: &'static [Self];
    /// Returns the name of the value in the chart.
    fn name(self) -> &'static str;
}

/// A chart with states of type `S` and events of type `E`.
#[derive(Clone, Debug)]
pub struct Lifecycle<S, E> {
    chart: Chart,
    initial: S,
    events: PhantomData<E>,
}

impl<S: Label, E: Label> Lifecycle<S, E> {
    /// Parses and validates the text of a chart file named `file`.
    ///
    /// Returns an error if the chart is invalid or its names differ from those of
    /// `S` and `E`.
    pub fn parse(file: &str, text: &str) -> Result<Lifecycle<S, E>, Error> {
        let chart = Chart::parse(file, text)?;
        chart.check_names::<S, E>()?;
        let initial = typed_state(&chart, chart.initial())?;
        Ok(Lifecycle { chart, initial, events: PhantomData })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state after an event, or an error if the state doesn't expect the
    /// event.
    pub fn next(&self, state: S, event: E) -> Result<S, Error> {
        let next = self.chart.step(&State::new(state.name()), event.name())?;
        typed_state(&self.chart, &next)
    }

    /// Whether one or more events lead from one state to another.
    pub fn is_reachable(&self, from: S, to: S) -> bool {
        let from = State::new(from.name());
        let mut reachable: Vec<&State> = self.chart.successors(&from).collect();
        let mut visited = 0;
        while let Some(state) = reachable.get(visited).copied() {
            visited += 1;
            for target in self.chart.successors(state) {
                if !reachable.contains(&target) {
                    reachable.push(target);
                }
            }
        }
        reachable.iter().any(|it| it.as_str() == to.name())
    }
}

/// Converts a state name to its typed state.
fn typed_state<S: Label>(chart: &Chart, state: &State) -> Result<S, Error> {
    let found = S::ALL.iter().find(|it| it.name() == state.as_str());
    found.copied().ok_or_else(|| chart.mismatch("state", state.as_str(), IN_CHART))
}
