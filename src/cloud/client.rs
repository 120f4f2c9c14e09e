//! Calls to the cloud: the rate limit, its pauses, and who may call.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::http::Response;
use crate::node::Node;
use crate::store::Bucket;

impl Node {
    pub fn is_renter(&self) -> bool {
        self.view
            .borrow()
            .fleet
            .as_ref()
            .is_some_and(|f| f.value.incarnation == self.incarnation)
            && self.fleet.borrow().lease.is_some()
    }

    pub(super) async fn cloud(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<Response> {
        self.cloud_if(method, path, body, || true).await
    }

    /// The same if it is still wanted when its turn has come, by one who still
    /// rents: the limit, or this process standing still, may hold it up.
    pub(super) async fn cloud_if(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        wanted: impl Fn() -> bool,
    ) -> Option<Response> {
        let pause = self.fleet.borrow().cloud_pause;
        if pause.is_some_and(|t| t > Instant::now()) {
            return None;
        }
        // The renter alone calls; rentals call at once, inside the limit.
        loop {
            let now = Instant::now();
            let taken = {
                let rps = self.settings.deployment.cloud.rps;
                let mut fleet = self.fleet.borrow_mut();
                let bucket = fleet
                    .cloud_calls
                    .get_or_insert_with(|| Bucket::new(rps * 0.9, rps, now));
                bucket.take_one(now)
            };
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(wait).await,
            }
        }
        if !wanted() || !self.is_renter() || !self.has_state() {
            return None;
        }
        let limit = self.settings.lease() / 3;
        let answer = self
            .client
            .call(self.settings.external.cloud, method, path, body, limit)
            .await;
        match answer {
            Ok(r) if r.status == 429 || (r.status >= 500 && !is_no_capacity(&r)) => {
                tracing::debug!(status = r.status, path, "cloud refuses");
                let pause = self.store.jitter(Duration::from_secs(1));
                self.fleet.borrow_mut().cloud_pause = Some(Instant::now() + pause);
                None
            }
            Ok(r) => Some(r),
            Err(error) => {
                tracing::debug!(%error, path, "cloud does not answer");
                None
            }
        }
    }
}

fn is_no_capacity(r: &Response) -> bool {
    String::from_utf8_lossy(&r.body).contains("no capacity")
}
