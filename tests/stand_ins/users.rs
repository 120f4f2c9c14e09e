//! The simulated users: they submit jobs, poll them, repeat submissions and cancel jobs.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::scenario::{Simulation, controller_addr};

impl Simulation {
    /// Returns whether a user has received a response that the job is cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.borrow().contains_key(id)
    }

    /// Sends a user's request to a controller, checks the response against the rules, and
    /// returns its status and body. The status is 0 if there is no response.
    pub async fn send_request(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let bytes = body.map(|b| b.to_string().into_bytes());
        let id = body.and_then(|b| b["name_id"].as_str());
        let id = id.or(path.split('/').nth(2)).unwrap_or("").to_string();
        let known = {
            let mut responses = self.responses.borrow_mut();
            let job_responses = responses.entry(id.clone()).or_default();
            job_responses.submitted |= body.is_some();
            job_responses.cancel_requested |= path.ends_with("/withdraw");
            job_responses.clone()
        };
        let call = self.client.call(
            controller_addr(i),
            method,
            path,
            bytes,
            Duration::from_secs(5),
        );
        let (status, response) = match call.await {
            Ok(r) => (r.status, r.parse().unwrap_or_default()),
            Err(_) => (0, Value::Null),
        };
        if path.starts_with("/submissions") {
            self.advance_tasks();
            self.check_response(i, &id, &known, status, &response);
            if method == "GET" {
                self.check_poll(&id, status);
            }
        }
        (status, response)
    }

    /// Polls the job and repeats its submission at all controllers concurrently, five times at
    /// intervals of a few milliseconds. The job may be in any stage.
    pub async fn query_concurrently(self: &Rc<Self>, id: &str) {
        let job = self.jobs.borrow()[id].clone();
        let mut requests = Vec::new();
        for _ in 0..5 {
            for i in 0..self.shape.controllers {
                let (simulation, job, id) = (self.clone(), job.clone(), id.to_string());
                requests.push(spawn_local(async move {
                    simulation.query_stage(i, &id).await;
                    simulation
                        .send_request(i, "POST", "/submissions", Some(&job))
                        .await;
                    simulation.query_stage(i, &id).await;
                }));
            }
            sleep(Duration::from_millis(3)).await;
        }
        for request in requests {
            request.await.expect("a completed request");
        }
    }

    /// Registers a job with the rule checker, as one that workers may be commanded to run.
    pub fn register_job(&self, job: &Value) {
        let id = job["name_id"].as_str().expect("id").to_string();
        self.jobs.borrow_mut().insert(id, job.clone());
    }

    /// Returns whether the job is a service, which runs until it is cancelled.
    pub fn is_service(&self, id: &str) -> bool {
        self.jobs.borrow()[id]["cut"] == "daemon"
    }

    /// Submits a job to one controller after another until it is accepted, and returns its
    /// ID. Panics if it is not accepted within 60 attempts.
    pub async fn submit(&self, job: Value) -> String {
        let id = job["name_id"].as_str().expect("id").to_string();
        self.register_job(&job);
        for i in 0..60 {
            let (status, _) = self
                .send_request(
                    i % self.shape.controllers,
                    "POST",
                    "/submissions",
                    Some(&job),
                )
                .await;
            if status == 200 || status == 201 {
                return id;
            }
            assert!([0, 503].contains(&status), "{id}: {status}");
            sleep(Duration::from_secs(1)).await;
        }
        panic!("{id} was not accepted");
    }

    /// Polls a job at a controller, and returns the job's stage if the poll succeeds.
    pub async fn query_stage(&self, i: usize, id: &str) -> Option<String> {
        let (status, body) = self
            .send_request(i, "GET", &format!("/submissions/{id}"), None)
            .await;
        (status == 200).then(|| body["stage"].as_str().unwrap_or("").to_string())
    }

    /// Polls all controllers in turn until one reports `stage`. Panics after `limit` seconds.
    pub async fn wait_for_stage(&self, id: &str, stage: &str, limit: u64) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(limit) {
            for i in 0..self.shape.controllers {
                if self.query_stage(i, id).await.as_deref() == Some(stage) {
                    return;
                }
            }
            sleep(Duration::from_secs(1)).await;
        }
        panic!(
            "{id} is not {stage} after {limit} s: {:?}",
            self.query_stage(0, id).await
        );
    }

    /// Requests a job's cancellation at a controller, and returns the job's stage if the
    /// request succeeds.
    pub async fn cancel(&self, i: usize, id: &str) -> Option<String> {
        let (status, body) = self
            .send_request(i, "POST", &format!("/submissions/{id}/withdraw"), None)
            .await;
        (status == 200).then(|| body["stage"].as_str().unwrap_or("").to_string())
    }
}
