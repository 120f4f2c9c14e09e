//! The client, which sends one request at a time on each connection and reuses idle
//! connections.
//!
//! `pool` keeps the connections, `response` reads responses.

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

pub(super) use pool::OpenConnection;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing left this process: surely not executed.
    #[error("not connected: {0}")]
    NotSent(String),
    /// Sent, at least in part: executed or not, now or later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The response is not what was expected.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The response is longer than the client reads.
    #[error("answer too large")]
    TooLarge,
}

/// The deadlines of a call: for sending its request, and for its response.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// A request that has not been sent by then is not sent any more.
    pub send: Instant,
    /// A request without a response by then counts as unanswered.
    pub answer: Instant,
}

/// An HTTP client that keeps connections to each address open.
pub struct Client {
    pool: ConnectionPool,
    /// The maximum bytes of a response.
    max_response_bytes: usize,
}

impl Client {
    /// A client that reuses connections if they were idle for less than `max_idle`.
    pub fn new(net: Net, max_idle: Duration) -> Self {
        Client {
            pool: ConnectionPool::new(net, max_idle),
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }

    /// The same client with other limits on open connections and on a response's
    /// bytes.
    #[must_use]
    pub fn bounded(self, max_connections: usize, max_response_bytes: usize) -> Self {
        Client {
            pool: self.pool.bounded(max_connections),
            max_response_bytes,
        }
    }

    /// How many connections are open, in use or idle.
    pub fn connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Sends a request and reads its response, both within `limit`.
    pub async fn call(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let deadline = Instant::now() + limit;
        let deadlines = Deadlines {
            send: deadline,
            answer: deadline,
        };
        self.call_within(addr, method, path, body, deadlines).await
    }

    /// The same for a call that was decided on earlier. A request that has not been
    /// sent by its deadline is not sent any more: a process that was paused would
    /// else act on a decision that is out of date.
    pub async fn call_within(
        &self,
        addr: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        deadlines: Deadlines,
    ) -> Result<Response, CallError> {
        let mut connection = self.pool.acquire(addr, deadlines.send).await?;
        let request = request_bytes(addr, method, path, &body.unwrap_or_default());
        // A timeout alone looks at the clock only after its future has run.
        if Instant::now() >= deadlines.send {
            return Err(CallError::NotSent("too late to send".into()));
        }
        let exchange = async {
            connection.stream.write_all(&request).await?;
            read_response(&mut connection.stream, self.max_response_bytes).await
        };
        match timeout_at(deadlines.answer, exchange).await {
            Err(_) => Err(CallError::NoAnswer("timed out".into())),
            Ok(Err(error)) if error.kind() == io::ErrorKind::FileTooLarge => {
                Err(CallError::TooLarge)
            }
            Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
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

    /// Closes connections that have been idle too long.
    pub fn sweep(&self) {
        self.pool.close_expired();
    }
}

fn request_bytes(addr: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
