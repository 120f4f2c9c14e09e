//! Machines that are lost, reject tasks, are unreachable or never boot.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, job};

#[test]
fn lost_machines_are_replaced() {
    Scenario::new(6).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        let gang = simulation.submit(job(2, "gang", 2, 20.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(12)).await;
        let names: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
        for name in names {
            simulation.lose_machine(&name);
        }
        simulation.wait_for_stage(&gang, "done", 200).await;
        assert_eq!(simulation.running_task_count(&service), 2);
        simulation.assert_no_violations();
    });
}

#[test]
fn machine_that_rejects_tasks_is_returned_and_its_jobs_run_elsewhere() {
    Scenario::new(9).run(|simulation| async move {
        let first = simulation.submit(job(1, "batch", 4, 2.0)).await;
        simulation.wait_for_stage(&first, "done", 100).await;
        let name = simulation
            .workers
            .borrow()
            .keys()
            .next()
            .cloned()
            .expect("a machine");
        simulation.workers.borrow()[&name]
            .0
            .fails_all_tasks
            .set(true);
        for n in 2..6 {
            simulation.submit(job(n, "batch", 4, 2.0)).await;
        }
        for n in 2..6 {
            simulation
                .wait_for_stage(&format!("job-{n:06}"), "done", 300)
                .await;
        }
        assert!(
            !simulation.workers.borrow().contains_key(&name),
            "the machine is still rented"
        );
        simulation.assert_no_violations();
    });
}

/// Checks that a faulty job, which fails on every machine, does not cause machines to be
/// returned. Such a job is retried at a limited rate and leaves capacity to other jobs.
/// Operators see it with the machines on which it failed. When it is cancelled, it ends
/// immediately.
#[test]
fn failures_of_a_faulty_job_are_not_attributed_to_machines() {
    Scenario::new(23).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 3, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        let kinds = ["batch", "gang", "daemon", "batch", "gang", "batch"];
        for (n, kind) in (10..).zip(kinds) {
            let mut submission = job(n, kind, if kind == "batch" { 6 } else { 2 }, 3.0);
            submission["blueprint"] = json!("mistake");
            submission["vcpus"] = json!(0.5);
            simulation.submit(submission).await;
        }
        sleep(Duration::from_secs(60)).await;
        let machines: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
        let starts = simulation.task_start_count.get();
        sleep(Duration::from_secs(60)).await;
        // Six jobs are attempted once per minute each after they count as faulty. An attempt of
        // a gang starts two tasks.
        assert!(
            simulation.task_start_count.get() - starts <= 16,
            "{}",
            simulation.task_start_count.get() - starts
        );
        assert!(
            simulation.task_start_count.get() > starts,
            "the faulty jobs were never retried"
        );
        let rented: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
        assert!(
            machines.iter().all(|m| rented.contains(m)),
            "healthy machines were returned"
        );
        assert_eq!(
            (
                simulation.running_task_count(&service),
                simulation.expired_lease_count()
            ),
            (3, 0)
        );
        for n in 10..16 {
            let id = format!("job-{n:06}");
            let (status, details) = simulation
                .send_request(0, "GET", &format!("/ops/job/{id}"), None)
                .await;
            assert_eq!(status, 200);
            assert!(
                !details["failed_on"]
                    .as_array()
                    .expect("machines")
                    .is_empty()
            );
            assert_eq!(
                simulation.query_stage(1, &id).await.as_deref(),
                Some("queued"),
                "{id}"
            );
        }
        let good = simulation.submit(job(30, "gang", 2, 2.0)).await;
        simulation.wait_for_stage(&good, "done", 40).await;
        for n in 10..16 {
            let id = format!("job-{n:06}");
            assert_eq!(simulation.cancel(1, &id).await.as_deref(), Some("aborted"));
        }
        simulation.assert_no_violations();
    });
}

/// Checks that a machine is replaced if its heartbeats arrive but no answers or commands reach
/// it. It gets no new tasks and is returned. Its tasks start elsewhere once it is proved that
/// they have ended on this machine.
#[test]
fn machine_that_receives_no_messages_is_replaced() {
    Scenario::new(12).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let name = simulation.machine_of(&service);
        let worker = simulation.workers.borrow()[&name].0.clone();
        worker.inbound_blocked.set(true);
        sleep(Duration::from_secs(25)).await;
        let running = simulation.running_task_count(&service);
        assert_eq!(running, 2, "the replica was not started elsewhere");
        let array = simulation.submit(job(2, "batch", 4, 3.0)).await;
        simulation.wait_for_stage(&array, "done", 100).await;
        sleep(Duration::from_secs(10)).await;
        assert!(
            !simulation.workers.borrow().contains_key(&name),
            "the machine is still rented"
        );
        simulation.assert_no_violations();
    });
}

