//! How the limits of the configuration are divided among what uses descriptors and memory.

use loomflow_settings::Config;
use rustix::process::{Resource, getrlimit};

/// Connections to the ledger get the descriptors divided by this.
const LEDGER_PART: usize = 8;
const MIN_LEDGER_CONNECTIONS: usize = 2;
/// Descriptors for everything but gateways and ledger: standard streams, the listening socket, the poller, signals, the
/// engine and the control plane, each former link beside the current one.
const RESERVED_DESCRIPTORS: usize = 24;
/// Above this fraction (numerator, denominator) of the gateways' connections the longest idle are closed.
const NEAR_CAPACITY: (usize, usize) = (3, 4);

/// The memory divided by this is for each of: responses that gateways have not read, cached results, the idempotency cache's
/// entries, and requests. The rest is for the program, the coroutines' stacks and buffers (at most 24 KB a connection).
const MEMORY_PART: usize = 8;
/// Memory of one request with its body.
const REQUEST_BYTES: usize = 2_560;
/// Memory of one entry of the idempotency cache.
const IDEMPOTENCY_ENTRY_BYTES: usize = 512;
/// Memory of the hash of a retired key, in a table that may be half empty.
const RETIRED_KEY_BYTES: usize = 40;

/// What each part of the server may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections of gateways at the same time.
    pub gateways: usize,
    /// With more of them than this, idle ones are closed before there is no capacity left.
    pub gateways_near_capacity: usize,
    /// Connections to the ledger at the same time.
    pub ledger: usize,
    /// Bytes of responses that are not yet written to the gateways' sockets.
    pub unwritten_bytes: usize,
    /// Bytes of cached results.
    pub result_bytes: usize,
    /// Entries of the idempotency cache.
    pub idempotency_entries: usize,
    /// Requests at the same time.
    pub requests: usize,
    /// One [`MEMORY_PART`] of the memory, bytes.
    memory_part: usize,
}

/// What a front that consumes from a broker may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokerBudget {
    /// Messages in flight.
    pub in_flight: usize,
    /// Messages that are remembered.
    pub records: usize,
    /// Bytes of their replies.
    pub reply_bytes: usize,
    /// Messages of which only a hash is left.
    pub retired_keys: usize,
}

impl Budget {
    /// Divides the limits of the configuration. `open_files` is the system's limit on this process's descriptors, where
    /// there is one. The lower of the two limits counts: otherwise connections that the system refuses to open would
    /// starve the links to engine, ledger and control plane.
    pub fn new(config: &Config, open_files: Option<usize>) -> Budget {
        let descriptors = open_files.map_or(config.sockets, |limit| limit.min(config.sockets));
        let ledger = (descriptors / LEDGER_PART).max(MIN_LEDGER_CONNECTIONS);
        let gateways = descriptors.saturating_sub(ledger + RESERVED_DESCRIPTORS).max(descriptors / 2).max(1);
        let memory_part = config.memory_mb.saturating_mul(1024 * 1024) / MEMORY_PART;
        Budget {
            gateways,
            gateways_near_capacity: (gateways * NEAR_CAPACITY.0 / NEAR_CAPACITY.1).max(1),
            ledger,
            unwritten_bytes: memory_part,
            result_bytes: memory_part,
            idempotency_entries: memory_part / IDEMPOTENCY_ENTRY_BYTES,
            requests: (memory_part / REQUEST_BYTES).max(1),
            memory_part,
        }
    }

    /// The budget of a front that consumes from a broker: one part of the memory for messages in flight, each with its
    /// body here, in the request and on its way out, and one for messages that are remembered, half of it for replies.
    pub fn for_broker(&self, max_body_bytes: usize) -> BrokerBudget {
        BrokerBudget {
            in_flight: (self.memory_part / (3 * max_body_bytes + REQUEST_BYTES)).max(1),
            records: (self.memory_part / 4 / IDEMPOTENCY_ENTRY_BYTES).max(1),
            reply_bytes: self.memory_part / 2,
            retired_keys: self.memory_part / 4 / RETIRED_KEY_BYTES,
        }
    }
}

/// The system's limit on this process's descriptors, where there is one.
pub fn open_files_limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok())
}

#[cfg(test)]
mod tests;
