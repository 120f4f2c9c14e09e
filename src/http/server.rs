//! HTTP server, with one task for each connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use super::client::ConnectionCountGuard;
use super::message::encode;
use super::{ParsedRequest, Request, Response, parse_request};
use crate::net::{Listener, Stream};

/// Future that resolves to the response of a handler.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Function that returns the response to a request.
pub type Handler = Rc<dyn Fn(Request) -> ResponseFuture>;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Free buffer capacity that is reserved for each read, in bytes.
const READ_CAPACITY_BYTES: usize = 2048;

/// Limits on the connections of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections. The server closes further connections
    /// immediately.
    pub max_connections: usize,
    /// Maximum size of a request's body, in bytes. The server refuses longer requests.
    pub max_body_bytes: usize,
    /// Time after which an idle connection without a new request is closed.
    pub idle_timeout: Duration,
    /// Time within which a request must arrive in full after its first byte, and within
    /// which the client must read the response.
    pub request_timeout: Duration,
    /// Predicate for requests whose connections are kept open in preference to others
    /// when the server approaches the connection limit.
    pub is_preferred: fn(&Request) -> bool,
}

/// Denominator of the two fractions below, which are given in eighths.
const EIGHTHS: usize = 8;

/// Fraction of `max_connections`, in eighths, above which only preferred connections are
/// kept open after a response.
const MAX_KEPT_OPEN_EIGHTHS: usize = 6;

/// Fraction of `max_connections`, in eighths, above which no connection is kept open
/// after a response.
const MAX_KEPT_OPEN_EIGHTHS_PREFERRED: usize = 7;

impl ServerLimits {
    /// Returns whether a connection is kept open after its response while the server has
    /// `open` connections.
    ///
    /// Near the connection limit, connections are closed after a response, and the clients
    /// reconnect for their next requests. Otherwise idle connections could use up the limit and
    /// shut out other clients. Even preferred connections are closed in the end, because there
    /// may be more workers than the server may have connections.
    fn should_keep_open(&self, is_preferred: bool, open: usize) -> bool {
        let eighths = match is_preferred {
            true => MAX_KEPT_OPEN_EIGHTHS_PREFERRED,
            false => MAX_KEPT_OPEN_EIGHTHS,
        };
        open * EIGHTHS <= self.max_connections * eighths
    }
}

/// Serves requests until the future is dropped. Must run inside a `LocalSet`.
pub async fn serve(mut listener: Listener, limits: ServerLimits, handler: Handler) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                // The process has most likely reached its limit on open sockets: wait
                // until some are closed.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= limits.max_connections {
            drop(stream);
            continue;
        }
        let connection = ConnectionCountGuard::new(&open);
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, limits, handler, connection.count()).await;
        });
    }
}

/// Outcome of waiting for a request on a connection.
enum ReceiveOutcome {
    /// A complete request has arrived.
    Request(ParsedRequest),
    /// The connection has to be closed: the request was malformed, no complete request arrived
    /// in time, or the client closed the connection.
    Closed,
}

/// Serves the requests of one connection one after another. `open` is the number of open
/// connections of the server.
async fn serve_connection(
    mut stream: Stream,
    limits: ServerLimits,
    handler: Handler,
    open: &Cell<usize>,
) -> io::Result<()> {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let received = receive(&mut stream, &limits, &mut buffer).await?;
        let ReceiveOutcome::Request(ParsedRequest {
            request,
            keep_alive,
            ..
        }) = received
        else {
            return Ok(());
        };
        let is_preferred = (limits.is_preferred)(&request);
        let response = handler(request).await;
        let keep_alive = keep_alive && limits.should_keep_open(is_preferred, open.get());
        let bytes = encode(&response, keep_alive);
        match timeout(limits.request_timeout, stream.write_all(&bytes)).await {
            Ok(done) => done?,
            Err(_) => return Ok(()),
        }
        if !keep_alive {
            let _ = timeout(limits.request_timeout, stream.shutdown()).await;
            return Ok(());
        }
    }
}

/// Reads until `buffer` contains a complete request, and removes the request from the
/// buffer. Responds to a malformed request with an error, without calling the handler.
async fn receive(
    stream: &mut Stream,
    limits: &ServerLimits,
    buffer: &mut Vec<u8>,
) -> io::Result<ReceiveOutcome> {
    let mut started_at: Option<Instant> = (!buffer.is_empty()).then(Instant::now);
    loop {
        match parse_request(buffer, limits.max_body_bytes) {
            Ok(Some(parsed)) => {
                buffer.drain(..parsed.len);
                if buffer.is_empty() {
                    // Free the buffer, because the server may have many idle connections.
                    *buffer = Vec::new();
                }
                return Ok(ReceiveOutcome::Request(parsed));
            }
            Ok(None) => {}
            Err(error) => {
                let bytes = encode(&Response::error(error.status, error.problem), false);
                let _ = timeout(limits.request_timeout, stream.write_all(&bytes)).await;
                let _ = timeout(limits.request_timeout, stream.shutdown()).await;
                return Ok(ReceiveOutcome::Closed);
            }
        }
        let wait = match started_at {
            None => limits.idle_timeout,
            Some(since) => limits.request_timeout.saturating_sub(since.elapsed()),
        };
        buffer.reserve(READ_CAPACITY_BYTES);
        match timeout(wait, stream.read_buf(buffer)).await {
            Ok(Ok(0)) | Err(_) => return Ok(ReceiveOutcome::Closed),
            Ok(Ok(_)) => started_at = started_at.or(Some(Instant::now())),
            Ok(Err(error)) => return Err(error),
        }
    }
}
