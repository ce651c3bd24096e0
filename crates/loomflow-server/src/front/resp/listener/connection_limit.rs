//! Limit on the number of gateway connections that are open at the same time.

use std::sync::Arc;

/// Limits the open connections, each of which holds a permit.
pub(super) struct ConnectionLimit {
    max_connections: usize,
    /// Each permit holds a clone, so that the reference count minus one is the number of permits.
    permits: Arc<()>,
}

/// Held by a connection until its descriptor is closed.
pub(super) struct ConnectionPermit {
    _permits: Arc<()>,
}

impl ConnectionLimit {
    /// Creates a limit without open connections.
    pub(super) fn new(max_connections: usize) -> ConnectionLimit {
        ConnectionLimit { max_connections, permits: Arc::new(()) }
    }

    /// Whether another connection may be accepted.
    pub(super) fn has_capacity(&self) -> bool {
        let open = Arc::strong_count(&self.permits) - 1;
        open < self.max_connections
    }

    /// Issues a permit to an accepted connection, without checking the limit.
    pub(super) fn acquire(&self) -> ConnectionPermit {
        ConnectionPermit { _permits: self.permits.clone() }
    }
}

#[cfg(test)]
mod tests;
