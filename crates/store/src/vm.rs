//! VMs: the list of VMs, reclaim notices, and calls that start and stop VMs.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// The kind of process that a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A lentilhook daemon.
    Daemon,
    /// A model engine or a plain service.
    Endpoint,
}

/// State of a VM according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Running.
    Live,
    /// About to be reclaimed or being stopped.
    Leaving,
    /// No longer running.
    Gone,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Id, which is reused if the VM is replaced.
    pub id: String,
    /// Incarnation of the id; a replacement has a larger one.
    pub incarnation: u64,
    /// Kind of process that it runs.
    pub role: Role,
    /// Service that an endpoint belongs to; empty for a daemon.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// IP address and port of the process.
    pub address: String,
    /// Price per hour, in currency units.
    pub price_per_hour: f64,
    /// Whether the platform may reclaim the VM.
    pub reclaimable: bool,
    /// Last known state.
    pub state: State,
}

/// Changes to the VM list after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// VMs that changed after the requested revision.
    pub vms: Vec<Vm>,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number; later notices have larger ones.
    pub sequence: u64,
    /// Id of the VM that will be reclaimed.
    pub vm: String,
    /// Incarnation that will be reclaimed.
    pub incarnation: u64,
    /// Milliseconds until the reclaim, as of the time of the call.
    pub left_ms: u64,
}

/// An order for a new VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Idempotency token: repeating an order with the same token starts no
    /// second VM.
    pub token: String,
    /// Service that the VM will run.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// Whether to start a reclaimable VM.
    pub reclaimable: bool,
}

/// A kind of VM that can be ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// Whether the platform may reclaim the VM.
    pub reclaimable: bool,
    /// Price per hour, in currency units.
    pub price_per_hour: f64,
}

/// The cloud API and the VM list.
pub trait Cloud: Send + Sync {
    /// Lists the VMs that changed after revision `since`; 0 lists all VMs.
    fn list(&self, since: u64) -> Result<Page, Error>;
    /// Lists the notices with a sequence number larger than `after`.
    fn notices(&self, after: u64) -> Result<Vec<Notice>, Error>;
    /// Lists the kinds of VM that can be ordered; an order may still be refused.
    fn offers(&self) -> Result<Vec<Offer>, Error>;
    /// Starts a VM.
    fn start(&self, order: &Start) -> Result<Vm, Error>;
    /// Stops this incarnation of a VM.
    fn stop(&self, vm: &str, incarnation: u64) -> Result<(), Error>;
}
