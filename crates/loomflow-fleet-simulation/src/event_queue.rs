//! Scheduled events, ordered by time; events at the same time keep the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::time::IntegerMillis;

use crate::config::MachineId;

/// An event of the simulation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A message arrives.
    Message { to: MachineId, bytes: Vec<u8> },
    /// A machine's process starts after maintenance.
    Start(MachineId),
    /// An effect arrives late: its process was paused after the check that it owns the duty.
    LateEffect { machine: MachineId, duty: DutyName, token: Token },
    /// A wake-up of a machine; ignored unless it is for the machine's current wake-up time.
    Wake(MachineId),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: IntegerMillis,
    sequence: u64,
    event: Event,
}

/// Queue of scheduled events.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: IntegerMillis, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Removes the next event and returns it with its time, if it is scheduled at `until` or before.
    pub fn pop_until(&mut self, until: IntegerMillis) -> Option<(IntegerMillis, Event)> {
        self.events.peek().filter(|Reverse(next)| next.at <= until)?;
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
