//! Old and new versions serve side by side while controllers are replaced one
//! after another, troubles meet the upgrade, and the state service's limits fall
//! around the moment when records take their short form.

// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::model::{Arrivals, FORMATS, Job, Spec};
use shelfhoist::view::{FORMATS_KEY, arrivals_key, job_key};
use stand_ins::{Shape, StateLimits, World, in_world, job};
use tokio::time::{Instant, sleep};

const LIMIT: usize = 2048;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn deployment() -> Shape {
    Shape {
        teams: vec![("t".into(), 4000.0, 6000.0)],
        state: json!({"rps": 200.0, "write_rps": 90.0, "value_kb": 8.0, "txn_ops": 12}),
        machines: 60,
        ready_s: 3600.0,
        ..Shape::default()
    }
}

/// All controllers run the older version, and have their machines.
async fn older_deployment(seed: u64) -> Rc<World> {
    let w = World::of(seed, deployment()).await;
    w.state.older.borrow_mut().extend(0..3);
    sleep(secs(15)).await;
    w
}

/// A controller's turn: it comes back with the new version.
fn upgrade(w: &World, i: usize) {
    w.kill(i);
    w.state.older.borrow_mut().remove(&i);
    *w.next.borrow_mut() = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 27.0});
    w.start(i);
}

fn limits_fall(w: &World) {
    w.state.limits.set(StateLimits {
        txn_ops: 4,
        value_bytes: LIMIT,
        write_rps: 27.0,
    });
}

async fn all_upgraded(w: &World) {
    let began = Instant::now();
    while w.state.value(FORMATS_KEY).unwrap_or_default()["a"] != json!(FORMATS) {
        assert!(began.elapsed() < secs(60), "formats are not recorded");
        sleep(Duration::from_millis(50)).await;
    }
}

fn assert_within_limits(w: &World) {
    let beyond = w.state.beyond.borrow().clone();
    assert_eq!(beyond, Vec::<String>::new());
    w.assert_kept();
}

// --- records that cannot be rewritten as they are --------------------------------

fn spec_of(job: &Value) -> Spec {
    let read = shelfhoist::api::read_submission(job.to_string().as_bytes());
    Spec::from(&read.expect("a submission"))
}

/// A job that the older version accepts, with a specification of almost 2 KiB.
fn long_job(n: u32, cut: &str, tasks: u32, run_s: f64) -> Value {
    let mut long = job(n, cut, tasks, run_s);
    long["lot"] = json!("l".repeat(190));
    long["blueprint"] = json!("b".repeat(190));
    let mut types = vec!["big".to_string()];
    while serde_json::to_string(&spec_of(&long)).expect("text").len() < 1990 {
        types.push(format!("retired-machine-type-{}", types.len()));
        long["grades"] = json!(types);
    }
    long
}

fn record_length(w: &World, id: &str) -> usize {
    w.state
        .value(&job_key(id))
        .unwrap_or_default()
        .to_string()
        .len()
}

/// Jobs whose records are near the coming limit by their specification alone
/// run, are cancelled and have their ends recorded after the limits fell; `wait`
/// passes between the end of the upgrade and the fall.
fn long_records_after_the_fall(seed: u64, wait: Duration) {
    in_world(|| async move {
        let w = older_deployment(seed).await;
        let array = w.submit(long_job(1, "batch", 40, 400.0)).await;
        let service = w.submit(long_job(2, "daemon", 8, 0.0)).await;
        let gang = w.submit(long_job(3, "gang", 6, 300.0)).await;
        let kept = w.submit(long_job(4, "batch", 40, 60.0)).await;
        let kept_gang = w.submit(long_job(5, "gang", 6, 60.0)).await;
        for id in [&array, &service, &gang, &kept, &kept_gang] {
            w.until(id, "running", 60).await;
        }
        // Accepted, and not yet begun: one with a record of its own, some together.
        let waiting: Vec<Value> = (10..14).map(|n| long_job(n, "batch", 3, 5.0)).collect();
        waiting.iter().for_each(|one| w.remember(one));
        upgrade(&w, 0);
        sleep(secs(4)).await;
        upgrade(&w, 1);
        sleep(secs(4)).await;
        w.kill(2);
        let one = Job::new(spec_of(&waiting[0]), 1);
        let one = serde_json::to_value(&one).expect("text");
        let together = Arrivals {
            born: 2,
            jobs: (11..14)
                .map(|n| (format!("job-{n:06}"), spec_of(&waiting[n - 10])))
                .collect(),
        };
        let together = serde_json::to_value(&together).expect("text");
        upgrade(&w, 2);
        w.state.write(&job_key("job-000010"), &one);
        w.state.write(&arrivals_key("n2-long"), &together);
        for one in &waiting {
            w.submit(one.clone()).await;
        }
        let long = [&array, &service, &gang, &kept, &kept_gang];
        for id in long {
            assert!(
                record_length(&w, id) > LIMIT,
                "{id}: {}",
                record_length(&w, id)
            );
        }
        all_upgraded(&w).await;
        sleep(wait).await;
        limits_fall(&w);
        for (i, id) in [&array, &service, &gang].into_iter().enumerate() {
            assert!(w.running(id) > 0, "{id}");
            let stage = w.withdraw((i + 1) % 3, id).await;
            assert_eq!(stage.as_deref(), Some("aborted"), "{id}");
        }
        sleep(Duration::from_secs_f64(w.shape.cancel_s)).await;
        for id in [&array, &service, &gang] {
            assert_eq!(w.running(id), 0, "{id}");
            let record = w.state.value(&job_key(id)).expect("a record");
            assert!(record["r"].is_null() && record["s"].is_null(), "{record}");
            assert_eq!(record["f"], "c", "{record}");
        }
        for id in [&kept, &kept_gang] {
            w.until(id, "done", 300).await;
        }
        for n in 10..14 {
            w.until(&format!("job-{n:06}"), "done", 200).await;
        }
        assert_within_limits(&w);
    });
}

#[test]
fn long_records_are_cancelled_when_the_limits_fall_at_once() {
    long_records_after_the_fall(61, Duration::ZERO);
}

#[test]
fn long_records_are_cancelled_when_the_limits_fall_later() {
    long_records_after_the_fall(62, secs(30));
}
