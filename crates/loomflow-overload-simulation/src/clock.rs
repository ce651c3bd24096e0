//! Virtual time and the event queue.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use loomflow::time::Millis;

/// A time since the start of the simulation, or a duration, in microseconds. An integer, so that the order of
/// events does not depend on rounding. Unlike `loomflow::time::Micros`, it is unsigned and does not count
/// from the start of a process.
pub type SimulationMicros = u64;

/// One millisecond of virtual time.
pub const MILLISECOND: SimulationMicros = 1_000;
/// One second of virtual time.
pub const SECOND: SimulationMicros = 1_000_000;

/// Converts to milliseconds, the controller's unit of time.
pub fn to_millis(time: SimulationMicros) -> Millis {
    time as f64 / MILLISECOND as f64
}

/// Converts from milliseconds, rounded up so that no timer fires early; negative durations become 0.
pub fn from_millis(millis: Millis) -> SimulationMicros {
    (millis.max(0.0) * MILLISECOND as f64).ceil() as SimulationMicros
}

/// Queue of scheduled events, ordered by time; events at the same time keep the order in which they were
/// scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    last_sequence: u64,
    now: SimulationMicros,
}

struct ScheduledEvent<E> {
    at: SimulationMicros,
    sequence: u64,
    event: E,
}

impl<E> ScheduledEvent<E> {
    fn key(&self) -> (SimulationMicros, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), last_sequence: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Returns the current virtual time: that of the last event taken from the queue.
    pub fn now(&self) -> SimulationMicros {
        self.now
    }

    /// Schedules an event; a time in the past is replaced by the current time.
    pub fn schedule(&mut self, at: SimulationMicros, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at: at.max(self.now), sequence: self.last_sequence, event }));
    }

    /// Removes the next event, advances the clock to it and returns it, if it is scheduled before `end`.
    pub fn pop_before(&mut self, end: SimulationMicros) -> Option<E> {
        if self.heap.peek()?.0.at >= end {
            return None;
        }
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
