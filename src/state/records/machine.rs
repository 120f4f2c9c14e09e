//! Defines the records of machines, zone shards, machine shards and provisioning requests.

use std::collections::BTreeMap;

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};

use crate::wire::{MachineType, WorkerStatus};

impl MachineType {
    /// Returns the resources of a machine of this type.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: Amount::rounded_down(self.cpus),
            gpus: Amount::rounded_down(self.gpus),
            ram: Amount::rounded_down(self.memory_gb),
        }
    }
}

/// Entry in a zone shard for a machine on which tasks may be placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSlot {
    /// Name of the machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// True for a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// Free resources when the record was last written. Planning does not rely on this value,
    /// as tasks may have ended since: it subtracts the current bookings from the capacity of
    /// the machine type.
    #[serde(rename = "f", default)]
    pub free: Resources,
    /// Resources that tasks without a booking take, as reported by the machine's owner.
    #[serde(rename = "o", default, skip_serializing_if = "Resources::is_empty")]
    pub unbooked: Resources,
}

/// Record `zone/Z/SHARD`: free capacity of each machine that takes work. A single record per
/// zone would exceed `value_kb` with some hundred machines, and all controllers would
/// write it concurrently. A machine never changes its zone shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneShard {
    /// Slots of the machines, by machine id.
    #[serde(
        rename = "m",
        default,
        deserialize_with = "crate::state::encoding::deserialize_slots"
    )]
    pub machines: BTreeMap<String, MachineSlot>,
}

/// Returns the maximum number of bytes that a machine's slot takes of its zone shard's
/// record: its names, quotes and punctuation, and twice three amounts of up to nine digits.
pub fn slot_entry_bytes(machine: &str, kind: &str) -> usize {
    machine.len() + kind.len() + 130
}

/// Lifecycle state of a provisioned machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    /// The machine is provisioned, but its worker has sent no heartbeat yet.
    #[serde(rename = "b")]
    Booting,
    /// The machine is in service and takes new tasks.
    #[serde(rename = "a")]
    Active,
    /// The machine is being drained: it takes no new tasks.
    #[serde(rename = "d")]
    Draining,
    /// The machine is being returned to the cloud. This is never undone.
    #[serde(rename = "r")]
    Returning,
    /// The cloud has confirmed that the machine was returned. Nothing on it exists any more.
    #[serde(rename = "g")]
    Gone,
}

/// Record `machine/Z/SHARD`: the machines of one zone shard. They share a record so that
/// taking over, adding or returning dozens of machines needs only a few writes. Each
/// machine has its own fencing token.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineShard {
    /// Machines, by id.
    #[serde(
        rename = "m",
        default,
        deserialize_with = "crate::state::encoding::deserialize_machines"
    )]
    pub machines: BTreeMap<String, Machine>,
}

/// Returns the maximum number of bytes that a machine takes of its machine shard's record:
/// names, quotes and punctuation, the incarnation and the fencing token. `owner` is the
/// length of the owner's name.
pub fn machine_entry_bytes(machine: &str, kind: &str, owner: usize) -> usize {
    machine.len() + kind.len() + owner + 110
}

/// Identifier of a worker's heartbeat, encoded as the pair of epoch and sequence number. Of
/// two heartbeats of a worker, the newer one has the greater identifier.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatId {
    /// Epoch of the worker, which increases each time the worker's lease expires.
    pub epoch: u64,
    /// Sequence number of the status that the worker sent.
    pub sequence: u64,
}

impl HeartbeatId {
    /// Creates the identifier of a heartbeat.
    pub const fn new(epoch: u64, sequence: u64) -> Self {
        HeartbeatId { epoch, sequence }
    }
}

impl From<(u64, u64)> for HeartbeatId {
    fn from((epoch, sequence): (u64, u64)) -> Self {
        HeartbeatId { epoch, sequence }
    }
}

impl From<HeartbeatId> for (u64, u64) {
    fn from(id: HeartbeatId) -> Self {
        (id.epoch, id.sequence)
    }
}

impl WorkerStatus {
    /// Returns the heartbeat id, which orders the statuses of the same worker.
    pub fn heartbeat_id(&self) -> HeartbeatId {
        HeartbeatId::new(self.epoch, self.sequence)
    }
}

/// Entry in a machine shard: a machine's owner, fencing token and lifecycle state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Controller that sends commands to the machine; empty if none has claimed it.
    #[serde(rename = "h", default)]
    pub owner: String,
    /// Incarnation of the owner that made the last claim. After a restart, the same controller
    /// must claim the machine again before it sends commands.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Last fencing token that the owner's claim has reserved. The owner's commands carry this
    /// token or a lower one of the same claim; the next claim begins above it.
    #[serde(rename = "k", default)]
    pub fencing_token: u64,
    /// Heartbeat in response to which the machine was last claimed. Any controller that
    /// receives a heartbeat that is not newer treats it as a delayed copy.
    #[serde(rename = "s", default)]
    pub claim_heartbeat: HeartbeatId,
    /// Lifecycle state of the machine.
    #[serde(rename = "f")]
    pub lifecycle: MachineLifecycle,
    /// Name of the machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Zone of the machine. Zone and shard are part of the record's key, so they are not
    /// written with the machine.
    #[serde(skip)]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// Shard of the zone to which the machine belongs: the name of its home controller and a
    /// number. It is set in the machine's first record and never changes.
    #[serde(skip)]
    pub shard: String,
}

impl Machine {
    /// Creates a booting machine that no controller has claimed yet.
    pub fn new(kind: &str, zone: &str) -> Self {
        Machine {
            owner: String::new(),
            incarnation: 0,
            fencing_token: 0,
            claim_heartbeat: HeartbeatId::default(),
            lifecycle: MachineLifecycle::Booting,
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot: false,
            shard: String::new(),
        }
    }
}

/// Record `hire/ID`: a request to the cloud for machines. The record exists while the request
/// is or may be in progress, and afterwards until each of its machines has an entry in a
/// machine shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// Name of the machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Zone in which the machines are requested.
    #[serde(rename = "z")]
    pub zone: String,
    /// True if spot machines are requested.
    #[serde(rename = "l", default)]
    pub spot: bool,
    /// Number of requested machines.
    #[serde(rename = "n")]
    pub count: u32,
    /// Ids of the machines in the cloud's response; empty until the response arrives. One
    /// write records all machines of a provisioning request. They count as booting until
    /// their workers are claimed.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<String>,
}

/// Record `types`: the machine types of the cloud as last read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// Machine types.
    pub types: Vec<MachineType>,
}
