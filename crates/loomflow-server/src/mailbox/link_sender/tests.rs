use std::sync::Arc;
use std::time::Duration;

use super::*;

/// Guards against links that wait because another link has filled the owner's mailbox.
#[test]
fn a_link_waits_for_its_own_messages_only_and_until_they_are_taken() {
    let mailbox = Arc::new(Mailbox::default());
    let [mut flooding, mut other] = [(); 2].map(|()| LinkSender::new(mailbox.clone()));
    for _ in 0..MAX_MESSAGES_PER_BATCH {
        assert!(flooding.has_capacity());
        flooding.send(OwnerEvent::ReadersCaughtUp, 1);
    }
    assert!(!flooding.has_capacity());
    assert!(other.has_capacity());
    assert_eq!(mailbox.receive(Duration::ZERO).len(), MAX_MESSAGES_PER_BATCH);
    assert!(flooding.has_capacity());
}

#[test]
fn an_event_counts_with_all_its_messages() {
    let mailbox = Arc::new(Mailbox::default());
    let mut sender = LinkSender::new(mailbox.clone());
    sender.send(OwnerEvent::ReadersCaughtUp, 10 * MAX_MESSAGES_PER_BATCH);
    assert!(!sender.has_capacity());
    // Nothing is taken from an empty mailbox, so only the first call counts as a batch.
    assert_eq!(mailbox.receive(Duration::ZERO).len(), 1);
    assert!(sender.has_capacity());
    let batches = mailbox.batches_taken();
    assert!(mailbox.receive(Duration::ZERO).is_empty());
    assert_eq!(mailbox.batches_taken(), batches);
}
