//! Jobs that await others, against stand-ins, in simulated time. That no task
//! starts too early, that no answer is ever older than one before, and that
//! what comes after a cancelled job is called so in time, the stand-ins check.

#[allow(dead_code)]
mod stand_ins;

use std::future::{Future, poll_fn};
use std::task::Poll;
use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::{CONTROLLERS, Shape, Trouble, World, after, controller, in_world, job, state_addr};
use tokio::time::{Instant, sleep};

/// Submits a job after others, once.
async fn follow(w: &World, i: usize, body: &Value) -> (u16, Value) {
    w.ask(i, "POST", "/submissions", Some(body)).await
}

/// Runs all of these at once, on this thread.
async fn all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut left: Vec<_> = futures.map(|f| (Box::pin(f), None)).collect();
    poll_fn(|cx| {
        for (future, result) in &mut left {
            if result.is_none()
                && let Poll::Ready(r) = future.as_mut().poll(cx)
            {
                *result = Some(r);
            }
        }
        match left.iter().all(|(_, r)| r.is_some()) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
    left.into_iter().filter_map(|(_, r)| r).collect()
}

/// Waits until every controller is known to read the newer formats.
async fn upgraded(w: &World) {
    let first = w.submit(job(900_000, "batch", 1, 0.5)).await;
    let probe = after(job(900_001, "batch", 1, 0.5), &[&first]);
    w.submit(probe).await;
}

#[test]
fn chains_and_diamonds_run_in_order() {
    for (seed, trouble) in [
        (1, Trouble::None),
        (2, Trouble::LoseAnswers),
        (3, Trouble::Late),
    ] {
        in_world(|| async move {
            let w = World::new(seed).await;
            upgraded(&w).await;
            w.state.trouble.set(trouble);
            let meet = || w.state.troubled.set(3);
            let a = w.submit(job(1, "batch", 5, 3.0)).await;
            meet();
            let b = w.submit(after(job(2, "gang", 2, 4.0), &[&a])).await;
            let c = w.submit(after(job(3, "batch", 3, 2.0), &[&a])).await;
            meet();
            let d = w.submit(after(job(4, "batch", 2, 1.0), &[&b, &c])).await;
            let e = w.submit(after(job(5, "gang", 2, 1.0), &[&d])).await;
            assert_eq!(w.stage(0, &e).await.as_deref(), Some("queued"));
            // Each controller in turn is gone for a while, and is back.
            for i in 0..CONTROLLERS {
                meet();
                w.kill(i);
                sleep(Duration::from_secs(3)).await;
                w.start(i);
                sleep(Duration::from_secs(3)).await;
            }
            w.until(&e, "done", 400).await;
            for id in [&a, &b, &c, &d] {
                w.until(id, "done", 10).await;
            }
            w.assert_kept();
        });
    }
}

/// The commit of the first is news to the second controller.
#[test]
fn a_follower_may_be_submitted_elsewhere_at_once() {
    in_world(|| async {
        let w = World::new(4).await;
        upgraded(&w).await;
        for n in 0..12u32 {
            let (i, j) = (n as usize % CONTROLLERS, (n as usize + 1) % CONTROLLERS);
            let first = job(10 + n, "batch", 1, 1.0);
            let id = first["name_id"].as_str().expect("id").to_string();
            w.remember(&first);
            let second = after(job(100 + n, "batch", 1, 1.0), &[&id]);
            w.remember(&second);
            assert_eq!(follow(&w, i, &first).await.0, 201);
            let (status, body) = follow(&w, j, &second).await;
            assert_eq!((status, &body["stage"]), (201, &json!("queued")));
            // A known id gets its state, whatever the repeat awaits.
            let other = after(job(100 + n, "batch", 1, 1.0), &["job-777777"]);
            assert_eq!(follow(&w, i, &other).await.0, 200);
        }
        for n in 0..12 {
            w.until(&format!("job-{:06}", 100 + n), "done", 200).await;
        }
        w.assert_kept();
    });
}

#[test]
fn unknown_and_malformed_ids_are_refused() {
    in_world(|| async {
        let w = World::new(5).await;
        upgraded(&w).await;
        let known = w.submit(job(1, "batch", 1, 1.0)).await;
        let cases = [
            (json!(["job-000777"]), 422),
            (json!([known, "job-000777"]), 422),
            (json!(["job-000002"]), 422), // its own
            (json!(["task-1"]), 400),
            (json!(["job-"]), 400),
            (json!([7]), 400),
            (json!("job-000001"), 400),
            (json!({"job-000001": 1}), 400),
            (json!(null), 201),
        ];
        for (dependencies, expected) in cases {
            let mut body = job(2, "batch", 1, 1.0);
            body["awaits"] = dependencies.clone();
            w.remember(&body);
            assert_eq!(follow(&w, 1, &body).await.0, expected, "{dependencies}");
        }
        // Where no barrier is to be had, nothing can be said of unknown ids.
        w.fabric.cut(controller(0), state_addr(0));
        let body = after(job(3, "batch", 1, 1.0), &["job-000777"]);
        assert_eq!(follow(&w, 0, &body).await.0, 503);
        w.until("job-000002", "done", 100).await;
        w.assert_kept();
    });
}

/// More than a record holds is refused; what is just short of that waits, and
/// runs in a record that has room for its tasks.
#[test]
fn long_lists_are_refused_or_run() {
    in_world(|| async {
        let w = World::new(6).await;
        upgraded(&w).await;
        // It takes all that the team may have: nothing else is done meanwhile.
        let first = w.submit(job(1, "gang", 6, 60.0)).await;
        w.until(&first, "running", 60).await;
        let mut ids = Vec::new();
        for n in 0..320 {
            let mut one = job(1000 + n, "batch", 1, 0.5);
            one["vcpus"] = json!(0.1);
            w.remember(&one);
            ids.push(one);
        }
        for chunk in ids.chunks(20) {
            let asks = chunk.iter().map(|one| follow(&w, 0, one));
            for (status, _) in all(asks).await {
                assert_eq!(status, 201);
            }
        }
        let names: Vec<&str> = ids.iter().filter_map(|j| j["name_id"].as_str()).collect();
        let (long, short) = (names.as_slice(), &names[..280]);
        // Named twice is named once.
        let twice = [short, short].concat();
        for (n, list, expected) in [(2, long, 400), (3, short, 201), (4, &twice[..], 201)] {
            let one = after(job(n, "batch", 9, 1.0), list);
            w.remember(&one);
            assert_eq!(follow(&w, 1, &one).await.0, expected, "{n}");
        }
        w.until("job-000003", "done", 300).await;
        w.until("job-000004", "done", 300).await;
        // What is done by now counts for nothing.
        let done = after(job(2, "batch", 9, 1.0), long);
        assert_eq!(follow(&w, 1, &done).await.0, 201);
        w.until("job-000002", "done", 100).await;
        w.assert_kept();
    });
}

#[test]
fn a_cancel_takes_all_that_comes_after() {
    // Which of the chain is cancelled; and whether its first is under way.
    for (seed, at, begun) in [
        (20, 0, true),
        (21, 0, false),
        (22, 1, true),
        (23, 2, true),
        (24, 3, true),
    ] {
        in_world(|| async move {
            let w = World::new(seed).await;
            upgraded(&w).await;
            let mut ids: Vec<String> = Vec::new();
            for n in 0..5 {
                let mut one = job(1 + n, "batch", 2, 60.0);
                if let Some(last) = ids.last() {
                    one = after(one, &[last]);
                }
                ids.push(w.submit(one).await);
            }
            if begun {
                w.until(&ids[0], "running", 60).await;
            }
            let told = w.withdraw(seed as usize % CONTROLLERS, &ids[at]).await;
            assert_eq!(told.as_deref(), Some("aborted"));
            // From the same revision on, at every controller, with no write.
            for id in &ids[at..] {
                for i in 0..CONTROLLERS {
                    assert_eq!(
                        w.stage(i, id).await.as_deref(),
                        Some("aborted"),
                        "{id} at {i}"
                    );
                }
                let again = w.withdraw(0, id).await;
                assert_eq!(again.as_deref(), Some("aborted"));
            }
            for id in &ids[..at] {
                assert_ne!(w.stage(0, id).await.as_deref(), Some("aborted"), "{id}");
            }
            // One that names a cancelled job is accepted, and is cancelled.
            let late = after(job(50, "batch", 1, 1.0), &[&ids[4]]);
            w.remember(&late);
            let (status, body) = follow(&w, 1, &late).await;
            assert!([200, 201].contains(&status));
            assert_eq!(body["stage"], "aborted");
            sleep(Duration::from_secs(40)).await;
            for id in &ids[at..] {
                let record = w.state.value(&format!("sh/job/{id}")).expect("a record");
                assert_eq!((&record["f"], &record["s"]), (&json!("c"), &Value::Null));
                assert_eq!(w.running(id), 0);
            }
            for i in 0..CONTROLLERS {
                w.kill(i);
                w.start(i);
            }
            sleep(Duration::from_secs(5)).await;
            for i in 0..CONTROLLERS {
                for id in ids[at..].iter().map(String::as_str).chain(["job-000050"]) {
                    assert_eq!(w.stage(i, id).await.as_deref(), Some("aborted"));
                }
            }
            for id in &ids[..at] {
                w.until(id, "done", 400).await;
            }
            w.assert_kept();
        });
    }
}

/// Whichever comes first: what is after the job ends with it or runs.
#[test]
fn a_cancel_meets_the_end_of_the_last_task() {
    for n in 0..10u64 {
        in_world(|| async move {
            let w = World::new(40 + n).await;
            upgraded(&w).await;
            let first = w.submit(job(1, "batch", 1, 5.0)).await;
            let second = w.submit(after(job(2, "batch", 1, 1.0), &[&first])).await;
            w.until(&first, "running", 60).await;
            sleep(Duration::from_millis(4000 + n * 350)).await;
            let (a, b) = tokio::join!(w.withdraw(0, &first), w.withdraw(1, &first));
            let told = a.or(b).expect("an answer");
            match told.as_str() {
                "done" => w.until(&second, "done", 100).await,
                _ => {
                    for i in 0..CONTROLLERS {
                        assert_eq!(w.stage(i, &second).await.as_deref(), Some("aborted"));
                    }
                }
            }
            sleep(Duration::from_secs(40)).await;
            for i in 0..CONTROLLERS {
                assert_eq!(w.stage(i, &first).await.as_deref(), Some(told.as_str()));
                assert_eq!(w.stage(i, &second).await.as_deref(), Some(told.as_str()));
            }
            w.assert_kept();
        });
    }
}

#[test]
fn jobs_that_are_over_may_be_named() {
    in_world(|| async {
        let w = World::new(60).await;
        upgraded(&w).await;
        let done = w.submit(job(1, "batch", 1, 1.0)).await;
        let gone = w.submit(job(2, "batch", 1, 300.0)).await;
        let mut other = job(3, "gang", 2, 30.0);
        other["crew"] = json!("u");
        let other = w.submit(other).await;
        w.until(&done, "done", 100).await;
        assert_eq!(w.withdraw(0, &gone).await.as_deref(), Some("aborted"));
        // Their records are down to the final state by then.
        sleep(Duration::from_secs(60)).await;
        let record = w.state.value("sh/job/job-000001").expect("a record");
        assert_eq!((&record["f"], &record["s"]), (&json!("d"), &Value::Null));
        let a = w.submit(after(job(11, "batch", 1, 1.0), &[&done])).await;
        let b = w
            .submit(after(job(12, "batch", 1, 1.0), &[&done, &gone]))
            .await;
        let c = w
            .submit(after(job(13, "batch", 1, 1.0), &[&done, &other]))
            .await;
        assert_eq!(w.stage(2, &b).await.as_deref(), Some("aborted"));
        w.until(&a, "done", 100).await;
        w.until(&c, "done", 200).await;
        w.assert_kept();
    });
}

/// What waits takes nothing of its team's limit, and no machine stands by.
#[test]
fn a_waiting_job_takes_nothing() {
    in_world(|| async {
        let w = World::new(61).await;
        upgraded(&w).await;
        let first = w.submit(job(1, "batch", 1, 90.0)).await;
        // As much as the team may have, all of it waiting.
        let wide = w.submit(after(job(2, "gang", 6, 5.0), &[&first])).await;
        w.until(&first, "running", 60).await;
        let began = Instant::now();
        let other = w.submit(job(3, "gang", 4, 5.0)).await;
        w.until(&other, "done", 60).await;
        assert!(
            began.elapsed() < Duration::from_secs(30),
            "{:?}",
            began.elapsed()
        );
        sleep(Duration::from_secs(30)).await;
        assert!(w.workers.borrow().len() <= 1, "machines stand by");
        let (_, teams) = w.ask(0, "GET", "/ops/teams", None).await;
        assert_eq!(teams[0]["waiting_tasks"], 0, "{teams}");
        let (_, story) = w.ask(1, "GET", &format!("/ops/job/{wide}"), None).await;
        assert_eq!(story["reason"], format!("it awaits {first}"));
        let (_, report) = w.ask(1, "GET", "/ops/report", None).await;
        assert!(report["jobs"].to_string().contains("it awaits"), "{report}");
        w.until(&wide, "done", 200).await;
        w.assert_kept();
    });
}

/// The last job does not wait for a boot: its machines are rented while what it
/// awaits runs its last tasks; but not while that has long to go.
#[test]
fn machines_are_rented_before_a_job_begins() {
    in_world(|| async {
        let mut shape = Shape {
            ready_s: 20.0,
            ..Shape::default()
        };
        shape.teams[0] = ("t".into(), 40.0, 80.0);
        let w = World::of(63, shape).await;
        upgraded(&w).await;
        let long = w.submit(job(1, "batch", 1, 60.0)).await;
        let short = w.submit(after(job(2, "batch", 1, 15.0), &[&long])).await;
        let wide = w.submit(after(job(3, "gang", 8, 5.0), &[&short])).await;
        w.until(&long, "running", 60).await;
        sleep(Duration::from_secs(50)).await;
        assert!(w.workers.borrow().len() <= 1, "rented too early");
        w.until(&short, "running", 60).await;
        sleep(Duration::from_secs(10)).await;
        assert!(w.workers.borrow().len() > 1, "not rented ahead");
        w.until(&short, "done", 60).await;
        let began = Instant::now();
        w.until(&wide, "running", 60).await;
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "{:?}",
            began.elapsed()
        );
        w.until(&wide, "done", 60).await;
        w.assert_kept();
    });
}

