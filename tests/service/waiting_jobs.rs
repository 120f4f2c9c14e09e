//! Jobs that wait although a machine which fits them has room. The rule: once the troubles are
//! over, no job waits so for 90 s.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{DeploymentOptions, Simulation, job, run_in_simulated_time};

/// Maximum time for which a job may wait beside a machine that fits it and has room.
const MAX_WAIT: Duration = Duration::from_secs(90);

/// Starts a deployment whose cloud has no machines to rent, with one machine of each of these
/// types in zone a. Idle machines are not returned during the test.
async fn deployment_with(
    seed: u64,
    timing: Timing,
    types: &[&str],
) -> (Rc<Simulation>, Vec<String>) {
    let shape = DeploymentOptions {
        has_accelerators: true,
        report_s: timing.report_s,
        lease_s: timing.lease_s,
        cancel_s: timing.lease_s + 20.0,
        ready_s: 600.0,
        boot_s: 1.0,
        teams: vec![("t".into(), 64.0, 64.0), ("u".into(), 64.0, 64.0)],
        ..DeploymentOptions::default()
    };
    let simulation = Simulation::with_options(seed, shape).await;
    simulation.is_out_of_capacity.set(true);
    let boot = |kind: &&str| simulation.boot_machine(&json!({"grade": kind, "yard": "a"}));
    let names = types.iter().map(boot).collect();
    sleep(Duration::from_secs_f64(1.0 + 2.0 * timing.report_s)).await;
    (simulation, names)
}

/// The heartbeat interval and the worker lease of a deployment, in seconds.
#[derive(Debug, Clone, Copy)]
struct Timing {
    report_s: f64,
    lease_s: f64,
}

/// The timing of deployments in which workers report often, and in which they report rarely.
const TIMINGS: [Timing; 2] = [
    Timing {
        report_s: 1.0,
        lease_s: 10.0,
    },
    Timing {
        report_s: 3.0,
        lease_s: 24.0,
    },
];

/// Returns a job with one task that needs both accelerators of a machine.
fn accelerator_job(number: u32, kind: &str, run_s: f64) -> Value {
    let mut submission = job(number, kind, 1, run_s);
    submission["vcpus"] = json!(8.0);
    submission["cards"] = json!(2.0);
    submission
}

