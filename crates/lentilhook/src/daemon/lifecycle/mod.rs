//! The daemon's state charts, embedded at build time from the files in `charts/`.

pub mod drain;
pub mod request;

use statechart::Error;
use statechart::Lifecycle;

/// State charts that the daemon interprets.
#[derive(Clone, Debug)]
pub struct Charts {
    /// Lifecycle of a daemon, from its start to its end.
    pub drain: Lifecycle<drain::State, drain::Event>,
    /// Lifecycle of a VM within one incarnation.
    pub vm: membership::lifecycle::Chart,
    /// Lifecycle of a shard's lease.
    pub lease: ledger::lifecycle::Chart,
    /// Lifecycle of a request on this daemon.
    pub request: request::Chart,
}

/// Parses and validates all charts. A daemon doesn't start if one is invalid.
pub fn load() -> Result<Charts, Error> {
    Ok(Charts {
        drain: Lifecycle::parse("charts/drain.json", include_str!("../../../charts/drain.json"))?,
        vm: Lifecycle::parse("charts/vm.json", include_str!("../../../charts/vm.json"))?,
        lease: Lifecycle::parse("charts/lease.json", include_str!("../../../charts/lease.json"))?,
        request: Lifecycle::parse(
            "charts/request.json",
            include_str!("../../../charts/request.json"),
        )?,
    })
}
