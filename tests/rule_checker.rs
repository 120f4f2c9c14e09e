//! The rule checker of the stand-ins, fed with each violation: it reports the
//! rule, and the same history without the violation passes. A scripted controller
//! gives the orders and the answers, since the program must not.

// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::{Rule, ScriptedController, Shape, World, after, in_world, job};
use tokio::time::sleep;

const FIRST: &str = "job-000001";
const SECOND: &str = "job-000002";

/// The machines with even numbers are in zone a, the others in zone b.
const MACHINES: usize = 4;

/// One event of a history. A machine is its number; a stage may be empty where
/// the status says all.
enum Step {
    Submit(Value),
    /// A submission that gets this status.
    SubmitTo(Value, u16),
    /// A poll of a job that gets this status and stage.
    Poll(&'static str, u16, &'static str),
    /// A cancellation that gets this status and stage.
    Cancel(&'static str, u16, &'static str),
    Launch(usize, &'static str),
    Stop(usize, &'static str),
    /// A machine stands still for some seconds.
    Hang(usize, f64),
    /// A machine and all on it are gone.
    Lose(usize),
    /// A stored record.
    Record(&'static str, Value),
    /// Polls every 5 s, as a user's, of each job, for some seconds: job, status.
    PollFor(f64, Vec<(&'static str, u16)>),
    WaitReason(f64),
}

use Step::{Cancel, Hang, Launch, Lose, Poll, PollFor, Record, Stop, Submit, SubmitTo, WaitReason};

/// A history that goes on in two ways.
struct Case {
    name: &'static str,
    rule: Rule,
    before: fn() -> Vec<Step>,
    lawful: fn() -> Vec<Step>,
    violation: fn() -> Vec<Step>,
}

async fn play(world: &Rc<World>, controller: &ScriptedController, steps: Vec<Step>) {
    for step in steps {
        match step {
            Submit(job) => submit(world, controller, &job, 201).await,
            SubmitTo(job, status) => submit(world, controller, &job, status).await,
            Poll(id, status, stage) => {
                controller.answer_next(status, stage);
                world.stage(0, id).await;
            }
            Cancel(id, status, stage) => {
                controller.answer_next(status, stage);
                world.withdraw(0, id).await;
            }
            Launch(machine, task) => controller.order(machine, "launch", task).await,
            Stop(machine, task) => controller.order(machine, "stop", task).await,
            Hang(machine, seconds) => {
                let name = format!("host-{machine:06}");
                let worker = world.workers.borrow()[&name].0.clone();
                worker.hang(Duration::from_secs_f64(seconds));
            }
            Lose(machine) => world.lose(&format!("host-{machine:06}")),
            Record(key, value) => world.state.write(key, &value),
            PollFor(seconds, jobs) => poll_for(world, controller, seconds, &jobs).await,
            WaitReason(seconds) => sleep(Duration::from_secs_f64(seconds)).await,
        }
    }
}

async fn submit(world: &Rc<World>, controller: &ScriptedController, job: &Value, status: u16) {
    world.remember(job);
    controller.answer_next(status, "queued");
    world.ask(0, "POST", "/submissions", Some(job)).await;
}

async fn poll_for(
    world: &Rc<World>,
    controller: &ScriptedController,
    seconds: f64,
    jobs: &[(&str, u16)],
) {
    const PERIOD_S: f64 = 5.0;
    for _ in 0..(seconds / PERIOD_S) as usize {
        for (id, status) in jobs {
            controller.answer_next(*status, "queued");
            world.stage(0, id).await;
        }
        sleep(Duration::from_secs_f64(PERIOD_S)).await;
    }
}

/// What the checker reports of a history.
async fn violations_of(zone_shards: [Vec<Step>; 2]) -> Vec<String> {
    let shape = Shape {
        controllers: 1,
        locations: vec!["a"],
        machines: MACHINES,
        ..Shape::default()
    };
    let world = World::without_controllers(1, shape).await;
    let controller = ScriptedController::serve(&world).await;
    // The machines boot, and their leases are renewed.
    sleep(Duration::from_secs(6)).await;
    for steps in zone_shards {
        play(&world, &controller, steps).await;
    }
    world.violations()
}

/// Plays the cases both ways.
fn check(cases: Vec<Case>) {
    for case in cases {
        in_world(|| async {
            let lawful = violations_of([(case.before)(), (case.lawful)()]).await;
            assert_eq!(lawful, Vec::<String>::new(), "{}: lawful", case.name);
            let reported = violations_of([(case.before)(), (case.violation)()]).await;
            let prefix = format!("{}: ", case.rule.name());
            assert!(!reported.is_empty(), "{}: nothing reported", case.name);
            assert!(
                reported.iter().all(|text| text.starts_with(&prefix)),
                "{}: {reported:?}",
                case.name
            );
        });
    }
}

/// A batch whose tasks take long.
fn long_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 1000.0)
}

/// A batch whose tasks take five seconds.
fn short_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 5.0)
}

/// The job with one field altered.
fn with(mut job: Value, field: &str, value: Value) -> Value {
    job[field] = value;
    job
}

/// A task of another job: so that something has run.
fn unrelated_start() -> Vec<Step> {
    vec![Submit(job(9, "daemon", 1, 0.0)), Launch(3, "job-000009/0")]
}

/// A history in which something unrelated has run.
fn beside(steps: Vec<Step>) -> Vec<Step> {
    unrelated_start().into_iter().chain(steps).collect()
}

fn ran_twice() -> Vec<Case> {
    vec![
        Case {
            name: "a second start elsewhere",
            rule: Rule::RanTwice,
            before: || vec![Submit(long_batch(1)), Launch(0, "job-000001/0")],
            lawful: || vec![Stop(0, "job-000001/0"), Launch(1, "job-000001/0")],
            violation: || vec![Launch(1, "job-000001/0")],
        },
        Case {
            name: "a start after its machine is gone, or before",
            rule: Rule::RanTwice,
            before: || vec![Submit(long_batch(1)), Launch(0, "job-000001/0")],
            lawful: || vec![Lose(0), Launch(2, "job-000001/0")],
            violation: || vec![Launch(2, "job-000001/0"), Lose(0)],
        },
        Case {
            name: "a machine that hangs keeps its task until its lease is over",
            rule: Rule::RanTwice,
            before: || {
                vec![
                    Submit(long_batch(1)),
                    Launch(0, "job-000001/0"),
                    Hang(0, 60.0),
                    WaitReason(5.0),
                ]
            },
            lawful: || vec![WaitReason(7.0), Launch(1, "job-000001/0")],
            violation: || vec![Launch(1, "job-000001/0")],
        },
        Case {
            name: "a task that has ended may start again",
            rule: Rule::RanTwice,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Launch(0, "job-000001/0"),
                    WaitReason(4.0),
                ]
            },
            lawful: || vec![WaitReason(2.0), Launch(1, "job-000001/0")],
            violation: || vec![Launch(1, "job-000001/0")],
        },
    ]
}

