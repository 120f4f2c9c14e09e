//! Any two troubles meet while users submit, cancel and ask.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::sleep;

use crate::scenario::{cancel, ending_at, secs, settle};
use crate::stand_ins::{Shape, StateTroubles, Trouble, World, in_world, job};

const TROUBLES: [&str; 18] = [
    "ends",
    "all end",
    "stands",
    "refused",
    "outage",
    "late",
    "unanswered",
    "slow",
    "deaf",
    "mute",
    "hang",
    "held",
    "copies",
    "workers cut",
    "zone cut",
    "state and peers cut",
    "machine lost",
    "cancel now",
];

/// One trouble, from its beginning to its end.
async fn trouble(w: Rc<World>, kind: &'static str, span: Duration, draw: usize) {
    let leader = w.busiest();
    let busy = w.busy();
    let some: Vec<_> = busy.iter().skip(draw % 3).step_by(2).collect();
    let alter = |f: &dyn Fn(&mut StateTroubles)| f(&mut w.state.troubles.borrow_mut());
    match kind {
        "ends" => {
            w.kill(leader);
            sleep(span.mul_f64([0.0, 0.2, 1.0][draw % 3])).await;
            w.heal_controllers();
        }
        "all end" => {
            for i in 0..w.shape.controllers {
                w.kill(i);
            }
            sleep(span).await;
            w.heal_controllers();
        }
        "stands" => {
            w.freeze(leader, true);
            sleep(span).await;
            w.freeze(leader, false);
        }
        "refused" => {
            alter(&|t| _ = t.refused.insert(leader));
            sleep(span).await;
            alter(&|t| _ = t.refused.remove(&leader));
        }
        "outage" => {
            w.state.trouble.set(Trouble::Down);
            sleep(span.mul_f64([1.0, 3.0][draw % 2])).await;
            w.state.trouble.set(Trouble::None);
        }
        "late" => {
            alter(&|t| t.late = 0.2);
            sleep(span).await;
            alter(&|t| t.late = 0.0);
        }
        "unanswered" => {
            alter(&|t| t.unanswered = 0.3);
            sleep(span).await;
            alter(&|t| t.unanswered = 0.0);
        }
        "slow" => {
            alter(&|t| t.slow = secs(1.2));
            sleep(span).await;
            alter(&|t| t.slow = Duration::ZERO);
        }
        "deaf" => {
            some.iter().for_each(|m| m.deaf.set(true));
            sleep(span).await;
            some.iter().for_each(|m| m.deaf.set(false));
        }
        "mute" => {
            some.iter().for_each(|m| m.mute.set(true));
            sleep(span).await;
            some.iter().for_each(|m| m.mute.set(false));
        }
        "hang" => some.iter().for_each(|m| m.hang(span)),
        "held" => {
            busy.iter()
                .for_each(|m| m.orders_held.set(span.div_f64(2.0)));
            sleep(span).await;
            busy.iter().for_each(|m| m.orders_held.set(Duration::ZERO));
        }
        "copies" => {
            sleep(span).await;
            w.deliver_copies();
        }
        "workers cut" => {
            w.cut_workers(leader, true);
            sleep(span).await;
            w.cut_workers(leader, false);
        }
        "zone cut" => {
            let zone = w.shape.zones[draw % 2];
            w.cut_zone(zone, true);
            sleep(span).await;
            w.cut_zone(zone, false);
        }
        "state and peers cut" => {
            w.cut_peers(leader, true);
            alter(&|t| _ = t.refused.insert(leader));
            sleep(span).await;
            w.cut_peers(leader, false);
            alter(&|t| _ = t.refused.remove(&leader));
        }
        "machine lost" => {
            if let Some(m) = some.first() {
                w.lose(m.name());
            }
        }
        // Up to five that run, within a fifth of a second, some machines hang.
        _ => {
            for id in w.running_jobs().into_iter().take(5) {
                let world = w.clone();
                tokio::task::spawn_local(async move { cancel(&world, None, &id).await });
            }
            some.iter().take(2).for_each(|m| m.hang(span.div_f64(2.0)));
        }
    }
}

