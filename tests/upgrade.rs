//! Tests of upgrades: older and newer versions serve side by side while controllers are
//! replaced one after another, faults occur during the upgrade, and the limits of the state
//! service are lowered before, during or after the compaction of records.
//!
//! The upcoming limits are the lower limits that the newer version's settings announce
//! (`state.next`), so that records can be compacted before those limits come into force. The
//! compact formats are written only after the record at `FORMATS_KEY` shows that all
//! controllers read them.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::state::keys::{FORMATS_KEY, accepted_batch_key, job_key};
use shelfhoist::state::records::{AcceptedBatch, FORMATS, Job, JobSpec};
use stand_ins::{
    DeploymentOptions, Simulation, StateFault, StateLimits, job, run_in_simulated_time,
    with_dependencies,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Maximum size of a record once the limits are lowered, in bytes.
const LIMIT_BYTES: usize = 2048;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a deployment with 60 machines and the limits that apply before they are lowered.
fn deployment() -> DeploymentOptions {
    DeploymentOptions {
        teams: vec![("t".into(), 4000.0, 6000.0)],
        state: json!({"rps": 200.0, "write_rps": 90.0, "value_kb": 8.0, "txn_ops": 12}),
        machines: 60,
        ready_s: 3600.0,
        ..DeploymentOptions::default()
    }
}

/// Starts a deployment in which all controllers run the older version, and waits until they
/// own their machines.
async fn older_deployment(seed: u64) -> Rc<Simulation> {
    let simulation = Simulation::with_options(seed, deployment()).await;
    simulation
        .state
        .previous_version_controllers
        .borrow_mut()
        .extend(0..3);
    sleep(secs(15)).await;
    simulation
}

/// Restarts a controller with the newer version. Its settings announce the upcoming limits.
fn upgrade(simulation: &Simulation, i: usize) {
    simulation.kill_controller(i);
    simulation
        .state
        .previous_version_controllers
        .borrow_mut()
        .remove(&i);
    *simulation.next.borrow_mut() = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 27.0});
    simulation.start(i);
}

/// Lowers the limits that the state service enforces to the upcoming ones.
fn lower_limits(simulation: &Simulation) {
    simulation.state.limits.set(StateLimits {
        txn_ops: 4,
        value_limit_bytes: LIMIT_BYTES,
        write_rps: 27.0,
        ..simulation.state.limits.get()
    });
}

