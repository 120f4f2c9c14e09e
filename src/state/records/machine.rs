//! Records of machines, their zone shards, and rentals.

use std::collections::BTreeMap;

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};

use crate::wire::{MachineType, WorkerStatus};

impl MachineType {
    /// All that a machine of this type has.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: Amount::rounded_down(self.cpus),
            gpus: Amount::rounded_down(self.gpus),
            ram: Amount::rounded_down(self.memory_gb),
        }
    }
}

/// A machine that takes work, as its zone shard lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSlot {
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Whether it is a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// When the record was last written. What has ended since is free, too:
    /// planning takes the type's capacity less the bookings that stand by then.
    #[serde(rename = "f", default)]
    pub free: Resources,
    /// What tasks take there that nobody has booked, as its owner reported.
    #[serde(rename = "o", default, skip_serializing_if = "Resources::is_empty")]
    pub unbooked: Resources,
}

/// `zone/Z/PART`: free capacity per machine that takes work. One record a zone
/// would outgrow `value_kb` at some hundred machines, and be written by all
/// controllers at once; a machine stays in its zone shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneShard {
    /// The machines by their ids.
    #[serde(
        rename = "m",
        default,
        deserialize_with = "crate::state::encoding::deserialize_slots"
    )]
    pub machines: BTreeMap<String, MachineSlot>,
}

/// The most that a machine's slot can take of its zone shard's record: its names,
/// quotes and marks, and twice three amounts of up to nine digits.
pub fn slot_entry_bytes(machine: &str, kind: &str) -> usize {
    machine.len() + kind.len() + 130
}

/// How far a provisioned machine has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    /// Rented, not yet heard from.
    #[serde(rename = "b")]
    Booting,
    /// Takes work.
    #[serde(rename = "a")]
    Active,
    /// Takes no new work.
    #[serde(rename = "d")]
    Draining,
    /// Goes back to the cloud; never undone.
    #[serde(rename = "r")]
    Returning,
    /// The cloud has confirmed: nothing on it exists any more.
    #[serde(rename = "g")]
    Gone,
}

/// `machine/Z/PART`: the machines of one zone shard, so that a takeover, a scale-out or
/// a return of dozens costs a few writes. Each has a token of its own.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineShard {
    /// The machines by their ids.
    #[serde(
        rename = "m",
        default,
        deserialize_with = "crate::state::encoding::deserialize_machines"
    )]
    pub machines: BTreeMap<String, Machine>,
}

/// The most that a machine takes of its machine shard's record: names, quotes and
/// marks, the incarnation and the token.
pub fn machine_entry_bytes(machine: &str, kind: &str, owner: usize) -> usize {
    machine.len() + kind.len() + owner + 110
}

/// Identifies one heartbeat of a worker; a newer one compares greater. Written as the
/// pair of its numbers.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatId {
    /// The worker's epoch: it rises each time the worker's lease has run out.
    pub epoch: u64,
    /// The number of the status that the worker sent.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The heartbeat of an epoch with a number.
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
    /// What orders this status among those of the same worker.
    pub fn heartbeat_id(&self) -> HeartbeatId {
        HeartbeatId::new(self.epoch, self.sequence)
    }
}

/// One machine, as its machine shard has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// The controller that commands it; empty if none has claimed it.
    #[serde(rename = "h", default)]
    pub owner: String,
    /// The incarnation of the owner that bumped the token: after a restart
    /// the same node must bump it again before it gives orders.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// The fencing token of the owner's commands.
    #[serde(rename = "k", default)]
    pub fencing_token: u64,
    /// The heartbeat on which it was last claimed: one that is no newer is a late
    /// copy, whichever controller receives it.
    #[serde(rename = "s", default)]
    pub claim_heartbeat: HeartbeatId,
    /// How far it has come.
    #[serde(rename = "f")]
    pub lifecycle: MachineLifecycle,
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Zone and part are the record's key: not written again.
    #[serde(skip)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// The part of its zone's record that it belongs to, from its first record
    /// on: the name of its home controller and a number.
    #[serde(skip)]
    pub shard: String,
}

impl Machine {
    /// One that nobody has claimed yet.
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

/// `hire/ID`: a provisioning request that is or may be under way, or whose machines are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRequest {
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether spot machines are provisioned.
    #[serde(rename = "l", default)]
    pub spot: bool,
    /// How many machines were requested.
    #[serde(rename = "n")]
    pub count: u32,
    /// What the cloud has answered; empty until then. One write records all
    /// machines of a provisioning request: they boot until their workers are claimed.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<String>,
}

/// `types`: the cloud's machine types as last read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Types {
    /// All machine types.
    pub types: Vec<MachineType>,
}
