//! The client's connections: those that are idle are kept for each address, and the
//! number of open ones is limited.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::CallError;
use crate::net::{Net, Stream};

/// How many idle connections are kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Counts one open connection for as long as it lives.
pub(in crate::http) struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    pub(in crate::http) fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConnection(open.clone())
    }

    /// How many connections are open.
    pub(in crate::http) fn count(&self) -> &Cell<usize> {
        &self.0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection.
pub(super) struct Connection {
    pub(super) stream: Stream,
    _open: OpenConnection,
}

/// An open connection that no request uses.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Keeps connections open for each address.
pub(super) struct ConnectionPool {
    net: Net,
    /// The idle connections of each address, the one that became idle last at the end.
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    /// A connection that was idle for longer is not reused: it may be closed.
    max_idle: Duration,
    /// How many connections are open, in use or idle.
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl ConnectionPool {
    pub(super) fn new(net: Net, max_idle: Duration) -> Self {
        ConnectionPool {
            net,
            idle: RefCell::default(),
            max_idle,
            open: Rc::default(),
            max_open: usize::MAX,
        }
    }

    /// The same pool with another limit on open connections.
    #[must_use]
    pub(super) fn bounded(self, max_open: usize) -> Self {
        ConnectionPool { max_open, ..self }
    }

    /// How many connections are open, in use or idle.
    pub(super) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Takes the connection to `addr` that became idle last, or opens a new one by
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

    /// Keeps a connection for the next request to its address.
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

    /// Closes connections that have been idle for `max_idle`.
    pub(super) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.since.elapsed() < self.max_idle);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn take_idle(&self, addr: SocketAddrV4) -> Option<IdleConnection> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    async fn connect_until(
        &self,
        addr: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Connection, CallError> {
        match timeout_at(deadline, self.connect(addr)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(CallError::NotSent(error.to_string())),
            Err(_) => Err(CallError::NotSent("connecting took too long".into())),
        }
    }

    async fn connect(&self, addr: SocketAddrV4) -> io::Result<Connection> {
        if self.open.get() >= self.max_open {
            self.close_longest_idle()?;
        }
        // Counted from here on, as several may connect at once.
        let open = OpenConnection::new(&self.open);
        let stream = self.net.dial(addr).await?;
        Ok(Connection {
            stream,
            _open: open,
        })
    }

    /// Closes the connection that has been idle longest; fails when all are in use.
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