/// Checks that an unreachable machine is used again if messages reach it before it is returned.
#[test]
fn machine_that_receives_messages_again_is_used_again() {
    Scenario::new(13).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let name = simulation.machine_of(&service);
        let worker = simulation.workers.borrow()[&name].0.clone();
        worker.inbound_blocked.set(true);
        sleep(Duration::from_secs(3)).await;
        worker.inbound_blocked.set(false);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(simulation.running_task_count(&service), 2);
        assert_eq!(
            simulation.machine_of(&service),
            name,
            "the service was moved needlessly"
        );
        // Other jobs use its capacity once the service is cancelled.
        assert_eq!(
            simulation.cancel(0, &service).await.as_deref(),
            Some("aborted")
        );
        let array = simulation.submit(job(2, "batch", 2, 20.0)).await;
        simulation.wait_for_stage(&array, "running", 60).await;
        sleep(Duration::from_secs(3)).await;
        assert_eq!(simulation.machine_of(&array), name);
        simulation.assert_no_violations();
    });
}

/// Checks that machines which never boot are returned, and that each machine that is needed is
/// replaced only once. All machines that never boot are in one zone. A job that can run in no
/// other zone must not cause an endless series of rentals and returns.
#[test]
fn machines_that_never_boot_are_replaced_and_returned() {
    Scenario::new(60).run(|simulation| async move {
        simulation.failed_boot_zone.set(Some("a"));
        let jobs = [("batch", 4), ("gang", 2), ("daemon", 2)];
        for (n, (kind, tasks)) in (1..).zip(jobs) {
            simulation.submit(job(n, kind, tasks, 3.0)).await;
        }
        simulation.wait_for_stage("job-000001", "done", 40).await;
        simulation.wait_for_stage("job-000002", "done", 40).await;
        simulation.wait_for_stage("job-000003", "running", 20).await;
        assert!(
            simulation.rented_machine_count.get() <= 9,
            "{}",
            simulation.rented_machine_count.get()
        );
        let mut bound = job(4, "batch", 2, 3.0);
        bound["yard"] = json!("a");
        let bound = simulation.submit(bound).await;
        sleep(Duration::from_secs(300)).await;
        // One machine is rented for the two tasks. If it does not boot in time, another one is
        // rented, and so on, after longer and longer delays.
        assert!(
            simulation.rented_machine_count.get() <= 9 + 12,
            "{}",
            simulation.rented_machine_count.get()
        );
        assert_eq!(
            simulation.query_stage(0, &bound).await.as_deref(),
            Some("queued")
        );
        simulation.failed_boot_zone.set(None);
        simulation.wait_for_stage(&bound, "done", 400).await;
        sleep(Duration::from_secs(60)).await;
        let rented = simulation.workers.borrow().len();
        assert!(rented <= 3, "{rented} machines");
        simulation.assert_no_violations();
    });
}

/// Checks that a fleet leader which restarts in the middle of a rental continues with the
/// rental and rents no machine twice. The leader's lease at the state service, from before the
/// restart, is still valid then.
#[test]
fn restarted_fleet_leader_continues_its_rentals() {
    Scenario::new(15).run(|simulation| async move {
        let first = simulation.submit(job(1, "batch", 2, 2.0)).await;
        simulation.wait_for_stage(&first, "done", 100).await;
        // The controllers restart in the middle of a rental: the intent to rent is committed,
        // but the cloud's answer is lost.
        let gang = simulation.submit(job(2, "gang", 5, 5.0)).await;
        sleep(Duration::from_millis(700)).await;
        for i in 0..CONTROLLERS {
            simulation.kill_controller(i);
            simulation.start(i);
        }
        simulation.wait_for_stage(&gang, "done", 60).await;
        let rented = simulation.workers.borrow().len();
        assert!(rented <= 5, "{rented} machines for five tasks");
        simulation.assert_no_violations();
    });
}