/// Waits until the formats record shows that all controllers read the new formats.
async fn wait_until_formats_recorded(simulation: &Simulation) {
    let start = Instant::now();
    while simulation.state.value(FORMATS_KEY).unwrap_or_default()["a"] != json!(FORMATS) {
        assert!(
            start.elapsed() < secs(60),
            "the new formats are not recorded"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that the state service refused no commit for its size and that no rule was broken.
fn assert_within_limits(simulation: &Simulation) {
    let beyond = simulation.state.rejected_commits.borrow().clone();
    assert_eq!(beyond, Vec::<String>::new());
    simulation.assert_no_violations();
}

// --- records that exceed the limit even in the compact encoding ------------------

/// Returns the specification of a job that is submitted with this request body.
fn spec_of(job: &Value) -> JobSpec {
    let read = shelfhoist::api::read_submission(job.to_string().as_bytes());
    JobSpec::from(&read.expect("a submission"))
}

/// Returns a job that the older version accepts and whose specification takes almost 2 KiB.
fn long_job(n: u32, kind: &str, tasks: u32, run_s: f64) -> Value {
    let mut long = job(n, kind, tasks, run_s);
    long["lot"] = json!("l".repeat(190));
    long["blueprint"] = json!("b".repeat(190));
    let mut types = vec!["big".to_string()];
    while serde_json::to_string(&spec_of(&long)).expect("text").len() < 1990 {
        types.push(format!("retired-machine-type-{}", types.len()));
        long["grades"] = json!(types);
    }
    long
}

/// Returns the length of the stored record of a job, in bytes.
fn record_length(simulation: &Simulation, id: &str) -> usize {
    simulation
        .state
        .value(&job_key(id))
        .unwrap_or_default()
        .to_string()
        .len()
}

/// Runs jobs whose specifications alone take almost the upcoming maximum size of a record, so that
/// their records exceed it while tasks run. After the limits are lowered, cancels some of the
/// jobs and checks that the ends of their tasks are recorded; the other jobs must complete.
/// `wait` is the time between the end of the upgrade and the lowering of the limits.
fn cancel_long_records_after_lowering_limits(seed: u64, wait: Duration) {
    run_in_simulated_time(|| async move {
        let simulation = older_deployment(seed).await;
        let array = simulation.submit(long_job(1, "batch", 40, 400.0)).await;
        let service = simulation.submit(long_job(2, "daemon", 8, 0.0)).await;
        let gang = simulation.submit(long_job(3, "gang", 6, 300.0)).await;
        let kept = simulation.submit(long_job(4, "batch", 40, 60.0)).await;
        let kept_gang = simulation.submit(long_job(5, "gang", 6, 60.0)).await;
        for id in [&array, &service, &gang, &kept, &kept_gang] {
            simulation.wait_for_stage(id, "running", 60).await;
        }
        // These jobs are accepted and not started. One has its own record; three are in the
        // record of an accepted batch.
        let waiting: Vec<Value> = (10..14).map(|n| long_job(n, "batch", 3, 5.0)).collect();
        waiting
            .iter()
            .for_each(|submission| simulation.register_job(submission));
        upgrade(&simulation, 0);
        sleep(secs(4)).await;
        upgrade(&simulation, 1);
        sleep(secs(4)).await;
        simulation.kill_controller(2);
        let job_record = Job::new(spec_of(&waiting[0]), 1);
        let job_record = serde_json::to_value(&job_record).expect("text");
        let batch = AcceptedBatch {
            accepted_revision: 2,
            jobs: (11..14)
                .map(|n| (format!("job-{n:06}"), spec_of(&waiting[n - 10])))
                .collect(),
        };
        let batch = serde_json::to_value(&batch).expect("text");
        upgrade(&simulation, 2);
        simulation.state.write(&job_key("job-000010"), &job_record);
        simulation
            .state
            .write(&accepted_batch_key("n2-long"), &batch);
        for submission in &waiting {
            simulation.submit(submission.clone()).await;
        }
        let long = [&array, &service, &gang, &kept, &kept_gang];
        for id in long {
            assert!(
                record_length(&simulation, id) > LIMIT_BYTES,
                "{id}: {}",
                record_length(&simulation, id)
            );
        }
        wait_until_formats_recorded(&simulation).await;
        sleep(wait).await;
        lower_limits(&simulation);
        for (i, id) in [&array, &service, &gang].into_iter().enumerate() {
            assert!(simulation.running_task_count(id) > 0, "{id}");
            let stage = simulation.cancel((i + 1) % 3, id).await;
            assert_eq!(stage.as_deref(), Some("aborted"), "{id}");
        }
        sleep(Duration::from_secs_f64(simulation.shape.cancel_s)).await;
        for id in [&array, &service, &gang] {
            assert_eq!(simulation.running_task_count(id), 0, "{id}");
            let record = simulation.state.value(&job_key(id)).expect("a record");
            assert!(record["r"].is_null() && record["s"].is_null(), "{record}");
            assert_eq!(record["f"], "c", "{record}");
        }
        for id in [&kept, &kept_gang] {
            simulation.wait_for_stage(id, "done", 300).await;
        }
        for n in 10..14 {
            simulation
                .wait_for_stage(&format!("job-{n:06}"), "done", 200)
                .await;
        }
        assert_within_limits(&simulation);
    });
}

#[test]
fn jobs_with_long_records_are_cancelled_when_limits_are_lowered_immediately() {
    cancel_long_records_after_lowering_limits(61, Duration::ZERO);
}

#[test]
fn jobs_with_long_records_are_cancelled_when_limits_are_lowered_later() {
    cancel_long_records_after_lowering_limits(62, secs(30));
}

// --- older and newer versions side by side -----------------------------------------

/// Restarts a controller with the older version, before it is upgraded.
fn restart_with_older_version(simulation: &Simulation, i: usize) {
    simulation.kill_controller(i);
    *simulation.next.borrow_mut() = Value::Null;
    simulation.start(i);
}

/// Asserts for `seconds` that the older version can read every stored record. Then asserts that
/// the formats record does not yet show that all controllers read the new formats.
async fn check_older_version_can_read(simulation: &Simulation, seconds: u64) {
    for _ in 0..seconds * 4 {
        assert_eq!(
            simulation.state.keys_unreadable_by_production(),
            Vec::<String>::new()
        );
        sleep(Duration::from_millis(250)).await;
    }
    let formats = simulation.state.value(FORMATS_KEY).unwrap_or_default();
    assert!(formats["a"].as_u64().unwrap_or(0) == 0, "{formats}");
}

/// Returns the controllers that read the new formats according to the formats record.
fn controllers_with_new_formats(simulation: &Simulation) -> Vec<String> {
    let formats = simulation.state.value(FORMATS_KEY).unwrap_or_default();
    let nodes = formats["n"].as_object().cloned().unwrap_or_default();
    nodes.into_iter().map(|(name, _)| name).collect()
}

/// Waits until the formats record lists exactly these controllers as reading the new formats.
async fn wait_until_new_formats_known_to(simulation: &Simulation, names: &[&str]) {
    let start = Instant::now();
    while controllers_with_new_formats(simulation) != names {
        assert!(
            start.elapsed() < secs(60),
            "{:?}",
            controllers_with_new_formats(simulation)
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Submits `count` arrays, gangs and services in turn, and waits until they run.
async fn submit_mixed_jobs(
    simulation: &Simulation,
    from: u32,
    count: u32,
    run_s: f64,
) -> Vec<String> {
    let mut ids = Vec::new();
    for n in from..from + count {
        let (kind, tasks) = [("batch", 12), ("gang", 4), ("daemon", 4)][n as usize % 3];
        ids.push(simulation.submit(job(n, kind, tasks, run_s)).await);
    }
    for id in &ids {
        simulation.wait_for_stage(id, "running", 60).await;
    }
    ids
}

/// Requests the cancellation of the job at all controllers concurrently, and repeats this until
/// one of them confirms it. A confirmed cancellation is final.
async fn cancel_everywhere(simulation: &Rc<Simulation>, id: &str) -> Option<String> {
    for _ in 0..30 {
        let requests = (0..3).map(|i| {
            let (simulation, id) = (simulation.clone(), id.to_string());
            spawn_local(async move { simulation.cancel(i, &id).await })
        });
        let requests: Vec<_> = requests.collect();
        let mut confirmed = None;
        for request in requests {
            confirmed = confirmed.or(request.await.expect("an answer"));
        }
        if confirmed.is_some() {
            return confirmed;
        }
        sleep(Duration::from_millis(200)).await;
    }
    None
}

/// Waits until every service that was not cancelled runs and every other such job is done,
/// and asserts that no task of a cancelled job runs.
async fn wait_until_jobs_end(simulation: &Simulation, ids: &[String]) {
    sleep(Duration::from_secs_f64(simulation.shape.cancel_s)).await;
    for id in ids {
        if simulation.is_cancelled(id) {
            assert_eq!(simulation.running_task_count(id), 0, "{id}");
        } else if simulation.is_service(id) {
            simulation.wait_for_stage(id, "running", 120).await;
        } else {
            simulation.wait_for_stage(id, "done", 300).await;
        }
    }
}

/// Two controllers are upgraded, and the third fails twice before its upgrade. It restarts
/// with the older version and serves for longer than a lease. Some of its commits are
/// applied late, when it already runs the newer version.
#[test]
fn controller_that_fails_before_its_upgrade_serves_with_the_older_version() {
    for seed in [71, 72, 73] {
        run_in_simulated_time(|| async move {
            let simulation = older_deployment(seed).await;
            let mut ids = submit_mixed_jobs(&simulation, 1, 9, 60.0).await;
            upgrade(&simulation, 0);
            wait_until_new_formats_known_to(&simulation, &["n0"]).await;
            upgrade(&simulation, 1);
            wait_until_new_formats_known_to(&simulation, &["n0", "n1"]).await;
            restart_with_older_version(&simulation, 2);
            check_older_version_can_read(&simulation, 15).await;
            // Controllers of both versions cancel and accept jobs.
            assert_eq!(
                simulation.cancel(2, &ids[0]).await.as_deref(),
                Some("aborted")
            );
            assert_eq!(
                simulation.cancel(1, &ids[1]).await.as_deref(),
                Some("aborted")
            );
            ids.extend(submit_mixed_jobs(&simulation, 20, 3, 30.0).await);
            restart_with_older_version(&simulation, 2);
            simulation
                .state
                .fault_options
                .borrow_mut()
                .late_commit_fraction = 0.3;
            check_older_version_can_read(&simulation, 12).await;
            assert_eq!(controllers_with_new_formats(&simulation), ["n0", "n1"]);
            upgrade(&simulation, 2);
            sleep(secs(2)).await;
            simulation
                .state
                .fault_options
                .borrow_mut()
                .late_commit_fraction = 0.0;
            wait_until_formats_recorded(&simulation).await;
            // Commits in the plain encoding that are still in flight are applied by then.
            sleep(secs(13)).await;
            lower_limits(&simulation);
            assert!(cancel_everywhere(&simulation, &ids[2]).await.is_some());
            wait_until_jobs_end(&simulation, &ids).await;
            assert_within_limits(&simulation);
        });
    }
}

/// One controller is upgraded, and then the state service is down for longer than a lease.
/// During the outage, a second controller is upgraded, and the third fails and restarts with
/// the older version. Jobs that were cancelled just before the outage end in time.
#[test]
fn partly_upgraded_deployment_survives_a_state_service_outage() {
    for (seed, outage_s) in [(74, 14), (75, 25), (76, 40)] {
        run_in_simulated_time(|| async move {
            let simulation = older_deployment(seed).await;
            let mut ids = submit_mixed_jobs(&simulation, 1, 9, 40.0).await;
            upgrade(&simulation, 0);
            wait_until_new_formats_known_to(&simulation, &["n0"]).await;
            sleep(secs(5)).await;
            assert_eq!(
                simulation.cancel(0, &ids[0]).await.as_deref(),
                Some("aborted")
            );
            assert_eq!(
                simulation.cancel(2, &ids[1]).await.as_deref(),
                Some("aborted")
            );
            simulation.state.fault.set(StateFault::Outage);
            sleep(secs(4)).await;
            upgrade(&simulation, 1);
            sleep(secs(4)).await;
            restart_with_older_version(&simulation, 2);
            for i in 0..3 {
                let path = format!("/submissions/{}/withdraw", ids[2]);
                let (status, _) = simulation.send_request(i, "POST", &path, None).await;
                assert!([0, 503].contains(&status), "n{i}: {status}");
            }
            sleep(secs(outage_s - 8)).await;
            assert_eq!(controllers_with_new_formats(&simulation), ["n0"]);
            simulation.state.fault.set(StateFault::None);
            wait_until_new_formats_known_to(&simulation, &["n0", "n1"]).await;
            check_older_version_can_read(&simulation, 12).await;
            ids.extend(submit_mixed_jobs(&simulation, 20, 3, 20.0).await);
            assert!(cancel_everywhere(&simulation, &ids[2]).await.is_some());
            upgrade(&simulation, 2);
            wait_until_formats_recorded(&simulation).await;
            lower_limits(&simulation);
            wait_until_jobs_end(&simulation, &ids).await;
            assert_within_limits(&simulation);
        });
    }
}

/// Returns the number of machines that a controller owns.
fn owned_machine_count(simulation: &Simulation, i: usize) -> usize {
    let name = format!("n{i}");
    simulation
        .machine_owners()
        .iter()
        .filter(|(_, owner)| *owner == name)
        .count()
}

/// Controller n1 runs the newer version and the others run the older one. Machines change
/// owners between the versions in both directions, after each kind of controller fault,
/// while their jobs are cancelled at all controllers at the same time, some commits are
/// applied late and some responses are lost.
#[test]
fn versions_hand_over_machines_while_jobs_are_cancelled() {
    for (seed, late, unanswered) in [(77, 0.0, 0.0), (78, 0.1, 0.0), (79, 0.0, 0.2)] {
        run_in_simulated_time(|| async move {
            let simulation = older_deployment(seed).await;
            let ids = submit_mixed_jobs(&simulation, 1, 24, 90.0).await;
            upgrade(&simulation, 1);
            wait_until_new_formats_known_to(&simulation, &["n1"]).await;
            simulation
                .state
                .fault_options
                .borrow_mut()
                .late_commit_fraction = late;
            simulation
                .state
                .fault_options
                .borrow_mut()
                .unanswered_commit_fraction = unanswered;
            let mut jobs_to_cancel = ids.iter().filter(|id| !id.ends_with('5'));
            for round in 0..6 {
                let i = [0, 1, 2, 1, 0, 1][round];
                let before = owned_machine_count(&simulation, i);
                match round {
                    0 | 1 => simulation.set_worker_partition(i, true),
                    2 | 3 => simulation.kill_controller(i),
                    4 => {
                        simulation
                            .state
                            .fault_options
                            .borrow_mut()
                            .refused_controllers
                            .insert(i);
                    }
                    _ => simulation.set_paused(i, true),
                }
                for _ in 0..2 {
                    let id = jobs_to_cancel.next().expect("a job");
                    cancel_everywhere(&simulation, id).await;
                    sleep(Duration::from_millis(700)).await;
                }
                sleep(secs(16)).await;
                let after = owned_machine_count(&simulation, i);
                // In round 4 only the state service refuses the controller. It still reaches its
                // workers and peers, so it keeps its machines.
                let lost = if round == 4 { 0 } else { 1 };
                assert!(before > 0, "{round}: nothing to hand over");
                assert!(after + lost <= before, "{round}: {before} to {after}");
                match round {
                    0 | 1 => simulation.set_worker_partition(i, false),
                    2 => restart_with_older_version(&simulation, i),
                    3 => upgrade(&simulation, i),
                    4 => {
                        simulation
                            .state
                            .fault_options
                            .borrow_mut()
                            .refused_controllers
                            .clear();
                    }
                    _ => simulation.set_paused(i, false),
                }
                let id = jobs_to_cancel.next().expect("a job");
                cancel_everywhere(&simulation, id).await;
                check_older_version_can_read(&simulation, 15).await;
            }
            simulation.clear_faults();
            upgrade(&simulation, 0);
            sleep(secs(3)).await;
            upgrade(&simulation, 2);
            wait_until_formats_recorded(&simulation).await;
            lower_limits(&simulation);
            wait_until_jobs_end(&simulation, &ids).await;
            assert_within_limits(&simulation);
        });
    }
}

// --- a large pipeline --------------------------------------------------------------

/// Returns the records that exceed the lower limit, with their lengths in bytes. Records of
/// accepted batches (`sh/new/`) are left out, because they are never rewritten.
fn oversized_records(simulation: &Simulation) -> Vec<(String, usize)> {
    let mut records = simulation.state.value_sizes("sh/");
    records.retain(|(key, length)| *length > LIMIT_BYTES && !key.starts_with("sh/new/"));
    records
}

/// Submits six chains of five jobs. The last job of a chain depends on all jobs before it and
/// has the deadline of the chain.
async fn submit_chains(simulation: &Simulation) -> Vec<Vec<String>> {
    let mut chains = Vec::new();
    for chain in 0..6 {
        let mut ids: Vec<String> = Vec::new();
        for (step, (kind, tasks, run_s)) in [
            ("batch", 6, 15.0),
            ("batch", 24, 12.0),
            ("gang", 3, 10.0),
            ("batch", 12, 6.0),
            ("batch", 3, 4.0),
        ]
        .into_iter()
        .enumerate()
        {
            let mut submission = job(100 + chain * 10 + step as u32, kind, tasks, run_s);
            submission["same_place"] = json!(kind == "gang");
            let previous = ids.last().map(String::as_str);
            let dependencies: Vec<&str> = match step {
                4 => ids.iter().map(String::as_str).collect(),
                _ => previous.into_iter().collect(),
            };
            if step == 4 {
                submission["urgency"] = json!("urgent");
                submission["due_s"] = json!(300.0);
            }
            ids.push(
                simulation
                    .submit(with_dependencies(submission, &dependencies))
                    .await,
            );
        }
        chains.push(ids);
    }
    chains
}

/// The time at which the limits are lowered, relative to the compaction of records. The
/// compaction begins once all controllers have restarted with settings that announce the
/// upcoming limits.
#[derive(Clone, Copy, PartialEq)]
enum LoweredAt {
    Before,
    During,
    After,
}

/// Keeps a pipeline of thirty jobs unfinished while the controllers are restarted, the records
/// are compacted and the limits are lowered. Chains are cancelled in the middle before and
/// after the limits are lowered; the other chains complete in order.
fn lower_limits_with_an_unfinished_pipeline(seed: u64, lowered_at: LoweredAt) {
    run_in_simulated_time(|| async move {
        let shape = DeploymentOptions {
            machines: 160,
            ..deployment()
        };
        let simulation = Simulation::with_options(seed, shape).await;
        wait_until_formats_recorded(&simulation).await;
        sleep(secs(15)).await;
        let array = simulation.submit(job(1, "batch", 600, 20.0)).await;
        let service = simulation.submit(job(2, "daemon", 16, 0.0)).await;
        let chains = submit_chains(&simulation).await;
        simulation.wait_for_stage(&array, "running", 30).await;
        assert!(
            oversized_records(&simulation).len() > 3,
            "{:?}",
            oversized_records(&simulation)
        );
        // If the controllers restart one after another, each of them compacts the records that
        // it takes over. If all restart together, background compaction does so instead.
        let pause = if lowered_at == LoweredAt::During {
            0
        } else {
            2
        };
        for i in 0..3 {
            upgrade(&simulation, i);
            sleep(secs(if i < 2 { pause } else { 0 })).await;
        }
        let open = chains.iter().flatten().filter(|id| {
            let record = simulation.state.value(&job_key(id)).unwrap_or_default();
            record.is_null() || record["f"] == "o"
        });
        assert!(open.count() > 20, "the pipeline ended too early");
        match lowered_at {
            LoweredAt::Before => {}
            LoweredAt::During => {
                let before = oversized_records(&simulation).len();
                while oversized_records(&simulation).len() * 3 > before * 2 {
                    sleep(Duration::from_millis(10)).await;
                }
            }
            LoweredAt::After => {
                sleep(secs(4)).await;
                while !oversized_records(&simulation).is_empty() {
                    sleep(Duration::from_millis(250)).await;
                }
            }
        }
        assert_eq!(
            oversized_records(&simulation).is_empty(),
            lowered_at == LoweredAt::After
        );
        let cancel = async |chain: usize, step: usize| {
            let confirmed = cancel_everywhere(&simulation, &chains[chain][step]).await;
            assert!(confirmed.is_some(), "{chain} {step}");
            confirmed.as_deref() == Some("aborted")
        };
        let mut aborted = Vec::new();
        if lowered_at == LoweredAt::After {
            aborted.extend(cancel(0, 2).await.then_some((0, 2)));
        }
        lower_limits(&simulation);
        aborted.extend(cancel(1, 1).await.then_some((1, 1)));
        aborted.extend(cancel(2, 3).await.then_some((2, 3)));
        assert!(aborted.len() >= 2, "{aborted:?}");
        sleep(Duration::from_secs_f64(simulation.shape.cancel_s)).await;
        for (chain, ids) in chains.iter().enumerate() {
            let from = aborted.iter().find(|(c, _)| *c == chain).map(|(_, s)| *s);
            for (step, id) in ids.iter().enumerate() {
                if from.is_none_or(|from| step < from) {
                    simulation.wait_for_stage(id, "done", 400).await;
                    continue;
                }
                for i in 0..3 {
                    assert_eq!(
                        simulation.query_stage(i, id).await.as_deref(),
                        Some("aborted"),
                        "{id}"
                    );
                }
                assert_eq!(simulation.running_task_count(id), 0, "{id}");
            }
        }
        simulation.wait_for_stage(&array, "done", 400).await;
        simulation.wait_for_stage(&service, "running", 60).await;
        assert_eq!(
            oversized_records(&simulation),
            Vec::<(String, usize)>::new()
        );
        assert_within_limits(&simulation);
    });
}

#[test]
fn limits_are_lowered_before_compaction_with_an_unfinished_pipeline() {
    lower_limits_with_an_unfinished_pipeline(81, LoweredAt::Before);
}

#[test]
fn limits_are_lowered_during_compaction_with_an_unfinished_pipeline() {
    lower_limits_with_an_unfinished_pipeline(82, LoweredAt::During);
}

#[test]
fn limits_are_lowered_after_compaction_with_an_unfinished_pipeline() {
    lower_limits_with_an_unfinished_pipeline(83, LoweredAt::After);
}
