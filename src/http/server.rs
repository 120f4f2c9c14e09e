//! The server: one task for each connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use super::client::Count;
use super::message::encode;
use super::{Parsed, Request, Response, parse_request};
use crate::net::{Listener, Stream};

pub type Answer = Pin<Box<dyn Future<Output = Response>>>;
/// Responds to the requests of all connections.
pub type Handler = Rc<dyn Fn(Request) -> Answer>;

/// Bounds on what the server's connections may take.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The most connections; further ones are closed at once.
    pub connections: usize,
    /// An idle connection may wait this long for its next request.
    pub idle: Duration,
    /// A request, once begun, must have arrived after this long; so must the
    /// client have taken its answer.
    pub arrive: Duration,
    /// Whose connections are not closed after the answer when most are taken:
    /// the others come back on new ones, and none is shut out by those that
    /// idle.
    pub stays: fn(&Request) -> bool,
}

impl ServerLimits {
    fn is_crowded(&self, open: usize) -> bool {
        open > self.connections / 4 * 3
    }
}

/// Serves until dropped. Must run inside a `LocalSet`.
pub async fn serve(mut listener: Listener, limits: ServerLimits, handler: Handler) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok(s) => s,
            Err(error) => {
                // Out of sockets, most likely: wait for some to close.
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        let (count, handler) = (Count::new(&open), handler.clone());
        tokio::task::spawn_local(async move {
            let _ = converse(stream, limits, handler, &count.0).await;
        });
    }
}

async fn converse(
    mut stream: Stream,
    limits: ServerLimits,
    handler: Handler,
    open: &Cell<usize>,
) -> io::Result<()> {
    let mut buf: Vec<u8> = Vec::new();
    loop {
        let mut begun: Option<Instant> = (!buf.is_empty()).then(Instant::now);
        let (request, used, keep) = loop {
            match parse_request(&buf) {
                Parsed::Whole(r, n, keep) => break (r, n, keep),
                Parsed::Refuse(status, problem) => {
                    let bytes = encode(&Response::error(status, problem), false);
                    let _ = timeout(limits.arrive, stream.write_all(&bytes)).await;
                    let _ = timeout(limits.arrive, stream.shutdown()).await;
                    return Ok(());
                }
                Parsed::Partial => {}
            }
            let wait = match begun {
                None => limits.idle,
                Some(t) => limits.arrive.saturating_sub(t.elapsed()),
            };
            buf.reserve(2048);
            match timeout(wait, stream.read_buf(&mut buf)).await {
                Ok(Ok(0)) | Err(_) => return Ok(()),
                Ok(Ok(_)) => begun = begun.or(Some(Instant::now())),
                Ok(Err(e)) => return Err(e),
            }
        };
        buf.drain(..used);
        if buf.is_empty() {
            // Idle connections hold no buffer: there may be many.
            buf = Vec::new();
        }
        let stays = (limits.stays)(&request);
        let response = handler(request).await;
        let keep = keep && (stays || !limits.is_crowded(open.get()));
        let bytes = encode(&response, keep);
        match timeout(limits.arrive, stream.write_all(&bytes)).await {
            Ok(done) => done?,
            Err(_) => return Ok(()),
        }
        if !keep {
            let _ = timeout(limits.arrive, stream.shutdown()).await;
            return Ok(());
        }
    }
}
