//! Validation of settings and submissions, and shedding of queries.

use std::time::Duration;

use serde_json::json;

use super::setup::{
    job_spec, replica_with_machine_types, settings, settings_json, submission_json,
};
use shelfhoist::api::{SubmissionError, check_submission, read_submission, should_shed_query};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

#[test]
fn settings_error_names_the_invalid_field() {
    let cases = [
        ("/node", json!("a b"), "node"),
        ("/location", json!("c"), "location"),
        ("/others/0/node", json!("n0"), "others[0].node"),
        ("/deployment/count", json!(3), "deployment.count"),
        ("/deployment/zones/1", json!("a"), "deployment.zones[1]"),
        (
            "/deployment/teams/1/name",
            json!("t"),
            "deployment.teams[1].name",
        ),
        (
            "/deployment/teams/0/cpus_max",
            json!(1.0),
            "deployment.teams[0].cpus_max",
        ),
        (
            "/deployment/workers/report_s",
            json!(0.0),
            "deployment.workers.report_s",
        ),
        (
            "/deployment/workers/lease_s",
            json!(1.5),
            "deployment.workers.lease_s",
        ),
        (
            "/deployment/workers/cancel_s",
            json!(10.0),
            "deployment.workers.cancel_s",
        ),
        (
            "/deployment/state/txn_ops",
            json!(1),
            "deployment.state.txn_ops",
        ),
        ("/deployment/state/rps", json!(-1.0), "deployment.state.rps"),
        ("/external/state", json!("127.0.0.9:0"), "external.state"),
        ("/mesh_addr", json!("127.0.0.1:1"), "mesh_addr"),
    ];
    for (path, value, field) in cases {
        let mut settings = settings_json();
        *settings.pointer_mut(path).expect(path) = value;
        let error = Settings::parse(&settings.to_string())
            .expect_err(path)
            .to_string();
        assert!(error.contains(&format!("{field}:")), "{path}: {error}");
    }
    let mut settings = settings_json();
    settings["surprise"] = json!({"x": 1});
    assert!(
        Settings::parse(&settings.to_string()).is_ok(),
        "an unknown field is rejected"
    );
}

#[test]
fn malformed_submissions_are_rejected() {
    for body in ["", "nonsense", "[]", "7", "null", "{}"] {
        assert!(
            matches!(
                read_submission(body.as_bytes()),
                Err(SubmissionError::Malformed(_))
            ),
            "{body}"
        );
    }
    let invalid_values = [
        ("name_id", json!("job-")),
        ("name_id", json!("task-1")),
        ("name_id", json!(5)),
        ("boards", json!(0)),
        ("boards", json!(100_001)),
        ("boards", json!(1.5)),
        ("boards", json!(-1)),
        ("vcpus", json!(-0.5)),
        ("vcpus", json!("2")),
        ("ram_gb", json!(1e300)),
        ("cut", json!("other")),
        ("urgency", json!(null)),
        ("same_place", json!(1)),
        ("grades", json!("small")),
        ("due_s", json!(-1)),
    ];
    for (field, value) in invalid_values {
        let mut submission = submission_json();
        submission[field] = value.clone();
        let result = read_submission(submission.to_string().as_bytes());
        assert!(
            matches!(result, Err(SubmissionError::Malformed(_))),
            "{field} {value}"
        );
    }
    for field in ["crew", "vcpus", "notch_s", "scatter"] {
        let mut submission = submission_json();
        submission.as_object_mut().expect("object").remove(field);
        let result = read_submission(submission.to_string().as_bytes());
        assert!(
            matches!(result, Err(SubmissionError::Malformed(_))),
            "without {field}"
        );
    }
}

