//! Tests of the operators' queries about shares and of the start of the program with a features
//! file. Any controller answers these queries.

use serde_json::{Value, json};
use shelfhoist::accounting::{MoveAnswer, ShareReport};
use shelfhoist::cli::{moves_text, shares_text};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::program::{TemporaryFile, run};
use crate::setup::*;
use crate::stand_ins::{Simulation, StateFault, run_in_simulated_time};

/// Every controller gives the same response at the same revision, also while another is down.
#[test]
fn every_controller_gives_the_same_response() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(41, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 4, "t").await;
        let source = (0..3).find(|i| granted_cpus(&checker, "t", *i) >= 1.0);
        let source = source.expect("a source");
        let request = move_request("one", "t", source, (source + 1) % 3, 1.0);
        assert_eq!(request_move(&simulation, 2, &request).await.0, 200);
        wait_until("the move is done", 30.0, || !checker.is_moving()).await;
        simulation.kill_controller(2);
        for path in ["/ops/shares", "/ops/shares?team=t", "/ops/shares/moves"] {
            let responses = responses_of_same_revision(&simulation, path).await;
            assert_eq!(responses[0], responses[1], "{path}");
        }
        let (_, report) = simulation
            .send_request(0, "GET", "/ops/shares?team=t", None)
            .await;
        let report: ShareReport = serde_json::from_value(report).expect("a report");
        assert_eq!(report.teams.len(), 1);
        assert_eq!(
            (report.teams[0].generation, report.teams[0].settled),
            (1, 1)
        );
        let used: f64 = report.teams[0]
            .controllers
            .iter()
            .map(|controller| controller.used.cpus)
            .sum();
        assert_eq!(used, 16.0);
        for path in ["/ops/shares?team=x", "/ops/shares/moves?id=x"] {
            assert_eq!(simulation.send_request(0, "GET", path, None).await.0, 404);
        }
    });
}

/// Queries two controllers until their responses are of the same revision, and returns the
/// responses.
async fn responses_of_same_revision(simulation: &Simulation, path: &str) -> [Value; 2] {
    for _ in 0..200 {
        let (_, first) = simulation.send_request(0, "GET", path, None).await;
        let (_, second) = simulation.send_request(1, "GET", path, None).await;
        if first["revision"] == second["revision"] {
            return [first, second];
        }
        sleep(secs(0.02)).await;
    }
    panic!("no common revision");
}

/// A controller that cannot commit refuses a move immediately and does not carry it out later.
#[test]
fn controller_that_cannot_commit_refuses_immediately() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(42, shape(3)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 4, "t").await;
        simulation.state.fault.set(StateFault::Outage);
        sleep(secs(simulation.shape.lease_s)).await;
        let source = (0..3).find(|i| granted_cpus(&checker, "t", *i) >= 1.0);
        let source = source.expect("a source");
        let request = move_request("one", "t", source, (source + 1) % 3, 1.0);
        let request_time = Instant::now();
        let (status, answer) = request_move(&simulation, 0, &request).await;
        assert_eq!(status, 503, "{answer}");
        assert!(
            request_time.elapsed() < secs(0.5),
            "{:?}",
            request_time.elapsed()
        );
        simulation.clear_faults();
        sleep(secs(5.0)).await;
        assert_eq!(checker.counts().moves, 0);
        assert_eq!(request_move(&simulation, 0, &request).await.0, 200);
        assert_eq!(checker.counts().moves, 1);
        checker.assert_no_violations("");
    });
}

#[test]
fn invalid_features_file_is_reported_with_one_message() {
    let settings = TemporaryFile::new("settings.json", &shape(3).settings_text(0));
    let unknown_field = TemporaryFile::new("unknown.toml", "[shares]\nenabeld = true\n");
    let out_of_range = TemporaryFile::new("range.toml", "[shares]\ngrowth = 0\n");
    let settings_with_slash = shape(3).settings_text(0).replace("\"t\"", "\"a/b\"");
    let slash_in_team = TemporaryFile::new("slash.json", &settings_with_slash);
    let enabled = TemporaryFile::new("on.toml", "[shares]\nenabled = true\n");
    for (features, settings, problem) in [
        ("/nowhere/features.toml", &settings, "features: cannot read"),
        (
            unknown_field.path(),
            &settings,
            "features: line 2: unknown field",
        ),
        (
            out_of_range.path(),
            &settings,
            "features: shares.growth: lower than 1",
        ),
        (
            enabled.path(),
            &slash_in_team,
            "with shares enabled, must have at most 90 bytes and no slash",
        ),
    ] {
        let output = run(&["--features-file", features, "--config", settings.path()]);
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(problem), "{message}");
    }
}

#[test]
fn invalid_arguments_of_a_move_are_refused() {
    let controller = ["--node", "127.0.0.1:9"];
    let command = ["share", "move", "t", "--from", "n0", "--to", "n1"];
    for (amount, problem) in [
        (["--cpus", "-1"], "an amount is negative"),
        (
            ["--cpus", "nan"],
            "an amount is negative, too large or not a number",
        ),
        (["--cpus", "1e99"], "an amount is negative, too large"),
        (["--cpus", "two"], "invalid value 'two'"),
        (["--cores", "2"], "unexpected argument '--cores'"),
    ] {
        let arguments: Vec<&str> = command
            .iter()
            .chain(&amount)
            .chain(&controller)
            .copied()
            .collect();
        let output = run(&arguments);
        let message = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(message.contains(problem), "{message}");
    }
}

#[test]
fn shares_and_moves_are_formatted_as_text() {
    let amounts = |cpus: f64| json!({"cpus": cpus, "gpus": 0.0, "memory_gb": 0.5});
    let report: ShareReport = serde_json::from_value(json!({
        "revision": 7, "capacity": amounts(80.0), "granted": amounts(48.0),
        "teams": [
            {"team": "t", "split": true, "generation": 3, "settled": 2, "obstacle": "why",
             "controllers": [{"controller": "n0", "granted": amounts(8.0),
                              "wanted": amounts(6.0), "used": amounts(8.0)}]},
            {"team": "u", "split": false, "generation": 0, "settled": 0, "controllers": []}]
    }))
    .expect("a report");
    let lines = [
        "At revision 7: shares hold 48 CPUs, 0 accelerators, 0.5 GB of 80 CPUs, 0 accelerators, 0.5 GB.",
        "t: move 2 of 3 settled",
        "  n0: has 8 CPUs, 0 accelerators, 0.5 GB, 8 CPUs, 0 accelerators, 0.5 GB used, target 6 CPUs, 0 accelerators, 0.5 GB",
        "  move pending: why",
        "u: not split",
    ];
    assert_eq!(shares_text(&report).lines().collect::<Vec<_>>(), lines);
    let answer: MoveAnswer = serde_json::from_value(json!({
        "revision": 7, "moves": [{"id": "x", "team": "t", "from": "n0", "to": "n1",
            "amount": amounts(2.0), "generation": 3, "state": "pending", "obstacle": "why"}]
    }))
    .expect("an answer");
    let lines = [
        "At revision 7:",
        "  x: 2 CPUs, 0 accelerators, 0.5 GB of t from n0 to n1: pending",
        "    why",
    ];
    assert_eq!(moves_text(&answer).lines().collect::<Vec<_>>(), lines);
}
