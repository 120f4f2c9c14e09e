//! Records of jobs: sets of task numbers, releases of tasks, sizes and encodings.

use serde_json::json;

use super::setup::{job_spec, placement_hints, replica_with_machines, settings, submission_json};
use shelfhoist::api::read_submission;
use shelfhoist::scheduler::{self, AcceleratorProtection, Plan};

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

#[test]
fn number_set_keeps_ranges_sorted_and_merged() {
    let mut numbers = NumberSet::default();
    for n in [5, 3, 4, 9, 3] {
        numbers.insert(n);
    }
    assert_eq!(numbers.0, vec![(3, 5), (9, 9)]);
    assert!(numbers.remove(4) && !numbers.remove(4));
    assert_eq!(numbers.0, vec![(3, 3), (5, 5), (9, 9)]);
    assert_eq!(
        (numbers.len(), numbers.pop_first(), numbers.len()),
        (3, Some(3), 2)
    );
}

/// Rule `not_done`: an array is done once all of its tasks are, and a gang once its first
/// task is.
#[test]
fn released_tasks_complete_the_job() {
    let mut array = Job::new(job_spec(JobKind::Array, 2, 1.0), 1);
    for _ in 0..2 {
        let task = array.take_unstarted_task().expect("a waiting task");
        array.book("m", "a", 1, task);
    }
    assert!(array.release("m", 1, 0, TaskOutcome::Done));
    assert!(
        !array.release("m", 1, 0, TaskOutcome::Done),
        "a repeated release has no effect"
    );
    assert!(
        !array.release("m", 7, 1, TaskOutcome::Done),
        "a release of another attempt has no effect"
    );
    assert!(array.release("m", 1, 1, TaskOutcome::Lost));
    assert!(array.is_open() && array.waiting_count() == 1 && array.done_count() == 1);
    let task = array.retry.pop_first().expect("a task to retry");
    array.book("m", "a", 2, task);
    assert!(array.release("m", 2, 1, TaskOutcome::Done));
    assert_eq!(
        (array.status, array.spec.is_none()),
        (JobStatus::Done, true)
    );

    let mut gang = Job::new(job_spec(JobKind::Gang, 2, 1.0), 1);
    gang.book("m", "a", 1, 0);
    gang.book("n", "a", 1, 1);
    let mut failed_gang = gang.clone();
    assert!(failed_gang.release("m", 1, 0, TaskOutcome::Lost));
    assert!(failed_gang.runs.iter().all(|run| run.stop) && failed_gang.waiting_count() == 0);
    assert!(failed_gang.release("n", 1, 1, TaskOutcome::Lost));
    assert_eq!(
        failed_gang.waiting_count(),
        2,
        "all tasks wait again once the last one is released"
    );
    assert!(gang.release("m", 1, 0, TaskOutcome::Done));
    assert_eq!(gang.status, JobStatus::Done);
    gang.cancel();
    assert_eq!(gang.status, JobStatus::Done, "a final status never changes");
}

#[test]
fn a_full_job_record_stays_within_value_kb() {
    let settings = settings();
    let mut unlimited_settings = settings.clone();
    unlimited_settings.deployment.teams[0].cpus_max = 1e6;
    let spec = job_spec(JobKind::Array, 100_000, 0.001);
    let names: Vec<String> = (0..40).map(|n| format!("host-{n:06}")).collect();
    let machines: Vec<(&str, &str, f64)> = names.iter().map(|m| ("a", m.as_str(), 0.05)).collect();
    let replica = replica_with_machines(&machines);
    let mut job = Job::new(spec.clone(), 1);
    for _ in 0..20 {
        let plan = Plan::from_replica(&replica);
        let Ok(places) = scheduler::find_placements(
            &job,
            &spec,
            &plan,
            &placement_hints(&replica),
            &unlimited_settings,
            AcceleratorProtection::Lax,
        ) else {
            break;
        };
        let places: Vec<_> = places.iter().collect();
        shelfhoist::scheduler::book(&mut job, &spec, &places);
        // Tasks fail on more machines than the record lists.
        for run in job.runs.clone().iter().rev().take(MAX_FAILED_MACHINES + 2) {
            let task = run.tasks.iter().next().expect("a task");
            let mut failed = job.clone();
            assert!(failed.release(&run.machine, run.attempt, task, TaskOutcome::Failed));
            let size = serde_json::to_vec(&failed).expect("job").len();
            assert!(
                size <= settings.value_limit_bytes(),
                "{size} bytes with failures"
            );
            job = failed;
        }
        // Every second task ends, so that the other numbers form no ranges.
        let booked: Vec<_> = job
            .runs
            .iter()
            .flat_map(|run| {
                run.tasks
                    .iter()
                    .map(|task| (run.machine.clone(), run.attempt, task))
            })
            .collect();
        for (machine, attempt, task) in booked.into_iter().step_by(2) {
            let outcome = if task % 4 == 0 {
                TaskOutcome::Lost
            } else {
                TaskOutcome::Done
            };
            job.release(&machine, attempt, task, outcome);
        }
        let size = serde_json::to_vec(&job).expect("job").len();
        assert!(size <= settings.value_limit_bytes(), "{size} bytes");
    }
    assert!(job.attempt > 1);
}

/// Records contain sets of task numbers as text, and invalid texts are rejected.
#[test]
fn number_sets_are_encoded_as_text() {
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

/// The record of a job without dependencies is the same as before the introduction of
/// `awaits`.
#[test]
fn records_without_dependencies_have_no_awaits() {
    const RECORD: &str = r#"{"f":"o","s":{"l":"x","w":"t","k":"gang","p":"normal","n":2,"r":{"c":2000,"g":0,"m":4000},"i":"i","ig":1.0,"oz":true,"e":10.0,"cs":0.0,"ss":0.0},"n":2,"b":7,"a":0,"x":0}"#;
    for dependencies in [None, Some(json!(null)), Some(json!([]))] {
        let mut submission = submission_json();
        if let Some(dependencies) = dependencies {
            submission["awaits"] = dependencies;
        }
        let submission = read_submission(submission.to_string().as_bytes()).expect("a submission");
        let text = serde_json::to_string(&Job::new(JobSpec::from(&submission), 7)).expect("text");
        assert_eq!(text, RECORD);
        let job: Job = serde_json::from_str(RECORD).expect("a record");
        assert_eq!(serde_json::to_string(&job).expect("text"), RECORD);
    }
}