/// Waits until at least one task of the job runs or the job is done. Panics after the limit.
async fn wait_for_start(simulation: &Simulation, id: &str, limit: Duration, case: &str) {
    let started = Instant::now();
    loop {
        let stage = simulation.query_stage(0, id).await;
        if simulation.running_task_count(id) > 0 || stage.as_deref() == Some("done") {
            return;
        }
        let waited = started.elapsed();
        assert!(waited < limit, "{case}: {id} is {stage:?} after {waited:?}");
        sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against machines that stay idle for good (review/5): the only machine that fits was
/// quarantined after failures, and nothing ended the quarantine.
#[test]
fn recovered_machine_gets_work_again() {
    let mut seed = 80;
    for timing in TIMINGS {
        for (kind, sick_s) in [("gang", 10), ("gang", 110), ("batch", 10), ("daemon", 10)] {
            seed += 1;
            run_in_simulated_time(|| async move {
                let case = format!("{kind}, {sick_s} s, {timing:?}");
                let types = ["gpu", "small", "small"];
                let (simulation, names) = deployment_with(seed, timing, &types).await;
                let machine = simulation.workers.borrow()[&names[0]].0.clone();
                machine.fails_all_tasks.set(true);
                for number in 1..5 {
                    simulation.submit(accelerator_job(number, kind, 2.0)).await;
                }
                sleep(Duration::from_secs(sick_s)).await;
                machine.fails_all_tasks.set(false);
                let last = simulation.submit(accelerator_job(5, kind, 2.0)).await;
                wait_for_start(&simulation, "job-000001", MAX_WAIT, &case).await;
                for number in 1..5 {
                    let id = format!("job-{number:06}");
                    if kind == "daemon" {
                        wait_for_start(&simulation, &id, MAX_WAIT, &case).await;
                        simulation.cancel(0, &id).await;
                    } else {
                        simulation.wait_for_stage(&id, "done", 60).await;
                    }
                }
                wait_for_start(&simulation, &last, MAX_WAIT, &case).await;
                simulation.assert_no_violations();
            });
        }
    }
}

/// Guards against machines that take no work for good (as review/5): a machine on which a job
/// had failed that then succeeded elsewhere was drained, and stayed so as long as its work ran.
#[test]
fn recovered_machine_with_work_gets_more_work() {
    for (seed, timing) in (87..).zip(TIMINGS) {
        run_in_simulated_time(|| async move {
            let case = format!("{timing:?}");
            let (simulation, names) = deployment_with(seed, timing, &["big", "big"]).await;
            // Each machine has one replica, and room for one more task of the other jobs.
            let sized = |mut submission: Value, cpus: f64| {
                submission["vcpus"] = json!(cpus);
                submission
            };
            let service = sized(job(1, "daemon", 2, 0.0), 5.0);
            let service = simulation.submit(service).await;
            simulation.wait_for_stage(&service, "running", 60).await;
            let machine = simulation.workers.borrow()[&names[0]].0.clone();
            machine.fails_all_tasks.set(true);
            for number in 2..4 {
                let array = job(number, "batch", 1, 2.0);
                simulation.submit(sized(array, 3.0)).await;
            }
            for id in ["job-000002", "job-000003"] {
                simulation.wait_for_stage(id, "done", 60).await;
            }
            sleep(Duration::from_secs(2)).await;
            machine.fails_all_tasks.set(false);
            for number in 4..6 {
                let array = job(number, "batch", 1, 600.0);
                simulation.submit(sized(array, 3.0)).await;
            }
            for id in ["job-000004", "job-000005"] {
                wait_for_start(&simulation, id, MAX_WAIT, &case).await;
            }
            assert_eq!(simulation.running_task_count(&service), 2, "{case}");
            simulation.assert_no_violations();
        });
    }
}

/// Guards against a back-off that is longer than a job may wait beside a machine that fits: it
/// grew with the failures to 32 heartbeat intervals.
#[test]
fn failed_job_is_retried_soon_after_its_machine_recovers() {
    for (seed, timing) in (90..).zip(TIMINGS) {
        run_in_simulated_time(|| async move {
            let case = format!("{timing:?}");
            let (simulation, names) = deployment_with(seed, timing, &["gpu"]).await;
            let machine = simulation.workers.borrow()[&names[0]].0.clone();
            machine.fails_all_tasks.set(true);
            let id = simulation.submit(accelerator_job(1, "gang", 2.0)).await;
            sleep(Duration::from_secs(240)).await;
            let starts = simulation.task_start_count.get();
            while simulation.task_start_count.get() == starts {
                sleep(Duration::from_millis(100)).await;
            }
            machine.fails_all_tasks.set(false);
            wait_for_start(&simulation, &id, MAX_WAIT, &case).await;
            simulation.assert_no_violations();
        });
    }
}

/// Guards against an array that waits as long as its own tasks run: after failures on several
/// machines, no further task was tried while any task was on a machine.
#[test]
fn failed_tasks_are_retried_while_others_run() {
    for (seed, timing) in (92..).zip(TIMINGS) {
        run_in_simulated_time(|| async move {
            let case = format!("{timing:?}");
            let types = ["big", "small", "small", "small"];
            let (simulation, names) = deployment_with(seed, timing, &types).await;
            let set_sick = |is_sick| {
                for name in &names[1..] {
                    let worker = simulation.workers.borrow()[name].0.clone();
                    worker.fails_all_tasks.set(is_sick);
                }
            };
            set_sick(true);
            let mut array = job(1, "batch", 5, 600.0);
            array["vcpus"] = json!(4.0);
            let id = simulation.submit(array).await;
            sleep(Duration::from_secs(60)).await;
            assert_eq!(simulation.running_task_count(&id), 2, "{case}");
            set_sick(false);
            let recovered_at = Instant::now();
            while simulation.running_task_count(&id) == 2 {
                assert!(recovered_at.elapsed() < MAX_WAIT, "{case}");
                sleep(Duration::from_millis(500)).await;
            }
            simulation.assert_no_violations();
        });
    }
}

/// Guards against jobs that never run: no machine was rented any more for a job that had failed
/// seven times on several machines, all of which have left.
#[test]
fn machine_is_rented_for_a_job_that_has_failed_often() {
    for (seed, timing) in (94..).zip(TIMINGS) {
        run_in_simulated_time(|| async move {
            let case = format!("{timing:?}");
            let (simulation, names) = deployment_with(seed, timing, &["gpu", "gpu", "gpu"]).await;
            let workers = names
                .iter()
                .map(|name| simulation.workers.borrow()[name].0.clone());
            workers.for_each(|worker| worker.fails_all_tasks.set(true));
            let id = simulation.submit(accelerator_job(1, "gang", 2.0)).await;
            let failures = async || {
                let path = format!("/ops/job/{id}");
                let (_, details) = simulation.send_request(0, "GET", &path, None).await;
                details["failures"].as_u64().unwrap_or(0)
            };
            while failures().await < 7 {
                sleep(Duration::from_secs(1)).await;
            }
            names.iter().for_each(|name| simulation.lose_machine(name));
            simulation.is_out_of_capacity.set(false);
            wait_for_start(&simulation, &id, MAX_WAIT * 3, &case).await;
            simulation.assert_no_violations();
        });
    }
}

/// Checks that a faulty job, which fails on every machine, causes few machines to be rented.
#[test]
fn few_machines_are_rented_for_a_faulty_job() {
    let shape = DeploymentOptions {
        has_accelerators: true,
        ..DeploymentOptions::default()
    };
    run_in_simulated_time(|| async move {
        let simulation = Simulation::with_options(96, shape).await;
        let mut faulty = accelerator_job(1, "gang", 2.0);
        faulty["blueprint"] = json!("mistake");
        simulation.submit(faulty).await;
        sleep(Duration::from_secs(600)).await;
        let rented = simulation.rented_machine_count.get();
        sleep(Duration::from_secs(1800)).await;
        let more = simulation.rented_machine_count.get() - rented;
        assert!((1..=10).contains(&more), "{rented}, then {more}");
        simulation.assert_no_violations();
    });
}

/// Guards against jobs that wait beside an idle machine (review/6): an array was never placed on
/// a machine whose accelerators are all free, however long it waited.
#[test]
fn accelerators_are_not_protected_from_a_job_forever() {
    let mut seed = 100;
    for timing in TIMINGS {
        for kind in ["batch", "gang", "daemon"] {
            seed += 1;
            run_in_simulated_time(|| async move {
                let case = format!("{kind}, {timing:?}");
                let types = ["gpu", "gpu", "small"];
                let (simulation, names) = deployment_with(seed, timing, &types).await;
                let accelerated = simulation.submit(accelerator_job(1, "gang", 600.0)).await;
                wait_for_start(&simulation, &accelerated, MAX_WAIT, &case).await;
                let mut submission = job(2, kind, 1, 600.0);
                submission["vcpus"] = json!(4.0);
                let id = simulation.submit(submission).await;
                wait_for_start(&simulation, &id, MAX_WAIT, &case).await;
                assert_eq!(simulation.machine_of(&id), names[2], "{case}");
                simulation.lose_machine(&names[2]);
                wait_for_start(&simulation, &id, MAX_WAIT, &case).await;
                simulation.assert_no_violations();
            });
        }
    }
}
