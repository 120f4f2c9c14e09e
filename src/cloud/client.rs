//! Calls to the cloud: the rate limit, its pauses, and who may call.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::Controller;
use crate::http::{CallError, Response};

/// How long the cloud is not called after it has refused a call as too many.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// Why a call to the cloud was not made, or has no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// Not called: the cloud has refused calls a moment ago.
    #[error("calls to the cloud are paused")]
    Paused,
    /// Not called: what the call was for had changed when its turn came.
    #[error("the call is no longer wanted")]
    NoLongerWanted,
    /// Not called: this controller is not the fleet leader.
    #[error("not the fleet leader")]
    NotFleetLeader,
    /// Not called: an answer could not be recorded.
    #[error("the state service is unreachable")]
    StateServiceUnreachable,
    /// The cloud takes no calls now.
    #[error("the cloud is overloaded: status {0}")]
    Overloaded(u16),
    /// The cloud has refused the call.
    #[error("the cloud refuses the call: status {0}")]
    Refused(u16),
    /// No answer, or a malformed one.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request could not be encoded.
    #[error("request not encoded: {0}")]
    Encoding(#[from] serde_json::Error),
}

impl Controller {
    /// Whether this controller is the fleet leader: the record says so, and its
    /// state lease stands as far as is known.
    pub fn is_fleet_leader(&self) -> bool {
        let replica = self.replica.borrow();
        let fleet_leader = replica.fleet.as_ref();
        fleet_leader.is_some_and(|entry| entry.value.incarnation == self.incarnation)
            && self.fleet.borrow().state_lease().is_some()
    }

    /// Calls the cloud, if this controller is the fleet leader.
    pub(super) async fn call_cloud(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, CloudError> {
        self.call_cloud_if(method, path, body, || true).await
    }

    /// The same if it is still wanted when its turn has come, and this controller
    /// is still the fleet leader: the rate limit, or a pause of this process, may
    /// hold it up.
    pub(super) async fn call_cloud_if(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        is_wanted: impl Fn() -> bool,
    ) -> Result<Response, CloudError> {
        if self.fleet.borrow().cloud_calls.is_paused() {
            return Err(CloudError::Paused);
        }
        self.wait_for_cloud_rate_limit().await;
        if !is_wanted() {
            return Err(CloudError::NoLongerWanted);
        }
        if !self.is_fleet_leader() {
            return Err(CloudError::NotFleetLeader);
        }
        if !self.is_state_service_reachable() {
            return Err(CloudError::StateServiceUnreachable);
        }
        let limit = self.settings.worker_lease() / 3;
        let response = self
            .client
            .call(self.settings.external.cloud, method, path, body, limit)
            .await?;
        if is_overloaded(&response) {
            let pause = self.store.jitter(OVERLOAD_PAUSE);
            self.fleet.borrow_mut().cloud_calls.pause(pause);
            return Err(CloudError::Overloaded(response.status));
        }
        Ok(response)
    }

    /// Waits until the cloud's rate limit allows one more call. The fleet leader
    /// alone calls; provisioning requests call at once, inside the limit.
    async fn wait_for_cloud_rate_limit(&self) {
        let max_rps = self.settings.deployment.cloud.rps;
        loop {
            let taken = self
                .fleet
                .borrow_mut()
                .cloud_calls
                .take(max_rps, Instant::now());
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
