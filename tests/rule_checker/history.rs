//! Histories: sequences of steps that a test performs in a deployment while the rule checker
//! observes it. Each case is run twice, once with a violation of a rule and once without.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::stand_ins::{
    DeploymentOptions, Rule, ScriptedController, Simulation, job, run_in_simulated_time,
};

/// ID of the first job.
pub const FIRST: &str = "job-000001";
/// ID of the second job.
pub const SECOND: &str = "job-000002";

/// ID of the first task of the first job.
pub const FIRST_TASK: &str = "job-000001/0";

/// Number of commands that a message contains at most.
const COMMANDS_PER_MESSAGE: usize = 300;

/// Number of machines. Those with even numbers are in zone a, the others in zone b.
pub const MACHINE_COUNT: usize = 4;

/// A step of a history. Machines are given by number. A stage is the job's stage in the
/// response; it may be empty for a status whose responses contain no stage.
pub enum Step {
    /// Submits a job as a user. The response has status 201 (accepted).
    Submit(Value),
    /// Submits a job as a user. The response has this status.
    SubmitWithStatus(Value, u16),
    /// Polls a job as a user. The response has this status and stage.
    Poll(&'static str, u16, &'static str),
    /// Cancels a job as a user. The response has this status and stage.
    Cancel(&'static str, u16, &'static str),
    /// Sends a machine the controller's command to start a task.
    StartTask(usize, &'static str),
    /// Sends a machine the controller's commands to start this number of tasks of the first job.
    StartTasks(usize, usize),
    /// Sends a machine the controller's command to stop a task.
    StopTask(usize, &'static str),
    /// Sends a machine the controller's command to forget a task.
    ForgetTask(usize, &'static str),
    /// Delivers copies of all commands that machines have executed so far.
    RepeatCommands,
    /// Makes the worker of a machine hang for this number of seconds.
    HangMachine(usize, f64),
    /// Removes a machine with all of its tasks, as if it were lost.
    LoseMachine(usize),
    /// Writes a record to the state service under this key.
    WriteRecord(&'static str, Value),
    /// Polls each job as a user every 5 s for this number of seconds. All responses about a
    /// job have the status given for it.
    PollFor(f64, Vec<(&'static str, u16)>),
    /// Advances the simulated clock by this number of seconds.
    Elapse(f64),
}

pub use Step::{
    Cancel, Elapse, ForgetTask, HangMachine, LoseMachine, Poll, PollFor, RepeatCommands, StartTask,
    StartTasks, StopTask, Submit, SubmitWithStatus, WriteRecord,
};

/// A case of the rule checker: a history that continues once with a violation of a rule and
/// once without.
pub struct Case {
    pub name: &'static str,
    /// The rule that the checker must report.
    pub rule: Rule,
    /// Steps that both continuations start with.
    pub setup: fn() -> Vec<Step>,
    /// Steps after the setup that keep to the rules.
    pub compliant: fn() -> Vec<Step>,
    /// Steps after the setup that violate the rule.
    pub violation: fn() -> Vec<Step>,
}

/// Performs the steps of a history in their order.
pub async fn run_steps(
    simulation: &Rc<Simulation>,
    controller: &ScriptedController,
    steps: Vec<Step>,
) {
    for step in steps {
        match step {
            Submit(job) => submit(simulation, controller, &job, 201).await,
            SubmitWithStatus(job, status) => submit(simulation, controller, &job, status).await,
            Poll(id, status, stage) => {
                controller.queue_response(status, stage);
                simulation.query_stage(0, id).await;
            }
            Cancel(id, status, stage) => {
                controller.queue_response(status, stage);
                simulation.cancel(0, id).await;
            }
            StartTask(machine, task) => controller.send_command(machine, "launch", task).await,
            StartTasks(machine, count) => {
                let tasks: Vec<String> = (0..count).map(|n| format!("{FIRST}/{n}")).collect();
                for message in tasks.chunks(COMMANDS_PER_MESSAGE) {
                    controller.send_commands(machine, "launch", message).await;
                }
            }
            StopTask(machine, task) => controller.send_command(machine, "stop", task).await,
            ForgetTask(machine, task) => controller.send_command(machine, "forget", task).await,
            RepeatCommands => simulation.deliver_kept_calls().await,
            HangMachine(machine, seconds) => {
                let name = format!("host-{machine:06}");
                let worker = simulation.workers.borrow()[&name].0.clone();
                worker.hang(Duration::from_secs_f64(seconds));
            }
            LoseMachine(machine) => simulation.lose_machine(&format!("host-{machine:06}")),
            WriteRecord(key, value) => simulation.state.write(key, &value),
            PollFor(seconds, jobs) => poll_repeatedly(simulation, controller, seconds, &jobs).await,
            Elapse(seconds) => sleep(Duration::from_secs_f64(seconds)).await,
        }
    }
}

/// Submits a job, with a queued response of this status.
pub async fn submit(
    simulation: &Rc<Simulation>,
    controller: &ScriptedController,
    job: &Value,
    status: u16,
) {
    simulation.register_job(job);
    controller.queue_response(status, "queued");
    simulation
        .send_request(0, "POST", "/submissions", Some(job))
        .await;
}

/// Polls each job every 5 s for `seconds`. All responses about a job have the status that `jobs`
/// gives for it.
pub async fn poll_repeatedly(
    simulation: &Rc<Simulation>,
    controller: &ScriptedController,
    seconds: f64,
    jobs: &[(&str, u16)],
) {
    const INTERVAL_S: f64 = 5.0;
    for _ in 0..(seconds / INTERVAL_S) as usize {
        for (id, status) in jobs {
            controller.queue_response(*status, "queued");
            simulation.query_stage(0, id).await;
        }
        sleep(Duration::from_secs_f64(INTERVAL_S)).await;
    }
}

/// Runs the two parts of a history, and returns the violations that the checker reports.
pub async fn reported_violations(parts: [Vec<Step>; 2]) -> Vec<String> {
    let shape = DeploymentOptions {
        controllers: 1,
        controller_locations: vec!["a"],
        machines: MACHINE_COUNT,
        ..DeploymentOptions::default()
    };
    let simulation = Simulation::without_controllers(1, shape).await;
    simulation.command_copies.keeps_calls.set(true);
    let controller = ScriptedController::serve(&simulation).await;
    // Waits until the machines have booted and their leases are renewed.
    sleep(Duration::from_secs(6)).await;
    for steps in parts {
        run_steps(&simulation, &controller, steps).await;
    }
    simulation.violations()
}

/// Runs each case with and without its violation. Asserts that the checker reports the case's
/// rule for the violation, and reports nothing without it.
pub fn check_cases(cases: Vec<Case>) {
    for case in cases {
        run_in_simulated_time(|| async {
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

/// Returns a batch job whose tasks run for 1,000 s.
pub fn long_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 1000.0)
}

/// Returns a batch job whose tasks run for 5 s.
pub fn short_batch(tasks: u32) -> Value {
    job(1, "batch", tasks, 5.0)
}

/// Returns steps that submit a batch job of one short task, start it on machine 0 and then
/// wait for `seconds`.
pub fn short_task_started(seconds: f64) -> Vec<Step> {
    vec![
        Submit(short_batch(1)),
        StartTask(0, FIRST_TASK),
        Elapse(seconds),
    ]
}

/// Returns steps that submit a batch job of one long task and start it on machine 0.
pub fn long_task_started() -> Vec<Step> {
    vec![Submit(long_batch(1)), StartTask(0, FIRST_TASK)]
}

/// Returns the steps with further ones after them.
pub fn followed_by(mut steps: Vec<Step>, further: Vec<Step>) -> Vec<Step> {
    steps.extend(further);
    steps
}

/// Returns the job with one field replaced.
pub fn with_field(mut job: Value, field: &str, value: Value) -> Value {
    job[field] = value;
    job
}

/// Returns steps that start a task of another job, so that the rule `nothing_ran` is kept.
pub fn unrelated_start() -> Vec<Step> {
    vec![
        Submit(job(9, "daemon", 1, 0.0)),
        StartTask(3, "job-000009/0"),
    ]
}

/// Returns the steps, preceded by those of [`unrelated_start`].
pub fn after_unrelated_start(steps: Vec<Step>) -> Vec<Step> {
    unrelated_start().into_iter().chain(steps).collect()
}
