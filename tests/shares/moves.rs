//! Tests of single moves: of free and booked capacity, overlapping, repeated and refused.

use serde_json::json;
use tokio::time::sleep;

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{Simulation, run_in_simulated_time};

/// All capacity of a controller's share moves to another share while services run in it. No
/// job changes its attempt or machine, and every controller reports the move as done.
#[test]
fn booked_capacity_moves_with_its_jobs() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(1, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 6, "t").await;
        // By then, all tasks are recorded as started, and placements no longer change.
        sleep(secs(5.0)).await;
        let before = checker.placements();
        let source = (0..3).find(|i| granted_cpus(&checker, "t", *i) >= 4.0);
        let source = source.expect("a source");
        let destination = (source + 1) % 3;
        let amount = granted_cpus(&checker, "t", source);
        let request = move_request("all", "t", source, destination, amount);
        let (status, answer) = request_move(&simulation, destination, &request).await;
        assert_eq!(
            (status, answer["moves"][0]["generation"].clone()),
            (200, json!(1))
        );
        wait_until("the move is done", 30.0, || !checker.is_moving()).await;
        assert_eq!(granted_cpus(&checker, "t", source), 0.0);
        assert!(checker.counts().jobs_reassigned > 0);
        assert_eq!(checker.placements(), before);
        for i in 0..3 {
            let path = "/ops/shares/moves?id=all";
            wait_until_done(&simulation, i, path).await;
        }
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}

/// Waits until a controller reports the move as done.
async fn wait_until_done(simulation: &Simulation, i: usize, path: &str) {
    for _ in 0..40 {
        let (status, answer) = simulation.send_request(i, "GET", path, None).await;
        assert_eq!(status, 200);
        if answer["moves"][0]["state"] == "done" {
            return;
        }
        sleep(secs(0.25)).await;
    }
    panic!("not done at n{i}");
}

/// A second move is requested before the first is done. Each move takes effect once, however
/// often and at whichever controllers its request is repeated.
#[test]
fn overlapping_and_repeated_moves_take_effect_once() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(2, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 8, "t").await;
        let source = (0..3).max_by_key(|i| granted_cpus(&checker, "t", *i) as i64);
        let source = source.expect("a source");
        let [destination, other] = [(source + 1) % 3, (source + 2) % 3];
        let before = [source, destination, other].map(|i| granted_cpus(&checker, "t", i));
        let first = move_request("there", "t", source, destination, 4.0);
        let second = move_request("back", "t", destination, source, 1.0);
        for request in [&first, &second] {
            for i in 0..3 {
                let (status, _) = request_move(&simulation, i, request).await;
                assert_eq!(status, 200);
            }
        }
        wait_until("both moves are done", 30.0, || !checker.is_moving()).await;
        for i in 0..3 {
            assert_eq!(request_move(&simulation, i, &first).await.0, 200);
        }
        sleep(secs(2.0)).await;
        let after = [source, destination, other].map(|i| granted_cpus(&checker, "t", i));
        assert_eq!([after[0], after[2]], [before[0] - 3.0, before[2]]);
        // The share may also have grown by more than the moves, to take over a job that is larger
        // than the moved amount.
        assert!(after[1] >= before[1] + 3.0, "{before:?} {after:?}");
        assert_eq!(checker.counts().moves, 2);
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}

/// Invalid requests are refused with one message and change nothing.
#[test]
fn invalid_moves_are_refused() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(3, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 2, "t").await;
        let before = checker.share("t");
        let valid = move_request("x", "t", 0, 1, 1.0);
        let request_with = |field: &str, value: serde_json::Value| {
            let mut request = valid.clone();
            request[field] = value;
            request
        };
        for (request, problem) in [
            (request_with("team", json!("nobody")), "unknown team nobody"),
            (request_with("from", json!("n9")), "unknown controller n9"),
            (request_with("to", json!("n9")), "unknown controller n9"),
            (
                request_with("to", json!("n0")),
                "the source and the destination of the move are both n0",
            ),
            (
                request_with("cpus", json!(0.0)),
                "the amount to move must be above 0",
            ),
            (
                request_with("cpus", json!(1e6)),
                "n0 has less than the amount to move",
            ),
            (
                request_with("cpus", json!(-1.0)),
                "an amount is negative, too large or not a number",
            ),
            (
                request_with("cpus", json!("two")),
                "the request body is not a valid move",
            ),
            (
                request_with("id", json!("a b")),
                "the id must have 1 to 64 letters, digits, dashes, underscores or dots",
            ),
        ] {
            let (status, answer) = request_move(&simulation, 0, &request).await;
            assert_eq!((status, answer["error"].as_str()), (400, Some(problem)));
        }
        let dry_run = request_with("dry_run", json!(true));
        let source = (0..3).find(|i| granted_cpus(&checker, "t", *i) >= 1.0);
        let mut dry_run = dry_run.clone();
        dry_run["from"] = json!(format!("n{}", source.expect("a source")));
        dry_run["to"] = json!(format!("n{}", (source.expect("a source") + 1) % 3));
        assert_eq!(request_move(&simulation, 0, &dry_run).await.0, 200);
        assert_eq!(checker.share("t"), before);
        assert_eq!(checker.counts().moves, 0);
        checker.assert_no_violations("");
    });
}