fn quota() -> Vec<Case> {
    // Six tasks of two CPUs are the limit of team t, four that of team u.
    vec![
        Case {
            name: "a task more than the team's limit allows",
            rule: Rule::Quota,
            before: || {
                vec![
                    Submit(long_batch(7)),
                    Launch(0, "job-000001/0"),
                    Launch(0, "job-000001/1"),
                    Launch(1, "job-000001/2"),
                    Launch(1, "job-000001/3"),
                    Launch(2, "job-000001/4"),
                    Launch(2, "job-000001/5"),
                    WaitReason(1.0),
                ]
            },
            lawful: || {
                vec![
                    Stop(0, "job-000001/0"),
                    Launch(3, "job-000001/6"),
                    WaitReason(1.0),
                ]
            },
            violation: || vec![Launch(3, "job-000001/6"), WaitReason(1.0)],
        },
        Case {
            name: "two jobs of one team, or of two",
            rule: Rule::Quota,
            before: || {
                let big = |n| with(job(n, "daemon", 1, 0.0), "vcpus", json!(7.0));
                vec![
                    Submit(big(1)),
                    Submit(big(2)),
                    Submit(with(big(3), "crew", json!("u"))),
                    Launch(0, "job-000001/0"),
                ]
            },
            lawful: || vec![Launch(1, "job-000003/0"), WaitReason(1.0)],
            violation: || vec![Launch(1, "job-000002/0"), WaitReason(1.0)],
        },
    ]
}

