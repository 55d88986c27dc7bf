//! Errors of chart files and of their interpretation.

use snafu::Snafu;

/// Why a chart is refused, or why an event is.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text is no chart.
    #[snafu(display("chart {file}: {detail}; write it as JSON in the form of the other charts"))]
    Malformed {
        /// File.
        file: String,
        /// Decoder failure.
        detail: String,
    },
    /// The name in the chart is not that of the file.
    #[snafu(display("chart {file}: it is named {name:?}; name it after its file"))]
    Misnamed {
        /// File.
        file: String,
        /// Name in the chart.
        name: String,
    },
    /// The initial state or a final state is not among the states.
    #[snafu(display("chart {file}: state {state:?} is {place} but not defined; add it to states"))]
    Undefined {
        /// File.
        file: String,
        /// Name that is not defined.
        state: String,
        /// Where it is named.
        place: &'static str,
    },
    /// A transition leads to a state that is not defined.
    #[snafu(display(
        "chart {file}: state {state:?} goes to {target:?} on {event:?}, which is not defined; \
         define it or correct the target"
    ))]
    Target {
        /// File.
        file: String,
        /// State whose transition it is.
        state: String,
        /// Event.
        event: String,
        /// Target that is not defined.
        target: String,
    },
    /// A transition waits for an event that is not declared.
    #[snafu(display(
        "chart {file}: state {state:?} waits for {event:?}, which is not declared; add it to \
         events or correct its name"
    ))]
    Undeclared {
        /// File.
        file: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
    /// A declared event occurs in no transition.
    #[snafu(display(
        "chart {file}: event {event:?} occurs in no state; remove it from events or use it"
    ))]
    Unused {
        /// File.
        file: String,
        /// Event.
        event: String,
    },
    /// No way leads to a state.
    #[snafu(display(
        "chart {file}: state {state:?} can't be reached from the initial state; add a transition \
         to it or remove it"
    ))]
    Unreachable {
        /// File.
        file: String,
        /// State.
        state: String,
    },
    /// No way leads from a state to a final one.
    #[snafu(display(
        "chart {file}: state {state:?} has no way to a final state; add a transition or list it \
         as final"
    ))]
    Stuck {
        /// File.
        file: String,
        /// State.
        state: String,
    },
    /// A final state has a transition.
    #[snafu(display(
        "chart {file}: final state {state:?} has transitions; remove them or its place in final"
    ))]
    NotFinal {
        /// File.
        file: String,
        /// State.
        state: String,
    },
    /// A name is given twice.
    #[snafu(display("chart {file}: {kind} {name:?} is given twice; rename or remove one"))]
    Duplicate {
        /// File.
        file: String,
        /// What is given twice.
        kind: &'static str,
        /// Name.
        name: String,
    },
    /// The code knows other names than the chart.
    #[snafu(display(
        "chart {file}: {kind} {name:?} is only in the {side}; make the chart and the code agree"
    ))]
    Mismatch {
        /// File.
        file: String,
        /// State or event.
        kind: &'static str,
        /// Name.
        name: String,
        /// Where the name is.
        side: &'static str,
    },
    /// The event is not expected in the state.
    #[snafu(display(
        "chart {file}: event {event:?} is not expected in state {state:?}; keep the state, or add \
         the transition if it is legitimate"
    ))]
    Unexpected {
        /// File.
        file: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
    /// The state is not one of the chart.
    #[snafu(display("chart {file}: there is no state {state:?}; use a state of the chart"))]
    NoState {
        /// File.
        file: String,
        /// Name given.
        state: String,
    },
}
