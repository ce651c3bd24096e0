//! The bound on connections of gateways that are open at the same time.

use std::sync::Arc;

/// Counts the open connections by their permits.
pub(super) struct ConnectionLimit {
    max_connections: usize,
    permits: Arc<()>,
}

/// One connection's share of the limit, until its descriptor is closed.
pub(super) struct ConnectionPermit {
    _permits: Arc<()>,
}

impl ConnectionLimit {
    /// A limit of which nothing is used.
    pub(super) fn new(max_connections: usize) -> ConnectionLimit {
        ConnectionLimit { max_connections, permits: Arc::new(()) }
    }

    /// Whether a further connection may be accepted.
    pub(super) fn has_capacity(&self) -> bool {
        let open = Arc::strong_count(&self.permits) - 1;
        open < self.max_connections
    }

    /// The permit of a connection that was accepted.
    pub(super) fn acquire(&self) -> ConnectionPermit {
        ConnectionPermit { _permits: self.permits.clone() }
    }
}

#[cfg(test)]
mod tests;