fn wrong_place() -> Vec<Case> {
    vec![
        Case {
            name: "a machine type that is not allowed",
            rule: Rule::WrongPlace,
            before: || {
                vec![
                    Submit(with(long_batch(1), "grades", json!(["small"]))),
                    Submit(with(
                        job(2, "batch", 1, 9.0),
                        "grades",
                        json!(["small", "big"]),
                    )),
                ]
            },
            lawful: || vec![Launch(0, "job-000002/0")],
            violation: || vec![Launch(0, "job-000001/0")],
        },
        Case {
            name: "a zone that is not allowed",
            rule: Rule::WrongPlace,
            before: || vec![Submit(with(long_batch(1), "yard", json!("b")))],
            lawful: || vec![Launch(1, "job-000001/0")],
            violation: || vec![Launch(0, "job-000001/0")],
        },
        Case {
            name: "two zones of a job that must be in one",
            rule: Rule::WrongPlace,
            before: || {
                vec![
                    Submit(with(long_batch(2), "same_place", json!(true))),
                    Launch(0, "job-000001/0"),
                ]
            },
            lawful: || vec![Launch(2, "job-000001/1")],
            violation: || vec![Launch(1, "job-000001/1")],
        },
        Case {
            name: "more than half, rounded up, in one zone",
            rule: Rule::WrongPlace,
            before: || {
                vec![
                    Submit(with(long_batch(3), "scatter", json!(true))),
                    Launch(0, "job-000001/0"),
                    Launch(2, "job-000001/1"),
                ]
            },
            lawful: || vec![Launch(1, "job-000001/2")],
            violation: || vec![Launch(0, "job-000001/2")],
        },
    ]
}

fn ran_cancelled() -> Vec<Case> {
    // `cancel_s` is 30.
    vec![
        Case {
            name: "a task that stays on its machine",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(long_batch(1)),
                    Launch(0, "job-000001/0"),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(29.0),
                ]
            },
            lawful: || vec![Stop(0, "job-000001/0"), WaitReason(3.0)],
            violation: || vec![WaitReason(3.0)],
        },
        Case {
            name: "a second confirmation gives no more time",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(long_batch(1)),
                    Launch(0, "job-000001/0"),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(20.0),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(9.0),
                ]
            },
            lawful: || vec![Stop(0, "job-000001/0"), WaitReason(3.0)],
            violation: || vec![WaitReason(3.0)],
        },
        Case {
            name: "a start",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(long_batch(1)),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(29.0),
                ]
            },
            lawful: || vec![Launch(0, "job-000001/0"), Stop(0, "job-000001/0")],
            violation: || {
                vec![
                    WaitReason(2.0),
                    Launch(0, "job-000001/0"),
                    Stop(0, "job-000001/0"),
                ]
            },
        },
        Case {
            name: "a task after a cancelled job",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Submit(after(job(2, "daemon", 1, 0.0), &[FIRST])),
                    Launch(0, "job-000001/0"),
                    WaitReason(6.0),
                    Launch(1, "job-000002/0"),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(29.0),
                ]
            },
            lawful: || vec![Stop(1, "job-000002/0"), WaitReason(3.0)],
            violation: || vec![WaitReason(3.0)],
        },
    ]
}

