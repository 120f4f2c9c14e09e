//! Scheduler: decides which jobs are placed, in which order and on which machines, and
//! records the decisions in transactions.
//!
//! A placement is the choice of a machine for a task. A booking is a placement that is
//! recorded in the job's record, so that the task may be launched. A zone shard is a record
//! with the free resources of some of a zone's machines; a machine shard is a record that
//! states which controller owns its machines. A job that has failed on several machines is
//! suspected faulty.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `rounds` | runs the loop that decides and commits |
//! | `round`, `round_state` | one placement round, and the state carried over between rounds |
//! | `placement_state`, `wait_states` | state of waiting jobs that other tasks can read, and wait reasons |
//! | `ownership` | selects the controller that places a job |
//! | `queue`, `job_facts` | order of the queue, and the job attributes that the policy uses |
//! | `plan` | free resources that a round plans with |
//! | `bin_packing`, `assignment` | find machines for a job's tasks |
//! | `candidates`, `hints` | eligibility of machines for a job, and their scores |
//! | `capacity_reservation` | reserves capacity for a gang that has waited too long |
//! | `round_search` | shares search results within a round |
//! | `preemption` | stops running tasks for jobs that fit on no machine |
//! | `preemption_candidates`, `preemption_search` | work that may be preempted, and the search for the least of it |
//! | `terminations` | records terminated tasks |
//! | `record_size` | number of bookings that fit into a job's record |
//! | `transaction` | changes of the records of jobs, teams and zone shards in a transaction |
//! | `machine_shards`, `machine_shard_limits` | changes of machine shards in a transaction, and their size limits |
//! | `shard_allocation` | selects the machine shard for a new machine |

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

pub use crate::hash::preferred_controller;
pub use crate::state::record_bound::min_record_bytes;
pub use bin_packing::find_placements;
pub use capacity_reservation::reserve_capacity;
pub use hints::{AcceleratorProtection, PlacementHints};
pub use job_facts::{is_late, is_opportunistic, job_facts};
pub use machine_shards::MachineShardEdits;
pub use placement_state::PlacementState;
pub use plan::{Plan, PlanSlot, TaskPlacement, tasks_within_quota};
pub use preemption_candidates::{PreemptingJob, RunningWork, may_preempt};
pub use queue::{FirstSeenTimes, queue};
pub use record_size::tasks_within_record_limit;
pub use round_state::retry_delay;
pub use rounds::run_placement;
pub use shard_allocation::ShardCandidates;
pub use transaction::{COMMIT_BYTES, PRECONDITIONS_PER_WRITE, ReleaseOutcome, Transaction, book};
pub use wait_states::{WaitReason, WaitState};
