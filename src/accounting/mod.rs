//! Shares of teams' limits: which records a booking counts against, and the loop that
//! moves shares, brings the pool up to date, and begins and ends the accounting by
//! shares. The package `shares` decides; here its changes become commits.
//!
//! | module | task |
//! | --- | --- |
//! | `booking` | what the bookings of one transaction count against |
//! | `commit` | a change as conditions and writes |
//! | `messages`, `operators` | operators' queries: the splits and the moves |
//! | `move_request` | an operator's request of a move |
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
