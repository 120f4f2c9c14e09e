//! A controller: all loops on one node, wired together. The node and what it is made of
//! know none of them.

use std::rc::Rc;

use crate::node::Node;
use crate::{accounting, api, cloud, compaction, mesh, scheduler, workers};

/// Starts all loops of this controller; must run inside a `LocalSet`. They end with the
/// returned future.
pub async fn run(node: Rc<Node>) -> std::io::Result<()> {
    let users = node.net.listen(node.settings.serve_on).await?;
    let mesh = node.net.listen(node.settings.mesh_addr).await?;
    let tasks = [
        tokio::task::spawn_local(node.clone().run_liveness()),
        tokio::task::spawn_local(node.clone().run_watch()),
        tokio::task::spawn_local(node.clone().run_barriers()),
        tokio::task::spawn_local(api::serve(node.clone(), users)),
        tokio::task::spawn_local(mesh::listen(node.clone(), mesh)),
        tokio::task::spawn_local(mesh::speak(node.clone())),
        tokio::task::spawn_local(mesh::run_write_share(node.clone())),
        tokio::task::spawn_local(workers::run_claims(node.clone())),
        tokio::task::spawn_local(workers::run_commands(node.clone())),
        tokio::task::spawn_local(workers::run_publication(node.clone())),
        tokio::task::spawn_local(scheduler::run_placement(node.clone())),
        tokio::task::spawn_local(cloud::run_type_refresh(node.clone())),
        tokio::task::spawn_local(cloud::run_lease_renewal(node.clone())),
        tokio::task::spawn_local(cloud::run_fleet(node.clone())),
        tokio::task::spawn_local(cloud::run_rentals(node.clone())),
        tokio::task::spawn_local(api::run_acceptance(node.clone())),
        tokio::task::spawn_local(compaction::run_compaction(node.clone())),
        tokio::task::spawn_local(accounting::run_shares(node.clone())),
    ];
    tracing::info!(node = node.name(), on = %node.settings.serve_on, "started");
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
