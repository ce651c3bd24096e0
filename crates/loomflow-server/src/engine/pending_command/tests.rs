use super::*;

#[test]
fn command_is_uncertain_only_if_written_shortly_before_the_loss() {
    let delivery = Delivery::InFlight { link: 3, end: 100 };
    let mut pending = PendingCommand { command: SentCommand::Run, delivery, sent_at: 1_000.0 };
    let lost = |link, bytes_written| LostLink { link, bytes_written };
    assert_eq!(pending.delivery_after(lost(3, 99), 9_000.0), Delivery::NotSent);
    assert_eq!(pending.delivery_after(lost(3, 100), 1_050.0), Delivery::Uncertain);
    assert_eq!(pending.delivery_after(lost(3, 100), 1_001.0 + UNCERTAIN_WINDOW_MS), Delivery::Delivered);
    assert_eq!(pending.delivery_after(lost(4, 0), 9_000.0), delivery);
    pending.delivery = Delivery::Uncertain;
    assert_eq!(pending.delivery_after(lost(3, 0), 9_000.0), Delivery::Uncertain);
}
