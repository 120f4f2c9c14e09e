//! The scheduler: which jobs are placed, in which order and on which machines,
//! and the transactions that record it.

mod candidates;
mod ends;
mod fit;
mod job_facts;
mod machine_groups;
mod ownership;
mod plan;
mod preemption;
mod queue;
mod reasons;
mod record_size;
mod rounds;
mod search;
mod transaction;

pub use candidates::{Care, Hints};
pub use fit::{count, fit, hold_room};
pub use job_facts::{facts, is_aimed, is_filler, is_late, within_guarantee};
pub use machine_groups::Groups;
pub use ownership::{placer, preferred};
pub use plan::{Place, Plan, UNNAMED, team_slots};
pub use preemption::{Victim, may_preempt};
pub use queue::{Ages, Rank, queue, starves};
pub use reasons::{Reason, Wait, note};
pub use record_size::{least_record, record_slots};
pub use rounds::{back_off, keep_placing};
pub use transaction::{COMMIT_BYTES, Draft, GUARDS_PER_WRITE, Released, SLOT, book};
