//! The scheduler: which jobs are placed, in which order and on which machines,
//! and the transactions that record it.
//!
//! | module | task |
//! | --- | --- |
//! | `rounds` | the loop that decides and commits |
//! | `round`, `round_state` | one placement round, and what is remembered between rounds |
//! | `ownership` | which controller places a job |
//! | `queue`, `job_facts` | the order of the queue, and what the policy knows of a job |
//! | `plan` | free resources as a round plans with them |
//! | `fit`, `candidates` | whether a job fits, and which machines it takes |
//! | `round_search` | results that searches of one round share |
//! | `preemption`, `victims` | stopping running work for jobs that find no room |
//! | `ends` | recorded ends of tasks |
//! | `record_size` | how many bookings a job's record holds |
//! | `transaction`, `machine_shards` | records as a transaction will leave them |
//! | `wait_states` | why a job waits |

mod bin_packing;
mod candidates;
mod job_facts;
mod machine_shard_limits;
mod machine_shards;
mod ownership;
mod placement_state;
mod plan;
mod preemption;
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

pub use crate::hash::preferred;
pub use crate::state::record_bound::min_record_bytes;
pub use bin_packing::{count_placements, find_placements, reserve_capacity};
pub use candidates::{AcceleratorProtection, PlacementHints};
pub use job_facts::{has_slo, is_late, is_opportunistic, job_facts, within_guarantee};
pub use machine_shards::MachineShardEdits;
pub use ownership::preferred_placer;
pub use placement_state::PlacementState;
pub use plan::{Plan, TaskPlacement, UNASSIGNED, tasks_within_quota};
pub use preemption_search::{PreemptionCandidate, may_preempt};
pub use queue::{FirstSeenTimes, QueueSortKey, is_starving, queue};
pub use record_size::tasks_within_record_limit;
pub use round_state::retry_delay;
pub use rounds::run_placement;
pub use shard_allocation::ShardCandidates;
pub use transaction::{
    COMMIT_BYTES, GUARDS_PER_WRITE, ReleaseOutcome, SLOT_BYTES, Transaction, book,
};
pub use wait_states::{WaitReason, WaitState};
