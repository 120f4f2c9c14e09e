//! A controller: all loops on one node, wired together. The node and what it is made of
//! know none of them.

use std::rc::Rc;

use crate::controller::Controller;
use crate::{accounting, api, cloud, compaction, gossip, scheduler, workers};

/// Starts all loops of this controller; must run inside a `LocalSet`. They end with the
/// returned future.
pub async fn run(controller: Rc<Controller>) -> std::io::Result<()> {
    let users = controller.net.listen(controller.settings.serve_on).await?;
    let gossip_listener = controller
        .net
        .listen(controller.settings.gossip_addr)
        .await?;
    let tasks = [
        tokio::task::spawn_local(controller.clone().run_liveness()),
        tokio::task::spawn_local(controller.clone().run_watch()),
        tokio::task::spawn_local(controller.clone().run_barriers()),
        tokio::task::spawn_local(api::serve(controller.clone(), users)),
        tokio::task::spawn_local(gossip::run_receiver(controller.clone(), gossip_listener)),
        tokio::task::spawn_local(gossip::run_sender(controller.clone())),
        tokio::task::spawn_local(gossip::run_write_budget(controller.clone())),
        tokio::task::spawn_local(workers::run_claims(controller.clone())),
        tokio::task::spawn_local(workers::run_commands(controller.clone())),
        tokio::task::spawn_local(workers::run_publication(controller.clone())),
        tokio::task::spawn_local(scheduler::run_placement(controller.clone())),
        tokio::task::spawn_local(cloud::run_type_refresh(controller.clone())),
        tokio::task::spawn_local(cloud::run_lease_renewal(controller.clone())),
        tokio::task::spawn_local(cloud::run_fleet(controller.clone())),
        tokio::task::spawn_local(cloud::run_scale_out(controller.clone())),
        tokio::task::spawn_local(api::run_acceptance(controller.clone())),
        tokio::task::spawn_local(compaction::run_compaction(controller.clone())),
        tokio::task::spawn_local(accounting::run_shares(controller.clone())),
    ];
    tracing::info!(controller = controller.name(), on = %controller.settings.serve_on, "started");
    let _abort = AbortAll(tasks.iter().map(|t| t.abort_handle()).collect());
    for task in tasks {
        let _ = task.await;
    }
    Ok(())
}

/// Ends the loops when the controller is dropped, as tests do.
struct AbortAll(Vec<tokio::task::AbortHandle>);

impl Drop for AbortAll {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}
