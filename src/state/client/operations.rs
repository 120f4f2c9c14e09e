//! Implements the operations of the state service: commits, reads, the watch, and leases.

use std::time::Duration;

use super::request::Request;
use super::{StateClient, StateClientError};
use crate::http::{BODY_LIMIT, Response};
use crate::state::budget::RequestClass;
use crate::wire::{
    Commit, CommitConflict, Revision, StateLease, StateLeaseRequest, StoredRecordPage,
    WatchResponse, Write,
};

/// Maximum number of records per page of a read.
const MAX_PAGE_RECORDS: usize = 500;

/// Number of logged keys above which the list of logged keys is cleared.
const MAX_LOGGED_KEYS: usize = 1000;

impl StateClient {
    /// Commits a transaction and returns the revision of its changes.
    pub async fn commit(
        &self,
        class: RequestClass,
        commit: &Commit,
    ) -> Result<u64, StateClientError> {
        let body = encode(commit)?;
        let writes = commit.writes.len();
        if body.len() > BODY_LIMIT {
            tracing::error!(bytes = body.len(), writes, "commit too long to send");
            return Err(StateClientError::CommitTooLong(body.len()));
        }
        let mut request = Request::post(class, "/commit", body, self.response_timeout);
        request.writes = writes;
        let response = self.send(request).await?;
        match response.status {
            200 => Ok(response.parse::<Revision>()?.revision),
            409 => Err(StateClientError::Conflict(
                response.parse::<CommitConflict>()?.failed,
            )),
            400 if names_missing_lease(&response) => Err(StateClientError::LeaseExpired),
            400 => {
                let key = self.log_longest_record(commit, &response.body);
                Err(StateClientError::LimitsExceeded(key))
            }
            status => {
                let body = String::from_utf8_lossy(&response.body);
                tracing::error!(status, %body, "commit refused");
                Err(StateClientError::Refused(status))
            }
        }
    }

    /// Logs the longest record of a commit that exceeded the limits, once per key, and returns
    /// the key. The response does not tell which limit or record was at fault; the longest
    /// record is the most likely cause.
    fn log_longest_record(&self, commit: &Commit, body: &[u8]) -> String {
        let sizes = commit.writes.iter().map(|write| match write {
            Write::Put { key, value, .. } => (value.get().len(), key),
            Write::Delete { key } => (0, key),
        });
        let Some((bytes, key)) = sizes.max() else {
            return String::new();
        };
        let mut logged_keys = self.logged_keys.borrow_mut();
        if logged_keys.len() > MAX_LOGGED_KEYS {
            logged_keys.clear();
        }
        if logged_keys.insert(key.clone()) {
            tracing::info!(
                key,
                bytes,
                writes = commit.writes.len(),
                preconditions = commit.preconditions.len(),
                limit = %String::from_utf8_lossy(body),
                "commit exceeds the state service's limits"
            );
        }
        key.clone()
    }

    /// Returns the current revision of the state service. `key` is a key that never exists;
    /// the response to a read of it contains the revision.
    pub async fn revision(&self, key: &str) -> Result<u64, StateClientError> {
        let path = format!("/store/{key}");
        let request = Request::get(RequestClass::Accept, &path, self.response_timeout);
        let response = self.send(request).await?;
        match response.status {
            404 => Ok(response.parse::<Revision>()?.revision),
            status => Err(StateClientError::Refused(status)),
        }
    }

    /// Reads a page of records in the order of their keys, beginning after the key `after`.
    pub async fn read_page(
        &self,
        prefix: &str,
        after: &str,
    ) -> Result<StoredRecordPage, StateClientError> {
        let mut path = format!("/store?prefix={prefix}&limit={MAX_PAGE_RECORDS}");
        if !after.is_empty() {
            path.push_str(&format!("&after={after}"));
        }
        let request = Request::get(RequestClass::Lease, &path, self.response_timeout);
        let response = self.send(request).await?;
        match response.status {
            200 => Ok(response.parse()?),
            status => Err(StateClientError::Refused(status)),
        }
    }

    /// Returns the changes after the revision `after`. If there are none yet, the state service
    /// waits up to `block` for one.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        block: Duration,
    ) -> Result<WatchResponse, StateClientError> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&block_ms={}",
            block.as_millis()
        );
        // The connection of a watch stays open during an outage of the state service, so the
        // response may take longer than `block`.
        let timeout = block + self.response_timeout;
        let request = Request::get(RequestClass::Accept, &path, timeout);
        let response = self.send(request).await?;
        match response.status {
            200 => Ok(response.parse()?),
            410 => Err(StateClientError::TooOld),
            status => Err(StateClientError::Refused(status)),
        }
    }

    /// Acquires a state lease that expires if it is not renewed within `ttl`. Returns its
    /// id.
    pub async fn acquire_lease(&self, ttl: Duration) -> Result<u64, StateClientError> {
        let body = encode(&StateLeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        })?;
        let timeout = self.response_timeout;
        let request = Request::post(RequestClass::Lease, "/holds", body, timeout);
        let response = self.send(request).await?;
        match response.status {
            200 => Ok(response.parse::<StateLease>()?.lease_id),
            status => Err(StateClientError::Refused(status)),
        }
    }

    /// Renews a state lease.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StateClientError> {
        let path = format!("/holds/{lease}/extend");
        let body = b"{}".to_vec();
        let timeout = self.response_timeout;
        let request = Request::post(RequestClass::Lease, &path, body, timeout);
        let response = self.send(request).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(StateClientError::LeaseExpired),
            status => Err(StateClientError::Refused(status)),
        }
    }
}

/// Returns whether a commit was refused because the state lease that it ties a key to no
/// longer exists.
fn names_missing_lease(response: &Response) -> bool {
    String::from_utf8_lossy(&response.body).contains("no such lease")
}

/// Encodes the body of a request as JSON.
fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StateClientError> {
    serde_json::to_vec(value).map_err(|error| StateClientError::NoResponse(error.to_string()))
}
