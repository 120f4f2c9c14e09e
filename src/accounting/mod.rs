//! Shares of teams' limits: which records a booking counts against, and the loop that
//! moves shares, brings the pool up to date, and begins and ends the accounting by
//! shares. The package `shares` decides; here its changes become commits.
//!
//! | module | task |
//! | --- | --- |
//! | `booking` | what the bookings of one transaction count against |
//! | `commit` | a change as conditions and writes |
//! | `messages`, `operators` | what operators ask: the splits, moves, and a new move |
//! | `reconcile` | the loop, and the next step that it takes |

mod booking;
mod commit;
mod messages;
mod operators;
mod reconcile;

pub use booking::{BookingAccounts, BookingRequest, CommitCapacity};
pub use commit::CommitParts;
pub use messages::{
    Amounts, ControllerShare, MoveAnswer, MoveReport, MoveRequest, ShareReport, TeamShares,
};
pub use operators::{move_share, moves, shares};
pub use reconcile::{ReconcileStep, next_reconcile_step, run_shares};
