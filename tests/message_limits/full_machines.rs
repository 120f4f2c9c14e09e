//! Machines that have resources for more tasks than fit a heartbeat: all work gets done, no
//! lease expires, and no message exceeds the limit.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::setup::{MACHINE, MAX_WAIT_S, expired_leases, run_service, start, tiny_tasks};
use crate::stand_ins::run_in_simulated_time;

/// Guards against review/2: an array got more tasks on a machine than fit a heartbeat, so that
/// the machine lost its lease again and again, with all other work on it.
#[test]
fn array_with_more_tasks_than_fit_a_heartbeat_completes() {
    for tasks in [600, 1100, 1250, 1590] {
        run_in_simulated_time(|| async move {
            let simulation = start(u64::from(tasks)).await;
            let service = run_service(&simulation, 1).await;
            let array = simulation.submit(tiny_tasks(2, "batch", tasks, 5.0)).await;
            simulation.wait_for_stage(&array, "done", MAX_WAIT_S).await;
            assert_eq!(simulation.running_task_count(&service), 2, "{tasks} tasks");
            assert_eq!(expired_leases(&simulation), 0, "{tasks} tasks");
            let starts = simulation.task_start_count.get();
            assert_eq!(starts, 2 + tasks as usize, "{tasks} tasks");
            simulation.assert_no_violations();
        });
    }
}

/// Guards against review/2 with several jobs: the tasks of all jobs and attempts on a machine
/// share its heartbeat, with ended ones that are not forgotten yet.
#[test]
fn several_arrays_with_more_tasks_than_fit_a_heartbeat_complete() {
    run_in_simulated_time(|| async {
        let simulation = start(7).await;
        let service = run_service(&simulation, 1).await;
        let mut arrays = Vec::new();
        for number in 2..=8 {
            let run_s = f64::from(number) / 2.0;
            let array = tiny_tasks(number, "batch", 220, run_s);
            arrays.push(simulation.submit(array).await);
        }
        for array in &arrays {
            simulation.wait_for_stage(array, "done", MAX_WAIT_S).await;
        }
        assert_eq!(simulation.running_task_count(&service), 2);
        assert_eq!(expired_leases(&simulation), 0);
        simulation.assert_no_violations();
    });
}

/// Guards against jobs that wait beside machines which only look free, and against machines
/// rented in vain: a job that needs several machines because of the limit gets just these.
#[test]
fn job_with_more_tasks_than_fit_a_heartbeat_gets_several_machines() {
    // Each case has the kind of the job, whether it must be in one zone, its number of tasks and
    // the number of machines that it needs.
    let cases = [
        ("gang", false, 700, 2),
        ("gang", true, 700, 2),
        ("gang", true, 1400, 3),
        ("daemon", false, 700, 2),
        ("daemon", false, 1400, 3),
    ];
    for (kind, one_zone, tasks, machines) in cases {
        run_in_simulated_time(|| async move {
            let case = format!("{kind}, {tasks} tasks, one zone: {one_zone}");
            let simulation = start(u64::from(tasks)).await;
            let mut large = tiny_tasks(1, kind, tasks, 300.0);
            large["same_place"] = json!(one_zone);
            let id = simulation.submit(large).await;
            simulation.wait_for_stage(&id, "running", MAX_WAIT_S).await;
            sleep(Duration::from_secs(30)).await;
            assert_eq!(simulation.running_task_count(&id), tasks as usize, "{case}");
            assert_eq!(simulation.rented_machine_count.get(), machines, "{case}");
            assert_eq!(expired_leases(&simulation), 0, "{case}");
            simulation.assert_no_violations();
        });
    }
}

