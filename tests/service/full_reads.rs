//! Full reads of the state, which follow an outage of the state service, while the controllers
//! already commit again. A page of a read is outdated when it arrives: it lacks what was
//! committed after it was read.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::wire::ExitReason;
use tokio::time::{Instant, sleep};

use crate::stand_ins::{DeploymentOptions, Simulation, StateFault, job, run_in_simulated_time};

/// Number of deployments that each test runs, with different seeds and lengths of the outage.
const VARIANTS: u32 = 24;

/// Duration of the shortest outage: longer than the silence of the state service after which a
/// controller reads the state again.
const OUTAGE: Duration = Duration::from_secs(8);

/// Time after the start of the jobs until the controllers have nothing left to commit.
const SETTLING: Duration = Duration::from_secs(15);

/// Difference between the outages of two variants. It lets the first read of the state and the
/// first read barrier after the outage come in different orders.
const OUTAGE_STEP: Duration = Duration::from_millis(50);

/// Delay of the pages that are read after an outage. According to the protocol, responses take a
/// few hundred milliseconds now and then.
const PAGE_DELAY: Duration = Duration::from_millis(500);

/// Time after an outage within which all full reads and commits complete.
const RECOVERY: Duration = Duration::from_secs(6);

/// Run time in seconds of tasks that do not complete during a test.
const LONG_RUN_S: f64 = 300.0;

/// Run time in seconds of tasks that complete during a test, unless they start late.
const SHORT_RUN_S: f64 = 20.0;

/// Starts a deployment with one machine in each of these zones. Each machine has space for all
/// tasks of a test.
async fn start_with_machines_in(variant: u32, zones: Vec<&'static str>) -> Rc<Simulation> {
    let options = DeploymentOptions {
        machines: zones.len(),
        initial_machine_zones: zones,
        // Idle machines are kept for this time.
        ready_s: 600.0,
        // The team's limit does not keep a failed task from being started elsewhere.
        teams: vec![("t".into(), 64.0, 64.0)],
        ..DeploymentOptions::default()
    };
    Simulation::with_options(u64::from(variant), options).await
}

/// Submits four jobs of this kind and run time with one task each, and waits until all of them
/// run.
async fn run_jobs(simulation: &Rc<Simulation>, kind: &str, run_s: f64) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 1..=4 {
        ids.push(simulation.submit(job(number, kind, 1, run_s)).await);
    }
    for id in &ids {
        simulation.wait_for_stage(id, "running", 60).await;
    }
    sleep(SETTLING).await;
    ids
}

/// Runs the variant's outage of the state service. The pages that these controllers read
/// afterwards arrive late.
async fn pass_outage(simulation: &Simulation, variant: u32, late_readers: &[usize]) {
    simulation.state.fault.set(StateFault::Outage);
    sleep(OUTAGE + OUTAGE_STEP * variant).await;
    let delays = late_readers.iter().map(|reader| (*reader, PAGE_DELAY));
    simulation.state.fault_options.borrow_mut().page_delays = delays.collect();
    simulation.state.fault.set(StateFault::None);
}

/// Cancels a job, and repeats the request until it is confirmed, as users do.
async fn cancel_with_retries(simulation: &Simulation, controller: usize, id: &str) {
    let start = Instant::now();
    while simulation.cancel(controller, id).await.as_deref() != Some("aborted") {
        assert!(start.elapsed() < RECOVERY, "{id} is not cancelled");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against `ran_twice`: an attempt that was released after an outage was started again
/// while the next attempt of the task ran on another machine.
#[test]
fn released_attempt_is_not_started_again_during_a_full_read() {
    for variant in 0..VARIANTS {
        run_in_simulated_time(|| async move {
            let simulation = start_with_machines_in(variant, vec!["a"]).await;
            let gang = simulation.submit(job(1, "gang", 2, LONG_RUN_S)).await;
            simulation.wait_for_stage(&gang, "running", 60).await;
            // The only machine of zone a goes to this job as soon as the gang has left it. The
            // gang's next attempt goes to a machine of another controller.
            simulation.failed_boot_zone.set(Some("a"));
            simulation.boot_machine(&json!({"grade": "big", "yard": "b"}));
            let mut next = job(2, "batch", 1, SHORT_RUN_S);
            next["yard"] = json!("a");
            next["vcpus"] = json!(8.0);
            let next = simulation.submit(next).await;
            sleep(SETTLING).await;
            let starts = simulation.task_start_count.get();
            for worker in simulation.busy_workers() {
                worker.end_running_tasks(ExitReason::PeerLost);
            }
            let late_reader = variant as usize % simulation.shape.controllers;
            pass_outage(&simulation, variant, &[late_reader]).await;
            sleep(RECOVERY).await;
            assert_eq!(simulation.running_task_count(&gang), 2, "variant {variant}");
            assert_eq!(simulation.running_task_count(&next), 1, "variant {variant}");
            let restarts = simulation.task_start_count.get() - starts;
            simulation.assert_no_violations();
            assert_eq!(restarts, 3, "variant {variant}");
        });
    }
}

/// Guards against restarts of completed tasks: a task that ended during an outage was started
/// again after its end had been recorded.
#[test]
fn completed_task_is_not_started_again_during_a_full_read() {
    for variant in 0..VARIANTS {
        run_in_simulated_time(|| async move {
            let simulation = start_with_machines_in(variant, vec!["a", "b"]).await;
            let ids = run_jobs(&simulation, "batch", SHORT_RUN_S).await;
            let starts = simulation.task_start_count.get();
            pass_outage(&simulation, variant, &[0, 1, 2]).await;
            sleep(RECOVERY).await;
            for id in &ids {
                simulation.wait_for_stage(id, "done", 5).await;
            }
            assert_eq!(
                simulation.task_start_count.get(),
                starts,
                "variant {variant}"
            );
            simulation.assert_no_violations();
        });
    }
}

/// Guards against starts after a cancellation: a controller started tasks of a job right after
/// it had confirmed the job's cancellation itself.
#[test]
fn cancelled_job_is_not_started_during_a_full_read() {
    for variant in 0..VARIANTS {
        run_in_simulated_time(|| async move {
            let simulation = start_with_machines_in(variant, vec!["a", "b"]).await;
            let ids = run_jobs(&simulation, "daemon", 0.0).await;
            pass_outage(&simulation, variant, &[0, 1, 2]).await;
            for (number, id) in ids.iter().enumerate() {
                let controller = number % simulation.shape.controllers;
                cancel_with_retries(&simulation, controller, id).await;
            }
            sleep(RECOVERY).await;
            let late_starts = simulation.starts_after_cancel.borrow().clone();
            assert!(late_starts.is_empty(), "variant {variant}: {late_starts:?}");
            for id in &ids {
                assert_eq!(
                    simulation.running_task_count(id),
                    0,
                    "variant {variant}: {id}"
                );
            }
            simulation.assert_no_violations();
        });
    }
}
