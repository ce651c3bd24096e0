//! The consumers of one queue, as lanes of fixed sizes, each with a channel of its own.
//!
//! `basic.qos` does not reach a consumer that runs (spec: "prefetch-window", applied by brokers to consumers that
//! start later), so a window is changed by starting and cancelling lanes: a lane of size n is a consumer with a
//! prefetch of n. On a channel of its own that holds for brokers that count by channel and those that count by
//! consumer. A lane starts again only once all it held is settled, so that what is in hand never goes beyond the
//! greater of the window and what was in hand when it shrank.

/// Two of each size, so that a window can grow by little without cancelling what runs.
pub const PREFETCH_COUNTS: [u16; 18] = [1, 1, 2, 2, 4, 4, 8, 8, 16, 16, 32, 32, 64, 64, 128, 128, 256, 256];
/// All lanes together.
pub const MAX_PREFETCH: usize = {
    let (mut sum, mut at) = (0, 0);
    while at < PREFETCH_COUNTS.len() {
        sum += PREFETCH_COUNTS[at] as usize;
        at += 1;
    }
    sum
};
/// A lane whose channel was closed, or whose consumer the broker cancelled, begins again after this, ms, twice as long
/// each time up to the longest, until a message on it is settled.
const MIN_BACKOFF_MS: f64 = 250.0;
const MAX_BACKOFF_MS: f64 = 30_000.0;

/// What is to be said on a lane's channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsumerCommand {
    OpenChannel,
    /// `basic.qos` with this count, then `basic.consume`.
    Consume(u16),
    Cancel,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConsumerState {
    /// No channel.
    Closed,
    Opening,
    /// A channel without a consumer.
    Idle,
    Starting,
    Consuming,
    Cancelling,
}

#[derive(Clone, Debug)]
struct PooledConsumer {
    prefetch: u16,
    state: ConsumerState,
    unsettled: usize,
    /// The next pause before its channel is opened, or its consumer started, again.
    backoff: f64,
    backoff_until: f64,
}

impl PooledConsumer {
    fn back_off(&mut self, now: f64) {
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF_MS);
    }

    fn is_consuming(&self) -> bool {
        matches!(self.state, ConsumerState::Starting | ConsumerState::Consuming)
    }

    /// What it may come to hold without a further step.
    fn max_unsettled(&self) -> usize {
        // Until the broker has heard the cancel, more may come.
        let open = self.is_consuming() || self.state == ConsumerState::Cancelling;
        if open { usize::from(self.prefetch).max(self.unsettled) } else { self.unsettled }
    }
}

#[derive(Clone, Debug)]
pub struct ConsumerPool {
    consumers: Vec<PooledConsumer>,
}

impl ConsumerPool {
    /// `most`: channels there are for them.
    pub fn new(most: usize) -> ConsumerPool {
        let lane = |size| PooledConsumer {
            prefetch: size,
            state: ConsumerState::Closed,
            unsettled: 0,
            backoff: MIN_BACKOFF_MS,
            backoff_until: f64::NEG_INFINITY,
        };
        ConsumerPool { consumers: PREFETCH_COUNTS.into_iter().take(most).map(lane).collect() }
    }

    /// The most that running lanes may hold.
    pub fn prefetch(&self) -> usize {
        self.consumers.iter().filter(|lane| lane.is_consuming()).map(|lane| usize::from(lane.prefetch)).sum()
    }

    pub fn unsettled(&self) -> usize {
        self.consumers.iter().map(|lane| lane.unsettled).sum()
    }

    /// As much is in hand as running lanes may hold.
    pub fn is_full(&self) -> bool {
        self.consumers.iter().filter(|l| l.is_consuming()).all(|l| l.unsettled >= usize::from(l.prefetch))
            && self.prefetch() > 0
    }

