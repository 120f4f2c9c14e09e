//! Network access, either through the sockets of the operating system or on a simulated
//! network.
//!
//! The simulated network connects components inside one process, so that tests can run
//! whole services in simulated time.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Bidirectional byte stream.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> ByteStream for T {}

/// Open connection on either kind of network.
pub type Stream = Box<dyn ByteStream>;

/// Buffer size of a simulated stream in each direction, in bytes.
const SIMULATED_STREAM_BUFFER_BYTES: usize = 64 * 1024;

/// Simulated network inside one process, which can be partitioned.
#[derive(Default)]
pub struct SimulatedNetwork {
    /// Listening addresses, with the channel that passes new streams to the listener.
    listeners: RefCell<HashMap<SocketAddrV4, mpsc::UnboundedSender<DuplexStream>>>,
    /// Routes that are partitioned.
    partitions: RefCell<HashSet<Route>>,
}

/// Address of the client that opened a stream, and address that it connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Route {
    from: SocketAddrV4,
    to: SocketAddrV4,
}

impl SimulatedNetwork {
    /// Partitions the route from `from` to `to`. Connection attempts of the client at `from`
    /// hang, and so do its reads and writes on streams that are already open.
    pub fn partition(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.partitions.borrow_mut().insert(Route { from, to });
    }

    /// Removes a partition: new connections succeed again, and open streams continue when
    /// they are next polled.
    pub fn heal(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.partitions.borrow_mut().remove(&Route { from, to });
    }

    /// Removes the listener at `addr`, to simulate that the process that listens there has
    /// ended.
    pub fn remove_listener(&self, addr: SocketAddrV4) {
        self.listeners.borrow_mut().remove(&addr);
    }

    /// Returns whether a route is partitioned.
    fn is_partitioned(&self, route: Route) -> bool {
        self.partitions.borrow().contains(&route)
    }
}

/// Client side of a stream on the simulated network.
struct SimulatedStream {
    inner: DuplexStream,
    network: Rc<SimulatedNetwork>,
    route: Route,
}

impl SimulatedStream {
    /// Returns whether the stream crosses a partition. In that case, reads and writes return
    /// `Pending` without registering a waker, so the caller only continues after a timeout of
    /// its own.
    fn is_partitioned(&self) -> bool {
        self.network.is_partitioned(self.route)
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_partitioned() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_partitioned() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Network through which a process connects and listens.
#[derive(Clone)]
pub enum Net {
    /// Sockets of the operating system.
    System,
    /// Simulated network, and the address of the simulated process that uses it.
    Simulated(Rc<SimulatedNetwork>, SocketAddrV4),
}

/// Listener for incoming streams.
pub enum Listener {
    /// Listening socket of the operating system.
    System(TcpListener),
    /// Channel of new streams on the simulated network.
    Simulated(mpsc::UnboundedReceiver<DuplexStream>),
}

impl Net {
    /// Opens a stream to `addr`.
    pub async fn connect(&self, addr: SocketAddrV4) -> io::Result<Stream> {
        match self {
            Net::System => {
                let stream = TcpStream::connect(SocketAddr::V4(addr)).await?;
                stream.set_nodelay(true)?;
                Ok(Box::new(stream))
            }
            Net::Simulated(network, from) => {
                let route = Route {
                    from: *from,
                    to: addr,
                };
                if network.is_partitioned(route) {
                    std::future::pending::<()>().await;
                }
                let (client_end, server_end) = tokio::io::duplex(SIMULATED_STREAM_BUFFER_BYTES);
                let listeners = network.listeners.borrow();
                let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
                let listener = listeners.get(&addr).ok_or_else(refused)?;
                listener.send(server_end).map_err(|_| refused())?;
                Ok(Box::new(SimulatedStream {
                    inner: client_end,
                    network: network.clone(),
                    route,
                }))
            }
        }
    }

    /// Starts to listen at `addr`.
    pub async fn listen(&self, addr: SocketAddrV4) -> io::Result<Listener> {
        match self {
            Net::System => Ok(Listener::System(
                TcpListener::bind(SocketAddr::V4(addr)).await?,
            )),
            Net::Simulated(network, _) => {
                let (sender, receiver) = mpsc::unbounded_channel();
                network.listeners.borrow_mut().insert(addr, sender);
                Ok(Listener::Simulated(receiver))
            }
        }
    }
}

impl Listener {
    /// Waits for the next incoming stream.
    pub async fn accept(&mut self) -> io::Result<Stream> {
        match self {
            Listener::System(listener) => {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                Ok(Box::new(stream))
            }
            Listener::Simulated(receiver) => match receiver.recv().await {
                Some(stream) => Ok(Box::new(stream)),
                None => std::future::pending().await,
            },
        }
    }
}
