//! Who this daemon is.

use ledger::record::Holder;
use membership::update::Role;
use membership::update::State;
use membership::update::Vm;

/// This daemon, as others know it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub daemon: String,
    /// Incarnation, larger after every start.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub peer_address: String,
    /// Addresses for peers of some daemons, from the settings.
    pub seeds: Vec<String>,
}

impl Identity {
    /// This daemon as a holder of leases.
    pub fn holder(&self) -> Holder {
        Holder {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            address: self.peer_address.clone(),
        }
    }

    /// This daemon as a member.
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
