//! Tests of users' requests while controllers cannot serve them, and of records that controllers
//! cannot read, with stand-ins, in simulated time.

#[allow(dead_code)]
mod stand_ins;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Client, Response};
use shelfhoist::net::Net;
use stand_ins::{
    CONTROLLERS, DeploymentOptions, Simulation, StateFault, addr, controller_addr, job,
    run_in_simulated_time, with_dependencies,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Maximum response time of a request while an operation for it is in progress.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(3600);

/// Maximum response time of a request that is answered without waiting; it includes some
/// attempts at the state service.
const MAX_IMMEDIATE_RESPONSE_TIME: Duration = Duration::from_millis(400);

/// A request of a user.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Request {
    Submission,
    Query,
    Cancellation,
}

const REQUESTS: [Request; 3] = [Request::Submission, Request::Query, Request::Cancellation];

impl Request {
    /// Sends the request to a controller, and returns the answer and the response time. A
    /// submission is for a new job; a query or cancellation is for the job `existing`.
    async fn send(self, simulation: &Simulation, i: usize, existing: &str) -> (Response, Duration) {
        let user = Net::Simulated(simulation.simulated_network.clone(), addr("10.3.0.9:1"));
        let client = Client::new(user, Duration::from_secs(1));
        let new = job(70, "batch", 1, 1.0);
        let (method, path, body) = match self {
            Request::Submission => ("POST", "/submissions".to_string(), Some(new.to_string())),
            Request::Query => ("GET", format!("/submissions/{existing}"), None),
            Request::Cancellation => ("POST", format!("/submissions/{existing}/withdraw"), None),
        };
        let body = body.map(String::into_bytes);
        let start = Instant::now();
        let limit = Duration::from_secs(10);
        let answer = client
            .call(controller_addr(i), method, &path, body, limit)
            .await;
        (answer.expect("an answer"), start.elapsed())
    }
}

/// A way in which the state service refuses requests of controllers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Refusal {
    /// The state service refuses all requests of all controllers.
    Outage,
    /// The state service refuses all requests of one controller.
    OneController,
    /// The state service refuses all commits but serves reads.
    Commits,
}

impl Refusal {
    fn begin(self, simulation: &Simulation) {
        match self {
            Refusal::Outage => simulation.state.fault.set(StateFault::Outage),
            Refusal::Commits => simulation.state.fault.set(StateFault::CommitsRefused),
            Refusal::OneController => {
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .refused_controllers
                    .insert(0);
            }
        }
    }
}

/// Checks that requests are answered without waiting, both at the moment at which the state
/// service begins to refuse and later. Each 503 must say when to retry.
#[test]
fn refused_requests_are_answered_immediately() {
    let refusals = [Refusal::Outage, Refusal::OneController, Refusal::Commits];
    for (n, refusal) in refusals.into_iter().enumerate() {
        for request in REQUESTS {
            for later_s in [0.0, 1.0, 20.0] {
                run_in_simulated_time(|| async move {
                    let simulation = Simulation::new(300 + n as u64).await;
                    let existing = simulation.submit(job(1, "batch", 1, 300.0)).await;
                    simulation.wait_for_stage(&existing, "running", 60).await;
                    refusal.begin(&simulation);
                    sleep(Duration::from_secs_f64(later_s)).await;
                    let (answer, response_time) = request.send(&simulation, 0, &existing).await;
                    let case = format!("{refusal:?}, {request:?}, after {later_s} s");
                    if refusal == Refusal::Commits && request == Request::Query {
                        assert_eq!(answer.status, 200, "{case}");
                    } else {
                        assert_eq!(answer.status, 503, "{case}");
                        assert!(answer.retry_after.is_some(), "{case}");
                    }
                    assert!(
                        response_time < MAX_IMMEDIATE_RESPONSE_TIME,
                        "{case}: {response_time:?}"
                    );
                });
            }
        }
    }
}

