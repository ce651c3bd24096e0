//! How the limits of the configuration are shared out among what holds descriptors and memory.

use loomflow_settings::Config;

/// Part of the descriptors for connections to the ledger.
const LEDGER: usize = 8;
/// Descriptors for what is neither a gateway nor the ledger: standard streams, the listening socket, the poller,
/// signals, the engine and the control plane, each old one beside its new one.
const OWN: usize = 24;
/// Gateways open half of the descriptors at the most; beyond this part of their room the longest idle are closed.
const CROWDED: (usize, usize) = (3, 4);

/// Part of the memory for each: answers that gateways have not read yet, kept results, remembered requests. The rest is
/// for the program, the coroutines' stacks and buffers (24 KB a connection at the most), and the requests in hand,
/// whose number the module bounds.
const MEMORY_PART: usize = 8;
/// Room of one remembered request, bytes.
const ENTRY: usize = 512;

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
}

impl Budget {
    pub fn of(config: &Config) -> Budget {
        let ledger = (config.sockets / LEDGER).max(2);
        let gateways = config.sockets.saturating_sub(ledger + OWN).max(config.sockets / 2).max(1);
        let part = config.memory_mb.saturating_mul(1024 * 1024) / MEMORY_PART;
        let crowded = (gateways * CROWDED.0 / CROWDED.1).max(1);
        Budget { gateways, crowded, ledger, unwritten: part, results: part, entries: part / ENTRY }
    }
}
