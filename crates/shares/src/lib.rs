//! Shares of a team's limit, one for each controller, and the decisions that change them.
//!
//! A share is the part of a team's limit that one controller may have booked for that team.
//! Shares get their capacity from the pool: one record for all teams, with the capacity of
//! the machines on record (those with an entry in the state service) and the part of it that
//! is granted to shares. Operators move capacity from one controller's share to another's.
//!
//! This package only decides: it does no input or output and reads no clock. Each decision
//! is a pure function of a [`Ledger`], the accounting records at one revision of the state
//! service. It returns a [`Change`]: the records to write, and the records that the decision
//! has only read. The caller commits the change with preconditions on the versions of all
//! these records, so that a change which was decided on an older state fails.
//!
//! | module | task |
//! | --- | --- |
//! | `names` | distinct types for the names of teams and controllers and the ids of jobs |
//! | `records` | the records as they are stored |
//! | `ledger` | the accounting at one revision, and its invariants |
//! | `change` | the records that a decision reads and writes |
//! | `booking` | capacity for a booking, from the team's shares, the pool and other teams |
//! | `balance` | correction of pending amounts after a share record changed |
//! | `moves` | operators' moves: the request, and the reason why one cannot proceed |
//! | `transfer`, `unblock` | the steps that complete pending moves |
//! | `capacity` | the pool's capacity as machines are added and removed |
//! | `lifecycle` | enabling and disabling a team's accounting by shares |

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
