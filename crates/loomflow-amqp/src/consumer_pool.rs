//! The consumers of one queue, with fixed prefetch counts, each on a channel of its own.
//!
//! `basic.qos` does not reach a consumer that runs (specification 1.8.3.1; brokers apply it to consumers that start
//! later), so the window of a queue is changed by starting and cancelling consumers. On a channel of its own a prefetch
//! count holds for brokers that count by channel and for those that count by consumer. A consumer is started again only
//! once everything it had is settled, so that the messages in flight never exceed the greater of the window and what was
//! in flight when it shrank.

use loomflow_backoff::ExponentialBackoff;

use crate::Millis;

/// Two of each, so that a window can grow by little without cancelling consumers that run.
pub const PREFETCH_COUNTS: [u16; 18] = [1, 1, 2, 2, 4, 4, 8, 8, 16, 16, 32, 32, 64, 64, 128, 128, 256, 256];
/// All consumers together.
pub const MAX_PREFETCH: usize = {
    let (mut sum, mut at) = (0, 0);
    while at < PREFETCH_COUNTS.len() {
        sum += PREFETCH_COUNTS[at] as usize;
        at += 1;
    }
    sum
};
/// A consumer whose channel was closed, or that the broker cancelled, is started again after this, twice as long each time
/// up to the maximum, until a message on it is settled.
const MIN_BACKOFF_MS: Millis = 250.0;
const MAX_BACKOFF_MS: Millis = 30_000.0;
/// More unsettled messages than so many prefetch counts show a broker that ignores them.
const MAX_OVERDELIVERY: usize = 2;

/// What is to be sent on a consumer's channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsumerCommand {
    /// `channel.open`.
    OpenChannel,
    /// `basic.qos` with this count, then `basic.consume`.
    Consume(u16),
    /// `basic.cancel`.
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
    /// Before its channel is opened, or it is started, the next time.
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

    /// Whether messages may come: until the broker has processed a cancel, they still do.
    fn may_receive(&self) -> bool {
        self.is_consuming() || self.state == ConsumerState::Cancelling
    }

    /// The unsettled messages that it may reach without a further command.
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
    /// A pool with so many channels.
    pub fn new(channels: usize) -> ConsumerPool {
        let prefetch_counts = PREFETCH_COUNTS.into_iter().take(channels);
        ConsumerPool { consumers: prefetch_counts.map(PooledConsumer::new).collect() }
    }

    /// The prefetch counts of running consumers, in all.
    pub fn prefetch(&self) -> usize {
        let consuming = self.consumers.iter().filter(|consumer| consumer.is_consuming());
        consuming.map(|consumer| usize::from(consumer.prefetch)).sum()
    }

    /// Messages that are not settled.
    pub fn unsettled(&self) -> usize {
        self.consumers.iter().map(|consumer| consumer.unsettled).sum()
    }

    /// Whether running consumers have as many unsettled messages as they may.
    pub fn is_full(&self) -> bool {
        let mut consuming = self.consumers.iter().filter(|consumer| consumer.is_consuming());
        consuming.all(|consumer| consumer.unsettled >= usize::from(consumer.prefetch)) && self.prefetch() > 0
    }

    /// Whether no consumer runs, is about to or is being cancelled.
    pub fn is_idle(&self) -> bool {
        let is_idle =
            |state| matches!(state, ConsumerState::Closed | ConsumerState::Opening | ConsumerState::Idle);
        self.consumers.iter().all(|consumer| is_idle(consumer.state))
    }

    /// The commands, each with the index of its consumer, that bring the pool towards a window.
    pub fn resize(&mut self, window: usize, now: Millis) -> Vec<(usize, ConsumerCommand)> {
        let mut commands = self.shrink(window);
        commands.extend(self.grow(window, now));
        commands
    }

    /// Cancels consumers until the prefetch is within the window.
    fn shrink(&mut self, window: usize) -> Vec<(usize, ConsumerCommand)> {
        let mut commands = Vec::new();
        while let Some(excess) = self.prefetch().checked_sub(window).filter(|excess| *excess > 0) {
            let is_running = |index: &usize| self.consumers[*index].state == ConsumerState::Consuming;
            let running = (0..self.consumers.len()).filter(is_running);
            // The smallest that covers the excess, else the largest.
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
            let used: usize = self.consumers.iter().map(PooledConsumer::max_unsettled).sum();
            let capacity = window.saturating_sub(used);
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

    /// Its channel is open.
    pub fn channel_opened(&mut self, index: usize) {
        self.transition(index, ConsumerState::Opening, ConsumerState::Idle);
    }

    /// The broker has started it.
    pub fn consumer_started(&mut self, index: usize) {
        self.transition(index, ConsumerState::Starting, ConsumerState::Consuming);
    }

    /// The broker has confirmed that it is cancelled.
    pub fn consumer_cancelled(&mut self, index: usize) {
        if self.transition(index, ConsumerState::Cancelling, ConsumerState::Idle) {
            self.consumers[index].backoff.reset();
        }
    }

    fn transition(&mut self, index: usize, from: ConsumerState, to: ConsumerState) -> bool {
        let consumer = self.consumers.get_mut(index).filter(|consumer| consumer.state == from);
        consumer.map(|consumer| consumer.state = to).is_some()
    }

    /// The broker has cancelled it: its queue was deleted or migrated.
    pub fn cancelled_by_broker(&mut self, index: usize, now: Millis) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.state = ConsumerState::Idle;
            consumer.back_off(now);
        }
    }

    /// Its channel is closed: nothing on it can be settled any more.
    pub fn channel_closed(&mut self, index: usize, now: Millis) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.state = ConsumerState::Closed;
            consumer.unsettled = 0;
            consumer.back_off(now);
        }
    }

    /// A message came on it. Returns false where far more come than its prefetch count allows.
    pub fn delivered(&mut self, index: usize) -> bool {
        let Some(consumer) = self.consumers.get_mut(index) else { return false };
        consumer.unsettled += 1;
        consumer.may_receive() && consumer.unsettled <= MAX_OVERDELIVERY * usize::from(consumer.prefetch)
    }

    /// A message on it was settled.
    pub fn settled(&mut self, index: usize) {
        if let Some(consumer) = self.consumers.get_mut(index) {
            consumer.unsettled = consumer.unsettled.saturating_sub(1);
            consumer.backoff.reset();
        }
    }
}

#[cfg(test)]
mod tests;
