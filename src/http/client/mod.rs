//! HTTP client that sends one request at a time on each connection and reuses idle
//! connections.
//!
//! - `pool`: open connections.
//! - `response`: reading and parsing of responses.

mod pool;
mod response;

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout_at};

use super::{MAX_RESPONSE_BYTES, Response};
use crate::net::Net;

use pool::ConnectionPool;
use response::{ReceivedResponse, read_response};

pub(super) use pool::ConnectionCountGuard;

/// Reason why a call returned no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing of the request was sent, so the server has certainly not executed it.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The request may have been sent, at least in part, but no response arrived. The server
    /// may have executed the request, or may still execute it.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The body of the response is not the expected JSON.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The response exceeds the client's maximum size.
    #[error("response too large")]
    TooLarge,
}

/// Deadlines of a call, for sending its request and for its response.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// Time after which the request is no longer sent.
    pub send: Instant,
    /// Time at which a missing response becomes [`CallError::NoResponse`].
    pub response: Instant,
}

/// HTTP client that keeps connections to each address open.
pub struct Client {
    pool: ConnectionPool,
    /// Maximum size of a response, in bytes.
    max_response_bytes: usize,
}

impl Client {
    /// Returns a client that reuses connections that were idle for less than `max_idle`.
    pub fn new(net: Net, max_idle: Duration) -> Self {
        Client {
            pool: ConnectionPool::new(net, max_idle),
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }

    /// Returns this client with the given limits on the number of open connections and
    /// on the size of a response in bytes.
    #[must_use]
    pub fn with_limits(self, max_connections: usize, max_response_bytes: usize) -> Self {
        Client {
            pool: self.pool.with_max_open(max_connections),
            max_response_bytes,
        }
    }

    /// Returns the number of open connections, in use or idle.
    pub fn connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Sends a request and reads its response, both within `timeout`.
    pub async fn call(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        let deadlines = Deadlines {
            send: deadline,
            response: deadline,
        };
        self.call_with_deadlines(addr, method, path, body, deadlines)
            .await
    }

    /// Sends a request before one deadline and reads its response before another.
    ///
    /// The request is not sent after `deadlines.send`. Otherwise a process that was
    /// paused after the decision to send the request would act on outdated state.
    pub async fn call_with_deadlines(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        deadlines: Deadlines,
    ) -> Result<Response, CallError> {
        let mut connection = self.pool.acquire(addr, deadlines.send).await?;
        let request = request_bytes(addr, method, path, &body.unwrap_or_default());
        // This check cannot be left to `timeout_at`, which polls its future before it checks
        // the clock, and so would send the request even after the deadline.
        if Instant::now() >= deadlines.send {
            return Err(CallError::NotSent("send deadline passed".into()));
        }
        let exchange = async {
            connection.stream.write_all(&request).await?;
            read_response(&mut connection.stream, self.max_response_bytes).await
        };
        match timeout_at(deadlines.response, exchange).await {
            Err(_) => Err(CallError::NoResponse("timed out".into())),
            Ok(Err(error)) if error.kind() == io::ErrorKind::FileTooLarge => {
                Err(CallError::TooLarge)
            }
            Ok(Err(error)) => Err(CallError::NoResponse(error.to_string())),
            Ok(Ok(ReceivedResponse {
                response,
                keep_alive,
            })) => {
                if keep_alive {
                    self.pool.release(addr, connection);
                }
                Ok(response)
            }
        }
    }

    /// Closes connections that have been idle for too long to be reused.
    pub fn close_expired_connections(&self) {
        self.pool.close_expired();
    }
}

/// Encodes a request with a JSON body.
fn request_bytes(addr: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
