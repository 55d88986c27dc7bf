//! Format of chart files.

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;

/// A chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of the lifecycle.
    pub name: String,
    /// Events that may occur.
    pub events: Vec<String>,
    /// Initial state.
    pub initial: String,
    /// States with their transitions.
    pub states: Vec<State>,
    /// Final states.
    #[serde(rename = "final")]
    pub final_states: Vec<String>,
}

/// A state in a chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Name of the state.
    pub name: String,
    /// Transitions, in the order of the file.
    #[serde(default)]
    pub on: Transitions,
}

/// Transitions of a state. Duplicate events are kept so that validation can
/// report them.
#[derive(Clone, Debug, Default)]
pub struct Transitions(pub Vec<Transition>);

/// A transition to another state.
#[derive(Clone, Debug)]
pub struct Transition {
    /// Event that triggers the transition.
    pub event: String,
    /// State after the transition.
    pub target: String,
}

impl<'de> Deserialize<'de> for Transitions {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Transitions, D::Error> {
        deserializer.deserialize_map(TransitionsVisitor)
    }
}

struct TransitionsVisitor;

impl<'de> Visitor<'de> for TransitionsVisitor {
    type Value = Transitions;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("an object of events and target states")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Transitions, A::Error> {
        let mut transitions = Vec::new();
        while let Some((event, target)) = entries.next_entry()? {
            transitions.push(Transition { event, target });
        }
        Ok(Transitions(transitions))
    }
}