/// A controller of before does not know `awaits`: until each has been seen to
/// run a newer program, no such job is accepted.
#[test]
fn nothing_awaits_before_all_are_upgraded() {
    in_world(|| async {
        let w = World::new(62).await;
        w.kill(2);
        w.state.write("sh/node/n2", &json!({"h": "n2", "i": 5}));
        let first = w.submit(job(1, "batch", 1, 200.0)).await;
        sleep(Duration::from_secs(20)).await;
        let second = after(job(2, "batch", 1, 1.0), &[&first]);
        w.remember(&second);
        for i in 0..2 {
            assert_eq!(follow(&w, i, &second).await.0, 503);
            let mut none = job(3 + i as u32, "batch", 1, 1.0);
            none["awaits"] = json!([]);
            w.remember(&none);
            assert_eq!(follow(&w, i, &none).await.0, 201);
        }
        assert_eq!(w.state.value("sh/job/job-000002"), None);
        w.start(2);
        let second = w.submit(second).await;
        assert_eq!(w.stage(0, &second).await.as_deref(), Some("queued"));
        // For good: one that is down for a while changes nothing.
        w.kill(1);
        w.submit(after(job(9, "batch", 1, 1.0), &[&second])).await;
        w.until("job-000009", "done", 400).await;
        w.assert_kept();
    });
}
