//! The replica: this controller's copy of the state under the shared prefix.
//!
//! `revision` is what the watch has reached: everything up to it is here. A
//! commit of our own is laid into the replica at once (`overlay`), ahead of the
//! watch, so that the next round does not decide on what it has just changed;
//! entries beyond `revision` serve planning only, never a launch.
//!
//! | module | task |
//! | --- | --- |
//! | `updates` | news of records: full reads, the watch, our own commits |
//! | `jobs`, `accepted_batches`, `machine_shards`, `plan_slots` | what follows from records as they come in |
//! | `unreadable` | records that cannot be read |
//! | `queries`, `shares` | questions to the replica |
//! | `writes` | records as this controller may write them |

mod accepted_batches;
mod jobs;
mod machine_shards;
mod plan_slots;
mod queries;
mod shares;
mod unreadable;
mod updates;
mod writes;

pub use plan_slots::{MachineClass, PlanSlot};
pub use shares::{MachineSums, fallback_controller};

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use ::shares::{MoveRecord, Pool, Share};
use foldhash::HashMap;

use crate::dependencies::DependencyGraph;
use crate::state::names::Names;
use crate::state::records::{
    AcceptedBatch, ControllerRecord, Formats, Job, Machine, MachineShard, ProvisioningRequest,
    Resources, Spec, Team, Types, ZoneShard,
};

/// A record with the revision of its last change.
#[derive(Debug, Clone, Default)]
pub struct Entry<T> {
    /// The revision of the record's last change; 0 if it has none of its own.
    pub version: u64,
    /// The record.
    pub value: T,
}

type Table<T> = BTreeMap<String, Entry<T>>;

/// What has changed since it was last asked.
#[derive(Debug, Default)]
pub struct Changes {
    /// Machines whose record or whose jobs have changed.
    pub machines: BTreeSet<String>,
}

/// This controller's replica of the state, with the indexes that planning uses.
#[derive(Debug, Default)]
pub struct Replica {
    /// Complete up to here; 0 until the first full read.
    pub revision: u64,
    /// Whether the first full read is complete.
    pub loaded: bool,
    /// Jobs by their ids.
    pub jobs: HashMap<String, Entry<Job>>,
    /// What the teams' bookings take, by the teams' names.
    pub teams: Table<Team>,
    /// The splits of teams' rooms, by the teams' names.
    pub shares: Table<Share>,
    /// What is booked against each share, as last recounted, by `team/controller`.
    pub share_uses: Table<Team>,
    /// The pool that shares grow from, if there is one.
    pub pool: Option<Entry<Pool>>,
    /// The moves that were asked for, by their ids.
    pub moves: Table<MoveRecord>,
    /// The zones' records, by `zone/part`.
    pub zone_shards: Table<ZoneShard>,
    /// All machines, each with the revision of its own last change.
    pub machines: Table<Machine>,
    /// The records that they stand in, by `zone/part`.
    pub machine_shards: Table<MachineShard>,
    /// Rentals by the names of their requests.
    pub provisioning_requests: Table<ProvisioningRequest>,
    /// Jobs that were accepted together, by the names of those writes.
    pub accepted_batches: Table<AcceptedBatch>,
    /// The cloud's machine types as last read.
    pub types: Entry<Types>,
    /// The controller that rents machines, if there is one.
    pub fleet: Option<Entry<ControllerRecord>>,
    /// Which controllers know the newer formats.
    pub formats: Entry<Formats>,
    /// Controllers whose state lease stands.
    pub controllers: Table<ControllerRecord>,
    /// Jobs that are not final and await no others, in the order of acceptance:
    /// those that take part in anything.
    pub open_jobs: BTreeSet<(u64, String)>,
    /// Which jobs book something on a machine.
    pub bookings: HashMap<String, BTreeSet<String>>,
    /// What bookings take of each machine, by its number, and of each team.
    booked: HashMap<u32, Resources>,
    team_booked: HashMap<String, Resources>,
    /// What the machines on record have, once it was asked for since they changed.
    machine_sums: Cell<Option<MachineSums>>,
    /// The same by the share that they count against.
    share_booked: HashMap<String, shares::BookedByShare>,
    /// Removals of our own that the watch has not reached yet.
    removed: HashMap<String, u64>,
    /// Images that have been sent to a machine, the latest last. Memory only:
    /// a hint for placing, rebuilt as bookings are seen.
    images: HashMap<u32, Vec<u32>>,
    image_names: Names,
    /// The numbers of machines.
    pub machine_names: Names,
    /// The numbers of zone shards.
    pub zone_shard_names: Names,
    /// The numbers of zones.
    pub zone_names: Names,
    /// The classes of machines, by their numbers.
    pub classes: Vec<MachineClass>,
    class_numbers: HashMap<plan_slots::ClassKey, u32>,
    /// The zone shards' machines, ready for planning.
    plan_slots: BTreeMap<String, Vec<PlanSlot>>,
    /// The zone shard that has a machine's slot, by their numbers.
    slot_shards: HashMap<u32, u32>,
    /// Parts that stand in the compact encoding.
    compact_zone_shards: BTreeSet<String>,
    /// What a record may hold, where the limits are to fall: from the settings.
    pub compact_limit: Option<usize>,
    /// Records that hold more, with what they hold.
    pub oversized_records: BTreeMap<String, usize>,
    /// Open jobs whose specification may leave too little of a record for their
    /// tasks: a coarse choice by length, `trimmed_job` decides.
    pub long_jobs: BTreeSet<String>,
    /// Classes that an objective of the settings names.
    pub slo_classes: BTreeSet<String>,
    /// The latest job that needs accelerators: what machines with accelerators
    /// are kept free for. A hint, too.
    pub gpu_spec: Option<Spec>,
    /// What has changed since it was last taken.
    pub changes: Changes,
    /// Keys whose records cannot be read, with their versions: nothing is known
    /// of what they say, but whoever writes them anew guards these versions.
    unreadable: BTreeMap<String, u64>,
    /// What follows from jobs that await others, see there.
    pub(crate) dependency_graph: DependencyGraph,
}

impl Replica {
    /// A replica that is to hold its records to so many bytes, if the limits are
    /// to fall.
    pub fn with_compact_limit(compact_limit: Option<usize>) -> Self {
        Replica {
            compact_limit,
            ..Replica::default()
        }
    }
}
