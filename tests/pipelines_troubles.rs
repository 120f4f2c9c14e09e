//! Tests of jobs that depend on other jobs, with stand-ins, in simulated time. Meanwhile answers
//! are lost or late, controllers restart, and the state service refuses some or all controllers.
//! The stand-ins check every start of a task and every answer against the rules of the protocol.

#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::api::read_submission;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::records::{Job, JobSpec, JobStatus};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::Event;
use stand_ins::{
    CONTROLLERS, DeploymentOptions, Simulation, StateFault, job, run_in_simulated_time,
    with_dependencies,
};
use tokio::time::{Instant, sleep};

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Returns a deployment whose teams have large limits.
fn large_teams() -> DeploymentOptions {
    let teams = [("t", 64.0), ("u", 64.0)];
    DeploymentOptions {
        teams: teams.map(|(name, cpus)| (name.into(), cpus, cpus)).to_vec(),
        ..DeploymentOptions::default()
    }
}

/// Waits until the controllers accept jobs with dependencies. They do so once every controller is
/// known to read the newer formats.
async fn wait_for_upgrade(simulation: &Simulation) {
    let first = simulation.submit(job(900_000, "batch", 1, 0.5)).await;
    let probe = with_dependencies(job(900_001, "batch", 1, 0.5), &[&first]);
    simulation.submit(probe).await;
}

/// Submits a chain of four jobs of both kinds and teams, and a fifth job that depends on
/// the second and the third; the first job runs for `first_s` seconds. Returns their ids.
async fn submit_pipeline(simulation: &Simulation, first_s: f64) -> Vec<String> {
    let mut ids = vec![simulation.submit(job(1, "batch", 3, first_s)).await];
    for (n, kind) in [(2, "gang"), (3, "batch"), (4, "gang")] {
        let mut submission = with_dependencies(job(n, kind, 2, 2.0), &[&ids[ids.len() - 1]]);
        submission["crew"] = json!(["t", "u"][n as usize % 2]);
        ids.push(simulation.submit(submission).await);
    }
    let fifth = with_dependencies(job(5, "batch", 2, 1.0), &[&ids[1], &ids[2]]);
    ids.push(simulation.submit(fifth).await);
    ids
}

/// A fault that occurs while a pipeline runs or is cancelled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Some commits are applied, but their answers are lost.
    LostAnswers,
    /// Some commits are applied seconds late and get no answer.
    LateCommits,
    /// Commits are late or unanswered at random.
    MixedAnswers,
    /// Late copies of old heartbeats reach every controller.
    LateReportCopies,
    /// The controllers restart one after another.
    Restarts,
    /// The state service is down for longer than a cancellation may take.
    LongOutage,
    /// The state service refuses one controller for longer than a cancellation may take.
    OneRefused,
}

const FAULTS: [Fault; 7] = [
    Fault::LostAnswers,
    Fault::LateCommits,
    Fault::MixedAnswers,
    Fault::LateReportCopies,
    Fault::Restarts,
    Fault::LongOutage,
    Fault::OneRefused,
];

impl Fault {
    /// Injects the fault and waits until it is over.
    async fn inject(self, simulation: &Rc<Simulation>, refused_controller: usize) {
        let longer_than_cancel = secs(simulation.shape.cancel_s * 1.3);
        match self {
            Fault::LostAnswers | Fault::LateCommits => {
                simulation.state.fault.set(match self {
                    Fault::LostAnswers => StateFault::LostResponses,
                    _ => StateFault::LateCommits,
                });
                for _ in 0..5 {
                    simulation.state.faulty_commits_left.set(2);
                    sleep(secs(2.0)).await;
                }
                simulation.state.faulty_commits_left.set(0);
                simulation.state.fault.set(StateFault::None);
            }
            Fault::MixedAnswers => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .late_commit_fraction = 0.2;
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .unanswered_commit_fraction = 0.2;
                sleep(secs(12.0)).await;
                simulation.clear_faults();
            }
            Fault::LateReportCopies => {
                for _ in 0..6 {
                    sleep(secs(2.0)).await;
                    simulation.send_recorded_copies();
                }
            }
            Fault::Restarts => {
                for i in 0..CONTROLLERS {
                    simulation.kill_controller(i);
                    sleep(secs(2.5)).await;
                    simulation.start(i);
                    sleep(secs(1.5)).await;
                }
            }
            Fault::LongOutage => {
                simulation.state.fault.set(StateFault::Outage);
                sleep(longer_than_cancel).await;
                simulation.state.fault.set(StateFault::None);
            }
            Fault::OneRefused => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .refused_controllers
                    .insert(refused_controller);
                sleep(longer_than_cancel).await;
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .refused_controllers
                    .clear();
            }
        }
    }
}

