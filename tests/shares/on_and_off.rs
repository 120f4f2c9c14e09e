//! The accounting by shares is begun and ended in a deployment that serves, while
//! controllers end, and beside older programs.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{World, in_world, job};

const TABLES: [&str; 3] = ["sh/share/", "sh/use/", "sh/pool"];

/// A controller's turn: it comes back with the feature on or off.
async fn restart(w: &World, i: usize, on: bool) {
    w.kill(i);
    w.shares.borrow_mut().insert(i, on);
    sleep(secs(2.0)).await;
    w.start(i);
    sleep(secs(3.0)).await;
}

/// Arrays come and go until this is stopped.
fn load(w: &Rc<World>, first: u32) -> (Rc<Cell<bool>>, JoinHandle<Vec<String>>) {
    let stopped = Rc::new(Cell::new(false));
    let (w, stop) = (w.clone(), stopped.clone());
    let task = spawn_local(async move {
        let mut ids = Vec::new();
        while !stop.get() {
            let n = first + ids.len() as u32;
            let mut one = job(n, ["batch", "gang"][ids.len() % 2], 2, 6.0);
            one["crew"] = json!(TEAMS[ids.len() % 2]);
            ids.push(w.submit(one).await);
            sleep(secs(1.5)).await;
        }
        ids
    });
    (stopped, task)
}

/// Lets one team's accounting change, and refuses the next one's.
fn hold_after_one_team(w: &World) {
    let passed = Cell::new(false);
    let gate = move |_: usize, body: &Value| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        let mut keys = writes.iter().filter_map(|write| write["set"].as_str());
        // Only a change of the accounting writes these two together.
        let changes = keys.any(|key| key == "sh/pool")
            && writes.iter().any(|write| {
                let key = write["set"].as_str().unwrap_or_default();
                key.starts_with("sh/team/")
            });
        changes && passed.replace(true)
    };
    *w.state.gate.borrow_mut() = Some(Box::new(gate));
}

/// Asks for a move at one controller after another until one takes it.
async fn ask_until_taken(w: &World, body: &Value) {
    for k in 0..30 {
        if ask_move(w, k % w.shape.controllers, body).await.0 == 200 {
            return;
        }
        sleep(secs(0.5)).await;
    }
    panic!("not taken: {body}");
}

fn has_shares(w: &World) -> bool {
    // What is booked against a share stays on record, and counts no more.
    ["sh/share/", "sh/pool"]
        .iter()
        .any(|table| !w.state.records(table).is_empty())
}

/// Every task that runs, with its machine and attempt.
fn tasks_of(checker: &Checker, ids: &[String]) -> Vec<(String, Value)> {
    let placements = checker.placements();
    let runs = |id: &String| serde_json::to_value(&placements[id].runs).expect("runs");
    ids.iter().map(|id| (id.clone(), runs(id))).collect()
}

/// Switched on, off and on again under load; in each turn a controller ends halfway. No
/// service is touched, every array ends, and the team's limit holds throughout.
#[test]
fn on_and_off_under_load_while_controllers_end() {
    in_world(|| async {
        let mut off = shape(3);
        off.shares = false;
        let w = World::of(61, off).await;
        let checker = Checker::watch(&w);
        let ids = services(&w, 1, 6, "t").await;
        sleep(secs(5.0)).await;
        let before = tasks_of(&checker, &ids);
        let (stopped, arrays) = load(&w, 100);
        for turn in 0..3 {
            let on = turn % 2 == 0;
            hold_after_one_team(&w);
            for i in 0..3 {
                assert_eq!(has_shares(&w), !on, "turn {turn}: too early at n{i}");
                restart(&w, i, on).await;
                if !on {
                    break;
                }
            }
            // Halfway: one team's accounting has changed, the other's has not.
            let changed = || {
                TEAMS
                    .iter()
                    .filter(|team| checker.share(team).is_some())
                    .count()
            };
            until("halfway", 60.0, || changed() == 1).await;
            sleep(secs(1.0)).await;
            assert_eq!(changed(), 1);
            w.kill(turn);
            sleep(secs(1.0)).await;
            w.start(turn);
            *w.state.gate.borrow_mut() = None;
            until("the end of the turn", 90.0, || match on {
                true => changed() == 2,
                false => !has_shares(&w),
            })
            .await;
            if on {
                let giver = (0..3).find(|i| granted(&checker, "t", *i) >= 1.0);
                let giver = giver.expect("a share");
                let body = move_body(&format!("in-{turn}"), "t", giver, (giver + 1) % 3, 1.0);
                ask_until_taken(&w, &body).await;
                until("the move", 60.0, || !checker.is_moving()).await;
            } else {
                // The others follow, one after another.
                for i in 1..3 {
                    restart(&w, i, false).await;
                }
            }
            assert_eq!(tasks_of(&checker, &ids), before, "turn {turn}");
            checker.assert_kept(&format!("turn {turn}"));
        }
        stopped.set(true);
        for id in arrays.await.expect("the load") {
            w.until(&id, "done", 120).await;
        }
        // Nothing of what is booked was lost: the limit is full once it is.
        services(&w, 20, 6, "t").await;
        let beyond = w.submit(job(40, "daemon", 1, 10.0)).await;
        sleep(secs(20.0)).await;
        assert_eq!(w.running(&beyond), 0);
        checker.assert_kept("");
        w.assert_kept();
    });
}

/// Controllers of an older program are replaced one after another: nothing of shares is
/// written before all are new, and a commit that an older one decided on before fails.
#[test]
fn beside_older_programs_nothing_of_shares_is_written() {
    in_world(|| async {
        let w = World::of(62, shape(3)).await;
        w.state.older.borrow_mut().extend(0..3);
        let checker = Checker::watch(&w);
        let ids = services(&w, 1, 4, "t").await;
        sleep(secs(5.0)).await;
        let before = tasks_of(&checker, &ids);
        for i in 0..3 {
            sleep(secs(10.0)).await;
            for table in TABLES {
                assert!(w.state.records(table).is_empty(), "{table} before n{i}");
            }
            assert_eq!(w.state.unreadable(), Vec::<String>::new());
            w.kill(i);
            w.state.older.borrow_mut().remove(&i);
            w.start(i);
        }
        until_split(&checker).await;
        let team = w.state.value("sh/team/t").expect("a record");
        assert_eq!(team["u"]["c"], json!(16_000));
        assert_eq!(tasks_of(&checker, &ids), before);
        services(&w, 10, 4, "t").await;
        checker.assert_kept("");
        w.assert_kept();
    });
}
