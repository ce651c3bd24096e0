//! One machine: its process, its disk and its clock.

use std::sync::{Arc, Mutex};

use loomflow_fleet::consensus::storage::{MemoryStorage, PersistedState, Storage, StorageError, WriteBatch};
use loomflow_fleet::maintenance::ticket::TicketId;
use loomflow_fleet::node::Node;
use loomflow_fleet::time::{IntegerMillis, scaled};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::config::SimulationConfig;

/// Clocks differ by less than this at the start, ms.
const MAX_CLOCK_OFFSET_MILLIS: IntegerMillis = 1_000_000;

#[derive(Default)]
struct DiskState {
    storage: MemoryStorage,
    is_full: bool,
}

/// A disk that outlives its process, can be lost and can be full.
#[derive(Clone, Default)]
pub(crate) struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    /// Sets whether writes fail.
    pub fn set_full(&self, is_full: bool) {
        self.0.lock().expect("one thread").is_full = is_full;
    }
}

impl Storage for SimulatedDisk {
    fn read(&mut self) -> Result<PersistedState, StorageError> {
        self.0.lock().expect("one thread").storage.read()
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        let mut disk = self.0.lock().expect("one thread");
        if disk.is_full { Err(StorageError::new("no space left")) } else { disk.storage.write(batch) }
    }
}

/// How a server shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Since when.
    pub since: IntegerMillis,
    /// The ticket by which; none where it received SIGTERM from outside.
    pub ticket: Option<TicketId>,
}

/// What a machine has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// A machine.
pub struct Machine {
    /// The member that its process runs; none where it is dead.
    pub node: Option<Node>,
    pub(crate) disk: SimulatedDisk,
    /// How far its clock is ahead, ms.
    clock_offset: IntegerMillis,
    /// How fast its clock runs; 1 is exact.
    clock_rate: f64,
    /// Its process stands still until then.
    pub(crate) stopped_until: IntegerMillis,
    pub(crate) wake_at: IntegerMillis,
    pub(crate) started_at: IntegerMillis,
    /// Its server shuts down.
    pub drain: Option<Drain>,
    pub(crate) has_drained: bool,
    /// How long maintenance takes here; none where it is never back.
    pub(crate) maintenance_millis: Option<IntegerMillis>,
    pub(crate) next_load_at: IntegerMillis,
    /// The share that its controller requests, where a fault sets it.
    pub(crate) forced_share: Option<f32>,
    /// What it has sent.
    pub sent: Traffic,
}

impl Machine {
    /// A machine whose process was not started, with a clock of its own.
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

    /// What its clock shows.
    pub(crate) fn local_time(&self, now: IntegerMillis) -> IntegerMillis {
        scaled(now, self.clock_rate) + self.clock_offset
    }

    /// Whether its process runs and does not shut down.
    pub fn is_serving(&self) -> bool {
        self.node.is_some() && self.drain.is_none()
    }

    /// Whether its process stands still.
    pub(crate) fn is_stopped(&self, now: IntegerMillis) -> bool {
        self.stopped_until > now
    }
}