/// Polls every job at every controller, as users do, until the task is aborted. The
/// stand-ins check the answers.
async fn keep_polling(simulation: Rc<Simulation>, ids: Vec<String>) {
    loop {
        for id in &ids {
            for i in 0..CONTROLLERS {
                simulation.query_stage(i, id).await;
            }
        }
        sleep(secs(1.0)).await;
    }
}

#[test]
fn no_task_starts_before_its_dependencies_are_done() {
    for (n, fault) in FAULTS.into_iter().enumerate() {
        for delay_s in [0.5, 4.0] {
            run_in_simulated_time(|| async move {
                let simulation = Simulation::with_options(500 + n as u64, large_teams()).await;
                wait_for_upgrade(&simulation).await;
                simulation.copied_heartbeat_fraction.set(0.3);
                let ids = submit_pipeline(&simulation, 5.0).await;
                let polling =
                    tokio::task::spawn_local(keep_polling(simulation.clone(), ids.clone()));
                sleep(secs(delay_s)).await;
                fault.inject(&simulation, n % CONTROLLERS).await;
                for id in &ids {
                    simulation.wait_for_stage(id, "done", 200).await;
                }
                polling.abort();
                let broken = simulation.reported_violations.borrow().clone();
                assert!(
                    broken.is_empty(),
                    "{fault:?} after {delay_s} s: {broken:#?}"
                );
                simulation.assert_no_violations();
            });
        }
    }
}

/// Checks that a cancellation is final at each depth of a chain and during each fault. All
/// controllers receive the cancellation concurrently. Once one of them has confirmed it, no
/// controller may report an older stage of the cancelled job or of its dependents. The jobs that
/// the cancelled job depends on must continue.
#[test]
fn cancellation_at_each_depth_is_final_during_faults() {
    for (n, fault) in FAULTS.into_iter().enumerate() {
        for depth in 0..4 {
            run_in_simulated_time(|| async move {
                let case = format!("{fault:?}, depth {depth}");
                let simulation =
                    Simulation::with_options(540 + (n * 4 + depth) as u64, large_teams()).await;
                wait_for_upgrade(&simulation).await;
                simulation.copied_heartbeat_fraction.set(0.3);
                let ids = submit_pipeline(&simulation, 40.0).await;
                simulation.wait_for_stage(&ids[0], "running", 60).await;
                let polling =
                    tokio::task::spawn_local(keep_polling(simulation.clone(), ids.clone()));
                let injection = {
                    let simulation = simulation.clone();
                    tokio::task::spawn_local(async move {
                        fault.inject(&simulation, n % CONTROLLERS).await
                    })
                };
                let mut stage = None;
                let start = Instant::now();
                while stage.is_none() && start.elapsed() < secs(90.0) {
                    let id = &ids[depth];
                    let (answer_0, answer_1, answer_2) = tokio::join!(
                        simulation.cancel(0, id),
                        simulation.cancel(1, id),
                        simulation.cancel(2, id)
                    );
                    stage = answer_0.or(answer_1).or(answer_2);
                    if stage.is_some() {
                        simulation.query_concurrently(id).await;
                        simulation.query_concurrently(&ids[4]).await;
                    }
                    sleep(secs(1.0)).await;
                }
                assert_eq!(stage.as_deref(), Some("aborted"), "{case}");
                injection.await.expect("the task that injects the fault");
                // A job that awaits a cancelled job is accepted, and is cancelled.
                let late_dependent = simulation
                    .submit(with_dependencies(job(50, "batch", 1, 1.0), &[&ids[depth]]))
                    .await;
                sleep(secs(simulation.shape.cancel_s)).await;
                // The fifth job depends on the second and the third, but not on the fourth.
                let dependents: Vec<&String> = match depth {
                    3 => vec![&ids[3], &late_dependent],
                    _ => ids[depth..].iter().chain([&late_dependent]).collect(),
                };
                for id in &dependents {
                    assert_eq!(simulation.running_task_count(id), 0, "{case}: {id}");
                    for i in 0..CONTROLLERS {
                        let stage = simulation.query_stage(i, id).await;
                        assert_eq!(stage.as_deref(), Some("aborted"), "{case}: {id} at n{i}");
                    }
                }
                for id in ids.iter().filter(|id| !dependents.contains(id)) {
                    simulation.wait_for_stage(id, "done", 200).await;
                }
                polling.abort();
                let broken = simulation.reported_violations.borrow().clone();
                assert!(broken.is_empty(), "{case}: {broken:#?}");
                simulation.assert_no_violations();
            });
        }
    }
}

