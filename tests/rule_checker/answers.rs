//! Answers to users: forgotten, invented, done too early, gone back.

use crate::history::{
    Cancel, Case, Elapse, FIRST, FIRST_TASK, Launch, Poll, PollFor, SECOND, Stop, Submit, SubmitTo,
    beside, long_batch, short_batch, short_task_started, then, unrelated_start,
};
use crate::stand_ins::{Rule, after, job};

pub fn forgotten() -> Vec<Case> {
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

pub fn invented() -> Vec<Case> {
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

pub fn not_done() -> Vec<Case> {
    vec![
        Case {
            name: "a task still runs",
            rule: Rule::NotDone,
            before: || short_task_started(4.0),
            lawful: || vec![Elapse(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "one task of two has never run",
            rule: Rule::NotDone,
            before: || vec![Submit(short_batch(2)), Launch(0, FIRST_TASK), Elapse(6.0)],
            lawful: || {
                vec![
                    Launch(1, "job-000001/1"),
                    Elapse(6.0),
                    Poll(FIRST, 200, "done"),
                ]
            },
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a stopped task has not completed",
            rule: Rule::NotDone,
            before: || vec![Submit(short_batch(1)), Launch(0, FIRST_TASK)],
            lawful: || vec![Elapse(6.0), Poll(FIRST, 200, "done")],
            violation: || vec![Stop(0, FIRST_TASK), Elapse(6.0), Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a gang's tasks complete together",
            rule: Rule::NotDone,
            before: || {
                vec![
                    Submit(job(1, "gang", 2, 5.0)),
                    Launch(0, FIRST_TASK),
                    Launch(1, "job-000001/1"),
                    Elapse(4.0),
                ]
            },
            lawful: || vec![Elapse(2.0), Poll(FIRST, 200, "done")],
            violation: || vec![Poll(FIRST, 200, "done")],
        },
        Case {
            name: "a cancellation and a submission are told so, too",
            rule: Rule::NotDone,
            before: || short_task_started(4.0),
            lawful: || vec![Elapse(2.0), Cancel(FIRST, 200, "done")],
            violation: || vec![Cancel(FIRST, 200, "done")],
        },
    ]
}

pub fn went_back() -> Vec<Case> {
    let done = || then(short_task_started(6.0), vec![Poll(FIRST, 200, "done")]);
    let cancelled = || then(short_task_started(6.0), vec![Cancel(FIRST, 200, "aborted")]);
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
