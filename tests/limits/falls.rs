//! The limits fall while controllers serve.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::setup::{LIMIT, all_go_on, fall, largest, next, roll, too_long, upgraded, yard};
use crate::stand_ins::{StateLimits, Trouble, World, in_world, job};
use shelfhoist::settings::Settings;
use shelfhoist::state::keys::{FORMATS_KEY, job_key};

use shelfhoist::state::records::*;

/// The limits fall before, in and after the shrinking, and every controller ends
/// at that very moment: jobs of the largest sizes begun before go on, others are
/// begun and end, and nothing is sent that the service would refuse.
/// With `trouble`, some commits in the shrinking are carried out late, or their
/// answers are lost.
fn limits_fall(after: Option<Duration>, trouble: Trouble) {
    in_world(|| async move {
        let w = World::of(31, yard()).await;
        sleep(Duration::from_secs(15)).await;
        let first = largest(&w, 1, 1800).await;
        let stopped = w.submit(job(5, "batch", 300, 500.0)).await;
        sleep(Duration::from_secs(12)).await;
        let long = too_long(&w);
        for table in ["sh/zone/", "sh/machine/", "sh/job/"] {
            let long = long.iter().any(|(key, _)| key.starts_with(table));
            assert!(long, "no long record of {table}: {long}");
        }
        roll(&w).await;
        upgraded(&w).await;
        w.state.trouble.set(trouble);
        w.state.troubled.set(12);
        // With nothing to wait for, as soon as it may be.
        sleep(after.unwrap_or_default()).await;
        if after.is_some_and(|t| t > Duration::from_secs(20)) {
            assert!(too_long(&w).is_empty(), "{:?}", too_long(&w));
        }
        for i in 0..3 {
            w.kill(i);
        }
        fall(&w);
        for i in 0..3 {
            w.start(i);
        }
        let second = largest(&w, 2, 1800).await;
        assert_eq!(w.withdraw(1, &stopped).await.as_deref(), Some("aborted"));
        all_go_on(&w, &first).await;
        all_go_on(&w, &second).await;
        sleep(Duration::from_secs(30)).await;
        assert_eq!(w.running(&stopped), 0);
        let refused = w.state.too_many.get();
        assert!(refused < 40, "{refused} refused for the rate");
        assert!(too_long(&w).is_empty(), "{:?}", too_long(&w));
        let beyond = w.state.beyond.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        w.assert_kept();
    });
}

#[test]
fn limits_fall_before_the_shrinking() {
    limits_fall(None, Trouble::None);
}

#[test]
fn limits_fall_in_the_shrinking() {
    limits_fall(Some(Duration::from_secs(2)), Trouble::None);
}

#[test]
fn limits_fall_after_the_shrinking() {
    limits_fall(Some(Duration::from_secs(40)), Trouble::None);
}

/// The coming limits may be absent or partial; what is to come bounds sizes from
/// the start, and rates once refusals show it.
#[test]
fn coming_limits_may_be_absent_or_partial() {
    let with = |next: Value| {
        let mut shape = yard();
        if !next.is_null() {
            shape.state["next"] = next;
        }
        shape.settings(0)
    };
    let of = |s: &Settings| {
        let rates = (s.write_rps(false), s.write_rps(true), s.rps(true));
        (
            s.value_limit_bytes(),
            s.txn_ops(),
            rates,
            s.limits_will_fall(),
        )
    };
    let now = (8192, 12, (90.0, 90.0, 200.0), false);
    for (next, expected) in [
        (Value::Null, now),
        (json!({}), now),
        (json!({"what_is_new": {"value_kb": 1.0}}), now),
        (json!({"value_kb": null, "rps": null}), now),
        (
            json!({"value_kb": 16.0, "txn_ops": 20, "write_rps": 900.0}),
            now,
        ),
        (json!({"value_kb": 2.0}), (2048, 12, now.2, true)),
        (json!({"txn_ops": 5}), (8192, 5, now.2, true)),
        (
            json!({"write_rps": 27.0}),
            (8192, 12, (90.0, 27.0, 200.0), false),
        ),
        (json!({"rps": 50.0}), (8192, 12, (90.0, 90.0, 50.0), false)),
        (
            json!({"value_kb": 2.5, "txn_ops": 4, "write_rps": 27.0, "rps": 99.0}),
            (2560, 4, (90.0, 27.0, 99.0), true),
        ),
    ] {
        assert_eq!(of(&with(next.clone())), expected, "{next}");
    }
    for (field, value) in [
        ("value_kb", json!(1.9)),
        ("value_kb", json!(-2)),
        ("txn_ops", json!(3)),
        ("write_rps", json!(0)),
        ("rps", json!(1e9)),
    ] {
        let mut shape = yard();
        shape.state["next"] = json!({field: value});
        let text = shape.settings_text(0);
        let error = Settings::parse(&text).expect_err("refused").to_string();
        let name = format!("deployment.state.next.{field}");
        assert!(error.contains(&name), "{error}");
    }
}

