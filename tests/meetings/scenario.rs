//! Helpers of this test target: long-running jobs, cancellations and the checks at
//! the end of a test.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::stand_ins::{Simulation, job};

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Requests the cancellation of a job at one controller after another, except `excluded`, until
/// a request succeeds. Returns the job's stage in the response.
pub async fn cancel(
    simulation: &Rc<Simulation>,
    excluded: Option<usize>,
    id: &str,
) -> Option<String> {
    for attempt in 0..30 {
        let i = attempt % simulation.shape.controllers;
        if Some(i) == excluded {
            continue;
        }
        if let Some(stage) = simulation.cancel(i, id).await {
            return Some(stage);
        }
        sleep(secs(0.2)).await;
    }
    None
}

/// Ends the faults that [`Simulation::clear_faults`] covers, which excludes cut connections. Then
/// asserts that each job that was not cancelled runs or is done within 90 s, that every controller
/// answers queries for all jobs, and that no rule was broken.
pub async fn heal_and_check(simulation: &Rc<Simulation>, case: &str, ids: &[String]) {
    simulation.clear_faults();
    let start = Instant::now();
    loop {
        let mut unfinished = Vec::new();
        for id in ids.iter().filter(|id| !simulation.is_cancelled(id)) {
            if simulation.running_task_count(id) == 0
                && simulation.query_stage(0, id).await.as_deref() != Some("done")
            {
                unfinished.push(id);
            }
        }
        if unfinished.is_empty() {
            break;
        }
        assert!(
            start.elapsed() < secs(90.0),
            "{case}: neither running nor done: {unfinished:?}; broken rules: {:?}",
            simulation.reported_violations.borrow()
        );
        sleep(secs(1.0)).await;
    }
    for id in ids {
        for i in 0..simulation.shape.controllers {
            let mut stage = None;
            for _ in 0..10 {
                stage = simulation.query_stage(i, id).await;
                if stage.is_some() {
                    break;
                }
                sleep(secs(1.0)).await;
            }
            assert!(
                stage.is_some(),
                "{case}: n{i} does not answer queries for {id}"
            );
        }
    }
    let broken = simulation.reported_violations.borrow().clone();
    assert!(broken.is_empty(), "{case}: {broken:#?}");
    simulation.assert_no_violations();
}

/// Submits long-running jobs of all kinds and waits until they run.
pub async fn start_long_jobs(
    simulation: &Rc<Simulation>,
    first_number: u32,
    count: u32,
) -> Vec<String> {
    let mut ids = Vec::new();
    for number in first_number..first_number + count {
        let (kind, tasks) = [("daemon", 2), ("batch", 3), ("gang", 2)][number as usize % 3];
        let mut submission = job(number, kind, tasks, 400.0);
        submission["crew"] = json!(["t", "u"][number as usize % 2]);
        ids.push(simulation.submit(submission).await);
    }
    for id in &ids {
        simulation.wait_for_stage(id, "running", 100).await;
    }
    ids
}
