//! Cuts and pauses: silence proves nothing by itself.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, controller, job, state_addr};

/// Safety 4: a controller cut off from the state service learns of no
/// cancellation, so it must let its workers' leases run out in time.
#[test]
fn a_cut_off_controller_keeps_no_cancelled_task() {
    Scenario::new(7).run(|w| async move {
        let service = w.submit(job(1, "daemon", 4, 0.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        assert_eq!(w.running(&service), 4);
        // One after another, each controller loses the state service, and
        // its workers stay with it as long as it answers them.
        for i in 0..CONTROLLERS - 1 {
            w.fabric.cut(controller(i), state_addr(i));
        }
        sleep(Duration::from_secs(1)).await;
        let last = CONTROLLERS - 1;
        let mut told = None;
        for _ in 0..10 {
            told = w.withdraw(last, &service).await;
            if told.is_some() {
                break;
            }
        }
        assert_eq!(told.as_deref(), Some("aborted"));
        sleep(Duration::from_secs(40)).await;
        assert_eq!(w.running(&service), 0);
        w.assert_kept();
    });
}

/// Workers report inside their zone, so a cut between zones ends nothing.
#[test]
fn zones_that_are_apart_keep_their_work() {
    Scenario::new(11).run(|w| async move {
        let mut spread = job(1, "daemon", 4, 0.0);
        spread["scatter"] = json!(true);
        let service = w.submit(spread).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(20)).await;
        assert_eq!(w.running(&service), 4);
        let before = w.starts.get();
        w.partition_zones();
        sleep(Duration::from_secs(30)).await;
        assert_eq!((w.running(&service), w.starts.get()), (4, before));
        w.assert_kept();
    });
}

/// Controllers that stand still for two seconds or for more than a lease, one,
/// most or all of them, and go on: no healthy machine goes back, nothing that
/// was decided before is done after, and what could run on still runs.
#[test]
fn who_stood_still_concludes_nothing_from_it() {
    let all: [usize; 3] = [0, 1, 2];
    let cases: [(&[usize], f64, u64); 5] = [
        (&all[..1], 2.0, 0),
        (&all[..1], 13.0, 0),
        // A worker that tries both of them in turn is back too late.
        (&all[..2], 25.0, u64::MAX),
        // Inside a lease, all at once; and for longer, so that all work ends.
        (&all, 5.0, 0),
        (&all, 35.0, u64::MAX),
    ];
    for (n, (who, seconds, lapses)) in cases.into_iter().enumerate() {
        Scenario::new(40 + n as u64).run(|w| async move {
            let service = w.submit(job(1, "daemon", 4, 0.0)).await;
            let idle = w.submit(job(2, "batch", 4, 2.0)).await;
            w.until(&service, "running", 100).await;
            w.until(&idle, "done", 100).await;
            let gang = w.submit(job(3, "gang", 2, 60.0)).await;
            w.until(&gang, "running", 100).await;
            sleep(Duration::from_secs(5)).await;
            let booked: Vec<String> = [&service, &gang].map(|j| w.machine_of(j)).into();
            let again = w.submit(job(4, "batch", 8, 4.0)).await;
            who.iter().for_each(|i| w.freeze(*i, true));
            sleep(Duration::from_secs_f64(seconds)).await;
            // Those who go on are asked for a cancel meanwhile.
            if let Some(i) = (0..CONTROLLERS).find(|i| !who.contains(i)) {
                assert_eq!(w.withdraw(i, &again).await.as_deref(), Some("aborted"));
            }
            let starts = w.starts.get();
            who.iter().for_each(|i| w.freeze(*i, false));
            sleep(Duration::from_secs(3)).await;
            if who.len() < CONTROLLERS {
                assert_eq!(w.running(&again), 0, "case {n}: cancelled, and runs");
                assert!(w.starts.get() - starts <= 2, "case {n}: launched late");
            }
            // And once more while it recovers.
            w.freeze(who[0], true);
            sleep(Duration::from_secs(5)).await;
            w.freeze(who[0], false);
            sleep(Duration::from_secs(40)).await;
            for name in booked.iter().filter(|_| lapses == 0) {
                let there = w.workers.borrow().contains_key(name);
                assert!(there, "case {n}: {name} was sent back");
            }
            assert!(w.lapsed() <= lapses, "case {n}: leases have run out");
            assert_eq!(w.running(&service), 4, "case {n}");
            w.until(&gang, "done", 200).await;
            w.assert_kept();
        });
    }
}

/// The time in which it stood still is no silence of its workers: with nobody
/// else to go to they report again within seconds, and stay.
#[test]
fn a_lone_controller_that_stood_still_keeps_its_machines() {
    Scenario::new(50).single_controller().run(|w| async move {
        let service = w.submit(job(1, "daemon", 4, 0.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(20)).await;
        let before: Vec<String> = w.workers.borrow().keys().cloned().collect();
        w.freeze(0, true);
        sleep(Duration::from_secs(26)).await;
        w.freeze(0, false);
        sleep(Duration::from_secs(20)).await;
        let after: Vec<String> = w.workers.borrow().keys().cloned().collect();
        assert_eq!(before, after);
        assert_eq!(w.running(&service), 4);
        w.assert_kept();
    });
}
