//! Controllers, or a whole zone, that are down or partitioned for longer than a lease.

use serde_json::json;
use tokio::time::sleep;

use crate::scenario::{cancel, heal_and_check, secs, start_long_jobs};
use crate::stand_ins::{Scenario, StateFault, job};

/// Checks that no rule is broken when all controllers are down for about a lease or
/// longer. They then start one by one, copies of old reports arrive, and a user cancels a
/// job immediately.
#[test]
fn rules_hold_after_all_controllers_are_down_for_a_lease() {
    for variant in 0..4u64 {
        Scenario::with_large_teams(1100 + variant).run(|simulation| async move {
            simulation.copied_heartbeat_fraction.set(0.2);
            let ids = start_long_jobs(&simulation, 1, 6).await;
            sleep(secs(4.0)).await;
            cancel(&simulation, None, &ids[0]).await;
            for i in 0..simulation.shape.controllers {
                simulation.kill_controller(i);
            }
            for worker in simulation.busy_workers().iter().take(2) {
                worker.hang(secs(9.0 + variant as f64 * 3.0));
            }
            sleep(secs([8.0, 11.0, 14.0, 40.0][variant as usize])).await;
            for i in 0..simulation.shape.controllers {
                simulation.start(i);
                simulation.send_recorded_copies();
                sleep(secs(0.5)).await;
            }
            cancel(&simulation, None, &ids[1]).await;
            heal_and_check(&simulation, &format!("{variant}"), &ids).await;
        });
    }
}

/// Checks that no rule is broken when a zone with its controllers and machines is partitioned for
/// longer than a lease. Meanwhile jobs are cancelled in the other zone; some of them are bound to
/// the partitioned zone.
#[test]
fn rules_hold_after_a_zone_is_partitioned_for_a_lease() {
    for (n, (zone, partition_s)) in [("b", 13.0), ("b", 45.0), ("a", 13.0), ("a", 45.0)]
        .into_iter()
        .enumerate()
    {
        Scenario::with_large_teams(1200 + n as u64).run(|simulation| async move {
            let mut ids = Vec::new();
            for index in 0..8u32 {
                let kind = ["batch", "gang", "daemon", "batch"][index as usize % 4];
                let mut submission = job(index + 1, kind, 2, 60.0);
                submission["yard"] = json!(["a", "b"][index as usize / 4]);
                ids.push(simulation.submit(submission).await);
            }
            for id in &ids {
                simulation.wait_for_stage(id, "running", 100).await;
            }
            sleep(secs(4.0)).await;
            simulation.set_zone_partition(zone, true);
            let controller_in_zone =
                (0..3).find(|i| simulation.shape.controller_locations[*i] == zone);
            for id in [&ids[0], &ids[1], &ids[4], &ids[5]] {
                cancel(&simulation, controller_in_zone, id).await;
            }
            sleep(secs(partition_s)).await;
            simulation.set_zone_partition(zone, false);
            sleep(secs(15.0)).await;
            heal_and_check(&simulation, &format!("{zone}, {partition_s}"), &ids).await;
        });
    }
}

/// Checks that a leader without the state service and its peers neither reports outdated stages
/// nor keeps cancelled tasks running. The state service refuses the leader, and its connections to
/// the other controllers are cut. Workers and users still reach the leader while jobs are
/// cancelled at another controller.
#[test]
fn leader_without_state_and_peers_reports_no_outdated_stage() {
    for (n, (partition_s, hang_s, outage)) in [
        (20.0, 0.0, false),
        (40.0, 6.0, false),
        (12.0, 0.0, true),
        (6.0, 8.0, true),
    ]
    .into_iter()
    .enumerate()
    {
        Scenario::with_large_teams(1300 + n as u64).run(|simulation| async move {
            let ids = start_long_jobs(&simulation, 1, 6).await;
            sleep(secs(4.0)).await;
            let leader = simulation.controller_with_most_machines();
            simulation
                .state
                .fault_options
                .borrow_mut()
                .refused_controllers
                .insert(leader);
            simulation.set_peer_partition(leader, true);
            for (index, id) in ids[..4].iter().enumerate() {
                cancel(&simulation, Some(leader), id).await;
                simulation.query_concurrently(id).await;
                if let Some(worker) = simulation.busy_workers().get(index)
                    && hang_s > 0.0
                {
                    worker.hang(secs(hang_s));
                }
                sleep(secs(1.0)).await;
            }
            if outage {
                simulation.state.fault.set(StateFault::Outage);
                sleep(secs(simulation.shape.cancel_s + 5.0)).await;
                simulation.state.fault.set(StateFault::None);
            }
            sleep(secs(partition_s)).await;
            for id in &ids {
                simulation.query_concurrently(id).await;
            }
            simulation.set_peer_partition(leader, false);
            heal_and_check(
                &simulation,
                &format!("{partition_s}, {hang_s}, {outage}"),
                &ids,
            )
            .await;
        });
    }
}
