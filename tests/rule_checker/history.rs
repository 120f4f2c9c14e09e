//! Histories that are played to the checker in two ways: lawful, and with a violation.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::stand_ins::{Rule, ScriptedController, Shape, World, in_world, job};

pub const FIRST: &str = "job-000001";
pub const SECOND: &str = "job-000002";

/// The first task of the first job.
pub const FIRST_TASK: &str = "job-000001/0";

/// The machines with even numbers are in zone a, the others in zone b.
pub const MACHINE_COUNT: usize = 4;

/// One event of a history. A machine is its number; a stage may be empty where
/// the status says all.
pub enum Step {
    Submit(Value),
    /// A submission that gets this status.
    SubmitAnswered(Value, u16),
    /// A poll of a job that gets this status and stage.
    Poll(&'static str, u16, &'static str),
    /// A cancellation that gets this status and stage.
    Cancel(&'static str, u16, &'static str),
    StartTask(usize, &'static str),
    StopTask(usize, &'static str),
    /// A machine stands still for some seconds.
    HangMachine(usize, f64),
    /// A machine and all on it are gone.
    LoseMachine(usize),
    /// A stored record.
    WriteRecord(&'static str, Value),
    /// Polls every 5 s, as a user's, of each job, for some seconds: job, status.
    PollFor(f64, Vec<(&'static str, u16)>),
    /// Some seconds go by.
    Elapse(f64),
}

pub use Step::{
    Cancel, Elapse, HangMachine, LoseMachine, Poll, PollFor, StartTask, StopTask, Submit,
    SubmitAnswered, WriteRecord,
};

/// A history that goes on in two ways.
pub struct Case {
    pub name: &'static str,
    pub rule: Rule,
    pub setup: fn() -> Vec<Step>,
    pub compliant: fn() -> Vec<Step>,
    pub violation: fn() -> Vec<Step>,
}

pub async fn run_steps(world: &Rc<World>, controller: &ScriptedController, steps: Vec<Step>) {
    for step in steps {
        match step {
            Submit(job) => submit(world, controller, &job, 201).await,
            SubmitAnswered(job, status) => submit(world, controller, &job, status).await,
            Poll(id, status, stage) => {
                controller.queue_response(status, stage);
                world.stage(0, id).await;
            }
            Cancel(id, status, stage) => {
                controller.queue_response(status, stage);
                world.withdraw(0, id).await;
            }
            StartTask(machine, task) => controller.send_command(machine, "launch", task).await,
            StopTask(machine, task) => controller.send_command(machine, "stop", task).await,
            HangMachine(machine, seconds) => {
                let name = format!("host-{machine:06}");
                let worker = world.workers.borrow()[&name].0.clone();
                worker.hang(Duration::from_secs_f64(seconds));
            }
            LoseMachine(machine) => world.lose(&format!("host-{machine:06}")),
            WriteRecord(key, value) => world.state.write(key, &value),
            PollFor(seconds, jobs) => poll_repeatedly(world, controller, seconds, &jobs).await,
            Elapse(seconds) => sleep(Duration::from_secs_f64(seconds)).await,
        }
    }
}

pub async fn submit(world: &Rc<World>, controller: &ScriptedController, job: &Value, status: u16) {
    world.remember(job);
    controller.queue_response(status, "queued");
    world.ask(0, "POST", "/submissions", Some(job)).await;
}

pub async fn poll_repeatedly(
    world: &Rc<World>,
    controller: &ScriptedController,
    seconds: f64,
    jobs: &[(&str, u16)],
) {
    const PERIOD_S: f64 = 5.0;
    for _ in 0..(seconds / PERIOD_S) as usize {
        for (id, status) in jobs {
            controller.queue_response(*status, "queued");
            world.stage(0, id).await;
        }
        sleep(Duration::from_secs_f64(PERIOD_S)).await;
    }
}

/// What the checker reports of a history.
pub async fn reported_violations(zone_shards: [Vec<Step>; 2]) -> Vec<String> {
    let shape = Shape {
        controllers: 1,
        locations: vec!["a"],
        machines: MACHINE_COUNT,
        ..Shape::default()
    };
    let world = World::without_controllers(1, shape).await;
    let controller = ScriptedController::serve(&world).await;
    // The machines boot, and their leases are renewed.
    sleep(Duration::from_secs(6)).await;
    for steps in zone_shards {
        run_steps(&world, &controller, steps).await;
    }
    world.violations()
}

/// Plays the cases both ways.
pub fn check_cases(cases: Vec<Case>) {
    for case in cases {
        in_world(|| async {
            let lawful = reported_violations([(case.setup)(), (case.compliant)()]).await;
            assert_eq!(lawful, Vec::<String>::new(), "{}: lawful", case.name);
            let reported = reported_violations([(case.setup)(), (case.violation)()]).await;
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
pub fn long_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 1000.0)
}

/// A batch whose tasks take five seconds.
pub fn short_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 5.0)
}

/// A batch of one short task, which started on machine 0 so many seconds ago.
pub fn short_task_started(seconds: f64) -> Vec<Step> {
    vec![
        Submit(short_batch(1)),
        StartTask(0, FIRST_TASK),
        Elapse(seconds),
    ]
}

/// A batch of one long task, which has just started on machine 0.
pub fn long_task_started() -> Vec<Step> {
    vec![Submit(long_batch(1)), StartTask(0, FIRST_TASK)]
}

/// The steps, and further ones after them.
pub fn followed_by(mut steps: Vec<Step>, further: Vec<Step>) -> Vec<Step> {
    steps.extend(further);
    steps
}

/// The job with one field altered.
pub fn with_field(mut job: Value, field: &str, value: Value) -> Value {
    job[field] = value;
    job
}

/// A task of another job: so that something has run.
pub fn unrelated_start() -> Vec<Step> {
    vec![
        Submit(job(9, "daemon", 1, 0.0)),
        StartTask(3, "job-000009/0"),
    ]
}

/// A history in which something unrelated has run.
pub fn after_unrelated_start(steps: Vec<Step>) -> Vec<Step> {
    unrelated_start().into_iter().chain(steps).collect()
}
