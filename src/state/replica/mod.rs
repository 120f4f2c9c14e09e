//! Maintains the replica, this controller's copy of all records of the scheduler in the state
//! service.
//!
//! `revision` is the revision that the watch has reached: the replica contains every
//! change up to this revision. A commit of this controller is applied immediately
//! (`apply_commit`), ahead of the watch, so that the next round does not decide by outdated
//! records. Entries newer than `revision` are used for planning only, never to launch tasks.
//!
//! | module | task |
//! | --- | --- |
//! | `updates` | updates of records: full reads, the watch, this controller's commits |
//! | `tables` | the update of one record in the table of its kind |
//! | `local_writes` | this controller's writes that are newer than `revision` |
//! | `jobs`, `accepted_batches`, `machine_shards`, `placeable_machines` | indexes that are derived from updated records |
//! | `departed_machines` | machines that are named though they are not in service |
//! | `unreadable` | records that cannot be read |
//! | `queries`, `shares` | lookups in the replica |
//! | `writes` | writes of records, in the encoding that all controllers can read |

mod accepted_batches;
mod departed_machines;
mod jobs;
mod local_writes;
mod machine_shards;
mod placeable_machines;
mod queries;
mod shares;
mod tables;
mod unreadable;
mod updates;
mod writes;

pub use departed_machines::StaleSlot;
pub use placeable_machines::{MachineClass, PlaceableMachine};
pub use shares::{MachineSums, fallback_controller};

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use ::shares::{MoveRecord, Pool, Share};
use foldhash::HashMap;

use local_writes::LocalWrites;

use crate::dependencies::DependencyGraph;
use crate::state::names::NameTable;
use crate::state::records::{
    AcceptedBatch, Capacity, ControllerRecord, Formats, Job, JobSpec, Machine, MachineLifecycle,
    MachineShard, MachineTypesRecord, ProvisioningRequest, Resources, TeamUsage, ZoneShard,
};

/// Record with the revision of its last change.
#[derive(Debug, Clone, Default)]
pub struct Versioned<T> {
    /// Revision of the record's last change; 0 for a job that is only part of an accepted
    /// batch and has no record of its own.
    pub version: u64,
    /// Content of the record.
    pub value: T,
}

/// Records of one kind, by id.
type Table<T> = BTreeMap<String, Versioned<T>>;

/// Changes of the replica that are collected until the caller takes them.
#[derive(Debug, Default)]
pub struct Changes {
    /// Machines whose entries in a machine shard, or whose bookings, have changed.
    pub machines: BTreeSet<String>,
}

