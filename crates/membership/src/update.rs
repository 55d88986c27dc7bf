//! Gossip messages about VMs.

use bincode::Decode;
use bincode::Encode;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Role {
    /// Runs a daemon.
    Daemon,
    /// Runs a model engine or a plain service.
    Endpoint,
}

/// State of a VM, in lifecycle order: within one incarnation a later state is
/// never followed by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum State {
    /// Accepts work.
    Live,
    /// Accepts no new work.
    Leaving,
    /// Has ended.
    Gone,
}

/// A VM and its state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Vm {
    /// Name, reused when the VM is replaced.
    pub id: String,
    /// Incarnation. A replacement has a larger one.
    pub incarnation: u64,
    /// Role of the VM.
    pub role: Role,
    /// Service of an endpoint, empty for a daemon.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port on which other parts of the system call it.
    pub address: String,
    /// Price in currency units per hour.
    pub price_per_hour: f64,
    /// State of the VM.
    pub state: State,
}

/// A gossip message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// The sending daemon.
    pub sender: Vm,
    /// Revision of the configuration that is in force on the sender.
    pub config_revision: u64,
    /// Rounds since the latest known read of the VM list in the sender's zone.
    pub list_age: Option<u32>,
    /// Digest of all VMs that the sender knows.
    pub digest: u64,
    /// VMs that changed recently.
    pub vms: Vec<Vm>,
    /// Daemons that do not respond.
    pub suspects: Vec<Suspect>,
}

/// A daemon that does not respond to another one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Suspect {
    /// Name of the daemon.
    pub id: String,
    /// Incarnation that does not respond. A larger one refutes the suspicion.
    pub incarnation: u64,
    /// Address for peers.
    pub address: String,
    /// Whether the receiver should forward the suspicion to the suspect.
    pub relay: bool,
}
