//! Cases of wrong tasks on machines: a task on two machines, tasks above a team's limit, in
//! the wrong zone or on the wrong machine type, or after a cancellation.

use serde_json::json;

use crate::history::{
    Cancel, Case, Elapse, FIRST, FIRST_TASK, HangMachine, LoseMachine, StartTask, StopTask, Submit,
    followed_by, long_batch, long_task_started, short_batch, short_task_started, with_field,
};
use crate::stand_ins::{Rule, job, with_dependencies};

/// Returns cases in which a task runs on two machines.
pub fn ran_twice() -> Vec<Case> {
    vec![
        Case {
            name: "a second start on another machine",
            rule: Rule::RanTwice,
            setup: long_task_started,
            compliant: || vec![StopTask(0, FIRST_TASK), StartTask(1, FIRST_TASK)],
            violation: || vec![StartTask(1, FIRST_TASK)],
        },
        Case {
            name: "a start before the loss of the task's first machine",
            rule: Rule::RanTwice,
            setup: long_task_started,
            compliant: || vec![LoseMachine(0), StartTask(2, FIRST_TASK)],
            violation: || vec![StartTask(2, FIRST_TASK), LoseMachine(0)],
        },
        Case {
            name: "a hung machine keeps its task until its lease expires",
            rule: Rule::RanTwice,
            setup: || followed_by(long_task_started(), vec![HangMachine(0, 60.0), Elapse(5.0)]),
            compliant: || vec![Elapse(7.0), StartTask(1, FIRST_TASK)],
            violation: || vec![StartTask(1, FIRST_TASK)],
        },
        Case {
            name: "a second start before the task has ended",
            rule: Rule::RanTwice,
            setup: || short_task_started(4.0),
            compliant: || vec![Elapse(2.0), StartTask(1, FIRST_TASK)],
            violation: || vec![StartTask(1, FIRST_TASK)],
        },
    ]
}

/// Returns cases in which a team's tasks exceed its limit.
pub fn quota() -> Vec<Case> {
    // The limit of team t is six tasks of two CPUs each, that of team u four.
    vec![
        Case {
            name: "one task more than the team's limit allows",
            rule: Rule::Quota,
            setup: || {
                vec![
                    Submit(long_batch(7)),
                    StartTask(0, FIRST_TASK),
                    StartTask(0, "job-000001/1"),
                    StartTask(1, "job-000001/2"),
                    StartTask(1, "job-000001/3"),
                    StartTask(2, "job-000001/4"),
                    StartTask(2, "job-000001/5"),
                    Elapse(1.0),
                ]
            },
            compliant: || {
                vec![
                    StopTask(0, FIRST_TASK),
                    StartTask(3, "job-000001/6"),
                    Elapse(1.0),
                ]
            },
            violation: || vec![StartTask(3, "job-000001/6"), Elapse(1.0)],
        },
        Case {
            name: "two jobs of one team above its limit",
            rule: Rule::Quota,
            setup: || {
                let big = |n| with_field(job(n, "daemon", 1, 0.0), "vcpus", json!(7.0));
                vec![
                    Submit(big(1)),
                    Submit(big(2)),
                    Submit(with_field(big(3), "crew", json!("u"))),
                    StartTask(0, FIRST_TASK),
                ]
            },
            compliant: || vec![StartTask(1, "job-000003/0"), Elapse(1.0)],
            violation: || vec![StartTask(1, "job-000002/0"), Elapse(1.0)],
        },
    ]
}

/// Returns cases in which a task violates a placement constraint of its job.
pub fn wrong_place() -> Vec<Case> {
    vec![
        Case {
            name: "a machine type that the job does not allow",
            rule: Rule::WrongPlace,
            setup: || {
                vec![
                    Submit(with_field(long_batch(1), "grades", json!(["small"]))),
                    Submit(with_field(
                        job(2, "batch", 1, 9.0),
                        "grades",
                        json!(["small", "big"]),
                    )),
                ]
            },
            compliant: || vec![StartTask(0, "job-000002/0")],
            violation: || vec![StartTask(0, FIRST_TASK)],
        },
        Case {
            name: "a zone that the job does not allow",
            rule: Rule::WrongPlace,
            setup: || vec![Submit(with_field(long_batch(1), "yard", json!("b")))],
            compliant: || vec![StartTask(1, FIRST_TASK)],
            violation: || vec![StartTask(0, FIRST_TASK)],
        },
        Case {
            name: "two zones for a job that must be in one",
            rule: Rule::WrongPlace,
            setup: || {
                vec![
                    Submit(with_field(long_batch(2), "same_place", json!(true))),
                    StartTask(0, FIRST_TASK),
                ]
            },
            compliant: || vec![StartTask(2, "job-000001/1")],
            violation: || vec![StartTask(1, "job-000001/1")],
        },
        Case {
            name: "more than half of the tasks, rounded up, in one zone",
            rule: Rule::WrongPlace,
            setup: || {
                vec![
                    Submit(with_field(long_batch(3), "scatter", json!(true))),
                    StartTask(0, FIRST_TASK),
                    StartTask(2, "job-000001/1"),
                ]
            },
            compliant: || vec![StartTask(1, "job-000001/2")],
            violation: || vec![StartTask(0, "job-000001/2")],
        },
    ]
}

/// Returns cases in which a task of a cancelled job runs after the time limit.
pub fn ran_cancelled() -> Vec<Case> {
    // The setting `cancel_s` is 30 s.
    vec![
        Case {
            name: "a task that stays on its machine",
            rule: Rule::RanCancelled,
            setup: || {
                followed_by(
                    long_task_started(),
                    vec![Cancel(FIRST, 200, "aborted"), Elapse(29.0)],
                )
            },
            compliant: || vec![StopTask(0, FIRST_TASK), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
        Case {
            name: "a second confirmation does not extend the time limit",
            rule: Rule::RanCancelled,
            setup: || {
                followed_by(
                    long_task_started(),
                    vec![
                        Cancel(FIRST, 200, "aborted"),
                        Elapse(20.0),
                        Cancel(FIRST, 200, "aborted"),
                        Elapse(9.0),
                    ],
                )
            },
            compliant: || vec![StopTask(0, FIRST_TASK), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
        Case {
            name: "a start after the time limit",
            rule: Rule::RanCancelled,
            setup: || {
                vec![
                    Submit(long_batch(1)),
                    Cancel(FIRST, 200, "aborted"),
                    Elapse(29.0),
                ]
            },
            compliant: || vec![StartTask(0, FIRST_TASK), StopTask(0, FIRST_TASK)],
            violation: || {
                vec![
                    Elapse(2.0),
                    StartTask(0, FIRST_TASK),
                    StopTask(0, FIRST_TASK),
                ]
            },
        },
        Case {
            name: "a task of a job with a cancelled dependency",
            rule: Rule::RanCancelled,
            setup: || {
                vec![
                    Submit(short_batch(1)),
                    Submit(with_dependencies(job(2, "daemon", 1, 0.0), &[FIRST])),
                    StartTask(0, FIRST_TASK),
                    Elapse(6.0),
                    StartTask(1, "job-000002/0"),
                    Cancel(FIRST, 200, "aborted"),
                    Elapse(29.0),
                ]
            },
            compliant: || vec![StopTask(1, "job-000002/0"), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
    ]
}
