//! Jobs of each kind, from their submission to their completion or cancellation.

use std::time::Duration;

use serde_json::json;
use shelfhoist::workers::CommandCounts;
use tokio::time::sleep;

use crate::stand_ins::{CONTROLLERS, Scenario, job};

#[test]
fn each_kind_of_job_runs_until_done_or_cancelled() {
    Scenario::new(1).run(|simulation| async move {
        let array = simulation.submit(job(1, "batch", 20, 5.0)).await;
        let gang = simulation.submit(job(2, "gang", 2, 8.0)).await;
        let service = simulation.submit(job(3, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&array, "done", 200).await;
        simulation.wait_for_stage(&gang, "done", 200).await;
        simulation.wait_for_stage(&service, "running", 60).await;
        sleep(Duration::from_secs(5)).await;
        assert_eq!(simulation.running_task_count(&service), 2);
        assert_eq!(
            simulation.cancel(1, &service).await.as_deref(),
            Some("aborted")
        );
        sleep(Duration::from_secs(5)).await;
        assert_eq!(simulation.running_task_count(&service), 0);
        for i in 0..CONTROLLERS {
            assert_eq!(
                simulation.query_stage(i, &array).await.as_deref(),
                Some("done")
            );
            assert_eq!(
                simulation.query_stage(i, &service).await.as_deref(),
                Some("aborted")
            );
            assert_eq!(simulation.cancel(i, &array).await.as_deref(), Some("done"));
        }
        // No job is left, so all machines are returned.
        sleep(Duration::from_secs(60)).await;
        assert_eq!(simulation.workers.borrow().len(), 0);
        simulation.assert_no_violations();
    });
}

#[test]
fn concurrent_submissions_of_one_id_create_one_job() {
    Scenario::new(2).run(|simulation| async move {
        simulation.submit(job(1, "batch", 1, 1.0)).await;
        let submission = job(7, "batch", 2, 3.0);
        let (a, b, c) = tokio::join!(
            simulation.send_request(0, "POST", "/submissions", Some(&submission)),
            simulation.send_request(1, "POST", "/submissions", Some(&submission)),
            simulation.send_request(2, "POST", "/submissions", Some(&submission)),
        );
        let mut statuses = [a.0, b.0, c.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 201]);
        // The repeated submission of a known id returns the job's stage, even if its
        // body is invalid.
        let mut changed = submission.clone();
        changed["crew"] = json!("nobody");
        assert_eq!(
            simulation
                .send_request(0, "POST", "/submissions", Some(&changed))
                .await
                .0,
            200
        );
        assert_eq!(
            simulation
                .send_request(0, "POST", "/submissions", Some(&json!([])))
                .await
                .0,
            400
        );
        assert_eq!(
            simulation
                .send_request(0, "GET", "/submissions/job-999999", None)
                .await
                .0,
            404
        );
        assert_eq!(
            simulation.send_request(0, "GET", "/nowhere", None).await.0,
            404
        );
        assert_eq!(
            simulation
                .send_request(0, "PUT", "/submissions", None)
                .await
                .0,
            405
        );
        changed["name_id"] = json!("job-000008");
        assert_eq!(
            simulation
                .send_request(0, "POST", "/submissions", Some(&changed))
                .await
                .0,
            422
        );
    });
}

/// Checks that preemption frees capacity for all replicas of a service at once, not for one
/// replica after another. All replicas must run before a new machine could have booted.
#[test]
fn preemption_frees_capacity_for_all_replicas_of_a_service_together() {
    Scenario::new(16).run(|simulation| async move {
        let mut low_priority = job(1, "batch", 4, 300.0);
        low_priority["urgency"] = json!("low");
        low_priority["crew"] = json!("u");
        let array = simulation.submit(low_priority).await;
        simulation.wait_for_stage(&array, "running", 60).await;
        sleep(Duration::from_secs(30)).await;
        assert_eq!(simulation.running_task_count(&array), 4);
        let mut service = job(2, "daemon", 4, 0.0);
        service["urgency"] = json!("prod");
        let service = simulation.submit(service).await;
        sleep(Duration::from_millis(3500)).await;
        assert_eq!(
            (
                simulation.running_task_count(&service),
                simulation.running_task_count(&array)
            ),
            (4, 0)
        );
        simulation.assert_no_violations();
    });
}

#[test]
fn operators_see_unfinished_jobs_and_their_reasons() {
    Scenario::new(10).run(|simulation| async move {
        let first = simulation.submit(job(1, "gang", 6, 300.0)).await;
        simulation.wait_for_stage(&first, "running", 100).await;
        let second = simulation.submit(job(2, "gang", 2, 5.0)).await;
        sleep(Duration::from_secs(5)).await;
        for i in 0..CONTROLLERS {
            let (status, report) = simulation.send_request(i, "GET", "/ops/report", None).await;
            assert_eq!(
                (status, &report["unfinished"]),
                (200, &json!(2)),
                "{report}"
            );
            let jobs = report["jobs"].as_array().expect("jobs");
            let reported = jobs
                .iter()
                .find(|j| j["job"] == second.as_str())
                .expect("the second job");
            assert_eq!(reported["reason"], "its team is at its limit", "{reported}");
            let (_, teams) = simulation.send_request(i, "GET", "/ops/teams", None).await;
            assert_eq!(teams[0]["cpus_used"], 12.0);
            assert_eq!(teams[0]["cpus_borrowed"], 4.0);
            assert_eq!(teams[0]["why"], "its team is at its limit");
        }
        let (_, details) = simulation
            .send_request(0, "GET", &format!("/ops/job/{first}"), None)
            .await;
        assert_eq!(
            (&details["running"], &details["stage"]),
            (&json!(6), &json!("running"))
        );
        simulation.assert_no_violations();
    });
}

/// Checks that the controllers' reports count every command that starts a task, and the tokens
/// that were raised before tasks were forgotten.
#[test]
fn reports_count_the_commands_to_workers() {
    Scenario::new(31).run(|simulation| async move {
        let array = simulation.submit(job(1, "batch", 6, 2.0)).await;
        simulation.wait_for_stage(&array, "done", 90).await;
        sleep(Duration::from_secs(5)).await;
        let (mut started, mut forgotten, mut raised) = (0, 0, 0);
        for i in 0..CONTROLLERS {
            let (status, body) = simulation.send_request(i, "GET", "/ops/report", None).await;
            assert_eq!(status, 200);
            let counts: CommandCounts =
                serde_json::from_value(body["commands"].clone()).expect("counts");
            started += counts.started_by_call + counts.started_by_heartbeat;
            forgotten += counts.forgotten;
            raised += counts.tokens_raised;
        }
        assert_eq!(started, simulation.task_start_count.get() as u64);
        assert_eq!(forgotten, 6);
        assert!(raised > 0);
        simulation.assert_no_violations();
    });
}
