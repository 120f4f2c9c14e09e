//! The daemon: starts all loops of one controller and stops them together. The loops share
//! a [`Controller`] as their context, which does not depend on any loop.

use std::rc::Rc;

use tokio::task::{AbortHandle, spawn_local};

use crate::controller::Controller;
use crate::{accounting, api, cloud, compaction, gossip, scheduler, workers};

/// Runs all loops of this controller. Must be called inside a `LocalSet`. The loops stop
/// when the returned future is dropped.
///
/// # Errors
///
/// Returns an error if the controller cannot listen on one of its two addresses.
pub async fn run(controller: Rc<Controller>) -> std::io::Result<()> {
    let user_listener = controller.net.listen(controller.settings.serve_on).await?;
    let gossip_listener = controller
        .net
        .listen(controller.settings.gossip_addr)
        .await?;
    let tasks = [
        spawn_local(controller.clone().run_pause_detection()),
        spawn_local(controller.clone().run_watch()),
        spawn_local(controller.clone().run_barriers()),
        spawn_local(api::serve(controller.clone(), user_listener)),
        spawn_local(gossip::run_receiver(controller.clone(), gossip_listener)),
        spawn_local(gossip::run_sender(controller.clone())),
        spawn_local(gossip::run_write_budget(controller.clone())),
        spawn_local(workers::run_claims(controller.clone())),
        spawn_local(workers::run_commands(controller.clone())),
        spawn_local(workers::run_publication(controller.clone())),
        spawn_local(scheduler::run_placement(controller.clone())),
        spawn_local(cloud::run_machine_type_refresh(controller.clone())),
        spawn_local(cloud::run_lease_renewal(controller.clone())),
        spawn_local(cloud::run_fleet_maintenance(controller.clone())),
        spawn_local(cloud::run_scale_out(controller.clone())),
        spawn_local(api::run_acceptance(controller.clone())),
        spawn_local(compaction::run_compaction(controller.clone())),
        spawn_local(accounting::run_shares(controller.clone())),
    ];
    tracing::info!(controller = controller.name(), on = %controller.settings.serve_on, "started");
    let _abort = AbortAll(tasks.iter().map(|task| task.abort_handle()).collect());
    for task in tasks {
        let _ = task.await;
    }
    Ok(())
}

/// Guard that aborts the loops when the future of [`run`] is dropped, for example by a
/// test.
struct AbortAll(Vec<AbortHandle>);

impl Drop for AbortAll {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}
