//! Commits: their preconditions, their writes, and the injected faults that affect them.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde_json::{Value, json};
use shelfhoist::http::Response;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{StateFault, StateService};
use crate::stand_ins::production::commit_of_production_version;

/// Returns the key that a write sets or removes.
pub(super) fn written_key(write: &Value) -> &str {
    let key = write["set"].as_str().or(write["remove"].as_str());
    key.expect("set or remove")
}

impl StateService {
    /// Serves a commit of a controller that stands for the production version. Data that this
    /// version would not write is removed from the commit. If it would not send the commit at
    /// all, the response is a conflict on `sh/formats`.
    pub(super) async fn commit_as_production(self: &Rc<Self>, body: Value) -> Response {
        match commit_of_production_version(body) {
            Some(body) => self.commit(body).await,
            None => {
                let revision = self.revision.get();
                let conflict = json!({"failed": ["sh/formats"], "ledger_rev": revision});
                Response::json(409, &conflict)
            }
        }
    }

    /// Serves a commit, subject to the injected faults.
    pub(super) async fn commit(self: &Rc<Self>, body: Value) -> Response {
        if self.fault.get() == StateFault::CommitsRefused {
            return Response::empty(503);
        }
        if self.faulty_commits_left.get() > 0 {
            self.faulty_commits_left
                .set(self.faulty_commits_left.get() - 1);
            match self.fault.get() {
                StateFault::LostResponses => {
                    self.apply(&body);
                    std::future::pending::<()>().await;
                }
                StateFault::LateCommits => {
                    sleep(Duration::from_secs(3)).await;
                    self.apply(&body);
                    std::future::pending::<()>().await;
                }
                _ => {}
            }
        }
        let (late, unanswered) = {
            let troubles = self.fault_options.borrow();
            (
                troubles.late_commit_fraction,
                troubles.unanswered_commit_fraction,
            )
        };
        if self.draw_bool(late) {
            let delay_s = self.rng.borrow_mut().random_range(2.0..12.0);
            return self
                .apply_late(Duration::from_secs_f64(delay_s), body)
                .await;
        }
        if self.draw_bool(unanswered) {
            self.apply(&body);
            return std::future::pending().await;
        }
        self.apply(&body)
    }

    /// Applies a commit after a delay, and never responds. The commit is also applied if the
    /// controller has stopped waiting for the response.
    pub(super) async fn apply_late(self: &Rc<Self>, delay: Duration, body: Value) -> Response {
        let state = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            while state.is_in_outage() {
                sleep(Duration::from_millis(100)).await;
            }
            state.apply(&body);
        });
        std::future::pending().await
    }

    /// Applies a transaction and returns the response. Nothing is applied if the transaction
    /// exceeds a limit, names a lease that does not exist, or fails a precondition.
    pub(super) fn apply(&self, body: &Value) -> Response {
        let empty = vec![];
        let writes = body["writes"].as_array().unwrap_or(&empty);
        let failed = self.failed_guards(body);
        let revision = self.revision.get();
        if let Some(problem) = self.limit_violation(body) {
            self.rejected_commits.borrow_mut().push(problem.clone());
            return Response::json(400, &json!({"error": problem}));
        }
        if self
            .writes
            .refuses(self.limits.get().write_rps, writes.len())
        {
            self.rate_limited_commits
                .set(self.rate_limited_commits.get() + 1);
            return Response::json(429, &json!({"error": "too many"}));
        }
        let mut permits = writes.iter().filter_map(|w| w["permit"].as_u64());
        if permits.any(|permit| !self.leases.borrow().contains_key(&permit)) {
            return Response::json(400, &json!({"error": "no such lease"}));
        }
        if !failed.is_empty() {
            self.conflict_count.set(self.conflict_count.get() + 1);
            return Response::json(409, &json!({"failed": failed, "ledger_rev": revision}));
        }
        if writes.is_empty() {
            return Response::json(200, &json!({"ledger_rev": revision}));
        }
        let revision = revision + 1;
        for write in writes {
            self.attach_to_lease(write);
            let event = self.apply_write(write, revision);
            self.change_log.borrow_mut().push(event);
        }
        self.check_changed_places(writes, revision);
        let keys: Vec<&str> = writes.iter().map(written_key).collect();
        for observer in self.observers.borrow().iter() {
            observer(&self.pairs.borrow(), &keys, revision);
        }
        self.revision.set(revision);
        self.revision_changed.notify_waiters();
        Response::json(200, &json!({"ledger_rev": revision}))
    }

    /// Returns the keys whose revision differs from the one that the transaction expects.
    fn failed_guards(&self, body: &Value) -> Vec<String> {
        let pairs = self.pairs.borrow();
        let preconditions = body["guards"].as_array().into_iter().flatten();
        let failed = preconditions.filter_map(|precondition| {
            let key = precondition["key"].as_str()?;
            let current = pairs.get(key).map_or(0, |pair| pair.1);
            (precondition["stamp"].as_u64() != Some(current)).then(|| key.to_string())
        });
        failed.collect()
    }

    /// Sets or removes a key, and returns the event that watches report for it.
    fn apply_write(&self, write: &Value, revision: u64) -> Value {
        let mut pairs = self.pairs.borrow_mut();
        let key = written_key(write);
        if write["set"].is_string() {
            pairs.insert(key.to_string(), (write["value"].clone(), revision));
            json!({"set": key, "value": write["value"], "stamp": revision})
        } else {
            pairs.remove(key);
            json!({"remove": key, "stamp": revision})
        }
    }
}
