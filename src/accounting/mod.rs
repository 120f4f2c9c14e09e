//! Accounting of bookings against teams' limits, which may be divided into shares of the
//! controllers: the choice of the records to which a booking is charged, and the loop that
//! moves shares, updates the pool, and enables and disables the accounting by shares. The
//! package `shares` makes the decisions; this module turns its changes into commits.
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