/// Checks that the wait for a commit whose answer is lost or late is limited. Such a
/// commit may still succeed, so the controller may wait for its result before it answers
/// the user, but not longer than users wait.
#[test]
fn wait_for_an_unanswered_commit_is_limited() {
    let cases = [
        (
            StateFault::LostResponses,
            Request::Submission,
            &[200, 201][..],
        ),
        (StateFault::LostResponses, Request::Cancellation, &[200]),
        (
            StateFault::LateCommits,
            Request::Submission,
            &[200, 201, 503],
        ),
        (StateFault::LateCommits, Request::Cancellation, &[200, 503]),
    ];
    for (n, (trouble, request, expected)) in cases.into_iter().enumerate() {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(320 + n as u64).await;
            let existing = simulation.submit(job(1, "batch", 1, 300.0)).await;
            simulation.wait_for_stage(&existing, "running", 60).await;
            simulation.state.fault.set(trouble);
            simulation.state.faulty_commits_left.set(1);
            let (answer, response_time) = request.send(&simulation, 0, &existing).await;
            let case = format!(
                "{trouble:?}, {request:?}: {}, {response_time:?}",
                answer.status
            );
            assert!(expected.contains(&answer.status), "{case}");
            assert!(response_time < MAX_RESPONSE_TIME, "{case}");
        });
    }
}

/// Checks that the response time of a request is limited when the state service answers a
/// controller more slowly than users wait. The number of attempts at the state service must make
/// no difference.
#[test]
fn response_time_is_limited_when_the_state_service_is_slow() {
    for request in REQUESTS {
        for slow_s in [0.9, 1.2, 5.0] {
            run_in_simulated_time(|| async move {
                let simulation = Simulation::new(340).await;
                let existing = simulation.submit(job(1, "batch", 1, 300.0)).await;
                simulation.wait_for_stage(&existing, "running", 60).await;
                simulation.state.fault_options.borrow_mut().response_delay =
                    Duration::from_secs_f64(slow_s);
                simulation
                    .state
                    .fault_options
                    .borrow_mut()
                    .delayed_controllers
                    .insert(0);
                let (answer, response_time) = request.send(&simulation, 0, &existing).await;
                let case = format!(
                    "{request:?}, {slow_s}: {}, {response_time:?}",
                    answer.status
                );
                assert!([200, 201, 503].contains(&answer.status), "{case}");
                assert!(response_time < MAX_RESPONSE_TIME, "{case}");
                assert!(
                    request != Request::Query || response_time < Duration::from_millis(1900),
                    "{case}"
                );
            });
        }
    }
}

