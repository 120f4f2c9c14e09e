//! Lines in responses to users.

use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::stand_ins::{Simulation, job, run_in_simulated_time};

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
