//! A simulated machine: its process, its disk and its clock.

use std::sync::{Arc, Mutex};

use loomflow_fleet::consensus::storage::{MemoryStorage, PersistedState, Storage, StorageError, WriteBatch};
use loomflow_fleet::maintenance::ticket::TicketId;
use loomflow_fleet::node::Node;
use loomflow_fleet::time::{IntegerMillis, scaled};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::config::SimulationConfig;

/// Upper bound of the random offset of a machine's clock at the start, ms.
const MAX_CLOCK_OFFSET_MILLIS: IntegerMillis = 1_000_000;

#[derive(Default)]
struct DiskState {
    storage: MemoryStorage,
    is_full: bool,
}

/// In-memory disk that outlives the process that uses it and can be full.
#[derive(Clone, Default)]
pub(crate) struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// Sets whether the disk is full, so that every write fails.
    pub fn set_full(&self, is_full: bool) {
        self.0.lock().expect("disk lock poisoned").is_full = is_full;
    }
}

impl Storage for SimulatedDisk {
    fn read(&mut self) -> Result<PersistedState, StorageError> {
        self.0.lock().expect("disk lock poisoned").storage.read()
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        let mut disk = self.0.lock().expect("disk lock poisoned");
        if disk.is_full { Err(StorageError::new("no space left")) } else { disk.storage.write(batch) }
    }
}

/// The shutdown of a server that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Start of the drain in virtual time, ms.
    pub since: IntegerMillis,
    /// The ticket under which the server drains; `None` after a SIGTERM without a ticket.
    pub ticket: Option<TicketId>,
}

/// Messages that a machine has sent to other members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages, including those that the network loses.
    pub messages: u64,
    /// Total size of the messages, bytes.
    pub bytes: u64,
}

/// A machine, whose process may be running, paused or dead.
pub struct Machine {
    /// The fleet member in the machine's process; `None` while the process is dead.
    pub node: Option<Node>,
    pub(crate) disk: SimulatedDisk,
    /// Offset of the local clock from virtual time at the start, ms.
    clock_offset: IntegerMillis,
    /// Rate of the local clock; 1 is exact.
    clock_rate: f64,
    /// Virtual time until which the process is paused, ms; in the past if the process is not paused.
    pub(crate) stopped_until: IntegerMillis,
    /// Time of the current wake-up; events for any other time are ignored.
    pub(crate) wake_at: IntegerMillis,
    /// Virtual time of the last start of the process, ms; 0 for the initial start, which has no slow
    /// start.
    pub(crate) started_at: IntegerMillis,
    /// The shutdown of the machine's server, while in progress.
    pub drain: Option<Drain>,
    /// Whether the fleet member was told that its server has drained.
    pub(crate) has_drained: bool,
    /// Duration of the machine's maintenance, ms; `None` if it never restarts.
    pub(crate) maintenance_millis: Option<IntegerMillis>,
    /// Time of the next load report.
    pub(crate) next_load_at: IntegerMillis,
    /// Send share fixed by [`Fault::SetShare`](crate::Fault::SetShare); otherwise it follows from the load.
    pub(crate) forced_share: Option<f32>,
    /// Messages sent by the machine since the start of the simulation.
    pub sent: Traffic,
}

impl Machine {
    /// Creates a machine with a random clock, whose process is not started yet.
    pub(crate) fn new(config: &SimulationConfig, rng: &mut SmallRng) -> Machine {
        Machine {
            node: None,
            disk: SimulatedDisk::default(),
            clock_offset: rng.random_range(0..MAX_CLOCK_OFFSET_MILLIS),
            clock_rate: 1.0 + config.max_clock_drift * rng.random_range(-1.0..1.0),
            stopped_until: 0,
            wake_at: 0,
            started_at: 0,
            drain: None,
            has_drained: false,
            maintenance_millis: Some(config.maintenance_millis),
            next_load_at: 0,
            forced_share: None,
            sent: Traffic::default(),
        }
    }

    /// Returns the local clock's time at the virtual time `now`, ms.
    pub(crate) fn local_time(&self, now: IntegerMillis) -> IntegerMillis {
        scaled(now, self.clock_rate) + self.clock_offset
    }

    /// Returns whether the process runs and its server is not shutting down; a paused process counts as
    /// serving.
    pub fn is_serving(&self) -> bool {
        self.node.is_some() && self.drain.is_none()
    }

    /// Returns whether the process is paused.
    pub(crate) fn is_stopped(&self, now: IntegerMillis) -> bool {
        self.stopped_until > now
    }
}
