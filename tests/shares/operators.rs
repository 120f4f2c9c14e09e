//! What operators ask about shares, at any controller, and how the program starts with a
//! features file.

use serde_json::{Value, json};
use shelfhoist::accounting::{MoveAnswer, ShareReport};
use shelfhoist::cli::{moves_text, shares_text};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::program::{TemporaryFile, run};
use crate::setup::*;
use crate::stand_ins::{Trouble, World, in_world};

/// Every controller gives the same answer at the same revision, also while one is down.
#[test]
fn every_controller_gives_the_same_answer() {
    in_world(|| async {
        let w = World::of(41, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 4, "t").await;
        let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 1.0);
        let giver = giver.expect("a share");
        let body = move_body("one", "t", giver, (giver + 1) % 3, 1.0);
        assert_eq!(ask_move(&w, 2, &body).await.0, 200);
        until("the move", 30.0, || !checker.is_moving()).await;
        w.kill(2);
        for path in ["/ops/shares", "/ops/shares?team=t", "/ops/shares/moves"] {
            let answers = same_revision(&w, path).await;
            assert_eq!(answers[0], answers[1], "{path}");
        }
        let (_, report) = w.ask(0, "GET", "/ops/shares?team=t", None).await;
        let report: ShareReport = serde_json::from_value(report).expect("a report");
        assert_eq!(report.teams.len(), 1);
        assert_eq!(
            (report.teams[0].generation, report.teams[0].settled),
            (1, 1)
        );
        let used: f64 = report.teams[0]
            .controllers
            .iter()
            .map(|c| c.used.cpus)
            .sum();
        assert_eq!(used, 16.0);
        for path in ["/ops/shares?team=x", "/ops/shares/moves?id=x"] {
            assert_eq!(w.ask(0, "GET", path, None).await.0, 404);
        }
    });
}

/// The answers of two controllers once they speak of the same revision.
async fn same_revision(w: &World, path: &str) -> [Value; 2] {
    for _ in 0..200 {
        let (_, first) = w.ask(0, "GET", path, None).await;
        let (_, second) = w.ask(1, "GET", path, None).await;
        if first["revision"] == second["revision"] {
            return [first, second];
        }
        sleep(secs(0.02)).await;
    }
    panic!("no common revision");
}

/// Who cannot commit says so at once, and takes nothing on.
#[test]
fn who_cannot_commit_refuses_at_once() {
    in_world(|| async {
        let w = World::of(42, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 4, "t").await;
        w.state.trouble.set(Trouble::Down);
        sleep(secs(w.shape.lease_s)).await;
        let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 1.0);
        let giver = giver.expect("a share");
        let body = move_body("one", "t", giver, (giver + 1) % 3, 1.0);
        let asked = Instant::now();
        let (status, answer) = ask_move(&w, 0, &body).await;
        assert_eq!(status, 503, "{answer}");
        assert!(asked.elapsed() < secs(0.5), "{:?}", asked.elapsed());
        w.heal();
        sleep(secs(5.0)).await;
        assert_eq!(checker.counts().moves, 0);
        assert_eq!(ask_move(&w, 0, &body).await.0, 200);
        assert_eq!(checker.counts().moves, 1);
        checker.assert_kept("");
    });
}

#[test]
fn a_wrong_features_file_ends_the_start_with_one_message() {
    let settings = TemporaryFile::new("settings.json", &shape(3).settings_text(0));
    let unknown = TemporaryFile::new("unknown.toml", "[shares]\nenabeld = true\n");
    let range = TemporaryFile::new("range.toml", "[shares]\ngrowth = 0\n");
    let long = shape(3).settings_text(0).replace("\"t\"", "\"a/b\"");
    let slash = TemporaryFile::new("slash.json", &long);
    let on = TemporaryFile::new("on.toml", "[shares]\nenabled = true\n");
    for (features, settings, problem) in [
        ("/nowhere/features.toml", &settings, "features: cannot read"),
        (unknown.path(), &settings, "features: line 2: unknown field"),
        (
            range.path(),
            &settings,
            "features: shares.growth: lower than 1",
        ),
        (
            on.path(),
            &slash,
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
fn wrong_arguments_of_a_move_are_refused() {
    let controller = ["--node", "127.0.0.1:9"];
    let base = ["share", "move", "t", "--from", "n0", "--to", "n1"];
    for (more, problem) in [
        (["--cpus", "-1"], "an amount is negative"),
        (
            ["--cpus", "nan"],
            "an amount is negative, too large or not a number",
        ),
        (["--cpus", "1e99"], "an amount is negative, too large"),
        (["--cpus", "two"], "invalid value 'two'"),
        (["--cores", "2"], "unexpected argument '--cores'"),
    ] {
        let arguments: Vec<&str> = base
            .iter()
            .chain(&more)
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
fn splits_and_moves_as_text() {
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
        "  n0: has 8 CPUs, 0 accelerators, 0.5 GB, 8 CPUs, 0 accelerators, 0.5 GB used, is to have 6 CPUs, 0 accelerators, 0.5 GB",
        "  left to move: why",
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