    /// Whether no consumer runs, is about to or is being cancelled.
    pub fn is_idle(&self) -> bool {
        self.consumers.iter().all(|lane| {
            matches!(lane.state, ConsumerState::Closed | ConsumerState::Opening | ConsumerState::Idle)
        })
    }

    /// Steps towards a window.
    pub fn resize(&mut self, window: usize, now: f64) -> Vec<(usize, ConsumerCommand)> {
        let mut steps = Vec::new();
        while let Some(over) = self.prefetch().checked_sub(window).filter(|over| *over > 0) {
            let running =
                (0..self.consumers.len()).filter(|at| self.consumers[*at].state == ConsumerState::Consuming);
            // The smallest that is enough, else the largest.
            let enough = |at: &usize| usize::from(self.consumers[*at].prefetch) >= over;
            let Some(at) = running.clone().find(enough).or_else(|| running.clone().next_back()) else {
                break;
            };
            self.consumers[at].state = ConsumerState::Cancelling;
            steps.push((at, ConsumerCommand::Cancel));
        }
        for at in (0..self.consumers.len()).rev() {
            let room = window.saturating_sub(self.consumers.iter().map(PooledConsumer::max_unsettled).sum());
            let lane = &mut self.consumers[at];
            if usize::from(lane.prefetch) > room || lane.unsettled > 0 || now < lane.backoff_until {
                continue;
            }
            match lane.state {
                ConsumerState::Closed => {
                    lane.state = ConsumerState::Opening;
                    steps.push((at, ConsumerCommand::OpenChannel));
                }
                ConsumerState::Idle => {
                    lane.state = ConsumerState::Starting;
                    steps.push((at, ConsumerCommand::Consume(lane.prefetch)));
                }
                _ => {}
            }
        }
        steps
    }

    pub fn channel_opened(&mut self, at: usize) {
        if let Some(lane) = self.consumers.get_mut(at).filter(|lane| lane.state == ConsumerState::Opening) {
            lane.state = ConsumerState::Idle;
        }
    }

    pub fn consumer_started(&mut self, at: usize) {
        if let Some(lane) = self.consumers.get_mut(at).filter(|lane| lane.state == ConsumerState::Starting) {
            lane.state = ConsumerState::Consuming;
        }
    }

    /// Our word has ended its consumer.
    pub fn consumer_cancelled(&mut self, at: usize) {
        if let Some(lane) = self.consumers.get_mut(at).filter(|lane| lane.state == ConsumerState::Cancelling)
        {
            (lane.state, lane.backoff) = (ConsumerState::Idle, MIN_BACKOFF_MS);
        }
    }

    /// The broker has ended its consumer: its queue is gone or moves.
    pub fn cancelled_by_broker(&mut self, at: usize, now: f64) {
        if let Some(lane) = self.consumers.get_mut(at) {
            lane.state = ConsumerState::Idle;
            lane.back_off(now);
        }
    }

    /// Its channel is closed: nothing on it can be settled any more.
    pub fn channel_closed(&mut self, at: usize, now: f64) {
        if let Some(lane) = self.consumers.get_mut(at) {
            (lane.state, lane.unsettled) = (ConsumerState::Closed, 0);
            lane.back_off(now);
        }
    }

    /// A message came on it. False where far more come than it may hold: the broker does not keep to it.
    pub fn delivered(&mut self, at: usize) -> bool {
        let Some(lane) = self.consumers.get_mut(at) else { return false };
        lane.unsettled += 1;
        let open = matches!(
            lane.state,
            ConsumerState::Starting | ConsumerState::Consuming | ConsumerState::Cancelling
        );
        open && lane.unsettled <= 2 * usize::from(lane.prefetch)
    }

    pub fn settled(&mut self, at: usize) {
        if let Some(lane) = self.consumers.get_mut(at) {
            lane.unsettled = lane.unsettled.saturating_sub(1);
            lane.backoff = MIN_BACKOFF_MS;
        }
    }
}

#[cfg(test)]
mod tests;