fn forgotten() -> Vec<Case> {
    let accepted = || beside(vec![Submit(long_batch(1))]);
    vec![
        Case {
            name: "a poll gets 404",
            rule: Rule::Forgotten,
            before: accepted,
            lawful: || vec![Poll(FIRST, 503, ""), Poll(SECOND, 404, "")],
            violation: || vec![Poll(FIRST, 404, "")],
        },
        Case {
            name: "a repeated submission gets 400",
            rule: Rule::Forgotten,
            before: accepted,
            lawful: || vec![SubmitTo(long_batch(1), 200), SubmitTo(long_batch(1), 503)],
            violation: || vec![SubmitTo(long_batch(1), 400)],
        },
        Case {
            name: "a repeated submission gets 422",
            rule: Rule::Forgotten,
            before: accepted,
            lawful: || vec![SubmitTo(job(2, "batch", 1, 1.0), 422)],
            violation: || vec![SubmitTo(long_batch(1), 422)],
        },
        Case {
            name: "a cancellation gets 404",
            rule: Rule::Forgotten,
            before: accepted,
            lawful: || vec![Cancel(FIRST, 504, "")],
            violation: || vec![Cancel(FIRST, 404, "")],
        },
        Case {
            name: "every poll fails for 90 s while others are answered",
            rule: Rule::Forgotten,
            before: || {
                let mut steps = beside(vec![Submit(long_batch(1))]);
                steps.push(PollFor(85.0, vec![("job-000009", 200), (FIRST, 503)]));
                steps
            },
            lawful: || {
                vec![
                    PollFor(5.0, vec![(FIRST, 200)]),
                    PollFor(85.0, vec![("job-000009", 200), (FIRST, 503)]),
                ]
            },
            violation: || vec![PollFor(15.0, vec![("job-000009", 200), (FIRST, 503)])],
        },
        Case {
            name: "every poll fails for 90 s, of all jobs or of one",
            rule: Rule::Forgotten,
            before: || beside(vec![Submit(long_batch(1))]),
            lawful: || vec![PollFor(300.0, vec![("job-000009", 503), (FIRST, 0)])],
            violation: || vec![PollFor(100.0, vec![("job-000009", 200), (FIRST, 429)])],
        },
    ]
}

fn invented() -> Vec<Case> {
    vec![
        Case {
            name: "a poll for a job that nobody submitted",
            rule: Rule::Invented,
            before: unrelated_start,
            lawful: || vec![Poll(FIRST, 404, ""), Poll("job-000009", 200, "running")],
            violation: || vec![Poll(FIRST, 200, "queued")],
        },
        Case {
            name: "a cancellation of a job that nobody submitted",
            rule: Rule::Invented,
            before: unrelated_start,
            lawful: || vec![Cancel(FIRST, 404, "")],
            violation: || vec![Cancel(FIRST, 200, "aborted")],
        },
    ]
}

fn not_done() -> Vec<Case> {
    vec![
        Case {
            name: "a task still runs",
            rule: Rule::NotDone,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Launch(0, "job-000001/0"),
                    WaitReason(4.0),
                ]
            },
            lawful: || vec![WaitReason(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "one task of two has never run",
            rule: Rule::NotDone,
            before: || {
                vec![
                    Submit(short_batch(2)),
                    Launch(0, "job-000001/0"),
                    WaitReason(6.0),
                ]
            },
            lawful: || {
                vec![
                    Launch(1, "job-000001/1"),
                    WaitReason(6.0),
                    Poll(FIRST, 200, "done"),
                ]
            },
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a stopped task has not completed",
            rule: Rule::NotDone,
            before: || vec![Submit(short_batch(1)), Launch(0, "job-000001/0")],
            lawful: || vec![WaitReason(6.0), Poll(FIRST, 200, "done")],
            violation: || {
                vec![
                    Stop(0, "job-000001/0"),
                    WaitReason(6.0),
                    Poll(FIRST, 200, "done"),
                ]
            },
        },
        Case {
            name: "a gang's tasks complete together",
            rule: Rule::NotDone,
            before: || {
                vec![
                    Submit(job(1, "gang", 2, 5.0)),
                    Launch(0, "job-000001/0"),
                    Launch(1, "job-000001/1"),
                    WaitReason(4.0),
                ]
            },
            lawful: || vec![WaitReason(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a cancellation and a submission are told so, too",
            rule: Rule::NotDone,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Launch(0, "job-000001/0"),
                    WaitReason(4.0),
                ]
            },
            lawful: || vec![WaitReason(2.0), Cancel(FIRST, 200, "done")],
            violation: || vec![Cancel(FIRST, 200, "done")],
        },
    ]
}

