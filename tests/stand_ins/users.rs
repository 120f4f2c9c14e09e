//! The users: they submit, ask, repeat and cancel.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::scenario::{World, controller};

impl World {
    /// Whether users were told that the job is cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.borrow().contains_key(id)
    }

    /// Sends a request to a controller and judges the answer: its status, 0 for
    /// none, and its body.
    pub async fn ask(
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
            let mut answers = self.answers.borrow_mut();
            let told = answers.entry(id.clone()).or_default();
            told.submitted |= body.is_some();
            told.cancel_requested |= path.ends_with("/withdraw");
            told.clone()
        };
        let call = self
            .client
            .call(controller(i), method, path, bytes, Duration::from_secs(5));
        let (status, answer) = match call.await {
            Ok(r) => (r.status, r.parse().unwrap_or_default()),
            Err(_) => (0, Value::Null),
        };
        if path.starts_with("/submissions") {
            self.advance_tasks();
            self.check_answer(i, &id, &known, status, &answer);
            if method == "GET" {
                self.check_poll(&id, status);
            }
        }
        (status, answer)
    }

    /// Asks all controllers at once, again and again within milliseconds, and
    /// repeats the submission, wherever the job stands.
    pub async fn look_closely(self: &Rc<Self>, id: &str) {
        let job = self.jobs.borrow()[id].clone();
        let mut looks = Vec::new();
        for _ in 0..5 {
            for i in 0..self.shape.controllers {
                let (world, job, id) = (self.clone(), job.clone(), id.to_string());
                looks.push(spawn_local(async move {
                    world.stage(i, &id).await;
                    world.ask(i, "POST", "/submissions", Some(&job)).await;
                    world.stage(i, &id).await;
                }));
            }
            sleep(Duration::from_millis(3)).await;
        }
        for look in looks {
            look.await.expect("a look");
        }
    }

    /// A job that workers may be told to run.
    pub fn remember(&self, job: &Value) {
        let id = job["name_id"].as_str().expect("id").to_string();
        self.jobs.borrow_mut().insert(id, job.clone());
    }

    /// Whether the job runs until it is cancelled.
    pub fn is_service(&self, id: &str) -> bool {
        self.jobs.borrow()[id]["cut"] == "daemon"
    }

    /// Submits until it is accepted, to whichever controller answers.
    pub async fn submit(&self, job: Value) -> String {
        let id = job["name_id"].as_str().expect("id").to_string();
        self.remember(&job);
        for i in 0..60 {
            let (status, _) = self
                .ask(
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

    /// Polls a controller; the job's stage if it is answered with one.
    pub async fn stage(&self, i: usize, id: &str) -> Option<String> {
        let (status, body) = self
            .ask(i, "GET", &format!("/submissions/{id}"), None)
            .await;
        (status == 200).then(|| body["stage"].as_str().unwrap_or("").to_string())
    }

    /// Polls until all controllers that answer say `stage`.
    pub async fn until(&self, id: &str, stage: &str, limit: u64) {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(limit) {
            for i in 0..self.shape.controllers {
                if self.stage(i, id).await.as_deref() == Some(stage) {
                    return;
                }
            }
            sleep(Duration::from_secs(1)).await;
        }
        panic!(
            "{id} is not {stage} after {limit} s: {:?}",
            self.stage(0, id).await
        );
    }

    /// Asks a controller to cancel; the job's stage if that is confirmed.
    pub async fn withdraw(&self, i: usize, id: &str) -> Option<String> {
        let (status, body) = self
            .ask(i, "POST", &format!("/submissions/{id}/withdraw"), None)
            .await;
        (status == 200).then(|| body["stage"].as_str().unwrap_or("").to_string())
    }
}
