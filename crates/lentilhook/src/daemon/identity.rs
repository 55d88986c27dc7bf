//! Identity of this daemon.

use ledger::record::Holder;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;

/// Identity under which other daemons know this one.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub daemon: String,
    /// Incarnation, which increases with every start.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address on which peers connect.
    pub peer_address: String,
    /// Peer addresses of some daemons, from the settings.
    pub seeds: Vec<String>,
}

impl Identity {
    /// Returns this daemon as the holder of a ledger lease.
    pub fn holder(&self) -> Holder {
        Holder {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            address: self.peer_address.clone(),
        }
    }

    /// Returns this daemon's membership record in the given state.
    pub fn vm(&self, state: State) -> Vm {
        Vm {
            id: self.daemon.clone(),
            incarnation: self.incarnation,
            role: Role::Daemon,
            service: String::new(),
            zone: self.zone.clone(),
            address: self.peer_address.clone(),
            price_per_hour: 0.0,
            state,
        }
    }
}
