//! The rented machines: who rents, what is rented, what goes back.
//!
//! One controller at a time rents, the one whose name stands under `fleet`,
//! tied to a state lease. That alone makes nothing safe, and need not: every
//! rental is committed before the call under a name that is never used again,
//! and whatever turns up unexpectedly is used or returned.

mod blame;
mod boots;
mod client;
mod consolidation;
mod demand;
mod draining;
mod headroom;
mod idle;
mod leases;
mod lifecycle;
mod list;
mod offers;
mod removal;
mod rounds;
mod scale_in;
mod scale_out;
mod settling;
mod silent;
mod state;
mod summary;
mod types;

pub use blame::{FailureAttribution, blame, suspects};
pub use leases::run_lease_renewal;
pub use rounds::run_fleet;
pub use scale_out::run_scale_out;
pub use state::FleetState;
pub use summary::census;
pub use types::run_type_refresh;