/// Checks that a cancellation of a job that is already done is answered with `done`, and that the
/// job's dependents continue. This must hold at every controller and during each fault.
#[test]
fn cancellation_of_a_done_job_ends_no_dependent() {
    for (n, fault) in [Fault::LostAnswers, Fault::Restarts, Fault::OneRefused]
        .into_iter()
        .enumerate()
    {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::with_options(600 + n as u64, large_teams()).await;
            wait_for_upgrade(&simulation).await;
            let first = simulation.submit(job(1, "batch", 1, 2.0)).await;
            let next = simulation
                .submit(with_dependencies(job(2, "gang", 2, 8.0), &[&first]))
                .await;
            let last = simulation
                .submit(with_dependencies(job(3, "batch", 1, 1.0), &[&next]))
                .await;
            simulation.wait_for_stage(&first, "done", 60).await;
            let injection = {
                let simulation = simulation.clone();
                tokio::task::spawn_local(async move { fault.inject(&simulation, n).await })
            };
            for i in 0..CONTROLLERS {
                let stage = simulation.cancel(i, &first).await;
                assert!(
                    stage.as_deref().is_none_or(|stage| stage == "done"),
                    "{stage:?}"
                );
            }
            injection.await.expect("the task that injects the fault");
            assert_eq!(simulation.cancel(0, &first).await.as_deref(), Some("done"));
            simulation.wait_for_stage(&last, "done", 120).await;
            simulation.assert_no_violations();
        });
    }
}

/// Checks a job that depends on a service: it waits as long as the service runs, uses no
/// resources meanwhile, and is cancelled with the service. Users are not expected to submit such
/// jobs.
#[test]
fn job_that_awaits_a_service_waits_and_uses_no_resources() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(620, large_teams()).await;
        wait_for_upgrade(&simulation).await;
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 60).await;
        sleep(secs(30.0)).await;
        let machines = simulation.workers.borrow().len();
        let wide = simulation
            .submit(with_dependencies(job(2, "gang", 12, 5.0), &[&service]))
            .await;
        let other = simulation.submit(job(3, "batch", 2, 2.0)).await;
        simulation.wait_for_stage(&other, "done", 60).await;
        sleep(secs(60.0)).await;
        assert_eq!(
            simulation.query_stage(1, &wide).await.as_deref(),
            Some("queued")
        );
        assert!(
            simulation.workers.borrow().len() <= machines,
            "idle machines are kept"
        );
        assert_eq!(
            simulation.cancel(0, &service).await.as_deref(),
            Some("aborted")
        );
        for i in 0..CONTROLLERS {
            assert_eq!(
                simulation.query_stage(i, &wide).await.as_deref(),
                Some("aborted")
            );
        }
        simulation.assert_no_violations();
    });
}

/// Checks that an urgent job preempts no other job while it waits for its dependency, although
/// its team uses less than its guarantee. Once the dependency is done, the job preempts others.
#[test]
fn waiting_job_preempts_no_other_job() {
    run_in_simulated_time(|| async {
        let shape = DeploymentOptions {
            teams: vec![("t".into(), 8.0, 64.0), ("u".into(), 8.0, 64.0)],
            ..DeploymentOptions::default()
        };
        let simulation = Simulation::with_options(630, shape).await;
        wait_for_upgrade(&simulation).await;
        let mut first = job(1, "batch", 1, 60.0);
        first["crew"] = json!("u");
        let first = simulation.submit(first).await;
        simulation.wait_for_stage(&first, "running", 60).await;
        let mut low_priority = job(2, "batch", 8, 500.0);
        low_priority["urgency"] = json!("low");
        let low_priority = simulation.submit(low_priority).await;
        let mut urgent = with_dependencies(job(3, "gang", 3, 2.0), &[&first]);
        urgent["urgency"] = json!("urgent");
        urgent["crew"] = json!("u");
        let urgent = simulation.submit(urgent).await;
        simulation
            .wait_for_stage(&low_priority, "running", 60)
            .await;
        sleep(secs(10.0)).await;
        let (running, starts) = (
            simulation.running_task_count(&low_priority),
            simulation.task_start_count.get(),
        );
        while simulation.query_stage(0, &first).await.as_deref() != Some("done") {
            assert!(
                simulation.running_task_count(&low_priority) >= running,
                "tasks were preempted for a waiting job"
            );
            assert!(
                simulation.task_start_count.get() <= starts + 8,
                "tasks were restarted repeatedly"
            );
            sleep(secs(1.0)).await;
        }
        simulation.wait_for_stage(&urgent, "done", 60).await;
        simulation.assert_no_violations();
    });
}

