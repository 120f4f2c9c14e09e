//! The server: one task for each connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use super::client::OpenConnection;
use super::message::encode;
use super::{ParsedRequest, Request, Response, parse_request};
use crate::net::{Listener, Stream};

/// The response that a handler will give.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Handles the server's requests.
pub type Handler = Rc<dyn Fn(Request) -> ResponseFuture>;

/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The capacity that is reserved for each read, in bytes.
const READ_BYTES: usize = 2048;

/// Limits on the server's connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The most connections that are open at once.
    pub connections: usize,
    /// An idle connection may wait this long for its next request.
    pub idle: Duration,
    /// A request, once begun, must have arrived after this long; so must the
    /// client have taken its answer.
    pub arrive: Duration,
    /// Whose connections are kept longest when connections run short.
    pub stays: fn(&Request) -> bool,
}

/// Connections are counted in eighths of those that a server may have.
const EIGHTHS: usize = 8;

/// With more than so many eighths taken, only those that stay are kept open.
const CROWDED_EIGHTHS: usize = 6;

/// With more than so many eighths taken, no connection is kept open.
const NEARLY_FULL_EIGHTHS: usize = 7;

impl ServerLimits {
    /// Whether a connection is kept open after the answer, with so many open. The
    /// others come back on new connections: those that idle must not shut out the
    /// rest, and there may be more workers than connections.
    fn keeps_open(&self, stays: bool, open: usize) -> bool {
        let eighths = match stays {
            true => NEARLY_FULL_EIGHTHS,
            false => CROWDED_EIGHTHS,
        };
        open * EIGHTHS <= self.connections * eighths
    }
}

/// Serves until dropped. Must run inside a `LocalSet`.
pub async fn serve(mut listener: Listener, limits: ServerLimits, handler: Handler) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                // Out of sockets, most likely: wait for some to close.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        let connection = OpenConnection::new(&open);
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, limits, handler, connection.count()).await;
        });
    }
}

/// The outcome of waiting for a request.
enum Received {
    Request(ParsedRequest),
    /// The connection is to be closed.
    Closed,
}

/// Serves the requests of one connection in turn. `open` counts the server's
/// connections.
async fn serve_connection(
    mut stream: Stream,
    limits: ServerLimits,
    handler: Handler,
    open: &Cell<usize>,
) -> io::Result<()> {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let received = receive(&mut stream, &limits, &mut buffer).await?;
        let Received::Request(ParsedRequest {
            request,
            keep_alive,
            ..
        }) = received
        else {
            return Ok(());
        };
        let stays = (limits.stays)(&request);
        let response = handler(request).await;
        let keep_alive = keep_alive && limits.keeps_open(stays, open.get());
        let bytes = encode(&response, keep_alive);
        match timeout(limits.arrive, stream.write_all(&bytes)).await {
            Ok(done) => done?,
            Err(_) => return Ok(()),
        }
        if !keep_alive {
            let _ = timeout(limits.arrive, stream.shutdown()).await;
            return Ok(());
        }
    }
}

/// Reads until `buffer` holds a request, and removes it from there. A malformed one
/// gets its response at once.
async fn receive(
    stream: &mut Stream,
    limits: &ServerLimits,
    buffer: &mut Vec<u8>,
) -> io::Result<Received> {
    let mut begun: Option<Instant> = (!buffer.is_empty()).then(Instant::now);
    loop {
        match parse_request(buffer) {
            Ok(Some(parsed)) => {
                buffer.drain(..parsed.len);
                if buffer.is_empty() {
                    // Idle connections hold no buffer: there may be many.
                    *buffer = Vec::new();
                }
                return Ok(Received::Request(parsed));
            }
            Ok(None) => {}
            Err(error) => {
                let bytes = encode(&Response::error(error.status, error.problem), false);
                let _ = timeout(limits.arrive, stream.write_all(&bytes)).await;
                let _ = timeout(limits.arrive, stream.shutdown()).await;
                return Ok(Received::Closed);
            }
        }
        let wait = match begun {
            None => limits.idle,
            Some(since) => limits.arrive.saturating_sub(since.elapsed()),
        };
        buffer.reserve(READ_BYTES);
        match timeout(wait, stream.read_buf(buffer)).await {
            Ok(Ok(0)) | Err(_) => return Ok(Received::Closed),
            Ok(Ok(_)) => begun = begun.or(Some(Instant::now())),
            Ok(Err(error)) => return Err(error),
        }
    }
}
