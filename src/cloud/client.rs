//! Calls to the cloud: the rate limit, its pauses, and who may call.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::Controller;
use crate::http::Response;
use crate::state::budget::TokenBucket;

/// How long the cloud is left alone when it refuses calls.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// The part of the cloud's rate limit that is used.
const USED_RATE: f64 = 0.9;

impl Controller {
    /// Whether this controller rents: the record says so, and its state lease
    /// stands as far as is known.
    pub fn is_fleet_leader(&self) -> bool {
        let replica = self.replica.borrow();
        let fleet_leader = replica.fleet.as_ref();
        fleet_leader.is_some_and(|entry| entry.value.incarnation == self.incarnation)
            && self.fleet.borrow().lease.is_some()
    }

    /// Calls the cloud, if this controller rents.
    pub(super) async fn cloud(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<Response> {
        self.cloud_if(method, path, body, || true).await
    }

    /// The same if it is still wanted when its turn has come, by one who still
    /// rents: the limit, or this process queue_rank still, may hold it up.
    pub(super) async fn cloud_if(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        is_wanted: impl Fn() -> bool,
    ) -> Option<Response> {
        let pause = self.fleet.borrow().cloud_pause;
        if pause.is_some_and(|until| until > Instant::now()) {
            return None;
        }
        self.cloud_turn().await;
        if !is_wanted() || !self.is_fleet_leader() || !self.is_state_service_reachable() {
            return None;
        }
        let limit = self.settings.worker_lease() / 3;
        let answer = self
            .client
            .call(self.settings.external.cloud, method, path, body, limit)
            .await;
        match answer {
            Ok(response) if is_overloaded(&response) => {
                tracing::debug!(status = response.status, path, "cloud refuses");
                let pause = self.store.jitter(OVERLOAD_PAUSE);
                self.fleet.borrow_mut().cloud_pause = Some(Instant::now() + pause);
                None
            }
            Ok(response) => Some(response),
            Err(error) => {
                tracing::debug!(%error, path, "cloud does not answer");
                None
            }
        }
    }

    /// Waits until the cloud's limit allows one more call. The fleet_leader alone
    /// calls; rentals call at once, inside the limit.
    async fn cloud_turn(&self) {
        loop {
            let now = Instant::now();
            let taken = {
                let rps = self.settings.deployment.cloud.rps;
                let mut fleet = self.fleet.borrow_mut();
                let bucket = fleet
                    .cloud_calls
                    .get_or_insert_with(|| TokenBucket::new(rps * USED_RATE, rps, now));
                bucket.take_one(now)
            };
            match taken {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }
}

/// Whether the cloud takes no calls now; an answer that it has no capacity is
/// one like any other.
fn is_overloaded(response: &Response) -> bool {
    response.status == 429 || (response.status >= 500 && !is_no_capacity(response))
}

fn is_no_capacity(response: &Response) -> bool {
    String::from_utf8_lossy(&response.body).contains("no capacity")
}
