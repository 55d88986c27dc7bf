//! Errors in chart files and in their interpretation.

use snafu::Snafu;

/// Reason why a chart is invalid or an event can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text is not a valid chart file.
    #[snafu(display("chart {file}: {detail}; write it as JSON in the format of the other charts"))]
    Malformed {
        /// Chart file.
        file: String,
        /// Message of the JSON decoder.
        detail: String,
    },
    /// The name of the chart doesn't match the file name.
    #[snafu(display("chart {file}: it is named {name:?}; name it after its file"))]
    Misnamed {
        /// Chart file.
        file: String,
        /// Name in the chart.
        name: String,
    },
    /// The initial state or a final state is not defined.
    #[snafu(display("chart {file}: state {state:?} is {place} but not defined; add it to states"))]
    UndefinedState {
        /// Chart file.
        file: String,
        /// Undefined state.
        state: String,
        /// Role in which the chart mentions it.
        place: &'static str,
    },
    /// The target of a transition is not defined.
    #[snafu(display(
        "chart {file}: state {state:?} goes to {target:?} on {event:?}, which is not defined; \
         define it or correct the target"
    ))]
    UndefinedTarget {
        /// Chart file.
        file: String,
        /// Source state.
        state: String,
        /// Event.
        event: String,
        /// Undefined target state.
        target: String,
    },
    /// A transition is triggered by an event that is not declared.
    #[snafu(display(
        "chart {file}: state {state:?} has a transition on {event:?}, which is not declared; \
         add it to events or correct its name"
    ))]
    UndeclaredEvent {
        /// Chart file.
        file: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
    /// No transition uses a declared event.
    #[snafu(display(
        "chart {file}: event {event:?} is not used in any state; remove it from events or use it"
    ))]
    UnusedEvent {
        /// Chart file.
        file: String,
        /// Event.
        event: String,
    },
    /// A state can't be reached from the initial state.
    #[snafu(display(
        "chart {file}: state {state:?} can't be reached from the initial state; add a transition \
         to it or remove it"
    ))]
    UnreachableState {
        /// Chart file.
        file: String,
        /// State.
        state: String,
    },
    /// No final state can be reached from a state.
    #[snafu(display(
        "chart {file}: state {state:?} has no path to a final state; add a transition or list it \
         as final"
    ))]
    NoPathToFinal {
        /// Chart file.
        file: String,
        /// State.
        state: String,
    },
    /// A final state has transitions.
    #[snafu(display(
        "chart {file}: final state {state:?} has transitions; remove them or remove it from final"
    ))]
    FinalWithTransitions {
        /// Chart file.
        file: String,
        /// State.
        state: String,
    },
    /// A name is defined twice.
    #[snafu(display("chart {file}: {kind} {name:?} is defined twice; rename or remove one"))]
    DuplicateName {
        /// Chart file.
        file: String,
        /// Kind of the duplicate.
        kind: &'static str,
        /// Name.
        name: String,
    },
    /// The names in the code and in the chart differ.
    #[snafu(display(
        "chart {file}: {kind} {name:?} is only in the {side}; make the chart and the code agree"
    ))]
    Mismatch {
        /// Chart file.
        file: String,
        /// Kind of the name: state or event.
        kind: &'static str,
        /// Name.
        name: String,
        /// Side on which the name exists: chart or code.
        side: &'static str,
    },
    /// The state has no transition for the event.
    #[snafu(display(
        "chart {file}: event {event:?} is not expected in state {state:?}; keep the state, or add \
         the transition if it is legitimate"
    ))]
    UnexpectedEvent {
        /// Chart file.
        file: String,
        /// State.
        state: String,
        /// Event.
        event: String,
    },
    /// The chart doesn't define the state.
    #[snafu(display("chart {file}: there is no state {state:?}; use a state of the chart"))]
    UnknownState {
        /// Chart file.
        file: String,
        /// Unknown state.
        state: String,
    },
}
