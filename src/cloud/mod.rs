//! Manages the fleet, which is the set of machines that are provisioned from the cloud:
//! scale-out, scale-in, and the health of the machines.
//!
//! Only one controller at a time, the fleet leader, calls the cloud. The leader's name is
//! stored in the `fleet` key. This key is attached to the leader's state lease, which is the
//! lease that each controller holds in the state service. Safety does not depend on there
//! being a single fleet leader: every provisioning request is committed under a unique name
//! before the cloud is called, and machines that appear unexpectedly are used or
//! decommissioned.

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
mod offer_refusals;
mod offer_search;
mod overdue_boots;
mod planned_provisioning;
mod pricing;
mod provisioning;
mod record_deletions;
mod removal;
mod scale_in;
mod scale_out;
mod scale_out_planner;
mod stale_slots;
mod stale_tokens;
mod state_lease;
mod summary;
mod unhealthy_machines;
mod unneeded_machines;
mod unrecorded_machines;

pub use failure_attribution::{FailureAttribution, attribute_failure, quarantined_machines};
pub use fleet_state::FleetState;
pub use machine_types::run_machine_type_refresh;
pub use maintenance::run_fleet_maintenance;
pub use scale_out::run_scale_out;
pub use state_lease::run_lease_renewal;
pub use summary::count_machines_by_lifecycle;
