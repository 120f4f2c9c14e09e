//! Lines in responses to users and operators.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::stand_ins::{DeploymentOptions, Simulation, job, run_in_simulated_time};

/// Time after the start until all controllers answer.
const START: Duration = Duration::from_secs(5);

/// Guards against errors that quote a malformed field whole, with each quote in it escaped: the
/// line was longer than the submission.
#[test]
fn error_about_a_long_field_fits_a_line() {
    let long = Value::String("\"".repeat(30_000));
    let fields = [
        "vcpus", "cut", "urgency", "boards", "grades", "awaits", "crew",
    ];
    run_in_simulated_time(|| async move {
        let simulation = Simulation::new(31).await;
        sleep(START).await;
        for field in fields {
            let mut malformed = job(1, "batch", 1, 1.0);
            malformed[field] = long.clone();
            let submitted = simulation.send_request(0, "POST", "/submissions", Some(&malformed));
            let (status, _) = submitted.await;
            let oversized = simulation.frames.oversized.borrow().clone();
            assert!(oversized.is_empty(), "{field}: {oversized:?}");
            assert!([400, 422, 503].contains(&status), "{field}: {status}");
        }
    });
}

/// Guards against operators' reports on one line, which grow with names and teams.
#[test]
fn lines_of_operators_reports_fit_the_limit() {
    run_in_simulated_time(|| async move {
        let teams = (0..400).map(|number| (format!("team-{number}"), 8.0, 12.0));
        let options = DeploymentOptions {
            teams: teams.collect(),
            shares: true,
            ..DeploymentOptions::default()
        };
        let simulation = Simulation::with_options(32, options).await;
        sleep(START).await;
        for number in 0..100 {
            let mut submission = job(number, "batch", 1, 600.0);
            submission["crew"] = json!("team-0");
            submission["lot"] = json!("\u{1}".repeat(200));
            simulation.submit(submission).await;
        }
        for path in [
            "/ops/report",
            "/ops/teams",
            "/ops/shares",
            "/ops/job/job-000001",
        ] {
            let (status, report) = simulation.send_request(0, "GET", path, None).await;
            let oversized = simulation.frames.oversized.borrow().clone();
            assert!(oversized.is_empty(), "{path}: {oversized:?}");
            assert_eq!(status, 200, "{path}");
            assert!(!report.is_null(), "{path}");
        }
    });
}
