//! Machines to which an earlier version, without the limit, gave more tasks than fit a
//! heartbeat. They come out of it by themselves, and other jobs on them are hurt least.

use std::rc::Rc;
use std::time::Duration;

use shelfhoist::state::keys::job_key;
use shelfhoist::state::records::Job;
use tokio::time::sleep;

use crate::setup::{MACHINE, MAX_WAIT_S, expired_leases, run_service, start, tiny_tasks};
use crate::stand_ins::{CONTROLLERS, Simulation, run_in_simulated_time};

/// Reads the stored record of a job.
fn stored_job(simulation: &Simulation, id: &str) -> Job {
    let value = simulation.state.value(&job_key(id)).expect("a record");
    serde_json::from_value(value).expect("a job")
}

/// Books all waiting tasks of a job on the machine, and lets it run them, as the earlier version
/// does. All controllers are replaced meanwhile.
fn overfill(simulation: &Rc<Simulation>, id: &str) {
    for i in 0..CONTROLLERS {
        simulation.kill_controller(i);
    }
    let mut job = stored_job(simulation, id);
    while let Some(task) = job.take_unstarted_task() {
        job.book(MACHINE, "a", 1, task);
    }
    let record = serde_json::to_value(&job).expect("a record");
    simulation.state.write(&job_key(id), &record);
    let booked = job.runs.iter().filter(|run| run.machine == MACHINE);
    let tasks = booked.flat_map(|run| run.tasks.iter());
    let tasks: Vec<String> = tasks.map(|task| format!("{id}/{task}")).collect();
    simulation.launch(MACHINE, &tasks);
    for i in 0..CONTROLLERS {
        simulation.start(i);
    }
}

/// Guards against a machine whose heartbeat still fits the limit while its tasks run, but not
/// once they end or are to be stopped: it loses its lease, and all other work on it.
#[test]
fn machine_with_too_many_running_tasks_keeps_its_lease() {
    for (tasks, run_s) in [(700, 25), (1150, 25), (1150, 100)] {
        run_in_simulated_time(|| async move {
            let case = format!("{tasks} tasks of {run_s} s");
            let simulation = start(u64::from(tasks)).await;
            let service = run_service(&simulation, 1).await;
            let array = tiny_tasks(2, "batch", tasks, run_s as f64);
            let array = simulation.submit(array).await;
            simulation.wait_for_stage(&array, "running", 60).await;
            overfill(&simulation, &array);
            // The machine runs the tasks in three groups, one after another.
            simulation
                .wait_for_stage(&array, "done", 3 * run_s + MAX_WAIT_S)
                .await;
            assert_eq!(expired_leases(&simulation), 0, "{case}");
            assert_eq!(simulation.running_task_count(&service), 2, "{case}");
            assert_eq!(stored_job(&simulation, &service).attempt, 1, "{case}");
            simulation.assert_no_violations();
        });
    }
}

/// Guards against a machine whose heartbeat no controller accepts, and which gets the same tasks
/// again after each lease: after one lease all of its work goes on.
#[test]
fn machine_whose_heartbeat_is_refused_recovers_after_one_lease() {
    run_in_simulated_time(|| async {
        let simulation = start(21).await;
        let service = run_service(&simulation, 1).await;
        let array = simulation.submit(tiny_tasks(2, "batch", 1500, 40.0)).await;
        simulation.wait_for_stage(&array, "running", 60).await;
        overfill(&simulation, &array);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(expired_leases(&simulation), 1);
        assert!(!simulation.frames.oversized.take().is_empty());
        simulation
            .wait_for_stage(&array, "done", 2 * MAX_WAIT_S)
            .await;
        assert_eq!(simulation.running_task_count(&service), 2);
        assert_eq!(expired_leases(&simulation), 1);
        simulation.assert_no_violations();
    });
}

/// Guards against a lease that is renewed by an answer without a stop for each cancelled task,
/// because one answer cannot contain all of the stops.
#[test]
fn cancelled_tasks_of_an_overfull_machine_are_all_stopped() {
    run_in_simulated_time(|| async {
        let simulation = start(22).await;
        let service = run_service(&simulation, 1).await;
        let array = simulation.submit(tiny_tasks(2, "batch", 1150, 400.0)).await;
        simulation.wait_for_stage(&array, "running", 60).await;
        overfill(&simulation, &array);
        let mut stage = None;
        while stage.as_deref() != Some("aborted") {
            sleep(Duration::from_millis(20)).await;
            stage = simulation.cancel(0, &array).await;
        }
        sleep(Duration::from_secs(5)).await;
        assert_eq!(simulation.running_task_count(&array), 0);
        assert_eq!(simulation.running_task_count(&service), 2);
        assert_eq!(expired_leases(&simulation), 0);
        simulation.assert_no_violations();
    });
}
