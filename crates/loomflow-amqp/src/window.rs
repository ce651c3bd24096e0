//! How many messages of a queue may be in flight.
//!
//! A gateway gets a send share, and sends that part of its usual traffic. A queue has no caller to signal to, so its share
//! limits its window instead: how many of its messages may be delivered and not acknowledged. The window of a queue follows
//! the design of the controller:
//!
//! - its size at a send share of 1 is increased by additions while it is the limit, and decreased by a factor at most
//!   once in the loop's dead time, which is how long a message takes from delivery to answer;
//! - it is decreased when the controller rejects messages, and when they are queued for longer than they run: by Little's
//!   law more is then in flight than keeps the work going, and the rest would better wait at the broker;
//! - the controller's send share scales it, as it scales what gateways send.
//!
//! The windows of several queues share one bound by priority weight.

use crate::Millis;

/// Smallest size, messages: without one in flight nothing is observed.
const MIN_SIZE: f64 = 1.0;
/// A decrease multiplies the size by this, as it does the controller's concurrency limit.
const DECREASE: f64 = 0.8;
/// The number of messages by which the size falls with each message that ends while too much is in flight, where sending
/// times are known. An absolute step: [`DECREASE`] is the factor that is used where they are not.
const DECREASE_STEP: f64 = 0.125;
/// Weight of the newest sample in the smoothed times.
const SMOOTHING: f64 = 0.125;

/// How a message ended, to the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// It was served.
    Served,
    /// It was rejected.
    Rejected,
    /// It is no evidence of too much or too little.
    Other,
}

/// What is known of a message that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// How it ended.
    pub outcome: ObservedOutcome,
    /// How long it was at the broker, if its sending time is known.
    pub broker_time: Option<Millis>,
    /// From its delivery to the start of its run, where that was started.
    pub queue_time: Option<Millis>,
    /// From its delivery to its answer.
    pub total_time: Millis,
    /// As much was in flight as may be, so that a larger window could have been used.
    pub is_limited: bool,
}

/// The window of one queue.
#[derive(Clone, Debug)]
pub struct Window {
    /// What may be in flight at a send share of 1.
    size: f64,
    /// It has been decreased: from then on it grows by one in a dead time and not with each message.
    has_decreased: bool,
    /// Smoothed times of a message: from delivery to answer, which is the dead time of the loop; from delivery to the start
    /// of its run; from there to the answer; at the broker.
    total_time: Millis,
    queue_time: Millis,
    run_time: Millis,
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

/// Updates a moving average with a sample. A mean of exactly 0 counts as no sample yet: the next one is taken as it is.
fn smooth(mean: &mut Millis, sample: Millis) {
    *mean += (sample - *mean) * if *mean == 0.0 { 1.0 } else { SMOOTHING };
}

impl Window {
    /// A message was answered.
    pub fn observe(&mut self, message: Observation, now: Millis) {
        if message.outcome == ObservedOutcome::Other {
            return;
        }
        self.smooth_times(message);
        let is_too_much = message.outcome == ObservedOutcome::Rejected || self.queue_time > self.run_time;
        // A message at the broker has no order and gets no answer there: it is consumed, to be decided upon.
        if self.broker_time > self.run_time {
            self.size += 1.0;
        } else if is_too_much && message.broker_time.is_some() {
            // A decrease by a factor would stop consuming until as much has ended, and let it wait at the broker meanwhile.
            self.size = (self.size - DECREASE_STEP).max(MIN_SIZE);
            self.has_decreased = true;
        } else if is_too_much {
            if now >= self.next_decrease_at {
                self.size = (self.size * DECREASE).max(MIN_SIZE);
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

    /// How long recent messages were at the broker, by their sending times.
    pub fn broker_time(&self) -> Millis {
        self.broker_time
    }

    /// What may be in flight at the send share that callers get.
    pub fn target(&self, share: f64) -> f64 {
        (self.size * share.clamp(0.0, 1.0)).max(MIN_SIZE)
    }

    /// Limits the size to `max`.
    pub fn limit(&mut self, max: f64) {
        self.size = self.size.min(max.max(MIN_SIZE));
    }
}

/// What a queue demands of the messages that may be in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Messages that it could have in flight.
    pub messages: f64,
    /// Its weight where there is a shortage.
    pub weight: f64,
}

/// Divides `total` messages among queues: each gets what it demands or, where that is too much, a part by weight (weighted max-min fairness). Parts are integers; each queue gets at least one while there are as many.
pub fn divide_by_weight(total: usize, demands: &[Demand]) -> Vec<usize> {
    let mut parts = vec![0.0; demands.len()];
    let mut remaining = total as f64;
    let mut open: Vec<usize> = (0..demands.len()).collect();
    // What a queue does not need of its part is divided among the others.
    while !open.is_empty() && remaining > 0.0 {
        let weight: f64 = open.iter().map(|queue| demands[*queue].weight).sum();
        let part = |queue: usize| {
            if weight > 0.0 {
                remaining * demands[queue].weight / weight
            } else {
                remaining / open.len() as f64
            }
        };
        let (satisfied, others): (Vec<usize>, Vec<usize>) =
            open.iter().copied().partition(|queue| demands[*queue].messages <= part(*queue));
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
        open = others;
    }
    give_one_to_each(parts.iter().map(|part| *part as usize).collect(), total)
}

/// Gives one of what is left over to each queue that has none.
fn give_one_to_each(mut parts: Vec<usize>, total: usize) -> Vec<usize> {
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
