//! Settlement of messages by a server process: replies, dead letters and what the broker does not accept.

mod common;

use common::amqp::*;
use loomflow_test_servers::autonomous_engine::result_of;
use loomflow_test_servers::broker::{Broker, message};
use loomflow_test_servers::*;

#[test]
fn a_lost_ack_does_not_repeat_a_confirmed_reply() {
    let (broker, worker, _fixture) = start_serving();
    // A message whose ack was lost still counts towards the prefetch limit, which starts at one and grows to two.
    broker.faults(|faults| faults.forget_acks = 2);
    publish_jobs(&broker, 0..2);
    assert_eq!(broker.wait_for_messages("replies", 2).len(), 2);
    broker.wait_until("the acks are lost", |state| state.faults.forget_acks == 0);
    broker.disconnect_all();
    broker.wait_until_empty("jobs");
    assert!(broker.take("replies").is_empty());
    assert_eq!(worker.run_count(), 2);
}

#[test]
fn an_expired_message_is_dead_lettered_immediately() {
    let (broker, worker) = start_peers(4);
    let options = options(&[&broker], "").replace("acme}", "acme, sent_from: timestamp_in_ms}");
    let _fixture = serve(&options, &worker);
    broker.publish(job(1).with_number_header("timestamp_in_ms", 1));
    let reply = next_reply(&broker);
    let headers =
        ["x-loomflow-reason", "x-loomflow-ran"].map(|name| reply.header_text(name).unwrap_or_default());
    assert_eq!((reply.kind().as_str(), headers), ("failed", ["out-of-time", "no"].map(str::to_owned)));
    assert!(reply.header_text("x-loomflow-holdoff").is_some());
    assert_eq!(reason(&next_dead_letter(&broker)).as_deref(), Some("out-of-time"));
    // A message sent just now, one with a timestamp in the future and one without a timestamp are run.
    broker.publish(job(2).with_sent_time());
    broker.publish(job(3).with_number_header("timestamp_in_ms", i64::MAX));
    broker.publish(job(4));
    assert!(broker.wait_for_messages("replies", 3).iter().all(|reply| reply.kind() == "served"));
    broker.wait_until_empty("jobs");
    assert_eq!(worker.run_count(), 3);
}

#[test]
fn an_unconfirmed_reply_is_resent_without_a_second_run() {
    let (broker, worker, _fixture) = start_serving();
    broker.faults(|faults| faults.unconfirmed = 1);
    broker.publish(job(1));
    let first = next_reply(&broker);
    broker.disconnect_all();
    // Without a confirm the broker may not have the reply: the server sends it again and does not run the job again.
    assert_eq!(next_reply(&broker).body, first.body);
    broker.wait_until_empty("jobs");
    assert_eq!(worker.run_count(), 1);
}

#[test]
fn a_failed_run_is_never_requeued() {
    let (broker, worker, _fixture) = start_serving();
    worker.fail_next(1);
    broker.publish(job(1));
    let dead = next_dead_letter(&broker);
    assert_eq!(reason(&dead).as_deref(), Some("may-have-run"));
    assert_eq!((dead.body.as_slice(), dead.correlation().as_str()), (&b"j1"[..], "c-j1"));
    expect_uncertain_failure(&next_reply(&broker));
    // A message with the same id gets the same reply.
    broker.publish(job(1));
    assert_eq!(next_reply(&broker).kind(), "failed");
    assert_eq!(worker.run_count(), 1);
}

#[test]
fn an_unacceptable_message_is_dead_lettered_with_its_reason() {
    let (broker, worker) = start_peers(1);
    let queues = "  max_message_bytes: 100\n";
    let text = options(&[&broker], queues).replace("class: book", "class_header: kind");
    let _fixture = serve(&text, &worker);
    let cases = [
        (message("jobs", "a", b"x"), "no-class"),
        (message("jobs", "b", b"x").header("kind", "none"), "unknown-class"),
        (message("jobs", "c", &[0; 101]).header("kind", "book"), "too-large"),
    ];
    for (unacceptable, expected) in cases {
        broker.publish(unacceptable.reply_to("replies", expected));
        assert_eq!(reason(&next_dead_letter(&broker)).as_deref(), Some(expected));
        assert_eq!(reason(&next_reply(&broker)).as_deref(), Some(expected));
    }
    broker.publish(message("jobs", "d", b"x").header("kind", "read").reply_to("replies", "fine"));
    assert_eq!(next_reply(&broker).kind(), "served");
}

