//! VMs: the list of live and leaving ones, reclaim notices, start and stop.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A lentilhook daemon.
    Daemon,
    /// A model engine or plain service.
    Endpoint,
}

/// State of a VM as the platform's list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Running.
    Live,
    /// Noticed for reclaim or being stopped.
    Leaving,
    /// No longer running.
    Gone,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, reused when the VM is replaced.
    pub id: String,
    /// Incarnation of the name; a replacement has a larger one.
    pub incarnation: u64,
    /// What runs on it.
    pub role: Role,
    /// Service of an endpoint, empty for a daemon.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// IP address and port of the process.
    pub address: String,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Last known state.
    pub state: State,
}

/// A page of the VM list: what changed after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Revision up to which this page is complete.
    pub revision: u64,
    /// VMs changed since the requested revision.
    pub vms: Vec<Vm>,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Number of the notice, growing.
    pub sequence: u64,
    /// VM that will be reclaimed.
    pub vm: String,
    /// Incarnation that will be reclaimed.
    pub incarnation: u64,
    /// Milliseconds left at the time of reading.
    pub left_ms: u64,
}

/// Order for a new VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Token that makes a repeated order idempotent.
    pub token: String,
    /// Service that the VM will run.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// Whether a reclaimable VM is wanted.
    pub reclaimable: bool,
}

/// A kind of VM that the platform offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Availability zone.
    pub zone: String,
    /// Machine class.
    pub class: String,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Price in currency units an hour.
    pub price_per_hour: f64,
}

/// The cloud API and the VM list.
pub trait Cloud: Send + Sync {
    /// Lists the VMs changed after `since`; 0 gives all.
    fn list(&self, since: u64) -> Result<Page, Error>;
    /// Lists the notices with a number larger than `after`.
    fn notices(&self, after: u64) -> Result<Vec<Notice>, Error>;
    /// Lists what may be started; a start may still be refused.
    fn offers(&self) -> Result<Vec<Offer>, Error>;
    /// Starts a VM.
    fn start(&self, order: &Start) -> Result<Vm, Error>;
    /// Stops a VM.
    fn stop(&self, vm: &str, incarnation: u64) -> Result<(), Error>;
}
