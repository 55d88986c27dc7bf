//! A lifecycle: a chart whose states and events are closed sets of the code.

use std::marker::PhantomData;

use crate::chart::Chart;
use crate::chart::IN_CHART;
use crate::chart::State;
use crate::error::Error;

/// A closed set of states or events in the code, with the names of a chart.
pub trait Names: Copy + 'static {
    /// All values.
    const ALL: &'static [Self];
    /// Name of a value in the chart.
    fn name(self) -> &'static str;
}

/// A chart with the states `S` and the events `E`.
#[derive(Clone, Debug)]
pub struct Lifecycle<S, E> {
    chart: Chart,
    initial: S,
    events: PhantomData<E>,
}

impl<S: Names, E: Names> Lifecycle<S, E> {
    /// Reads and checks a chart file, whose names must be exactly those of
    /// the code.
    pub fn parse(file: &str, text: &str) -> Result<Lifecycle<S, E>, Error> {
        let chart = Chart::parse(file, text)?;
        chart.check_names::<S, E>()?;
        let initial = typed(&chart, chart.initial())?;
        Ok(Lifecycle { chart, initial, events: PhantomData })
    }

    /// First state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// State after an event; an event that the state doesn't expect is an error.
    pub fn next(&self, state: S, event: E) -> Result<S, Error> {
        let next = self.chart.step(&State::new(state.name()), event.name())?;
        typed(&self.chart, &next)
    }

    /// Whether one or more events lead from one state to another.
    pub fn leads(&self, from: S, to: S) -> bool {
        let from = State::new(from.name());
        let mut reached: Vec<&State> = self.chart.successors(&from).collect();
        let mut looked_at = 0;
        while let Some(state) = reached.get(looked_at).copied() {
            looked_at += 1;
            for target in self.chart.successors(state) {
                if !reached.contains(&target) {
                    reached.push(target);
                }
            }
        }
        reached.iter().any(|it| it.as_str() == to.name())
    }
}

fn typed<S: Names>(chart: &Chart, state: &State) -> Result<S, Error> {
    let found = S::ALL.iter().find(|it| it.name() == state.as_str());
    found.copied().ok_or_else(|| chart.mismatch("state", state.as_str(), IN_CHART))
}
