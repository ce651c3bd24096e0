//! What happens next, in the order of its moments; what is to happen at the same moment keeps the order in which it was added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::time::IntegerMillis;

use crate::config::MachineId;

/// One thing that happens.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A message arrives.
    Message { to: MachineId, bytes: Vec<u8> },
    /// A machine's server starts.
    Start(MachineId),
    /// An effect of a process that was stopped after it had made sure that it owns the duty.
    LateEffect { machine: MachineId, duty: DutyName, token: Token },
    /// A machine's server is due; one that is not for its current wake-up time was superseded.
    Wake(MachineId),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: IntegerMillis,
    sequence: u64,
    event: Event,
}

/// Events that have not happened yet.
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

    /// Takes the next event, if it happens at `until` or before.
    pub fn pop_until(&mut self, until: IntegerMillis) -> Option<(IntegerMillis, Event)> {
        self.events.peek().filter(|Reverse(next)| next.at <= until)?;
        let Reverse(next) = self.events.pop()?;
        Some((next.at, next.event))
    }
}
