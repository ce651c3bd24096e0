//! The owner's loop: waits for an event or a deadline, and processes all pending events as one batch.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use loomflow::time::Millis;
use loomflow_settings::{Config, Options};

use super::{Owner, ServeError};
use crate::clock::Clock;
use crate::connection;
use crate::front::Listener;
use crate::mailbox::{Mailbox, OwnerEvent};
use crate::signals::Signals;
use crate::time::floor_duration;

/// How long a coroutine sleeps on the drivers' thread before it sends [`OwnerEvent::ReadersCaughtUp`]. During the sleep every
/// driver gets a turn to read its socket.
const READER_TURN_MS: Millis = 2.0;
/// How long the owner waits for [`OwnerEvent::ReadersCaughtUp`] at most.
const MAX_READER_WAIT_MS: Millis = 100.0;

/// Runs the server until a requested shutdown is complete.
pub fn serve(config: Config, options: &Options, file: PathBuf, signals: Signals) -> Result<(), ServeError> {
    connection::configure_runtime();
    let listener = Listener::bind(config.listen, config.stop_ms, || signals.is_shutdown_requested())?;
    let Some(listener) = listener else { return Ok(()) };
    let mailbox = Arc::new(Mailbox::default());
    signals.spawn_watcher(file, mailbox.clone())?;
    let mut owner = Owner::start(config, options, listener, &mailbox)?;
    while !owner.is_finished() {
        let events = next_batch(&owner, &mailbox);
        owner.process_batch(events);
    }
    owner.log_unsettled_messages();
    owner.fleet.report_drained();
    Ok(())
}

/// Waits until the next batch is due by its [`BatchSchedule`](super::batch_schedule::BatchSchedule), and returns its events.
fn next_batch(owner: &Owner, mailbox: &Arc<Mailbox>) -> Vec<OwnerEvent> {
    let clock = owner.clock;
    let schedule = owner.batch_schedule();
    let mut events = mailbox.receive(schedule.timeout(clock.now().ms));
    if schedule.follows_pause(clock.now().ms) {
        wait_for_readers(mailbox, &mut events, clock);
    }
    if let Some(delay) = schedule.delay(clock.now().ms) {
        std::thread::sleep(delay);
        events.extend(mailbox.receive(Duration::ZERO));
    }
    events
}

/// Waits until the drivers have read the data that arrived while the machine was paused. The drivers share one thread, so a
/// sleep on that thread ends only after they have read it. A sleep on the owner's thread would race with them.
fn wait_for_readers(mailbox: &Arc<Mailbox>, events: &mut Vec<OwnerEvent>, clock: Clock) {
    let deadline = clock.now().ms + MAX_READER_WAIT_MS;
    report_after_reader_turn(mailbox.clone());
    loop {
        let remaining = deadline - clock.now().ms;
        let received = mailbox.receive(floor_duration(remaining.max(0.0)));
        let have_caught_up = received.iter().any(|event| matches!(event, OwnerEvent::ReadersCaughtUp));
        events.extend(received);
        if have_caught_up || remaining <= 0.0 {
            return;
        }
    }
}

/// Sends [`OwnerEvent::ReadersCaughtUp`] after a sleep of [`READER_TURN_MS`] on the drivers' thread.
fn report_after_reader_turn(mailbox: Arc<Mailbox>) {
    may::go!(move || {
        connection::sleep(floor_duration(READER_TURN_MS));
        mailbox.send(OwnerEvent::ReadersCaughtUp);
    });
}

#[cfg(test)]
mod tests;
