//! How much to take: the decision of a front that pulls.
//!
//! A gateway is told a send share and passes this server by that often. A queue has no caller to tell, so its share
//! is how many of its messages may be in hand unacknowledged. The window of a queue follows the design of the module:
//!
//! - what it may hold at a send share of 1 rises by additions while that is what limits it, and is cut by a factor at
//!   most once in the loop's dead time, which is how long a message takes from delivery to answer;
//! - cut when the module refuses its messages, and when they wait for longer than they are worked at: by Little's law
//!   more is then held than keeps the work going, and the rest would better wait at the broker;
//! - the module's send share scales it, as it scales what gateways send.
//!
//! Windows of several queues share one bound by worth.

/// Cut to this part; the module's running limit is cut alike.
const DECREASE: f64 = 0.8;
/// Part of its place that a message gives back, where messages say when they were sent and too much is held.
const RELEASED_PART: f64 = 0.125;
/// Weight of the newest time in the smoothed ones.
const SMOOTHING: f64 = 0.125;

/// How a message ended that was in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Rejected,
    /// Neither tells how much is too much.
    Other,
}

/// What is known of a message that was in hand, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    pub outcome: Outcome,
    /// How long it stood at the broker, where it says when it was sent.
    pub broker_time: Option<f64>,
    /// From its delivery to the beginning of its run, where that began.
    pub queue_time: Option<f64>,
    /// From its delivery to its answer.
    pub total_time: f64,
    /// As much was in hand as may be, so that more could have been used.
    pub is_limited: bool,
}

#[derive(Clone, Debug)]
pub struct Window {
    /// What may be in hand at a send share of 1.
    size: f64,
    /// It has been cut: from then on it rises by one in a dead time and not with each message.
    has_decreased: bool,
    /// Smoothed times of a message, ms: from delivery to answer, which is the dead time of the loop; to the beginning of
    /// its run; from there to the answer; at the broker.
    total_time: f64,
    queue_time: f64,
    run_time: f64,
    broker_time: f64,
    /// No further cut before.
    next_decrease_at: f64,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            size: 1.0,
            has_decreased: false,
            total_time: 0.0,
            queue_time: 0.0,
            run_time: 0.0,
            broker_time: 0.0,
            next_decrease_at: f64::NEG_INFINITY,
        }
    }
}

fn smooth(mean: &mut f64, newest: f64) {
    *mean += (newest - *mean) * if *mean == 0.0 { 1.0 } else { SMOOTHING };
}

impl Window {
    /// A message was answered.
    pub fn observe(&mut self, seen: Observation, now: f64) {
        if seen.outcome == Outcome::Other {
            return;
        }
        smooth(&mut self.total_time, seen.total_time);
        if let Some(waited) = seen.queue_time {
            self.queue_time += (waited - self.queue_time) * SMOOTHING;
            smooth(&mut self.run_time, seen.total_time - waited);
        }
        self.broker_time += (seen.broker_time.unwrap_or(0.0) - self.broker_time) * SMOOTHING;
        // What stands at the broker has no order and no answer there: it is taken in, to be judged.
        let too_much = seen.outcome == Outcome::Rejected || self.queue_time > self.run_time;
        if self.broker_time > self.run_time {
            self.size += 1.0;
        } else if too_much && seen.broker_time.is_some() {
            // A cut by a factor would stop all intake until as much has ended, and let it stand at the broker meanwhile.
            self.size = (self.size - RELEASED_PART).max(1.0);
            self.has_decreased = true;
        } else if too_much {
            if now >= self.next_decrease_at {
                self.size = (self.size * DECREASE).max(1.0);
                self.has_decreased = true;
                self.next_decrease_at = now + self.total_time;
            }
        } else if seen.is_limited {
            self.size += if self.has_decreased { 1.0 / self.size } else { 1.0 };
        }
    }

    /// How long messages stood at the broker of late, ms, by what they say.
    pub fn broker_time(&self) -> f64 {
        self.broker_time
    }

    /// What it would hold, at the send share that callers are told.
    pub fn target(&self, share: f64) -> f64 {
        (self.size * share.clamp(0.0, 1.0)).max(1.0)
    }

    /// Nothing beyond `most` is of use.
    pub fn limit(&mut self, most: f64) {
        self.size = self.size.min(most.max(1.0));
    }
}

/// Parts of `total` for queues that want so much and are worth so much a message: each gets what it wants or, where
/// that is too much, a part by worth ("weighted max-min fairness"). Whole messages; while there is one for each, each
/// gets one.
pub fn divide_by_weight(total: usize, wants: &[(f64, f64)]) -> Vec<usize> {
    let mut parts = vec![0.0; wants.len()];
    let mut left = total as f64;
    let mut open: Vec<usize> = (0..wants.len()).collect();
    // Who wants less than its part gives the rest to the others, until nobody does.
    while !open.is_empty() && left > 0.0 {
        let worth: f64 = open.iter().map(|at| wants[*at].1).sum();
        let part =
            |at: usize| if worth > 0.0 { left * wants[at].1 / worth } else { left / open.len() as f64 };
        let (content, rest): (Vec<usize>, Vec<usize>) =
            open.iter().copied().partition(|at| wants[*at].0 <= part(*at));
        if content.is_empty() {
            rest.iter().for_each(|at| parts[*at] = part(*at));
            break;
        }
        for at in content {
            parts[at] = wants[at].0;
            left -= wants[at].0;
        }
        open = rest;
    }
    let mut whole: Vec<usize> = parts.iter().map(|part| *part as usize).collect();
    let mut spare = total - whole.iter().sum::<usize>().min(total);
    for part in whole.iter_mut().filter(|part| **part == 0) {
        if spare > 0 {
            (*part, spare) = (1, spare - 1);
        }
    }
    whole
}

#[cfg(test)]
mod tests;
