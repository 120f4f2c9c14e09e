//! Shares of a team's limit, one for each controller, and how they change.
//!
//! A share is how much of a team's limit one controller may have booked for that
//! team. This package decides; it does no input or output and reads no clock. Each
//! decision is a pure function of a [`Ledger`], the accounting records at one revision
//! of the state service, and gives a [`Change`]: the records that it writes and those
//! that have to be as they were read. Whoever commits a change writes its records under
//! guards on all of these; a change that was decided on an older state then fails.
//!
//! | module | task |
//! | --- | --- |
//! | `names` | names of teams, controllers and jobs as types of their own |
//! | `records` | the records as they are stored |
//! | `ledger` | the accounting at one revision, and its invariants |
//! | `change` | what a decision reads and writes |
//! | `booking` | capacity for a booking, from the share itself, its siblings and the pool |
//! | `balance` | what is pending of a split, after the split has changed |
//! | `moves` | an operator's moves: the request, and what stands in its way |
//! | `transfer`, `unblock` | the steps that complete what is left to move |
//! | `capacity` | the pool's capacity, as machines come and go |
//! | `lifecycle` | the accounting of a team by shares is begun, and ended |

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

mod balance;
mod booking;
mod capacity;
mod change;
mod ledger;
mod lifecycle;
mod moves;
mod names;
mod records;
mod transfer;
mod unblock;

pub use booking::{Shortage, reserve};
pub use capacity::{CapacityShortage, adjust_capacity, release_machines};
pub use change::Change;
pub use ledger::{Ledger, TeamAccount, TeamLimit, Violation};
pub use lifecycle::{OpenError, close_team, open_team, rebuild_team};
pub use moves::{BlockedTransfer, MoveError, blocked_transfer, request_move};
pub use names::{ControllerName, JobId, TeamName};
pub use records::{MoveRecord, MoveState, Pool, Share};
pub use transfer::{JobBooking, Transfer, next_transfer};
pub use unblock::reserve_for_smallest_job;
