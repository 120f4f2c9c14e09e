//! Jobs of each kind, from submission to their end.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, job};

#[test]
fn each_kind_of_job_runs_to_its_end() {
    Scenario::new(1).run(|w| async move {
        let array = w.submit(job(1, "batch", 20, 5.0)).await;
        let gang = w.submit(job(2, "gang", 2, 8.0)).await;
        let service = w.submit(job(3, "daemon", 2, 0.0)).await;
        w.until(&array, "done", 200).await;
        w.until(&gang, "done", 200).await;
        w.until(&service, "running", 60).await;
        sleep(Duration::from_secs(5)).await;
        assert_eq!(w.running(&service), 2);
        assert_eq!(w.withdraw(1, &service).await.as_deref(), Some("aborted"));
        sleep(Duration::from_secs(5)).await;
        assert_eq!(w.running(&service), 0);
        for i in 0..CONTROLLERS {
            assert_eq!(w.stage(i, &array).await.as_deref(), Some("done"));
            assert_eq!(w.stage(i, &service).await.as_deref(), Some("aborted"));
            assert_eq!(w.withdraw(i, &array).await.as_deref(), Some("done"));
        }
        // Nothing is left to do: the machines go back.
        sleep(Duration::from_secs(60)).await;
        assert_eq!(w.workers.borrow().len(), 0);
        w.assert_kept();
    });
}

#[test]
fn one_id_at_several_controllers_is_one_job() {
    Scenario::new(2).run(|w| async move {
        w.submit(job(1, "batch", 1, 1.0)).await;
        let one = job(7, "batch", 2, 3.0);
        let (a, b, c) = tokio::join!(
            w.ask(0, "POST", "/submissions", Some(&one)),
            w.ask(1, "POST", "/submissions", Some(&one)),
            w.ask(2, "POST", "/submissions", Some(&one)),
        );
        let mut statuses = [a.0, b.0, c.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 201]);
        // Known: its state, whatever the repeated body says.
        let mut other = one.clone();
        other["crew"] = json!("nobody");
        assert_eq!(w.ask(0, "POST", "/submissions", Some(&other)).await.0, 200);
        assert_eq!(
            w.ask(0, "POST", "/submissions", Some(&json!([]))).await.0,
            400
        );
        assert_eq!(
            w.ask(0, "GET", "/submissions/job-999999", None).await.0,
            404
        );
        assert_eq!(w.ask(0, "GET", "/nowhere", None).await.0, 404);
        assert_eq!(w.ask(0, "PUT", "/submissions", None).await.0, 405);
        other["name_id"] = json!("job-000008");
        assert_eq!(w.ask(0, "POST", "/submissions", Some(&other)).await.0, 422);
    });
}

/// Lower work is stopped for all replicas of a service at once, not for one
/// after another: all run before a machine could boot.
#[test]
fn a_service_gets_room_for_all_its_replicas_at_once() {
    Scenario::new(16).run(|w| async move {
        let mut low = job(1, "batch", 4, 300.0);
        low["urgency"] = json!("low");
        low["crew"] = json!("u");
        let array = w.submit(low).await;
        w.until(&array, "running", 60).await;
        sleep(Duration::from_secs(30)).await;
        assert_eq!(w.running(&array), 4);
        let mut service = job(2, "daemon", 4, 0.0);
        service["urgency"] = json!("prod");
        let service = w.submit(service).await;
        sleep(Duration::from_millis(3500)).await;
        assert_eq!((w.running(&service), w.running(&array)), (4, 0));
        w.assert_kept();
    });
}

#[test]
fn operators_are_told_what_is_undone_and_why() {
    Scenario::new(10).run(|w| async move {
        let big = w.submit(job(1, "gang", 6, 300.0)).await;
        w.until(&big, "running", 100).await;
        let second = w.submit(job(2, "gang", 2, 5.0)).await;
        sleep(Duration::from_secs(5)).await;
        for i in 0..CONTROLLERS {
            let (status, report) = w.ask(i, "GET", "/ops/report", None).await;
            assert_eq!(
                (status, &report["unfinished"]),
                (200, &json!(2)),
                "{report}"
            );
            let jobs = report["jobs"].as_array().expect("jobs");
            let told = jobs
                .iter()
                .find(|j| j["job"] == second.as_str())
                .expect("second");
            assert_eq!(told["reason"], "its team is at its limit", "{told}");
            let (_, teams) = w.ask(i, "GET", "/ops/teams", None).await;
            assert_eq!(teams[0]["cpus_used"], 12.0);
            assert_eq!(teams[0]["cpus_borrowed"], 4.0);
            assert_eq!(teams[0]["why"], "its team is at its limit");
        }
        let (_, story) = w.ask(0, "GET", &format!("/ops/job/{big}"), None).await;
        assert_eq!(
            (&story["running"], &story["stage"]),
            (&json!(6), &json!("running"))
        );
        w.assert_kept();
    });
}
