//! Form of a chart file.

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
    /// First state.
    pub initial: String,
    /// States with their transitions.
    pub states: Vec<State>,
    /// States in which the lifecycle ends.
    #[serde(rename = "final")]
    pub ends: Vec<String>,
}

/// A state in a chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Name.
    pub name: String,
    /// Transitions, in the order of the file.
    #[serde(default)]
    pub on: Transitions,
}

/// Transitions out of a state. A repeated event is kept, so that the check
/// can refuse it.
#[derive(Clone, Debug, Default)]
pub struct Transitions(pub Vec<Transition>);

/// An event and the state that it leads to.
#[derive(Clone, Debug)]
pub struct Transition {
    /// Event.
    pub event: String,
    /// State after it.
    pub target: String,
}

impl<'de> Deserialize<'de> for Transitions {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Transitions, D::Error> {
        source.deserialize_map(Entries)
    }
}

struct Entries;

impl<'de> Visitor<'de> for Entries {
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