#[test]
fn malformed_unsatisfiable_and_undecidable_submissions_are_distinguished() {
    let settings = settings();
    let check = |edit: &[(&str, serde_json::Value)], replica: &Replica| {
        let mut submission = submission_json();
        for (field, value) in edit {
            submission[*field] = value.clone();
        }
        let Ok(submission) = read_submission(submission.to_string().as_bytes()) else {
            return 400;
        };
        match check_submission(&submission, &settings, replica) {
            Ok(_) => 201,
            Err(SubmissionError::Malformed(_)) => 400,
            Err(SubmissionError::Unsatisfiable(_)) => 422,
            Err(SubmissionError::Undecidable) => 503,
        }
    };
    let replica = replica_with_machine_types();
    let cases: &[(&[(&str, serde_json::Value)], u16)] = &[
        (&[], 201),
        (&[("crew", json!("nobody"))], 422),
        (&[("vcpus", json!(9.0))], 422),
        (&[("cards", json!(2.0))], 201),
        (&[("cards", json!(3.0))], 422),
        (&[("grades", json!(["small"])), ("vcpus", json!(5.0))], 422),
        (&[("grades", json!([]))], 422),
        (&[("yard", json!("c"))], 422),
        // 9 tasks with 2 CPUs each exceed the team's limit of 16 CPUs if they must run at
        // the same time, which an array's tasks need not.
        (&[("boards", json!(9))], 422),
        (&[("boards", json!(9)), ("cut", json!("batch"))], 201),
        (&[("boards", json!(9)), ("cut", json!("daemon"))], 422),
        // Boundary values: the maximum number of tasks and one more; a gang and a service
        // that use the whole limit of the team, in one zone or spread.
        (&[("boards", json!(100_000)), ("cut", json!("batch"))], 201),
        (&[("boards", json!(100_001)), ("cut", json!("batch"))], 400),
        (&[("boards", json!(0))], 400),
        (&[("boards", json!(-1))], 400),
        (&[("boards", json!(1.5))], 400),
        (&[("boards", json!(8))], 201),
        (
            &[
                ("boards", json!(8)),
                ("cut", json!("daemon")),
                ("scatter", json!(true)),
            ],
            201,
        ),
        // Two tasks of a gang that is spread over zones need both zones. A single task does
        // not, and neither do an array's tasks, which may run one after another.
        (
            &[("same_place", json!(false)), ("scatter", json!(true))],
            201,
        ),
        (
            &[
                ("same_place", json!(false)),
                ("scatter", json!(true)),
                ("yard", json!("a")),
            ],
            422,
        ),
        (
            &[
                ("boards", json!(3)),
                ("scatter", json!(true)),
                ("same_place", json!(true)),
            ],
            422,
        ),
        (
            &[
                ("boards", json!(1)),
                ("scatter", json!(true)),
                ("same_place", json!(true)),
                ("yard", json!("a")),
            ],
            201,
        ),
        (
            &[
                ("boards", json!(2)),
                ("cut", json!("batch")),
                ("scatter", json!(true)),
                ("yard", json!("a")),
            ],
            201,
        ),
        (&[("vcpus", json!("2"))], 400),
        (&[("ram_gb", json!(65.0))], 422),
        (&[("name_id", json!("job-"))], 400),
    ];
    for (edit, status) in cases {
        assert_eq!(check(edit, &replica), *status, "{edit:?}");
    }
    assert_eq!(
        check(&[], &Replica::default()),
        503,
        "the machine types are not known yet"
    );
    assert_eq!(
        check(&[("crew", json!("nobody"))], &Replica::default()),
        422
    );
}

/// An overloaded controller sheds queries before other requests. It must still answer a query for
/// each job from time to time, because a job without an answer for 75 s would count as forgotten.
#[test]
fn queries_are_shed_only_if_answered_recently() {
    let settings = settings();
    let millis = Duration::from_millis;
    let (heartbeat_interval, lease) = (settings.heartbeat_interval(), settings.worker_lease());
    for (lag, since_answer, is_shed) in [
        (millis(0), Some(millis(100)), false),
        (heartbeat_interval / 10, Some(millis(100)), false),
        (heartbeat_interval / 2, Some(millis(100)), true),
        (heartbeat_interval * 9, Some(lease / 3), true),
        (heartbeat_interval * 9, Some(lease), false),
        (heartbeat_interval * 9, None, false),
    ] {
        assert_eq!(
            should_shed_query(lag, since_answer, &settings),
            is_shed,
            "{lag:?} {since_answer:?}"
        );
    }
}

/// Jobs that are accepted together are stored in one batch record until each has its own
/// record. From then on the job's own record is authoritative, even if the batch is written
/// again later.
#[test]
fn accepted_batch_represents_jobs_without_their_own_record() {
    let mut replica = replica_with_machine_types();
    let mut cancelled = Job::new(job_spec(JobKind::Array, 1, 1.0), 1);
    cancelled.cancel();
    let batch = |ids: &[&str]| AcceptedBatch {
        accepted_revision: 1,
        jobs: ids
            .iter()
            .map(|id| (id.to_string(), job_spec(JobKind::Array, 2, 1.0)))
            .collect(),
    };
    let key = shelfhoist::state::keys::accepted_batch_key;
    replica.apply_events(
        vec![Event::put(key("x"), &batch(&["job-1", "job-2"]), 5)],
        5,
    );
    assert_eq!(
        (replica.job_version("job-1"), replica.open_jobs.len()),
        (0, 2)
    );
    replica.apply_events(vec![Event::put(job_key("job-1"), &cancelled, 6)], 6);
    // An unanswered commit of the same batch is executed late.
    replica.apply_events(
        vec![Event::put(key("y"), &batch(&["job-1", "job-2"]), 7)],
        7,
    );
    assert!(
        !replica.jobs["job-1"].value.is_open(),
        "the batch changed a final status"
    );
    assert_eq!(
        (replica.job_version("job-1"), replica.open_jobs.len()),
        (6, 1)
    );
}
