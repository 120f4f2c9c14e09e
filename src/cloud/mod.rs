//! The fleet of machines that the cloud provisions: scale-out, scale-in, and the
//! health of what is provisioned.
//!
//! One controller at a time is the fleet leader, and provisions and decommissions
//! machines: the one whose name stands under `fleet`, tied to a state lease. That
//! alone makes nothing safe, and need not: every request is committed before the
//! call under a name that is never used again, and whatever turns up unexpectedly
//! is used or decommissioned.

mod backoff;
mod boot_tracking;
mod booting_machines;
mod cancellations;
mod client;
mod cloud_calls;
mod commit;
mod consolidation;
mod draining;
mod failure_attribution;
mod fleet_state;
mod garbage_collection;
mod headroom;
mod incoming_capacity;
mod interval_timer;
mod inventory;
mod job_demand;
mod lifecycle;
mod machine_offer;
mod machine_types;
mod maintenance;
mod new_machines;
mod offer_refusals;
mod offer_search;
mod overdue_boots;
mod planned_provisioning;
mod pricing;
mod provisioning;
mod record_drops;
mod removal;
mod scale_in;
mod scale_out;
mod scale_out_planner;
mod stale_tokens;
mod state_lease;
mod summary;
mod unhealthy_machines;
mod unneeded_machines;

pub use failure_attribution::{FailureAttribution, attribute_failure, quarantined_machines};
pub use fleet_state::FleetState;
pub use machine_types::run_type_refresh;
pub use maintenance::run_fleet;
pub use scale_out::run_scale_out;
pub use state_lease::run_lease_renewal;
pub use summary::count_machines_by_lifecycle;
