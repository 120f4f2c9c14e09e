//! Single moves: of free room, of room in use, overlapping, repeated, refused.

use serde_json::json;
use tokio::time::sleep;

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{World, in_world};

/// All of a controller's room moves to another while services run in it: no attempt and
/// no machine changes, and the split of every controller says so.
#[test]
fn room_in_use_moves_with_its_jobs() {
    in_world(|| async {
        let w = World::of(1, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 6, "t").await;
        // What has begun is on record; what is placed does not change any more.
        sleep(secs(5.0)).await;
        let before = checker.placements();
        let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 4.0);
        let giver = giver.expect("a share");
        let receiver = (giver + 1) % 3;
        let amount = granted(&checker, "t", giver);
        let body = move_body("all", "t", giver, receiver, amount);
        let (status, answer) = ask_move(&w, receiver, &body).await;
        assert_eq!(
            (status, answer["moves"][0]["generation"].clone()),
            (200, json!(1))
        );
        until("the move", 30.0, || !checker.is_moving()).await;
        assert_eq!(granted(&checker, "t", giver), 0.0);
        assert!(checker.counts().jobs_taken_along > 0);
        assert_eq!(checker.placements(), before);
        for i in 0..3 {
            let path = "/ops/shares/moves?id=all";
            until_done(&w, i, path).await;
        }
        checker.assert_kept("");
        w.assert_kept();
    });
}

async fn until_done(w: &World, i: usize, path: &str) {
    for _ in 0..40 {
        let (status, answer) = w.ask(i, "GET", path, None).await;
        assert_eq!(status, 200);
        if answer["moves"][0]["state"] == "done" {
            return;
        }
        sleep(secs(0.25)).await;
    }
    panic!("not done at n{i}");
}

/// A second move arrives before the first is done; each id takes effect once, at
/// whichever controllers and however often it is repeated.
#[test]
fn overlapping_and_repeated_moves_add_up() {
    in_world(|| async {
        let w = World::of(2, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 8, "t").await;
        let giver = (0..3).max_by_key(|i| granted(&checker, "t", *i) as i64);
        let giver = giver.expect("a share");
        let [to, other] = [(giver + 1) % 3, (giver + 2) % 3];
        let before = [giver, to, other].map(|i| granted(&checker, "t", i));
        let first = move_body("there", "t", giver, to, 4.0);
        let second = move_body("back", "t", to, giver, 1.0);
        for body in [&first, &second] {
            for i in 0..3 {
                let (status, _) = ask_move(&w, i, body).await;
                assert_eq!(status, 200);
            }
        }
        until("the moves", 30.0, || !checker.is_moving()).await;
        for i in 0..3 {
            assert_eq!(ask_move(&w, i, &first).await.0, 200);
        }
        sleep(secs(2.0)).await;
        let after = [giver, to, other].map(|i| granted(&checker, "t", i));
        assert_eq!([after[0], after[2]], [before[0] - 3.0, before[2]]);
        // It may have grown besides, to take a job along that is larger than the move.
        assert!(after[1] >= before[1] + 3.0, "{before:?} {after:?}");
        assert_eq!(checker.counts().moves, 2);
        checker.assert_kept("");
        w.assert_kept();
    });
}

/// What is wrong is refused with one message, and nothing changes.
#[test]
fn wrong_moves_are_refused() {
    in_world(|| async {
        let w = World::of(3, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 2, "t").await;
        let before = checker.share("t");
        let good = move_body("x", "t", 0, 1, 1.0);
        let with = |field: &str, value: serde_json::Value| {
            let mut body = good.clone();
            body[field] = value;
            body
        };
        for (body, problem) in [
            (with("team", json!("nobody")), "unknown team nobody"),
            (with("from", json!("n9")), "unknown controller n9"),
            (with("to", json!("n9")), "unknown controller n9"),
            (
                with("to", json!("n0")),
                "the source and the destination of the move are both n0",
            ),
            (
                with("cpus", json!(0.0)),
                "the amount to move must be above 0",
            ),
            (
                with("cpus", json!(1e6)),
                "n0 has less than the amount to move",
            ),
            (
                with("cpus", json!(-1.0)),
                "an amount is negative, too large or not a number",
            ),
            (
                with("cpus", json!("two")),
                "the request body is not a valid move",
            ),
            (
                with("id", json!("a b")),
                "the id must have 1 to 64 letters, digits, dashes, underscores or dots",
            ),
        ] {
            let (status, answer) = ask_move(&w, 0, &body).await;
            assert_eq!((status, answer["error"].as_str()), (400, Some(problem)));
        }
        let dry = with("dry_run", json!(true));
        let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 1.0);
        let mut dry = dry.clone();
        dry["from"] = json!(format!("n{}", giver.expect("a share")));
        dry["to"] = json!(format!("n{}", (giver.expect("a share") + 1) % 3));
        assert_eq!(ask_move(&w, 0, &dry).await.0, 200);
        assert_eq!(checker.share("t"), before);
        assert_eq!(checker.counts().moves, 0);
        checker.assert_kept("");
    });
}