/// This controller's replica of the state, with the indexes that planning uses.
#[derive(Debug, Default)]
pub struct Replica {
    /// Revision up to which the replica is complete; 0 until the first full read.
    pub revision: u64,
    /// True once the first full read is complete.
    pub loaded: bool,
    /// Jobs, by id.
    pub jobs: HashMap<String, Versioned<Job>>,
    /// Resources that the teams' bookings take, by team.
    pub teams: Table<TeamUsage>,
    /// Splits of the teams' quotas among controllers, by team.
    pub shares: Table<Share>,
    /// Resources that are booked against each share, as of the last recount, by
    /// `team/controller`.
    pub share_uses: Table<TeamUsage>,
    /// Total capacity out of which shares are granted, if it is recorded.
    pub pool: Option<Versioned<Pool>>,
    /// Requested moves between shares, by id.
    pub moves: Table<MoveRecord>,
    /// Zone shards, by `zone/shard`.
    pub zone_shards: Table<ZoneShard>,
    /// Machines of all machine shards, by id. The version of a machine is that of its shard
    /// when the machine last changed.
    pub machines: Table<Machine>,
    /// Lifecycle states of the machines that have a record, by machine number.
    lifecycles: HashMap<u32, MachineLifecycle>,
    /// Machine shards, by `zone/shard`.
    pub machine_shards: Table<MachineShard>,
    /// Provisioning requests, by id.
    pub provisioning_requests: Table<ProvisioningRequest>,
    /// Accepted batches, by id.
    pub accepted_batches: Table<AcceptedBatch>,
    /// Machine types of the cloud as last read.
    pub types: Versioned<MachineTypesRecord>,
    /// Fleet leader, the controller that provisions machines, if there is one.
    pub fleet_leader: Option<Versioned<ControllerRecord>>,
    /// Record formats that the controllers can read.
    pub formats: Versioned<Formats>,
    /// Controllers with a valid state lease, by name.
    pub controllers: Table<ControllerRecord>,
    /// Open jobs whose dependencies are done, in the order of acceptance, as pairs of the
    /// accepted revision and the id. Only these jobs can be placed.
    pub open_jobs: BTreeSet<(u64, String)>,
    /// Ids of the jobs that have bookings on a machine, by machine.
    pub bookings: HashMap<String, BTreeSet<String>>,
    /// Capacity that bookings take on each machine, by machine number.
    booked: HashMap<u32, Capacity>,
    /// Resources that bookings take in total, by team.
    team_booked: HashMap<String, Resources>,
    /// Cached sums of the resources of machines; `None` after a change of the machines.
    machine_sums: Cell<Option<MachineSums>>,
    /// Resources that a team's bookings take of each share, by team.
    share_booked: HashMap<String, shares::BookedByShare>,
    /// Writes of this controller that the replica contains ahead of the watch. No older event
    /// or full read replaces them.
    local_writes: LocalWrites,
    /// Numbers of the images of tasks that were booked on a machine, the latest last, by machine
    /// number. The images are only a hint for placement: they are not stored in the state
    /// service but derived from the bookings.
    images: HashMap<u32, Vec<u32>>,
    /// Numbers that are assigned to the names of images.
    image_names: NameTable,
    /// Numbers that are assigned to the names of machines.
    pub machine_names: NameTable,
    /// Numbers that are assigned to the ids of zone shards.
    pub zone_shard_names: NameTable,
    /// Numbers that are assigned to the names of zones.
    pub zone_names: NameTable,
    /// Classes of machines, by class number.
    pub classes: Vec<MachineClass>,
    /// Numbers of the classes of machines.
    class_numbers: HashMap<placeable_machines::ClassKey, u32>,
    /// Machines that each zone shard lists. Tasks may be placed on those that are in service.
    placeable_machines: BTreeMap<String, Vec<PlaceableMachine>>,
    /// Number of the zone shard that lists a machine, by machine number.
    slot_shards: HashMap<u32, u32>,
    /// Zone shards whose records are in the compact encoding.
    compact_zone_shards: BTreeSet<String>,
    /// Maximum size of a record, in bytes, if the settings announce that the state service
    /// will apply lower limits; `None` otherwise.
    pub compact_limit: Option<usize>,
    /// Sizes in bytes of the records that exceed `compact_limit`, by key.
    pub oversized_records: BTreeMap<String, usize>,
    /// Open jobs whose specification may leave too little space in the record for booked
    /// tasks. The selection by length is coarse; `trimmed_job` decides.
    pub long_jobs: BTreeSet<String>,
    /// Job classes for which the settings define an objective.
    pub slo_classes: BTreeSet<String>,
    /// Specification of the latest job that needs accelerators. Machines with accelerators are
    /// kept free for jobs like this one. Like `images`, the field is only a hint.
    pub latest_gpu_spec: Option<JobSpec>,
    /// Changes that the caller has not taken yet.
    pub changes: Changes,
    /// Versions of the records that cannot be read, by key. Their contents are unknown,
    /// but a commit that overwrites such a record needs its version as a precondition.
    unreadable: BTreeMap<String, u64>,
    /// Dependencies between jobs.
    pub(crate) dependency_graph: DependencyGraph,
}

impl Replica {
    /// Creates an empty replica that writes records of at most `compact_limit` bytes, if
    /// a limit is given.
    pub fn with_compact_limit(compact_limit: Option<usize>) -> Self {
        Replica {
            compact_limit,
            ..Replica::default()
        }
    }
}
