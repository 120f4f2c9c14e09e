//! Cases for the rules that follow from the protocol's text and have no name there.

use serde_json::{Value, json};

use crate::history::{
    Cancel, Case, Elapse, FIRST, FIRST_TASK, ForgetTask, Poll, RepeatCommands, SECOND, StartTask,
    StartTasks, StopTask, Submit, WriteRecord, after_unrelated_start, followed_by, long_batch,
    long_task_started, short_batch,
};
use crate::stand_ins::{Rule, job, with_dependencies};

/// Returns the cases of the rules that follow from the protocol's text.
pub fn derived_rules() -> Vec<Case> {
    vec![
        Case {
            name: "a start before a dependency is done",
            rule: Rule::TooEarly,
            setup: || {
                vec![
                    Submit(short_batch(1)),
                    Submit(with_dependencies(job(2, "batch", 1, 1.0), &[FIRST])),
                    StartTask(0, FIRST_TASK),
                    Elapse(4.0),
                ]
            },
            compliant: || vec![Elapse(2.0), StartTask(1, "job-000002/0")],
            violation: || vec![StartTask(1, "job-000002/0")],
        },
        Case {
            name: "a job with a cancelled dependency is still queued",
            rule: Rule::Orphaned,
            setup: || {
                after_unrelated_start(vec![
                    Submit(long_batch(1)),
                    Submit(with_dependencies(job(2, "batch", 1, 1.0), &[FIRST])),
                    Cancel(FIRST, 200, "aborted"),
                    Elapse(29.0),
                    Poll(SECOND, 200, "queued"),
                ])
            },
            compliant: || vec![Elapse(2.0), Poll(SECOND, 200, "aborted")],
            violation: || vec![Elapse(2.0), Poll(SECOND, 200, "queued")],
        },
        Case {
            name: "a task of a job that was never submitted",
            rule: Rule::UnknownJob,
            setup: || vec![Submit(long_batch(1))],
            compliant: || vec![StartTask(0, FIRST_TASK)],
            violation: || vec![StartTask(0, "job-000002/0")],
        },
        Case {
            name: "no task was started",
            rule: Rule::NothingRan,
            setup: || vec![Submit(long_batch(1)), Elapse(5.0)],
            compliant: || vec![StartTask(0, FIRST_TASK)],
            violation: Vec::new,
        },
        Case {
            name: "a machine in two machine shards",
            rule: Rule::Misplaced,
            setup: || {
                after_unrelated_start(vec![WriteRecord(
                    "sh/machine/a",
                    machine_shard_of("host-000000"),
                )])
            },
            compliant: || vec![WriteRecord("sh/machine/b", machine_shard_of("host-000001"))],
            violation: || vec![WriteRecord("sh/machine/b", machine_shard_of("host-000000"))],
        },
        Case {
            name: "a machine in two zone shards",
            rule: Rule::Misplaced,
            setup: || {
                after_unrelated_start(vec![
                    WriteRecord("sh/machine/a", machine_shard_of("host-000000")),
                    WriteRecord("sh/machine/b", machine_shard_of("host-000001")),
                    WriteRecord("sh/zone/a", zone_shard_of("host-000000")),
                ])
            },
            compliant: || vec![WriteRecord("sh/zone/b", zone_shard_of("host-000001"))],
            violation: || vec![WriteRecord("sh/zone/b", zone_shard_of("host-000000"))],
        },
        Case {
            name: "a machine without a record in a zone shard",
            rule: Rule::ListedOutOfService,
            setup: || {
                after_unrelated_start(vec![WriteRecord(
                    "sh/machine/a",
                    machine_shard_of("host-000000"),
                )])
            },
            compliant: || vec![WriteRecord("sh/zone/a", zone_shard_of("host-000000"))],
            violation: || vec![WriteRecord("sh/zone/a", zone_shard_of("host-000001"))],
        },
        Case {
            name: "a heartbeat over 64 KiB",
            rule: Rule::MessageSize,
            setup: || vec![Submit(tiny_tasks(1400))],
            compliant: || vec![StartTasks(0, 1000), Elapse(3.0)],
            violation: || vec![StartTasks(0, 1400), Elapse(3.0)],
        },
        Case {
            name: "a copy of a start command for a task that the worker has forgotten",
            rule: Rule::StartedByCopy,
            setup: || followed_by(long_task_started(), vec![StopTask(0, FIRST_TASK)]),
            compliant: || vec![RepeatCommands, ForgetTask(0, FIRST_TASK)],
            violation: || vec![ForgetTask(0, FIRST_TASK), RepeatCommands],
        },
    ]
}

/// Returns an array of this many tasks, which take little of their machine.
fn tiny_tasks(count: u32) -> Value {
    let mut array = job(1, "batch", count, 60.0);
    array["vcpus"] = json!(0.001);
    array
}

/// Returns the stored record of a machine shard with one machine.
fn machine_shard_of(machine: &str) -> Value {
    json!({"m": {machine: {"h": "n0", "i": 1, "k": 1, "s": [1, 1], "f": "a", "t": "big"}}})
}

/// Returns the stored record of a zone shard with one machine.
fn zone_shard_of(machine: &str) -> Value {
    json!({"m": {machine: {"t": "big", "f": {"c": 8000, "g": 0, "m": 16000}}}})
}
