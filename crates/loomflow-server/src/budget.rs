//! How the limits of the configuration are shared out among what holds descriptors and memory.

use loomflow_settings::Config;
use rustix::process::{Resource, getrlimit};

#[cfg(test)]
mod tests;

/// Part of the descriptors for connections to the ledger.
const LEDGER: usize = 8;
/// Descriptors reserved for what is neither a gateway nor the ledger: standard streams, the listening socket, the poller,
/// signals, the engine and the control plane, each old link beside its new one.
const RESERVED: usize = 24;
/// Gateways open half of the descriptors at the most; beyond this part of their room the longest idle are closed.
const CROWDED: (usize, usize) = (3, 4);

/// Part of the memory for each: answers that gateways have not read yet, kept results, remembered requests, requests
/// in hand. The rest is for the program, the coroutines' stacks and buffers (24 KB a connection at the most).
const MEMORY_PART: usize = 8;
/// Room of one request in hand with its body, bytes.
const REQUEST: usize = 2_560;
/// Room of one remembered request, bytes.
const ENTRY: usize = 512;
/// Room of a hash of one, in a table that may be half empty, bytes.
const HASH: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections accepted at the same time.
    pub gateways: usize,
    /// With more of them than this, room is made before it is missed.
    pub crowded: usize,
    /// Connections to the ledger at the same time.
    pub ledger: usize,
    /// Bytes of answers that wait to be read, and of kept results.
    pub unwritten: usize,
    pub results: usize,
    /// Remembered requests.
    pub entries: usize,
    /// Requests in hand.
    pub requests: usize,
    /// Memory for one more of these, bytes.
    part: usize,
}

/// What a front that pulls may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broker {
    /// Messages in hand.
    pub in_hand: usize,
    /// Remembered messages, bytes of their replies, and messages of which only a hash is left.
    pub records: usize,
    pub replies: usize,
    pub hashes: usize,
}

impl Budget {
    /// Shares out the limits of the configuration; `open_files` is the most descriptors that the system lets this process
    /// hold, where it sets a limit. The lower of the two counts: connections that the system refuses to open would
    /// otherwise starve the links to engine, ledger and control plane.
    pub fn new(config: &Config, open_files: Option<usize>) -> Budget {
        let descriptors = open_files.map_or(config.sockets, |limit| limit.min(config.sockets));
        let ledger = (descriptors / LEDGER).max(2);
        let gateways = descriptors.saturating_sub(ledger + RESERVED).max(descriptors / 2).max(1);
        let part = config.memory_mb.saturating_mul(1024 * 1024) / MEMORY_PART;
        let crowded = (gateways * CROWDED.0 / CROWDED.1).max(1);
        let (entries, requests) = (part / ENTRY, (part / REQUEST).max(1));
        Budget { gateways, crowded, ledger, unwritten: part, results: part, entries, requests, part }
    }

    /// Two parts of the memory: one for messages in hand, each with its body here, in the request and on its way out;
    /// one for what is remembered, half of it for replies.
    pub fn broker(&self, most_body: usize) -> Broker {
        let in_hand = (self.part / (3 * most_body + REQUEST)).max(1);
        let (records, hashes) = ((self.part / 4 / ENTRY).max(1), self.part / 4 / HASH);
        Broker { in_hand, records, replies: self.part / 2, hashes }
    }
}

/// The most descriptors that the system lets this process hold; none where it sets no limit.
pub fn open_files_limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok())
}
