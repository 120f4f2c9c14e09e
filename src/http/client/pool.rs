//! Connection pool of the client. Idle connections are kept for each address, and the
//! number of open connections is limited.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::CallError;
use crate::net::{Net, Stream};

/// Maximum number of idle connections that are kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Guard that counts one open connection until it is dropped.
pub(in crate::http) struct ConnectionCountGuard(Rc<Cell<usize>>);

impl ConnectionCountGuard {
    /// Increments the shared counter `open`.
    pub(in crate::http) fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        ConnectionCountGuard(open.clone())
    }

    /// Returns the shared counter of open connections.
    pub(in crate::http) fn count(&self) -> &Cell<usize> {
        &self.0
    }
}

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Open connection.
pub(super) struct Connection {
    pub(super) stream: Stream,
    _open: ConnectionCountGuard,
}

/// Open connection that no request uses.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Pool of open connections to each address.
pub(super) struct ConnectionPool {
    net: Net,
    /// Idle connections of each address; the most recently used connection is the last.
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    /// Maximum idle time after which a connection is still reused. After a longer time, the
    /// server may have closed the connection.
    max_idle: Duration,
    /// Number of open connections, in use or idle.
    open: Rc<Cell<usize>>,
    /// Maximum number of open connections.
    max_open: usize,
}

impl ConnectionPool {
    /// Returns an empty pool without a limit on open connections.
    pub(super) fn new(net: Net, max_idle: Duration) -> Self {
        ConnectionPool {
            net,
            idle: RefCell::default(),
            max_idle,
            open: Rc::default(),
            max_open: usize::MAX,
        }
    }

    /// Returns this pool with the given limit on open connections.
    #[must_use]
    pub(super) fn with_max_open(self, max_open: usize) -> Self {
        ConnectionPool { max_open, ..self }
    }

    /// Returns the number of open connections, in use or idle.
    pub(super) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the most recently used idle connection to `addr`, or opens a new one before
    /// the deadline.
    pub(super) async fn acquire(
        &self,
        addr: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Connection, CallError> {
        let idle = self.take_idle(addr);
        match idle {
            Some(idle) if idle.since.elapsed() < self.max_idle => Ok(idle.connection),
            _ => self.connect_until(addr, deadline).await,
        }
    }

    /// Returns a connection to the pool for the next request to its address, or closes it
    /// if enough connections to the address are idle.
    pub(super) fn release(&self, addr: SocketAddrV4, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Closes connections that have been idle for at least `max_idle`.
    pub(super) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.since.elapsed() < self.max_idle);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Removes the most recently used idle connection to an address from the pool.
    fn take_idle(&self, addr: SocketAddrV4) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    /// Opens a connection before the deadline.
    async fn connect_until(
        &self,
        addr: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Connection, CallError> {
        match timeout_at(deadline, self.connect(addr)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(CallError::NotSent(error.to_string())),
            Err(_) => Err(CallError::NotSent("connect timed out".into())),
        }
    }

    /// Opens a connection. At the limit, closes an idle one first.
    async fn connect(&self, addr: SocketAddrV4) -> io::Result<Connection> {
        if self.open.get() >= self.max_open {
            self.close_longest_idle()?;
        }
        // The connection is counted before it is established. Otherwise several tasks that
        // connect at the same time could exceed the limit.
        let open = ConnectionCountGuard::new(&self.open);
        let stream = self.net.connect(addr).await?;
        Ok(Connection {
            stream,
            _open: open,
        })
    }

    /// Closes the connection that has been idle for the longest time. Fails if all
    /// connections are in use.
    fn close_longest_idle(&self) -> io::Result<()> {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(addr, list)| Some((list.first()?.since, *addr)))
            .min_by_key(|(since, _)| *since);
        let Some((_, addr)) = oldest else {
            return Err(io::Error::other("all connections are in use"));
        };
        if let Some(list) = idle.get_mut(&addr) {
            list.remove(0);
            if list.is_empty() {
                idle.remove(&addr);
            }
        }
        Ok(())
    }
}
