//! The scheduler: which jobs are placed, in which order and on which machines,
//! and the transactions that record it.
//!
//! | module | task |
//! | --- | --- |
//! | `rounds` | the loop that decides and commits |
//! | `round`, `round_state` | one placement round, and what is remembered between rounds |
//! | `placement_state`, `wait_states` | what other loops may know of waiting jobs, and why they wait |
//! | `ownership` | which controller places a job |
//! | `queue`, `job_facts` | the order of the queue, and what the policy knows of a job |
//! | `plan` | free resources as a round plans with them |
//! | `bin_packing`, `assignment` | whether a job fits, and onto which machines |
//! | `candidates`, `hints` | which machines a job may take, and how they score |
//! | `capacity_reservation` | capacity kept for a gang that has waited too long |
//! | `round_search` | results that searches of one round share |
//! | `preemption` | running work that is stopped for jobs that no machine has capacity for |
//! | `preemption_candidates`, `preemption_search` | what may be preempted, and the least of it that is enough |
//! | `terminations` | the recording of terminated tasks |
//! | `record_size` | how many bookings a job's record holds |
//! | `transaction` | records of jobs, teams and zone shards as a transaction leaves them |
//! | `machine_shards`, `machine_shard_limits` | machine shards as a transaction leaves them, and how large they may become |
//! | `shard_allocation` | the machine shard that a new machine is put into |

mod assignment;
mod bin_packing;
mod candidates;
mod capacity_reservation;
mod hints;
mod job_facts;
mod machine_shard_limits;
mod machine_shards;
mod ownership;
mod placement_state;
mod plan;
mod preemption;
mod preemption_candidates;
mod preemption_search;
mod queue;
mod record_size;
mod round;
mod round_search;
mod round_state;
mod rounds;
mod shard_allocation;
mod terminations;
mod transaction;
mod wait_states;
mod waiting_job;

pub use crate::hash::preferred;
pub use crate::state::record_bound::min_record_bytes;
pub use bin_packing::find_placements;
pub use capacity_reservation::reserve_capacity;
pub use hints::{AcceleratorProtection, PlacementHints};
pub use job_facts::{is_late, is_opportunistic, job_facts};
pub use machine_shards::MachineShardEdits;
pub use placement_state::PlacementState;
pub use plan::{Plan, TaskPlacement, tasks_within_quota};
pub use preemption_candidates::{PreemptingJob, RunningWork, may_preempt};
pub use queue::{FirstSeenTimes, queue};
pub use record_size::tasks_within_record_limit;
pub use round_state::retry_delay;
pub use rounds::run_placement;
pub use shard_allocation::ShardCandidates;
pub use transaction::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE, ReleaseOutcome, Transaction, book};
pub use wait_states::{WaitReason, WaitState};
