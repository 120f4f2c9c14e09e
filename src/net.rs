//! The network: the system's sockets, or a simulated network inside one process (a
//! fabric), on which tests run whole services in simulated time.

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

/// A bidirectional byte stream.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

/// An open connection.
pub type Stream = Box<dyn Duplex>;

/// The bytes that a stream on a fabric buffers in each direction.
const FABRIC_BUFFER_BYTES: usize = 64 * 1024;

/// A simulated network inside one process, which can be partitioned.
#[derive(Default)]
pub struct Fabric {
    listeners: RefCell<HashMap<SocketAddrV4, mpsc::UnboundedSender<DuplexStream>>>,
    cut: RefCell<HashSet<Route>>,
}

/// The two ends of a stream: who opened it, and to which address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Route {
    from: SocketAddrV4,
    to: SocketAddrV4,
}

impl Fabric {
    /// Partitions `from` from `to`: new connections hang, and so do streams that are
    /// open already.
    pub fn cut(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.cut.borrow_mut().insert(Route { from, to });
    }

    /// Heals a partition: connecting and open streams go on.
    pub fn repair(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.cut.borrow_mut().remove(&Route { from, to });
    }

    /// Removes the listener at `addr`, as when its process has ended.
    pub fn close(&self, addr: SocketAddrV4) {
        self.listeners.borrow_mut().remove(&addr);
    }

    fn is_cut(&self, route: Route) -> bool {
        self.cut.borrow().contains(&route)
    }
}

/// The client's end of a stream on a fabric.
struct FabricStream {
    inner: DuplexStream,
    fabric: Rc<Fabric>,
    route: Route,
}

impl FabricStream {
    /// Whether the stream crosses a partition: its user is woken by a timeout only.
    fn is_cut(&self) -> bool {
        self.fabric.is_cut(self.route)
    }
}

impl AsyncRead for FabricStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_cut() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for FabricStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_cut() {
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

/// The network as one process sees it.
#[derive(Clone)]
pub enum Net {
    /// By the system's sockets.
    System,
    /// On a fabric, as the process at this address.
    Fabric(Rc<Fabric>, SocketAddrV4),
}

/// Accepts incoming streams.
pub enum Listener {
    /// On a socket of the system.
    System(TcpListener),
    /// On a fabric.
    Fabric(mpsc::UnboundedReceiver<DuplexStream>),
}

impl Net {
    /// Opens a stream to `addr`.
    pub async fn dial(&self, addr: SocketAddrV4) -> io::Result<Stream> {
        match self {
            Net::System => {
                let stream = TcpStream::connect(SocketAddr::V4(addr)).await?;
                stream.set_nodelay(true)?;
                Ok(Box::new(stream))
            }
            Net::Fabric(fabric, from) => {
                let route = Route {
                    from: *from,
                    to: addr,
                };
                if fabric.is_cut(route) {
                    std::future::pending::<()>().await;
                }
                let (ours, theirs) = tokio::io::duplex(FABRIC_BUFFER_BYTES);
                let listeners = fabric.listeners.borrow();
                let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
                let listener = listeners.get(&addr).ok_or_else(refused)?;
                listener.send(theirs).map_err(|_| refused())?;
                Ok(Box::new(FabricStream {
                    inner: ours,
                    fabric: fabric.clone(),
                    route,
                }))
            }
        }
    }

    /// Starts to accept streams at `addr`.
    pub async fn listen(&self, addr: SocketAddrV4) -> io::Result<Listener> {
        match self {
            Net::System => Ok(Listener::System(
                TcpListener::bind(SocketAddr::V4(addr)).await?,
            )),
            Net::Fabric(fabric, _) => {
                let (sender, receiver) = mpsc::unbounded_channel();
                fabric.listeners.borrow_mut().insert(addr, sender);
                Ok(Listener::Fabric(receiver))
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
            Listener::Fabric(receiver) => match receiver.recv().await {
                Some(stream) => Ok(Box::new(stream)),
                None => std::future::pending().await,
            },
        }
    }
}
