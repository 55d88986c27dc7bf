//! The state charts of this daemon, read from the files in `charts/`.

pub mod drain;
pub mod request;

use statechart::Error;
use statechart::Lifecycle;

/// Lifecycles that the daemon interprets.
#[derive(Clone, Debug)]
pub struct Charts {
    /// A daemon, from its start to its end.
    pub drain: Lifecycle<drain::State, drain::Event>,
    /// A VM within one incarnation.
    pub vm: membership::lifecycle::Chart,
    /// A shard's lease.
    pub lease: ledger::lifecycle::Chart,
    /// A request on this daemon.
    pub request: Lifecycle<request::State, request::Event>,
}

/// Reads and checks all charts. A daemon refuses to start on an error.
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
