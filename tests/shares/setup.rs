//! What these tests do with a deployment: start it with shares, ask for moves, wait.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::stand_ins::{Shape, World, job};

pub const TEAMS: [&str; 2] = ["t", "u"];

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A deployment with shares on: so many controllers, two teams, some machines.
pub fn shape(controllers: usize) -> Shape {
    let teams = [("t", 20.0, 48.0), ("u", 20.0, 40.0)];
    Shape {
        controllers,
        locations: (0..controllers).map(|i| ["a", "a", "b"][i % 3]).collect(),
        teams: teams
            .map(|(name, cpus, most)| (name.to_string(), cpus, most))
            .to_vec(),
        machines: 10,
        shares: true,
        ..Shape::default()
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, limit_s: f64, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < secs(limit_s),
            "{what}: not after {limit_s} s"
        );
        sleep(secs(0.05)).await;
    }
}

/// Waits until the bookings of all teams count against shares.
pub async fn until_split(checker: &Checker) {
    until("a split", 60.0, || {
        TEAMS.iter().all(|team| checker.share(team).is_some())
    })
    .await;
}

/// A move of CPUs as it is asked for.
pub fn move_body(id: &str, team: &str, from: usize, to: usize, cpus: f64) -> Value {
    json!({"id": id, "team": team, "from": format!("n{from}"), "to": format!("n{to}"),
        "cpus": cpus})
}

/// Asks one controller for a move, once.
pub async fn ask_move(w: &World, i: usize, body: &Value) -> (u16, Value) {
    w.ask(i, "POST", "/ops/shares/move", Some(body)).await
}

/// What a controller may have booked, in CPUs.
pub fn granted(checker: &Checker, team: &str, i: usize) -> f64 {
    let share = checker.share(team).expect("a split");
    share.granted_to(&format!("n{i}")).cpus.units()
}

/// Services of two tasks, which run until they are cancelled.
pub async fn services(w: &Rc<World>, from: u32, count: u32, team: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for n in from..from + count {
        let mut one = job(n, "daemon", 2, 10.0);
        one["crew"] = json!(team);
        ids.push(w.submit(one).await);
    }
    for id in &ids {
        let running = || w.running(id) == 2;
        until(id, 100.0, running).await;
    }
    ids
}
