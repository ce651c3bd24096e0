//! Simulated time and the queue of events to come.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use loomflow::time::Millis;

/// A point in time since the start of the simulation, or a duration, in microseconds. Integers, so that the order of events
/// does not depend on rounding; `loomflow::time::Micros` is signed and counts from the start of a process.
pub type SimulationMicros = u64;

/// One simulated millisecond.
pub const MILLISECOND: SimulationMicros = 1_000;
/// One simulated second.
pub const SECOND: SimulationMicros = 1_000_000;

/// Converts to the milliseconds that the controller counts in.
pub fn to_millis(time: SimulationMicros) -> Millis {
    time as f64 / MILLISECOND as f64
}

/// Converts from milliseconds, rounded up so that nothing fires early; negative spans count as none.
pub fn from_millis(millis: Millis) -> SimulationMicros {
    (millis.max(0.0) * MILLISECOND as f64).ceil() as SimulationMicros
}

/// Events in the order of their time; those of the same moment in the order in which they were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
    now: SimulationMicros,
}

struct Scheduled<E> {
    at: SimulationMicros,
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (SimulationMicros, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// The time of the event taken last.
    pub fn now(&self) -> SimulationMicros {
        self.now
    }

    /// Schedules an event; one in the past happens now.
    pub fn schedule(&mut self, at: SimulationMicros, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at: at.max(self.now), sequence: self.scheduled, event }));
    }

    /// Moves the clock to the next event before `end` and gives it.
    pub fn next_before(&mut self, end: SimulationMicros) -> Option<E> {
        if self.heap.peek()?.0.at >= end {
            return None;
        }
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
