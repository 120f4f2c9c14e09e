//! Heartbeats: late copies, claims that take long, controllers that are lost.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::stand_ins::{CONTROLLERS, Scenario, Trouble, job};

/// Late copies of heartbeats, at every controller and at one that has just come
/// back: no end, no release and no launch comes from one.
#[test]
fn late_copies_of_reports_change_nothing() {
    Scenario::new(14).run(|w| async move {
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        let array = w.submit(job(2, "batch", 6, 4.0)).await;
        w.until(&array, "done", 100).await;
        sleep(Duration::from_secs(3)).await;
        let name = w.machine_of(&service);
        let heartbeats = w.workers.borrow()[&name].0.sent.borrow().clone();
        let before = w.starts.get();
        w.kill(0);
        w.start(0);
        for i in 0..CONTROLLERS {
            w.send_heartbeat_copies(i, &heartbeats).await;
        }
        sleep(Duration::from_secs(15)).await;
        assert_eq!((w.running(&service), w.starts.get()), (2, before));
        // The machine dies; the copies do not keep it believed alive.
        w.lose(&name);
        for _ in 0..4 {
            sleep(Duration::from_secs(4)).await;
            for i in 0..CONTROLLERS {
                w.send_heartbeat_copies(i, &heartbeats).await;
            }
        }
        sleep(Duration::from_secs(20)).await;
        assert_eq!(w.running(&service), 2, "not replaced");
        w.assert_kept();
    });
}

/// A worker whose claim takes long stays where it is, by an answer that it must
/// drop: sent on, it would try those that are cut off until its lease is over.
/// But not for ever, and its lease is not renewed.
#[test]
fn a_worker_whose_claim_takes_long_stays_for_a_while() {
    Scenario::new(19).run(|w| async move {
        let first = w.submit(job(1, "batch", 2, 2.0)).await;
        w.until(&first, "done", 100).await;
        let name = w.workers.borrow().keys().next().cloned();
        let name = name.expect("a machine");
        w.state.trouble.set(Trouble::NoCommits);
        // Whoever holds it answers as ever; the others cannot claim it.
        let mut kept = 0;
        for i in 0..CONTROLLERS {
            let mut answers = Vec::new();
            for sequence in 100..107 {
                let heartbeat = json!({"bay": name, "endpoint": "10.1.9.9:9000", "grade": "small",
                    "yard": "a", "loaners": false, "shift": 1, "tally": sequence, "baton": 1,
                    "recall_s": null, "boards": []});
                let (status, body) = w.ask(i, "POST", "/agent/beat", Some(&heartbeat)).await;
                answers.push((status, body["baton"].as_u64()));
                // As a worker sends them; no answer keeps it waiting.
                sleep(Duration::from_secs(1)).await;
            }
            // It may be redirected to its preferred owner, or to its owner, once.
            answers.retain(|a| a.0 != 421);
            if answers[0].1 == Some(1) {
                continue;
            }
            kept += 1;
            assert_eq!(answers[0], (200, Some(0)), "{i}: {answers:?}");
            assert!(answers.contains(&(503, None)), "{i}: {answers:?}");
            assert!(answers.iter().all(|a| a.1 != Some(1)), "{i}: {answers:?}");
        }
        assert_eq!(kept, CONTROLLERS - 1);
        w.state.trouble.set(Trouble::None);
        w.assert_kept();
    });
}

/// A heartbeat does not wait for a claim that the state service refuses: it is
/// answered at once, and without a token that would renew the lease.
#[test]
fn a_heartbeat_does_not_wait_for_a_refused_claim() {
    Scenario::new(23).run(|w| async move {
        let first = w.submit(job(1, "batch", 2, 2.0)).await;
        w.until(&first, "done", 100).await;
        let name = w.workers.borrow().keys().next().cloned();
        let name = name.expect("a machine");
        w.state.trouble.set(Trouble::NoCommits);
        let mut refused = 0;
        for i in 0..CONTROLLERS {
            for sequence in 100..104 {
                let heartbeat = json!({"bay": name, "endpoint": "10.1.9.9:9000", "grade": "small",
                    "yard": "a", "loaners": false, "shift": 1, "tally": sequence, "baton": 1,
                    "recall_s": null, "boards": []});
                let asked = Instant::now();
                let (status, body) = w.ask(i, "POST", "/agent/beat", Some(&heartbeat)).await;
                let waited = asked.elapsed();
                assert!(waited < Duration::from_secs(1), "{i}: {waited:?}");
                if status == 200 && body["baton"] == json!(0) || status == 503 {
                    refused += 1;
                }
            }
        }
        assert!(refused >= CONTROLLERS - 1, "{refused}");
        w.state.trouble.set(Trouble::None);
        w.assert_kept();
    });
}

/// A controller that loses its workers alone still talks to the others and to
/// the state service: nobody sends its workers back to it, or their leases end.
/// And once it is there again they go home: their homes take them, and do not
/// send them back to who holds them, or one controller would keep them all.
#[test]
fn workers_that_lose_their_controller_are_taken_at_once_and_go_home_later() {
    Scenario::new(21).run(|w| async move {
        for n in 1..7 {
            let mut one = job(n, "daemon", 2, 0.0);
            one["vcpus"] = json!(1.0);
            w.submit(one).await;
        }
        sleep(Duration::from_secs(40)).await;
        let held = |name: &str| w.holders().iter().filter(|(_, h)| h == name).count();
        let i = (0..CONTROLLERS).max_by_key(|i| held(&format!("n{i}")));
        let i = i.expect("a controller");
        let name = format!("n{i}");
        assert!(held(&name) > 1, "{:?}", w.holders());
        w.cut_workers(i, true);
        sleep(Duration::from_secs(14)).await;
        // The last of them might as well be unreachable itself: it goes back once.
        assert!(held(&name) <= 1, "not taken over: {:?}", w.holders());
        let lapsed = w.lapsed();
        assert!(lapsed <= 1, "leases have run out");
        w.cut_workers(i, false);
        sleep(Duration::from_secs(60)).await;
        let away = w.holders().into_iter().find(|(home, held)| home != held);
        assert_eq!(away, None, "not at home");
        assert!(w.lapsed() <= lapsed, "leases have run out");
        w.assert_kept();
    });
}
