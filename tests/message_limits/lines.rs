//! Lines in responses to users and operators, and frames between controllers.

use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::gossip::{MAX_MESSAGE_BYTES, PeerStatus, decode, encode};
use tokio::time::sleep;

use crate::stand_ins::{DeploymentOptions, Simulation, job, run_in_simulated_time};

/// Time after the start until all controllers answer.
const START: Duration = Duration::from_secs(5);

/// Number of bytes in a frame before its message: the length of the message.
const FRAME_HEAD_BYTES: usize = 4;

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

/// Guards against frames that no peer accepts: a controller whose refused offers are too many
/// for a frame looked dead to all others.
#[test]
fn frame_with_many_refused_offers_is_accepted() {
    for (offers, name_bytes) in [(0, 0), (10, 40), (5_000, 40), (20_000, 400), (1, 600_000)] {
        let status = PeerStatus {
            controller: "n0".into(),
            incarnation: u64::MAX,
            staleness_ms: Some(7),
            owned_machines: 9,
            silent_machines: 1,
            write_demand: 2.5,
            refused_offers: vec!["o".repeat(name_bytes); offers],
        };
        let case = format!("{offers} offers of {name_bytes} bytes");
        let frame = encode(&status).expect("a frame");
        assert!(
            frame.len() <= FRAME_HEAD_BYTES + MAX_MESSAGE_BYTES,
            "{case}"
        );
        let received = decode(&frame[FRAME_HEAD_BYTES..]).expect("a message");
        assert_eq!(received.controller, "n0", "{case}");
        assert_eq!(received.owned_machines, 9, "{case}");
        if offers * name_bytes < MAX_MESSAGE_BYTES / 4 {
            assert_eq!(received.refused_offers, status.refused_offers, "{case}");
        }
    }
}
