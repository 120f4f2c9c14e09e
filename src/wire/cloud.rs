//! Messages to and from the cloud: machine types, and the creation, listing and
//! deletion of machines.

use serde::{Deserialize, Serialize};

/// Machine type that the cloud offers. Machine types are also stored in the state service,
/// from which a controller that starts during an outage of the cloud reads them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type; PROTOCOL's `label`.
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
    /// Local storage for images, in GB; PROTOCOL's `local_gb`.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second; PROTOCOL's `pull_gb_per_s`.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand machine; PROTOCOL's `hourly`.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current hourly price of a spot machine of this type.
    #[serde(rename = "spot_price", default)]
    pub spot_price: f64,
    /// Usual boot time, in seconds; PROTOCOL's `ready_s`.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered; PROTOCOL's `yards`.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Machine types that the cloud offers; the response to `GET /flavors`.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All machine types; PROTOCOL's `grades`.
    #[serde(rename = "grades")]
    pub types: Vec<MachineType>,
}

/// Request to create machines; the body of `POST /rentals`.
#[derive(Debug, Serialize)]
pub struct CreateMachinesRequest<'a> {
    /// Idempotency key: a repeated request with the same key creates no further machines.
    /// PROTOCOL's `hire`.
    #[serde(rename = "hire")]
    pub idempotency_key: &'a str,
    /// Machine type; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: &'a str,
    /// Zone; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// True to create spot machines instead of on-demand machines; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Maximum number of machines to create; PROTOCOL's `number`.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Ids of machines: in the response to a creation those that were created, in a request for
/// a deletion those that are to be deleted.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineIds {
    /// Ids of the machines; PROTOCOL's `bays`.
    #[serde(rename = "bays")]
    pub machines: Vec<String>,
}

/// Stage of a machine, as the cloud's list of machines shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedMachineStage {
    /// The machine was created and is charged, but it is not yet known to be up.
    #[serde(rename = "booting")]
    Booting,
    /// The machine is up.
    #[serde(rename = "running")]
    Running,
    /// The machine has failed. It is listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// Entry for a machine in the cloud's list of machines.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine; PROTOCOL's `name_id`.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Type of the machine; PROTOCOL's `grade`.
    #[serde(rename = "grade")]
    pub machine_type: String,
    /// Zone of the machine; PROTOCOL's `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// True if the machine is a spot machine; PROTOCOL's `loaners`.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Stage of the machine.
    #[serde(rename = "stage")]
    pub stage: ListedMachineStage,
    /// Age of the machine, in seconds, at the time that the list describes. The list may lag
    /// behind the present.
    #[serde(rename = "age_s", default)]
    pub age_s: f64,
}

/// Page of the cloud's list of machines; the response to `GET /rentals`.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// Machines, sorted by id. Called `bays` in PROTOCOL.
    #[serde(rename = "bays")]
    pub machines: Vec<ListedMachine>,
    /// True if there are further pages; PROTOCOL's `truncated`.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