/// Guards against arrays of long tasks that wait though machines for them could be rented,
/// because one machine looks large enough for all.
#[test]
fn array_of_long_tasks_gets_several_machines() {
    for (tasks, machines) in [(1200, 3), (1500, 3)] {
        run_in_simulated_time(|| async move {
            let simulation = start(u64::from(tasks)).await;
            let array = tiny_tasks(1, "batch", tasks, 3600.0);
            let array = simulation.submit(array).await;
            sleep(Duration::from_secs(MAX_WAIT_S)).await;
            let running = simulation.running_task_count(&array);
            // By the default policy, half as many tasks as run may wait for these to end.
            assert!(tasks as usize - running <= running / 2, "{running}");
            assert!(simulation.rented_machine_count.get() <= machines);
            assert_eq!(expired_leases(&simulation), 0);
            simulation.assert_no_violations();
        });
    }
}

/// Guards against an urgent job that waits because low work has taken all entries of the
/// heartbeat: the low work is preempted, as it is for resources.
#[test]
fn urgent_job_gets_a_machine_that_is_full_of_tasks() {
    run_in_simulated_time(|| async {
        let simulation = start(12).await;
        let mut low = tiny_tasks(1, "batch", 900, 3600.0);
        low["urgency"] = json!("low");
        low["yard"] = json!("a");
        // No further machine comes up in the zone.
        simulation.failed_boot_zone.set(Some("a"));
        let low = simulation.submit(low).await;
        simulation.wait_for_stage(&low, "running", 60).await;
        sleep(Duration::from_secs(15)).await;
        let mut urgent = tiny_tasks(2, "gang", 40, 3600.0);
        urgent["urgency"] = json!("urgent");
        urgent["yard"] = json!("a");
        let urgent = simulation.submit(urgent).await;
        simulation
            .wait_for_stage(&urgent, "running", MAX_WAIT_S)
            .await;
        assert_eq!(simulation.running_task_count(&urgent), 40);
        assert_eq!(expired_leases(&simulation), 0);
        simulation.assert_no_violations();
    });
}

/// Guards against stops that come behind launches: while a full machine's tasks are exchanged
/// for those of a waiting job, the stops of a cancelled job are sent first.
#[test]
fn cancelled_tasks_of_a_full_machine_are_stopped_before_others_are_launched() {
    run_in_simulated_time(|| async {
        let simulation = start(13).await;
        simulation.failed_boot_zone.set(Some("a"));
        let mut cancelled = tiny_tasks(1, "batch", 1500, 3600.0);
        cancelled["yard"] = json!("a");
        let mut waiting = tiny_tasks(2, "batch", 600, 20.0);
        waiting["yard"] = json!("a");
        let cancelled = simulation.submit(cancelled).await;
        simulation.wait_for_stage(&cancelled, "running", 60).await;
        sleep(Duration::from_secs(15)).await;
        let waiting = simulation.submit(waiting).await;
        sleep(Duration::from_secs(5)).await;
        assert!(simulation.running_task_count(&cancelled) > 400);
        let stage = simulation.cancel(0, &cancelled).await;
        assert_eq!(stage.as_deref(), Some("aborted"));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(simulation.running_task_count(&cancelled), 0);
        simulation
            .wait_for_stage(&waiting, "done", MAX_WAIT_S)
            .await;
        assert_eq!(expired_leases(&simulation), 0);
        simulation.assert_no_violations();
    });
}

/// Guards against a full machine that does not get its work back after its lease has expired.
#[test]
fn full_machine_starts_anew_after_its_lease() {
    run_in_simulated_time(|| async {
        let simulation = start(14).await;
        let service = run_service(&simulation, 1).await;
        let array = simulation.submit(tiny_tasks(2, "batch", 1500, 15.0)).await;
        simulation.wait_for_stage(&array, "running", 60).await;
        sleep(Duration::from_secs(2)).await;
        let worker = simulation.workers.borrow()[MACHINE].0.clone();
        worker.heartbeats_blocked.set(true);
        sleep(Duration::from_secs(12)).await;
        worker.heartbeats_blocked.set(false);
        sleep(Duration::from_secs(2)).await;
        let stage = simulation.cancel(0, &service).await;
        assert_eq!(stage.as_deref(), Some("aborted"));
        simulation.wait_for_stage(&array, "done", MAX_WAIT_S).await;
        assert_eq!(simulation.running_task_count(&service), 0);
        simulation.assert_no_violations();
    });
}
