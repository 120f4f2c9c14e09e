//! A job's record: task numbers, ends, sizes.

use serde_json::json;

use super::setup::{hints, settings, spec, submission, view_with};
use shelfhoist::api::read_submission;
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan};

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

#[test]
fn ranges_stay_sorted_and_joined() {
    let mut r = NumberSet::default();
    for n in [5, 3, 4, 9, 3] {
        r.insert(n);
    }
    assert_eq!(r.0, vec![(3, 5), (9, 9)]);
    assert!(r.remove(4) && !r.remove(4));
    assert_eq!(r.0, vec![(3, 3), (5, 5), (9, 9)]);
    assert_eq!((r.len(), r.pop_first(), r.len()), (3, Some(3), 2));
}

/// Rule `not_done`: a job is done when every task is, and a gang at its first.
#[test]
fn jobs_come_to_their_end() {
    let mut array = Job::new(spec(JobKind::Array, 2, 1.0), 1);
    for _ in 0..2 {
        let t = array.take_unstarted_task().expect("waiting");
        array.book("m", "a", 1, t);
    }
    assert!(array.release("m", 1, 0, TaskOutcome::Done));
    assert!(
        !array.release("m", 1, 0, TaskOutcome::Done),
        "a repeat releases nothing"
    );
    assert!(
        !array.release("m", 7, 1, TaskOutcome::Done),
        "another attempt is not this one"
    );
    assert!(array.release("m", 1, 1, TaskOutcome::Lost));
    assert!(array.is_open() && array.waiting_count() == 1 && array.done_count() == 1);
    let t = array.retry.pop_first().expect("again");
    array.book("m", "a", 2, t);
    assert!(array.release("m", 2, 1, TaskOutcome::Done));
    assert_eq!(
        (array.status, array.spec.is_none()),
        (JobStatus::Done, true)
    );

    let mut gang = Job::new(spec(JobKind::Gang, 2, 1.0), 1);
    gang.book("m", "a", 1, 0);
    gang.book("n", "a", 1, 1);
    let mut broken = gang.clone();
    assert!(broken.release("m", 1, 0, TaskOutcome::Lost));
    assert!(broken.runs.iter().all(|r| r.stop) && broken.waiting_count() == 0);
    assert!(broken.release("n", 1, 1, TaskOutcome::Lost));
    assert_eq!(broken.waiting_count(), 2, "whole again once all are gone");
    assert!(gang.release("m", 1, 0, TaskOutcome::Done));
    assert_eq!(gang.status, JobStatus::Done);
    gang.cancel();
    assert_eq!(gang.status, JobStatus::Done, "final states never change");
}

#[test]
fn a_full_job_record_stays_within_value_kb() {
    let set = settings();
    let mut set_wide = set.clone();
    set_wide.deployment.teams[0].cpus_max = 1e6;
    let s = spec(JobKind::Array, 100_000, 0.001);
    let names: Vec<String> = (0..40).map(|n| format!("host-{n:06}")).collect();
    let rooms: Vec<(&str, &str, f64)> = names.iter().map(|m| ("a", m.as_str(), 0.05)).collect();
    let replica = view_with(&rooms);
    let mut job = Job::new(s.clone(), 1);
    for _ in 0..20 {
        let plan = Plan::from_replica(&replica);
        let Ok(places) = scheduler::find_placements(
            &job,
            &s,
            &plan,
            &hints(&replica),
            &set_wide,
            AcceleratorProtection::Lax,
        ) else {
            break;
        };
        let places: Vec<_> = places.iter().collect();
        shelfhoist::scheduler::book(&mut job, &s, &places);
        // What fails on some machines is noted, too.
        for run in job.runs.clone().iter().rev().take(MAX_FAILED_MACHINES + 2) {
            let task = run.tasks.iter().next().expect("a task");
            let mut failed = job.clone();
            assert!(failed.release(&run.machine, run.attempt, task, TaskOutcome::Failed));
            let size = serde_json::to_vec(&failed).expect("job").len();
            assert!(
                size <= set.value_limit_bytes(),
                "{size} bytes with failures"
            );
            job = failed;
        }
        // Every second one ends, the rest stays scattered.
        let ends: Vec<_> = job
            .runs
            .iter()
            .flat_map(|r| r.tasks.iter().map(|t| (r.machine.clone(), r.attempt, t)))
            .collect();
        for (m, a, t) in ends.into_iter().step_by(2) {
            let outcome = if t % 4 == 0 {
                TaskOutcome::Lost
            } else {
                TaskOutcome::Done
            };
            job.release(&m, a, t, outcome);
        }
        let size = serde_json::to_vec(&job).expect("job").len();
        assert!(size <= set.value_limit_bytes(), "{size} bytes");
    }
    assert!(job.attempt > 1);
}

/// Task numbers are text in a record, and what is not a set is refused.
#[test]
fn ranges_are_written_as_text() {
    for (ranges, text) in [
        (vec![], "\"\""),
        (vec![(7, 7)], "\"7\""),
        (vec![(0, 4), (6, 6), (8, 1799)], "\"0-4,6,8-1799\""),
    ] {
        let ranges = NumberSet(ranges);
        assert_eq!(serde_json::to_string(&ranges).expect("text"), text);
        assert_eq!(
            serde_json::from_str::<NumberSet>(text).expect("ranges"),
            ranges
        );
    }
    for text in ["\"a\"", "\"4-2\"", "\"1--2\"", "[[0,1]]"] {
        assert!(serde_json::from_str::<NumberSet>(text).is_err(), "{text}");
    }
}

/// A job that awaits nothing is written as it was before there was `awaits`.
#[test]
fn records_without_awaits_are_as_before() {
    const BEFORE: &str = r#"{"f":"o","s":{"l":"x","w":"t","k":"gang","p":"normal","n":2,"r":{"c":2000,"g":0,"m":4000},"i":"i","ig":1.0,"oz":true,"e":10.0,"cs":0.0,"ss":0.0},"n":2,"b":7,"a":0,"x":0}"#;
    for dependencies in [None, Some(json!(null)), Some(json!([]))] {
        let mut s = submission();
        if let Some(dependencies) = dependencies {
            s["awaits"] = dependencies;
        }
        let s = read_submission(s.to_string().as_bytes()).expect("a submission");
        let text = serde_json::to_string(&Job::new(JobSpec::from(&s), 7)).expect("text");
        assert_eq!(text, BEFORE);
        let job: Job = serde_json::from_str(BEFORE).expect("a record");
        assert_eq!(serde_json::to_string(&job).expect("text"), BEFORE);
    }
}