/// One controller takes over every machine at the lower rate, in time.
#[test]
fn a_takeover_of_every_machine_at_the_lower_rate() {
    in_world(|| async move {
        let w = World::of(32, yard()).await;
        sleep(Duration::from_secs(15)).await;
        roll(&w).await;
        upgraded(&w).await;
        sleep(Duration::from_secs(20)).await;
        fall(&w);
        let first = largest(&w, 1, 1800).await;
        sleep(Duration::from_secs(5)).await;
        let lapsed = w.lapsed();
        w.kill(0);
        w.kill(1);
        sleep(Duration::from_secs(25)).await;
        assert_eq!(w.lapsed(), lapsed, "leases ran out");
        let holders = w.holders();
        assert_eq!(holders.len(), 160);
        assert!(holders.iter().all(|(_, h)| h == "n2"), "{holders:?}");
        all_go_on(&w, &first).await;
        let beyond = w.state.beyond.borrow().clone();
        assert!(beyond.is_empty(), "{beyond:?}");
        w.assert_kept();
    });
}

/// Settings that say nothing of the fall: what is refused for its size ends no
/// loop and is not sent again and again, and the rest goes on.
#[test]
fn what_is_beyond_the_limits_holds_up_nothing_else() {
    in_world(|| async move {
        let mut shape = yard();
        shape.machines = 45;
        let w = World::of(33, shape).await;
        sleep(Duration::from_secs(15)).await;
        let mut wide = job(1, "batch", 1800, 15.0);
        for field in ["blueprint", "lot"] {
            wide[field] = json!("a-name-that-is-long".repeat(10));
        }
        let large = w.submit(wide).await;
        // Zone and machine shards are small enough, the record of this job is not.
        w.state.limits.set(StateLimits {
            value_limit_bytes: 3000,
            txn_ops: 12,
            write_rps: 90.0,
            ..w.state.limits.get()
        });
        let mut small = Vec::new();
        for n in 0..6 {
            small.push(w.submit(job(10 + n, "gang", 2, 5.0)).await);
        }
        for id in &small {
            w.until(id, "done", 120).await;
        }
        sleep(Duration::from_secs(20)).await;
        let stage = w.stage(0, &large).await;
        assert!(stage.is_some(), "{stage:?}");
        let beyond = w.state.beyond.borrow().clone();
        let of_large = beyond.iter().filter(|b| b.contains(&job_key(&large)));
        assert_eq!(of_large.count(), beyond.len(), "{beyond:?}");
        assert!((1..60).contains(&beyond.len()), "{beyond:?}");
        w.assert_kept();
    });
}

#[test]
fn commits_of_the_shrinking_come_late() {
    limits_fall(Some(Duration::from_secs(30)), Trouble::Late);
}

#[test]
fn answers_in_the_shrinking_are_lost() {
    limits_fall(Some(Duration::from_secs(30)), Trouble::LoseAnswers);
}

/// The present rate is used until refusals show the lower one, which is kept to
/// from then on but for a try now and then; all goes on.
#[test]
fn the_lower_rate_is_kept_to_once_it_shows() {
    in_world(|| async move {
        let mut shape = yard();
        shape.machines = 60;
        shape.state["next"] = json!({"write_rps": 12.0});
        let w = World::of(34, shape).await;
        sleep(Duration::from_secs(15)).await;
        w.state.limits.set(StateLimits {
            write_rps: 12.0,
            ..w.state.limits.get()
        });
        let mut ids = Vec::new();
        let mut refused = Vec::new();
        let mut before = 0;
        for n in 0..40 {
            for k in 0..3 {
                ids.push(w.submit(job(100 + n * 3 + k, "batch", 8, 3.0)).await);
            }
            sleep(Duration::from_secs(1)).await;
            let all = w.state.too_many.get();
            refused.push(all - before);
            before = all;
        }
        for id in &ids {
            w.until(id, "done", 120).await;
        }
        assert!(before > 0, "the load shows nothing");
        // Learning it costs some. What is left is what the same load meets where
        // the rate is known from the start: 25 in all, here 64 with the learning.
        assert!(before < 90, "{refused:?}");
        let later: usize = refused[20..].iter().sum();
        assert!(later < 40, "{refused:?}");
        w.assert_kept();
    });
}