/// While shares are disabled, no records of shares are written and moves are refused with the
/// reason.
#[test]
fn disabled_shares_write_no_records() {
    run_in_simulated_time(|| async {
        let mut disabled = shape(3);
        disabled.shares = false;
        let simulation = Simulation::with_options(4, disabled).await;
        let checker = Checker::watch(&simulation);
        start_services(&simulation, 1, 3, "t").await;
        sleep(secs(10.0)).await;
        for table in ["sh/share/", "sh/use/", "sh/pool", "sh/move/"] {
            assert!(simulation.state.records(table).is_empty(), "{table}");
        }
        assert!(!simulation.state.records("sh/team/").is_empty());
        let (status, answer) =
            request_move(&simulation, 0, &move_request("x", "t", 0, 1, 1.0)).await;
        assert_eq!(
            (status, answer["error"].as_str()),
            (422, Some("shares are disabled"))
        );
        assert!(!checker.has_pool());
        simulation.assert_no_violations();
    });
}

/// A team can use its whole limit, however its capacity is distributed over the controllers:
/// work that fills the limit runs, and no work beyond it does.
#[test]
fn team_can_use_its_whole_limit() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(5, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        // Twelve services of four CPUs each fill the limit of 48 CPUs.
        let ids = start_services(&simulation, 1, 12, "t").await;
        let mut job_request = crate::stand_ins::job(20, "daemon", 1, 10.0);
        job_request["crew"] = json!("t");
        let job_beyond_limit = simulation.submit(job_request).await;
        sleep(secs(20.0)).await;
        assert_eq!(simulation.running_task_count(&job_beyond_limit), 0);
        assert_eq!(checker.counts().max_booked, 48_000);
        // Capacity that one job releases is immediately available to the next.
        simulation.cancel(0, &ids[0]).await;
        wait_until("the job beyond the limit runs", 30.0, || {
            simulation.running_task_count(&job_beyond_limit) == 1
        })
        .await;
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}

/// Decodes the record at this key.
fn record<T: serde::de::DeserializeOwned>(simulation: &Simulation, key: &str) -> T {
    let value = simulation.state.value(key).expect("a record");
    serde_json::from_value(value).expect("a readable record")
}

/// An unreadable share record is rebuilt from the bookings. No job is changed, and the team's
/// work continues.
#[test]
fn unreadable_share_record_is_rebuilt() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(6, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        let ids = start_services(&simulation, 1, 4, "t").await;
        let source = (0..3).find(|i| granted_cpus(&checker, "t", *i) >= 1.0);
        let source = source.expect("a source");
        let request = move_request("before", "t", source, (source + 1) % 3, 1.0);
        assert_eq!(request_move(&simulation, 0, &request).await.0, 200);
        wait_until("the move is done", 30.0, || !checker.is_moving()).await;
        checker.assert_no_violations("");
        // The checker is removed, because it cannot decode the invalid record that follows.
        simulation.state.observers.borrow_mut().clear();
        simulation.state.write("sh/share/t", &json!("not a split"));
        start_services(&simulation, 5, 8, "t").await;
        assert!(ids.iter().all(|id| simulation.running_task_count(id) == 2));
        let share: shares::Share = record(&simulation, "sh/share/t");
        assert!(share.total().cpus.units() >= 48.0, "{share:?}");
        assert_eq!((share.generation, share.settled), (1, 1));
        let source = (0..3).find(|i| share.granted_to(&format!("n{i}")).cpus.units() >= 1.0);
        let source = source.expect("a source");
        let request = move_request("after", "t", source, (source + 1) % 3, 1.0);
        let (status, answer) = request_move(&simulation, 0, &request).await;
        assert_eq!(
            (status, answer["moves"][0]["generation"].clone()),
            (200, json!(2))
        );
        let pool: shares::Pool = record(&simulation, "sh/pool");
        let shares =
            ["sh/share/t", "sh/share/u"].map(|key| record::<shares::Share>(&simulation, key));
        assert_eq!(pool.granted, shares.iter().map(shares::Share::total).sum());
        simulation.assert_no_violations();
    });
}