/// Without the feature nothing of it is written, and operators are told.
#[test]
fn without_the_feature_nothing_is_written() {
    in_world(|| async {
        let mut off = shape(3);
        off.shares = false;
        let w = World::of(4, off).await;
        let checker = Checker::watch(&w);
        services(&w, 1, 3, "t").await;
        sleep(secs(10.0)).await;
        for table in ["sh/share/", "sh/use/", "sh/pool", "sh/move/"] {
            assert!(w.state.records(table).is_empty(), "{table}");
        }
        assert!(!w.state.records("sh/team/").is_empty());
        let (status, answer) = ask_move(&w, 0, &move_body("x", "t", 0, 1, 1.0)).await;
        assert_eq!(
            (status, answer["error"].as_str()),
            (422, Some("shares are disabled"))
        );
        assert!(!checker.has_pool());
        w.assert_kept();
    });
}

/// A team has all of its room, whichever controllers have it: work that fills its limit
/// runs, and nothing beyond it does.
#[test]
fn a_team_has_all_of_its_room() {
    in_world(|| async {
        let w = World::of(5, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        // Twelve services of four CPUs each are all of 48.
        let ids = services(&w, 1, 12, "t").await;
        let mut one = crate::stand_ins::job(20, "daemon", 1, 10.0);
        one["crew"] = json!("t");
        let beyond = w.submit(one).await;
        sleep(secs(20.0)).await;
        assert_eq!(w.running(&beyond), 0);
        assert_eq!(checker.counts().most_booked, 48_000);
        // Room that one job leaves is there for the next at once.
        w.withdraw(0, &ids[0]).await;
        until("the job beyond", 30.0, || w.running(&beyond) == 1).await;
        checker.assert_kept("");
        w.assert_kept();
    });
}

fn record<T: serde::de::DeserializeOwned>(w: &World, key: &str) -> T {
    let value = w.state.value(key).expect("a record");
    serde_json::from_value(value).expect("a readable record")
}

/// A split that cannot be read is made anew from what is booked: no job is touched, and the
/// team's work goes on.
#[test]
fn a_split_that_cannot_be_read_is_made_anew() {
    in_world(|| async {
        let w = World::of(6, shape(3)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        let ids = services(&w, 1, 4, "t").await;
        let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 1.0);
        let giver = giver.expect("a share");
        let body = move_body("before", "t", giver, (giver + 1) % 3, 1.0);
        assert_eq!(ask_move(&w, 0, &body).await.0, 200);
        until("the move", 30.0, || !checker.is_moving()).await;
        checker.assert_kept("");
        // The checker reads what controllers write, not this.
        w.state.observers.borrow_mut().clear();
        w.state.write("sh/share/t", &json!("not a split"));
        services(&w, 5, 8, "t").await;
        assert!(ids.iter().all(|id| w.running(id) == 2));
        let split: shares::Share = record(&w, "sh/share/t");
        assert!(split.total().cpus.units() >= 48.0, "{split:?}");
        assert_eq!((split.generation, split.settled), (1, 1));
        let giver = (0..3).find(|i| split.granted_to(&format!("n{i}")).cpus.units() >= 1.0);
        let giver = giver.expect("a share");
        let body = move_body("after", "t", giver, (giver + 1) % 3, 1.0);
        let (status, answer) = ask_move(&w, 0, &body).await;
        assert_eq!(
            (status, answer["moves"][0]["generation"].clone()),
            (200, json!(2))
        );
        let pool: shares::Pool = record(&w, "sh/pool");
        let splits = ["sh/share/t", "sh/share/u"].map(|key| record::<shares::Share>(&w, key));
        assert_eq!(pool.granted, splits.iter().map(shares::Share::total).sum());
        w.assert_kept();
    });
}
