//! Tasks on machines: twice at once, beyond the limit, in the wrong place, after a cancellation.

use serde_json::json;

use crate::history::{
    Cancel, Case, Elapse, FIRST, FIRST_TASK, Hang, Launch, Lose, Stop, Submit, long_batch,
    long_task_started, short_batch, short_task_started, then, with,
};
use crate::stand_ins::{Rule, after, job};

pub fn ran_twice() -> Vec<Case> {
    vec![
        Case {
            name: "a second start elsewhere",
            rule: Rule::RanTwice,
            before: long_task_started,
            lawful: || vec![Stop(0, FIRST_TASK), Launch(1, FIRST_TASK)],
            violation: || vec![Launch(1, FIRST_TASK)],
        },
        Case {
            name: "a start after its machine is gone, or before",
            rule: Rule::RanTwice,
            before: long_task_started,
            lawful: || vec![Lose(0), Launch(2, FIRST_TASK)],
            violation: || vec![Launch(2, FIRST_TASK), Lose(0)],
        },
        Case {
            name: "a machine that hangs keeps its task until its lease is over",
            rule: Rule::RanTwice,
            before: || then(long_task_started(), vec![Hang(0, 60.0), Elapse(5.0)]),
            lawful: || vec![Elapse(7.0), Launch(1, FIRST_TASK)],
            violation: || vec![Launch(1, FIRST_TASK)],
        },
        Case {
            name: "a task that has ended may start again",
            rule: Rule::RanTwice,
            before: || short_task_started(4.0),
            lawful: || vec![Elapse(2.0), Launch(1, FIRST_TASK)],
            violation: || vec![Launch(1, FIRST_TASK)],
        },
    ]
}

pub fn quota() -> Vec<Case> {
    // Six tasks of two CPUs are the limit of team t, four that of team u.
    vec![
        Case {
            name: "a task more than the team's limit allows",
            rule: Rule::Quota,
            before: || {
                vec![
                    Submit(long_batch(7)),
                    Launch(0, FIRST_TASK),
                    Launch(0, "job-000001/1"),
                    Launch(1, "job-000001/2"),
                    Launch(1, "job-000001/3"),
                    Launch(2, "job-000001/4"),
                    Launch(2, "job-000001/5"),
                    Elapse(1.0),
                ]
            },
            lawful: || vec![Stop(0, FIRST_TASK), Launch(3, "job-000001/6"), Elapse(1.0)],
            violation: || vec![Launch(3, "job-000001/6"), Elapse(1.0)],
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
                    Launch(0, FIRST_TASK),
                ]
            },
            lawful: || vec![Launch(1, "job-000003/0"), Elapse(1.0)],
            violation: || vec![Launch(1, "job-000002/0"), Elapse(1.0)],
        },
    ]
}

pub fn wrong_place() -> Vec<Case> {
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
            violation: || vec![Launch(0, FIRST_TASK)],
        },
        Case {
            name: "a zone that is not allowed",
            rule: Rule::WrongPlace,
            before: || vec![Submit(with(long_batch(1), "yard", json!("b")))],
            lawful: || vec![Launch(1, FIRST_TASK)],
            violation: || vec![Launch(0, FIRST_TASK)],
        },
        Case {
            name: "two zones of a job that must be in one",
            rule: Rule::WrongPlace,
            before: || {
                vec![
                    Submit(with(long_batch(2), "same_place", json!(true))),
                    Launch(0, FIRST_TASK),
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
                    Launch(0, FIRST_TASK),
                    Launch(2, "job-000001/1"),
                ]
            },
            lawful: || vec![Launch(1, "job-000001/2")],
            violation: || vec![Launch(0, "job-000001/2")],
        },
    ]
}

pub fn ran_cancelled() -> Vec<Case> {
    // `cancel_s` is 30.
    vec![
        Case {
            name: "a task that stays on its machine",
            rule: Rule::RanCancelled,
            before: || {
                then(
                    long_task_started(),
                    vec![Cancel(FIRST, 200, "aborted"), Elapse(29.0)],
                )
            },
            lawful: || vec![Stop(0, FIRST_TASK), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
        Case {
            name: "a second confirmation gives no more time",
            rule: Rule::RanCancelled,
            before: || {
                then(
                    long_task_started(),
                    vec![
                        Cancel(FIRST, 200, "aborted"),
                        Elapse(20.0),
                        Cancel(FIRST, 200, "aborted"),
                        Elapse(9.0),
                    ],
                )
            },
            lawful: || vec![Stop(0, FIRST_TASK), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
        Case {
            name: "a start",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(long_batch(1)),
                    Cancel(FIRST, 200, "aborted"),
                    Elapse(29.0),
                ]
            },
            lawful: || vec![Launch(0, FIRST_TASK), Stop(0, FIRST_TASK)],
            violation: || vec![Elapse(2.0), Launch(0, FIRST_TASK), Stop(0, FIRST_TASK)],
        },
        Case {
            name: "a task after a cancelled job",
            rule: Rule::RanCancelled,
            before: || {
                vec![
                    Submit(short_batch(1)),
                    Submit(after(job(2, "daemon", 1, 0.0), &[FIRST])),
                    Launch(0, FIRST_TASK),
                    Elapse(6.0),
                    Launch(1, "job-000002/0"),
                    Cancel(FIRST, 200, "aborted"),
                    Elapse(29.0),
                ]
            },
            lawful: || vec![Stop(1, "job-000002/0"), Elapse(3.0)],
            violation: || vec![Elapse(3.0)],
        },
    ]
}
