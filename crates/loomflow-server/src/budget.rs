//! Divides the configuration's limits on descriptors and memory among the parts of the server.

use loomflow_settings::Config;
use rustix::process::{Resource, getrlimit};

use crate::fleet;

/// One in this many descriptors is for a connection to the ledger.
const DESCRIPTORS_PER_LEDGER_CONNECTION: usize = 8;
/// Minimum number of connections to the ledger, however low the limit on descriptors is.
const MIN_LEDGER_CONNECTIONS: usize = 2;
/// Descriptors for all uses but connections of gateways and to the ledger: standard streams, the listening socket, the poller,
/// signals, and the links to the engine and the control plane, where a former link may be open beside the current one.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors for links with members of a fleet.
const MEMBER_DESCRIPTORS: usize = 64;
/// Descriptors for the fleet's thread, if there is one.
const FLEET_DESCRIPTORS: usize =
    MEMBER_DESCRIPTORS + fleet::MAX_UNKNOWN_SENDERS + fleet::MAX_OPERATOR_CONNECTIONS;
/// The fleet's thread has at most this fraction (numerator, denominator) of a low limit on descriptors.
const MAX_FLEET_SHARE: (usize, usize) = (3, 16);
/// Above this fraction (numerator, denominator) of the maximum of gateway connections the longest idle ones are closed.
const NEAR_CAPACITY: (usize, usize) = (3, 4);

/// The memory is divided into this many equal parts. One part each is for responses that gateways have not read, cached
/// results, entries of the idempotency cache with the ids of attempts that have run, and requests. The rest is for the program
/// and for the coroutines' stacks and buffers (at most 24 KB per connection).
const MEMORY_PARTS: usize = 8;
/// Bytes of one request with its body.
const REQUEST_BYTES: usize = 2_560;
/// Bytes of one entry of the idempotency cache.
const IDEMPOTENCY_ENTRY_BYTES: usize = 512;
/// Of the part for the idempotency cache one in this many bytes is for the ids of attempts that have run.
const STARTED_ATTEMPTS_FRACTION: usize = 8;
/// Bytes of the id of an attempt in a queue and in a hash table that may be half empty.
const STARTED_ATTEMPT_BYTES: usize = 40;
/// Bytes of the hash of a retired key in a hash table that may be half empty.
const RETIRED_KEY_BYTES: usize = 40;

/// The maximum of descriptors and memory for each part of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Concurrent connections of gateways.
    pub max_gateway_connections: usize,
    /// Above this number of gateway connections idle ones are closed, to keep capacity for new ones.
    pub gateway_connections_near_capacity: usize,
    /// Concurrent connections to the ledger.
    pub max_ledger_connections: usize,
    /// Bytes of responses that have not been written to the gateways' sockets.
    pub max_unwritten_bytes: usize,
    /// Bytes of results in the idempotency cache.
    pub max_result_bytes: usize,
    /// Entries of the idempotency cache.
    pub max_idempotency_entries: usize,
    /// Requests in the request table.
    pub max_requests: usize,
    /// Ids of attempts that have run.
    pub max_started_attempts: usize,
    /// Size of one of the [`MEMORY_PARTS`] equal parts of the memory, in bytes.
    memory_part_bytes: usize,
}

/// The maximum of messages and memory for a front that consumes from a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokerBudget {
    /// Messages in flight.
    pub max_in_flight: usize,
    /// Messages whose idempotency record is retained.
    pub max_records: usize,
    /// Bytes of the replies in the retained idempotency records.
    pub max_reply_bytes: usize,
    /// Messages of which only a hash of the key is retained.
    pub max_retired_keys: usize,
}

impl Budget {
    /// Divides the limits of the configuration. `open_files` is the operating system's limit on descriptors of this process,
    /// if there is one. The lower limit on descriptors applies: above the system's limit, connections of gateways would use up
    /// the descriptors for the links to engine, ledger and control plane. `has_fleet` is whether the server is a member of a
    /// fleet.
    pub fn new(config: &Config, open_files: Option<usize>, has_fleet: bool) -> Budget {
        let descriptors = open_files.map_or(config.sockets, |limit| limit.min(config.sockets));
        let max_ledger_connections =
            (descriptors / DESCRIPTORS_PER_LEDGER_CONNECTION).max(MIN_LEDGER_CONNECTIONS);
        let fleet_descriptors = FLEET_DESCRIPTORS.min(descriptors * MAX_FLEET_SHARE.0 / MAX_FLEET_SHARE.1);
        let fleet_descriptors = if has_fleet { fleet_descriptors } else { 0 };
        let max_gateway_connections = descriptors
            .saturating_sub(max_ledger_connections + RESERVED_DESCRIPTORS + fleet_descriptors)
            .max(descriptors / 2)
            .max(1);
        let memory_part_bytes = config.memory_mb.saturating_mul(1024 * 1024) / MEMORY_PARTS;
        let started_attempts_bytes = memory_part_bytes / STARTED_ATTEMPTS_FRACTION;
        Budget {
            max_gateway_connections,
            gateway_connections_near_capacity: (max_gateway_connections * NEAR_CAPACITY.0 / NEAR_CAPACITY.1)
                .max(1),
            max_ledger_connections,
            max_unwritten_bytes: memory_part_bytes,
            max_result_bytes: memory_part_bytes,
            max_idempotency_entries: (memory_part_bytes - started_attempts_bytes) / IDEMPOTENCY_ENTRY_BYTES,
            max_requests: (memory_part_bytes / REQUEST_BYTES).max(1),
            max_started_attempts: started_attempts_bytes / STARTED_ATTEMPT_BYTES,
            memory_part_bytes,
        }
    }

    /// The budget of a front that consumes from a broker. One part of the memory is for messages in flight, whose body is held
    /// up to three times: in the message, in the request and in the output. Another part is for idempotency records: half of it
    /// for replies, a quarter for the records, and a quarter for the hashes of retired keys.
    pub fn for_broker(&self, max_body_bytes: usize) -> BrokerBudget {
        BrokerBudget {
            max_in_flight: (self.memory_part_bytes / (3 * max_body_bytes + REQUEST_BYTES)).max(1),
            max_records: (self.memory_part_bytes / 4 / IDEMPOTENCY_ENTRY_BYTES).max(1),
            max_reply_bytes: self.memory_part_bytes / 2,
            max_retired_keys: self.memory_part_bytes / 4 / RETIRED_KEY_BYTES,
        }
    }
}

/// The operating system's soft limit on descriptors of this process (`RLIMIT_NOFILE`); `None` if it is unlimited.
pub fn open_files_limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok())
}

#[cfg(test)]
mod tests;