/// An upgrade, one controller after another, with jobs running; one ends before
/// its turn and comes back with the older program. Until the last has its turn
/// all that stands in the state is what production reads and writes itself; then
/// the compact encodings come, jobs may await others, and all goes on as the limits
/// fall.
#[test]
fn controllers_are_upgraded_one_after_another() {
    for seed in [51, 52] {
        in_world(|| async move {
            let w = World::of(seed, yard()).await;
            w.state.older.borrow_mut().extend(0..3);
            sleep(Duration::from_secs(15)).await;
            let first = largest(&w, 1, 600).await;
            let long = w.submit(job(5, "batch", 40, 120.0)).await;
            w.until(&long, "running", 60).await;
            let follower = crate::stand_ins::after(job(6, "batch", 2, 1.0), &[&long]);
            w.remember(&follower);
            // What all know of the formats, while `seconds` pass.
            let pass = async |seconds: u32| {
                for _ in 0..seconds * 4 {
                    assert_eq!(w.state.unreadable(), Vec::<String>::new());
                    sleep(Duration::from_millis(250)).await;
                }
                for i in 0..3 {
                    let asked = w.ask(i, "POST", "/submissions", Some(&follower)).await;
                    assert_eq!(asked.0, 503, "n{i}: {}", asked.1);
                }
                let formats = w.state.value(FORMATS_KEY).unwrap_or_default();
                assert!(formats["a"].as_u64().unwrap_or(0) == 0, "{formats}");
            };
            let turn = |i: usize| {
                w.kill(i);
                w.state.older.borrow_mut().remove(&i);
                *w.next.borrow_mut() = next();
                w.start(i);
            };
            pass(2).await;
            turn(0);
            pass(15).await;
            // Before its turn: the older program again, in the midst of it all.
            w.kill(2);
            *w.next.borrow_mut() = Value::Null;
            w.start(2);
            pass(6).await;
            turn(1);
            let second = largest(&w, 2, 600).await;
            pass(15).await;
            turn(2);
            upgraded(&w).await;
            w.submit(follower.clone()).await;
            assert_eq!(w.stage(1, "job-000006").await.as_deref(), Some("queued"));
            sleep(Duration::from_secs(5)).await;
            fall(&w);
            for all in [&first, &second] {
                all_go_on(&w, all).await;
            }
            w.until("job-000006", "done", 300).await;
            assert_eq!(w.state.misplaced.borrow().len(), 0);
            assert!(
                !w.state.unreadable().is_empty(),
                "no short text was written"
            );
            w.assert_kept();
        });
    }
}

/// AcceptedBatch in a record that is too long when the limits fall are read, run each
/// under a record of its own, and the long one goes: nobody writes it again.
#[test]
fn long_arrivals_come_to_their_end() {
    in_world(|| async {
        let w = World::of(53, yard()).await;
        sleep(Duration::from_secs(15)).await;
        let mut arrivals = AcceptedBatch {
            accepted_revision: 1,
            jobs: Default::default(),
        };
        let jobs: Vec<Value> = (700..716).map(|n| job(n, "batch", 2, 2.0)).collect();
        for (one, n) in jobs.iter().zip(700..) {
            w.remember(one);
            let read = shelfhoist::api::read_submission(one.to_string().as_bytes());
            let spec = JobSpec::from(&read.expect("a submission"));
            arrivals.jobs.insert(format!("job-{n:06}"), spec);
        }
        let text = serde_json::to_value(&arrivals).expect("text");
        assert!(text.to_string().len() > LIMIT, "{}", text.to_string().len());
        roll(&w).await;
        upgraded(&w).await;
        w.state.write("sh/new/n0-long", &text);
        // Their users ask again, as they may: each is known.
        for one in &jobs {
            w.submit(one.clone()).await;
        }
        for i in 0..3 {
            w.kill(i);
        }
        fall(&w);
        for i in 0..3 {
            w.start(i);
        }
        for id in arrivals.jobs.keys() {
            w.until(id, "done", 200).await;
        }
        sleep(Duration::from_secs(10)).await;
        assert_eq!(w.state.value("sh/new/n0-long"), None);
        assert_eq!(w.state.beyond.borrow().clone(), Vec::<String>::new());
        w.assert_kept();
    });
}
