//! Accounting of bookings against the limits of teams.
//!
//! A team's limit may be divided into shares, one for each controller. Shares get their
//! capacity from the pool, one record for all teams that holds the capacity of the machines.
//! This module chooses the records to which a booking is charged. It also runs the loop that
//! completes moves between shares, updates the pool, and enables and disables the accounting
//! by shares. The package `shares` makes the decisions; this module turns them into commits.
//!
//! | module | task |
//! | --- | --- |
//! | `booking` | the accounts to which one transaction's bookings are charged |
//! | `commit` | conversion of a change into preconditions and writes |
//! | `messages`, `operators` | operators' queries for shares and moves |
//! | `move_request` | an operator's request for a move |
//! | `reconcile` | the next step of the accounting by shares |
//! | `share_loop` | the loop that commits these steps |

mod booking;
mod commit;
mod messages;
mod move_request;
mod operators;
mod reconcile;
mod share_loop;

pub use booking::{BookingAccounts, BookingRequest, CommitCapacity};
pub use commit::CommitParts;
pub use messages::{
    Amounts, ControllerShare, MoveAnswer, MoveReport, MoveRequest, ShareReport, TeamShares,
};
pub use move_request::move_share;
pub use operators::{moves, shares};
pub use reconcile::{ReconcileStep, next_reconcile_step};
pub use share_loop::run_shares;