fn went_back() -> Vec<Case> {
    let done = || {
        vec![
            Submit(short_batch(1)),
            Launch(0, "job-000001/0"),
            WaitReason(6.0),
            Poll(FIRST, 200, "done"),
        ]
    };
    let cancelled = || {
        vec![
            Submit(short_batch(1)),
            Launch(0, "job-000001/0"),
            WaitReason(6.0),
            Cancel(FIRST, 200, "aborted"),
        ]
    };
    vec![
        Case {
            name: "done, then running",
            rule: Rule::WentBack,
            before: done,
            lawful: || vec![Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "running")],
        },
        Case {
            name: "done, then a repeated submission is queued",
            rule: Rule::WentBack,
            before: done,
            lawful: || vec![Cancel(FIRST, 200, "done")],
            violation: || vec![SubmitTo(short_batch(1), 200)],
        },
        Case {
            name: "done, then cancelled",
            rule: Rule::WentBack,
            before: done,
            lawful: || vec![Cancel(FIRST, 503, "")],
            violation: || vec![Cancel(FIRST, 200, "aborted")],
        },
        Case {
            name: "cancelled, then queued",
            rule: Rule::WentBack,
            before: cancelled,
            lawful: || vec![Poll(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "queued")],
        },
        Case {
            name: "cancelled, then done",
            rule: Rule::WentBack,
            before: cancelled,
            lawful: || vec![Cancel(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "called cancelled though its user did not cancel",
            rule: Rule::WentBack,
            before: || beside(vec![Submit(long_batch(1))]),
            lawful: || vec![Cancel(FIRST, 503, ""), Poll(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "aborted")],
        },
        Case {
            name: "called cancelled though no job that it awaits was",
            rule: Rule::WentBack,
            before: || {
                beside(vec![
                    Submit(long_batch(1)),
                    Submit(after(job(2, "batch", 1, 1.0), &[FIRST])),
                    Submit(after(job(3, "batch", 1, 1.0), &[SECOND])),
                ])
            },
            lawful: || {
                vec![
                    Cancel(FIRST, 200, "aborted"),
                    Poll("job-000003", 200, "aborted"),
                ]
            },
            violation: || vec![Poll("job-000003", 200, "aborted")],
        },
    ]
}

/// What follows from the protocol's text and has a name of its own.
fn further_rules() -> Vec<Case> {
    vec![
        Case {
            name: "a start before the awaited job is done",
            rule: Rule::TooEarly,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Submit(after(job(2, "batch", 1, 1.0), &[FIRST])),
                    Launch(0, "job-000001/0"),
                    WaitReason(4.0),
                ]
            },
            lawful: || vec![WaitReason(2.0), Launch(1, "job-000002/0")],
            violation: || vec![Launch(1, "job-000002/0")],
        },
        Case {
            name: "a job after a cancelled one is still queued",
            rule: Rule::Orphaned,
            before: || {
                beside(vec![
                    Submit(long_batch(1)),
                    Submit(after(job(2, "batch", 1, 1.0), &[FIRST])),
                    Cancel(FIRST, 200, "aborted"),
                    WaitReason(29.0),
                    Poll(SECOND, 200, "queued"),
                ])
            },
            lawful: || vec![WaitReason(2.0), Poll(SECOND, 200, "aborted")],
            violation: || vec![WaitReason(2.0), Poll(SECOND, 200, "queued")],
        },
        Case {
            name: "a task of a job that nobody submitted",
            rule: Rule::UnknownJob,
            before: || vec![Submit(long_batch(1))],
            lawful: || vec![Launch(0, "job-000001/0")],
            violation: || vec![Launch(0, "job-000002/0")],
        },
        Case {
            name: "no task was started",
            rule: Rule::NothingRan,
            before: || vec![Submit(long_batch(1)), WaitReason(5.0)],
            lawful: || vec![Launch(0, "job-000001/0")],
            violation: Vec::new,
        },
        Case {
            name: "a machine in two groups",
            rule: Rule::Misplaced,
            before: || {
                beside(vec![Record(
                    "sh/machine/a",
                    machine_shard_of("host-000000"),
                )])
            },
            lawful: || vec![Record("sh/machine/b", machine_shard_of("host-000001"))],
            violation: || vec![Record("sh/machine/b", machine_shard_of("host-000000"))],
        },
        Case {
            name: "a machine in two shards",
            rule: Rule::Misplaced,
            before: || beside(vec![Record("sh/zone/a", shard_of("host-000000"))]),
            lawful: || vec![Record("sh/zone/b", shard_of("host-000001"))],
            violation: || vec![Record("sh/zone/b", shard_of("host-000000"))],
        },
    ]
}