thread_local! {
    /// Log of the controllers of the test on this thread.
    static LOGGED: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A writer to the log of the test on its thread.
struct ThreadLog;

impl Write for ThreadLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LOGGED.with_borrow_mut(|log| log.extend_from_slice(bytes));
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Clears the log of this thread. The first call also installs the subscriber that all tests of
/// this test program share.
fn start_log() {
    static SUBSCRIBED: Once = Once::new();
    SUBSCRIBED.call_once(|| {
        tracing_subscriber::fmt()
            .with_max_level(tracing::Level::INFO)
            .with_ansi(false)
            .with_writer(|| ThreadLog)
            .init();
    });
    LOGGED.with_borrow_mut(Vec::clear);
}

/// Returns whether the log says that the record of this key could not be decoded.
fn is_logged(key: &str) -> bool {
    let bytes = LOGGED.with_borrow(Clone::clone);
    let text = String::from_utf8_lossy(&bytes);
    let is_unreadable_record =
        |line: &str| line.contains("record cannot be decoded") && line.contains(key);
    text.lines().any(is_unreadable_record)
}

/// Asserts that new jobs run until they are done, and that every controller reports so.
async fn assert_new_jobs_complete(simulation: &Rc<Simulation>, first_number: u32, case: &str) {
    let mut ids = Vec::new();
    for n in first_number..first_number + CONTROLLERS as u32 {
        let mut submission = job(n, ["batch", "gang"][n as usize % 2], 2, 2.0);
        submission["crew"] = json!(["t", "u"][n as usize % 2]);
        ids.push(simulation.submit(submission).await);
    }
    let dependent = with_dependencies(job(first_number + 20, "batch", 1, 1.0), &[&ids[0], &ids[1]]);
    ids.push(simulation.submit(dependent).await);
    for id in &ids {
        simulation.wait_for_stage(id, "done", 120).await;
        for i in 0..CONTROLLERS {
            let stage = simulation.query_stage(i, id).await;
            assert_eq!(stage.as_deref(), Some("done"), "{case}: {id} at n{i}");
        }
    }
}

/// Checks that a record of any kind with invalid content is logged with its key. All jobs that do
/// not need the record must still run, both before and after a restart of the controllers.
#[test]
fn unreadable_records_delay_no_other_job() {
    let keys = [
        "sh/job/job-000002",
        "sh/job/job-000055",
        "sh/team/t",
        "sh/zone/",
        "sh/zone/a/n0.7",
        "sh/machine/",
        "sh/machine/b/n2.7",
        "sh/hire/r-1",
        "sh/new/n0-1",
        "sh/node/n0",
        "sh/node/n1",
        "sh/fleet",
        "sh/types",
        "sh/formats",
        "sh/formats/x",
        "sh/other/x",
    ];
    for (n, key) in keys.into_iter().enumerate() {
        let invalid = [
            json!("what"),
            json!({"m": 7, "f": [], "j": 3, "types": {}, "n": 1, "h": 2, "u": "x"}),
        ][n % 2]
            .clone();
        start_log();
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(360 + n as u64).await;
            assert_new_jobs_complete(&simulation, 100, key).await;
            let long = simulation.submit(job(1, "batch", 1, 600.0)).await;
            simulation.wait_for_stage(&long, "running", 60).await;
            let short = simulation.submit(job(2, "batch", 1, 3.0)).await;
            simulation.wait_for_stage(&short, "done", 60).await;
            // A key that ends with a slash selects all keys with this prefix.
            let keys = match key.ends_with('/') {
                true => simulation
                    .state
                    .value_sizes(key)
                    .into_iter()
                    .map(|(k, _)| k)
                    .collect(),
                false => vec![key.to_string()],
            };
            assert!(!keys.is_empty(), "{key}");
            for key in &keys {
                simulation.state.write(key, &invalid);
            }
            let case = format!("{key} is {invalid}");
            assert_new_jobs_complete(&simulation, 200, &case).await;
            let is_read = !["sh/formats/x", "sh/other/x"].contains(&key);
            let unlogged = keys.iter().find(|key| is_read && !is_logged(key));
            assert_eq!(unlogged, None, "not logged: {case}");
            for i in 0..CONTROLLERS {
                simulation.kill_controller(i);
            }
            for i in 0..CONTROLLERS {
                simulation.start(i);
            }
            assert_new_jobs_complete(&simulation, 300, &case).await;
            simulation.assert_no_violations();
        });
    }
}

