//! The workers whose machines this controller holds: claims, heartbeats, orders
//! and the ends of tasks.
//!
//! The wanted state of a machine is its bookings in the view, the actual state its
//! newest report. [`reconcile`] works out the difference, and nothing else
//! decides what a worker is told. What it decides reaches the worker in the answer
//! to a heartbeat (`heartbeat`) or in a direct call (`commands`).

mod claims;
mod commands;
mod heartbeat;
mod parts;
mod reconcile;
mod rooms;
mod routing;
mod session;
mod termination;

pub use claims::{Claim, keep_claims};
pub use commands::keep_orders;
pub use reconcile::{Plan, grace, must_stop, reconcile, stops_of_cancelled};
pub use rooms::keep_rooms;
pub use routing::home_of;
pub use session::Hand;
pub use termination::{EndKey, Proof, release_gone, release_silent};
