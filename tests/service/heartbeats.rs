//! Heartbeats: late copies, slow or refused claims of a worker, and unreachable
//! controllers.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::stand_ins::{CONTROLLERS, Scenario, StateFault, job};

/// Checks that late copies of old heartbeats neither end, release nor launch a task, and do not
/// make a lost machine count as alive. Every controller receives the copies; one of them has just
/// restarted.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    Scenario::new(14).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        let array = simulation.submit(job(2, "batch", 6, 4.0)).await;
        simulation.wait_for_stage(&array, "done", 100).await;
        sleep(Duration::from_secs(3)).await;
        let name = simulation.machine_of(&service);
        let heartbeats = simulation.workers.borrow()[&name]
            .0
            .sent_heartbeats
            .borrow()
            .clone();
        let before = simulation.task_start_count.get();
        simulation.kill_controller(0);
        simulation.start(0);
        for i in 0..CONTROLLERS {
            simulation.send_heartbeat_copies(i, &heartbeats).await;
        }
        sleep(Duration::from_secs(15)).await;
        assert_eq!(
            (
                simulation.running_task_count(&service),
                simulation.task_start_count.get()
            ),
            (2, before)
        );
        // The copies must not make the lost machine count as alive.
        simulation.lose_machine(&name);
        for _ in 0..4 {
            sleep(Duration::from_secs(4)).await;
            for i in 0..CONTROLLERS {
                simulation.send_heartbeat_copies(i, &heartbeats).await;
            }
        }
        sleep(Duration::from_secs(20)).await;
        assert_eq!(
            simulation.running_task_count(&service),
            2,
            "the replicas of the lost machine were not replaced"
        );
        simulation.assert_no_violations();
    });
}

/// Checks that a worker stays with a controller that cannot claim it yet, but only for a
/// limited time and without a renewed lease. The controller answers the worker's heartbeats
/// with fencing token 0, which the worker must ignore. If the controller redirected the worker
/// instead, the worker would try unreachable controllers until its lease expires.
#[test]
fn worker_with_a_slow_claim_stays_for_a_limited_time() {
    Scenario::new(19).run(|simulation| async move {
        let first = simulation.submit(job(1, "batch", 2, 2.0)).await;
        simulation.wait_for_stage(&first, "done", 100).await;
        let name = simulation.workers.borrow().keys().next().cloned();
        let name = name.expect("a machine");
        // An answer with this token or a higher one renews the lease.
        let token = simulation.workers.borrow()[&name].0.shown_token();
        simulation.state.fault.set(StateFault::CommitsRefused);
        // The worker's owner answers as usual; the others cannot claim the worker.
        let mut retaining_controllers = 0;
        for i in 0..CONTROLLERS {
            let mut answers = Vec::new();
            for sequence in 100..107 {
                let heartbeat = json!({"bay": name, "endpoint": "10.1.9.9:9000", "grade": "small",
                    "yard": "a", "loaners": false, "shift": 1, "tally": sequence, "baton": token,
                    "recall_s": null, "boards": []});
                let (status, body) = simulation
                    .send_request(i, "POST", "/agent/beat", Some(&heartbeat))
                    .await;
                answers.push((status, body["baton"].as_u64()));
                // This is the interval of a worker's heartbeats. The answer to one heartbeat
                // does not delay the next.
                sleep(Duration::from_secs(1)).await;
            }
            // The worker may be redirected once, to its preferred owner or its owner.
            answers.retain(|answer| answer.0 != 421);
            if answers[0].1 >= Some(token) {
                continue;
            }
            retaining_controllers += 1;
            assert_eq!(answers[0], (200, Some(0)), "{i}: {answers:?}");
            assert!(answers.contains(&(503, None)), "{i}: {answers:?}");
            assert!(
                answers.iter().all(|answer| answer.1 < Some(token)),
                "{i}: {answers:?}"
            );
        }
        assert_eq!(retaining_controllers, CONTROLLERS - 1);
        simulation.state.fault.set(StateFault::None);
        simulation.assert_no_violations();
    });
}

/// Checks that a heartbeat is answered immediately if the state service refuses the claim of
/// its worker. The answer must not contain a fencing token that would renew the lease.
#[test]
fn heartbeat_does_not_wait_for_a_refused_claim() {
    Scenario::new(23).run(|simulation| async move {
        let first = simulation.submit(job(1, "batch", 2, 2.0)).await;
        simulation.wait_for_stage(&first, "done", 100).await;
        let name = simulation.workers.borrow().keys().next().cloned();
        let name = name.expect("a machine");
        simulation.state.fault.set(StateFault::CommitsRefused);
        let mut unclaimed_answers = 0;
        for i in 0..CONTROLLERS {
            for sequence in 100..104 {
                let heartbeat = json!({"bay": name, "endpoint": "10.1.9.9:9000", "grade": "small",
                    "yard": "a", "loaners": false, "shift": 1, "tally": sequence, "baton": 1,
                    "recall_s": null, "boards": []});
                let sent_at = Instant::now();
                let (status, body) = simulation
                    .send_request(i, "POST", "/agent/beat", Some(&heartbeat))
                    .await;
                let response_time = sent_at.elapsed();
                assert!(
                    response_time < Duration::from_secs(1),
                    "{i}: {response_time:?}"
                );
                if status == 200 && body["baton"] == json!(0) || status == 503 {
                    unclaimed_answers += 1;
                }
            }
        }
        assert!(unclaimed_answers >= CONTROLLERS - 1, "{unclaimed_answers}");
        simulation.state.fault.set(StateFault::None);
        simulation.assert_no_violations();
    });
}

/// Checks that workers change to other controllers when a controller is cut off from them, and
/// that they return later. The controller can still reach its peers and the state service. The
/// peers must not redirect the workers back to it, or the workers' leases would expire. Once it
/// is reachable again, each worker's preferred owner must accept the worker and not redirect it
/// to its present owner, or one controller would keep all workers.
#[test]
fn workers_change_owner_when_cut_off_and_return_to_their_preferred_owner() {
    Scenario::new(21).run(|simulation| async move {
        for n in 1..7 {
            let mut submission = job(n, "daemon", 2, 0.0);
            submission["vcpus"] = json!(1.0);
            simulation.submit(submission).await;
        }
        sleep(Duration::from_secs(40)).await;
        let owned_count = |name: &str| {
            simulation
                .machine_owners()
                .iter()
                .filter(|(_, owner)| owner == name)
                .count()
        };
        let partitioned = (0..CONTROLLERS).max_by_key(|i| owned_count(&format!("n{i}")));
        let partitioned = partitioned.expect("a controller");
        let name = format!("n{partitioned}");
        assert!(owned_count(&name) > 1, "{:?}", simulation.machine_owners());
        simulation.set_worker_partition(partitioned, true);
        sleep(Duration::from_secs(14)).await;
        // Its last worker may be the one that is unreachable, so that worker is
        // redirected back to it once.
        assert!(
            owned_count(&name) <= 1,
            "workers were not claimed by another controller: {:?}",
            simulation.machine_owners()
        );
        let expired_leases = simulation.expired_lease_count();
        assert!(expired_leases <= 1, "leases have expired");
        simulation.set_worker_partition(partitioned, false);
        sleep(Duration::from_secs(60)).await;
        let not_returned = simulation
            .machine_owners()
            .into_iter()
            .find(|(preferred, owner)| preferred != owner);
        assert_eq!(not_returned, None, "a worker is not at its preferred owner");
        assert!(
            simulation.expired_lease_count() <= expired_leases,
            "leases have expired"
        );
        simulation.assert_no_violations();
    });
}
