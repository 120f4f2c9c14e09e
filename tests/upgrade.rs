//! Old and new versions serve side by side while controllers are replaced one
//! after another, troubles meet the upgrade, and the state service's limits fall
//! around the moment when records take their short form.

// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::state::keys::{FORMATS_KEY, accepted_batch_key, job_key};
use shelfhoist::state::records::{AcceptedBatch, FORMATS, Job, JobSpec};
use stand_ins::{Shape, StateLimits, Trouble, World, after, in_world, job};
use tokio::task::spawn_local;
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
        value_limit_bytes: LIMIT,
        write_rps: 27.0,
        ..w.state.limits.get()
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

fn spec_of(job: &Value) -> JobSpec {
    let read = shelfhoist::api::read_submission(job.to_string().as_bytes());
    JobSpec::from(&read.expect("a submission"))
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
        let together = AcceptedBatch {
            accepted_revision: 2,
            jobs: (11..14)
                .map(|n| (format!("job-{n:06}"), spec_of(&waiting[n - 10])))
                .collect(),
        };
        let together = serde_json::to_value(&together).expect("text");
        upgrade(&w, 2);
        w.state.write(&job_key("job-000010"), &one);
        w.state.write(&accepted_batch_key("n2-long"), &together);
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

// --- old and new side by side ------------------------------------------------------

/// It ends before its turn, and comes back with the older version.
fn restart_old(w: &World, i: usize) {
    w.kill(i);
    *w.next.borrow_mut() = Value::Null;
    w.start(i);
}

/// While `seconds` pass: nothing is stored that the older version cannot read.
async fn pass_with_old_controllers(w: &World, seconds: u64) {
    for _ in 0..seconds * 4 {
        assert_eq!(w.state.unreadable(), Vec::<String>::new());
        sleep(Duration::from_millis(250)).await;
    }
    let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
    assert!(formats["a"].as_u64().unwrap_or(0) == 0, "{formats}");
}

/// The controllers that the state says to know the newer formats.
fn known_new(w: &World) -> Vec<String> {
    let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
    let nodes = formats["n"].as_object().cloned().unwrap_or_default();
    nodes.into_iter().map(|(name, _)| name).collect()
}

async fn until_known_new(w: &World, names: &[&str]) {
    let began = Instant::now();
    while known_new(w) != names {
        assert!(began.elapsed() < secs(60), "{:?}", known_new(w));
        sleep(Duration::from_millis(50)).await;
    }
}

/// One of each kind.
async fn mixed_jobs(w: &World, from: u32, count: u32, run_s: f64) -> Vec<String> {
    let mut ids = Vec::new();
    for n in from..from + count {
        let (cut, tasks) = [("batch", 12), ("gang", 4), ("daemon", 4)][n as usize % 3];
        ids.push(w.submit(job(n, cut, tasks, run_s)).await);
    }
    for id in &ids {
        w.until(id, "running", 60).await;
    }
    ids
}

/// Asks all controllers at once, until one confirms; its user is told for good.
async fn cancel_everywhere(w: &Rc<World>, id: &str) -> Option<String> {
    for _ in 0..30 {
        let asked = (0..3).map(|i| {
            let (w, id) = (w.clone(), id.to_string());
            spawn_local(async move { w.withdraw(i, &id).await })
        });
        let asked: Vec<_> = asked.collect();
        let mut told = None;
        for one in asked {
            told = told.or(one.await.expect("an answer"));
        }
        if told.is_some() {
            return told;
        }
        sleep(Duration::from_millis(200)).await;
    }
    None
}

/// What was not cancelled runs or is done; what was has nothing left.
async fn all_end_well(w: &World, ids: &[String]) {
    sleep(Duration::from_secs_f64(w.shape.cancel_s)).await;
    for id in ids {
        if w.is_cancelled(id) {
            assert_eq!(w.running(id), 0, "{id}");
        } else if w.is_service(id) {
            w.until(id, "running", 120).await;
        } else {
            w.until(id, "done", 300).await;
        }
    }
}

/// The switch to the new formats is under way, both others are new, and the last
/// dies before its turn, twice: it comes back old, serves for longer than a lease,
/// and commits of its are carried out late, when it is new already.
#[test]
fn a_controller_that_dies_before_its_turn_serves_old_until_then() {
    for seed in [71, 72, 73] {
        in_world(|| async move {
            let w = older_deployment(seed).await;
            let mut ids = mixed_jobs(&w, 1, 9, 60.0).await;
            upgrade(&w, 0);
            until_known_new(&w, &["n0"]).await;
            upgrade(&w, 1);
            until_known_new(&w, &["n0", "n1"]).await;
            restart_old(&w, 2);
            pass_with_old_controllers(&w, 15).await;
            // Both kinds cancel and accept.
            assert_eq!(w.withdraw(2, &ids[0]).await.as_deref(), Some("aborted"));
            assert_eq!(w.withdraw(1, &ids[1]).await.as_deref(), Some("aborted"));
            ids.extend(mixed_jobs(&w, 20, 3, 30.0).await);
            restart_old(&w, 2);
            w.state.troubles.borrow_mut().late = 0.3;
            pass_with_old_controllers(&w, 12).await;
            assert_eq!(known_new(&w), ["n0", "n1"]);
            upgrade(&w, 2);
            sleep(secs(2)).await;
            w.state.troubles.borrow_mut().late = 0.0;
            all_upgraded(&w).await;
            // What is under way still, in the long text, is carried out by then.
            sleep(secs(13)).await;
            limits_fall(&w);
            assert!(cancel_everywhere(&w, &ids[2]).await.is_some());
            all_end_well(&w, &ids).await;
            assert_within_limits(&w);
        });
    }
}

/// One is new, and the state service is down for longer than a lease: another has
/// its turn in the outage, and the third dies in it and comes back old. What was
/// cancelled just before ends in time.
#[test]
fn half_upgraded_while_the_state_service_is_down() {
    for (seed, outage_s) in [(74, 14), (75, 25), (76, 40)] {
        in_world(|| async move {
            let w = older_deployment(seed).await;
            let mut ids = mixed_jobs(&w, 1, 9, 40.0).await;
            upgrade(&w, 0);
            until_known_new(&w, &["n0"]).await;
            sleep(secs(5)).await;
            assert_eq!(w.withdraw(0, &ids[0]).await.as_deref(), Some("aborted"));
            assert_eq!(w.withdraw(2, &ids[1]).await.as_deref(), Some("aborted"));
            w.state.trouble.set(Trouble::Down);
            sleep(secs(4)).await;
            upgrade(&w, 1);
            sleep(secs(4)).await;
            restart_old(&w, 2);
            for i in 0..3 {
                let path = format!("/submissions/{}/withdraw", ids[2]);
                let (status, _) = w.ask(i, "POST", &path, None).await;
                assert!([0, 503].contains(&status), "n{i}: {status}");
            }
            sleep(secs(outage_s - 8)).await;
            assert_eq!(known_new(&w), ["n0"]);
            w.state.trouble.set(Trouble::None);
            until_known_new(&w, &["n0", "n1"]).await;
            pass_with_old_controllers(&w, 12).await;
            ids.extend(mixed_jobs(&w, 20, 3, 20.0).await);
            assert!(cancel_everywhere(&w, &ids[2]).await.is_some());
            upgrade(&w, 2);
            all_upgraded(&w).await;
            limits_fall(&w);
            all_end_well(&w, &ids).await;
            assert_within_limits(&w);
        });
    }
}

/// How many machines each controller holds.
fn held_by(w: &World, i: usize) -> usize {
    let name = format!("n{i}");
    w.holders().iter().filter(|(_, h)| *h == name).count()
}

/// n1 is new, the others are old. Machines go from old to new and from new to old,
/// in each way that there is, while jobs on them are cancelled at all controllers
/// at once, some commits are late and some answers are lost.
#[test]
fn old_and_new_hand_machines_over_with_cancels_in_flight() {
    for (seed, late, unanswered) in [(77, 0.0, 0.0), (78, 0.1, 0.0), (79, 0.0, 0.2)] {
        in_world(|| async move {
            let w = older_deployment(seed).await;
            let ids = mixed_jobs(&w, 1, 24, 90.0).await;
            upgrade(&w, 1);
            until_known_new(&w, &["n1"]).await;
            w.state.troubles.borrow_mut().late = late;
            w.state.troubles.borrow_mut().unanswered = unanswered;
            let mut victims = ids.iter().filter(|id| !id.ends_with('5'));
            for round in 0..6 {
                let i = [0, 1, 2, 1, 0, 1][round];
                let before = held_by(&w, i);
                match round {
                    0 | 1 => w.cut_workers(i, true),
                    2 | 3 => w.kill(i),
                    4 => {
                        w.state.troubles.borrow_mut().refused.insert(i);
                    }
                    _ => w.freeze(i, true),
                }
                for _ in 0..2 {
                    let id = victims.next().expect("a job");
                    cancel_everywhere(&w, id).await;
                    sleep(Duration::from_millis(700)).await;
                }
                sleep(secs(16)).await;
                let after = held_by(&w, i);
                // Who is refused by the state service alone keeps its machines.
                let lost = if round == 4 { 0 } else { 1 };
                assert!(before > 0, "{round}: nothing to hand over");
                assert!(after + lost <= before, "{round}: {before} to {after}");
                match round {
                    0 | 1 => w.cut_workers(i, false),
                    2 => restart_old(&w, i),
                    3 => upgrade(&w, i),
                    4 => {
                        w.state.troubles.borrow_mut().refused.clear();
                    }
                    _ => w.freeze(i, false),
                }
                let id = victims.next().expect("a job");
                cancel_everywhere(&w, id).await;
                pass_with_old_controllers(&w, 15).await;
            }
            w.heal();
            upgrade(&w, 0);
            sleep(secs(3)).await;
            upgrade(&w, 2);
            all_upgraded(&w).await;
            limits_fall(&w);
            all_end_well(&w, &ids).await;
            assert_within_limits(&w);
        });
    }
}

// --- a large pipeline --------------------------------------------------------------

fn too_long(w: &World) -> Vec<(String, usize)> {
    let mut all = w.state.sizes("sh/");
    all.retain(|(key, length)| *length > LIMIT && !key.starts_with("sh/new/"));
    all
}

/// Six chains of five jobs; the last of each awaits all before it and has the
/// chain's deadline.
async fn chains(w: &World) -> Vec<Vec<String>> {
    let mut chains = Vec::new();
    for chain in 0..6 {
        let mut ids: Vec<String> = Vec::new();
        for (step, (cut, tasks, run_s)) in [
            ("batch", 6, 15.0),
            ("batch", 24, 12.0),
            ("gang", 3, 10.0),
            ("batch", 12, 6.0),
            ("batch", 3, 4.0),
        ]
        .into_iter()
        .enumerate()
        {
            let mut one = job(100 + chain * 10 + step as u32, cut, tasks, run_s);
            one["same_place"] = json!(cut == "gang");
            let last = ids.last().map(String::as_str);
            let before: Vec<&str> = match step {
                4 => ids.iter().map(String::as_str).collect(),
                _ => last.into_iter().collect(),
            };
            if step == 4 {
                one["urgency"] = json!("urgent");
                one["due_s"] = json!(300.0);
            }
            ids.push(w.submit(after(one, &before)).await);
        }
        chains.push(ids);
    }
    chains
}

/// When the limits fall with regard to the shortening of records, which begins with
/// the restart of the last controller under settings that name the coming limits.
#[derive(Clone, Copy, PartialEq)]
enum Fall {
    Before,
    During,
    After,
}

/// A pipeline of thirty jobs is open while the controllers are restarted, the
/// records take their short form and the limits fall. A chain is cancelled in its
/// middle before the fall, and one after it; the others run in order to their end.
fn limits_fall_with_a_pipeline_open(seed: u64, fall: Fall) {
    in_world(|| async move {
        let shape = Shape {
            machines: 160,
            ..deployment()
        };
        let w = World::of(seed, shape).await;
        all_upgraded(&w).await;
        sleep(secs(15)).await;
        let wide = w.submit(job(1, "batch", 600, 20.0)).await;
        let service = w.submit(job(2, "daemon", 16, 0.0)).await;
        let chains = chains(&w).await;
        w.until(&wide, "running", 30).await;
        assert!(too_long(&w).len() > 3, "{:?}", too_long(&w));
        // One after another, what a controller takes over is shortened with that;
        // all at once, it is left to the background.
        let pause = if fall == Fall::During { 0 } else { 2 };
        for i in 0..3 {
            upgrade(&w, i);
            sleep(secs(if i < 2 { pause } else { 0 })).await;
        }
        let open = chains.iter().flatten().filter(|id| {
            let record = w.state.value(&job_key(id)).unwrap_or_default();
            record.is_null() || record["f"] == "o"
        });
        assert!(open.count() > 20, "the pipeline is over too soon");
        match fall {
            Fall::Before => {}
            Fall::During => {
                let all = too_long(&w).len();
                while too_long(&w).len() * 3 > all * 2 {
                    sleep(Duration::from_millis(10)).await;
                }
            }
            Fall::After => {
                sleep(secs(4)).await;
                while !too_long(&w).is_empty() {
                    sleep(Duration::from_millis(250)).await;
                }
            }
        }
        assert_eq!(too_long(&w).is_empty(), fall == Fall::After);
        let cancel = async |chain: usize, step: usize| {
            let told = cancel_everywhere(&w, &chains[chain][step]).await;
            assert!(told.is_some(), "{chain} {step}");
            told.as_deref() == Some("aborted")
        };
        let mut aborted = Vec::new();
        if fall == Fall::After {
            aborted.extend(cancel(0, 2).await.then_some((0, 2)));
        }
        limits_fall(&w);
        aborted.extend(cancel(1, 1).await.then_some((1, 1)));
        aborted.extend(cancel(2, 3).await.then_some((2, 3)));
        assert!(aborted.len() >= 2, "{aborted:?}");
        sleep(Duration::from_secs_f64(w.shape.cancel_s)).await;
        for (chain, ids) in chains.iter().enumerate() {
            let from = aborted.iter().find(|(c, _)| *c == chain).map(|(_, s)| *s);
            for (step, id) in ids.iter().enumerate() {
                if from.is_none_or(|from| step < from) {
                    w.until(id, "done", 400).await;
                    continue;
                }
                for i in 0..3 {
                    assert_eq!(w.stage(i, id).await.as_deref(), Some("aborted"), "{id}");
                }
                assert_eq!(w.running(id), 0, "{id}");
            }
        }
        w.until(&wide, "done", 400).await;
        w.until(&service, "running", 60).await;
        assert_eq!(too_long(&w), Vec::<(String, usize)>::new());
        assert_within_limits(&w);
    });
}

#[test]
fn limits_fall_before_shortening_with_a_pipeline_open() {
    limits_fall_with_a_pipeline_open(81, Fall::Before);
}

#[test]
fn limits_fall_during_shortening_with_a_pipeline_open() {
    limits_fall_with_a_pipeline_open(82, Fall::During);
}

#[test]
fn limits_fall_after_shortening_with_a_pipeline_open() {
    limits_fall_with_a_pipeline_open(83, Fall::After);
}