/// Checks that a job whose record cannot be read is reported neither as unknown nor in a stage,
/// because it was accepted and may be finished. Only a controller that has seen the job's final
/// stage still reports that stage. Once the record can be read again, the job is in the same
/// stage as before.
#[test]
fn unreadable_job_is_reported_neither_as_unknown_nor_in_a_stage() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(400).await;
        assert_new_jobs_complete(&simulation, 100, "before the fault").await;
        let first = simulation.submit(job(1, "batch", 1, 300.0)).await;
        let dependent = simulation
            .submit(with_dependencies(job(2, "batch", 1, 1.0), &[&first]))
            .await;
        let finished = simulation.submit(job(3, "batch", 1, 1.0)).await;
        simulation.wait_for_stage(&finished, "done", 60).await;
        simulation.wait_for_stage(&first, "running", 60).await;
        let keys = [&first, &finished].map(|id| format!("sh/job/{id}"));
        let records = keys
            .each_ref()
            .map(|k| simulation.state.value(k).expect("a record"));
        for key in &keys {
            simulation.state.write(key, &json!({"s": 7}));
        }
        sleep(Duration::from_secs(1)).await;
        for i in 0..CONTROLLERS {
            // A controller that has seen the final stage still reports it.
            assert_eq!(
                simulation.query_stage(i, &finished).await.as_deref(),
                Some("done")
            );
        }
        for restarted in [false, true] {
            for i in 0..CONTROLLERS {
                let ask = |method, path: String| {
                    let simulation = simulation.clone();
                    async move { simulation.send_request(i, method, &path, None).await.0 }
                };
                let query = format!("/submissions/{first}");
                assert_eq!(ask("GET", query.clone()).await, 503, "{restarted}, n{i}");
                assert_eq!(ask("POST", format!("{query}/withdraw")).await, 503);
                let repeated = job(1, "batch", 1, 300.0);
                let (status, _) = simulation
                    .send_request(i, "POST", "/submissions", Some(&repeated))
                    .await;
                assert_eq!(status, 503);
                let new_dependent = with_dependencies(job(60, "batch", 1, 1.0), &[&first]);
                let (status, _) = simulation
                    .send_request(i, "POST", "/submissions", Some(&new_dependent))
                    .await;
                assert_eq!(status, 503, "a dependency on an unreadable job was decided");
                assert_eq!(
                    simulation.query_stage(i, &dependent).await.as_deref(),
                    Some("queued")
                );
            }
            for i in 0..CONTROLLERS {
                simulation.kill_controller(i);
                simulation.start(i);
            }
            sleep(Duration::from_secs(5)).await;
        }
        for (key, record) in keys.iter().zip(&records) {
            simulation.state.write(key, record);
        }
        sleep(Duration::from_secs(5)).await;
        for i in 0..CONTROLLERS {
            assert_eq!(
                simulation.query_stage(i, &finished).await.as_deref(),
                Some("done")
            );
            let stage: Option<String> = simulation.query_stage(i, &first).await;
            assert!(["queued", "running"].map(Some).contains(&stage.as_deref()));
        }
        assert_eq!(
            simulation.cancel(0, &first).await.as_deref(),
            Some("aborted")
        );
        assert_eq!(
            simulation.query_stage(1, &dependent).await.as_deref(),
            Some("aborted")
        );
        simulation.assert_no_violations();
    });
}

/// Checks a batch record, which stores several jobs that were accepted together, in which one job
/// is unreadable. The other jobs must run, and the unreadable one must not be accepted again with
/// other content.
#[test]
fn one_unreadable_new_job_does_not_affect_the_others() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(410).await;
        assert_new_jobs_complete(&simulation, 100, "before the fault").await;
        let (readable, unreadable) = (job(1, "batch", 1, 1.0), job(2, "batch", 1, 1.0));
        let spec = shelfhoist::api::read_submission(readable.to_string().as_bytes());
        let spec = shelfhoist::state::records::JobSpec::from(&spec.expect("a submission"));
        let spec: Value = serde_json::to_value(&spec).expect("text");
        simulation.register_job(&readable);
        simulation.register_job(&unreadable);
        let new_jobs = json!({"b": 1, "j": {"job-000001": spec, "job-000002": 5}});
        simulation.state.write("sh/new/n0-1", &new_jobs);
        sleep(Duration::from_secs(1)).await;
        simulation.submit(readable).await;
        simulation.wait_for_stage("job-000001", "done", 60).await;
        for i in 0..CONTROLLERS {
            let (status, _) = simulation
                .send_request(i, "POST", "/submissions", Some(&unreadable))
                .await;
            assert_eq!(status, 503);
            let (status, _) = simulation
                .send_request(i, "GET", "/submissions/job-000002", None)
                .await;
            assert_eq!(status, 503);
        }
        sleep(Duration::from_secs(20)).await;
        assert!(
            simulation.state.value("sh/new/n0-1").is_some(),
            "the record was deleted with a job"
        );
        simulation.assert_no_violations();
    });
}

