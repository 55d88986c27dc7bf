//! What happens in a simulation, and what was seen in it.

use std::time::Duration;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub daemons: usize,
    /// Whether endpoints are replaced one after the other by ones of the next version.
    pub replacements: bool,
    /// Interval at which one daemon after the other restarts.
    pub restarts: Option<Duration>,
    /// Whether half of the daemons are killed at once, several times.
    pub kills_half: bool,
    /// Likewise all daemons.
    pub kills_all: bool,
    /// Interval at which endpoints restart under their ids with another version, of which
    /// daemons hear late.
    pub unnoticed_restarts: Option<Duration>,
    /// Releases, in which some to most endpoints restart under their ids.
    pub releases: Option<Release>,
    /// Maximum delay of messages between daemons.
    pub max_delay: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            daemons: 7,
            replacements: false,
            restarts: None,
            kills_half: false,
            kills_all: false,
            unnoticed_restarts: None,
            releases: None,
            max_delay: Duration::from_millis(50),
        }
    }
}

/// Restarts of several endpoints with other versions, one soon after the other.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// Time for which each endpoint is down.
    pub downtime: Duration,
    /// Maximum time from the begin of a release in which no entry can be read.
    pub max_outage: Duration,
}

/// What was seen in a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Streams that went on at another version.
    pub mixed: usize,
    /// Streams taken up at daemons in touch while two endpoints of their version served.
    pub taken_up: usize,
    /// Those of them that went on.
    pub went_on: usize,
}
