//! Messages to and from the cloud: machine types, and the creation, listing and
//! deletion of machines.

use serde::{Deserialize, Serialize};

/// A machine type as the cloud offers it; also kept in the state service, so
/// that a controller started during a cloud outage knows the types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the type; PROTOCOL's `label`.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs; PROTOCOL's `vcpus`.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators; PROTOCOL's `cards`.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory, in GB; PROTOCOL's `ram_gb`.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Space for images, in GB; PROTOCOL's `local_gb`.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB a second; PROTOCOL's
    /// `pull_gb_per_s`.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// The hourly price of an on-demand machine; PROTOCOL's `hourly`.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// The current hourly price of a spot machine.
    #[serde(rename = "spot_price", default)]
    pub spot_price: f64,
    /// The usual time to boot, in seconds; PROTOCOL's `ready_s`.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// The zones in which it is offered; PROTOCOL's `yards`.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// The cloud's offer, the response to `GET /flavors`.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All machine types; PROTOCOL's `grades`.
    #[serde(rename = "grades")]
    pub types: Vec<MachineType>,
}

/// A request to create machines, the body of `POST /rentals`.
#[derive(Debug, Serialize)]
pub struct CreateMachinesRequest<'a> {
    /// Makes the request idempotent: a repetition creates no further machines.
    /// PROTOCOL's `hire`.
    #[serde(rename = "hire")]
    pub idempotency_key: &'a str,
    /// The machine type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: &'a str,
    /// The zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// Whether to create spot machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The maximum number of machines to create; PROTOCOL's `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The machines that were created, or are to be deleted.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineIds {
    /// Their ids; PROTOCOL's `bays`.
    #[serde(rename = "bays")]
    pub machines: Vec<String>,
}

/// The stage of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineStage {
    /// Created and charged, but not known to be up.
    #[serde(rename = "booting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself; listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Its id; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: String,
    /// Its zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its stage.
    #[serde(rename = "stage")]
    pub stage: ListedMachineStage,
    /// Seconds since it was created, at the time that the list describes.
    #[serde(rename = "age_s", default)]
    pub age_s: f64,
}

/// A page of the cloud's list, the response to `GET /rentals`.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their ids; PROTOCOL's `bays`.
    #[serde(rename = "bays")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