/// Checks that valid and invalid values of `awaits` get the status that the protocol
/// defines, at every controller.
#[test]
fn dependency_lists_are_parsed_as_the_protocol_defines() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(420).await;
        assert_new_jobs_complete(&simulation, 100, "before the fault").await;
        let mut other = job(1, "gang", 1, 300.0);
        other["crew"] = json!("u");
        let running = simulation.submit(other).await;
        let service = simulation.submit(job(2, "daemon", 1, 0.0)).await;
        simulation.wait_for_stage(&running, "running", 60).await;
        let cases = [
            (Value::Null, 201),
            (json!([]), 201),
            (json!([running]), 201),
            (json!([running, running]), 201),
            (json!([running, service]), 201),
            (json!([running, null]), 400),
            (json!([[running]]), 400),
            (json!([""]), 400),
            (json!(["job-1x"]), 400),
            (json!(["JOB-000001"]), 400),
            (json!(["job-0000000000000000001"]), 400),
            (json!([1.5]), 400),
            (json!(true), 400),
            (json!(""), 400),
            (json!({}), 400),
            (json!([running, "job-000777"]), 422),
        ];
        for (n, (dependencies, expected)) in (10..).zip(cases) {
            for i in 0..CONTROLLERS {
                let mut submission = job(n, "batch", 1, 1.0);
                submission["awaits"] = dependencies.clone();
                simulation.register_job(&submission);
                let (status, answer) = simulation
                    .send_request(i, "POST", "/submissions", Some(&submission))
                    .await;
                // The first controller accepts the job; the others return its stage.
                let is_known = expected == 201 && i > 0;
                let expected = if is_known { 200 } else { expected };
                assert_eq!(status, expected, "{dependencies} at n{i}: {answer}");
            }
        }
        // The repeated submission of an accepted job returns its stage, whatever it awaits.
        for dependencies in [
            json!(["job-000777"]),
            json!([running]),
            json!(["job-000010"]),
        ] {
            let mut repeated = job(10, "batch", 1, 1.0);
            repeated["awaits"] = dependencies.clone();
            for i in 0..CONTROLLERS {
                let (status, _) = simulation
                    .send_request(i, "POST", "/submissions", Some(&repeated))
                    .await;
                assert_eq!(status, 200, "{dependencies}");
            }
        }
        simulation.wait_for_stage("job-000010", "done", 60).await;
        simulation.assert_no_violations();
    });
}

/// Checks that a job is never rejected permanently because it depends on a job that was accepted
/// a moment ago at another controller. It is accepted or answered 503, even while this controller
/// receives the events of the state late or is refused by the state service.
#[test]
fn job_accepted_elsewhere_is_never_reported_as_unknown() {
    for (n, trouble) in [
        "slow",
        "slow for one controller",
        "one controller refused",
        "unanswered commits",
    ]
    .into_iter()
    .enumerate()
    {
        run_in_simulated_time(|| async move {
            let simulation = Simulation::new(430 + n as u64).await;
            assert_new_jobs_complete(&simulation, 100, "before the fault").await;
            {
                let mut troubles = simulation.state.fault_options.borrow_mut();
                match trouble {
                    "slow" => troubles.response_delay = Duration::from_millis(600),
                    "slow for one controller" => {
                        troubles.response_delay = Duration::from_millis(600);
                        troubles.delayed_controllers.insert(1);
                    }
                    "unanswered commits" => troubles.unanswered_commit_fraction = 0.3,
                    _ => {
                        troubles.refused_controllers.insert(1);
                    }
                }
            }
            for round in 0..8 {
                let first = simulation.submit(job(1000 + round, "batch", 1, 1.0)).await;
                let dependent = with_dependencies(job(1100 + round, "batch", 1, 1.0), &[&first]);
                simulation.register_job(&dependent);
                let (status, answer) = simulation
                    .send_request(1, "POST", "/submissions", Some(&dependent))
                    .await;
                assert!(
                    [200, 201, 503].contains(&status),
                    "{trouble}: {status} {answer}"
                );
                let dependent_of_unknown =
                    with_dependencies(job(1200 + round, "batch", 1, 1.0), &["job-000777"]);
                let (status, answer) = simulation
                    .send_request(1, "POST", "/submissions", Some(&dependent_of_unknown))
                    .await;
                let expected = match trouble {
                    "one controller refused" => &[503][..],
                    _ => &[422, 503],
                };
                assert!(expected.contains(&status), "{trouble}: {status} {answer}");
                simulation.submit(dependent).await;
            }
            simulation.state.fault_options.replace(Default::default());
            for round in 0..8 {
                simulation
                    .wait_for_stage(&format!("job-{:06}", 1100 + round), "done", 100)
                    .await;
            }
            simulation.assert_no_violations();
        });
    }
}

