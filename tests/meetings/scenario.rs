//! What all of these tests do with a deployment: jobs, cancellations, and the end
//! of a test.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{World, job};

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Cancels until it is confirmed or the job is over, at any controller but
/// `not_at`.
pub async fn cancel(w: &Rc<World>, not_at: Option<usize>, id: &str) -> Option<String> {
    for k in 0..30 {
        let i = k % w.shape.controllers;
        if Some(i) == not_at {
            continue;
        }
        if let Some(stage) = w.withdraw(i, id).await {
            return Some(stage);
        }
        sleep(secs(0.2)).await;
    }
    None
}

/// Troubles are over: within 90 s each job that was not cancelled runs or is
/// done, every controller knows all jobs, and no rule was broken.
pub async fn settle(w: &Rc<World>, case: &str, ids: &[String]) {
    w.heal();
    let began = Instant::now();
    loop {
        let mut waits = Vec::new();
        for id in ids.iter().filter(|id| !w.is_cancelled(id)) {
            if w.running(id) == 0 && w.stage(0, id).await.as_deref() != Some("done") {
                waits.push(id);
            }
        }
        if waits.is_empty() {
            break;
        }
        assert!(
            began.elapsed() < secs(90.0),
            "{case}: waits: {waits:?} {:?}",
            w.broken.borrow()
        );
        sleep(secs(1.0)).await;
    }
    for id in ids {
        for i in 0..w.shape.controllers {
            let mut stage = None;
            for _ in 0..10 {
                stage = w.stage(i, id).await;
                if stage.is_some() {
                    break;
                }
                sleep(secs(1.0)).await;
            }
            assert!(stage.is_some(), "{case}: forgotten: {id} at n{i}");
        }
    }
    let broken = w.broken.borrow().clone();
    assert!(broken.is_empty(), "{case}: {broken:#?}");
    w.assert_kept();
}

/// Jobs of all kinds that run for long.
pub async fn long_jobs(w: &Rc<World>, from: u32, count: u32) -> Vec<String> {
    let mut ids = Vec::new();
    for n in from..from + count {
        let (cut, tasks) = [("daemon", 2), ("batch", 3), ("gang", 2)][n as usize % 3];
        let mut one = job(n, cut, tasks, 400.0);
        one["crew"] = json!(["t", "u"][n as usize % 2]);
        ids.push(w.submit(one).await);
    }
    for id in &ids {
        w.until(id, "running", 100).await;
    }
    ids
}

/// A job whose tasks end at these seconds.
pub fn ending_at(n: u32, cut: &str, ends_s: &[f64]) -> Value {
    let mut one = job(n, cut, ends_s.len() as u32, 10.0);
    one["ends_s"] = json!(ends_s);
    one
}