/// Each pair of troubles meets twice while users submit, cancel and ask, with
/// teams at their limits.
async fn two_meet(seed: u64, a: &'static str, b: &'static str) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let shape = Shape {
        cancel_s: [30.0, 15.0][seed as usize % 2],
        boot_s: [4.0, 1.0][seed as usize / 2 % 2],
        ..Shape::default()
    };
    let w = World::of(seed, shape).await;
    w.copied.set(0.05);
    let mut ids = Vec::new();
    let mut users = Vec::new();
    for step in 0..110u32 {
        if step == 20 || step == 60 {
            for (kind, after) in [(a, 0.0), (b, rng.random_range(0.0..4.0))] {
                let span = secs(rng.random_range(1.0..14.0));
                let (world, draw) = (w.clone(), rng.random_range(0..6));
                tokio::task::spawn_local(async move {
                    sleep(secs(after)).await;
                    trouble(world, kind, span, draw).await;
                });
            }
        }
        if step < 90 && step % 3 == 0 {
            let cut = *["batch", "gang", "daemon", "batch"]
                .choose(&mut rng)
                .expect("one");
            let run_s = rng.random_range(1.0..15.0);
            let count = rng.random_range(1..4);
            let ends: Vec<f64> = (0..count)
                .map(|_| run_s * rng.random_range(0.3..1.7))
                .collect();
            let mut one = match cut {
                "batch" => ending_at(step + 1, cut, &ends),
                _ => job(step + 1, cut, count, run_s),
            };
            one["crew"] = json!(*["t", "u"].choose(&mut rng).expect("one"));
            one["yard"] =
                [json!(null), json!(null), json!("a"), json!("b")][rng.random_range(0..4)].clone();
            one["same_place"] = json!(rng.random_bool(0.2));
            one["urgency"] = json!(*["low", "normal", "urgent"].choose(&mut rng).expect("one"));
            let off =
                (cut == "daemon" || rng.random_bool(0.3)).then(|| rng.random_range(0.0..25.0));
            let off = off.map(|s| if s < 8.0 { run_s + 2.0 } else { s });
            let looks = rng.random_bool(0.3);
            ids.push(one["name_id"].as_str().expect("id").to_string());
            let world = w.clone();
            users.push(tokio::task::spawn_local(async move {
                let id = world.submit(one).await;
                if looks {
                    world.look_closely(&id).await;
                }
                if let Some(after) = off {
                    sleep(secs(after)).await;
                    cancel(&world, None, &id).await;
                    world.look_closely(&id).await;
                }
            }));
        }
        sleep(secs(1.0)).await;
    }
    for user in users {
        user.await.expect("a user");
    }
    for id in ids.iter().filter(|id| w.is_service(id)) {
        w.heal();
        cancel(&w, None, id).await;
    }
    settle(&w, &format!("{a} and {b}, {seed}"), &ids).await;
}

/// The pairs whose number leaves `part` of `of`; `MEETINGS_FROM` gives other seeds.
fn pairs_meet(part: usize, of: usize) {
    let from = std::env::var("MEETINGS_FROM")
        .ok()
        .and_then(|s| s.parse().ok());
    let from: u64 = from.unwrap_or(2000);
    let mut number = 0;
    for (n, a) in TROUBLES.into_iter().enumerate() {
        for (m, b) in TROUBLES.into_iter().enumerate().skip(n) {
            number += 1;
            if number % of == part {
                in_world(|| two_meet(from + 20 * n as u64 + m as u64, a, b));
            }
        }
    }
}

#[test]
fn any_two_troubles_meet() {
    pairs_meet(0, 19);
}

#[test]
fn any_other_two_troubles_meet() {
    pairs_meet(5, 19);
}
