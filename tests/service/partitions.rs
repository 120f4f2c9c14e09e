//! Network partitions and frozen controllers. The missing messages alone must not be taken as
//! proof that a machine is lost or that a task has ended.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, controller_addr, job, state_addr};

/// Checks Safety 4: a controller that cannot reach the state service learns of no
/// cancellation, so it must let its workers' leases expire in time.
#[test]
fn controller_without_state_service_keeps_no_cancelled_task() {
    Scenario::new(7).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 4, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        assert_eq!(simulation.running_task_count(&service), 4);
        // All controllers but one are disconnected from the state service. Their workers stay
        // with them as long as they answer heartbeats.
        for i in 0..CONTROLLERS - 1 {
            simulation
                .simulated_network
                .partition(controller_addr(i), state_addr(i));
        }
        sleep(Duration::from_secs(1)).await;
        let last = CONTROLLERS - 1;
        let mut stage = None;
        for _ in 0..10 {
            stage = simulation.cancel(last, &service).await;
            if stage.is_some() {
                break;
            }
        }
        assert_eq!(stage.as_deref(), Some("aborted"));
        sleep(Duration::from_secs(40)).await;
        assert_eq!(simulation.running_task_count(&service), 0);
        simulation.assert_no_violations();
    });
}

/// Checks that a partition between zones ends no task. Workers send their heartbeats to controllers
/// of their own zone, so the partition must not affect their leases.
#[test]
fn tasks_keep_running_while_zones_are_partitioned() {
    Scenario::new(11).run(|simulation| async move {
        let mut spread = job(1, "daemon", 4, 0.0);
        spread["scatter"] = json!(true);
        let service = simulation.submit(spread).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(20)).await;
        assert_eq!(simulation.running_task_count(&service), 4);
        let before = simulation.task_start_count.get();
        simulation.partition_zones();
        sleep(Duration::from_secs(30)).await;
        assert_eq!(
            (
                simulation.running_task_count(&service),
                simulation.task_start_count.get()
            ),
            (4, before)
        );
        simulation.assert_no_violations();
    });
}

/// Checks the controllers' behaviour after a freeze of one, most or all of them, for two seconds
/// up to longer than a lease. They must return no healthy machine and carry out no decision from
/// before the freeze. Tasks on machines whose leases did not expire must still run.
#[test]
fn frozen_controllers_act_on_no_outdated_information() {
    let all: [usize; 3] = [0, 1, 2];
    let cases: [(&[usize], f64, u64); 5] = [
        (&all[..1], 2.0, 0),
        (&all[..1], 13.0, 0),
        // A worker that first tries both frozen controllers reaches the third only after its
        // lease has expired.
        (&all[..2], 25.0, u64::MAX),
        // All controllers freeze: in one case for less than a lease, in the other until all
        // leases have expired.
        (&all, 5.0, 0),
        (&all, 35.0, u64::MAX),
    ];
    for (n, (frozen, seconds, allowed_expiries)) in cases.into_iter().enumerate() {
        Scenario::new(40 + n as u64).run(|simulation| async move {
            let service = simulation.submit(job(1, "daemon", 4, 0.0)).await;
            let finished = simulation.submit(job(2, "batch", 4, 2.0)).await;
            simulation.wait_for_stage(&service, "running", 100).await;
            simulation.wait_for_stage(&finished, "done", 100).await;
            let gang = simulation.submit(job(3, "gang", 2, 60.0)).await;
            simulation.wait_for_stage(&gang, "running", 100).await;
            sleep(Duration::from_secs(5)).await;
            let used_machines: Vec<String> =
                [&service, &gang].map(|j| simulation.machine_of(j)).into();
            let array = simulation.submit(job(4, "batch", 8, 4.0)).await;
            frozen.iter().for_each(|i| simulation.set_paused(*i, true));
            sleep(Duration::from_secs_f64(seconds)).await;
            // A controller that is not frozen confirms a cancellation meanwhile.
            if let Some(i) = (0..CONTROLLERS).find(|i| !frozen.contains(i)) {
                assert_eq!(
                    simulation.cancel(i, &array).await.as_deref(),
                    Some("aborted")
                );
            }
            let starts = simulation.task_start_count.get();
            frozen.iter().for_each(|i| simulation.set_paused(*i, false));
            sleep(Duration::from_secs(3)).await;
            if frozen.len() < CONTROLLERS {
                assert_eq!(
                    simulation.running_task_count(&array),
                    0,
                    "case {n}: a cancelled task runs"
                );
                assert!(
                    simulation.task_start_count.get() - starts <= 2,
                    "case {n}: outdated launches"
                );
            }
            // Freezes one of them again while it recovers.
            simulation.set_paused(frozen[0], true);
            sleep(Duration::from_secs(5)).await;
            simulation.set_paused(frozen[0], false);
            sleep(Duration::from_secs(40)).await;
            for name in used_machines.iter().filter(|_| allowed_expiries == 0) {
                let is_rented = simulation.workers.borrow().contains_key(name);
                assert!(is_rented, "case {n}: {name} was returned");
            }
            assert!(
                simulation.expired_lease_count() <= allowed_expiries,
                "case {n}: leases have expired"
            );
            assert_eq!(simulation.running_task_count(&service), 4, "case {n}");
            simulation.wait_for_stage(&gang, "done", 200).await;
            simulation.assert_no_violations();
        });
    }
}

/// Checks that a controller does not count the time for which it was frozen as time without
/// heartbeats. There is no other controller, and the workers send heartbeats again within
/// seconds after the freeze, so their machines must be kept.
#[test]
fn single_controller_keeps_its_machines_after_a_freeze() {
    Scenario::new(50)
        .single_controller()
        .run(|simulation| async move {
            let service = simulation.submit(job(1, "daemon", 4, 0.0)).await;
            simulation.wait_for_stage(&service, "running", 100).await;
            sleep(Duration::from_secs(20)).await;
            let before: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
            simulation.set_paused(0, true);
            sleep(Duration::from_secs(26)).await;
            simulation.set_paused(0, false);
            sleep(Duration::from_secs(20)).await;
            let after: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
            assert_eq!(before, after);
            assert_eq!(simulation.running_task_count(&service), 4);
            simulation.assert_no_violations();
        });
}
