use super::*;
use crate::mailbox::{FrontEvent, GatewayEvent};

/// 5 % shorter and longer than [`READER_TURN_MS`], which `docs/decisions.md` states as 2 ms.
const SHORTER_SLEEP: Duration = Duration::from_micros(1_900);
const LONGER_SLEEP: Duration = Duration::from_micros(2_100);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, PartialEq)]
enum SleepEnd {
    Shorter,
    ReaderTurn,
    Longer,
}

/// Starts a coroutine that sleeps and then sends a `DescriptorClosed` event of connection `id`.
fn report_after_sleep(mailbox: &Arc<Mailbox>, duration: Duration, id: u64) {
    let mailbox = mailbox.clone();
    may::go!(move || {
        connection::sleep(duration);
        mailbox.send_gateway_event(id, GatewayEvent::DescriptorClosed);
    });
}

fn sleep_end(event: OwnerEvent) -> SleepEnd {
    match event {
        OwnerEvent::ReadersCaughtUp => SleepEnd::ReaderTurn,
        OwnerEvent::Front(FrontEvent::Gateway(1, GatewayEvent::DescriptorClosed)) => SleepEnd::Shorter,
        OwnerEvent::Front(FrontEvent::Gateway(2, GatewayEvent::DescriptorClosed)) => SleepEnd::Longer,
        _ => panic!("an event that the test did not send"),
    }
}

/// Coroutines start in order on one thread, and their sleeps end in the order of their deadlines. So a shorter sleep started
/// before the reader turn ends before it, and a longer one started after it ends after it, even if the machine pauses.
#[test]
fn reader_turn_lasts_the_documented_time() {
    connection::configure_runtime();
    let mailbox = Arc::new(Mailbox::default());
    report_after_sleep(&mailbox, SHORTER_SLEEP, 1);
    report_after_reader_turn(mailbox.clone());
    report_after_sleep(&mailbox, LONGER_SLEEP, 2);
    let mut ends = Vec::new();
    while ends.len() < 3 {
        let events = mailbox.receive(TEST_TIMEOUT);
        assert!(!events.is_empty(), "a sleep did not end within {TEST_TIMEOUT:?}");
        ends.extend(events.into_iter().map(sleep_end));
    }
    assert_eq!(ends, [SleepEnd::Shorter, SleepEnd::ReaderTurn, SleepEnd::Longer]);
}
