//! Window of a queue: how many of its messages may be in flight, i.e. delivered and not acknowledged.
//!
//! A gateway gets a send share and sends that fraction of its usual traffic. A queue has no caller to signal to, so the
//! send share limits its window instead. The window follows the design of the controller:
//!
//! - Its size at a send share of 1 is increased additively while it is the limit, and decreased by a factor at most
//!   once per dead time of the loop, which is the time of a message from delivery to response.
//! - It is decreased when the controller rejects messages, and when they are queued for longer than they run: by
//!   Little's law more messages are then in flight than are needed to keep the server busy, and the rest should wait at
//!   the broker.
//! - It is scaled by the send share of the controller, as the traffic of gateways is.
//!
//! The windows of several queues share one bound by priority weight.

use crate::Millis;

/// Smallest size, messages. Without a message in flight nothing is observed.
const MIN_SIZE: f64 = 1.0;
/// Factor of a decrease, the same as that of the controller's concurrency limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Decrease per message that ends while too many are in flight, in messages. It applies where sending times are known;
/// [`DECREASE_FACTOR`] applies where they are not.
const DECREASE_STEP: f64 = 0.125;
/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.125;

/// Outcome of a message, as far as it concerns the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// The message was served.
    Served,
    /// The message was rejected by the controller.
    Rejected,
    /// The message ended otherwise, which gives no evidence about the load. It is ignored.
    Other,
}

/// Measurements of a message that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Outcome of the message.
    pub outcome: ObservedOutcome,
    /// Time from sending to delivery; `None` if the sending time is unknown.
    pub broker_time: Option<Millis>,
    /// Time from delivery to the start of the run; `None` if no run was started.
    pub queue_time: Option<Millis>,
    /// Time from delivery to the response.
    pub total_time: Millis,
    /// Whether the window was full, so that a larger one would have been used.
    pub is_limited: bool,
}

/// Window of one queue.
#[derive(Clone, Debug)]
pub struct Window {
    /// Number of messages that may be in flight at a send share of 1.
    size: f64,
    /// Whether the size was ever decreased. From then on it grows by one per dead time instead of one per message.
    has_decreased: bool,
    /// Moving average of the time from delivery to response, which is the dead time of the loop.
    total_time: Millis,
    /// Moving average of the time from delivery to the start of the run.
    queue_time: Millis,
    /// Moving average of the time from the start of the run to the response.
    run_time: Millis,
    /// Moving average of the time from sending to delivery; unknown sending times count as 0.
    broker_time: Millis,
    next_decrease_at: Millis,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: MIN_SIZE,
            has_decreased: false,
            total_time: 0.0,
            queue_time: 0.0,
            run_time: 0.0,
            broker_time: 0.0,
            next_decrease_at: f64::NEG_INFINITY,
        }
    }
}

/// Updates a moving average. A mean of exactly 0 means that there is no sample yet; the first one is taken unchanged.
fn smooth(mean: &mut Millis, sample: Millis) {
    *mean += (sample - *mean) * if *mean == 0.0 { 1.0 } else { SMOOTHING };
}

impl Window {
    /// Adjusts the size after a message got its response.
    pub fn observe(&mut self, message: Observation, now: Millis) {
        if message.outcome == ObservedOutcome::Other {
            return;
        }
        self.smooth_times(message);
        let is_overloaded = message.outcome == ObservedOutcome::Rejected || self.queue_time > self.run_time;
        // The broker neither prioritizes nor rejects messages, so a backlog there is consumed and left to the
        // controller.
        if self.broker_time > self.run_time {
            self.size += 1.0;
        } else if is_overloaded && message.broker_time.is_some() {
            // A decrease by a factor would stop consumption until enough messages have ended, while a backlog builds up
            // at the broker.
            self.size = (self.size - DECREASE_STEP).max(MIN_SIZE);
            self.has_decreased = true;
        } else if is_overloaded {
            if now >= self.next_decrease_at {
                self.size = (self.size * DECREASE_FACTOR).max(MIN_SIZE);
                self.has_decreased = true;
                self.next_decrease_at = now + self.total_time;
            }
        } else if message.is_limited {
            self.size += if self.has_decreased { 1.0 / self.size } else { 1.0 };
        }
    }

    fn smooth_times(&mut self, message: Observation) {
        smooth(&mut self.total_time, message.total_time);
        if let Some(queue_time) = message.queue_time {
            self.queue_time += (queue_time - self.queue_time) * SMOOTHING;
            smooth(&mut self.run_time, message.total_time - queue_time);
        }
        self.broker_time += (message.broker_time.unwrap_or(0.0) - self.broker_time) * SMOOTHING;
    }

    /// Moving average of the time from sending to delivery, ms; unknown sending times count as 0.
    pub fn broker_time(&self) -> Millis {
        self.broker_time
    }

    /// Number of messages that may be in flight at a send share.
    pub fn target(&self, share: f64) -> f64 {
        (self.size * share.clamp(0.0, 1.0)).max(MIN_SIZE)
    }

    /// Limits the size to `max`.
    pub fn limit(&mut self, max: f64) {
        self.size = self.size.min(max.max(MIN_SIZE));
    }
}

/// Demand of one queue for messages in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Number of messages that the queue could have in flight.
    pub messages: f64,
    /// Weight of the queue if the total demand cannot be satisfied.
    pub weight: f64,
}

/// Divides `total` messages among queues by weighted max-min fairness: each gets its demand or, if that exceeds its
/// fair share, a part by weight. Parts are integers; each queue gets at least one as long as `total` suffices.
pub fn divide_by_weight(total: usize, demands: &[Demand]) -> Vec<usize> {
    let mut parts = vec![0.0; demands.len()];
    let mut remaining = total as f64;
    let mut unsatisfied: Vec<usize> = (0..demands.len()).collect();
    // The unused part of a satisfied queue is divided among the others.
    while !unsatisfied.is_empty() && remaining > 0.0 {
        let weight: f64 = unsatisfied.iter().map(|queue| demands[*queue].weight).sum();
        let part = |queue: usize| {
            if weight > 0.0 {
                remaining * demands[queue].weight / weight
            } else {
                remaining / unsatisfied.len() as f64
            }
        };
        let (satisfied, others): (Vec<usize>, Vec<usize>) =
            unsatisfied.iter().copied().partition(|queue| demands[*queue].messages <= part(*queue));
        if satisfied.is_empty() {
            for queue in others {
                parts[queue] = part(queue);
            }
            break;
        }
        for queue in satisfied {
            parts[queue] = demands[queue].messages;
            remaining -= demands[queue].messages;
        }
        unsatisfied = others;
    }
    raise_to_at_least_one(parts.iter().map(|part| *part as usize).collect(), total)
}

/// Gives one message of the remainder to each queue that has none.
fn raise_to_at_least_one(mut parts: Vec<usize>, total: usize) -> Vec<usize> {
    let mut spare = total - parts.iter().sum::<usize>().min(total);
    for part in parts.iter_mut().filter(|part| **part == 0) {
        if spare > 0 {
            *part = 1;
            spare -= 1;
        }
    }
    parts
}

#[cfg(test)]
mod tests;
