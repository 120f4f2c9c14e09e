//! Machines that are lost, fail, hear nothing or never come up.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, job};

#[test]
fn lost_machines_are_replaced() {
    Scenario::new(6).run(|w| async move {
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        let gang = w.submit(job(2, "gang", 2, 20.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(12)).await;
        let names: Vec<String> = w.workers.borrow().keys().cloned().collect();
        for name in names {
            w.lose(&name);
        }
        w.until(&gang, "done", 200).await;
        assert_eq!(w.running(&service), 2);
        w.assert_kept();
    });
}

#[test]
fn a_sick_machine_goes_back_and_its_work_is_done_elsewhere() {
    Scenario::new(9).run(|w| async move {
        let first = w.submit(job(1, "batch", 4, 2.0)).await;
        w.until(&first, "done", 100).await;
        let name = w
            .workers
            .borrow()
            .keys()
            .next()
            .cloned()
            .expect("a machine");
        w.workers.borrow()[&name].0.fails_all_tasks.set(true);
        for n in 2..6 {
            w.submit(job(n, "batch", 4, 2.0)).await;
        }
        for n in 2..6 {
            w.until(&format!("job-{n:06}"), "done", 300).await;
        }
        assert!(!w.workers.borrow().contains_key(&name), "still rented");
        w.assert_kept();
    });
}

/// Jobs with a mistake fail on every machine. They blame none, are tried at a
/// bounded pace, leave others their room, are told of plainly, and a cancel ends
/// them at once.
#[test]
fn a_job_with_a_mistake_blames_no_machine() {
    Scenario::new(23).run(|w| async move {
        let service = w.submit(job(1, "daemon", 3, 0.0)).await;
        w.until(&service, "running", 100).await;
        let kinds = ["batch", "gang", "daemon", "batch", "gang", "batch"];
        for (n, kind) in (10..).zip(kinds) {
            let mut one = job(n, kind, if kind == "batch" { 6 } else { 2 }, 3.0);
            one["blueprint"] = json!("mistake");
            one["vcpus"] = json!(0.5);
            w.submit(one).await;
        }
        sleep(Duration::from_secs(60)).await;
        let machines: Vec<String> = w.workers.borrow().keys().cloned().collect();
        let starts = w.starts.get();
        sleep(Duration::from_secs(60)).await;
        // Six jobs, a try each in a minute once they are known, a gang's of two.
        assert!(w.starts.get() - starts <= 16, "{}", w.starts.get() - starts);
        assert!(w.starts.get() > starts, "never tried again");
        let there: Vec<String> = w.workers.borrow().keys().cloned().collect();
        assert!(
            machines.iter().all(|m| there.contains(m)),
            "healthy ones went"
        );
        assert_eq!((w.running(&service), w.lapsed()), (3, 0));
        for n in 10..16 {
            let id = format!("job-{n:06}");
            let (status, story) = w.ask(0, "GET", &format!("/ops/job/{id}"), None).await;
            assert_eq!(status, 200);
            assert!(!story["failed_on"].as_array().expect("machines").is_empty());
            assert_eq!(w.stage(1, &id).await.as_deref(), Some("queued"), "{id}");
        }
        let good = w.submit(job(30, "gang", 2, 2.0)).await;
        w.until(&good, "done", 40).await;
        for n in 10..16 {
            let id = format!("job-{n:06}");
            assert_eq!(w.withdraw(1, &id).await.as_deref(), Some("aborted"));
        }
        w.assert_kept();
    });
}

/// A machine whose reports arrive while answers and orders do not: its work
/// starts elsewhere once its end is proven, it gets no new work and goes back.
#[test]
fn a_machine_that_hears_nothing_is_replaced() {
    Scenario::new(12).run(|w| async move {
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let name = w.machine_of(&service);
        let worker = w.workers.borrow()[&name].0.clone();
        worker.deaf.set(true);
        sleep(Duration::from_secs(25)).await;
        let after = w.running(&service);
        assert_eq!(after, 2, "its replica does not run elsewhere");
        let array = w.submit(job(2, "batch", 4, 3.0)).await;
        w.until(&array, "done", 100).await;
        sleep(Duration::from_secs(10)).await;
        assert!(!w.workers.borrow().contains_key(&name), "still rented");
        w.assert_kept();
    });
}

/// One that hears again before it has gone back is used again.
#[test]
fn a_machine_that_hears_again_is_used_again() {
    Scenario::new(13).run(|w| async move {
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let name = w.machine_of(&service);
        let worker = w.workers.borrow()[&name].0.clone();
        worker.deaf.set(true);
        sleep(Duration::from_secs(3)).await;
        worker.deaf.set(false);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(w.running(&service), 2);
        assert_eq!(w.machine_of(&service), name, "moved without need");
        // Its room serves others, too, once the service is over.
        assert_eq!(w.withdraw(0, &service).await.as_deref(), Some("aborted"));
        let array = w.submit(job(2, "batch", 2, 20.0)).await;
        w.until(&array, "running", 60).await;
        sleep(Duration::from_secs(3)).await;
        assert_eq!(w.machine_of(&array), name);
        w.assert_kept();
    });
}

/// Machines of one zone never come up: others are rented in their stead, once
/// for each need; they go back; and what can run nowhere else does not rent and
/// return without end.
#[test]
fn machines_that_never_come_up_are_replaced_and_go_back() {
    Scenario::new(60).run(|w| async move {
        w.failed_boot_zone.set(Some("a"));
        let jobs = [("batch", 4), ("gang", 2), ("daemon", 2)];
        for (n, (kind, tasks)) in (1..).zip(jobs) {
            w.submit(job(n, kind, tasks, 3.0)).await;
        }
        w.until("job-000001", "done", 40).await;
        w.until("job-000002", "done", 40).await;
        w.until("job-000003", "running", 20).await;
        assert!(w.rented.get() <= 9, "{}", w.rented.get());
        let mut bound = job(4, "batch", 2, 3.0);
        bound["yard"] = json!("a");
        let bound = w.submit(bound).await;
        sleep(Duration::from_secs(300)).await;
        // One machine for two tasks, a second when it is late, and so on: each
        // time it is left alone for longer.
        assert!(w.rented.get() <= 9 + 12, "{}", w.rented.get());
        assert_eq!(w.stage(0, &bound).await.as_deref(), Some("queued"));
        w.failed_boot_zone.set(None);
        w.until(&bound, "done", 400).await;
        sleep(Duration::from_secs(60)).await;
        let there = w.workers.borrow().len();
        assert!(there <= 3, "{there} machines");
        w.assert_kept();
    });
}

/// A fleet leader that is back at once finds its own state lease still valid.
#[test]
fn a_renter_that_is_back_at_once_rents_on() {
    Scenario::new(15).run(|w| async move {
        let first = w.submit(job(1, "batch", 2, 2.0)).await;
        w.until(&first, "done", 100).await;
        // In the middle of a rental: the intent is committed, the answer lost.
        let gang = w.submit(job(2, "gang", 5, 5.0)).await;
        sleep(Duration::from_millis(700)).await;
        for i in 0..CONTROLLERS {
            w.kill(i);
            w.start(i);
        }
        w.until(&gang, "done", 60).await;
        let rented = w.workers.borrow().len();
        assert!(rented <= 5, "{rented} machines for five tasks");
        w.assert_kept();
    });
}
