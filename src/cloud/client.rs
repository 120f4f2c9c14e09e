//! Sends calls to the cloud. Only the fleet leader calls, and only within the cloud's rate
//! limit. After a response that shows an overload, all calls are paused.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::Controller;
use crate::http::{CallError, Response};

/// The pause of all calls after the cloud has responded that it is overloaded.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

/// The reason why a call to the cloud was not made or returned no usable response.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// The call was not made: calls are paused after an overload of the cloud.
    #[error("calls to the cloud are paused")]
    Paused,
    /// The call was not made: the record that required the call changed while the call waited
    /// for the rate limit.
    #[error("the call is no longer needed")]
    NoLongerNeeded,
    /// The call was not made: this controller is not the fleet leader.
    #[error("not the fleet leader")]
    NotFleetLeader,
    /// The call was not made: the state service is unreachable, so that the response could not
    /// be recorded.
    #[error("the state service is unreachable")]
    StateServiceUnreachable,
    /// The cloud responded with this status, which shows that it is overloaded.
    #[error("the cloud is overloaded: status {0}")]
    Overloaded(u16),
    /// The cloud refused the call with this status.
    #[error("the cloud refused the call: status {0}")]
    Refused(u16),
    /// The call failed, or the response is malformed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The request could not be encoded.
    #[error("request not encoded: {0}")]
    Encoding(#[from] serde_json::Error),
}

impl Controller {
    /// Returns whether this controller is the fleet leader. This is the case if the fleet key
    /// in the replica was written by this run of the controller, and the controller's state
    /// lease is not known to have expired.
    pub fn is_fleet_leader(&self) -> bool {
        let replica = self.replica.borrow();
        let fleet_leader = replica.fleet_leader.as_ref();
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

    /// Calls the cloud, if `is_needed` returns true and this controller is still the fleet
    /// leader once the rate limit allows the call: both may change while the call waits for
    /// the rate limit or this process is paused.
    pub(super) async fn call_cloud_if(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        is_needed: impl Fn() -> bool,
    ) -> Result<Response, CloudError> {
        if self.fleet.borrow().cloud_calls.is_paused() {
            return Err(CloudError::Paused);
        }
        self.wait_for_cloud_rate_limit().await;
        if !is_needed() {
            return Err(CloudError::NoLongerNeeded);
        }
        if !self.is_fleet_leader() {
            return Err(CloudError::NotFleetLeader);
        }
        if !self.is_state_service_reachable() {
            return Err(CloudError::StateServiceUnreachable);
        }
        let timeout = self.settings.worker_lease() / 3;
        let response = self
            .client
            .call(self.settings.external.cloud, method, path, body, timeout)
            .await?;
        if is_overloaded(&response) {
            let pause = self.state_client.jitter(OVERLOAD_PAUSE);
            self.fleet.borrow_mut().cloud_calls.pause(pause);
            return Err(CloudError::Overloaded(response.status));
        }
        Ok(response)
    }

    /// Waits until the cloud's rate limit allows one more call. The limit is not shared with
    /// other controllers, because only the fleet leader calls the cloud. Concurrent calls of
    /// this controller share the limit.
    async fn wait_for_cloud_rate_limit(&self) {
        let max_rps = self.settings.deployment.cloud.rps;
        loop {
            let acquired = self
                .fleet
                .borrow_mut()
                .cloud_calls
                .try_acquire(max_rps, Instant::now());
            match acquired {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }
}

/// Returns whether the response shows that the cloud is overloaded. A response that the
/// cloud has no capacity for a request is not an overload.
fn is_overloaded(response: &Response) -> bool {
    response.status == 429 || (response.status >= 500 && !is_no_capacity(response))
}

/// Returns whether the response states that the cloud has no capacity.
fn is_no_capacity(response: &Response) -> bool {
    String::from_utf8_lossy(&response.body).contains("no capacity")
}