/// The stored record of a machine shard with one machine.
fn machine_shard_of(machine: &str) -> Value {
    json!({"m": {machine: {"h": "n0", "i": 1, "k": 1, "s": [1, 1], "f": "a", "t": "big"}}})
}

/// The stored record of a shard with one machine.
fn shard_of(machine: &str) -> Value {
    json!({"m": {machine: {"t": "big", "f": {"c": 8000, "g": 0, "m": 16000}}}})
}

#[test]
fn a_task_on_two_machines_is_reported() {
    check(ran_twice());
}

#[test]
fn a_team_beyond_its_limit_is_reported() {
    check(quota());
}

#[test]
fn a_start_on_a_machine_that_is_not_allowed_is_reported() {
    check(wrong_place());
}

#[test]
fn a_task_that_outlives_its_cancellation_is_reported() {
    check(ran_cancelled());
}

#[test]
fn a_forgotten_job_is_reported() {
    check(forgotten());
}

#[test]
fn an_invented_job_is_reported() {
    check(invented());
}

#[test]
fn a_job_called_done_too_early_is_reported() {
    check(not_done());
}

#[test]
fn an_answer_that_goes_back_is_reported() {
    check(went_back());
}

#[test]
fn violations_of_the_further_rules_are_reported() {
    check(further_rules());
}

#[test]
fn every_rule_has_a_case() {
    let cases = [
        ran_twice(),
        quota(),
        wrong_place(),
        ran_cancelled(),
        forgotten(),
        invented(),
        not_done(),
        went_back(),
        further_rules(),
    ];
    let with_case: Vec<Rule> = cases.iter().flatten().map(|case| case.rule).collect();
    for rule in Rule::ALL {
        assert!(with_case.contains(&rule), "no case for {}", rule.name());
    }
}

/// The checker goes on after a report: a second violation is found, too.
#[test]
fn what_follows_a_violation_is_still_judged() {
    in_world(|| async {
        let unknown = vec![Launch(0, "job-000002/0"), WaitReason(1.0)];
        let second = vec![
            Submit(long_batch(1)),
            Launch(0, "job-000001/0"),
            Cancel(FIRST, 200, "aborted"),
            WaitReason(32.0),
        ];
        let reported = violations_of([unknown, second]).await;
        let rules: Vec<&str> = reported
            .iter()
            .filter_map(|t| t.split(':').next())
            .collect();
        assert_eq!(rules, ["unknown_job", "ran_cancelled"], "{reported:?}");
    });
}
