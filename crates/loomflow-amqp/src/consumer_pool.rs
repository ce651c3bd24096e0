//! The consumers of one queue, with fixed prefetch counts, each on a channel of its own.
//!
//! `basic.qos` does not affect a running consumer (specification 1.8.3.1; brokers apply it to consumers that start
//! later), so the window of a queue is changed by starting and cancelling consumers. With a channel per consumer, the
//! prefetch count applies the same way on brokers that count by channel and on those that count by consumer. A consumer
//! is restarted only after all its messages are settled, so that the messages in flight never exceed the greater of the
//! window and their number when the window shrank.

use loomflow_backoff::ExponentialBackoff;

use crate::Millis;

/// Prefetch counts of the consumers of a pool. Each occurs twice, so that the prefetch can grow in small steps without
/// cancelling running consumers.
pub const PREFETCH_COUNTS: [u16; 18] = [1, 1, 2, 2, 4, 4, 8, 8, 16, 16, 32, 32, 64, 64, 128, 128, 256, 256];
/// Total prefetch of a complete pool.
pub const MAX_PREFETCH: usize = {
    let (mut sum, mut index) = (0, 0);
    while index < PREFETCH_COUNTS.len() {
        sum += PREFETCH_COUNTS[index] as usize;
        index += 1;
    }
    sum
};
/// First backoff before a consumer is restarted whose channel was closed or that the broker cancelled, ms. It doubles
/// up to [`MAX_BACKOFF_MS`] until a message of the consumer is settled.
const MIN_BACKOFF_MS: Millis = 250.0;
/// Maximum backoff before a consumer is restarted, ms.
const MAX_BACKOFF_MS: Millis = 30_000.0;
/// Maximum number of unsettled messages of a consumer, as a multiple of its prefetch count. More shows that the broker
/// ignores prefetch counts.
const MAX_OVERDELIVERY: usize = 2;

/// Command to send on the channel of a consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsumerCommand {
    /// `channel.open`.
    OpenChannel,
    /// `basic.qos` with this prefetch count, then `basic.consume`.
    Consume(u16),
    /// `basic.cancel`.
    Cancel,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConsumerState {
    /// The consumer has no channel.
    Closed,
    Opening,
    /// The channel is open without a running consumer.
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
    /// Backoff before the channel is opened or the consumer is started again.
    backoff: ExponentialBackoff,
    backoff_until: Millis,
}

impl PooledConsumer {
    fn new(prefetch: u16) -> PooledConsumer {
        PooledConsumer {
            prefetch,
            state: ConsumerState::Closed,
            unsettled: 0,
            backoff: ExponentialBackoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS),
            backoff_until: f64::NEG_INFINITY,
        }
    }

    fn back_off(&mut self, now: Millis) {
        self.backoff_until = now + self.backoff.advance();
    }

    fn is_consuming(&self) -> bool {
        matches!(self.state, ConsumerState::Starting | ConsumerState::Consuming)
    }

    /// Whether the broker may deliver messages. It still does until it has processed a cancel.
    fn may_receive(&self) -> bool {
        self.is_consuming() || self.state == ConsumerState::Cancelling
    }

    /// Maximum number of unsettled messages that the consumer can reach without a further command.
    fn max_unsettled(&self) -> usize {
        if self.may_receive() { usize::from(self.prefetch).max(self.unsettled) } else { self.unsettled }
    }
}

/// The consumers of one queue.
#[derive(Clone, Debug)]
pub struct ConsumerPool {
    consumers: Vec<PooledConsumer>,
}

impl ConsumerPool {
    /// Creates a pool with the first `channels` of [`PREFETCH_COUNTS`].
    pub fn new(channels: usize) -> ConsumerPool {
        let prefetch_counts = PREFETCH_COUNTS.into_iter().take(channels);
        ConsumerPool { consumers: prefetch_counts.map(PooledConsumer::new).collect() }
    }

    /// Total prefetch of the running consumers.
    pub fn prefetch(&self) -> usize {
        let consuming = self.consumers.iter().filter(|consumer| consumer.is_consuming());
        consuming.map(|consumer| usize::from(consumer.prefetch)).sum()
    }

    /// Number of delivered messages that are not settled.
    pub fn unsettled(&self) -> usize {
        self.consumers.iter().map(|consumer| consumer.unsettled).sum()
    }

    /// Whether at least one consumer runs and every running one has reached its prefetch count.
    pub fn is_full(&self) -> bool {
        let mut consuming = self.consumers.iter().filter(|consumer| consumer.is_consuming());
        consuming.all(|consumer| consumer.unsettled >= usize::from(consumer.prefetch)) && self.prefetch() > 0
    }

