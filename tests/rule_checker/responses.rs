//! Cases of wrong responses to users: a forgotten job, a job that was never submitted, a job
//! reported as done too early, a final stage that is reverted.

use crate::history::{
    Cancel, Case, Elapse, FIRST, FIRST_TASK, Poll, PollFor, SECOND, StartTask, StopTask, Submit,
    SubmitWithStatus, after_unrelated_start, followed_by, long_batch, short_batch,
    short_task_started, unrelated_start,
};
use crate::stand_ins::{Rule, job, with_dependencies};

/// Returns cases in which an accepted job is no longer known.
pub fn forgotten() -> Vec<Case> {
    let accepted = || after_unrelated_start(vec![Submit(long_batch(1))]);
    vec![
        Case {
            name: "a poll gets 404",
            rule: Rule::Forgotten,
            setup: accepted,
            compliant: || vec![Poll(FIRST, 503, ""), Poll(SECOND, 404, "")],
            violation: || vec![Poll(FIRST, 404, "")],
        },
        Case {
            name: "a repeated submission gets 400",
            rule: Rule::Forgotten,
            setup: accepted,
            compliant: || {
                vec![
                    SubmitWithStatus(long_batch(1), 200),
                    SubmitWithStatus(long_batch(1), 503),
                ]
            },
            violation: || vec![SubmitWithStatus(long_batch(1), 400)],
        },
        Case {
            name: "a repeated submission gets 422",
            rule: Rule::Forgotten,
            setup: accepted,
            compliant: || vec![SubmitWithStatus(job(2, "batch", 1, 1.0), 422)],
            violation: || vec![SubmitWithStatus(long_batch(1), 422)],
        },
        Case {
            name: "a cancellation gets 404",
            rule: Rule::Forgotten,
            setup: accepted,
            compliant: || vec![Cancel(FIRST, 504, "")],
            violation: || vec![Cancel(FIRST, 404, "")],
        },
        Case {
            name: "every poll for a job fails for 90 s while polls for others succeed",
            rule: Rule::Forgotten,
            setup: || {
                let mut steps = after_unrelated_start(vec![Submit(long_batch(1))]);
                steps.push(PollFor(85.0, vec![("job-000009", 200), (FIRST, 503)]));
                steps
            },
            compliant: || {
                vec![
                    PollFor(5.0, vec![(FIRST, 200)]),
                    PollFor(85.0, vec![("job-000009", 200), (FIRST, 503)]),
                ]
            },
            violation: || vec![PollFor(15.0, vec![("job-000009", 200), (FIRST, 503)])],
        },
        Case {
            name: "polls fail for 90 s for one job, but not for all jobs",
            rule: Rule::Forgotten,
            setup: || after_unrelated_start(vec![Submit(long_batch(1))]),
            compliant: || vec![PollFor(300.0, vec![("job-000009", 503), (FIRST, 0)])],
            violation: || vec![PollFor(100.0, vec![("job-000009", 200), (FIRST, 429)])],
        },
    ]
}

/// Returns cases in which a response is about a job that was never submitted.
pub fn invented() -> Vec<Case> {
    vec![
        Case {
            name: "a poll for a job that was never submitted",
            rule: Rule::Invented,
            setup: unrelated_start,
            compliant: || vec![Poll(FIRST, 404, ""), Poll("job-000009", 200, "running")],
            violation: || vec![Poll(FIRST, 200, "queued")],
        },
        Case {
            name: "a cancellation of a job that was never submitted",
            rule: Rule::Invented,
            setup: unrelated_start,
            compliant: || vec![Cancel(FIRST, 404, "")],
            violation: || vec![Cancel(FIRST, 200, "aborted")],
        },
    ]
}

