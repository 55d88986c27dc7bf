//! What one daemon tells another about a VM.

use bincode::Decode;
use bincode::Encode;

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Role {
    /// A daemon.
    Daemon,
    /// A model engine or plain service.
    Endpoint,
}

/// State of a VM. The order is that of a VM's life: within one incarnation a
/// later state is never followed by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum State {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
    /// Ended.
    Gone,
}

/// A VM and its state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Vm {
    /// Name, reused when the VM is replaced.
    pub id: String,
    /// Incarnation; a replacement has a larger one.
    pub incarnation: u64,
    /// What it runs.
    pub role: Role,
    /// Service of an endpoint, empty for a daemon.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port on which other parts of the system call it.
    pub address: String,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
    /// State.
    pub state: State,
}

/// What a daemon sends to a peer now and then.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// The sender itself.
    pub sender: Vm,
    /// Newest revision of the configuration that the sender has in force.
    pub config_revision: u64,
    /// Rounds since a daemon of the sender's zone read the VM list.
    pub list_age: Option<u32>,
    /// Digest of all VMs that the sender knows.
    pub digest: u64,
    /// VMs that changed lately.
    pub vms: Vec<Vm>,
    /// Daemons that don't answer.
    pub suspects: Vec<Suspect>,
}

/// A daemon that doesn't answer another one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Suspect {
    /// Name.
    pub id: String,
    /// Incarnation that doesn't answer; a larger one refutes the suspicion.
    pub incarnation: u64,
    /// Address for peers.
    pub address: String,
    /// Whether the receiver is asked to tell the suspect.
    pub relay: bool,
}