/// Checks that the time for which a job waits for its dependencies does not count as waiting
/// time in the queue. This must hold at controllers that observed the job throughout, and after
/// a restart of all controllers.
#[test]
fn waiting_time_counts_from_readiness() {
    for restarts in [false, true] {
        run_in_simulated_time(|| async move {
            let shape = DeploymentOptions {
                teams: vec![("t".into(), 8.0, 64.0), ("u".into(), 2.0, 2.0)],
                ..DeploymentOptions::default()
            };
            let simulation = Simulation::with_options(640, shape).await;
            wait_for_upgrade(&simulation).await;
            let mut blocker = job(1, "batch", 1, 160.0);
            blocker["crew"] = json!("u");
            let blocker = simulation.submit(blocker).await;
            simulation.wait_for_stage(&blocker, "running", 60).await;
            let first = simulation.submit(job(2, "batch", 1, 90.0)).await;
            // The blocker uses all of the limit of this job's team.
            let mut next = with_dependencies(job(3, "batch", 1, 1.0), &[&first]);
            next["crew"] = json!("u");
            let next = simulation.submit(next).await;
            simulation.wait_for_stage(&first, "done", 150).await;
            let ready_at = Instant::now();
            if restarts {
                for i in 0..CONTROLLERS {
                    simulation.kill_controller(i);
                    simulation.start(i);
                }
            }
            sleep(secs(10.0)).await;
            for i in 0..CONTROLLERS {
                let (_, details) = simulation
                    .send_request(i, "GET", &format!("/ops/job/{next}"), None)
                    .await;
                let waiting_s = details["known_s"].as_f64().expect("known_s");
                let limit_s = ready_at.elapsed().as_secs_f64() + 4.0;
                assert!(
                    waiting_s <= limit_s,
                    "n{i}: {waiting_s} of {limit_s}: {details}"
                );
            }
            simulation.wait_for_stage(&next, "done", 200).await;
            simulation.assert_no_violations();
        });
    }
}

/// Checks that the time to a job's deadline counts from its submission, both while the
/// job waits for its dependencies and once it is ready.
#[test]
fn deadline_counts_from_the_submission() {
    run_in_simulated_time(|| async {
        let job_record = |n: u32, dependencies: &[&str]| {
            let mut body = with_dependencies(job(n, "batch", 1, 5.0), dependencies);
            body["due_s"] = json!(100.0);
            let submission = read_submission(body.to_string().as_bytes()).expect("a submission");
            Job::new(JobSpec::from(&submission), 1)
        };
        let (first, next) = (job_record(1, &[]), job_record(2, &["job-000001"]));
        let spec = next.spec.clone().expect("a spec");
        let mut replica = Replica::default();
        let put = |id: &str, job: &Job, revision: u64| Event::put(job_key(id), job, revision);
        replica.apply_events(vec![put("job-000001", &first, 2)], 2);
        replica.apply_events(vec![put("job-000002", &next, 3)], 3);
        let seconds_left = |replica: &Replica| {
            let urgency = replica.effective_urgency("job-000002", &spec, Instant::now());
            urgency.time_left_s.expect("a deadline").round()
        };
        assert_eq!(seconds_left(&replica), 100.0);
        sleep(secs(30.0)).await;
        assert_eq!(seconds_left(&replica), 70.0, "blocked");
        let done = Job {
            status: JobStatus::Done,
            spec: None,
            ..first
        };
        replica.apply_events(vec![put("job-000001", &done, 4)], 4);
        assert!(replica.dependencies_done(&spec));
        assert_eq!(seconds_left(&replica), 70.0, "just ready");
        sleep(secs(10.0)).await;
        assert_eq!(seconds_left(&replica), 60.0, "ready for 10 s");
    });
}