/// Returns cases in which an unfinished job is reported as done.
pub fn not_done() -> Vec<Case> {
    vec![
        Case {
            name: "a task still runs",
            rule: Rule::NotDone,
            setup: || short_task_started(4.0),
            compliant: || vec![Elapse(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "one task of two has never run",
            rule: Rule::NotDone,
            setup: || {
                vec![
                    Submit(short_batch(2)),
                    StartTask(0, FIRST_TASK),
                    Elapse(6.0),
                ]
            },
            compliant: || {
                vec![
                    StartTask(1, "job-000001/1"),
                    Elapse(6.0),
                    Poll(FIRST, 200, "done"),
                ]
            },
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a stopped task has not completed",
            rule: Rule::NotDone,
            setup: || vec![Submit(short_batch(1)), StartTask(0, FIRST_TASK)],
            compliant: || vec![Elapse(6.0), Poll(FIRST, 200, "done")],
            violation: || {
                vec![
                    StopTask(0, FIRST_TASK),
                    Elapse(6.0),
                    Poll(FIRST, 200, "done"),
                ]
            },
        },
        Case {
            name: "a gang's tasks complete together",
            rule: Rule::NotDone,
            setup: || {
                vec![
                    Submit(job(1, "gang", 2, 5.0)),
                    StartTask(0, FIRST_TASK),
                    StartTask(1, "job-000001/1"),
                    Elapse(4.0),
                ]
            },
            compliant: || vec![Elapse(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a response to a cancellation reports the job as done",
            rule: Rule::NotDone,
            setup: || short_task_started(4.0),
            compliant: || vec![Elapse(2.0), Cancel(FIRST, 200, "done")],
            violation: || vec![Cancel(FIRST, 200, "done")],
        },
    ]
}

/// Returns cases in which a final stage is followed by another one, or a job is reported as
/// cancelled without a cancellation.
pub fn went_back() -> Vec<Case> {
    let done = || followed_by(short_task_started(6.0), vec![Poll(FIRST, 200, "done")]);
    let cancelled = || followed_by(short_task_started(6.0), vec![Cancel(FIRST, 200, "aborted")]);
    vec![
        Case {
            name: "done, then running",
            rule: Rule::WentBack,
            setup: done,
            compliant: || vec![Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "running")],
        },
        Case {
            name: "done, then a repeated submission is queued",
            rule: Rule::WentBack,
            setup: done,
            compliant: || vec![Cancel(FIRST, 200, "done")],
            violation: || vec![SubmitWithStatus(short_batch(1), 200)],
        },
        Case {
            name: "done, then cancelled",
            rule: Rule::WentBack,
            setup: done,
            compliant: || vec![Cancel(FIRST, 503, "")],
            violation: || vec![Cancel(FIRST, 200, "aborted")],
        },
        Case {
            name: "cancelled, then queued",
            rule: Rule::WentBack,
            setup: cancelled,
            compliant: || vec![Poll(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "queued")],
        },
        Case {
            name: "cancelled, then done",
            rule: Rule::WentBack,
            setup: cancelled,
            compliant: || vec![Cancel(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "reported as cancelled without a cancellation request",
            rule: Rule::WentBack,
            setup: || after_unrelated_start(vec![Submit(long_batch(1))]),
            compliant: || vec![Cancel(FIRST, 503, ""), Poll(FIRST, 200, "aborted")],
            violation: || vec![Poll(FIRST, 200, "aborted")],
        },
        Case {
            name: "reported as cancelled without a cancelled dependency",
            rule: Rule::WentBack,
            setup: || {
                after_unrelated_start(vec![
                    Submit(long_batch(1)),
                    Submit(with_dependencies(job(2, "batch", 1, 1.0), &[FIRST])),
                    Submit(with_dependencies(job(3, "batch", 1, 1.0), &[SECOND])),
                ])
            },
            compliant: || {
                vec![
                    Cancel(FIRST, 200, "aborted"),
                    Poll("job-000003", 200, "aborted"),
                ]
            },
            violation: || vec![Poll("job-000003", 200, "aborted")],
        },
    ]
}
