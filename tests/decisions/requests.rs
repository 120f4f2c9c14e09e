//! Submissions, queries and settings: what is taken, refused or shed.

use std::time::Duration;

use serde_json::json;

use super::setup::{settings, settings_json, spec, submission, view_with_types};
use shelfhoist::api::{SubmissionError, check_submission, read_submission, should_shed_query};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::replica::Replica;

use shelfhoist::state::records::*;
use shelfhoist::wire::*;

#[test]
fn settings_name_the_wrong_field() {
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
        let mut s = settings_json();
        *s.pointer_mut(path).expect(path) = value;
        let problem = Settings::parse(&s.to_string()).expect_err(path).to_string();
        assert!(problem.contains(&format!("{field}:")), "{path}: {problem}");
    }
    let mut s = settings_json();
    s["surprise"] = json!({"x": 1});
    assert!(
        Settings::parse(&s.to_string()).is_ok(),
        "unknown fields pass"
    );
}

#[test]
fn submissions_are_refused_by_their_form() {
    for body in ["", "nonsense", "[]", "7", "null", "{}"] {
        assert!(
            matches!(
                read_submission(body.as_bytes()),
                Err(SubmissionError::Malformed(_))
            ),
            "{body}"
        );
    }
    let bad = [
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
    for (field, value) in bad {
        let mut s = submission();
        s[field] = value.clone();
        let got = read_submission(s.to_string().as_bytes());
        assert!(
            matches!(got, Err(SubmissionError::Malformed(_))),
            "{field} {value}"
        );
    }
    for field in ["crew", "vcpus", "notch_s", "scatter"] {
        let mut s = submission();
        s.as_object_mut().expect("object").remove(field);
        let got = read_submission(s.to_string().as_bytes());
        assert!(
            matches!(got, Err(SubmissionError::Malformed(_))),
            "no {field}"
        );
    }
}

#[test]
fn submissions_that_can_never_run_are_told_from_those_not_decidable() {
    let set = settings();
    let check = |edit: &[(&str, serde_json::Value)], replica: &Replica| {
        let mut s = submission();
        for (k, v) in edit {
            s[*k] = v.clone();
        }
        let Ok(s) = read_submission(s.to_string().as_bytes()) else {
            return 400;
        };
        match check_submission(&s, &set, replica) {
            Ok(_) => 201,
            Err(SubmissionError::Malformed(_)) => 400,
            Err(SubmissionError::Unsatisfiable(_)) => 422,
            Err(SubmissionError::Undecidable) => 503,
        }
    };
    let replica = view_with_types();
    let cases: &[(&[(&str, serde_json::Value)], u16)] = &[
        (&[], 201),
        (&[("crew", json!("nobody"))], 422),
        (&[("vcpus", json!(9.0))], 422),
        (&[("cards", json!(2.0))], 201),
        (&[("cards", json!(3.0))], 422),
        (&[("grades", json!(["small"])), ("vcpus", json!(5.0))], 422),
        (&[("grades", json!([]))], 422),
        (&[("yard", json!("c"))], 422),
        // 9 x 2 CPUs exceed the limit of 16 at once, but not for an array.
        (&[("boards", json!(9))], 422),
        (&[("boards", json!(9)), ("cut", json!("batch"))], 201),
        (&[("boards", json!(9)), ("cut", json!("daemon"))], 422),
        // At the bounds: as many tasks as there may be, and one more; a gang
        // and a service that fill the team's limit, in one zone or spread.
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
        // Spread over two zones, a gang's two tasks need both; one task does not,
        // and an array's run one after the other.
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
    assert_eq!(check(&[], &Replica::default()), 503, "types not known yet");
    assert_eq!(
        check(&[("crew", json!("nobody"))], &Replica::default()),
        422
    );
}

/// Users who ask too often are turned away first, yet every job is answered for
/// now and then: unanswered for 75 s it would count as forgotten.
#[test]
fn questions_are_shed_only_when_answered_just_now() {
    let settings = settings();
    let ms = Duration::from_millis;
    let (report, lease) = (settings.heartbeat_interval(), settings.worker_lease());
    for (lag, answered, shed) in [
        (ms(0), Some(ms(100)), false),
        (report / 10, Some(ms(100)), false),
        (report / 2, Some(ms(100)), true),
        (report * 9, Some(lease / 3), true),
        (report * 9, Some(lease), false),
        (report * 9, None, false),
    ] {
        assert_eq!(
            should_shed_query(lag, answered, &settings),
            shed,
            "{lag:?} {answered:?}"
        );
    }
}

/// Jobs accepted together stand in one record until each has its own, which
/// counts from then on, whatever comes later or twice.
#[test]
fn arrivals_stand_for_their_jobs() {
    let mut replica = view_with_types();
    let mut cancelled = Job::new(spec(JobKind::Array, 1, 1.0), 1);
    cancelled.cancel();
    let new = |ids: &[&str]| AcceptedBatch {
        accepted_revision: 1,
        jobs: ids
            .iter()
            .map(|id| (id.to_string(), spec(JobKind::Array, 2, 1.0)))
            .collect(),
    };
    let key = shelfhoist::state::keys::accepted_batch_key;
    replica.apply_events(vec![Event::put(key("x"), &new(&["job-1", "job-2"]), 5)], 5);
    assert_eq!(
        (replica.job_version("job-1"), replica.open_jobs.len()),
        (0, 2)
    );
    replica.apply_events(vec![Event::put(job_key("job-1"), &cancelled, 6)], 6);
    // A commit without an answer that was carried out late.
    replica.apply_events(vec![Event::put(key("y"), &new(&["job-1", "job-2"]), 7)], 7);
    assert!(
        !replica.jobs["job-1"].value.is_open(),
        "a final state changed"
    );
    assert_eq!(
        (replica.job_version("job-1"), replica.open_jobs.len()),
        (6, 1)
    );
}