#[test]
fn a_nacked_reply_is_retried_and_an_unroutable_one_is_settled() {
    let (broker, worker, _fixture) = start_serving();
    broker.faults(|faults| faults.nack = 2);
    publish_jobs(&broker, 0..3);
    expect_all_served_once(&broker, &worker, 3);
    // The reply queue of this message does not exist.
    broker.publish(message("jobs", "lonely", b"x").reply_to("gone", "x"));
    broker.wait_until_empty("jobs");
    assert_eq!(worker.run_count(), 4);
}

#[test]
fn results_use_their_exchange_and_dead_letters_the_queue_default() {
    let (broker, worker) = start_peers(2);
    broker.with_state(|state| {
        state.declare("jobs", Some(("", "queue's own")));
        state.declare("queue's own", None);
        state.declare("results", None);
        state.declare_exchange("out", "direct", &[("done", "results")]);
    });
    let text = options(&[&broker], "  results: {exchange: out, routing_key: done}")
        .replace("  dead_letter: {routing_key: dead}\n", "");
    let _fixture = serve(&text, &worker);
    broker.publish(message("jobs", "a", b"a"));
    let result = &broker.wait_for_messages("results", 1)[0];
    assert_eq!((result.kind().as_str(), result.correlation().as_str()), ("served", "a"));
    assert_eq!(result.body, result_of(b"a"));
    worker.fail_next(1);
    broker.publish(message("jobs", "b", b"b"));
    assert_eq!(broker.wait_for_messages("results", 1)[0].kind(), "failed");
    let dead = &broker.wait_for_messages("queue's own", 1)[0];
    assert_eq!((dead.body.as_slice(), dead.header_text("x-loomflow-reason")), (&b"b"[..], None));
}

/// A broker whose queue `jobs` has dead-lettering of its own, and a server without a destination of dead letters.
fn start_without_destination() -> (Broker, AutonomousEngine, ServerFixture) {
    let (broker, worker) = start_peers(4);
    broker.with_state(|state| state.declare("jobs", Some(("", "dead"))));
    let text = options(&[&broker], "").replace("  dead_letter: {routing_key: dead}\n", "");
    let fixture = serve(&text, &worker);
    (broker, worker, fixture)
}

/// Guards against a failed message that is acknowledged because its reject was lost with the connection.
#[test]
fn a_failed_message_is_kept_by_its_queue_after_a_lost_reject() {
    let (broker, worker, fixture) = start_without_destination();
    broker.faults(|faults| faults.lose_settlements = 1);
    worker.fail_next(1);
    broker.publish(job(1));
    assert_eq!(next_dead_letter(&broker).body, b"j1");
    broker.wait_until_empty("jobs");
    assert_eq!(broker.take("replies").len(), 1, "the confirmed reply is not repeated");
    assert_eq!(broker.with_state(|state| state.connections().len()), 1);
    assert_eq!(worker.run_count(), 1);
    fixture.wait_for_log("rejecting a message for the dead letters of its queue: may-have-run");
}

/// Guards against a served message that is acknowledged although its reply reached no queue.
#[test]
fn a_message_whose_reply_queue_is_gone_is_dead_lettered() {
    for (broker, worker, fixture) in [start_serving(), start_without_destination()] {
        broker.publish(message("jobs", "a", b"a").reply_to("gone", "a"));
        assert_eq!(next_dead_letter(&broker).body, b"a");
        broker.wait_until_empty("jobs");
        assert_eq!(worker.run_count(), 1);
        fixture.wait_for_log("reply-unroutable");
    }
}

/// Guards against a message that is settled in a drain although the broker accepts neither its reply nor a dead letter.
#[test]
fn draining_leaves_a_message_without_a_reply_to_the_broker() {
    for (broker, worker, mut fixture) in [start_serving(), start_without_destination()] {
        broker.faults(|faults| faults.nack = usize::MAX);
        broker.publish(job(1));
        worker.wait_for_runs(1);
        fixture.terminate();
        assert_eq!(fixture.exit_code(), Some(0));
        assert_eq!(broker.wait_for_messages("jobs", 1)[0].body, b"j1");
        assert!(broker.take("dead").is_empty() && broker.take("replies").is_empty());
        fixture.wait_for_log("messages were not settled before the shutdown");
    }
}

/// Guards against a message that is lost because its settlement is lost while the server drains.
#[test]
fn draining_leaves_a_message_to_the_broker_whose_settlement_is_lost() {
    let (broker, worker, mut fixture) = start_without_destination();
    worker.set_held(true);
    broker.publish(job(1));
    worker.wait_for_runs(1);
    broker.faults(|faults| faults.lose_settlements = 1);
    worker.fail_next(1);
    fixture.terminate();
    fixture.wait_for_log("shutdown requested");
    worker.set_held(false);
    assert_eq!(fixture.exit_code(), Some(0));
    assert_eq!(broker.wait_for_messages("jobs", 1)[0].body, b"j1");
    assert_eq!(worker.run_count(), 1);
}