/// Checks that a list of dependencies must also fit the lower limits that the setting
/// `state.next` announces. A list that fits only the present limits is rejected permanently. With
/// a shorter list, the job is accepted and runs under the lower limits. A repeated submission of
/// an accepted job returns the job's stage, whatever its list of dependencies is.
#[test]
fn dependency_lists_must_fit_the_next_record_limits() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::new(440).await;
        *simulation.next.borrow_mut() = json!({"value_kb": 2.0, "txn_ops": 4});
        for i in 0..CONTROLLERS {
            simulation.kill_controller(i);
            simulation.start(i);
        }
        assert_new_jobs_complete(&simulation, 100, "before the fault").await;
        let running = simulation.submit(job(1, "batch", 1, 60.0)).await;
        let mut dependencies = vec![running];
        for n in 0..160 {
            let mut submission =
                with_dependencies(job(2000 + n, "batch", 1, 0.2), &[&dependencies[0]]);
            submission["vcpus"] = json!(0.1);
            dependencies.push(simulation.submit(submission).await);
        }
        let list = |count: usize| {
            dependencies[..count]
                .iter()
                .map(String::as_str)
                .collect::<Vec<_>>()
        };
        for (n, count, expected) in [(2, 161, 400), (3, 90, 201)] {
            let submission = with_dependencies(job(n, "batch", 2, 1.0), &list(count));
            simulation.register_job(&submission);
            let (status, answer) = simulation
                .send_request(1, "POST", "/submissions", Some(&submission))
                .await;
            assert_eq!(status, expected, "{count} names: {answer}");
        }
        let repeated = with_dependencies(job(3, "batch", 2, 1.0), &list(161));
        for i in 0..CONTROLLERS {
            let (status, _) = simulation
                .send_request(i, "POST", "/submissions", Some(&repeated))
                .await;
            assert_eq!(status, 200);
        }
        let mut limits = simulation.state.limits.get();
        limits.value_limit_bytes = 2048;
        limits.txn_ops = 4;
        simulation.state.limits.set(limits);
        simulation.wait_for_stage("job-000003", "done", 300).await;
        assert_eq!(
            simulation.state.rejected_commits.borrow().clone(),
            Vec::<String>::new()
        );
        simulation.assert_no_violations();
    });
}

/// Checks that the time for which a cancellation waits for the write budget is limited,
/// even at a low write rate.
#[test]
fn wait_for_the_write_budget_is_limited() {
    run_in_simulated_time(|| async {
        let shape = DeploymentOptions {
            state: json!({"rps": 150.0, "write_rps": 9.0, "value_kb": 8.0, "txn_ops": 12}),
            ..DeploymentOptions::default()
        };
        let simulation = Simulation::with_options(450, shape).await;
        let mut ids = Vec::new();
        for n in 0..40 {
            ids.push(simulation.submit(job(1 + n, "batch", 1, 900.0)).await);
        }
        let cancellations: Vec<_> = ids
            .into_iter()
            .map(|id| {
                let simulation = simulation.clone();
                spawn_local(async move {
                    let start = Instant::now();
                    let confirmed = simulation.cancel(0, &id).await;
                    (confirmed, start.elapsed())
                })
            })
            .collect();
        let (mut confirmed, mut longest) = (0, Duration::ZERO);
        for cancellation in cancellations {
            let (answer, response_time) = cancellation.await.expect("an answer");
            confirmed += usize::from(answer.is_some());
            longest = longest.max(response_time);
        }
        assert!(longest < MAX_RESPONSE_TIME, "{longest:?}");
        assert!(
            (1..40).contains(&confirmed),
            "{confirmed} cancellations were confirmed: the budget did not limit them"
        );
    });
}