    /// Whether no consumer is starting, running or being cancelled.
    pub fn is_idle(&self) -> bool {
        let is_idle =
            |state| matches!(state, ConsumerState::Closed | ConsumerState::Opening | ConsumerState::Idle);
        self.consumers.iter().all(|consumer| is_idle(consumer.state))
    }

    /// Adjusts the pool to a window. Returns the commands to send, each with the index of its consumer.
    pub fn resize(&mut self, window: usize, now: Millis) -> Vec<(usize, ConsumerCommand)> {
        let mut commands = self.shrink(window);
        commands.extend(self.grow(window, now));
        commands
    }

    /// Cancels consumers until the total prefetch is within the window.
    fn shrink(&mut self, window: usize) -> Vec<(usize, ConsumerCommand)> {
        let mut commands = Vec::new();
        while let Some(excess) = self.prefetch().checked_sub(window).filter(|excess| *excess > 0) {
            let is_running = |index: &usize| self.consumers[*index].state == ConsumerState::Consuming;
            let running = (0..self.consumers.len()).filter(is_running);
            // The smallest consumer that covers the excess, or else the largest.
            let covers = |index: &usize| usize::from(self.consumers[*index].prefetch) >= excess;
            let Some(index) = running.clone().find(covers).or_else(|| running.clone().next_back()) else {
                break;
            };
            self.consumers[index].state = ConsumerState::Cancelling;
            commands.push((index, ConsumerCommand::Cancel));
        }
        commands
    }

    /// Opens channels and starts consumers, the largest first, while they fit into the window.
    fn grow(&mut self, window: usize, now: Millis) -> Vec<(usize, ConsumerCommand)> {
        let mut commands = Vec::new();
        for index in (0..self.consumers.len()).rev() {
            let max_unsettled: usize = self.consumers.iter().map(PooledConsumer::max_unsettled).sum();
            let capacity = window.saturating_sub(max_unsettled);
            let consumer = &mut self.consumers[index];
            let fits = usize::from(consumer.prefetch) <= capacity;
            if !fits || consumer.unsettled > 0 || now < consumer.backoff_until {
                continue;
            }
            match consumer.state {
                ConsumerState::Closed => {
                    consumer.state = ConsumerState::Opening;
                    commands.push((index, ConsumerCommand::OpenChannel));
                }
                ConsumerState::Idle => {
                    consumer.state = ConsumerState::Starting;
                    commands.push((index, ConsumerCommand::Consume(consumer.prefetch)));
                }
                _ => {}
            }
        }
        commands
    }

    /// Records that the channel of a consumer is open.
    pub fn channel_opened(&mut self, index: usize) {
        self.transition(index, ConsumerState::Opening, ConsumerState::Idle);
    }

    /// Records that the broker has started a consumer.
    pub fn consumer_started(&mut self, index: usize) {
        self.transition(index, ConsumerState::Starting, ConsumerState::Consuming);
    }

    /// Records that the broker has confirmed the cancel of a consumer.
    pub fn consumer_cancelled(&mut self, index: usize) {
        if self.transition(index, ConsumerState::Cancelling, ConsumerState::Idle) {
            self.consumers[index].backoff.reset();
        }
    }

    fn transition(&mut self, index: usize, from: ConsumerState, to: ConsumerState) -> bool {
        let consumer = self.consumers.get_mut(index).filter(|consumer| consumer.state == from);
        consumer.map(|consumer| consumer.state = to).is_some()
    }

    /// Records that the broker cancelled a consumer, because its queue was deleted or migrated.
    pub fn cancelled_by_broker(&mut self, index: usize, now: Millis) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.state = ConsumerState::Idle;
            consumer.back_off(now);
        }
    }

    /// Records that the channel of a consumer was closed. Its messages can no longer be settled.
    pub fn channel_closed(&mut self, index: usize, now: Millis) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.state = ConsumerState::Closed;
            consumer.unsettled = 0;
            consumer.back_off(now);
        }
    }

    /// Counts a delivery to a consumer. Returns false if the consumer is not running or far exceeds its prefetch count.
    pub fn delivered(&mut self, index: usize) -> bool {
        let Some(consumer) = self.consumers.get_mut(index) else { return false };
        consumer.unsettled += 1;
        consumer.may_receive() && consumer.unsettled <= MAX_OVERDELIVERY * usize::from(consumer.prefetch)
    }

    /// Counts a settled message of a consumer.
    pub fn settled(&mut self, index: usize) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.unsettled = consumer.unsettled.saturating_sub(1);
            consumer.backoff.reset();
        }
    }
}

#[cfg(test)]
mod tests;
